//! When an upstream started, on the module's clock. Lists state it on the wall clock, which may be stepped; the module's
//! is set to the wall clock once and does not step.

use crate::interface::{Span, Time};

/// A difference from here on is a step; less is the clock's own adjustment.
const MIN_STEP: Span = Span(1_000_000);
/// Steps that are remembered, the newest ones.
const MAX_OFFSETS: usize = 16;

/// The wall clock as it was read, beside the module's.
#[derive(Debug)]
pub struct WallClock {
    last_read: Time,
    /// By how much the wall clock was ahead of the module's, once for each step.
    offsets: Vec<Span>,
}

impl Default for WallClock {
    fn default() -> Self {
        Self { last_read: Time(i64::MAX), offsets: vec![Span(0)] }
    }
}

impl WallClock {
    /// The wall clock reads `wall` at the moment `now` of the module's.
    pub fn record(&mut self, wall: Time, now: Time) {
        self.last_read = now;
        let offset = wall.since(now);
        let is_known = |known: &Span| (known.0 - offset.0).abs() < MIN_STEP.0;
        if self.offsets.iter().any(is_known) {
            return;
        }
        tracing::warn!(ahead_s = offset.0 / 1_000_000, "the wall clock has stepped");
        if self.offsets.len() == MAX_OFFSETS {
            self.offsets.remove(1);
        }
        self.offsets.push(offset);
    }

    /// When an upstream started that says so by the wall clock. Where that was read before or after a step is not
    /// known: of the moments that are not ahead, the latest, for a cold upstream must not pass for a warm one.
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
