//! Who is who: the upstreams that the list has named, the service of each, and the handle that each is known by.

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::discovery::member::{Member as Entry, Message, Phase};
use crate::interface::{ListKind, Member, ServerId, Status, Time};
use crate::settings::stable_hash;

use super::ServiceId;
use super::wall_clock::WallClock;

/// What became of one upstream, for whoever holds connections to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The upstream.
    pub server: ServerId,
    /// Its id in the list.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is now.
    pub status: Status,
}

/// What one list tells.
#[derive(Debug, Default)]
pub struct Notified {
    /// What became of each upstream that the list names, and of those that a whole one leaves out.
    pub changes: Vec<Change>,
    /// Each service's members in the module's words, in the list's order. Of a whole list every service has its part,
    /// be it empty.
    pub members: Vec<(ServiceId, Vec<Member>)>,
}

impl Notified {
    /// The part of this service, made where there is none yet.
    pub fn part(&mut self, service: ServiceId) -> &mut Vec<Member> {
        // A whole list has the parts in order; one of changes has few.
        let at = match self.members.binary_search_by_key(&service, |(of, _)| *of) {
            Ok(at) => at,
            Err(at) => {
                self.members.insert(at, (service, Vec::new()));
                at
            }
        };
        &mut self.members[at].1
    }
}

#[derive(Debug)]
struct Known {
    id: String,
    service: ServiceId,
    address: SocketAddr,
    status: Status,
    /// When it started, as the list says it and on the module's clock: read once, or a step would be a restart.
    up_since_ms: f64,
    started: Option<Time>,
}

#[derive(Debug)]
struct Part {
    /// Names that the service's settings give an index.
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Every upstream that it ever had.
    servers: Vec<ServerId>,
}

/// The upstreams by service, and by the handle that the module and the connections know them by. One that moves to
/// another service is another upstream there: what was sent to it before stays with the service that sent it.
#[derive(Debug)]
pub struct Directory {
    /// Whether one service takes every upstream, whatever service it names.
    single: bool,
    /// By [`ServiceId`]; `None` once it was removed.
    parts: Vec<Option<Part>>,
    by_name: FxHashMap<String, ServiceId>,
    /// By the list's id.
    by_id: FxHashMap<String, ServerId>,
    /// By [`ServerId`].
    servers: Vec<Known>,
    live: usize,
    wall_clock: WallClock,
}

impl Directory {
    /// Without services yet.
    pub fn new(single: bool) -> Self {
        Self {
            single,
            parts: Vec::new(),
            by_name: FxHashMap::default(),
            by_id: FxHashMap::default(),
            servers: Vec::new(),
            live: 0,
            wall_clock: WallClock::default(),
        }
    }

    /// The wall clock reads `wall` at the moment `now`: told before each list, so that starts are read right.
    pub fn clock_read(&mut self, wall: Time, now: Time) {
        self.wall_clock.read(wall, now);
    }

    /// Takes in a service with the zones and kinds that its settings name. Its upstreams come with the next whole
    /// list.
    pub fn add(&mut self, name: &str, zones: &[String], kinds: &[String]) -> ServiceId {
        let service = ServiceId(self.parts.len() as u32);
        let (zones, kinds) = (zones.to_vec(), kinds.to_vec());
        self.parts.push(Some(Part { zones, kinds, servers: Vec::new() }));
        self.by_name.insert(name.to_owned(), service);
        service
    }

    /// Forgets the service of this name: what it had is gone.
    pub fn remove(&mut self, name: &str) -> Vec<Change> {
        let service = self.by_name.remove(name);
        let Some(part) = service.and_then(|s| self.parts[s.0 as usize].take()) else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        for server in part.servers {
            let known = &self.servers[server.0 as usize];
            if self.by_id.get(&known.id) == Some(&server) {
                self.by_id.remove(&known.id);
            }
            if known.status != Status::Gone {
                self.set(server, Status::Gone);
                changes.push(self.change(server));
            }
        }
        changes
    }

    /// Whether any upstream takes requests.
    pub fn any_live(&self) -> bool {
        self.live > 0
    }

    /// What this upstream is.
    pub fn status(&self, server: ServerId) -> Status {
        self.servers.get(server.0 as usize).map_or(Status::Gone, |s| s.status)
    }

    /// Services by their handles, in order.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> {
        (0u32..).zip(&self.parts).filter(|(_, part)| part.is_some()).map(|(i, _)| ServiceId(i))
    }

    fn set(&mut self, server: ServerId, status: Status) {
        let was = std::mem::replace(&mut self.servers[server.0 as usize].status, status);
        self.live -= usize::from(was == Status::Live);
        self.live += usize::from(status == Status::Live);
    }

    fn change(&self, server: ServerId) -> Change {
        let Known { id, address, status, .. } = &self.servers[server.0 as usize];
        Change { server, id: id.clone(), address: *address, status: *status }
    }

    /// Takes in a list: a change costs what it names, a whole list what there is.
    pub fn told(&mut self, list: &Message, kind: ListKind) -> Notified {
        let mut told = Notified::default();
        if kind != ListKind::Update {
            told.members = self.services().map(|service| (service, Vec::new())).collect();
            self.leave_out(list, &mut told.changes);
        }
        for entry in &list.members {
            self.entry(entry, &mut told);
        }
        told
    }

    /// What a whole list leaves out is gone.
    fn leave_out(&mut self, list: &Message, changes: &mut Vec<Change>) {
        let named: FxHashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
        let left_out = self.by_id.iter().filter(|(id, _)| !named.contains(id.as_str()));
        let mut left_out: Vec<ServerId> = left_out.map(|(_, server)| *server).collect();
        left_out.retain(|server| self.status(*server) != Status::Gone);
        for server in left_out {
            self.set(server, Status::Gone);
            changes.push(self.change(server));
        }
    }

    fn entry(&mut self, entry: &Entry, told: &mut Notified) {
        let known = self.by_id.get(&entry.id).copied();
        let of = known.map(|server| self.servers[server.0 as usize].service);
        // One that is deleted may no longer say whose it was.
        let service = match (self.single, entry.phase) {
            (true, _) => Some(ServiceId(0)),
            (false, Phase::Deleted) if of.is_some() => of,
            (false, _) => self.by_name.get(&entry.service).copied(),
        };
        if let (Some(server), Some(of)) = (known, of.filter(|of| service != Some(*of))) {
            // It serves another one now, which may be none of ours.
            self.by_id.remove(&entry.id);
            if self.status(server) != Status::Gone {
                self.set(server, Status::Gone);
                told.changes.push(self.change(server));
                let gone = Entry { phase: Phase::Deleted, ..entry.clone() };
                if let Some(member) = self.member(of, server, &gone) {
                    told.part(of).push(member);
                }
            }
        }
        let Some(service) = service else { return };
        let known = self.by_id.get(&entry.id).copied();
        // Without a valid address the last one stands: that it drains must not be lost with it.
        let last = known.map(|server| self.servers[server.0 as usize].address);
        let Some(address) = entry.host_port.parse().ok().or(last) else {
            tracing::warn!(id = entry.id, address = entry.host_port, "no such address");
            return;
        };
        let server = known.unwrap_or_else(|| self.meet(entry, service, address));
        self.servers[server.0 as usize].address = address;
        self.read_start(server, entry.up_since_ms);
        self.set(server, status(entry.phase));
        told.changes.push(self.change(server));
        if let Some(member) = self.member(service, server, entry) {
            told.part(service).push(member);
        }
    }

    fn meet(&mut self, entry: &Entry, service: ServiceId, address: SocketAddr) -> ServerId {
        let server = ServerId(self.servers.len() as u32);
        let (id, status) = (entry.id.clone(), Status::Gone);
        let (up_since_ms, started) = (0.0, None);
        self.servers.push(Known { id: id.clone(), service, address, status, up_since_ms, started });
        self.by_id.insert(id, server);
        if let Some(part) = &mut self.parts[service.0 as usize] {
            part.servers.push(server);
        }
        server
    }

    fn read_start(&mut self, server: ServerId, up_since_ms: f64) {
        let known = &mut self.servers[server.0 as usize];
        if known.up_since_ms == up_since_ms {
            return;
        }
        let by_wall = Time((up_since_ms * 1000.0) as i64);
        known.up_since_ms = up_since_ms;
        known.started = (up_since_ms > 0.0).then(|| self.wall_clock.started(by_wall));
    }

    /// The entry in the module's words.
    fn member(&self, service: ServiceId, server: ServerId, entry: &Entry) -> Option<Member> {
        let part = self.parts.get(service.0 as usize)?.as_ref()?;
        // A name that the settings don't have is none of those that they do.
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        Some(Member {
            id: server,
            identity: stable_hash(&entry.id),
            zone: index(&part.zones, &entry.locality),
            kind: index(&part.kinds, &entry.flavor),
            cell: entry.cell,
            status: status(entry.phase),
            weight: entry.size,
            started: self.servers[server.0 as usize].started,
        })
    }
}

fn status(phase: Phase) -> Status {
    match phase {
        Phase::Serving => Status::Live,
        Phase::Draining | Phase::Unknown => Status::Draining,
        Phase::Deleted => Status::Gone,
    }
}
