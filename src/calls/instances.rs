//! Sends writes to the list service, whichever of its instances currently leads.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBuilder};
use hyper::{Method, StatusCode};
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout_at};

use super::{CallError, ask};

/// Bounds of the time that one instance gets to answer.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The management addresses of the list service's instances, and the one believed to lead.
#[derive(Debug)]
pub struct Instances {
    addresses: Vec<SocketAddr>,
    leader: Cell<SocketAddr>,
    position: Cell<usize>,
}

/// Why no instance decided a call.
#[derive(Debug, thiserror::Error)]
pub enum InstanceCallError {
    /// No instance is configured.
    #[error("no list service is named")]
    NoInstances,
    /// No instance decided the call within the time allowed. The write may still have been applied.
    #[error("no list service decided within {0:?}; last: {1}")]
    TimedOut(Duration, String),
}

impl Instances {
    /// Creates the set of instances from their management addresses; the first is asked first.
    ///
    /// # Errors
    /// [`InstanceCallError::NoInstances`] if `addresses` is empty.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, InstanceCallError> {
        let first = *addresses.first().ok_or(InstanceCallError::NoInstances)?;
        Ok(Self { addresses, leader: Cell::new(first), position: Cell::new(0) })
    }

    /// The configured management addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    fn select_next(&self) {
        let position = (self.position.get() + 1) % self.addresses.len();
        self.position.set(position);
        self.leader.set(self.addresses[position]);
    }

    /// Posts `body` until an instance decides the call. Any answer is a decision except 421, which names the leader to
    /// ask next, and 5xx other than 507. Failed attempts are followed by a back-off with jitter. The request must be
    /// idempotent, since it may be carried out more than once.
    ///
    /// # Errors
    /// [`InstanceCallError::TimedOut`] if no instance decides within `within`, or if the request cannot be built.
    pub async fn post(
        &self,
        path: &str,
        body: &Value,
        within: Duration,
    ) -> Result<(StatusCode, Value), InstanceCallError> {
        let deadline = Instant::now() + within;
        let mut backoff = ExponentialBuilder::default()
            .with_min_delay(Duration::from_millis(20))
            .with_max_delay(Duration::from_millis(500))
            .with_jitter()
            .without_max_times()
            .build();
        // An instance that does not answer (paused or partitioned) must leave time to ask the others.
        let call_timeout = (within / self.addresses.len() as u32)
            .clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT)
            .min(within);
        let mut last_failure = String::from("not asked");
        loop {
            let address = self.leader.get();
            let call = ask(address, Method::POST, path, body.to_string(), call_timeout);
            match timeout_at(deadline, call).await {
                Err(_) => {
                    self.select_next();
                    return Err(InstanceCallError::TimedOut(within, last_failure));
                }
                Ok(Ok((status, answer))) => {
                    let value: Value = serde_json::from_slice(&answer).unwrap_or_default();
                    if status == StatusCode::MISDIRECTED_REQUEST {
                        last_failure = format!("{address} does not lead");
                        let named_leader = value["leader"].as_str().and_then(|a| a.parse().ok());
                        if let Some(leader) = named_leader.filter(|l| *l != address) {
                            self.leader.set(leader);
                            // The named leader may be out of date. The pause prevents a busy loop between two
                            // instances that name each other.
                            sleep(Duration::from_millis(2)).await;
                            continue;
                        }
                    } else if status.is_server_error() && status != StatusCode::INSUFFICIENT_STORAGE
                    {
                        last_failure = format!("{address} answered {status}");
                    } else {
                        return Ok((status, value));
                    }
                }
                Ok(Err(error @ CallError::Request(..))) => {
                    return Err(InstanceCallError::TimedOut(within, error.to_string()));
                }
                Ok(Err(error)) => last_failure = error.to_string(),
            }
            self.select_next();
            let delay = backoff.next().unwrap_or(Duration::from_millis(500));
            if Instant::now() + delay >= deadline {
                return Err(InstanceCallError::TimedOut(within, last_failure));
            }
            sleep(delay).await;
        }
    }
}
