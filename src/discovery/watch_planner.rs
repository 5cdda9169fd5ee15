//! Where a client of the list calls, when it calls again, and what it believes. Pure: told what happened and when,
//! answers what to do.
//!
//! One clock, whether lists are pushed or asked for (STANDING, and the operators' letter after it): a change counts
//! as told 6 s after discovery had it and could be reached, whatever became of calls. A watch without a word for
//! [`IDLE_TIMEOUT`] is broken, and a call that was answered without a word after [`FIRST_DATA_TIMEOUT`]; another call is made then,
//! beside it, and further ones until somebody speaks: every [`WatchPlanner::call_interval`]. Where lists are pushed that is often,
//! for what their agent holds at its return counts as told at once. Where lists are asked for the service is shared:
//! calls are few, and once all that were out have failed the caller says when to call.

use std::net::SocketAddr;
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use tokio::time::Instant;

/// A watch says something every 2 s; without a word for this long it is broken, though nothing told so (a machine
/// that is cut off sends no reset). News counts as told 6 s after the silence began, heard or not: the next call and
/// its [`FIRST_DATA_TIMEOUT`] have to fit in before that.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(3500);
/// An answered call says something within 2 s.
pub const FIRST_DATA_TIMEOUT: Duration = Duration::from_millis(2200);
/// A call that waits for its answer longer than this has failed.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(3000);
/// Most of the time between two calls where there is no other address: it is an agent on this machine, which
/// answers at no cost.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Least of it.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// Calls and watches open at once; each is a descriptor.
const MAX_OPEN_CALLS: usize = 8;
/// The same where lists are asked for: what was sent [`CALL_TIMEOUT`] ago has failed.
const MAX_OPEN_CALLS_ON_DEMAND: usize = 2;
/// Longest backoff: a round of calls comes behind it.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// All addresses are called once within this time, whatever becomes of the calls.
const ROUND_TIME: Duration = Duration::from_millis(2000);

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Call there, and ask for what changed after this revision. The serial names the call.
    Call {
        /// Which call.
        serial: u64,
        /// Where.
        address: SocketAddr,
        /// The revision that is held.
        index: u64,
    },
    /// End this call or watch.
    Drop(u64),
    /// All calls and watches have ended; the caller says when to call again.
    Disconnected,
}

/// What to make of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Take it.
    Accept,
    /// Older than what is held: leave it aside, and watch elsewhere.
    Older,
    /// Of a call that was given up.
    ClosedCall,
}

/// Whether lists come unasked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They do. What counts as told may be sent on for this long at most: the grace of a drain.
    Pushed {
        /// The grace.
        grace: Duration,
    },
    /// The caller says when to call.
    OnDemand,
}

/// The addresses, calls and revision of one client.
#[derive(Debug)]
pub struct WatchPlanner {
    addresses: Vec<SocketAddr>,
    next_address: usize,
    mode: Mode,
    revision: u64,
    /// Whether the next list is taken whatever its revision.
    accept_any: bool,
    /// Whether the next list has to be a whole one: what is held is of other services.
    full_list: bool,
    failures: usize,
    backoff: ExponentialBackoff,
    serial: u64,
    /// Open calls, oldest first, and when each was made.
    open: Vec<(u64, Instant)>,
    last_call: Option<Instant>,
    /// When to call again, or, where lists are asked for, to give up.
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
    /// A client that may call any of these addresses, in this order; there must be one. It holds the list of this
    /// revision.
    pub fn new(addresses: Vec<SocketAddr>, mode: Mode, revision: u64, now: Instant) -> Self {
        let mut follow = Self {
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
            follow.due = Some(now);
        }
        follow
    }

    /// The same, for one whose list of this revision is of other services than it follows: it asks for the whole list,
    /// and takes none that is older.
    pub fn requesting_full_list(mut self) -> Self {
        self.full_list = true;
        self
    }

    /// The time between two calls while nobody speaks. Of the one agent of this machine: what it learns counts as told
    /// at once, and has to be heard well within the grace. Where lists are asked for, half the time of a call.
    pub fn call_interval(&self) -> Duration {
        let others = self.addresses.len().max(1) as u32;
        match self.mode {
            Mode::Pushed { grace } => (grace / 4)
                .clamp(MIN_CALL_INTERVAL, MAX_CALL_INTERVAL)
                .min((ROUND_TIME / others).max(MIN_CALL_INTERVAL)),
            Mode::OnDemand => (CALL_TIMEOUT / 2).min((ROUND_TIME / others).max(MAX_CALL_INTERVAL)),
        }
    }

    /// The revision held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn is_open(&self, serial: u64) -> bool {
        self.open.iter().any(|(open, _)| *open == serial)
    }

    /// When [`Self::tick`] has something to do.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// What there is to do, in order.
    pub fn steps(&mut self) -> std::vec::Drain<'_, Step> {
        self.steps.drain(..)
    }

    /// The service is elsewhere from now on, and may count its revisions anew: it is asked for the whole list, and
    /// what it tells first is believed.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>, now: Instant) {
        (self.addresses, self.next_address, self.accept_any) = (addresses, 0, true);
        (self.failures, self.backoff) = (0, backoff());
        self.restart(now);
    }

    /// Other services are followed from now on: the whole list is asked for, at once, and what is no older than that
    /// held is taken.
    pub fn filter_changed(&mut self, now: Instant) {
        self.full_list = true;
        self.restart(now);
    }

    /// Whether what is told next stands for the whole list, however it was told: nothing else was asked for.
    pub fn needs_full_list(&self) -> bool {
        self.full_list
    }

    /// Where lists are asked for: calls now.
    pub fn poll(&mut self, now: Instant) {
        self.restart(now);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Instant) {
        if self.due.is_none_or(|due| now < due) {
            return;
        }
        if self.open.is_empty() {
            self.call(now);
            return;
        }
        // Beside what is silent: any of them may be the one that is told first.
        let wait = self.advance_address();
        self.call(now);
        self.due = Some(now + wait.max(self.call_interval()));
    }

    /// A call was answered, though nothing was told yet.
    pub fn answered(&mut self, serial: u64, now: Instant) {
        if self.is_open(serial) {
            self.due = Some(now + FIRST_DATA_TIMEOUT);
        }
    }

    /// A watch spoke: a sign of life, or a message. Whether it is one that counts.
    pub fn alive(&mut self, serial: u64, now: Instant) -> bool {
        let open = self.is_open(serial);
        if open {
            self.close_others(Some(serial));
            self.due = Some(now + IDLE_TIMEOUT);
        }
        open
    }

    /// A watch told a message of this revision.
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
            // At once, for what is missed counts as told; but no faster than one call after the other.
            next = next.max(self.last_call.map_or(now, |last| last + self.call_interval()));
        }
        // Another call may be out that is due to be doubted earlier.
        self.due =
            Some(self.due.filter(|_| !self.open.is_empty()).map_or(next, |due| due.min(next)));
    }

    /// Turns to the next address. How long to wait before it is called: not at all before each of the others was
    /// tried, then longer each round, with jitter, so that a bank of proxies does not come back as one.
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
        // Its jitter comes on top of the longest delay.
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
            // The oldest keeps its time. Failure: of a service that took longer than it took to make so many calls,
            // each was given up before its answer came, and a bank that started again never heard a list.
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

    /// Ends all calls but this one.
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
