//! Circuit breakers: how long an upstream is paused after a fault.

use super::*;

impl Breaker {
    /// Starts a pause of `pause` microseconds, doubled for each earlier consecutive fault, at most
    /// `doublings` times, so that dead upstreams that stay listed get few attempts.
    pub(super) fn trip(&mut self, now: Time, pause: f64, doublings: u32) {
        if now < self.until {
            return; // Sent before the pause began: the same fault, already counted.
        }
        self.until = now.plus(Span::of(pause * f64::from(1 << self.faults)));
        self.faults = (self.faults + 1).min(doublings);
    }
}
