//! Checks the record of a run against the invariants that hold under any fault.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::clients::ANSWER_GRACE;
use crate::record::{Attempt, Class, End, Record, Request};
use crate::schedule::KILL_AFTER;

/// An attempt may start at most this long after its client closed the connection.
const MAX_START_AFTER_CLOSE: Duration = Duration::from_millis(100);
/// The deadline forwarded to an upstream may exceed the client's remaining time by at most this much.
const FORWARDED_DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Extension of every time limit on sockets (PROTOCOL).
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// After a stall of this length a proxy may take a request for one that came when the stall began.
const MAX_EARLINESS: Duration = Duration::from_millis(300 + 50);
/// A proxy gives its last answers this long before it may be killed: 0.2 s, and time for this process to see them.
const KILL_MARGIN: Duration = Duration::from_millis(200 + 50);

/// Exceptions to the invariants that a run's faults allow.
#[derive(Default)]
pub struct Allowed {
    /// A connection flood exhausts the file descriptors: new connections may be closed unread.
    pub connection_flood: bool,
    /// For each drained upstream, when the grace period ends; no attempt may start later.
    pub drain_deadlines: HashMap<usize, Instant>,
    /// For each proxy, when it was told to shut down; its last answers come shortly before it is killed.
    pub terminated: Vec<Option<Instant>>,
}

/// Describes each violation.
pub fn check_invariants(record: &Record, allowed: &Allowed) -> Vec<String> {
    let requests = record.requests.lock().expect("requests");
    let attempts = record.attempts.lock().expect("attempts");
    let mut violations = Vec::new();
    for (id, request) in requests.iter() {
        let none = Vec::new();
        let request_attempts = attempts.get(id).unwrap_or(&none);
        let faults = [
            started_after_close(request, request_attempts),
            unanswered(request, request_attempts, allowed),
            run_twice(request, request_attempts),
            forwarded_deadline_too_long(request, request_attempts),
            sent_after_drain(request_attempts, allowed),
            response_cut_off(request, request_attempts, allowed),
        ];
        violations.extend(faults.into_iter().flatten().map(|fault| {
            format!(
                "{id} at proxy {}: {fault}\n  {request:?}\n  {request_attempts:?}",
                request.proxy
            )
        }));
    }
    violations
}

fn started_after_close(request: &Request, attempts: &[Attempt]) -> Option<String> {
    let client_closed = request.client_closed?;
    let late = attempts.iter().map(|a| a.started.saturating_duration_since(client_closed)).max()?;
    (late > MAX_START_AFTER_CLOSE)
        .then(|| format!("an attempt started {late:?} after its client closed"))
}

fn unanswered(request: &Request, attempts: &[Attempt], allowed: &Allowed) -> Option<String> {
    if request.client_closed.is_some() {
        return None;
    }
    match request.end? {
        End::Answered { at, .. } => {
            let took = at.saturating_duration_since(request.sent);
            let late = took > request.deadline + ANSWER_GRACE + SOCKET_SLACK;
            late.then(|| format!("answered after {took:?}"))
        }
        End::Closed if !request.new_connection && attempts.is_empty() => None,
        End::Closed if allowed.connection_flood && attempts.is_empty() => None,
        End::Closed => Some("connection closed without an answer".to_owned()),
        // Answers in this test are small, so the proxy buffers each one fully before forwarding any of it.
        End::Truncated => Some("answer truncated".to_owned()),
        End::TimedOut => Some("no answer within the client's time limit".to_owned()),
    }
}

/// A response that had begun must not be cut off while its client waits.
fn response_cut_off(request: &Request, attempts: &[Attempt], allowed: &Allowed) -> Option<String> {
    if request.client_closed.is_some()
        || matches!(request.end, Some(End::Answered { status: 200, .. }))
    {
        return None;
    }
    let time_ends = request.sent + request.deadline - MAX_EARLINESS - SOCKET_SLACK;
    let last_answer = allowed.terminated[request.proxy].map(|at| at + KILL_AFTER - KILL_MARGIN);
    let cut_off = attempts.iter().filter_map(|attempt| attempt.cut_off).min()?;
    let early = time_ends.saturating_duration_since(cut_off);
    let shuts_down = last_answer.is_some_and(|at| cut_off >= at);
    (!early.is_zero() && !shuts_down)
        .then(|| format!("a response that had begun was cut off {early:?} too early"))
}

fn run_twice(request: &Request, attempts: &[Attempt]) -> Option<String> {
    if request.class != Class::Alarm {
        return None;
    }
    let first = attempts.iter().position(|a| a.may_have_run)?;
    (attempts.len() > first + 1)
        .then(|| "retried although an earlier attempt may have run".to_owned())
}

fn forwarded_deadline_too_long(request: &Request, attempts: &[Attempt]) -> Option<String> {
    let excess = |attempt: &Attempt| {
        let remaining =
            (request.sent + request.deadline).saturating_duration_since(attempt.started);
        attempt.forwarded_deadline.saturating_sub(remaining)
    };
    let largest = attempts.iter().map(excess).max()?;
    (largest > FORWARDED_DEADLINE_SLACK)
        .then(|| format!("forwarded deadline exceeds the client's remaining time by {largest:?}"))
}

fn sent_after_drain(attempts: &[Attempt], allowed: &Allowed) -> Option<String> {
    let late = |attempt: &Attempt| {
        let deadline = allowed.drain_deadlines.get(&attempt.upstream)?;
        let late = attempt.started.saturating_duration_since(*deadline);
        (!late.is_zero())
            .then(|| format!("sent to drained upstream {} after {late:?}", attempt.upstream))
    };
    attempts.iter().find_map(late)
}
