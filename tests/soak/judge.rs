//! The rules that hold whatever happens, judged over the record of a run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::clients::LATE;
use crate::record::{Attempt, Class, End, Record, Request};

/// An attempt may begin so long after its client closed.
const AFTER_CLOSE: Duration = Duration::from_millis(100);
/// The deadline that an upstream is told may exceed what the client has left by this much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Every time limit is extended by this much on sockets (PROTOCOL).
const SOCKETS: Duration = Duration::from_millis(50);

/// What a run allows beside the rules.
#[derive(Default)]
pub struct Allowed {
    /// A crowd fills the descriptors: new connections may be closed unread.
    pub crowd: bool,
    /// By when nothing new may go to an upstream, grace included.
    pub drained: HashMap<usize, Instant>,
}

/// Each broken rule, in words.
pub fn judge(record: &Record, allowed: &Allowed) -> Vec<String> {
    let requests = record.requests.lock().expect("requests");
    let attempts = record.attempts.lock().expect("attempts");
    let mut broken = Vec::new();
    for (id, request) in requests.iter() {
        let none = Vec::new();
        let tried = attempts.get(id).unwrap_or(&none);
        let faults = [
            after_close(request, tried),
            unanswered(request, tried, allowed),
            run_twice(request, tried),
            deadline_told(request, tried),
            drained(tried, allowed),
        ];
        broken.extend(faults.into_iter().flatten().map(|what| {
            format!("{id} at proxy {}: {what}\n  {request:?}\n  {tried:?}", request.proxy)
        }));
    }
    broken
}

fn after_close(request: &Request, tried: &[Attempt]) -> Option<String> {
    let left = request.left?;
    let late = tried.iter().map(|a| a.began.saturating_duration_since(left)).max()?;
    (late > AFTER_CLOSE).then(|| format!("an attempt began {late:?} after its client closed"))
}

fn unanswered(request: &Request, tried: &[Attempt], allowed: &Allowed) -> Option<String> {
    if request.left.is_some() {
        return None;
    }
    match request.end? {
        End::Answered { at, .. } => {
            let took = at.saturating_duration_since(request.sent);
            let late = took > request.deadline + LATE + SOCKETS;
            late.then(|| format!("answered after {took:?}"))
        }
        End::Closed if !request.fresh && tried.is_empty() => None,
        End::Closed if allowed.crowd && tried.is_empty() => None,
        End::Closed => Some("closed with no answer".to_owned()),
        // Upstreams' answers here are small, and kept whole before any of one is passed on.
        End::Cut => Some("cut in the middle of its answer".to_owned()),
        End::Silence => Some("no answer in its time".to_owned()),
    }
}

fn run_twice(request: &Request, tried: &[Attempt]) -> Option<String> {
    if request.class != Class::Alarm {
        return None;
    }
    let first = tried.iter().position(|a| a.may_have_run)?;
    (tried.len() > first + 1).then(|| "sent again though it may have run".to_owned())
}

fn deadline_told(request: &Request, tried: &[Attempt]) -> Option<String> {
    let excess = |attempt: &Attempt| {
        let left = (request.sent + request.deadline).saturating_duration_since(attempt.began);
        attempt.told.saturating_sub(left)
    };
    let most = tried.iter().map(excess).max()?;
    (most > DEADLINE_SLACK).then(|| format!("told {most:?} more than its client had left"))
}

fn drained(tried: &[Attempt], allowed: &Allowed) -> Option<String> {
    let late = |attempt: &Attempt| {
        let by = allowed.drained.get(&attempt.upstream)?;
        let late = attempt.began.saturating_duration_since(*by);
        (!late.is_zero())
            .then(|| format!("sent to drained upstream {} after {late:?}", attempt.upstream))
    };
    tried.iter().find_map(late)
}
