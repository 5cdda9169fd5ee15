//! When an upstream started, on the module's clock. Lists state it on the wall clock, which may be stepped; the module's
//! is set to the wall clock once and does not step.

use crate::interface::{Span, Time};

/// A difference from here on is a step; less is the clock's own adjustment.
const STEP: Span = Span(1_000_000);
/// Steps that are remembered, the newest ones.
const REMEMBERED: usize = 16;

/// The wall clock as it was read, beside the module's.
#[derive(Debug)]
pub struct WallClock {
    now: Time,
    /// By how much the wall clock was ahead of the module's, once for each step.
    ahead: Vec<Span>,
}

impl Default for WallClock {
    fn default() -> Self {
        Self { now: Time(i64::MAX), ahead: vec![Span(0)] }
    }
}

impl WallClock {
    /// The wall clock reads `wall` at the moment `now` of the module's.
    pub fn read(&mut self, wall: Time, now: Time) {
        self.now = now;
        let ahead = wall.since(now);
        let is_known = |known: &Span| (known.0 - ahead.0).abs() < STEP.0;
        if self.ahead.iter().any(is_known) {
            return;
        }
        tracing::warn!(ahead_s = ahead.0 / 1_000_000, "the wall clock has stepped");
        if self.ahead.len() == REMEMBERED {
            self.ahead.remove(1);
        }
        self.ahead.push(ahead);
    }

    /// When an upstream started that says so by the wall clock. Where that was read before or after a step is not
    /// known: of the moments that are not ahead, the latest, for a cold upstream must not pass for a warm one.
    pub fn started(&self, by_wall: Time) -> Time {
        if self.ahead.len() == 1 {
            return by_wall;
        }
        let moments = self.ahead.iter().map(|ahead| Time(by_wall.0 - ahead.0));
        moments.filter(|moment| *moment <= self.now).max().unwrap_or(self.now)
    }
}

#[cfg(test)]
mod tests;
