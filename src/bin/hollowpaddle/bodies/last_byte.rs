//! Decides by when a request must be answered whose body is incomplete, from how its bytes have arrived.
//!
//! A request's time starts when its client has written the last byte. While an upstream reads slowly, that byte may wait for
//! seconds in the kernel of either side, so the time cannot start when it is read. What this machine's kernel holds is known;
//! what the client's kernel holds shows only as more of it arrives.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum size of the send buffer of a client's kernel (Linux, default of `tcp_wmem`): as long as more of a body is missing,
/// its client has not written all of it.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;
/// The end of a body that a client's kernel holds unseen, for as long as it may take to arrive.
const HIDDEN_END_BYTES: u64 = 64 << 10;
const HIDDEN_END_TIME: Duration = Duration::from_millis(150);
/// The most arrivals that are remembered of the newest [`HIDDEN_END_BYTES`].
const MAX_ARRIVALS: usize = 64;
/// By how much the last byte of a body may have been written before it arrived, if its client's kernel held more than that: at
/// most, and as a part of the request's time.
const UNSEEN_TIME: Duration = Duration::from_millis(600);
const UNSEEN_DIVISOR: u32 = 3;
/// A body that moves brings something at least this often, since kernels tell of free room in steps, and clients and
/// upstreams at 64 kB/s must be served.
const MIN_STALL_TIME: Duration = Duration::from_millis(1500);

/// How many bytes of a request body have arrived, and when.
#[derive(Clone, Debug)]
pub(super) struct BodyArrival {
    /// The size of the body in bytes, if the request declares it.
    size: Option<u64>,
    start: Instant,
    /// The number of bytes received by this machine.
    received: u64,
    received_at: Instant,
    /// The number of bytes passed on to an upstream.
    passed_on: u64,
    /// When bytes were last received or passed on.
    moved_at: Instant,
    /// Since when the rest may be in the client's kernel, if it is small.
    end_hidden_since: Option<Instant>,
    /// Total numbers of bytes received and when, oldest first, of what was hidden and may turn out to be the end.
    arrivals: VecDeque<(u64, Instant)>,
    /// Whether the newest bytes may have been hidden in the client's kernel before.
    was_hidden: bool,
    /// Whether the bytes received end as a body of unknown size does.
    ends: bool,
}

impl BodyArrival {
    /// A body of which nothing was received by `now`.
    pub(super) fn new(size: Option<u64>, now: Instant) -> Self {
        Self {
            size,
            start: now,
            received: 0,
            received_at: now,
            passed_on: 0,
            moved_at: now,
            end_hidden_since: None,
            arrivals: VecDeque::new(),
            was_hidden: false,
            ends: false,
        }
    }

    /// Records how many bytes were received and passed on by `now`, and whether more may be hidden in the client's kernel:
    /// nothing is while the proxy waits for the client. Returns whether more was received than before.
    pub(super) fn record(
        &mut self,
        (received, passed_on): (u64, u64),
        hidden: bool,
        now: Instant,
    ) -> bool {
        let grown = received > self.received;
        if grown {
            self.received = received;
            self.received_at = now;
            self.was_hidden = hidden;
            self.ends = false;
        }
        if grown || passed_on > self.passed_on {
            self.passed_on = passed_on;
            self.moved_at = now;
        }
        if !hidden {
            self.end_hidden_since = None;
            self.arrivals.clear();
        } else if self.size.is_none() {
            self.remember_arrival(grown, now);
        } else if self.missing().is_some_and(|bytes| (1..=HIDDEN_END_BYTES).contains(&bytes)) {
            self.end_hidden_since.get_or_insert(now);
        }
        grown
    }

    /// Remembers an arrival of a body of unknown size: its end may be close behind.
    fn remember_arrival(&mut self, grown: bool, now: Instant) {
        if !grown && !self.arrivals.is_empty() {
            return;
        }
        self.end_hidden_since = None;
        self.arrivals.push_back((self.received, now));
        let is_far = |(bytes, _): &(u64, Instant)| self.received - bytes > HIDDEN_END_BYTES;
        while self.arrivals.len() > MAX_ARRIVALS || self.arrivals.front().is_some_and(is_far) {
            self.arrivals.pop_front();
        }
    }

    /// Records whether the bytes received so far end as a body of unknown size does.
    pub(super) fn record_end(&mut self, ends: bool) {
        self.ends = ends;
        let first = self.arrivals.front().map(|(_, at)| *at);
        self.end_hidden_since = first.filter(|at| ends && *at < self.received_at);
    }

    /// For how long nothing was received or passed on.
    pub(super) fn stalled_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.moved_at)
    }

    /// When the last byte was written, if the newest bytes received are the last ones, for a request with `time` after it.
    pub(super) fn arrived_at(&self, time: Duration) -> Instant {
        if let Some(since) = self.end_hidden_since {
            return self.received_at.min(since + HIDDEN_END_TIME);
        }
        let unseen = UNSEEN_TIME.min(time / UNSEEN_DIVISOR);
        if !self.was_hidden {
            return self.received_at;
        }
        self.received_at.checked_sub(unseen).map_or(self.start, |at| at.max(self.start))
    }

    /// By when the request must be answered, with `time` after its last byte, if nothing more arrives; `None` while the last
    /// byte is certainly not written.
    pub(super) fn due(&self, time: Duration) -> Option<Instant> {
        if self.missing().map_or(self.ends, |bytes| bytes == 0) {
            return Some(self.arrived_at(time) + time);
        }
        if self.missing().is_some_and(|bytes| bytes > MAX_SEND_BUFFER_BYTES) {
            return None;
        }
        let stalled = self.moved_at + time.max(MIN_STALL_TIME);
        let end_due = self.end_hidden_since.map(|since| since + HIDDEN_END_TIME + time);
        Some(end_due.map_or(stalled, |at| at.min(stalled)))
    }

    fn missing(&self) -> Option<u64> {
        self.size.map(|size| size.saturating_sub(self.received))
    }
}

#[cfg(test)]
mod tests;
