//! Record of the requests that clients sent, their outcomes and the attempts that upstreams received, on one clock.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The request classes of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Safe to repeat.
    Read,
    /// Repeatable under its idempotency key.
    Log,
    /// Must never run twice.
    Alarm,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer with this status arrived.
    Answered { status: u16, at: Instant },
    /// The connection closed before any byte of an answer.
    Closed,
    /// The connection ended after part of an answer, which the client could detect as incomplete.
    Truncated,
    /// No data arrived within the client's read timeout.
    TimedOut,
}

/// One request, as sent by its client.
#[derive(Clone, Debug)]
pub struct Request {
    pub proxy: usize,
    pub class: Class,
    pub deadline: Duration,
    /// When its last byte was written.
    pub sent: Instant,
    /// Whether it is the first request on its connection.
    pub new_connection: bool,
    /// When the client closed the connection without waiting for the answer.
    pub client_closed: Option<Instant>,
    pub end: Option<End>,
}

/// One attempt, as received by an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub upstream: usize,
    /// When its first byte arrived.
    pub started: Instant,
    /// The deadline in its header.
    pub forwarded_deadline: Duration,
    /// It was read in full, and its upstream did not state that it was not run.
    pub may_have_run: bool,
    /// When its proxy closed the connection while the body of a response was to come whose head was sent.
    pub cut_off: Option<Instant>,
}

/// All requests and attempts of a run, by request id.
#[derive(Default)]
pub struct Record {
    pub requests: Mutex<HashMap<String, Request>>,
    pub attempts: Mutex<HashMap<String, Vec<Attempt>>>,
}

impl Record {
    pub fn request_sent(&self, id: &str, request: Request) {
        self.requests.lock().expect("requests").insert(id.to_owned(), request);
    }

    pub fn client_closed(&self, id: &str) {
        self.update(id, |request| request.client_closed = Some(Instant::now()));
    }

    pub fn request_ended(&self, id: &str, end: End) {
        self.update(id, |request| request.end = Some(end));
    }

    fn update(&self, id: &str, update: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.lock().expect("requests").get_mut(id) {
            update(request);
        }
    }

    /// Records an attempt and returns its index among the attempts of its request.
    pub fn attempt_started(&self, id: &str, attempt: Attempt) -> usize {
        let mut attempts = self.attempts.lock().expect("attempts");
        let request_attempts = attempts.entry(id.to_owned()).or_default();
        request_attempts.push(attempt);
        request_attempts.len() - 1
    }

    /// Marks an attempt as possibly run.
    pub fn mark_may_have_run(&self, id: &str, index: usize) {
        self.update_attempt(id, index, |attempt| attempt.may_have_run = true);
    }

    /// Records that the response to an attempt was cut off now.
    pub fn response_cut_off(&self, id: &str, index: usize) {
        self.update_attempt(id, index, |attempt| attempt.cut_off = Some(Instant::now()));
    }

    fn update_attempt(&self, id: &str, index: usize, update: impl FnOnce(&mut Attempt)) {
        let mut attempts = self.attempts.lock().expect("attempts");
        if let Some(attempt) = attempts.get_mut(id).and_then(|all| all.get_mut(index)) {
            update(attempt);
        }
    }
}
