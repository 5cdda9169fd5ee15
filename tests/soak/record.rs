//! What clients sent and how it ended, and what upstreams saw of it, all on one clock.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The request classes of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Safe to repeat.
    Read,
    /// Repeated under its key.
    Log,
    /// Must never run twice.
    Alarm,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer with this status came.
    Answered { status: u16, at: Instant },
    /// The connection ended before any of an answer.
    Closed,
    /// Part of an answer came, and the client could tell that it was not whole.
    Cut,
    /// Nothing came for the longest time that a client waits.
    Silence,
}

/// One request, as its client sent it.
#[derive(Clone, Debug)]
pub struct Request {
    pub proxy: usize,
    pub class: Class,
    pub deadline: Duration,
    /// Its last byte was written.
    pub sent: Instant,
    /// It is the first on its connection.
    pub fresh: bool,
    /// The client closed the connection without waiting for the end.
    pub left: Option<Instant>,
    pub end: Option<End>,
}

/// One attempt, as an upstream saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub upstream: usize,
    /// Its first byte arrived.
    pub began: Instant,
    /// The deadline in it.
    pub told: Duration,
    /// It was read whole, and its upstream did not promise that it never ran.
    pub may_have_run: bool,
}

/// All requests and attempts of a run, by request id.
#[derive(Default)]
pub struct Record {
    pub requests: Mutex<HashMap<String, Request>>,
    pub attempts: Mutex<HashMap<String, Vec<Attempt>>>,
}

impl Record {
    pub fn sent(&self, id: &str, request: Request) {
        self.requests.lock().expect("requests").insert(id.to_owned(), request);
    }

    pub fn left(&self, id: &str) {
        self.change(id, |request| request.left = Some(Instant::now()));
    }

    pub fn ended(&self, id: &str, end: End) {
        self.change(id, |request| request.end = Some(end));
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.lock().expect("requests").get_mut(id) {
            change(request);
        }
    }

    /// Records an attempt; its place among those of its request.
    pub fn attempted(&self, id: &str, attempt: Attempt) -> usize {
        let mut attempts = self.attempts.lock().expect("attempts");
        let of_request = attempts.entry(id.to_owned()).or_default();
        of_request.push(attempt);
        of_request.len() - 1
    }

    /// The attempt may have run after all.
    pub fn may_have_run(&self, id: &str, place: usize) {
        let mut attempts = self.attempts.lock().expect("attempts");
        if let Some(attempt) = attempts.get_mut(id).and_then(|all| all.get_mut(place)) {
            attempt.may_have_run = true;
        }
    }
}
