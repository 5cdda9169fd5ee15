//! The one guard before each attempt: gathers what holds at that moment, lets [`permit`] decide, and checks after
//! the write what may have changed meanwhile.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle::invariants::permit::{self, Denial, SendFacts, SentFacts};
use hollowpaddle::invariants::violations::{Rule, Violations};
use tokio::time::Instant;

use crate::upstreams::{Forward, Target};

/// A look at the client's connection holds for so long: far less than an attempt may begin after a close.
const LOOK_HOLDS: Duration = Duration::from_millis(5);

/// What one attempt at an upstream depends on until its first byte is out.
pub struct AttemptGuard {
    forward: Rc<Forward>,
    /// Cleared once the request has its answer.
    live: Rc<Cell<bool>>,
    target: Rc<Target>,
    /// The last moment at which the attempt may begin.
    before: Instant,
    /// Where the connection in use leads.
    address: Cell<Option<SocketAddr>>,
    /// The deadline that the request tells the upstream.
    told: Cell<Option<Duration>>,
    /// When the client was last seen to be there.
    seen: Cell<Option<Instant>>,
    denial: Cell<Option<Denial>>,
    violations: Violations,
}

impl AttemptGuard {
    /// The guard of an attempt that may begin until `before`.
    pub fn new(
        forward: Rc<Forward>,
        live: Rc<Cell<bool>>,
        target: Rc<Target>,
        before: Instant,
        violations: Violations,
    ) -> Rc<Self> {
        Rc::new(Self {
            forward,
            live,
            target,
            before,
            address: Cell::new(None),
            told: Cell::new(None),
            seen: Cell::new(None),
            denial: Cell::new(None),
            violations,
        })
    }

    /// The request that the attempt is of.
    pub fn forward(&self) -> &Forward {
        &self.forward
    }

    /// The upstream that the attempt goes to.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// A connection to this address is used from now on.
    pub fn connected(&self, address: SocketAddr) {
        self.address.set(Some(address));
        self.told.set(None);
    }

    /// The request tells the upstream so much time from now on.
    pub fn tells(&self, deadline: Duration) {
        self.told.set(Some(deadline));
    }

    /// Asked whenever the attempt goes on, and right before its first byte is written.
    ///
    /// # Errors
    /// Why it may not begin now.
    pub fn check(&self) -> Result<(), Denial> {
        let now = Instant::now();
        let permitted = permit::send(&SendFacts {
            client_closed: self.client_closed(now),
            answered: !self.live.get(),
            window_passed: now >= self.before,
            upstream_closed: self.target.closed.get(),
            upstream_moved: self.address.get().is_some_and(|at| at != self.target.address.get()),
            deadline_excess: self.deadline_excess(now),
        });
        self.denial.set(permitted.err());
        if let Err(denial) = permitted {
            tracing::debug!(request = self.forward.id(), %denial, "an attempt is not begun");
        }
        permitted
    }

    /// Why it may not begin, where the last check said so.
    pub fn denial(&self) -> Option<Denial> {
        self.denial.get()
    }

    /// The first bytes are written: counts the rules that this has broken.
    pub fn begun(&self) {
        let now = Instant::now();
        let seen = self.seen.get();
        let since_check = seen.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let facts = SentFacts {
            guarded: seen.is_some(),
            since_check,
            client_closed: since_check > permit::AFTER_CLOSE && self.forward.client.has_closed(),
            upstream_closed: self.target.closed.get(),
            past_window: now.saturating_duration_since(self.before),
            deadline_excess: self.deadline_excess(now),
        };
        for rule in permit::broken(&facts) {
            self.violations.count(rule, self.forward.id());
        }
    }

    /// Bytes of a request are written on a connection that no guard has permitted.
    pub fn unguarded(violations: &Violations) {
        violations.count(Rule::UnguardedAttempt, None);
    }

    fn client_closed(&self, now: Instant) -> bool {
        let holds = |seen: Instant| now.saturating_duration_since(seen) < LOOK_HOLDS;
        if self.seen.get().is_some_and(holds) {
            return false;
        }
        let closed = self.forward.client.has_closed();
        if !closed {
            self.seen.set(Some(now));
        }
        closed
    }

    /// By how much the deadline in the request exceeds what the client has left. While its body is still coming, its
    /// time has not begun.
    fn deadline_excess(&self, now: Instant) -> Duration {
        let coming = self.forward.body.rest.as_ref().is_some_and(|rest| !rest.is_complete());
        let Some(told) = self.told.get().filter(|_| !coming) else { return Duration::ZERO };
        told.saturating_sub(self.forward.until.get().saturating_duration_since(now))
    }
}
