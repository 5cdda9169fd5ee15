//! Whether a request may be taken, sent or sent again, and whether a client's connection may be closed.

use std::time::Duration;

use crate::invariants::violations::Rule;

/// An attempt may begin this long after its client closed its connection (STANDING).
pub const AFTER_CLOSE: Duration = Duration::from_millis(100);
/// The deadline told to an upstream may exceed what its client has left by this much (STANDING).
pub const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// The same before the first byte is written: the rest is for a hold between the check and the write.
const DEADLINE_SLACK_BEFORE: Duration = Duration::from_millis(50);
/// A process may be held up for so long between reading its clock and writing (STANDING).
const MAX_STALL: Duration = Duration::from_millis(150);

/// Why an action is not permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denial {
    /// Nobody waits for the answer any more.
    #[error("its client has closed the connection")]
    ClientClosed,
    /// Its one final answer was given.
    #[error("the request has its answer")]
    Answered,
    /// It may not begin that late.
    #[error("the time in which the attempt may begin has passed")]
    WindowPassed,
    /// Nothing new goes there.
    #[error("the upstream drains or is gone")]
    UpstreamClosed,
    /// Another upstream may listen where it was.
    #[error("the upstream has moved")]
    UpstreamMoved,
    /// The upstream would be told more time than the client has left.
    #[error("the deadline in the request is no longer what is left")]
    DeadlineStale,
    /// A request on the connection has been read and not answered.
    #[error("a request on it is not answered")]
    Unanswered,
    /// Bytes on the connection have come and were not read.
    #[error("bytes on it are not read")]
    Unread,
}

/// What holds when the first byte of an attempt is about to be handed to the kernel.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendFacts {
    /// The client has closed its connection, by the kernel's word.
    pub client_closed: bool,
    /// The request has its final answer.
    pub answered: bool,
    /// The last moment at which the attempt may begin is over.
    pub window_passed: bool,
    /// The upstream drains or is gone.
    pub upstream_closed: bool,
    /// The connection leads to where the upstream no longer is.
    pub upstream_moved: bool,
    /// By how much the deadline in the request exceeds what the client has left.
    pub deadline_excess: Duration,
}

/// Whether an attempt, first or further, may begin.
///
/// # Errors
/// The first rule that it would break.
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

/// Whether a request that has been read may be taken.
///
/// # Errors
/// Its client has gone.
pub fn start(client_closed: bool) -> Result<(), Denial> {
    first_of(&[(client_closed, Denial::ClientClosed)])
}

/// What holds when a client's connection is about to be closed from this side.
#[derive(Clone, Copy, Debug, Default)]
pub struct CloseFacts {
    /// The client has closed its own end.
    pub client_closed: bool,
    /// A request has been read, in part or whole, and not answered.
    pub unanswered: bool,
    /// Bytes wait to be read.
    pub unread: bool,
}

/// Whether a client's connection may be closed.
///
/// # Errors
/// What is owed on it.
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

/// What holds right after the first byte of an attempt was handed to the kernel.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentFacts {
    /// Whether [`send`] was asked before the write.
    pub guarded: bool,
    /// Since the client was last known to be there.
    pub since_check: Duration,
    /// The client has closed its connection.
    pub client_closed: bool,
    /// The upstream drains or is gone.
    pub upstream_closed: bool,
    /// How long ago the last moment was at which the attempt may begin.
    pub past_window: Duration,
    /// By how much the deadline in the request exceeds what the client has left.
    pub deadline_excess: Duration,
}

/// The rules that an attempt has broken.
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
