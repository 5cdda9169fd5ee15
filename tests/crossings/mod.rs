//! Race conditions: a request, an answer, a close or a signal that arrives while the proxy handles another event. Each
//! race is made to happen every time by a peer that waits until the test releases it.

mod answers;
mod left_clients;
mod pipelines;
mod stalls;
mod system_calls;
mod takeovers;
mod unfinished_answers;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use socket2::{Domain, SockRef, Socket, Type};

use crate::stubs::*;

/// An upstream that holds each request whose id begins with `w` until the sender releases it; one message releases one
/// request.
fn gated_upstream(answer: &'static str) -> (Upstream, Sender<()>) {
    let (release, gate) = channel();
    let gate: Arc<Mutex<Receiver<()>>> = Arc::new(Mutex::new(gate));
    let upstream = Upstream::start(move |m| {
        if m.header("x-request-id").starts_with('w') {
            let _ = gate.lock().expect("not poisoned").recv_timeout(SOON);
        }
        ok(answer)
    });
    (upstream, release)
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A client connection with a small receive buffer.
fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a size");
    socket.connect(&address.into()).expect("it accepts");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(SOON)).expect("a time");
    stream
}

/// A client connection whose kernel takes all that a test writes at once.
fn connect_with_large_buffer(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("it accepts");
    SockRef::from(&stream).set_send_buffer_size(1 << 20).expect("a size");
    stream
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

// ---------------------------------------------------------------- closes and shutdowns

#[test]
fn bytes_after_the_last_request_do_not_lose_its_answer() {
    let body: &'static str = "x".repeat(60 << 10).leak();
    let (upstream, release) = gated_upstream(body);
    let node = Node::start(&config(members(&[&upstream])));
    for behind in [0, 7, 64 << 10] {
        let mut client = connect_with_small_buffer(node.address);
        let last = read("w1", 6000).replace("Cookie", "Connection: close\r\nCookie");
        client.write_all(last.as_bytes()).expect("written");
        upstream.request();
        // The request has been read; bytes sent from here on are never read by the proxy.
        client.write_all(&vec![b'G'; behind]).expect("written");
        release.send(()).expect("upstream is waiting");
        pause(150); // The proxy has written what fits of the answer and closed its side.
        let mut answer = BufReader::new(client);
        let whole = read_message(&mut answer).map(|m| m.body.len());
        assert_eq!(whole, Some(body.len()), "{behind} bytes after the request");
        assert_eq!(
            answer.read(&mut [0]).ok(),
            Some(0),
            "the connection is closed after the answer"
        );
    }
    assert_eq!(upstream.requests_so_far(), 0, "the bytes after the request were forwarded");
}

#[test]
fn request_pipelined_after_connection_close_is_not_sent() {
    let (upstream, release) = gated_upstream("ok");
    let node = Node::start(&config(members(&[&upstream])));
    let last = read("w1", 6000).replace("Cookie", "Connection: close\r\nCookie");
    for separately in [false, true] {
        let mut client = node.client();
        if separately {
            client.send(&last);
            upstream.request();
            client.send(&alarm("r2", 6000, "x"));
        } else {
            client.send(&format!("{last}{}", alarm("r2", 6000, "x")));
            upstream.request();
        }
        release.send(()).expect("upstream is waiting");
        assert_eq!(client.answer().expect("an answer").status(), 200);
        assert!(client.answer().is_none(), "a request after `Connection: close` was answered");
    }
    assert_eq!(node.client().ask(&read("r3", 5000)).status(), 200);
    assert_eq!(upstream.request().1.header("x-request-id"), "r3");
}

#[test]
fn partial_head_at_sigterm_is_served() {
    for reused in [true, false] {
        let upstream = Upstream::start(|_| ok("ok"));
        let mut node = Node::start(&config(members(&[&upstream])));
        let mut client = node.client();
        if reused {
            assert_eq!(client.ask(&read("r1", 5000)).status(), 200);
        }
        let text = alarm("r2", 5000, "x");
        let (a, b) = text.split_at(40);
        client.send(a);
        pause(50); // The proxy has read the first part.
        node.signal("TERM");
        pause(800); // Longer than idle connections stay open after SIGTERM.
        client.send(b);
        let answer = client.answer().expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, "close"),
            "reused connection: {reused}"
        );
        assert_eq!(node.exit_code(), Some(0));
    }
}

#[test]
fn request_racing_the_idle_close_is_served_or_not_sent() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut node = Node::start(&config(members(&[&upstream])));
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    for client in &mut clients {
        assert_eq!(client.ask(&read("r", 5000)).status(), 200);
    }
    while upstream.requests_so_far() > 0 {}
    let from = Instant::now();
    node.signal("TERM");
    // Spread around the 0.5 s after which idle connections are closed.
    let mut answered = 0;
    for (i, client) in clients.iter_mut().enumerate() {
        let at = Duration::from_millis(480 + i as u64);
        std::thread::sleep(at.saturating_sub(from.elapsed()));
        let _ = client.try_send(&read("r", 5000));
        answered += usize::from(client.answer().is_some_and(|a| a.status() == 200));
    }
    assert_eq!(node.exit_code(), Some(0));
    assert_eq!(
        upstream.requests_so_far(),
        answered,
        "requests sent to the upstream and requests answered differ"
    );
}

/// Sends a request on each connection while the process is stopped, so that on resuming it finds the request together
/// with the expiry of the connection's idle time. Returns the statuses of the answers.
fn statuses_after_stall(node: &Node, clients: &mut [Client]) -> Vec<Option<u16>> {
    node.signal("STOP");
    clients.iter_mut().for_each(|c| c.send(&read("r2", 6000)));
    pause(1000);
    node.signal("CONT");
    clients.iter_mut().map(|c| c.answer().map(|a| a.status())).collect()
}

#[test]
fn request_arriving_at_the_idle_timeout_is_served() {
    let upstream = Upstream::start(|_| ok("ok"));
    // Enough slots for all requests.
    let many = (0..40).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    // With more than half of the client slots in use, idle connections are closed after 2.2 s.
    let node = start_with_few_descriptors(many);
    let mut clients: Vec<Client> = (0..12).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|c| assert_eq!(c.ask(&read("r1", 5000)).status(), 200));
    pause(1600);
    let answers = statuses_after_stall(&node, &mut clients);
    assert_eq!(answers, [Some(200); 12], "idle connections");
}

#[test]
fn request_arriving_at_the_idle_close_of_sigterm_is_served() {
    let upstream = Upstream::start(|_| ok("ok"));
    let many = (0..40).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    let mut node = Node::start(&config(many));
    let mut clients: Vec<Client> = (0..12).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|c| assert_eq!(c.ask(&read("r1", 5000)).status(), 200));
    node.signal("TERM");
    pause(100); // The signal has been handled; idle connections stay open for 0.5 s.
    let answers = statuses_after_stall(&node, &mut clients);
    assert_eq!(answers, [Some(200); 12], "after SIGTERM");
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn accepted_requests_are_answered_before_sigkill() {
    // The only upstream never answers, and its single slot stays occupied.
    let hangs = Upstream::start(|_| Does::Hangs);
    let mut config = config(members(&[&hangs]));
    for class in 0..3 {
        config["settings"]["Services"][class]["Aim"] = json!(20_000.0);
        config["settings"]["Services"][class]["Deadline"] = json!(20_000.0);
    }
    let mut node = Node::start(&config);
    let mut in_flight = node.client();
    in_flight.send(&alarm("r1", 20_000, "x"));
    hangs.request();
    let mut queued = node.client();
    queued.send(&alarm("r2", 20_000, "x"));
    let mut partial = node.client();
    let text = alarm("r3", 20_000, &"x".repeat(200_000));
    partial.send(&text[..text.len() - 1]);
    let from = Instant::now();
    node.signal("TERM");
    // A second SIGTERM and a SIGHUP must not restart the shutdown.
    pause(300);
    node.signal("TERM");
    node.signal("HUP");
    let mut late = node.client();
    late.send(&alarm("r4", 20_000, "x"));
    assert_eq!(in_flight.answer().expect("an answer").status(), 504, "the request may have run");
    assert_eq!(queued.answer().expect("an answer").status(), 503, "the request never ran");
    assert!(matches!(partial.answer().expect("an answer").status(), 408 | 503 | 504));
    assert_eq!(late.answer().expect("an answer").status(), 503);
    // PROTOCOL: the longest deadline, limited to 3 s, plus 0.7 s.
    assert!(from.elapsed() < Duration::from_millis(3700), "{:?}", from.elapsed());
    drop((in_flight, queued, partial, late));
    assert_eq!(node.exit_code(), Some(0));
    assert_eq!(hangs.requests_so_far(), 0, "only the first request had a slot");
}

#[test]
fn sigterm_before_readiness_answers_waiting_clients() {
    let mut node = Node::start(&config(vec![]));
    let mut waiting = node.client();
    waiting.send(&read("r1", 6000));
    pause(50);
    node.signal("TERM");
    assert_eq!(waiting.answer().expect("an answer").status(), 503);
    assert_eq!(node.exit_code(), Some(0));
}

// ---------------------------------------------------------------- clients that disconnect

/// The ways in which a client disconnects, each with the number of bytes sent after its request and left unread.
const LEAVES: [(&str, usize); 10] = [
    ("close", 0),
    ("close", 5),
    ("close", 40_000),
    ("close", 400_000),
    ("half-close", 0),
    ("half-close", 200),
    ("half-close", 40_000),
    ("half-close", 400_000),
    ("reset", 0),
    ("reset", 40_000),
];

fn leave(stream: TcpStream, how: &str) -> Option<TcpStream> {
    match how {
        "half-close" => {
            stream.shutdown(Shutdown::Write).expect("open");
            Some(stream)
        }
        "reset" => {
            reset(stream);
            None
        }
        _ => None,
    }
}

#[test]
fn queued_request_is_not_sent_after_client_left() {
    for (how, behind) in LEAVES {
        let (upstream, release) = gated_upstream("ok");
        let node = Node::start(&config(members(&[&upstream])));
        let mut first = node.client();
        first.send(&read("w1", 6000));
        upstream.request();
        let mut leaving = connect_with_large_buffer(node.address);
        leaving.write_all(alarm("r2", 6000, "x").as_bytes()).expect("written");
        pause(30);
        leaving.write_all(&vec![b'P'; behind]).expect("written");
        pause(30);
        let _half_closed = leave(leaving, how);
        pause(100);
        release.send(()).expect("upstream is waiting");
        assert_eq!(first.answer().expect("an answer").status(), 200);
        assert_eq!(node.client().ask(&read("r3", 5000)).status(), 200);
        let next = upstream.request().1;
        assert_eq!(
            next.header("x-request-id"),
            "r3",
            "{how} with {behind} bytes after the request"
        );
    }
}

#[test]
fn close_is_seen_behind_a_pipelined_request() {
    let (upstream, release) = gated_upstream("ok");
    let node = Node::start(&config(members(&[&upstream])));
    let mut first = node.client();
    first.send(&read("w1", 6000));
    upstream.request();
    let text = format!("{}{}", alarm("r2", 6000, "x"), alarm("r3", 6000, "x"));
    let mut leaving = connect_with_large_buffer(node.address);
    leaving.write_all(text.as_bytes()).expect("written");
    pause(50);
    drop(leaving);
    pause(100);
    release.send(()).expect("upstream is waiting");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(node.client().ask(&read("r4", 5000)).status(), 200);
    assert_eq!(upstream.request().1.header("x-request-id"), "r4");
}

/// An upstream that reports the id of each request as soon as its head has arrived, whether or not the body follows. It
/// answers `ok`; requests whose id begins with `w` are answered only once released.
fn head_reporter() -> (SocketAddr, Receiver<String>, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (report, heads) = channel();
    let (release, gate) = channel();
    let gate = Arc::new(Mutex::new(gate));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, report, gate) = (stream.expect("accepted"), report.clone(), gate.clone());
            std::thread::spawn(move || answer_heads(stream, &report, &gate));
        }
    });
    (address, heads, release)
}

fn answer_heads(stream: TcpStream, report: &Sender<String>, gate: &Mutex<Receiver<()>>) {
    let mut writer = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    loop {
        let (mut id, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let line = line.trim_end().to_lowercase();
            if let Some(value) = line.strip_prefix("x-request-id: ") {
                id = value.to_owned();
            }
            if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.parse().expect("a length");
            }
            if line.is_empty() {
                break;
            }
        }
        let _ = report.send(id.clone());
        if std::io::copy(&mut (&mut reader).take(length), &mut std::io::sink()).ok() != Some(length)
        {
            return;
        }
        if id.starts_with('w') {
            let _ = gate.lock().expect("not poisoned").recv_timeout(SOON);
        }
        let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
}

#[test]
fn close_is_seen_behind_a_partly_read_body() {
    let (address, heads, release) = head_reporter();
    let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
    let mut first = node.client();
    first.send(&read("w1", 6000));
    assert_eq!(heads.recv_timeout(SOON).expect("a head"), "w1");
    // Larger than the buffer of the proxy: it stays partly read until an upstream accepts it.
    let text = alarm("r2", 6000, &"x".repeat(400_000));
    let mut leaving = connect_with_large_buffer(node.address);
    leaving.write_all(&text.as_bytes()[..150_000]).expect("written");
    pause(50);
    drop(leaving);
    pause(100);
    release.send(()).expect("upstream is waiting");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(node.client().ask(&read("r3", 5000)).status(), 200);
    assert_eq!(heads.recv_timeout(SOON).expect("a head"), "r3");
}

#[test]
fn refused_request_is_not_retried_after_client_left() {
    for (how, behind) in LEAVES {
        let (release, gate) = channel();
        let gate: Arc<Mutex<Receiver<()>>> = Arc::new(Mutex::new(gate));
        let asked = Arc::new(AtomicUsize::new(0));
        let start = || {
            let (gate, asked) = (gate.clone(), asked.clone());
            Upstream::start(move |_| {
                if asked.fetch_add(1, Ordering::SeqCst) > 0 {
                    return ok("ok");
                }
                let _ = gate.lock().expect("not poisoned").recv_timeout(SOON);
                answers("503 Service Unavailable", "X-Not-Run: 1\r\n")
            })
        };
        let pair = [start(), start()];
        let node = Node::start(&config(members(&[&pair[0], &pair[1]])));
        let mut leaving = connect_with_large_buffer(node.address);
        leaving.write_all(alarm("r1", 6000, "x").as_bytes()).expect("written");
        let from = Instant::now();
        while asked.load(Ordering::SeqCst) == 0 {
            assert!(from.elapsed() < SOON, "no upstream received a request");
        }
        leaving.write_all(&vec![b'P'; behind]).expect("written");
        pause(30);
        let _half_closed = leave(leaving, how);
        pause(100);
        release.send(()).expect("upstream is waiting");
        pause(100);
        assert_eq!(asked.load(Ordering::SeqCst), 1, "{how} with {behind} bytes after the request");
    }
}

fn received_nothing(seen: &Receiver<usize>) -> bool {
    // The kernel retransmits the SYN after 1, 2 and 4 s.
    let until = Instant::now() + Duration::from_millis(4500);
    while let Ok(bytes) = seen.recv_timeout(until.saturating_duration_since(Instant::now())) {
        if bytes > 0 {
            return false;
        }
    }
    true
}

fn slow_to_connect(known: Vec<serde_json::Value>) -> serde_json::Value {
    let mut config = config(known);
    config["settings"]["PolicyLimits"]["ConnectTimeout"] = json!(20_000.0);
    for class in 0..3 {
        config["settings"]["Services"][class]["Aim"] = json!(20_000.0);
        config["settings"]["Services"][class]["Deadline"] = json!(20_000.0);
    }
    config
}

#[test]
fn request_waiting_to_connect_is_not_sent_after_client_left() {
    let late = Late::start();
    let node = Node::start(&slow_to_connect(vec![member("s-0", late.address, "SERVING")]));
    let gone: Vec<Option<TcpStream>> = LEAVES
        .into_iter()
        .map(|(how, behind)| {
            let mut leaving = connect_with_large_buffer(node.address);
            leaving.write_all(alarm("r1", 20_000, "x").as_bytes()).expect("written");
            pause(30); // The first connection is being opened and cannot be established; the other requests are queued.
            leaving.write_all(&vec![b'P'; behind]).expect("written");
            pause(10);
            leave(leaving, how)
        })
        .collect();
    pause(100);
    assert!(received_nothing(&late.open()), "a request was sent after its client left");
    drop(gone);
}

// ---------------------------------------------------------------- retries

/// A request of the class that may be retried within its window, at upstreams of one cell.
fn log(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: log\r\n\
         Idempotency-Key: k-{id}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: 1\r\n\r\nx"
    )
}

#[test]
fn retry_is_not_sent_if_its_window_passes_while_connecting() {
    let late = Late::start();
    let (release, gate) = channel();
    let gate: Arc<Mutex<Receiver<()>>> = Arc::new(Mutex::new(gate));
    // Receives the request and closes the connection without an answer.
    let failing = Upstream::start(move |_| {
        let _ = gate.lock().expect("not poisoned").recv_timeout(SOON);
        Does::Ends(String::new())
    });
    let mut config = slow_to_connect(vec![member("s-0", failing.address, "SERVING")]);
    config["settings"]["Services"][1]["Window"] = json!(1000.0);
    let node = Node::start(&config);
    let (_, mut watch) = node.discovery.watch();
    let mut client = node.client();
    client.send(&log("r1", 20_000));
    failing.request();
    // After this list update only the other upstream serves.
    let list = json!({"revision": 42, "complete": true,
        "members": [member("s-1", late.address, "SERVING")]});
    chunk(&mut watch, &format!("{list}\n"));
    pause(100);
    // The retry begins within its window; its connection cannot be established.
    release.send(()).expect("upstream is waiting");
    pause(1000);
    let seen = late.open();
    assert_eq!(client.answer().expect("an answer").status(), 502, "the request may have run");
    assert!(received_nothing(&seen), "retried after its window");
}

/// An upstream that calls `handler` with the number of each request and its connection. The connection stays open while
/// `handler` returns true.
fn scripted(handler: impl Fn(usize, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (handler, asked) = (Arc::new(handler), Arc::new(AtomicUsize::new(0)));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepted");
            let (handler, asked) = (handler.clone(), asked.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                while read_message(&mut reader).is_some()
                    && handler(asked.fetch_add(1, Ordering::SeqCst), &mut stream)
                {}
            });
        }
    });
    address
}

fn piece(size: usize) -> Vec<u8> {
    format!("{size:x}\r\n{}\r\n", "x".repeat(size)).into_bytes()
}

#[test]
fn reset_answer_without_length_is_never_complete() {
    let address = scripted(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of it");
        pause(5); // The bytes have arrived and could be taken for the complete answer.
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).expect("an option");
        false
    });
    let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
    let answer = node.client().ask(&alarm("r1", 5000, "x"));
    assert_eq!(answer.status(), 502);
}

#[test]
fn connection_is_reused_only_after_a_rest_if_upstream_answered_twice() {
    // The second answer follows within milliseconds; a queued request must not be in flight on that connection by then.
    for late_ms in [0, 2, 8] {
        let (report, seen) = channel();
        let report = Mutex::new(report);
        let address = scripted(move |n, stream| {
            let (asked, peer) = (Instant::now(), stream.peer_addr().expect("a peer"));
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{n:02}");
            pause(20);
            let answered = Instant::now();
            let _ = stream.write_all(answer.as_bytes());
            if n == 0 {
                pause(late_ms);
                let _ = stream.write_all(answer.as_bytes());
            }
            let _ = report.lock().expect("not poisoned").send((peer, asked, answered));
            true
        });
        let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
        // No request is queued the first time, so that the second answer is seen on an idle connection.
        assert_eq!(node.client().ask(&alarm("r0", 5000, "x")).body, b"00");
        pause(50);
        let mut queue: Vec<Client> = (0..2).map(|_| node.client()).collect();
        queue.iter_mut().for_each(|c| c.send(&alarm("r", 5000, "x")));
        let mut bodies: Vec<Vec<u8>> =
            queue.iter_mut().map(|c| c.answer().expect("an answer").body).collect();
        bodies.sort();
        assert_eq!(bodies, [b"01", b"02"], "{late_ms} ms later");
        let all: Vec<(SocketAddr, Instant, Instant)> = seen.try_iter().collect();
        for (peer, _, answered) in &all {
            let next = all.iter().filter(|a| a.0 == *peer && a.1 > *answered).map(|a| a.1).min();
            let rested = next.map_or(Duration::MAX, |asked| asked - *answered);
            assert!(rested >= Duration::from_millis(10), "{late_ms} ms later: rested {rested:?}");
        }
    }
}

#[test]
fn partial_line_on_an_idle_connection_is_no_part_of_the_next_answer() {
    for partial in ["HTTP/1.1 20", "\r\n", "0"] {
        let address = scripted(move |n, stream| {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{n:02}");
            let _ = stream.write_all(answer.as_bytes());
            if n == 0 {
                pause(20);
                let _ = stream.write_all(partial.as_bytes());
            }
            true
        });
        let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
        let mut client = node.client();
        assert_eq!(client.ask(&alarm("r0", 5000, "x")).body, b"00");
        pause(60);
        let answer = client.ask(&alarm("r1", 5000, "x"));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"01"[..]), "{partial:?}");
    }
}

#[test]
fn short_deadlines_are_attempted() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = Node::start(&config(members(&[&upstream])));
    let mut client = node.client();
    // On a busy machine not every request is served in time, but none may be refused because its deadline is too short.
    let served = (0..200).any(|_| client.ask(&read("r", 12)).status() == 200);
    assert!(served, "no request with a deadline of 12 ms was served");
}

// ---------------------------------------------------------------- descriptors

/// A proxy with a limit of 80 descriptors, also set by `ulimit`, of which 20 are for clients.
fn start_with_few_descriptors(known: Vec<serde_json::Value>) -> Node {
    let mut config = config(known);
    config["limits"]["sockets"] = json!(80);
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n 80; exec \"$0\"", NODE]);
    Node::start_by(command, &config)
}

const CLIENTS: usize = 20;

#[test]
fn backlog_at_sigterm_is_served_though_the_client_slots_are_full() {
    let upstream = Upstream::start(|m| match m.header("x-request-id") {
        "hangs" => Does::Hangs,
        _ => ok("ok"),
    });
    // Enough slots for all requests.
    let many = (0..40).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    let mut node = start_with_few_descriptors(many);
    let mut occupying: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
    occupying.iter_mut().for_each(|c| c.send(&alarm("hangs", 650, "x")));
    (0..CLIENTS).for_each(|_| drop(upstream.request()));
    let mut backlog: Vec<Client> = (0..80).map(|_| node.client()).collect();
    backlog.iter_mut().for_each(|c| c.send(&read("r", 6000)));
    node.signal("TERM");
    for (i, client) in backlog.iter_mut().enumerate() {
        assert_eq!(client.answer().map(|a| a.status()), Some(200), "client {i} of the backlog");
    }
    drop((occupying, backlog));
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn idle_connections_are_closed_when_the_client_slots_fill_suddenly() {
    let upstream = Upstream::start(|m| match m.header("x-request-id") {
        "hangs" => Does::Hangs,
        _ => ok("ok"),
    });
    let many = (0..40).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    let node = start_with_few_descriptors(many);
    // Fewer than half of the client slots: idle connections are not closed early.
    let mut idle: Vec<Client> = (0..9).map(|_| node.client()).collect();
    idle.iter_mut().for_each(|c| assert_eq!(c.ask(&read("r", 5000)).status(), 200));
    pause(2350);
    let mut occupying: Vec<Client> = (9..CLIENTS).map(|_| node.client()).collect();
    occupying.iter_mut().for_each(|c| c.send(&alarm("hangs", 6000, "x")));
    let from = Instant::now();
    assert_eq!(node.client().ask(&read("r", 5000)).status(), 200);
    assert!(
        from.elapsed() < Duration::from_millis(400),
        "the new client waited {:?}",
        from.elapsed()
    );
    // Each idle connection is closed cleanly, without any part of an answer.
    idle.iter_mut().for_each(|c| assert!(c.answer().is_none()));
}

/// Guards against an upload being failed at its end because its beginning had waited in the backlog: its deadline counts
/// from its last byte.
#[test]
fn upload_that_began_in_the_backlog_has_its_whole_time() {
    let upstream = Upstream::start(|m| match m.header("x-request-id") {
        "hangs" => Does::Hangs,
        _ => ok("ok"),
    });
    let many = (0..40).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    let node = start_with_few_descriptors(many);
    let mut occupying: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
    occupying.iter_mut().for_each(|c| c.send(&alarm("hangs", 1500, "x")));
    pause(200);
    let mut client = node.client();
    let request = alarm("r1", 800, &"x".repeat(100_000));
    let (begin, rest) = request.split_at(10_000);
    client.send(begin);
    for client in &mut occupying {
        assert_eq!(client.answer().map(|answer| answer.status()), Some(504));
    }
    pause(200);
    client.send(rest);
    assert_eq!(client.answer().map(|answer| answer.status()), Some(200));
}

#[test]
fn idle_or_flooding_clients_take_no_descriptor_from_discovery_or_upstreams() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start_with_few_descriptors(vec![]);
    // Discovery is silent. All client slots are taken and many more connections wait in the backlog: some are silent,
    // some send many bytes and close.
    node.discovery.watch();
    let silent: Vec<TcpStream> = (0..150)
        .map(|_| TcpStream::connect(node.address).expect("connected through the backlog"))
        .collect();
    for _ in 0..50 {
        let mut gone = TcpStream::connect(node.address).expect("connected through the backlog");
        let _ = gone.write_all(&[b'x'; 4000]);
    }
    let moved = Discovery::start();
    let mut file = config(vec![]);
    file["discovery"] = json!(moved.address.to_string());
    file["limits"]["sockets"] = json!(80);
    node.reconfigure(&file.to_string());
    node.signal("HUP");
    let (_, mut watch) = moved.watch();
    let list = json!({"revision": 42, "complete": true, "members": members(&[&upstream])});
    chunk(&mut watch, &format!("{list}\n"));
    drop(silent);
    assert_eq!(node.client().ask(&read("r1", 5000)).status(), 200);
    assert_eq!(node.client().ask("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
}

#[test]
fn slots_and_descriptors_of_departed_clients_are_freed() {
    let hangs = Upstream::start(|_| Does::Hangs);
    let node = Node::managed(&config(members(&[&hangs])));
    let active = || {
        let stats = node.call("GET /admin/stats").body;
        let stats: serde_json::Value = serde_json::from_slice(&stats).expect("JSON");
        stats["active"].as_u64().expect("a figure")
    };
    let descriptors = || {
        let path = format!("/proc/{}/fd", node.child.id());
        std::fs::read_dir(path).expect("its descriptors").count()
    };
    let before = descriptors();
    let mut gone = Vec::new();
    for round in 0..4 {
        for (how, behind) in LEAVES {
            let mut leaving = connect_with_large_buffer(node.address);
            let text = read(&format!("r{round}"), 6000);
            leaving.write_all(text.as_bytes()).expect("written");
            leaving.write_all(&vec![b'P'; behind]).expect("written");
            gone.push((how, leaving));
        }
    }
    let from = Instant::now();
    while active() == 0 {
        assert!(from.elapsed() < SOON, "no request is active");
    }
    // All clients disconnect at once.
    let half_closed: Vec<_> = gone.into_iter().map(|(how, leaving)| leave(leaving, how)).collect();
    let from = Instant::now();
    while active() > 0 {
        assert!(
            from.elapsed() < Duration::from_secs(3),
            "{} requests still count as active",
            active()
        );
    }
    drop(half_closed);
    let from = Instant::now();
    // The upstream connection, whose answer may still arrive, and the connection that queries the statistics.
    while descriptors() > before + 3 {
        assert!(from.elapsed() < SOON, "{} descriptors in use, {before} before", descriptors());
    }
}

#[test]
fn unanswered_requests_are_answered_before_sigkill_despite_a_stall() {
    // SIGKILL comes 3.7 s after SIGTERM at the earliest; the process may stall for 0.15 s at any moment before.
    let (kill, stall) = (Duration::from_millis(3700), Duration::from_millis(150));
    let stall_starts = [3400, 3470, 3560].map(Duration::from_millis);
    std::thread::scope(|scope| {
        for from in stall_starts {
            scope.spawn(move || {
                let hangs = Upstream::start(|_| Does::Hangs);
                let mut config = config(members(&[&hangs]));
                config["settings"]["Services"][2]["Deadline"] = json!(20_000.0);
                config["settings"]["Services"][2]["Aim"] = json!(20_000.0);
                let node = Node::start(&config);
                let mut client = node.client();
                client.send(&alarm("r1", 20_000, "x"));
                hangs.request();
                node.signal("TERM");
                let term = Instant::now();
                std::thread::sleep(from);
                node.signal("STOP");
                std::thread::sleep(stall.min(kill - from));
                if from + stall < kill {
                    node.signal("CONT");
                }
                std::thread::sleep((term + kill).saturating_duration_since(Instant::now()));
                node.signal("KILL");
                let answer = client.answer().map(|answer| answer.status());
                assert_eq!(answer, Some(504), "stopped {from:?} after SIGTERM");
            });
        }
    });
}
