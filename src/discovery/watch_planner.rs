//! Decides where and when a client of the list calls, and which lists it accepts. Pure: callers report events with
//! their time and carry out the resulting steps.
//!
//! The same timing applies whether lists are pushed or requested on demand (STANDING, and the operators' letter after
//! it): a change counts as known to a client 6 s after discovery had it and could be reached, whatever became of
//! calls. A watch without data for [`IDLE_TIMEOUT`] is considered broken, and so is an answered call without data
//! after [`FIRST_DATA_TIMEOUT`]. Another call is then made in parallel, and more every
//! [`WatchPlanner::call_interval`] until one of them receives data. In push mode the interval is short, because what
//! the agent holds when it returns counts as known at once. In on-demand mode the service is shared: calls are few,
//! and once all open ones have failed the caller decides when to call again.

use std::net::SocketAddr;
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use tokio::time::Instant;

/// A watch without data for this long is considered broken. The service sends data every 2 s, and a machine that is
/// cut off from the network sends no reset. Changes count as known 6 s after the watch went idle, received or not, so
/// the next call and its [`FIRST_DATA_TIMEOUT`] have to fit in before that.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(3500);
/// An answered call without data for this long is considered broken; the service sends data within 2 s.
pub const FIRST_DATA_TIMEOUT: Duration = Duration::from_millis(2200);
/// A call without an answer for this long has failed.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(3000);
/// Longest time between two calls with a single address, which is an agent on this machine, so that calls are cheap.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two calls.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of open calls and watches; each uses a file descriptor.
const MAX_OPEN_CALLS: usize = 8;
/// The same limit in on-demand mode, where a call made [`CALL_TIMEOUT`] ago has failed and makes room for the next.
const MAX_OPEN_CALLS_ON_DEMAND: usize = 2;
/// Longest backoff between two rounds; a round of calls follows it.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Every address is called once within this time, whatever the outcome of the calls.
const ROUND_TIME: Duration = Duration::from_millis(2000);

/// An action for the client to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Call this address and request the changes since this revision.
    Call {
        /// Identifies the call in later events.
        serial: u64,
        /// Address of the list service.
        address: SocketAddr,
        /// Current revision of the client, or 0 for the full list.
        index: u64,
    },
    /// Close the call or watch with this serial.
    Drop(u64),
    /// All calls and watches have ended; the caller decides when to call again.
    Disconnected,
}

/// Whether to use a received list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Use it.
    Accept,
    /// Older than the current list: ignore it, and watch another address.
    Older,
    /// Ignore it: its call was already closed.
    ClosedCall,
}

/// Whether the client calls on its own or on demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The client keeps a watch open.
    Pushed {
        /// Drain grace: how long requests may still go to an upstream after its drain or removal counts as known.
        grace: Duration,
    },
    /// The caller decides when to call.
    OnDemand,
}

/// Plans the calls and watches of one client and tracks its revision.
#[derive(Debug)]
pub struct WatchPlanner {
    addresses: Vec<SocketAddr>,
    next_address: usize,
    mode: Mode,
    revision: u64,
    /// Whether the next list is accepted whatever its revision.
    accept_any: bool,
    /// Whether the full list is needed, because the current one is of other services.
    full_list: bool,
    failures: usize,
    backoff: ExponentialBackoff,
    serial: u64,
    /// Serial and start time of open calls, oldest first.
    open: Vec<(u64, Instant)>,
    last_call: Option<Instant>,
    /// Time of the next [`Self::tick`] that acts; `None` if none is pending.
    due: Option<Instant>,
    steps: Vec<Step>,
}

fn backoff() -> ExponentialBackoff {
    ExponentialBuilder::default()
        .with_min_delay(Duration::from_millis(50))
        .with_max_delay(MAX_BACKOFF)
        .with_jitter()
        .without_max_times()
        .build()
}

impl WatchPlanner {
    /// Creates a planner that calls these addresses in order; there must be at least one. `revision` is that of the
    /// list the client has.
    pub fn new(addresses: Vec<SocketAddr>, mode: Mode, revision: u64, now: Instant) -> Self {
        let mut planner = Self {
            addresses,
            next_address: 0,
            mode,
            revision,
            accept_any: false,
            full_list: false,
            failures: 0,
            backoff: backoff(),
            serial: 0,
            open: Vec::new(),
            last_call: None,
            due: None,
            steps: Vec::new(),
        };
        if mode != Mode::OnDemand {
            planner.due = Some(now);
        }
        planner
    }

    /// Makes the first call request the full list, because the client's list is of other services. Lists older than
    /// the client's revision are still rejected.
    pub fn requesting_full_list(mut self) -> Self {
        self.full_list = true;
        self
    }

    /// Time between two calls while no data arrives. In push mode it is well within the drain grace, because what the
    /// local agent learns counts as known at once. In on-demand mode it is at most half of [`CALL_TIMEOUT`].
    pub fn call_interval(&self) -> Duration {
        let others = self.addresses.len().max(1) as u32;
        match self.mode {
            Mode::Pushed { grace } => (grace / 4)
                .clamp(MIN_CALL_INTERVAL, MAX_CALL_INTERVAL)
                .min((ROUND_TIME / others).max(MIN_CALL_INTERVAL)),
            Mode::OnDemand => (CALL_TIMEOUT / 2).min((ROUND_TIME / others).max(MAX_CALL_INTERVAL)),
        }
    }

    /// Revision of the last accepted list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn is_open(&self, serial: u64) -> bool {
        self.open.iter().any(|(open, _)| *open == serial)
    }

    /// When [`Self::tick`] has to be called next.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Takes the pending steps, in the order in which to carry them out.
    pub fn steps(&mut self) -> std::vec::Drain<'_, Step> {
        self.steps.drain(..)
    }

    /// Switches to other addresses. Revisions may start over there, so the full list is requested and the first list
    /// is accepted whatever its revision.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>, now: Instant) {
        (self.addresses, self.next_address, self.accept_any) = (addresses, 0, true);
        (self.failures, self.backoff) = (0, backoff());
        self.restart(now);
    }

    /// Requests the full list at once, because the services to watch have changed. Lists older than the current
    /// revision are still rejected.
    pub fn filter_changed(&mut self, now: Instant) {
        self.full_list = true;
        self.restart(now);
    }

    /// Whether the next list is a full one even if it is marked as changes, because the full list was requested.
    pub fn needs_full_list(&self) -> bool {
        self.full_list
    }

    /// Replaces all open calls with a new one; for [`Mode::OnDemand`].
    pub fn poll(&mut self, now: Instant) {
        self.restart(now);
    }

    /// Makes the next call if it is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        if self.due.is_none_or(|due| now < due) {
            return;
        }
        if self.open.is_empty() {
            self.call(now);
            return;
        }
        // Idle calls stay open: any of them may be the first to receive data.
        let wait = self.advance_address();
        self.call(now);
        self.due = Some(now + wait.max(self.call_interval()));
    }

    /// A call was answered; no data has arrived yet.
    pub fn answered(&mut self, serial: u64, now: Instant) {
        if self.is_open(serial) {
            self.due = Some(now + FIRST_DATA_TIMEOUT);
        }
    }

    /// A watch received data, be it a heartbeat or a message. Returns whether its call is still open.
    pub fn alive(&mut self, serial: u64, now: Instant) -> bool {
        let open = self.is_open(serial);
        if open {
            self.close_others(Some(serial));
            self.due = Some(now + IDLE_TIMEOUT);
        }
        open
    }

    /// A watch received a message of this revision. Returns whether to use it.
    pub fn update_received(&mut self, serial: u64, revision: u64, now: Instant) -> Verdict {
        if !self.is_open(serial) {
            return Verdict::ClosedCall;
        }
        if revision < self.revision && !self.accept_any {
            self.steps.push(Step::Drop(serial));
            self.ended(serial, now);
            return Verdict::Older;
        }
        self.alive(serial, now);
        (self.accept_any, self.full_list) = (false, false);
        (self.failures, self.backoff) = (0, backoff());
        self.revision = revision;
        Verdict::Accept
    }

    /// A call failed, or a watch ended.
    pub fn ended(&mut self, serial: u64, now: Instant) {
        let Some(at) = self.open.iter().position(|(open, _)| *open == serial) else { return };
        self.open.remove(at);
        if self.mode == Mode::OnDemand {
            let round_unfinished = self.failures + 1 < self.addresses.len();
            self.advance_address();
            if self.open.is_empty() && round_unfinished {
                self.call(now);
            } else if self.open.is_empty() {
                self.disconnected();
            }
            return;
        }
        let mut next = now + self.advance_address();
        if self.addresses.len() == 1 {
            // Retried at once, because changes count as known even if missed, but with the interval between calls.
            next = next.max(self.last_call.map_or(now, |last| last + self.call_interval()));
        }
        // Another open call may time out earlier.
        self.due =
            Some(self.due.filter(|_| !self.open.is_empty()).map_or(next, |due| due.min(next)));
    }

    /// Advances to the next address and returns the delay before calling it. The delay is zero until all other
    /// addresses have been tried, then grows each round. Its jitter keeps a fleet of proxies from reconnecting at once.
    fn advance_address(&mut self) -> Duration {
        let others = self.addresses.len().saturating_sub(1);
        if others == 0 {
            return Duration::ZERO;
        }
        self.next_address = (self.next_address + 1) % self.addresses.len();
        self.failures += 1;
        if self.failures <= others {
            return Duration::ZERO;
        }
        self.failures = 0;
        // Jitter is added on top of the maximum delay of the backoff.
        self.backoff.next().map_or(MAX_CALL_INTERVAL, |wait| wait.min(MAX_BACKOFF))
    }

    fn restart(&mut self, now: Instant) {
        self.close_others(None);
        self.call(now);
    }

    fn call(&mut self, now: Instant) {
        self.due = None;
        let Some(address) = self.addresses.get(self.next_address).copied() else { return };
        self.serial += 1;
        let (serial, index) =
            (self.serial, if self.accept_any || self.full_list { 0 } else { self.revision });
        let max_open =
            if self.mode == Mode::OnDemand { MAX_OPEN_CALLS_ON_DEMAND } else { MAX_OPEN_CALLS };
        if self.open.len() >= max_open {
            // The oldest call stays open for its full timeout. Otherwise a service whose answers take longer than this
            // many call intervals has each call closed before its answer, and a restarted fleet never gets a list.
            let oldest_within_timeout =
                self.open.first().is_some_and(|(_, made)| now < *made + CALL_TIMEOUT);
            let (dropped, _) = self.open.remove(usize::from(oldest_within_timeout && max_open > 1));
            self.steps.push(Step::Drop(dropped));
        }
        self.steps.push(Step::Call { serial, address, index });
        self.open.push((serial, now));
        self.last_call = Some(now);
        self.due = Some(now + self.call_interval());
    }

    /// Closes all calls except this one.
    fn close_others(&mut self, remaining: Option<u64>) {
        let others = self.open.iter().filter(|(s, _)| Some(*s) != remaining);
        self.steps.extend(others.map(|(s, _)| Step::Drop(*s)));
        self.open.retain(|(s, _)| Some(*s) == remaining);
    }

    fn disconnected(&mut self) {
        self.due = None;
        self.steps.push(Step::Disconnected);
    }
}
