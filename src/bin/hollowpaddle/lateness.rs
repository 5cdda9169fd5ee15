//! Detects process stalls from late timers. Data read after a stall may have waited in the kernel, so a request's
//! deadline counts from the earliest time at which its data can have arrived.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// A timer later than this means a stall; smaller delays are normal under load.
const STALL_THRESHOLD: Duration = Duration::from_millis(40);
/// How long after a stall data that arrived during it may still be read.
const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// When the next timer is due, and the last stall.
#[derive(Debug, Default)]
pub struct Lateness {
    next_timer: Cell<Option<Instant>>,
    last_stall: Cell<Option<Stall>>,
}

#[derive(Clone, Copy, Debug)]
struct Stall {
    since: Instant,
    caught_up: Instant,
}

impl Lateness {
    /// Sets when the earliest timer is due.
    pub fn set_next_timer(&self, due: Option<Instant>) {
        self.next_timer.set(due);
    }

    /// Records that the event loop runs now; returns the delay of the timer if it counts as a stall.
    pub fn record_wakeup(&self, now: Instant) -> Option<Duration> {
        let since = self.next_timer.get()?;
        let late = now.saturating_duration_since(since);
        if late <= STALL_THRESHOLD {
            return None;
        }
        self.last_stall.set(Some(Stall { since, caught_up: now + CATCH_UP_TIME }));
        Some(late)
    }

    /// The earliest time at which data that is read now may have arrived in the kernel.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let late = self
            .next_timer
            .get()
            .filter(|due| now.saturating_duration_since(*due) > STALL_THRESHOLD);
        let stalled = self.last_stall.get().filter(|stall| now < stall.caught_up);
        late.or(stalled.map(|stall| stall.since)).unwrap_or(now)
    }
}

#[cfg(test)]
mod tests;
