//! The sweep removes members that have been draining for long enough. The lease of the duty `sweep` ensures that only
//! one of the candidate processes does so.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use super::member::{Message, Phase};
use crate::calls::instances::Instances;
use crate::calls::{self, Call, MAX_BODY_BYTES, error, json_reply};
use crate::figures::MetricsText;
use crate::lease::client::Duty;
use crate::tasks::AbortOnDrop;

/// Name of the duty.
pub const DUTY: &str = "sweep";

/// When this process first saw each member draining. Pure: the list and the time are passed in.
#[derive(Debug, Default)]
pub struct DrainTimes(BTreeMap<String, Duration>);

impl DrainTimes {
    /// Updates the start times from the full list as of `now`.
    pub fn observe(&mut self, list: &Message, now: Duration) {
        let draining = |m: &&super::member::Member| m.phase == Phase::Draining;
        let since = |id: &String| self.0.get(id).copied().unwrap_or(now);
        self.0 =
            list.members.iter().filter(draining).map(|m| (m.id.clone(), since(&m.id))).collect();
    }

    /// Ids of the members that have been draining for at least `after` by `now`.
    pub fn drained(&self, now: Duration, after: Duration) -> Vec<String> {
        let due = self.0.iter().filter(|(_, since)| now.saturating_sub(**since) >= after);
        due.map(|(id, _)| id.clone()).collect()
    }
}

/// Competes for the duty and sweeps while holding it, until the task is dropped. `listener` serves `GET /admin/health`
/// and `GET /metrics`.
pub async fn run(
    listener: TcpListener,
    instances: Rc<Instances>,
    holder: &str,
    ttl: Duration,
    after: Duration,
) {
    let duty = Duty::new(instances.clone(), DUTY, holder, ttl);
    let _claim = AbortOnDrop(tokio::task::spawn_local(duty.clone().run()));
    let health_duty = duty.clone();
    let _figures = AbortOnDrop(tokio::task::spawn_local(calls::serve(
        listener,
        |_| MAX_BODY_BYTES,
        move |call| {
            let answer = answer(&health_duty, &call);
            async move { answer }
        },
    )));
    let (start, mut drains) = (Instant::now(), DrainTimes::default());
    let interval = (after / 4).clamp(Duration::from_millis(20), Duration::from_secs(1));
    loop {
        sleep(interval).await;
        if duty.token().is_none() {
            drains = DrainTimes::default();
            continue;
        }
        let mut list = None;
        for &address in instances.addresses() {
            // Any instance's list will do: a removal based on an outdated one has no effect.
            let reply = calls::ask(address, Method::GET, "/admin/members", "", ttl).await;
            if let Ok((StatusCode::OK, body)) = reply {
                list = serde_json::from_slice::<Message>(&body).ok();
                break;
            }
        }
        let Some(list) = list else { continue };
        drains.observe(&list, start.elapsed());
        for id in drains.drained(start.elapsed(), after) {
            let Some(token) = duty.token() else { break };
            let fence = json!({"duty": DUTY, "token": token});
            let body = json!({"id": id, "phase": "DELETED", "fence": fence});
            match instances.post("/admin/members/phase", &body, ttl / 3).await {
                Ok((StatusCode::OK, _)) => tracing::info!(id, lease = token, "swept"),
                Ok((status, value)) => {
                    tracing::warn!(id, lease = token, %status, answer = %value, "not swept");
                }
                Err(cause) => tracing::warn!(id, lease = token, %cause, "not swept"),
            }
        }
    }
}

fn answer(duty: &Duty, call: &Call) -> calls::Reply {
    if call.method != Method::GET {
        return error(StatusCode::METHOD_NOT_ALLOWED, "the method");
    }
    let (renewals, lost) = duty.counts();
    match call.path.as_str() {
        "/-/ready" | "/admin/health" => json_reply(StatusCode::OK, &json!({"token": duty.token()})),
        "/metrics" => {
            let (mut text, of) = (MetricsText::new(), [("duty", DUTY)]);
            text.gauge(
                "duty_token",
                "Token of the grant held, 0 without",
                &of,
                duty.token().unwrap_or(0),
            );
            text.counter("duty_grants", "Grants to this process", &of, duty.grants.get());
            text.counter("duty_renewals", "Renewals of its grants", &of, renewals);
            text.counter("duty_lost", "Grants lost", &of, lost);
            text.reply()
        }
        _ => error(StatusCode::NOT_FOUND, "no such call"),
    }
}

#[cfg(test)]
mod tests;
