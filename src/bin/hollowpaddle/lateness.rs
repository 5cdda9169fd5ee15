//! How late the process runs: what is read after it stood still has waited in the kernel meanwhile, and its time runs
//! from when it came.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// From this much on a late timer tells of a stall: less is a busy moment.
const STALL_THRESHOLD: Duration = Duration::from_millis(40);
/// How long after a stall what came during it is still being read.
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
    /// The earliest timer is due then.
    pub fn set_next_timer(&self, due: Option<Instant>) {
        self.next_timer.set(due);
    }

    /// The process runs now; tells how late, where that was a stall.
    pub fn record_wakeup(&self, now: Instant) -> Option<Duration> {
        let since = self.next_timer.get()?;
        let late = now.saturating_duration_since(since);
        if late <= STALL_THRESHOLD {
            return None;
        }
        self.last_stall.set(Some(Stall { since, caught_up: now + CATCH_UP_TIME }));
        Some(late)
    }

    /// The earliest moment at which something that is read now may have come.
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
