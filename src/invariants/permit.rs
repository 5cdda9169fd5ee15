//! Checks whether a request may be accepted, sent or sent again, and whether a client's connection may be closed.

use std::time::Duration;

use crate::invariants::violations::Rule;

/// An attempt may begin at most this long after its client closed the connection (STANDING).
pub const AFTER_CLOSE: Duration = Duration::from_millis(100);
/// The deadline sent to an upstream may exceed the client's remaining time by at most this much (STANDING).
pub const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// The same limit for the check before the first byte is written; the rest allows for a process stall between check
/// and write.
const DEADLINE_SLACK_BEFORE: Duration = Duration::from_millis(50);
/// Maximum process stall between reading the clock and writing (STANDING).
const MAX_STALL: Duration = Duration::from_millis(150);

/// Why an action is not permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denial {
    /// The client no longer waits for the answer.
    #[error("its client has closed the connection")]
    ClientClosed,
    /// The request has received its final answer.
    #[error("the request has already been answered")]
    Answered,
    /// The latest time at which the attempt may begin has passed.
    #[error("the latest time at which the attempt may begin has passed")]
    WindowPassed,
    /// The upstream is draining or no longer on the list, and gets no new requests.
    #[error("the upstream is draining or no longer on the list")]
    UpstreamClosed,
    /// The upstream has a new address; another upstream may listen on the old one.
    #[error("the upstream has a new address")]
    UpstreamMoved,
    /// The deadline in the request exceeds the client's remaining time by more than the slack.
    #[error("the deadline in the request exceeds the client's remaining time")]
    DeadlineStale,
    /// A request on the connection has been read, in part or completely, and not answered.
    #[error("a request on the connection is unanswered")]
    Unanswered,
    /// Bytes have arrived on the connection and have not been read.
    #[error("the connection has unread bytes")]
    Unread,
}

/// Facts just before the first byte of an attempt is written to the socket.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendFacts {
    /// The client has closed its connection, as reported by the kernel.
    pub client_closed: bool,
    /// The request has received its final answer.
    pub answered: bool,
    /// The latest time at which the attempt may begin has passed.
    pub window_passed: bool,
    /// The upstream is draining or no longer on the list.
    pub upstream_closed: bool,
    /// The connection leads to a former address of the upstream.
    pub upstream_moved: bool,
    /// Excess of the deadline in the request over the client's remaining time.
    pub deadline_excess: Duration,
}

/// Checks whether an attempt, the first or a further one, may begin.
///
/// # Errors
/// The first rule that the attempt would violate.
pub fn send(facts: &SendFacts) -> Result<(), Denial> {
    let denials = [
        (facts.client_closed, Denial::ClientClosed),
        (facts.answered, Denial::Answered),
        (facts.upstream_closed, Denial::UpstreamClosed),
        (facts.window_passed, Denial::WindowPassed),
        (facts.upstream_moved, Denial::UpstreamMoved),
        (facts.deadline_excess > DEADLINE_SLACK_BEFORE, Denial::DeadlineStale),
    ];
    first_of(&denials)
}

/// Checks whether a request that has been read may be accepted.
///
/// # Errors
/// [`Denial::ClientClosed`] if its client has closed the connection.
pub fn start(client_closed: bool) -> Result<(), Denial> {
    first_of(&[(client_closed, Denial::ClientClosed)])
}

/// Facts just before the proxy closes a client's connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct CloseFacts {
    /// The client has closed its own end.
    pub client_closed: bool,
    /// A request has been read, in part or completely, and not answered.
    pub unanswered: bool,
    /// Bytes have arrived and have not been read.
    pub unread: bool,
}

/// Checks whether a client's connection may be closed.
///
/// # Errors
/// An unanswered request or unread bytes, unless the client has closed its end.
pub fn close(facts: &CloseFacts) -> Result<(), Denial> {
    if facts.client_closed {
        return Ok(());
    }
    first_of(&[(facts.unanswered, Denial::Unanswered), (facts.unread, Denial::Unread)])
}

fn first_of(denials: &[(bool, Denial)]) -> Result<(), Denial> {
    match denials.iter().find(|(holds, _)| *holds) {
        Some((_, denial)) => Err(*denial),
        None => Ok(()),
    }
}

/// Facts about an attempt as the write of its first byte began.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentFacts {
    /// Whether [`send`] was checked before the write.
    pub guarded: bool,
    /// How long before the write the client's connection was last known to be open.
    pub since_check: Duration,
    /// The client has closed its connection, before or during the write.
    pub client_closed: bool,
    /// The upstream is draining or no longer on the list.
    pub upstream_closed: bool,
    /// Time since the latest time at which the attempt may begin; zero if it has not passed.
    pub past_window: Duration,
    /// Excess of the deadline in the request over the client's remaining time.
    pub deadline_excess: Duration,
}

/// The rules that an attempt has violated.
pub fn broken(facts: &SentFacts) -> impl Iterator<Item = Rule> {
    let late = facts.client_closed && facts.since_check > AFTER_CLOSE;
    let rules = [
        (!facts.guarded, Rule::UnguardedAttempt),
        (late, Rule::AttemptAfterClose),
        (facts.upstream_closed, Rule::AttemptAtClosedUpstream),
        (facts.past_window > MAX_STALL, Rule::AttemptAfterWindow),
        (facts.deadline_excess > DEADLINE_SLACK, Rule::DeadlineTooLong),
    ];
    rules.into_iter().filter_map(|(holds, rule)| holds.then_some(rule))
}

#[cfg(test)]
mod tests;
