//! The check before each attempt. Gathers the current facts, lets [`permit`] decide, and checks after the write
//! whether a rule was broken between the check and the write.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle::invariants::permit::{self, Denial, SendFacts, SentFacts};
use hollowpaddle::invariants::violations::{Rule, Violations};
use tokio::time::Instant;

use crate::upstreams::{Forward, Target};

/// How long a check of the client's connection stays valid: far less than `permit::AFTER_CLOSE`, the time after a
/// close in which an attempt may still begin.
const CLIENT_CHECK_VALIDITY: Duration = Duration::from_millis(5);

/// The state that decides whether one attempt may start, up to its first byte on the wire.
pub struct AttemptGuard {
    forward: Rc<Forward>,
    /// False once the request has its answer.
    unanswered: Rc<Cell<bool>>,
    target: Rc<Target>,
    /// The latest time at which the attempt may start.
    latest_start: Instant,
    /// The remote address of the connection in use.
    address: Cell<Option<SocketAddr>>,
    /// The deadline in the request's `X-Deadline-Ms` header to the upstream.
    sent_deadline: Cell<Option<Duration>>,
    /// When the client's connection was last seen to be open.
    client_seen: Cell<Option<Instant>>,
    denial: Cell<Option<Denial>>,
    violations: Violations,
}

impl AttemptGuard {
    /// The guard of an attempt that may start until `latest_start`.
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

    /// The request that the attempt carries.
    pub fn forward(&self) -> &Forward {
        &self.forward
    }

    /// Whether the request still waits for its answer.
    pub fn is_unanswered(&self) -> bool {
        self.unanswered.get()
    }

    /// The upstream that the attempt goes to.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Sets the remote address after a connection was chosen, and clears the deadline sent on a previous one.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(Some(address));
        self.sent_deadline.set(None);
    }

    /// Records the deadline that is sent to the upstream.
    pub fn set_sent_deadline(&self, deadline: Duration) {
        self.sent_deadline.set(Some(deadline));
    }

    /// Called at each step of the attempt, and right before its first byte is written.
    ///
    /// # Errors
    /// Why the attempt may not start now.
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
            tracing::debug!(request = self.forward.id(), %denial, "attempt not started");
        }
        permitted
    }

    /// The denial of the last check, if it denied the attempt.
    pub fn denial(&self) -> Option<Denial> {
        self.denial.get()
    }

    /// Called after the first bytes were written, by a write that began at `write_start`; counts the rules that were broken
    /// when it began. A process that is stopped after that has started the attempt before.
    pub fn record_start(&self, write_start: Instant) {
        let seen = self.client_seen.get();
        let since_check =
            seen.map_or(Duration::ZERO, |at| write_start.saturating_duration_since(at));
        let facts = SentFacts {
            guarded: seen.is_some(),
            since_check,
            client_closed: since_check > permit::AFTER_CLOSE && self.forward.client.has_closed(),
            upstream_closed: self.target.closed.get(),
            past_window: write_start.saturating_duration_since(self.latest_start),
            deadline_excess: self.deadline_excess(write_start),
        };
        for rule in permit::broken(&facts) {
            let write_time = write_start.elapsed();
            tracing::warn!(
                request = self.forward.id(),
                ?facts,
                ?write_time,
                "attempt broke a rule"
            );
            self.violations.count(rule, self.forward.id());
        }
    }

    /// Counts a write of request bytes that no guard has permitted.
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

    /// By how much the deadline sent to the upstream exceeds the client's remaining time. Zero while the request
    /// body is incomplete, because the client's time starts at its last byte.
    fn deadline_excess(&self, now: Instant) -> Duration {
        let coming = self.forward.body.rest.as_ref().is_some_and(|rest| !rest.is_complete());
        let Some(sent_deadline) = self.sent_deadline.get().filter(|_| !coming) else {
            return Duration::ZERO;
        };
        sent_deadline.saturating_sub(self.forward.deadlines.client().saturating_duration_since(now))
    }
}
