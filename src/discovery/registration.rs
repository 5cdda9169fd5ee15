//! Registration of a member from its own process: it registers, renews at a third of its TTL, and leaves.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use super::member::Member;
use crate::calls::instances::Instances;

/// Keeps `member` registered for as long as the future is polled, and registers it again if it is no longer known.
pub async fn keep(instances: &Instances, member: &Member, ttl: Duration) {
    let mut registered = false;
    loop {
        let (path, body) = match registered {
            true => ("/admin/members/renew", json!({"id": member.id})),
            false => {
                let ttl_ms = ttl.as_millis() as u64;
                ("/admin/members", json!({"member": member, "ttl_ms": ttl_ms}))
            }
        };
        match instances.post(path, &body, ttl / 3).await {
            Ok((StatusCode::OK, _)) => {
                if !registered {
                    tracing::info!(id = member.id, "registered");
                }
                registered = true;
                sleep(ttl / 3).await;
            }
            Ok((StatusCode::NOT_FOUND, _)) if registered => registered = false,
            Ok((status, value)) => {
                tracing::warn!(id = member.id, %status, answer = %value, "not in the list");
                sleep(ttl / 3).await;
            }
            Err(cause) => tracing::warn!(id = member.id, %cause, "not in the list"),
        }
    }
}

/// Removes `member` from the list; a failure is logged.
pub async fn leave(instances: &Instances, member: &Member, within: Duration) {
    let body = json!({"id": member.id});
    if let Err(cause) = instances.post("/admin/members/leave", &body, within).await {
        tracing::warn!(id = member.id, %cause, "still in the list");
    }
}
