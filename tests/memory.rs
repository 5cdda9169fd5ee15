//! Private memory of the proxy under many large messages at once, for several limits of memory and descriptors. The
//! clients hold a third of the descriptors, the most that they may (TERMS). A file of its own, since hundreds of clients at once
//! slow down what runs beside them.

#[allow(dead_code)] // Each test file uses a part of the helpers.
mod load;
#[allow(dead_code)] // Each test file uses a part of the stubs.
mod stubs;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use load::*;
use stubs::*;

/// Held by the tests that run: for writing by one that needs the processors for its answers.
static RUNNING: RwLock<()> = RwLock::new(());

/// A body as clients send it.
#[derive(Clone, Copy, Debug)]
struct Upload {
    bytes: usize,
    piece: usize,
    chunked: bool,
    bytes_per_second: usize,
}

impl Upload {
    /// Sends the request and its body until it is told to stop; returns the status of the answer, which may come early.
    fn send(&self, address: SocketAddr, n: usize, stop: &AtomicBool) -> Option<u16> {
        let mut stream = connect(address, 64 << 10);
        stream.set_write_timeout(Some(Duration::from_millis(100))).expect("a time");
        let framing = if self.chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {}", self.bytes)
        };
        let head = alarm(&format!("u{n}"), 6000, "").replace("Content-Length: 0", &framing);
        let mut text = head.into_bytes();
        let (mut sent, start) = (0, Instant::now());
        while sent < self.bytes {
            let size = self.piece.min(self.bytes - sent);
            sent += size;
            if self.chunked {
                text.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            }
            text.resize(text.len() + size, b'x');
            if self.chunked {
                let end = if sent == self.bytes { "\r\n0\r\n\r\n" } else { "\r\n" };
                text.extend_from_slice(end.as_bytes());
            }
            write_unless_stopped(&mut stream, &text, stop)?;
            text.clear();
            if has_answer(&stream) {
                break;
            }
            let due = Duration::from_secs_f64(sent as f64 / self.bytes_per_second as f64);
            std::thread::sleep(due.saturating_sub(start.elapsed()));
        }
        let (head, _) = read_head(&mut stream)?;
        head.split(' ').nth(1)?.parse().ok()
    }
}

/// Whether part of an answer has arrived.
fn has_answer(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a mode");
    let arrived = stream.peek(&mut [0]).is_ok_and(|n| n > 0);
    stream.set_nonblocking(false).expect("a mode");
    arrived
}

/// Writes all of `text`; `None` if the connection ends or the client is told to stop.
fn write_unless_stopped(stream: &mut TcpStream, text: &[u8], stop: &AtomicBool) -> Option<()> {
    let mut written = 0;
    while written < text.len() {
        if stop.load(Ordering::Relaxed) {
            return None;
        }
        match stream.write(&text[written..]) {
            Ok(0) => return None,
            Ok(n) => written += n,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    Some(())
}

/// Limits of memory and descriptors that the operators name, the least of each with the most of the other among them.
const LIMITS: [Limits; 4] = [limits(32, 256), limits(32, 640), limits(32, 1024), limits(48, 1024)];

/// Guards against request bodies that are being received taking more memory than the proxy may, by their number.
#[test]
fn large_uploads_stay_within_the_memory_limit() {
    let _running = RUNNING.read();
    let quick = Duration::from_secs(2);
    for limits in LIMITS {
        for (chunked, piece) in [(false, 64_000), (true, 3_000)] {
            let upload = Upload { bytes: 32 << 20, piece, chunked, bytes_per_second: 64_000 };
            let upstream = start_upstream(answer_each);
            let node = limits.start(upstream);
            let address = node.address;
            let clients =
                Clients::start(limits.clients(), move |n, stop| upload.send(address, n, stop));
            let most = clients.most_memory(&node, quick);
            assert_within(most, limits, &format!("{upload:?}"));
            let answered = clients.join().into_iter().flatten().count();
            assert_eq!(answered, 0, "requests were turned away");
        }
    }
}

/// Guards against bodies that their upstream does not read piling up here.
#[test]
fn uploads_that_no_upstream_reads_stay_within_the_memory_limit() {
    let _running = RUNNING.read();
    for limits in LIMITS {
        let upload =
            Upload { bytes: 32 << 20, piece: 64_000, chunked: false, bytes_per_second: 10_000_000 };
        let upstream = start_upstream(|stream| {
            std::thread::sleep(SOON);
            drop(stream);
        });
        let node = limits.start(upstream);
        let address = node.address;
        let clients =
            Clients::start(limits.clients(), move |n, stop| upload.send(address, n, stop));
        let most = clients.most_memory(&node, Duration::from_secs(2));
        assert_within(most, limits, "uploads that nobody reads");
        clients.join();
    }
}

/// Guards against responses that their clients do not read piling up here.
#[test]
fn large_responses_that_no_client_reads_stay_within_the_memory_limit() {
    let _running = RUNNING.read();
    for limits in LIMITS {
        for (framing, piece) in
            [("Content-Length: 33554432", 64_000), ("Transfer-Encoding: chunked", 2_000)]
        {
            let upstream = start_upstream(move |mut stream| {
                if read_head(&mut stream).is_none() {
                    return;
                }
                let _ = write!(stream, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
                let mut text = vec![b'x'; piece];
                if framing.contains("chunked") {
                    text = [format!("{piece:x}\r\n").as_bytes(), &text, b"\r\n"].concat();
                }
                while stream.write_all(&text).is_ok() {}
            });
            let node = limits.start(upstream);
            let address = node.address;
            let clients = Clients::start(limits.clients(), move |n, stop| {
                let mut stream = connect(address, 4096);
                stream.write_all(read(&format!("r{n}"), 6000).as_bytes()).expect("written");
                let answered = stream.read(&mut [0; 16]).is_ok_and(|n| n > 0);
                while !stop.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                answered
            });
            let most = clients.most_memory(&node, Duration::from_secs(2));
            assert_within(most, limits, &format!("answers with {framing}"));
            assert!(clients.join().into_iter().all(|answered| answered), "no answer began");
        }
    }
}

/// Requests with heads and bodies of these sizes in bytes, and answers with heads and bodies of the same.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    head: usize,
    body: usize,
}

impl Exchange {
    /// A header and a body.
    fn message(&self, start: &str) -> Vec<u8> {
        let (padding, length) = ("y".repeat(self.head), self.body);
        let head = format!("{start}\r\nX-Pad: {padding}\r\nContent-Length: {length}\r\n\r\n");
        [head.into_bytes(), vec![b'x'; self.body]].concat()
    }

    /// Answers each request on a connection after this time.
    fn answer(&self, mut stream: TcpStream, after: Duration) {
        let answer = self.message("HTTP/1.1 200 OK");
        while read_whole_message(&mut stream).is_some() {
            std::thread::sleep(after);
            let _ = stream.write_all(&answer);
        }
    }

    /// Sends one request after the other until it is told to stop. Returns how many were served, and the first answer, or
    /// none, of those that were not.
    fn ask(&self, address: SocketAddr, n: usize, stop: &AtomicBool) -> (usize, Option<String>) {
        let request = self.message(&format!(
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: e{n}\r\nX-Class: alarm\r\nX-Deadline-Ms: 6000"
        ));
        let mut stream = connect(address, 64 << 10);
        let mut served = 0;
        while !stop.load(Ordering::Relaxed) {
            let start = Instant::now();
            let sent = stream.write_all(&request);
            let written = start.elapsed();
            match sent.as_ref().ok().and_then(|()| read_whole_message(&mut stream)) {
                Some(head) if head.starts_with("http/1.1 200") => {
                    assert!(head.contains(&format!("content-length: {}\r\n", self.body)), "{head}");
                    served += 1;
                    if head.contains("connection: close") {
                        stream = connect(address, 64 << 10);
                    }
                }
                Some(head) => return (served, Some(head)),
                None => {
                    let (port, took) = (stream.local_addr().map(|at| at.port()), start.elapsed());
                    let end = stream.read(&mut [0]);
                    let cause = format!(
                        "no answer to e{n} from port {port:?}: {sent:?} in {written:?}, {end:?} after {took:?}"
                    );
                    return (served, Some(cause));
                }
            }
        }
        (served, None)
    }
}

/// Guards against messages that are small enough to be buffered, and long heads, taking more memory than the proxy may, and
/// against either being refused for it.
#[test]
fn buffered_messages_and_long_heads_stay_within_the_memory_limit() {
    let _running = RUNNING.write();
    let upstream_time = Duration::from_millis(100);
    for limits in LIMITS {
        for (head, body) in [(100, 60_000), (30_000, 200), (12_000, 30_000)] {
            let exchange = Exchange { head, body };
            let upstream = start_upstream(move |stream| exchange.answer(stream, upstream_time));
            let node = limits.start(upstream);
            let address = node.address;
            let clients =
                Clients::start(limits.clients(), move |n, stop| exchange.ask(address, n, stop));
            let most = clients.most_memory(&node, Duration::from_secs(2));
            assert_within(most, limits, &format!("{exchange:?}"));
            for (served, failed) in clients.join() {
                assert!(served > 0 && failed.is_none(), "{exchange:?}, {limits:?}: {failed:?}");
            }
        }
    }
}

/// Guards against the bound on memory being had by turning requests away.
#[test]
fn every_upload_is_served_where_memory_is_scarce() {
    let _running = RUNNING.write();
    for (limits, chunked) in [(limits(32, 1024), false), (limits(32, 2048), true)] {
        // With 2,048 descriptors memory is short of places for all clients, and some wait in the backlog.
        let upload = Upload { bytes: 200_000, piece: 32_000, chunked, bytes_per_second: 64_000 };
        let upstream = start_upstream(answer_each);
        let node = limits.start(upstream);
        let address = node.address;
        let clients =
            Clients::start(limits.clients(), move |n, stop| upload.send(address, n, stop));
        let most = clients.most_memory(&node, 3 * SOON);
        assert_within(most, limits, "uploads to their end");
        let statuses = clients.join();
        let served = statuses.iter().filter(|status| **status == Some(200)).count();
        assert_eq!(served, limits.clients(), "{statuses:?}");
    }
}
