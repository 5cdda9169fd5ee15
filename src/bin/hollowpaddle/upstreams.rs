//! Attempts at upstreams, and the pool of upstream connections.

mod attempt;
mod attempt_progress;
mod attempt_timeout;
mod connection;
mod first_part;
mod forward;
mod load_report;
mod pool;
mod response_progress;
mod streamed_response;

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use hollowpaddle::interface::{Outcome, Report};
use hollowpaddle::invariants::permit::Denial;
use hyper::Response;

use crate::bodies::UpstreamResponse;
pub use forward::{Forward, header_bytes};
pub use pool::Pool;
pub use streamed_response::StreamedResponse;

/// An exchange is aborted when the upstream neither reads nor sends a byte for this long in the middle of a body.
const STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// The outcome of an attempt, with its response if it succeeded.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub report: Report,
    /// The response to forward, if the outcome is `Ok`.
    pub response: Option<Box<Response<UpstreamResponse>>>,
    /// Why the guard did not let the attempt start.
    pub denial: Option<Denial>,
}

impl AttemptResult {
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, report: Report::default(), response: None, denial: None }
    }

    /// The result of an attempt that the guard did not let start.
    pub fn denied(denial: Denial) -> Self {
        Self { denial: Some(denial), ..Self::without_response(Outcome::NotSent) }
    }
}

/// The properties of an upstream that may change while an attempt waits for a connection.
#[derive(Debug)]
pub struct Target {
    pub address: Cell<SocketAddr>,
    /// The upstream drains or is gone. Takes effect immediately, without the drain grace: the grace began when
    /// discovery got the update, which may be earlier than its arrival here.
    pub closed: Cell<bool>,
}

#[cfg(test)]
mod tests;
