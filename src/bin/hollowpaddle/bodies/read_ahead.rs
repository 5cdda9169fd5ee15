//! Decides how much of a request body is read before its upstream takes it.
//!
//! What its client's kernel holds shows in no other way; but reading ahead makes a request's time start earlier, so that less
//! is read for an upstream that may take a large body in time.

use std::time::Duration;

/// The most that is read ahead, in bytes.
const MAX_BYTES: usize = 512 << 10;
/// The same for an upstream that is too slow to take a large body in time.
const MAX_BYTES_SLOW: usize = 1 << 20;
/// An upstream is slow if it takes less than the buffers of both kernels hold in the request's time; judged after a while,
/// and without what these buffers take at once.
const KERNEL_BUFFER_BYTES: u64 = 200 << 10;
const FIRST_BYTES: u64 = 100 << 10;
const MIN_JUDGED_TIME: Duration = Duration::from_millis(500);
/// Of a body that has stalled for longer nothing is read ahead: what arrives then may have been written long before.
const MAX_STALL: Duration = Duration::from_millis(300);

/// How a body has moved since it was last observed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Movement {
    /// Its reader waits for the client to send more.
    pub(super) waits_for_client: bool,
    /// An upstream has taken some of it.
    pub(super) was_taken: bool,
    /// The number of bytes that upstreams have taken so far.
    pub(super) passed_on: u64,
    /// Since when the body is observed.
    pub(super) elapsed: Duration,
    /// For how long nothing was received or taken.
    pub(super) stalled: Duration,
}

impl Movement {
    /// How many bytes may be read ahead, for a request with `time` after its last byte.
    pub(super) fn max_read_ahead(&self, time: Duration) -> usize {
        if self.waits_for_client || self.was_taken || self.stalled > MAX_STALL {
            return 0;
        }
        if self.is_slow(time) { MAX_BYTES_SLOW } else { MAX_BYTES }
    }

    fn is_slow(&self, time: Duration) -> bool {
        let taken = self.passed_on.saturating_sub(FIRST_BYTES) as f64;
        let in_time = taken / self.elapsed.as_secs_f64() * time.as_secs_f64();
        self.elapsed >= MIN_JUDGED_TIME && in_time < KERNEL_BUFFER_BYTES as f64
    }

    /// Whether its upstream holds the body back, if it did so before or not: it does until the client is waited for.
    pub(super) fn is_held_back(&self, before: bool) -> bool {
        !self.waits_for_client && (before || !self.was_taken)
    }
}

#[cfg(test)]
mod tests;
