//! How late the process runs: what is read after it stood still has waited in the kernel meanwhile, and its time runs
//! from when it came.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// From this much on a late timer tells of a stall: less is a busy moment.
const STALL: Duration = Duration::from_millis(40);
/// How long after a stall what came during it is still being read.
const CATCHING_UP: Duration = Duration::from_millis(50);

/// When the next timer is due, and the last stall.
#[derive(Debug, Default)]
pub struct Lateness {
    due: Cell<Option<Instant>>,
    stalled: Cell<Option<Stall>>,
}

#[derive(Clone, Copy, Debug)]
struct Stall {
    since: Instant,
    caught_up: Instant,
}

impl Lateness {
    /// The earliest timer is due then.
    pub fn expect(&self, due: Option<Instant>) {
        self.due.set(due);
    }

    /// The process runs now; tells how late, where that was a stall.
    pub fn woke(&self, now: Instant) -> Option<Duration> {
        let since = self.due.get()?;
        let late = now.saturating_duration_since(since);
        if late <= STALL {
            return None;
        }
        self.stalled.set(Some(Stall { since, caught_up: now + CATCHING_UP }));
        Some(late)
    }

    /// The earliest moment at which something that is read now may have come.
    pub fn arrived(&self, now: Instant) -> Instant {
        let late = self.due.get().filter(|due| now.saturating_duration_since(*due) > STALL);
        let stalled = self.stalled.get().filter(|stall| now < stall.caught_up);
        late.or(stalled.map(|stall| stall.since)).unwrap_or(now)
    }
}

#[cfg(test)]
mod tests;
