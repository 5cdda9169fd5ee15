//! What comes between two lines: a request, an answer, a close or a signal in the moment in which the proxy
//! turns to something else. Each is made to come there every time, by a peer that holds back until it is let go.

mod answers;
mod left_clients;
mod system_calls;
mod takeovers;

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

/// An upstream whose requests with an id that begins with `w` wait until they are let go, one for each word.
fn waits_for_a_word(answer: &'static str) -> (Upstream, Sender<()>) {
    let (go, waits) = channel();
    let waits: Arc<Mutex<Receiver<()>>> = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |m| {
        if m.header("x-request-id").starts_with('w') {
            let _ = waits.lock().expect("not poisoned").recv_timeout(SOON);
        }
        ok(answer)
    });
    (upstream, go)
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A client whose system holds little of what it has not read yet.
fn narrow(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a size");
    socket.connect(&address.into()).expect("it accepts");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(SOON)).expect("a time");
    stream
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

// ---------------------------------------------------------------- closes and shutdowns

#[test]
fn bytes_behind_the_last_request_do_not_take_its_answer_with_them() {
    let body: &'static str = "x".repeat(60 << 10).leak();
    let (upstream, go) = waits_for_a_word(body);
    let node = Node::start(&config(members(&[&upstream])));
    for behind in [0, 7, 64 << 10] {
        let mut client = narrow(node.address);
        let last = read("w1", 6000).replace("Cookie", "Connection: close\r\nCookie");
        client.write_all(last.as_bytes()).expect("written");
        upstream.request();
        // The request is read; what comes now stays unread to the end.
        client.write_all(&vec![b'G'; behind]).expect("written");
        go.send(()).expect("it waits");
        pause(150); // The answer is written, as far as it goes, and our end closed.
        let mut answer = BufReader::new(client);
        let whole = read_message(&mut answer).map(|m| m.body.len());
        assert_eq!(whole, Some(body.len()), "{behind} bytes behind the request");
        assert_eq!(answer.read(&mut [0]).ok(), Some(0), "and then it is closed");
    }
    assert_eq!(upstream.requests_so_far(), 0, "what was behind it went nowhere");
}

#[test]
fn a_request_behind_one_that_closes_is_not_sent_on() {
    let (upstream, go) = waits_for_a_word("ok");
    let node = Node::start(&config(members(&[&upstream])));
    let last = read("w1", 6000).replace("Cookie", "Connection: close\r\nCookie");
    for apart in [false, true] {
        let mut client = node.client();
        if apart {
            client.send(&last);
            upstream.request();
            client.send(&alarm("r2", 6000, "x"));
        } else {
            client.send(&format!("{last}{}", alarm("r2", 6000, "x")));
            upstream.request();
        }
        go.send(()).expect("it waits");
        assert_eq!(client.answer().expect("an answer").status(), 200);
        assert!(client.answer().is_none(), "one answer to what was taken");
    }
    assert_eq!(node.client().ask(&read("r3", 5000)).status(), 200);
    assert_eq!(upstream.request().1.header("x-request-id"), "r3");
}

#[test]
fn a_head_that_has_begun_as_the_process_is_told_to_end_is_served() {
    for kept in [true, false] {
        let upstream = Upstream::start(|_| ok("ok"));
        let mut node = Node::start(&config(members(&[&upstream])));
        let mut client = node.client();
        if kept {
            assert_eq!(client.ask(&read("r1", 5000)).status(), 200);
        }
        let text = alarm("r2", 5000, "x");
        let (a, b) = text.split_at(40);
        client.send(a);
        pause(50); // It is read.
        node.signal("TERM");
        pause(800); // Past the time for which idle connections stay.
        client.send(b);
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"), "kept: {kept}");
        assert_eq!(node.exit_code(), Some(0));
    }
}

#[test]
fn a_request_that_crosses_with_the_end_of_an_idle_connection_is_served_or_not_sent_on() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut node = Node::start(&config(members(&[&upstream])));
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    for client in &mut clients {
        assert_eq!(client.ask(&read("r", 5000)).status(), 200);
    }
    while upstream.requests_so_far() > 0 {}
    let from = Instant::now();
    node.signal("TERM");
    // Each at its own moment around the half second after which idle connections are closed.
    let mut answered = 0;
    for (i, client) in clients.iter_mut().enumerate() {
        let at = Duration::from_millis(480 + i as u64);
        std::thread::sleep(at.saturating_sub(from.elapsed()));
        let _ = client.try_send(&read("r", 5000));
        answered += usize::from(client.answer().is_some_and(|a| a.status() == 200));
    }
    assert_eq!(node.exit_code(), Some(0));
    assert_eq!(upstream.requests_so_far(), answered, "what went on was answered, and nothing else");
}

/// Sends each of these its request while the process stands still, so that it finds the request and the end of the
/// connection's time in the same moment; the statuses of the answers.
fn asked_while_it_stands_still(node: &Node, clients: &mut [Client]) -> Vec<Option<u16>> {
    node.signal("STOP");
    clients.iter_mut().for_each(|c| c.send(&read("r2", 6000)));
    pause(1000);
    node.signal("CONT");
    clients.iter_mut().map(|c| c.answer().map(|a| a.status())).collect()
}

#[test]
fn a_request_that_has_come_as_the_time_of_its_connection_is_up_is_served() {
    let upstream = Upstream::start(|_| ok("ok"));
    // Enough slots for all of them.
    let many = (0..40).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    // More than half of the table: what idles is closed after 2.2 s.
    let node = scarce(many);
    let mut clients: Vec<Client> = (0..12).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|c| assert_eq!(c.ask(&read("r1", 5000)).status(), 200));
    pause(1600);
    let answers = asked_while_it_stands_still(&node, &mut clients);
    assert_eq!(answers, [Some(200); 12], "idle connections");
}

#[test]
fn a_request_that_has_come_as_idle_connections_are_closed_at_sigterm_is_served() {
    let upstream = Upstream::start(|_| ok("ok"));
    let many = (0..40).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    let mut node = Node::start(&config(many));
    let mut clients: Vec<Client> = (0..12).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|c| assert_eq!(c.ask(&read("r1", 5000)).status(), 200));
    node.signal("TERM");
    pause(100); // It has heard of it; idle connections stay for half a second.
    let answers = asked_while_it_stands_still(&node, &mut clients);
    assert_eq!(answers, [Some(200); 12], "after SIGTERM");
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn all_that_was_taken_is_answered_before_sigkill_may_come() {
    // One hangs for good; the other takes none that waits for a slot.
    let hangs = Upstream::start(|_| Does::Hangs);
    let mut config = config(members(&[&hangs]));
    for class in 0..3 {
        config["settings"]["Services"][class]["Aim"] = json!(20_000.0);
        config["settings"]["Services"][class]["Deadline"] = json!(20_000.0);
    }
    let mut node = Node::start(&config);
    let mut out = node.client();
    out.send(&alarm("r1", 20_000, "x"));
    hangs.request();
    let mut queued = node.client();
    queued.send(&alarm("r2", 20_000, "x"));
    let mut half = node.client();
    let text = alarm("r3", 20_000, &"x".repeat(200_000));
    half.send(&text[..text.len() - 1]);
    let from = Instant::now();
    node.signal("TERM");
    // Twice, and beside a word on discovery: neither begins anything anew.
    pause(300);
    node.signal("TERM");
    node.signal("HUP");
    let mut late = node.client();
    late.send(&alarm("r4", 20_000, "x"));
    assert_eq!(out.answer().expect("an answer").status(), 504, "it may have run");
    assert_eq!(queued.answer().expect("an answer").status(), 503, "it never ran");
    assert!(matches!(half.answer().expect("an answer").status(), 408 | 503 | 504));
    assert_eq!(late.answer().expect("an answer").status(), 503);
    // PROTOCOL: the longest deadline, 3 s at most, and 0.7 s.
    assert!(from.elapsed() < Duration::from_millis(3700), "{:?}", from.elapsed());
    drop((out, queued, half, late));
    assert_eq!(node.exit_code(), Some(0));
    assert_eq!(hangs.requests_so_far(), 0, "only the first had a slot");
}

#[test]
fn sigterm_before_readiness_ends_it_and_leaves_nobody_without_an_answer() {
    let mut node = Node::start(&config(vec![]));
    let mut waits = node.client();
    waits.send(&read("r1", 6000));
    pause(50);
    node.signal("TERM");
    assert_eq!(waits.answer().expect("an answer").status(), 503);
    assert_eq!(node.exit_code(), Some(0));
}

// ---------------------------------------------------------------- clients that leave

/// The ways in which a client can be gone, each with what it left unread behind its request.
const LEAVES: [(&str, usize); 8] = [
    ("close", 0),
    ("close", 5),
    ("close", 40_000),
    ("half-close", 0),
    ("half-close", 200),
    ("half-close", 40_000),
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
fn what_waits_for_a_slot_is_not_sent_for_a_client_that_has_gone() {
    for (how, behind) in LEAVES {
        let (upstream, go) = waits_for_a_word("ok");
        let node = Node::start(&config(members(&[&upstream])));
        let mut first = node.client();
        first.send(&read("w1", 6000));
        upstream.request();
        let mut leaves = TcpStream::connect(node.address).expect("it accepts");
        leaves.write_all(alarm("r2", 6000, "x").as_bytes()).expect("written");
        pause(30);
        leaves.write_all(&vec![b'P'; behind]).expect("written");
        pause(30);
        let _half = leave(leaves, how);
        pause(100);
        go.send(()).expect("it waits");
        assert_eq!(first.answer().expect("an answer").status(), 200);
        assert_eq!(node.client().ask(&read("r3", 5000)).status(), 200);
        let next = upstream.request().1;
        assert_eq!(next.header("x-request-id"), "r3", "{how} with {behind} bytes behind it");
    }
}

#[test]
fn what_is_sent_behind_the_head_in_one_piece_hides_no_close() {
    let (upstream, go) = waits_for_a_word("ok");
    let node = Node::start(&config(members(&[&upstream])));
    let mut first = node.client();
    first.send(&read("w1", 6000));
    upstream.request();
    let text = format!("{}{}", alarm("r2", 6000, "x"), alarm("r3", 6000, "x"));
    let mut leaves = TcpStream::connect(node.address).expect("it accepts");
    leaves.write_all(text.as_bytes()).expect("written");
    pause(50);
    drop(leaves);
    pause(100);
    go.send(()).expect("it waits");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(node.client().ask(&read("r4", 5000)).status(), 200);
    assert_eq!(upstream.request().1.header("x-request-id"), "r4");
}

/// Tells the id of each request as soon as its head is there, whatever becomes of its body; answers `ok`, those
/// whose id begins with `w` once there is a word.
fn tells_heads() -> (SocketAddr, Receiver<String>, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell, heads) = channel();
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, tell, waits) = (stream.expect("accepted"), tell.clone(), waits.clone());
            std::thread::spawn(move || answer_heads(stream, &tell, &waits));
        }
    });
    (address, heads, go)
}

fn answer_heads(stream: TcpStream, tell: &Sender<String>, waits: &Mutex<Receiver<()>>) {
    let mut out = stream.try_clone().expect("a second handle");
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
        let _ = tell.send(id.clone());
        if std::io::copy(&mut (&mut reader).take(length), &mut std::io::sink()).ok() != Some(length)
        {
            return;
        }
        if id.starts_with('w') {
            let _ = waits.lock().expect("not poisoned").recv_timeout(SOON);
        }
        let _ = out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
}

#[test]
fn a_body_that_nobody_takes_hides_no_close() {
    let (address, heads, go) = tells_heads();
    let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
    let mut first = node.client();
    first.send(&read("w1", 6000));
    assert_eq!(heads.recv_timeout(SOON).expect("a head"), "w1");
    // Larger than what is kept: it waits, half read, for an upstream to take it.
    let text = alarm("r2", 6000, &"x".repeat(400_000));
    let mut leaves = TcpStream::connect(node.address).expect("it accepts");
    leaves.write_all(&text.as_bytes()[..150_000]).expect("written");
    pause(50);
    drop(leaves);
    pause(100);
    go.send(()).expect("it waits");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(node.client().ask(&read("r3", 5000)).status(), 200);
    assert_eq!(heads.recv_timeout(SOON).expect("a head"), "r3");
}

#[test]
fn what_was_turned_away_is_not_sent_again_for_a_client_that_has_gone() {
    for (how, behind) in LEAVES {
        let (go, waits) = channel();
        let waits: Arc<Mutex<Receiver<()>>> = Arc::new(Mutex::new(waits));
        let asked = Arc::new(AtomicUsize::new(0));
        let start = || {
            let (waits, asked) = (waits.clone(), asked.clone());
            Upstream::start(move |_| {
                if asked.fetch_add(1, Ordering::SeqCst) > 0 {
                    return ok("ok");
                }
                let _ = waits.lock().expect("not poisoned").recv_timeout(SOON);
                answers("503 Service Unavailable", "X-Not-Run: 1\r\n")
            })
        };
        let pair = [start(), start()];
        let node = Node::start(&config(members(&[&pair[0], &pair[1]])));
        let mut leaves = TcpStream::connect(node.address).expect("it accepts");
        leaves.write_all(alarm("r1", 6000, "x").as_bytes()).expect("written");
        let from = Instant::now();
        while asked.load(Ordering::SeqCst) == 0 {
            assert!(from.elapsed() < SOON, "nothing is sent");
        }
        leaves.write_all(&vec![b'P'; behind]).expect("written");
        pause(30);
        let _half = leave(leaves, how);
        pause(100);
        go.send(()).expect("it waits");
        pause(100);
        assert_eq!(asked.load(Ordering::SeqCst), 1, "{how} with {behind} bytes behind it");
    }
}

fn nothing_came(seen: &Receiver<usize>) -> bool {
    // The system tries again to connect after 1, 2 and 4 s.
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
fn what_waits_for_its_connection_is_not_sent_for_a_client_that_has_gone() {
    let late = Late::start();
    let node = Node::start(&slow_to_connect(vec![member("s-0", late.address, "SERVING")]));
    let gone: Vec<Option<TcpStream>> = LEAVES
        .into_iter()
        .map(|(how, behind)| {
            let mut leaves = TcpStream::connect(node.address).expect("it accepts");
            leaves.write_all(alarm("r1", 20_000, "x").as_bytes()).expect("written");
            pause(30); // The first is on its way, and cannot come up; the others are queued.
            leaves.write_all(&vec![b'P'; behind]).expect("written");
            pause(10);
            leave(leaves, how)
        })
        .collect();
    pause(100);
    assert!(nothing_came(&late.open()), "it was sent all the same");
    drop(gone);
}

// ---------------------------------------------------------------- repeats

/// A request of the class that may be repeated within its window, at upstreams of one cell.
fn log(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: log\r\n\
         Idempotency-Key: k-{id}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: 1\r\n\r\nx"
    )
}

#[test]
fn a_repeat_whose_window_passes_while_it_waits_for_its_connection_is_not_sent() {
    let late = Late::start();
    let (go, waits) = channel();
    let waits: Arc<Mutex<Receiver<()>>> = Arc::new(Mutex::new(waits));
    // It has begun on it, and breaks off.
    let breaks = Upstream::start(move |_| {
        let _ = waits.lock().expect("not poisoned").recv_timeout(SOON);
        Does::Ends(String::new())
    });
    let mut config = slow_to_connect(vec![member("s-0", breaks.address, "SERVING")]);
    config["settings"]["Services"][1]["Window"] = json!(1000.0);
    let node = Node::start(&config);
    let (_, mut watch) = node.discovery.watch();
    let mut client = node.client();
    client.send(&log("r1", 20_000));
    breaks.request();
    // From here on only the other one serves.
    let list = json!({"revision": 42, "complete": true,
        "members": [member("s-1", late.address, "SERVING")]});
    chunk(&mut watch, &format!("{list}\n"));
    pause(100);
    go.send(()).expect("it waits"); // Within the window a repeat is on its way, and cannot come up.
    pause(1000);
    let seen = late.open();
    assert_eq!(client.answer().expect("an answer").status(), 502, "it may have run");
    assert!(nothing_came(&seen), "repeated after its window");
}

/// An upstream that is handed each request's number, and its connection; that is kept while it says so.
fn scripted(does: impl Fn(usize, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (does, asked) = (Arc::new(does), Arc::new(AtomicUsize::new(0)));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepted");
            let (does, asked) = (does.clone(), asked.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                while read_message(&mut reader).is_some()
                    && does(asked.fetch_add(1, Ordering::SeqCst), &mut stream)
                {}
            });
        }
    });
    address
}

#[test]
fn an_answer_that_never_ends_is_ended_in_time() {
    let head = "HTTP/1.1 200 OK\r\n";
    let starts = [
        format!("{head}Content-Length: 100\r\n\r\nhalf"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
        format!("{head}\r\nhalf"),
        head.to_owned(),
    ];
    for start in starts {
        let text = start.clone();
        let address = scripted(move |_, stream| stream.write_all(text.as_bytes()).is_ok());
        let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
        let mut client = TcpStream::connect(node.address).expect("it accepts");
        client.set_read_timeout(Some(SOON)).expect("a time");
        let from = Instant::now();
        client.write_all(alarm("r1", 1000, "x").as_bytes()).expect("written");
        let mut reader = BufReader::new(client);
        let mut answer = String::new();
        // Either an answer of ours, or one that is seen not to be whole.
        while !answer.ends_with("\r\n\r\n") && reader.read_line(&mut answer).is_ok_and(|n| n > 0) {}
        if answer.starts_with("HTTP/1.1 200") {
            let mut rest = Vec::new();
            let _ = reader.read_to_end(&mut rest);
            let rest = String::from_utf8_lossy(&rest);
            assert!(!rest.ends_with("0\r\n\r\n"), "passed for whole: {start}");
            assert!(answer.to_lowercase().contains("transfer-encoding: chunked"), "{answer}");
        } else {
            assert!(answer.starts_with("HTTP/1.1 504"), "{answer} to {start}");
        }
        assert!(from.elapsed() < Duration::from_millis(1500), "{:?}: {start}", from.elapsed());
    }
}

/// Writes chunks of `size` bytes, `n` of them, so many milliseconds apart; the last one ends the answer if it `ends`.
fn drip(stream: &mut TcpStream, n: usize, size: usize, apart_ms: u64, ends: bool) -> bool {
    let mut written = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for _ in 0..n {
        written = written.and_then(|()| stream.write_all(&piece(size)));
        pause(apart_ms);
    }
    written.and_then(|()| if ends { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }).is_ok()
}

fn piece(size: usize) -> Vec<u8> {
    format!("{size:x}\r\n{}\r\n", "x".repeat(size)).into_bytes()
}

#[test]
fn an_answer_in_drops_is_ended_in_time_and_a_large_slow_one_is_not_cut() {
    let node_of = |does: fn(&mut TcpStream) -> bool| {
        let address = scripted(move |_, stream| does(stream));
        let known = vec![member("s-0", address, "SERVING")];
        Node::start(&config(known))
    };
    let ask = |node: &Node, deadline_ms| {
        let mut client = TcpStream::connect(node.address).expect("it accepts");
        client.set_read_timeout(Some(SOON)).expect("a time");
        let last = alarm("r1", deadline_ms, "x").replace("Host", "Connection: close\r\nHost");
        client.write_all(last.as_bytes()).expect("written");
        let mut answer = Vec::new();
        let _ = client.read_to_end(&mut answer);
        answer
    };
    let drops = node_of(|stream| drip(stream, 200, 1, 50, false));
    let from = Instant::now();
    let answer = ask(&drops, 1000);
    assert!(!answer.ends_with(b"0\r\n\r\n"), "it passed for whole");
    assert!(from.elapsed() < Duration::from_millis(1500), "{:?}", from.elapsed());
    // 50 kB a second, for four times as long as the client would wait for a small one.
    let large = node_of(|stream| drip(stream, 50, 2000, 40, true));
    let answer = ask(&large, 500);
    assert!(answer.ends_with(b"0\r\n\r\n"), "cut after {} bytes", answer.len());
}

#[test]
fn an_answer_without_length_that_is_reset_is_never_whole() {
    let address = scripted(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of it");
        pause(5); // It has arrived, and could pass for all.
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).expect("an option");
        false
    });
    let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
    let answer = node.client().ask(&alarm("r1", 5000, "x"));
    assert_eq!(answer.status(), 502);
}

#[test]
fn an_upstream_that_answered_twice_is_not_asked_again_on_a_connection_that_has_not_rested() {
    // A second answer comes milliseconds later; a request of a queue must not be out there by then.
    for late_ms in [0, 2, 8] {
        let (tell, seen) = channel();
        let tell = Mutex::new(tell);
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
            let _ = tell.lock().expect("not poisoned").send((peer, asked, answered));
            true
        });
        let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
        // The first time nobody waits, and it is seen on a connection that rests.
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
fn half_a_line_on_a_resting_connection_is_no_part_of_the_next_answer() {
    for half in ["HTTP/1.1 20", "\r\n", "0"] {
        let address = scripted(move |n, stream| {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{n:02}");
            let _ = stream.write_all(answer.as_bytes());
            if n == 0 {
                pause(20);
                let _ = stream.write_all(half.as_bytes());
            }
            true
        });
        let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
        let mut client = node.client();
        assert_eq!(client.ask(&alarm("r0", 5000, "x")).body, b"00");
        pause(60);
        let answer = client.ask(&alarm("r1", 5000, "x"));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"01"[..]), "{half:?}");
    }
}

#[test]
fn the_shortest_deadlines_are_tried_too() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = Node::start(&config(members(&[&upstream])));
    let mut client = node.client();
    // On a busy machine not each is in time; but none may be turned back as too short.
    let served = (0..200).any(|_| client.ask(&read("r", 12)).status() == 200);
    assert!(served, "12 ms are never enough");
}

// ---------------------------------------------------------------- descriptors

/// A proxy that may have 80 descriptors, of which 20 are for clients, and has no more from its system.
fn scarce(known: Vec<serde_json::Value>) -> Node {
    let mut config = config(known);
    config["limits"]["sockets"] = json!(80);
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n 80; exec \"$0\"", NODE]);
    Node::start_by(command, &config)
}

const CLIENTS: usize = 20;

#[test]
fn what_waits_to_be_accepted_at_the_end_is_served_though_the_table_is_full() {
    let upstream = Upstream::start(|m| match m.header("x-request-id") {
        "hangs" => Does::Hangs,
        _ => ok("ok"),
    });
    // Enough slots for all of them.
    let many = (0..40).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    let mut node = scarce(many);
    let mut full: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
    full.iter_mut().for_each(|c| c.send(&alarm("hangs", 650, "x")));
    (0..CLIENTS).for_each(|_| drop(upstream.request()));
    let mut wait: Vec<Client> = (0..80).map(|_| node.client()).collect();
    wait.iter_mut().for_each(|c| c.send(&read("r", 6000)));
    node.signal("TERM");
    for (i, client) in wait.iter_mut().enumerate() {
        assert_eq!(client.answer().map(|a| a.status()), Some(200), "the {i}th that waited");
    }
    drop((full, wait));
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn a_table_that_fills_all_of_a_sudden_is_cleared_of_what_idles() {
    let upstream = Upstream::start(|m| match m.header("x-request-id") {
        "hangs" => Does::Hangs,
        _ => ok("ok"),
    });
    let many = (0..40).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    let node = scarce(many);
    // Fewer than half: nobody wants their place.
    let mut idle: Vec<Client> = (0..9).map(|_| node.client()).collect();
    idle.iter_mut().for_each(|c| assert_eq!(c.ask(&read("r", 5000)).status(), 200));
    pause(2350);
    let mut full: Vec<Client> = (9..CLIENTS).map(|_| node.client()).collect();
    full.iter_mut().for_each(|c| c.send(&alarm("hangs", 6000, "x")));
    let from = Instant::now();
    assert_eq!(node.client().ask(&read("r", 5000)).status(), 200);
    assert!(from.elapsed() < Duration::from_millis(400), "it waited {:?}", from.elapsed());
    // Each of them is closed, and none in the middle of a word.
    idle.iter_mut().for_each(|c| assert!(c.answer().is_none()));
}

#[test]
fn clients_that_idle_or_flood_take_no_descriptor_from_discovery_or_upstreams() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = scarce(vec![]);
    // Discovery says nothing. All places are taken, and many more wait: some say nothing, some send much and go.
    node.discovery.watch();
    let silent: Vec<TcpStream> =
        (0..150).map(|_| TcpStream::connect(node.address).expect("the backlog holds it")).collect();
    for _ in 0..50 {
        let mut gone = TcpStream::connect(node.address).expect("the backlog holds it");
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
fn what_clients_that_left_had_is_free_again() {
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
            let mut leaves = TcpStream::connect(node.address).expect("it accepts");
            let text = read(&format!("r{round}"), 6000);
            leaves.write_all(text.as_bytes()).expect("written");
            leaves.write_all(&vec![b'P'; behind]).expect("written");
            gone.push((how, leaves));
        }
    }
    let from = Instant::now();
    while active() == 0 {
        assert!(from.elapsed() < SOON, "none is taken");
    }
    // All at once.
    let half: Vec<_> = gone.into_iter().map(|(how, leaves)| leave(leaves, how)).collect();
    let from = Instant::now();
    while active() > 0 {
        assert!(from.elapsed() < Duration::from_secs(3), "{} still count as taken", active());
    }
    drop(half);
    let from = Instant::now();
    // One to the upstream, whose answer may still come, and one that asks.
    while descriptors() > before + 3 {
        assert!(from.elapsed() < SOON, "{} descriptors, {before} before", descriptors());
    }
}

#[test]
fn what_is_owed_at_the_kill_is_answered_though_the_process_is_held_right_before() {
    // SIGKILL comes 3.7 s after SIGTERM at the earliest; a process may be held for 0.15 s at any moment before.
    let (kill, hold) = (Duration::from_millis(3700), Duration::from_millis(150));
    let held_from = [3400, 3470, 3560].map(Duration::from_millis);
    std::thread::scope(|scope| {
        for from in held_from {
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
                std::thread::sleep(hold.min(kill - from));
                if from + hold < kill {
                    node.signal("CONT");
                }
                std::thread::sleep((term + kill).saturating_duration_since(Instant::now()));
                node.signal("KILL");
                let answer = client.answer().map(|answer| answer.status());
                assert_eq!(answer, Some(504), "held from {from:?} after SIGTERM");
            });
        }
    });
}
