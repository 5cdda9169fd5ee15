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
const CLIENT_CHECK_VALIDITY: Duration = Duration::from_millis(5);

/// What one attempt at an upstream depends on until its first byte is out.
pub struct AttemptGuard {
    forward: Rc<Forward>,
    /// Cleared once the request has its answer.
    unanswered: Rc<Cell<bool>>,
    target: Rc<Target>,
    /// The last moment at which the attempt may begin.
    latest_start: Instant,
    /// Where the connection in use leads.
    address: Cell<Option<SocketAddr>>,
    /// The deadline that the request tells the upstream.
    sent_deadline: Cell<Option<Duration>>,
    /// When the client was last seen to be there.
    client_seen: Cell<Option<Instant>>,
    denial: Cell<Option<Denial>>,
    violations: Violations,
}

impl AttemptGuard {
    /// The guard of an attempt that may begin until `before`.
    pub fn new(
        forward: Rc<Forward>,
        unanswered: Rc<Cell<bool>>,
        target: Rc<Target>,
        latest_start: Instant,
        violations: Violations,
    ) -> Rc<Self> {
        Rc::new(Self {
            forward,
            unanswered,
            target,
            latest_start,
            address: Cell::new(None),
            sent_deadline: Cell::new(None),
            client_seen: Cell::new(None),
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
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(Some(address));
        self.sent_deadline.set(None);
    }

    /// The request tells the upstream so much time from now on.
    pub fn set_sent_deadline(&self, deadline: Duration) {
        self.sent_deadline.set(Some(deadline));
    }

    /// Asked whenever the attempt goes on, and right before its first byte is written.
    ///
    /// # Errors
    /// Why it may not begin now.
    pub fn check(&self) -> Result<(), Denial> {
        let now = Instant::now();
        let permitted = permit::send(&SendFacts {
            client_closed: self.client_closed(now),
            answered: !self.unanswered.get(),
            window_passed: now >= self.latest_start,
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
    pub fn record_start(&self) {
        let now = Instant::now();
        let seen = self.client_seen.get();
        let since_check = seen.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let facts = SentFacts {
            guarded: seen.is_some(),
            since_check,
            client_closed: since_check > permit::AFTER_CLOSE && self.forward.client.has_closed(),
            upstream_closed: self.target.closed.get(),
            past_window: now.saturating_duration_since(self.latest_start),
            deadline_excess: self.deadline_excess(now),
        };
        for rule in permit::broken(&facts) {
            self.violations.count(rule, self.forward.id());
        }
    }

    /// Bytes of a request are written on a connection that no guard has permitted.
    pub fn record_unguarded(violations: &Violations) {
        violations.count(Rule::UnguardedAttempt, None);
    }

    fn client_closed(&self, now: Instant) -> bool {
        let holds = |seen: Instant| now.saturating_duration_since(seen) < CLIENT_CHECK_VALIDITY;
        if self.client_seen.get().is_some_and(holds) {
            return false;
        }
        let closed = self.forward.client.has_closed();
        if !closed {
            self.client_seen.set(Some(now));
        }
        closed
    }

    /// By how much the deadline in the request exceeds what the client has left. While its body is still coming, its
    /// time has not begun.
    fn deadline_excess(&self, now: Instant) -> Duration {
        let coming = self.forward.body.rest.as_ref().is_some_and(|rest| !rest.is_whole());
        let Some(sent_deadline) = self.sent_deadline.get().filter(|_| !coming) else {
            return Duration::ZERO;
        };
        sent_deadline.saturating_sub(self.forward.until.get().saturating_duration_since(now))
    }
}
