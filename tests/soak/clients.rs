//! Clients of the proxies; some wait for their answers and some close early.

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

/// An answer may arrive this long after its deadline.
pub const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Extra time for a busy test machine.
const MACHINE_SLACK: Duration = Duration::from_millis(200);

/// How a client uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Reuses its connection for as long as it stays open.
    KeepAlive,
    /// Opens a connection for each request.
    ConnectionPerRequest,
    /// Writes each request in two parts, on a reused connection.
    SlowWrite,
    /// Closes the connection without waiting for the answer.
    EarlyClose,
    /// Sends large bodies, on a connection each.
    Upload,
}

/// Send buffer of a client that sends large bodies; with a larger one, bodies seem to be sent at once.
const UPLOAD_SEND_BUFFER: usize = 4 << 10;
/// How long such a client waits before it writes more, or looks for an answer.
const UPLOAD_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// A body of which not all is sent by then is given up.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(6);

/// How a client that closes early ends its connection.
#[derive(Clone, Copy, Debug)]
enum EarlyEnd {
    Close,
    Reset,
    HalfClose,
}

/// The deadline of each class in the settings.
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
    pub behavior: Behavior,
    pub record: Arc<Record>,
    pub stop: Arc<AtomicBool>,
    random: StdRng,
    number: usize,
}

impl Client {
    pub fn new(
        name: String,
        (proxy, address): (usize, SocketAddr),
        behavior: Behavior,
        seed: u64,
        record: Arc<Record>,
        stop: Arc<AtomicBool>,
    ) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self { name, proxy, address, behavior, record, stop, random, number: 0 }
    }

    /// Sends requests until `stop` is set.
    pub fn run(mut self) {
        let mut connection: Option<(TcpStream, bool)> = None;
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(self.random.gen_range(0..60)));
            let (mut stream, new_connection) = match connection.take() {
                Some((stream, _)) => (stream, false),
                None => match TcpStream::connect(self.address) {
                    Ok(stream) => (stream, true),
                    Err(_) => continue,
                },
            };
            let _ = stream.set_nodelay(true);
            let reusable = match self.behavior {
                Behavior::EarlyClose => {
                    self.send_and_close(stream, new_connection);
                    continue;
                }
                Behavior::Upload => {
                    self.upload(stream);
                    continue;
                }
                _ => self.exchange(&mut stream, new_connection),
            };
            if reusable && self.behavior != Behavior::ConnectionPerRequest {
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
        if self.behavior != Behavior::SlowWrite {
            return stream.write_all(text);
        }
        let cut = self.random.gen_range(1..text.len());
        stream.write_all(&text[..cut])?;
        thread::sleep(Duration::from_millis(self.random.gen_range(1..150)));
        stream.write_all(&text[cut..])
    }

    fn record_sent(&self, id: &str, class: Class, new_connection: bool) {
        let (proxy, deadline) = (self.proxy, deadline(class));
        let sent = Instant::now();
        let request = Request {
            proxy,
            class,
            deadline,
            sent,
            new_connection,
            client_closed: None,
            end: None,
        };
        self.record.request_sent(id, request);
    }

    /// Sends a request and reads its answer; returns whether the connection can be reused.
    fn exchange(&mut self, stream: &mut TcpStream, new_connection: bool) -> bool {
        let (id, class, text) = self.request();
        if self.write(stream, &text).is_err() {
            // The request was not written in full, so it does not count as sent.
            return false;
        }
        self.record_sent(&id, class, new_connection);
        let _ = stream.set_read_timeout(Some(deadline(class) + ANSWER_GRACE + MACHINE_SLACK));
        let (end, reusable) = read_answer(stream);
        self.record.request_ended(&id, end);
        reusable
    }

    /// Sends a request with a large body and reads its answer, which may come early.
    fn upload(&mut self, mut stream: TcpStream) {
        let _ = SockRef::from(&stream).set_send_buffer_size(UPLOAD_SEND_BUFFER);
        let (id, text) = self.large_request();
        if !write_until_answered(&mut stream, &text, &self.stop) {
            return;
        }
        self.record_sent(&id, Class::Alarm, true);
        let time = deadline(Class::Alarm) + ANSWER_GRACE + MACHINE_SLACK;
        let _ = stream.set_read_timeout(Some(time));
        let (end, _) = read_answer(&mut stream);
        self.record.request_ended(&id, end);
    }

    fn large_request(&mut self) -> (String, Vec<u8>) {
        self.number += 1;
        let id = format!("{}-{}", self.name, self.number);
        let size = self.random.gen_range(70_000..700_000);
        let chunked = self.random.gen_bool(0.5);
        let framing = if chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {size}")
        };
        let deadline = deadline(Class::Alarm).as_millis();
        let mut text = format!(
            "POST /api HTTP/1.1\r\nX-Class: alarm\r\nHost: a\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline}\r\n{framing}\r\n\r\n"
        );
        if chunked {
            text += &format!("{size:x}\r\n{}\r\n0\r\n\r\n", "a".repeat(size));
        } else {
            text += &"a".repeat(size);
        }
        (id, text.into_bytes())
    }

    fn send_and_close(&mut self, mut stream: TcpStream, new_connection: bool) {
        let (id, class, text) = self.request();
        let trailing = match self.random.gen_range(0..4) {
            0 => b"GET /api HT".to_vec(),
            1 => self.request().2,
            2 => vec![b'P'; self.random.gen_range(1..400_000)],
            _ => Vec::new(),
        };
        if stream.write_all(&text).is_err() {
            return;
        }
        self.record_sent(&id, class, new_connection);
        let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
        if !trailing.is_empty() {
            let _ = stream.write_all(&trailing);
        }
        thread::sleep(Duration::from_millis(self.random.gen_range(0..300)));
        let early_end =
            [EarlyEnd::Close, EarlyEnd::Reset, EarlyEnd::HalfClose][self.random.gen_range(0..3)];
        match early_end {
            EarlyEnd::Close => drop(stream),
            EarlyEnd::Reset => {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                drop(stream);
            }
            EarlyEnd::HalfClose => {
                let _ = stream.shutdown(Shutdown::Write);
                self.record.client_closed(&id);
                let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
                let _ = stream.read(&mut [0; 64]);
            }
        }
        if !matches!(early_end, EarlyEnd::HalfClose) {
            self.record.client_closed(&id);
        }
    }
}

/// Writes all of `text`; returns false if an answer or the end of the connection comes first, or if it takes too long.
fn write_until_answered(stream: &mut TcpStream, text: &[u8], stop: &AtomicBool) -> bool {
    let (mut written, start) = (0, Instant::now());
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    while written < text.len() {
        match stream.write(&text[written..]) {
            Ok(n) => written += n,
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                let answered = stream.peek(&mut [0]).is_ok();
                let over = stop.load(Ordering::Relaxed) || start.elapsed() > UPLOAD_TIMEOUT;
                if answered || over {
                    return false;
                }
                thread::sleep(UPLOAD_POLL_INTERVAL);
            }
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
    stream.set_nonblocking(false).is_ok()
}

/// Reads one answer; also returns whether the connection stays open.
fn read_answer(stream: &mut TcpStream) -> (End, bool) {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 8192]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) if bytes.is_empty() => return (End::Closed, false),
            Ok(0) => return (End::Truncated, false),
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
            Err(cause) if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return (End::TimedOut, false);
            }
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(_) if bytes.is_empty() => return (End::Closed, false),
            Err(_) => return (End::Truncated, false),
        }
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let mut lines = head.lines().filter_map(|l| l.strip_prefix("content-length: "));
        let length = lines.next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let whole = match head.contains("transfer-encoding: chunked") {
            true => bytes.ends_with(b"\r\n0\r\n\r\n"),
            false => bytes.len() >= end + 4 + length,
        };
        if whole {
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            let reusable = !head.contains("connection: close");
            return (End::Answered { status, at: Instant::now() }, reusable);
        }
    }
}
