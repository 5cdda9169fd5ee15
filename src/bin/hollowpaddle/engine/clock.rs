//! The clock of the policy.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hollowpaddle::interface::Time;
use tokio::time::Instant;

/// The policy's clock: monotonic, with its origin set once from Unix time so that times in the list need no
/// conversion.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    start: Instant,
    unix_us: i64,
}

impl Clock {
    pub(super) fn new() -> Self {
        Self { start: Instant::now(), unix_us: Self::wall().0 }
    }
    /// The current wall clock time, which may have been stepped since the process started.
    pub(super) fn wall() -> Time {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Time(unix.as_micros() as i64)
    }
    pub(super) fn now(&self) -> Time {
        self.at(Instant::now())
    }
    pub(super) fn at(&self, instant: Instant) -> Time {
        Time(self.unix_us + instant.saturating_duration_since(self.start).as_micros() as i64)
    }
    pub(super) fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros((time.0 - self.unix_us).max(0) as u64)
    }
}
