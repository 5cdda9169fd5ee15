//! The times by which one request must come on: its client's deadline, and what follows from it for its attempts and its
//! answer.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The policy's deadline is this much before the client's, which leaves time to deliver the response and for
/// scheduling delay in this process. Capped at a quarter of the remaining time.
const MAX_HEADROOM: Duration = Duration::from_millis(15);
const HEADROOM_DIVISOR: u32 = 4;
/// The engine answers by itself once only this fraction of the headroom is left and the policy has not answered.
const BACKSTOP_DIVISOR: u32 = 3;

/// The time between the policy's deadline and the client's deadline `until`, for a request that arrives now.
pub fn headroom(until: Instant, now: Instant) -> Duration {
    MAX_HEADROOM.min(until.saturating_duration_since(now) / HEADROOM_DIVISOR)
}

/// When the engine answers by itself if the policy has not answered a request with this headroom.
pub fn backstop(until: Instant, headroom: Duration) -> Instant {
    until - headroom / BACKSTOP_DIVISOR
}

/// The deadlines of one request, shared by its attempts. They move when its body is complete, and at shutdown.
pub struct Deadlines {
    client: Cell<Instant>,
    headroom: Cell<Duration>,
    /// The latest time for any answer, once the process shuts down.
    shutdown: Cell<Option<Instant>>,
}

impl Deadlines {
    /// The deadlines of a request whose client waits until `client`, as of `now`.
    pub fn new(client: Instant, now: Instant) -> Self {
        let headroom = Cell::new(headroom(client, now));
        Self { client: Cell::new(client), headroom, shutdown: Cell::new(None) }
    }

    /// Sets the client's deadline, and the others by it.
    pub fn set_client(&self, client: Instant, now: Instant) {
        self.client.set(client);
        self.headroom.set(headroom(client, now));
    }

    /// Sets the latest time for any answer.
    pub fn set_shutdown(&self, by: Instant) {
        self.shutdown.set(Some(by));
    }

    /// When the client stops waiting.
    pub fn client(&self) -> Instant {
        self.client.get()
    }

    /// The latest time for any answer, if the process shuts down.
    pub fn shutdown(&self) -> Option<Instant> {
        self.shutdown.get()
    }

    /// The policy's deadline: no attempt is waited for any longer of whose response nothing could be passed on.
    pub fn policy(&self) -> Instant {
        self.client.get() - self.headroom.get()
    }

    /// When the engine answers a request by itself.
    pub fn backstop(&self) -> Instant {
        let at = backstop(self.client.get(), self.headroom.get());
        self.shutdown.get().map_or(at, |by| by.min(at))
    }
}

#[cfg(test)]
mod tests;
