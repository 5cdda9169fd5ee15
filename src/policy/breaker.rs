//! Circuit breakers: how long an upstream is paused after a fault.

use super::*;

/// A circuit breaker that pauses an upstream after a fault; the pause doubles with each consecutive fault.
#[derive(Clone, Copy, Debug)]
pub(super) struct Breaker {
    pub(super) until: Time,
    pub(super) faults: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        Self { until: Time(i64::MIN), faults: 0 }
    }
}

impl Breaker {
    /// Starts a pause of `pause` microseconds, doubled for each earlier consecutive fault, at most
    /// `doublings` times.
    ///
    /// Failure: without doubling, every proxy retried the upstreams of a lost zone, which stayed on the list
    /// for long, every few milliseconds, and most of the fleet's attempts went to them.
    pub(super) fn trip(&mut self, now: Time, pause: f64, doublings: u32) {
        if now < self.until {
            return; // Sent before the pause began: the same fault, already counted.
        }
        self.until = now.plus(Span::of(pause * f64::from(1 << self.faults)));
        self.faults = (self.faults + 1).min(doublings);
    }
}
