//! Decides how long the rest of a response is waited for, from its size and from how it has arrived so far.
//!
//! A small response has to end soon after the client's deadline. Of a large one only the first bytes are timed, and it
//! must not be cut off while its upstream still sends it. A response of unknown size counts as small until it proves to
//! be large: by its size, or because it is still arriving, at the pace of a large one, when a small one would have to
//! end.

use std::time::Duration;

use tokio::time::Instant;

use super::STALL_TIMEOUT;
use crate::bodies::MAX_BUFFERED_BYTES;

/// A client needs the end of a small response at the latest this long after its deadline (STANDING).
const END_LIMIT: Duration = Duration::from_millis(500);
/// Time to deliver the end of a response: scheduling, and the network in both directions, since the deadline counts from
/// when the client sent its request.
const DELIVERY_TIME: Duration = Duration::from_millis(60);
/// Grace after the deadline for a response of unknown size: the complete limit, since any byte that arrives before it may
/// prove that the response is large.
const UNKNOWN_SIZE_GRACE: Duration = END_LIMIT.saturating_sub(DELIVERY_TIME);
/// Grace after the deadline for a response that is known to be small. Leaves time for a process stall of 0.15 s.
const SMALL_GRACE: Duration = Duration::from_millis(300);
/// The slowest pace that the operators name for a large body (DAYS).
const SLOW_PACE_BYTES_PER_S: f64 = 64_000.0;
/// A response of unknown size that has arrived more slowly than this is not taken for a large one.
const MIN_LARGE_BYTES_PER_S: f64 = 24_000.0;
/// By how much a piece may be late, compared with the pieces before it.
const ARRIVAL_JITTER: Duration = Duration::from_millis(100);
/// Time for all bytes of a piece to arrive once its first ones have; a longer gap lies between two pieces.
const PIECE_TIME: Duration = Duration::from_millis(20);

/// The size of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Size {
    /// In bytes, as its head declares it.
    Declared(u64),
    /// It ends with the last chunk, or with the connection.
    Unknown,
}

/// How much of a response has arrived, and when.
#[derive(Clone, Debug)]
pub(super) struct ResponseProgress {
    /// The client's deadline.
    deadline: Instant,
    size: Size,
    /// In bytes.
    received: u64,
    first_at: Instant,
    last_at: Instant,
    /// When the first bytes of the newest piece arrived.
    piece_at: Instant,
    longest_gap: Duration,
    /// By when a large response that arrives as this one has so far brings its next piece; `None` if it arrives too
    /// slowly for a large one. Never moves back, since the pace seems slow while part of a piece has arrived.
    expected_by: Option<Instant>,
}

impl ResponseProgress {
    /// A response of which the first `received` bytes have arrived by now.
    pub(super) fn new(deadline: Instant, size: Size, received: u64, now: Instant) -> Self {
        let mut progress = Self {
            deadline,
            size,
            received,
            first_at: now,
            last_at: now,
            piece_at: now,
            longest_gap: Duration::ZERO,
            expected_by: None,
        };
        progress.expected_by = progress.next_piece_expected_by();
        progress
    }

    /// Records the arrival of `bytes` more.
    pub(super) fn record(&mut self, bytes: usize, now: Instant) {
        let gap = now.saturating_duration_since(self.last_at);
        if gap > PIECE_TIME {
            self.piece_at = now;
        }
        self.received += bytes as u64;
        self.longest_gap = self.longest_gap.max(gap);
        self.last_at = now;
        self.expected_by = self.expected_by.max(self.next_piece_expected_by());
    }

    /// The number of bytes that have arrived.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// Whether more than what is buffered of a small response has arrived or is declared.
    pub(super) fn is_large(&self) -> bool {
        let size = match self.size {
            Size::Declared(size) => size,
            Size::Unknown => self.received,
        };
        size > MAX_BUFFERED_BYTES as u64
    }

    /// When to stop waiting for more bytes, if they have been waited for since `waiting_since`.
    pub(super) fn give_up_at(&self, waiting_since: Instant) -> Instant {
        let stalled = waiting_since + STALL_TIMEOUT;
        if self.is_large() {
            return stalled;
        }
        stalled.min(match self.size {
            Size::Declared(_) => self.deadline + SMALL_GRACE,
            Size::Unknown => {
                let end = self.deadline + UNKNOWN_SIZE_GRACE;
                end.max(self.piece_at + PIECE_TIME).max(self.expected_by.unwrap_or(end))
            }
        })
    }

    fn next_piece_expected_by(&self) -> Option<Instant> {
        let arrived_in = self.last_at.saturating_duration_since(self.first_at).as_secs_f64();
        if (self.received as f64) < arrived_in * MIN_LARGE_BYTES_PER_S {
            return None;
        }
        let by_pace =
            self.first_at + Duration::from_secs_f64(self.received as f64 / SLOW_PACE_BYTES_PER_S);
        let by_gap = self.last_at + self.longest_gap.mul_f64(1.5);
        Some(by_pace.max(by_gap) + ARRIVAL_JITTER)
    }
}

#[cfg(test)]
mod tests;
