//! Upstreams that write their responses by a schedule, and clients that record what they got of them and when.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::load::{read_head, serve_connections};
use crate::stubs::{Node, SOON, config, member};

/// A final answer is owed this long after the request's time (STANDING), and time limits on sockets are extended by the
/// rest (PROTOCOL).
pub const ANSWER_GRACE: Duration = Duration::from_millis(500 + 50);

/// How a response says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    Close,
}

pub const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

/// A part of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// When it is written, after the request was read.
    pub at_ms: u64,
    pub bytes: usize,
}

/// What an upstream writes.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub status: &'static str,
    /// When the first half of the head is written, and the second, after the request was read.
    pub head_at_ms: [u64; 2],
    pub framing: Framing,
    /// The number of bytes that a length declares; the pieces may have fewer if the body never ends.
    pub declared: usize,
    pub pieces: Vec<Piece>,
    /// Whether the body is ended after its last piece; otherwise the upstream stays open and silent.
    pub ends: bool,
}

impl Schedule {
    /// A whole response, with its head at once.
    pub fn whole(framing: Framing, pieces: Vec<Piece>) -> Self {
        let declared = pieces.iter().map(|piece| piece.bytes).sum();
        Self { status: "200 OK", head_at_ms: [0, 0], framing, declared, pieces, ends: true }
    }

    /// A response that stops for good after these pieces, of `declared` bytes in all.
    pub fn unfinished(framing: Framing, pieces: Vec<Piece>, declared: usize) -> Self {
        Self { declared, ends: false, ..Self::whole(framing, pieces) }
    }

    fn head(&self) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}", self.declared),
            Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
            Framing::Close => "Connection: close".to_owned(),
        };
        format!("HTTP/1.1 {}\r\nX-Pad: 0123456789\r\n{framing}\r\n\r\n", self.status)
    }

    /// The parts of the response as they are written, with their times.
    fn parts(&self) -> Vec<(u64, Vec<u8>)> {
        let head = self.head().into_bytes();
        let (first, second) = head.split_at(head.len() / 2);
        let mut parts =
            vec![(self.head_at_ms[0], first.to_vec()), (self.head_at_ms[1], second.to_vec())];
        for piece in &self.pieces {
            let body = "x".repeat(piece.bytes);
            let framed = match self.framing {
                Framing::Chunked => format!("{:x}\r\n{body}\r\n", piece.bytes),
                Framing::Length | Framing::Close => body,
            };
            parts.push((piece.at_ms, framed.into_bytes()));
        }
        if self.ends && self.framing == Framing::Chunked {
            parts.push((0, b"0\r\n\r\n".to_vec()));
        }
        parts
    }

    /// Writes the response; returns whether the connection can be used again.
    fn write(&self, stream: &mut TcpStream) -> std::io::Result<bool> {
        let start = Instant::now();
        for (at_ms, part) in self.parts() {
            thread::sleep(Duration::from_millis(at_ms).saturating_sub(start.elapsed()));
            stream.write_all(&part)?;
        }
        if !self.ends {
            // Until the proxy closes the connection.
            let _ = stream.read(&mut [0]);
        }
        Ok(self.ends && self.framing != Framing::Close)
    }
}

/// One request, and what its upstream writes for it.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Whether the request may be repeated: it is sent with GET, others with POST.
    pub safe: bool,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub schedule: Schedule,
    /// What is written for further attempts.
    pub retried: Option<Schedule>,
}

impl Exchange {
    /// What is written for this attempt, from 0.
    fn planned(&self, attempt: usize) -> Schedule {
        self.retried.as_ref().filter(|_| attempt > 0).unwrap_or(&self.schedule).clone()
    }

    fn class(&self) -> String {
        let effect = if self.safe { "retryable" } else { "fragile" };
        format!("{effect}-{}", self.aim_ms)
    }

    /// The exchange in a line, for the report of a failed test.
    pub fn summary(&self) -> String {
        let Schedule { status, head_at_ms, framing, declared, pieces, ends } = &self.schedule;
        let first = pieces.first().map(|piece| piece.at_ms);
        let (count, class) = (pieces.len(), self.class());
        format!(
            "{class}, deadline {} ms: {status}, {framing:?}, {declared} bytes, head at {head_at_ms:?} ms, {count} pieces from \
             {first:?} ms, ends {ends}",
            self.deadline_ms
        )
    }

    pub fn request(&self, id: &str) -> String {
        let (method, length) =
            if self.safe { ("GET", "") } else { ("POST", "Content-Length: 0\r\n") };
        format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\nX-Request-Id: {id}\r\n\
             X-Class: {}\r\nX-Deadline-Ms: {}\r\n{length}\r\n",
            self.class(),
            self.deadline_ms
        )
    }
}

/// What a client got for a request, in times since it was sent.
#[derive(Clone, Debug)]
pub struct Got {
    pub status: u16,
    pub bytes: usize,
    /// Whether the answer came to its end, by its framing.
    pub whole: bool,
    pub ended_after: Duration,
}

impl Got {
    /// Whether the whole body of this schedule came.
    pub fn is_all_of(&self, schedule: &Schedule) -> bool {
        self.status == 200 && self.whole && self.bytes == schedule.declared
    }
}

/// Sends a request on a connection of its own and reads what comes until the end of the connection.
pub fn ask(address: SocketAddr, request: &str) -> Got {
    let mut stream = TcpStream::connect(address).expect("it accepts");
    stream.set_read_timeout(Some(SOON)).expect("a time");
    let sent = Instant::now();
    stream.write_all(request.as_bytes()).expect("written");
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    let ended_after = sent.elapsed();
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n").map_or(answer.len(), |at| at + 4);
    let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let length: Option<usize> =
        head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
    let bytes = match length {
        Some(_) => answer.len() - end,
        None => answer[end..].iter().filter(|byte| **byte == b'x').count(),
    };
    let whole = match length {
        Some(length) => bytes == length,
        None => ended.is_ok() && answer.ends_with(b"\r\n0\r\n\r\n"),
    };
    Got { status, bytes, whole, ended_after }
}

/// A proxy before an upstream that is listed often enough for all requests, and writes what is planned for each by its id.
pub struct PacedFleet {
    pub node: Node,
    upstream: SocketAddr,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    /// The numbers of the requests that upstreams have read, in their order.
    attempts: Arc<Mutex<Vec<usize>>>,
}

/// How often the upstream is listed, so that each request finds a free slot.
const UPSTREAMS: usize = 400;

/// Limits of a proxy with ample memory, and of one with little: megabytes and descriptors.
pub const AMPLE: (usize, usize) = (192, 1024);
pub const SCARCE: (usize, usize) = (32, 1024);

impl PacedFleet {
    /// Starts a proxy with classes for these exchanges.
    pub fn start(exchanges: &[Exchange], (memory_mb, descriptors): (usize, usize)) -> Self {
        let planned: Arc<Mutex<Vec<Exchange>>> = Arc::default();
        let attempts: Arc<Mutex<Vec<usize>>> = Arc::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (plans, seen) = (planned.clone(), attempts.clone());
        let upstream = serve_connections(listener, move |mut stream| {
            let _ = stream.set_nodelay(true);
            while let Some((head, _)) = read_head(&stream) {
                let id = head.lines().find_map(|l| l.strip_prefix("x-request-id: r"));
                let number: usize = id.and_then(|id| id.parse().ok()).expect("an id");
                let attempt = record_attempt(&seen, number);
                let plan = plans.lock().expect("exchanges")[number].planned(attempt);
                if !plan.write(&mut stream).unwrap_or(false) {
                    return;
                }
            }
        });
        let mut file = config(listed(upstream, "SERVING"));
        file["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors});
        file["settings"]["Services"] = services(exchanges);
        let node = Node::managed(&file);
        Self { node, upstream, exchanges: planned, attempts }
    }

    /// The members of the list, in this phase.
    pub fn listed(&self, phase: &str) -> Vec<Value> {
        listed(self.upstream, phase)
    }

    /// The number of attempts of this request that upstreams have read.
    pub fn attempts(&self, number: usize) -> usize {
        count(&self.attempts.lock().expect("attempts"), number)
    }

    /// Sends all requests at once; returns what each client got, in their order.
    pub fn play(&self, exchanges: &[Exchange]) -> Vec<Got> {
        self.play_with(exchanges, || {})
    }

    /// Sends all requests at once, and does something else meanwhile.
    pub fn play_with(&self, exchanges: &[Exchange], meanwhile: impl FnOnce()) -> Vec<Got> {
        *self.exchanges.lock().expect("exchanges") = exchanges.to_vec();
        let address = self.node.address;
        let start = |(n, exchange): (usize, &Exchange)| {
            let request = exchange.request(&format!("r{n}"));
            let thread = thread::Builder::new().stack_size(256 << 10);
            thread.spawn(move || ask(address, &request)).expect("a thread")
        };
        let clients: Vec<_> = exchanges.iter().enumerate().map(start).collect();
        meanwhile();
        clients.into_iter().map(|client| client.join().expect("a client")).collect()
    }
}

fn listed(upstream: SocketAddr, phase: &str) -> Vec<Value> {
    (0..UPSTREAMS).map(|i| member(&format!("s-{i}"), upstream, phase)).collect()
}

/// Records an attempt of this request; returns how many there were before.
fn record_attempt(seen: &Mutex<Vec<usize>>, number: usize) -> usize {
    let mut seen = seen.lock().expect("attempts");
    let before = count(&seen, number);
    seen.push(number);
    before
}

fn count(seen: &[usize], number: usize) -> usize {
    seen.iter().filter(|other| **other == number).count()
}

/// The request classes that these exchanges name.
fn services(exchanges: &[Exchange]) -> Value {
    let mut classes: Vec<(String, &Exchange)> =
        exchanges.iter().map(|exchange| (exchange.class(), exchange)).collect();
    classes.sort_by(|a, b| a.0.cmp(&b.0));
    classes.dedup_by(|a, b| a.0 == b.0);
    let class = |(name, exchange): (String, &Exchange)| {
        let effect = if exchange.safe { "retryable" } else { "fragile" };
        let (aim, deadline) = (exchange.aim_ms as f64, 6000.0);
        json!({"Name": name, "Aim": aim, "Deadline": deadline, "Effect": effect})
    };
    classes.into_iter().map(class).collect()
}
