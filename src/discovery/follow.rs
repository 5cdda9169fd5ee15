//! Where a client of the list calls, when it calls again, and what it believes. Pure: told what happened and when,
//! answers what to do.
//!
//! One clock, whether lists are pushed or asked for (STANDING, and the operators' letter after it): a change counts
//! as told 6 s after discovery had it and could be reached, whatever became of calls. A watch without a word for
//! [`SILENCE`] is broken, and a call that was answered without a word after [`FIRST_WORD`]; another call is made then,
//! beside it, and further ones until somebody speaks: every [`Follow::again`]. Where lists are pushed that is often,
//! for what their agent holds at its return counts as told at once. Where lists are asked for the service is shared:
//! calls are few, and once all that were out have failed the caller says when to call.

use std::net::SocketAddr;
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use tokio::time::Instant;

/// A watch says something every 2 s; without a word for this long it is broken, though nothing told so (a machine
/// that is cut off sends no reset). News counts as told 6 s after the silence began, heard or not: the next call and
/// its [`FIRST_WORD`] have to fit in before that.
pub const SILENCE: Duration = Duration::from_millis(3500);
/// An answered call says something within 2 s.
pub const FIRST_WORD: Duration = Duration::from_millis(2200);
/// A call that waits for its answer longer than this has failed.
pub const CALL: Duration = Duration::from_millis(3000);
/// Most of the time between two calls where there is no other address: it is an agent on this machine, which
/// answers at no cost.
const REWATCH: Duration = Duration::from_millis(500);
/// Least of it.
const REWATCH_LEAST: Duration = Duration::from_millis(50);
/// Calls and watches open at once; each is a descriptor.
const MOST_OPEN: usize = 8;
/// The same where lists are asked for: what was sent [`CALL`] ago has failed.
const MOST_ASKED: usize = 2;
/// Longest backoff: a round of calls comes behind it.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// All addresses are called once within this time, whatever becomes of the calls.
const ROUND: Duration = Duration::from_millis(2000);

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
    Lost,
}

/// What to make of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Take it.
    Take,
    /// Older than what is held: leave it aside, and watch elsewhere.
    Older,
    /// Of a call that was given up.
    Nobody,
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
    Asked,
}

/// The addresses, calls and revision of one client.
#[derive(Debug)]
pub struct Follow {
    addresses: Vec<SocketAddr>,
    at: usize,
    mode: Mode,
    revision: u64,
    /// Whether the next list is taken whatever its revision.
    anew: bool,
    /// Whether the next list has to be a whole one: what is held is of other services.
    whole: bool,
    failures: usize,
    waits: ExponentialBackoff,
    serial: u64,
    /// Open calls, oldest first, and when each was made.
    open: Vec<(u64, Instant)>,
    called: Option<Instant>,
    /// When to call again, or, where lists are asked for, to give up.
    due: Option<Instant>,
    steps: Vec<Step>,
}

fn waits() -> ExponentialBackoff {
    ExponentialBuilder::default()
        .with_min_delay(Duration::from_millis(50))
        .with_max_delay(LONGEST_WAIT)
        .with_jitter()
        .without_max_times()
        .build()
}

impl Follow {
    /// A client that may call any of these addresses, in this order; there must be one. It holds the list of this
    /// revision.
    pub fn new(addresses: Vec<SocketAddr>, mode: Mode, revision: u64, now: Instant) -> Self {
        let mut follow = Self {
            addresses,
            at: 0,
            mode,
            revision,
            anew: false,
            whole: false,
            failures: 0,
            waits: waits(),
            serial: 0,
            open: Vec::new(),
            called: None,
            due: None,
            steps: Vec::new(),
        };
        if mode != Mode::Asked {
            follow.due = Some(now);
        }
        follow
    }

    /// The same, for one whose list of this revision is of other services than it follows: it asks for the whole list,
    /// and takes none that is older.
    pub fn asking_whole(mut self) -> Self {
        self.whole = true;
        self
    }

    /// The time between two calls while nobody speaks. Of the one agent of this machine: what it learns counts as told
    /// at once, and has to be heard well within the grace. Where lists are asked for, half the time of a call.
    pub fn again(&self) -> Duration {
        let others = self.addresses.len().max(1) as u32;
        match self.mode {
            Mode::Pushed { grace } => {
                (grace / 4).clamp(REWATCH_LEAST, REWATCH).min((ROUND / others).max(REWATCH_LEAST))
            }
            Mode::Asked => (CALL / 2).min((ROUND / others).max(REWATCH)),
        }
    }

    /// The revision held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn is_open(&self, serial: u64) -> bool {
        self.open.iter().any(|(open, _)| *open == serial)
    }

    /// When [`Self::pass`] has something to do.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// What there is to do, in order.
    pub fn steps(&mut self) -> std::vec::Drain<'_, Step> {
        self.steps.drain(..)
    }

    /// The service is elsewhere from now on, and may count its revisions anew: it is asked for the whole list, and
    /// what it tells first is believed.
    pub fn moved(&mut self, addresses: Vec<SocketAddr>, now: Instant) {
        (self.addresses, self.at, self.anew) = (addresses, 0, true);
        (self.failures, self.waits) = (0, waits());
        self.call_alone(now);
    }

    /// Other services are followed from now on: the whole list is asked for, at once, and what is no older than that
    /// held is taken.
    pub fn refiltered(&mut self, now: Instant) {
        self.whole = true;
        self.call_alone(now);
    }

    /// Whether what is told next stands for the whole list, however it was told: nothing else was asked for.
    pub fn whole(&self) -> bool {
        self.whole
    }

    /// Where lists are asked for: calls now.
    pub fn ask(&mut self, now: Instant) {
        self.call_alone(now);
    }

    /// Time has passed.
    pub fn pass(&mut self, now: Instant) {
        if self.due.is_none_or(|due| now < due) {
            return;
        }
        if self.open.is_empty() {
            self.call(now);
            return;
        }
        // Beside what is silent: any of them may be the one that is told first.
        let wait = self.another();
        self.call(now);
        self.due = Some(now + wait.max(self.again()));
    }

    /// A call was answered, though nothing was told yet.
    pub fn answered(&mut self, serial: u64, now: Instant) {
        if self.is_open(serial) {
            self.due = Some(now + FIRST_WORD);
        }
    }

    /// A watch spoke: a sign of life, or a message. Whether it is one that counts.
    pub fn spoke(&mut self, serial: u64, now: Instant) -> bool {
        let counts = self.is_open(serial);
        if counts {
            self.only(Some(serial));
            self.due = Some(now + SILENCE);
        }
        counts
    }

    /// A watch told a message of this revision.
    pub fn told(&mut self, serial: u64, revision: u64, now: Instant) -> Verdict {
        if !self.is_open(serial) {
            return Verdict::Nobody;
        }
        if revision < self.revision && !self.anew {
            self.steps.push(Step::Drop(serial));
            self.ended(serial, now);
            return Verdict::Older;
        }
        self.spoke(serial, now);
        (self.anew, self.whole) = (false, false);
        (self.failures, self.waits) = (0, waits());
        self.revision = revision;
        Verdict::Take
    }

    /// A call failed, or a watch ended.
    pub fn ended(&mut self, serial: u64, now: Instant) {
        let Some(at) = self.open.iter().position(|(open, _)| *open == serial) else { return };
        self.open.remove(at);
        if self.mode == Mode::Asked {
            let round = self.failures + 1 < self.addresses.len();
            self.another();
            if self.open.is_empty() && round {
                self.call(now);
            } else if self.open.is_empty() {
                self.lost();
            }
            return;
        }
        let mut next = now + self.another();
        if self.addresses.len() == 1 {
            // At once, for what is missed counts as told; but no faster than one call after the other.
            next = next.max(self.called.map_or(now, |called| called + self.again()));
        }
        // Another call may be out that is due to be doubted earlier.
        self.due =
            Some(self.due.filter(|_| !self.open.is_empty()).map_or(next, |due| due.min(next)));
    }

    /// Turns to the next address. How long to wait before it is called: not at all before each of the others was
    /// tried, then longer each round, with jitter, so that a bank of proxies does not come back as one.
    fn another(&mut self) -> Duration {
        let others = self.addresses.len().saturating_sub(1);
        if others == 0 {
            return Duration::ZERO;
        }
        self.at = (self.at + 1) % self.addresses.len();
        self.failures += 1;
        if self.failures <= others {
            return Duration::ZERO;
        }
        self.failures = 0;
        // Its jitter comes on top of the longest delay.
        self.waits.next().map_or(REWATCH, |wait| wait.min(LONGEST_WAIT))
    }

    fn call_alone(&mut self, now: Instant) {
        self.only(None);
        self.call(now);
    }

    fn call(&mut self, now: Instant) {
        self.due = None;
        let Some(address) = self.addresses.get(self.at).copied() else { return };
        self.serial += 1;
        let (serial, index) =
            (self.serial, if self.anew || self.whole { 0 } else { self.revision });
        let most = if self.mode == Mode::Asked { MOST_ASKED } else { MOST_OPEN };
        if self.open.len() >= most {
            // The oldest keeps its time. Failure: of a service that took longer than it took to make so many calls,
            // each was given up before its answer came, and a bank that started again never heard a list.
            let oldest_waits = self.open.first().is_some_and(|(_, made)| now < *made + CALL);
            let (given_up, _) = self.open.remove(usize::from(oldest_waits && most > 1));
            self.steps.push(Step::Drop(given_up));
        }
        self.steps.push(Step::Call { serial, address, index });
        self.open.push((serial, now));
        self.called = Some(now);
        self.due = Some(now + self.again());
    }

    /// Ends all calls but this one.
    fn only(&mut self, kept: Option<u64>) {
        let others = self.open.iter().filter(|(s, _)| Some(*s) != kept);
        self.steps.extend(others.map(|(s, _)| Step::Drop(*s)));
        self.open.retain(|(s, _)| Some(*s) == kept);
    }

    fn lost(&mut self) {
        self.due = None;
        self.steps.push(Step::Lost);
    }
}
