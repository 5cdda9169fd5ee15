//! The holder's side of one duty: when to acquire, when to renew and when to stop. Pure: the time and the
//! answers are inputs, and no clock of another machine is used.

use std::time::Duration;

use super::table::Token;

/// Bound on the difference between the rates of two machines' monotonic clocks: one part in 20. A holder
/// shortens the TTL by this share.
pub const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// The state of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Does not hold the duty; may ask from `retry_at` on.
    Idle { retry_at: Duration },
    /// Sent an acquire request at `sent_at`.
    Requesting { sent_at: Duration },
    /// Holds the duty until `until` at the latest; `sent_at` is set while a renewal is pending.
    Held { token: Token, until: Duration, renew_at: Duration, sent_at: Option<Duration> },
}

/// The next action of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an acquire request and report the answer.
    Acquire,
    /// Send a renewal for this token and report the answer.
    Renew(Token),
    /// The lease has ended: stop the duty at once.
    Stop(Token),
    /// Do nothing before this time.
    Wait(Duration),
}

/// One process's claim on one duty.
#[derive(Debug)]
pub struct Holder {
    ttl: Duration,
    state: State,
    /// Grants lost since the start: expired or refused, not released.
    pub lost: u64,
    /// Renewals granted since the start.
    pub renewals: u64,
}

impl Holder {
    /// A claim that asks for a lease of this TTL at once.
    pub fn new(ttl: Duration) -> Self {
        Self { ttl, state: State::Idle { retry_at: Duration::ZERO }, lost: 0, renewals: 0 }
    }

    /// The token, while the duty may be performed at `now`. Check it right before every step of the duty.
    pub fn token(&self, now: Duration) -> Option<Token> {
        match self.state {
            State::Held { token, until, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// When the duty has to stop unless the lease is renewed.
    pub fn until(&self) -> Option<Duration> {
        match self.state {
            State::Held { until, .. } => Some(until),
            _ => None,
        }
    }

    /// How long one call may take: a third of the TTL, so that two calls can fail before the lease ends.
    pub fn call_timeout(&self) -> Duration {
        self.ttl / 3
    }

    fn lease_end(&self, sent_at: Duration) -> Duration {
        sent_at + self.ttl - self.ttl / CLOCK_DRIFT_DIVISOR
    }

    /// The next action at `now`.
    pub fn step(&mut self, now: Duration) -> Step {
        match self.state {
            State::Idle { retry_at } if now < retry_at => Step::Wait(retry_at),
            State::Idle { .. } => {
                self.state = State::Requesting { sent_at: now };
                Step::Acquire
            }
            State::Requesting { sent_at } => Step::Wait(sent_at + self.call_timeout()),
            State::Held { token, until, .. } if now >= until => {
                self.lost += 1;
                self.state = State::Idle { retry_at: now };
                Step::Stop(token)
            }
            State::Held { token, until, renew_at, sent_at: None } => {
                if now < renew_at {
                    return Step::Wait(renew_at.min(until));
                }
                self.state = State::Held { token, until, renew_at, sent_at: Some(now) };
                Step::Renew(token)
            }
            State::Held { until, .. } => Step::Wait(until),
        }
    }

    /// Handles a grant for the request sent at `sent_at`. An answer to an older request is ignored.
    pub fn granted(&mut self, token: Token, sent_at: Duration) {
        if matches!(self.state, State::Requesting { sent_at: at } if at == sent_at) {
            let (until, renew_at) = (self.lease_end(sent_at), sent_at + self.ttl / 3);
            self.state = State::Held { token, until, renew_at, sent_at: None };
        }
    }

    /// Handles the grant of the renewal sent at `sent_at`.
    pub fn renewed(&mut self, sent_at: Duration) {
        if let State::Held { token, sent_at: Some(at), .. } = self.state
            && at == sent_at
        {
            self.renewals += 1;
            let (until, renew_at) = (self.lease_end(sent_at), sent_at + self.ttl / 3);
            self.state = State::Held { token, until, renew_at, sent_at: None };
        }
    }

    /// Handles a refusal: another process holds the duty, or the token is stale. Returns the token if the duty
    /// has to stop now.
    pub fn refused(&mut self, now: Duration) -> Option<Token> {
        let retry_at = now + self.ttl / 6;
        match std::mem::replace(&mut self.state, State::Idle { retry_at }) {
            State::Held { token, .. } => {
                self.lost += 1;
                Some(token)
            }
            _ => None,
        }
    }

    /// Handles a call without an answer, or with one that decides nothing. A lease that is held lasts until its
    /// end.
    pub fn unanswered(&mut self, now: Duration) {
        match &mut self.state {
            State::Held { renew_at, sent_at, .. } => {
                *sent_at = None;
                *renew_at = now + self.ttl / 12;
            }
            state => *state = State::Idle { retry_at: now + self.ttl / 6 },
        }
    }

    /// Handles the release of the duty.
    pub fn released(&mut self, now: Duration) {
        self.state = State::Idle { retry_at: now + self.ttl };
    }
}

#[cfg(test)]
mod tests;
