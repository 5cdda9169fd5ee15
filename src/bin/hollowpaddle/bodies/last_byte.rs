//! Decides since when the last byte of a request body may have been written.
//!
//! A request's time starts when its client has written the last byte. While an upstream reads slowly, that byte may wait unseen
//! in the kernel of the client's machine, so the time starts at the last moment at which the client certainly had more to write.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum size of the send buffer of a client's kernel (Linux, default of `tcp_wmem`): what it has not sent beyond this, its
/// client has not written.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;
/// Arrivals are remembered in steps of at least this size.
const ARRIVAL_STEP_BYTES: u64 = 64 << 10;
/// So many sightings in a row of a client that has more to write are believed.
const MIN_SIGHTINGS: usize = 2;

/// How the bytes of a request body have arrived.
#[derive(Clone, Debug)]
pub(super) struct BodyArrival {
    /// The size of the body in bytes, if the request declares it.
    size: Option<u64>,
    /// The number of bytes received by this machine.
    received: u64,
    /// The last byte was not written before this time.
    unfinished_until: Instant,
    /// Numbers of bytes received and when, oldest first, of which the client's kernel may still hold what came after.
    arrivals: VecDeque<(u64, Instant)>,
}

impl BodyArrival {
    /// A body that no byte was written of before `start`.
    pub(super) fn new(size: Option<u64>, start: Instant) -> Self {
        Self { size, received: 0, unfinished_until: start, arrivals: VecDeque::from([(0, start)]) }
    }

    /// Records how many bytes this machine had received at `now`.
    pub(super) fn record_received(&mut self, received: u64, now: Instant) {
        self.received = received.max(self.received);
        if self.is_certainly_unfinished() {
            self.record_unfinished(now);
        }
        let newest = self.arrivals.back().map_or(0, |(bytes, _)| *bytes);
        if self.received >= newest + ARRIVAL_STEP_BYTES {
            self.arrivals.push_back((self.received, now));
        }
        // What has come since exceeds the send buffer, so that its end was written later.
        while let Some((bytes, at)) = self.arrivals.front().copied()
            && self.received > bytes + MAX_SEND_BUFFER_BYTES
        {
            self.record_unfinished(at);
            self.arrivals.pop_front();
        }
    }

    /// Records that the client had not written its last byte at `now`: all that it had written was received, and that was not
    /// the whole body.
    pub(super) fn record_unfinished(&mut self, now: Instant) {
        self.unfinished_until = self.unfinished_until.max(now);
    }

    /// The earliest time at which the last byte may have been written.
    pub(super) fn arrived_at(&self) -> Instant {
        self.unfinished_until
    }

    /// By when the request must be answered, with `time` after its last byte, unless the client is seen to write more; `None`
    /// while the last byte is certainly not written.
    pub(super) fn due(&self, time: Duration) -> Option<Instant> {
        (!self.is_certainly_unfinished()).then(|| self.arrived_at() + time)
    }

    /// Whether more is missing than the client's kernel can hold.
    fn is_certainly_unfinished(&self) -> bool {
        self.size.is_some_and(|size| size.saturating_sub(self.received) > MAX_SEND_BUFFER_BYTES)
    }
}

/// What was seen when all that a client had written was read, as far as there was memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CatchUp {
    /// Nothing was left to read before the end of the body.
    ClientHasMore,
    /// More came than there was memory for.
    MoreIsHidden,
    /// Nothing could be read, or the end of the body may be here.
    Unknown,
}

/// Sightings in a row of a client that has more to write. One alone may be wrong: what its kernel holds can be late.
#[derive(Debug, Default)]
pub(super) struct UnfinishedSightings(Vec<Instant>);

impl UnfinishedSightings {
    /// Records what was seen at `at`. Returns a time at which the client certainly had more to write, if it is known.
    pub(super) fn record(&mut self, at: Instant, seen: CatchUp) -> Option<Instant> {
        match seen {
            CatchUp::ClientHasMore => self.0.push(at),
            CatchUp::MoreIsHidden => self.0.clear(),
            CatchUp::Unknown => {}
        }
        (self.0.len() >= MIN_SIGHTINGS).then(|| self.0.remove(0))
    }
}

#[cfg(test)]
mod tests;
