//! Converts the start times of upstreams to the clock of the policy. Lists state them on the wall clock, which may be
//! stepped; the policy's clock is set from the wall clock once and is monotonic from then on.

use crate::interface::{Span, Time};

/// Offsets that differ by at least this are a step (1 s, in microseconds); less is ordinary clock adjustment.
const MIN_STEP: Span = Span(1_000_000);
/// Maximum number of offsets stored. Beyond it, the oldest step is dropped; the initial offset of 0 stays.
const MAX_OFFSETS: usize = 16;

/// The offsets that the wall clock has had from the policy's clock.
#[derive(Debug)]
pub struct WallClock {
    /// The policy's clock at the latest [`WallClock::record`].
    last_read: Time,
    /// The distinct offsets of the wall clock from the policy's clock, starting with 0; one more after each step to a
    /// new offset.
    offsets: Vec<Span>,
}

impl Default for WallClock {
    fn default() -> Self {
        Self { last_read: Time(i64::MAX), offsets: vec![Span(0)] }
    }
}

impl WallClock {
    /// Records that the wall clock reads `wall` when the policy's clock reads `now`.
    pub fn record(&mut self, wall: Time, now: Time) {
        self.last_read = now;
        let offset = wall.since(now);
        let is_known = |known: &Span| (known.0 - offset.0).abs() < MIN_STEP.0;
        if self.offsets.iter().any(is_known) {
            return;
        }
        tracing::warn!(ahead_s = offset.0 / 1_000_000, "wall clock step detected");
        if self.offsets.len() == MAX_OFFSETS {
            self.offsets.remove(1);
        }
        self.offsets.push(offset);
    }

    /// Converts a start time from the wall clock to the policy's clock. Whether the upstream read its clock before or
    /// after a step is not known. The result is the latest candidate that is not in the future, because a cold upstream
    /// must not be taken for a warm one.
    pub fn start_time(&self, by_wall_clock: Time) -> Time {
        if self.offsets.len() == 1 {
            return by_wall_clock;
        }
        let candidates = self.offsets.iter().map(|offset| Time(by_wall_clock.0 - offset.0));
        candidates.filter(|time| *time <= self.last_read).max().unwrap_or(self.last_read)
    }
}

#[cfg(test)]
mod tests;
