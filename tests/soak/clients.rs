//! Clients of the proxies: such that stay for their answers, and such that leave.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use socket2::SockRef;

use crate::record::{Class, End, Record, Request};

/// An answer may come this long after its time, and the rest is for this machine.
pub const LATE: Duration = Duration::from_millis(500);
const BUSY: Duration = Duration::from_millis(200);

/// How a client goes about its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Keeps its connection for as long as it stays open.
    Keeps,
    /// A connection for each request.
    Fresh,
    /// Writes in pieces, on a connection that it keeps.
    Slow,
    /// Closes at some moment without waiting for the answer.
    Leaves,
}

/// How a client that leaves ends its connection.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Whole,
    Reset,
    Half,
}

/// The settings' deadlines.
pub fn deadline(class: Class) -> Duration {
    Duration::from_millis(match class {
        Class::Read => 800,
        Class::Log => 1000,
        Class::Alarm => 1200,
    })
}

/// One client of one proxy.
pub struct Client {
    pub name: String,
    pub proxy: usize,
    pub address: SocketAddr,
    pub manner: Manner,
    pub record: Arc<Record>,
    pub stop: Arc<AtomicBool>,
    random: StdRng,
    number: usize,
}

impl Client {
    pub fn new(
        name: String,
        (proxy, address): (usize, SocketAddr),
        manner: Manner,
        seed: u64,
        record: Arc<Record>,
        stop: Arc<AtomicBool>,
    ) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { name, proxy, address, manner, record, stop, random, number: 0 }
    }

    /// Sends requests until it is told to stop.
    pub fn run(mut self) {
        let mut connection: Option<(TcpStream, bool)> = None;
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(self.random.gen_range(0..60)));
            let (mut stream, fresh) = match connection.take() {
                Some((stream, _)) => (stream, false),
                None => match TcpStream::connect(self.address) {
                    Ok(stream) => (stream, true),
                    Err(_) => continue,
                },
            };
            let _ = stream.set_nodelay(true);
            let stays = match self.manner {
                Manner::Leaves => {
                    self.ask_and_leave(stream, fresh);
                    continue;
                }
                _ => self.ask(&mut stream, fresh),
            };
            if stays && self.manner != Manner::Fresh {
                connection = Some((stream, false));
            }
        }
    }

    fn request(&mut self) -> (String, Class, Vec<u8>) {
        self.number += 1;
        let id = format!("{}-{}", self.name, self.number);
        let class = [Class::Read, Class::Log, Class::Alarm][self.random.gen_range(0..3)];
        let size = [20, 2000, 20_000][self.random.gen_range(0..3)];
        let (head, body) = match class {
            Class::Read => ("GET /api HTTP/1.1\r\nX-Class: read\r\n".to_owned(), String::new()),
            Class::Log => {
                let key =
                    format!("POST /api HTTP/1.1\r\nX-Class: log\r\nIdempotency-Key: {id}\r\n");
                (key, "l".repeat(size))
            }
            Class::Alarm => {
                ("POST /api HTTP/1.1\r\nX-Class: alarm\r\n".to_owned(), "a".repeat(size))
            }
        };
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {size}\r\n") };
        let deadline = deadline(class).as_millis();
        let text = format!(
            "{head}Host: a\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline}\r\n{length}\r\n{body}"
        );
        (id, class, text.into_bytes())
    }

    fn write(&mut self, stream: &mut TcpStream, text: &[u8]) -> std::io::Result<()> {
        if self.manner != Manner::Slow {
            return stream.write_all(text);
        }
        let cut = self.random.gen_range(1..text.len());
        stream.write_all(&text[..cut])?;
        thread::sleep(Duration::from_millis(self.random.gen_range(1..150)));
        stream.write_all(&text[cut..])
    }

    fn sent(&self, id: &str, class: Class, fresh: bool) {
        let (proxy, deadline) = (self.proxy, deadline(class));
        let sent = Instant::now();
        let request = Request { proxy, class, deadline, sent, fresh, left: None, end: None };
        self.record.sent(id, request);
    }

    /// One request and its answer; whether the connection may be used again.
    fn ask(&mut self, stream: &mut TcpStream, fresh: bool) -> bool {
        let (id, class, text) = self.request();
        if self.write(stream, &text).is_err() {
            // Not all of it was written: it was not taken.
            return false;
        }
        self.sent(&id, class, fresh);
        let _ = stream.set_read_timeout(Some(deadline(class) + LATE + BUSY));
        let (end, stays) = answer(stream);
        self.record.ended(&id, end);
        stays
    }

    fn ask_and_leave(&mut self, mut stream: TcpStream, fresh: bool) {
        let (id, class, text) = self.request();
        let behind = match self.random.gen_range(0..4) {
            0 => b"GET /api HT".to_vec(),
            1 => self.request().2,
            2 => vec![b'P'; self.random.gen_range(1..40_000)],
            _ => Vec::new(),
        };
        if stream.write_all(&text).is_err() {
            return;
        }
        self.sent(&id, class, fresh);
        let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
        if !behind.is_empty() {
            let _ = stream.write_all(&behind);
        }
        thread::sleep(Duration::from_millis(self.random.gen_range(0..300)));
        let how =
            [Departure::Whole, Departure::Reset, Departure::Half][self.random.gen_range(0..3)];
        match how {
            Departure::Whole => drop(stream),
            Departure::Reset => {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                drop(stream);
            }
            Departure::Half => {
                let _ = stream.shutdown(Shutdown::Write);
                self.record.left(&id);
                let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
                let _ = stream.read(&mut [0; 64]);
            }
        }
        if !matches!(how, Departure::Half) {
            self.record.left(&id);
        }
    }
}

/// Reads one answer; whether the connection stays open after it.
fn answer(stream: &mut TcpStream) -> (End, bool) {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 8192]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) if bytes.is_empty() => return (End::Closed, false),
            Ok(0) => return (End::Cut, false),
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
            Err(cause) if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return (End::Silence, false);
            }
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(_) if bytes.is_empty() => return (End::Closed, false),
            Err(_) => return (End::Cut, false),
        }
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let mut lines = head.lines().filter_map(|l| l.strip_prefix("content-length: "));
        let length = lines.next().and_then(|n| n.parse().ok()).unwrap_or(0);
        if bytes.len() >= end + 4 + length {
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            let stays = !head.contains("connection: close");
            return (End::Answered { status, at: Instant::now() }, stays);
        }
    }
}
