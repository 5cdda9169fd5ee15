//! The holder's side of one duty: when to ask, when to renew, and when to stop. Pure: told the time and what was
//! answered; it never looks at a clock of another machine.

use std::time::Duration;

use super::table::Token;

/// The stated bound on how far the rates of two machines' monotonic clocks may be apart: one part in 20. A
/// holder takes the TTL for that much shorter.
pub const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// Where the holder stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// It does not hold the duty; it may ask from `next` on.
    Idle { retry_at: Duration },
    /// It asked at `asked`.
    Requesting { sent_at: Duration },
    /// It holds the duty until `until` at the latest.
    Held { token: Token, until: Duration, renew_at: Duration, sent_at: Option<Duration> },
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an acquire; tell what comes of it.
    Acquire,
    /// Send a renewal for this token; tell what comes of it.
    Renew(Token),
    /// The duty has ended here: stop it at once.
    Stop(Token),
    /// Nothing before this time.
    Wait(Duration),
}

/// One process's claim on one duty.
#[derive(Debug)]
pub struct Holder {
    ttl: Duration,
    state: State,
    /// Grants lost since the start: ended by time or refused, not released.
    pub lost: u64,
    /// Renewals answered.
    pub renewals: u64,
}

impl Holder {
    /// One that will ask at once for a lease of this TTL.
    pub fn new(ttl: Duration) -> Self {
        Self { ttl, state: State::Idle { retry_at: Duration::ZERO }, lost: 0, renewals: 0 }
    }

    /// The token, while the duty may be done at `now`. Ask right before every step of it.
    pub fn token(&self, now: Duration) -> Option<Token> {
        match self.state {
            State::Held { token, until, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// When the duty has to stop, should no renewal come.
    pub fn until(&self) -> Option<Duration> {
        match self.state {
            State::Held { until, .. } => Some(until),
            _ => None,
        }
    }

    /// How long one call may take: a third of the TTL, so that two fail before the lease does.
    pub fn call_timeout(&self) -> Duration {
        self.ttl / 3
    }

    fn lease_end(&self, sent_at: Duration) -> Duration {
        sent_at + self.ttl - self.ttl / CLOCK_DRIFT_DIVISOR
    }

    /// What to do at `now`.
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

    /// A grant came for what was asked at `asked`.
    pub fn granted(&mut self, token: Token, sent_at: Duration) {
        if matches!(self.state, State::Requesting { sent_at: at } if at == sent_at) {
            let (until, renew_at) = (self.lease_end(sent_at), sent_at + self.ttl / 3);
            self.state = State::Held { token, until, renew_at, sent_at: None };
        }
    }

    /// The renewal asked for at `asked` was granted.
    pub fn renewed(&mut self, sent_at: Duration) {
        if let State::Held { token, sent_at: Some(at), .. } = self.state
            && at == sent_at
        {
            self.renewals += 1;
            let (until, renew_at) = (self.lease_end(sent_at), sent_at + self.ttl / 3);
            self.state = State::Held { token, until, renew_at, sent_at: None };
        }
    }

    /// The service said no: another holds it, or the token is stale. Returns the token of a duty to stop now.
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

    /// Nobody answered, or nobody that could decide. A lease that is held goes on until its time.
    pub fn unanswered(&mut self, now: Duration) {
        match &mut self.state {
            State::Held { renew_at, sent_at, .. } => {
                *sent_at = None;
                *renew_at = now + self.ttl / 12;
            }
            state => *state = State::Idle { retry_at: now + self.ttl / 6 },
        }
    }

    /// The duty was given back.
    pub fn released(&mut self, now: Duration) {
        self.state = State::Idle { retry_at: now + self.ttl };
    }
}

#[cfg(test)]
mod tests;
