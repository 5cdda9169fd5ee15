//! The pace at which a client has to send the body of its request.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep};

/// Minimum rate at which a client must send a body. Clients at 64 kB/s must be served; the lower limit allows for
/// uneven arrival.
const MIN_BYTES_PER_SECOND: f64 = 48_000.0;
/// Upper limit of the waiting time that a client earns by sending faster than the minimum rate.
const MAX_WAIT: Duration = Duration::from_millis(2500);

/// Enforces the minimum rate of a request body. Only time spent waiting for the client counts: a body that is not
/// read because no upstream takes it is not late.
pub(super) struct Pace {
    left: Duration,
    since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl Pace {
    /// The client has `patience` to send the first bytes.
    pub(super) fn new(patience: Duration) -> Self {
        Self { left: patience, since: None, timer: Box::pin(sleep(patience)) }
    }

    /// Whether the client is being waited for.
    pub(super) fn is_waiting(&self) -> bool {
        self.since.is_some()
    }

    /// For how long the client has been waited for; `None` if it is not.
    pub(super) fn waiting_time(&self) -> Option<Duration> {
        self.since.map(|since| since.elapsed())
    }

    /// Records the receipt of `bytes`, which earn time.
    pub(super) fn record_received(&mut self, bytes: usize) {
        if let Some(since) = self.since.take() {
            self.left = self.left.saturating_sub(since.elapsed());
        }
        let earned = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND);
        self.left = (self.left + earned).min(MAX_WAIT);
    }

    /// Waits for the client, until its time is over.
    pub(super) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.since.is_none() {
            let now = Instant::now();
            self.since = Some(now);
            self.timer.as_mut().reset(now + self.left);
        }
        self.timer.as_mut().poll(cx)
    }
}
