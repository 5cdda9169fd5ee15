//! HTTP calls at the management address of a list service instance. Request and response bodies are JSON.
//!
//! | call | body | |
//! | --- | --- | --- |
//! | `GET /admin/health` | | 200 when the list can be read here, else 503 |
//! | `GET /admin/stats` | | role in the cluster, revision, counters |
//! | `GET /admin/leases` | | every duty with its holder and tokens |
//! | `GET /admin/members` | | the list at this instance |
//! | `GET /metrics` | | metrics in the Prometheus text format |
//! | `POST /admin/members` | `{member, ttl_ms?, fence?}` | registers a member or replaces its entry |
//! | `POST /admin/members/renew` | `{id}` | renews a member with a TTL |
//! | `POST /admin/members/leave` | `{id}` | removes a member |
//! | `POST /admin/members/phase` | `{id, phase, fence?}` | `SERVING`, `DRAINING`, or `DELETED` |
//! | `POST /admin/leases/acquire` | `{duty, holder, ttl_ms}` | a grant with its token |
//! | `POST /admin/leases/renew`, `/release` | `{duty, token}` | |
//! | `POST /peer/messages` | | replication messages from other instances |
//!
//! Status codes: 200 once a majority has the write on disk; 400 invalid body; 404 no such call or member; 405 wrong
//! method; 413 body too large; 409 another holder has the duty, or the token is stale; 421 another instance leads, with
//! `{"leader":"HOST:PORT"}` if it is known; 503 too many writes are waiting, the outcome is not known yet, or the write
//! is the first with a service and some instance has not announced that it supports services; 507 the disk is full or
//! has failed.

use std::rc::Rc;

use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::TcpListener;

use super::filter::Filter;
use super::member::{Member, Phase};
use super::server::ListService;
use crate::calls::{self, Call, MAX_BODY_BYTES, Reply, error, json_reply};
use crate::figures::MetricsText;
use crate::lease::table::{LeaseCommand, TTL_MS, Token};
use crate::replica::command::{Command, Fence, Outcome};
use crate::replica::host::{FORMS, Host, PEER_CALL_MAX_BYTES, WriteError};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Register {
    member: Member,
    ttl_ms: Option<u64>,
    fence: Option<Fence>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Named {
    id: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Turn {
    id: String,
    phase: Phase,
    fence: Option<Fence>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Acquire {
    duty: String,
    holder: String,
    ttl_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Held {
    duty: String,
    token: Token,
}

/// Handler of the calls at the management address.
pub struct Management {
    host: Rc<Host>,
    service: Rc<ListService>,
}

impl Management {
    /// Creates the handler for this instance.
    pub fn new(host: Rc<Host>, service: Rc<ListService>) -> Rc<Self> {
        Rc::new(Self { host, service })
    }

    /// Serves calls until the task is dropped.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let limit = |path: &str| {
            if path == "/peer/messages" { PEER_CALL_MAX_BYTES } else { MAX_BODY_BYTES }
        };
        calls::serve(listener, limit, move |call| self.clone().answer(call)).await;
    }

    async fn answer(self: Rc<Self>, call: Call) -> Reply {
        let path = call.path.as_str();
        if path == "/peer/messages" && call.method == Method::POST {
            return match self.host.receive_messages(&call.body) {
                Ok(()) => calls::reply_with_type(StatusCode::OK, "application/json", FORMS.into()),
                Err(cause) => error(StatusCode::BAD_REQUEST, cause),
            };
        }
        if path == "/admin/members" && call.method == Method::GET {
            let line = self.host.read(|m| m.list().full_list(&Filter::all()).line());
            return calls::reply_with_type(StatusCode::OK, "application/json", line);
        }
        let reads = ["/admin/health", "/admin/stats", "/admin/leases", "/metrics"];
        let writes = [
            "/admin/members",
            "/admin/members/renew",
            "/admin/members/leave",
            "/admin/members/phase",
            "/admin/leases/acquire",
            "/admin/leases/renew",
            "/admin/leases/release",
            "/peer/messages",
        ];
        match (reads.contains(&path), writes.contains(&path)) {
            (true, _) if call.method == Method::GET => self.read(path),
            (_, true) if call.method == Method::POST => match self.command(path, &call.body) {
                Ok(ManagementCall::Command(command)) => self.write(command).await,
                Ok(ManagementCall::MemberRenewed(reply)) => reply,
                Err(cause) => error(StatusCode::BAD_REQUEST, cause),
            },
            (false, false) => error(StatusCode::NOT_FOUND, "no such call"),
            _ => error(StatusCode::METHOD_NOT_ALLOWED, "the method"),
        }
    }

    fn read(&self, path: &str) -> Reply {
        let (id, leader, term) = self.host.raft_status();
        let (trouble, counts) = (self.host.write_failure(), &self.host.counts);
        match path {
            "/admin/health" => {
                let ready = self.host.ready();
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                let leads = leader == Some(id);
                let health =
                    json!({"ready": ready, "leads": leads, "leader": leader, "trouble": trouble});
                json_reply(status, &health)
            }
            "/admin/leases" => {
                let duties = self.host.read(|m| json!({"duties": m.leases().duties()}));
                json_reply(StatusCode::OK, &duties)
            }
            "/admin/stats" => {
                let (revision, members) = self.host.read(|m| (m.list().revision(), m.list().len()));
                let stats = json!({
                    "id": id, "leader": leader, "term": term, "revision": revision,
                    "members": members, "watches": self.service.watches(),
                    "writes": counts.writes.get(), "batches": counts.batches.get(),
                    "elections": counts.elections.get(), "trouble": trouble,
                });
                json_reply(StatusCode::OK, &stats)
            }
            _ => self.metrics(id, leader, term),
        }
    }

    fn metrics(&self, id: u64, leader: Option<u64>, term: u64) -> Reply {
        let counts = &self.host.counts;
        let mut text = MetricsText::new();
        let (revision, members) = self.host.read(|m| (m.list().revision(), m.list().len()));
        text.gauge("list_revision", "Revision of the list here", &[], revision);
        text.gauge("list_members", "Members in the list", &[], members as u64);
        let entries_read = self.host.read(|m| m.list().entries_read());
        text.counter(
            "list_looked",
            "Entries looked at to tell lists and changes",
            &[],
            entries_read,
        );
        let lines_built = self.service.lines_built();
        text.counter("list_lines", "Lines made for watches; shared ones once", &[], lines_built);
        text.gauge("list_watches", "Watches open here", &[], self.service.watches());
        text.gauge("replica_term", "Term of the consensus", &[], term);
        text.gauge(
            "replica_leads",
            "Whether this instance leads",
            &[],
            u64::from(leader == Some(id)),
        );
        text.gauge(
            "replica_trouble",
            "Whether nothing can be kept",
            &[],
            u64::from(self.host.write_failure().is_some()),
        );
        text.counter("replica_writes", "Writes acknowledged here", &[], counts.writes.get());
        text.counter("replica_batches", "Batches kept on disk", &[], counts.batches.get());
        text.counter("replica_elections", "Changes of leader seen", &[], counts.elections.get());
        self.host.read(|m| {
            for (duty, at) in m.leases().duties() {
                let holder = at.grant.as_ref().map_or("", |g| g.holder.as_str());
                let labels = [("duty", duty.as_str()), ("holder", holder)];
                text.gauge(
                    "lease_held",
                    "Whether the duty is held, and by whom",
                    &labels,
                    u64::from(at.grant.is_some()),
                );
                let duty = [("duty", duty.as_str())];
                let renewals = at.grant.as_ref().map_or(0, |g| g.renewals);
                text.gauge("lease_token", "Highest token granted", &duty, at.highest);
                text.gauge("lease_renewals", "Renewals of the live grant", &duty, renewals);
                text.counter("lease_grants", "Grants", &duty, at.grants);
                text.counter("lease_lost", "Grants that ended without a release", &duty, at.lost);
            }
        });
        text.reply()
    }

    /// Parses a write call. The renewal of a member is answered here: the leader handles it alone, without replication.
    fn command(&self, path: &str, body: &[u8]) -> Result<ManagementCall, String> {
        Ok(ManagementCall::Command(match path {
            "/admin/members" => {
                let Register { member, ttl_ms, fence } = read(body)?;
                if let Some((key, cause)) = member.fault() {
                    return Err(format!("member.{key}: {cause}"));
                }
                if ttl_ms.is_some_and(|ttl_ms| !TTL_MS.contains(&ttl_ms)) {
                    return Err(format!("ttl_ms is not within {TTL_MS:?}"));
                }
                Command::Register { member, ttl_ms, fence }
            }
            "/admin/members/renew" => {
                let Named { id } = read(body)?;
                return Ok(ManagementCall::MemberRenewed(match self.host.renew_member(&id) {
                    Ok(true) => json_reply(StatusCode::OK, &json!({})),
                    Ok(false) => error(StatusCode::NOT_FOUND, "no such member with a TTL"),
                    Err(why) => write_error(why),
                }));
            }
            "/admin/members/leave" => {
                let Named { id } = read(body)?;
                Command::SetPhase { id, phase: Phase::Deleted, fence: None }
            }
            "/admin/members/phase" => {
                let Turn { id, phase, fence } = read(body)?;
                if phase == Phase::Unknown {
                    return Err("phase: SERVING, DRAINING or DELETED".into());
                }
                Command::SetPhase { id, phase, fence }
            }
            "/admin/leases/acquire" => {
                let Acquire { duty, holder, ttl_ms } = read(body)?;
                Command::Lease(LeaseCommand::Acquire { duty, holder, ttl_ms })
            }
            "/admin/leases/renew" => {
                let Held { duty, token } = read(body)?;
                Command::Lease(LeaseCommand::Renew { duty, token })
            }
            "/admin/leases/release" => {
                let Held { duty, token } = read(body)?;
                Command::Lease(LeaseCommand::Release { duty, token })
            }
            _ => return Err("no such call".into()),
        }))
    }

    async fn write(&self, command: Command) -> Reply {
        let acquired = match &command {
            Command::Lease(LeaseCommand::Acquire { duty, .. }) => Some(duty.clone()),
            _ => None,
        };
        match self.host.decide(command).await {
            Ok(Outcome::Revision(revision)) => {
                json_reply(StatusCode::OK, &json!({"revision": revision}))
            }
            Ok(Outcome::Grant(grant)) => {
                if let (Some(duty), Some(grant)) = (acquired, &grant) {
                    tracing::info!(
                        duty,
                        holder = grant.holder,
                        token = grant.token,
                        "duty granted"
                    );
                }
                json_reply(StatusCode::OK, &json!({"grant": grant}))
            }
            Ok(Outcome::Unknown) => error(StatusCode::NOT_FOUND, "no such member"),
            Ok(Outcome::Refused(refusal)) => error(StatusCode::CONFLICT, refusal),
            Err(why) => write_error(why),
        }
    }
}

enum ManagementCall {
    Command(Command),
    MemberRenewed(Reply),
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut reader).map_err(|e| e.to_string())
}

fn write_error(why: WriteError) -> Reply {
    let status = match &why {
        WriteError::NotLeader(Some(leader)) => {
            let leader = leader.to_string();
            let body = json!({"error": why.to_string(), "leader": leader});
            return json_reply(StatusCode::MISDIRECTED_REQUEST, &body);
        }
        WriteError::NotLeader(None) => StatusCode::MISDIRECTED_REQUEST,
        WriteError::Disk(_) => StatusCode::INSUFFICIENT_STORAGE,
        WriteError::Busy | WriteError::Unknown | WriteError::Mixed(_) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    error(status, why)
}
