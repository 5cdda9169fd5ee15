//! Tests request and response bodies larger than the proxy buffers, and peers that send and read them slowly.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use crate::stubs::*;

const MB: usize = 1 << 20;

/// Generates a deterministic, non-repeating byte sequence, so that reordered or duplicated parts are detected.
fn test_bytes(n: usize) -> Vec<u8> {
    (0..n as u64).map(|i| (i.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 56) as u8).collect()
}

fn read_head(reader: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).is_ok_and(|n| n > 0) {}
    head.to_lowercase()
}

/// Reads a body using the framing given in its head. The flag is true if the body was complete.
fn read_body(reader: &mut impl BufRead, head: &str) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
    if let Some(length) = length {
        let read = reader.take(length).read_to_end(&mut body);
        return (body, read.is_ok_and(|n| n as u64 == length));
    }
    if !head.contains("transfer-encoding: chunked") {
        return (body, true);
    }
    loop {
        let mut line = String::new();
        let _ = reader.read_line(&mut line);
        let Ok(size) = u64::from_str_radix(line.trim(), 16) else { return (body, false) };
        let before = body.len() as u64;
        let read = reader.take(size).read_to_end(&mut body);
        if read.is_err() || body.len() as u64 - before < size {
            return (body, false);
        }
        let mut end = String::new();
        let _ = reader.read_line(&mut end);
        if size == 0 {
            return (body, true);
        }
    }
}

/// Starts an upstream that calls `handler` for each request with its head and the connection, positioned at the body.
fn start_upstream(
    handler: impl Fn(&str, &mut BufReader<TcpStream>) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("local address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, handler) = (stream.expect("accept"), handler.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                loop {
                    let head = read_head(&mut reader);
                    if head.is_empty() {
                        return;
                    }
                    handler(&head, &mut reader);
                }
            });
        }
    });
    address
}

fn start_node(address: SocketAddr) -> Node {
    Node::managed(&config(vec![member("s-0", address, "SERVING")]))
}

fn connect(node: &Node) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(node.address).expect("connect");
    stream.set_read_timeout(Some(SOON)).expect("set read timeout");
    BufReader::new(stream)
}

fn write(reader: &mut BufReader<TcpStream>, bytes: &[u8]) {
    let _ = reader.get_mut().write_all(bytes);
}

fn post(framing: &str) -> String {
    alarm("r1", 5000, "").replace("Content-Length: 0\r\n", framing)
}

fn counter(node: &Node, path: &str) -> u64 {
    let answer = node.call("GET /admin/stats");
    let stats: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    stats.pointer(path).and_then(serde_json::Value::as_u64).expect("no such counter")
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < SOON, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Peak resident memory of the process, in bytes.
fn peak_memory(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id()));
    let status = status.expect("the process is not running");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("no VmHWM line");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("VmHWM is not a number") << 10
}

#[test]
fn large_response_is_complete_with_any_framing() {
    let answer = Arc::new(test_bytes(3 * MB));
    let (sent, framings) = (answer.clone(), Arc::new(std::sync::atomic::AtomicUsize::new(0)));
    let address = start_upstream(move |_, stream| {
        let n = framings.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let ok = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n";
        match n {
            0 => write(stream, format!("{ok}Content-Length: {}\r\n\r\n", sent.len()).as_bytes()),
            1 => write(stream, format!("{ok}Transfer-Encoding: chunked\r\n\r\n").as_bytes()),
            _ => write(stream, format!("{ok}Connection: close\r\n\r\n").as_bytes()),
        }
        for piece in sent.chunks(100_003) {
            match n {
                1 => {
                    write(stream, format!("{:x}\r\n", piece.len()).as_bytes());
                    write(stream, piece);
                    write(stream, b"\r\n");
                }
                _ => write(stream, piece),
            }
        }
        match n {
            1 => write(stream, b"0\r\nX-Sum: 1\r\n\r\n"),
            0 => {}
            _ => drop(stream.get_mut().shutdown(std::net::Shutdown::Both)),
        }
    });
    let node = start_node(address);
    let mut client = connect(&node);
    for framing in ["length", "chunks", "close"] {
        write(&mut client, read("r", 5000).as_bytes());
        let head = read_head(&mut client);
        assert!(head.starts_with("http/1.1 200"), "{framing}: {head}");
        let (body, complete) = read_body(&mut client, &head);
        assert!(complete && body == *answer, "{framing}: {} bytes", body.len());
    }
    wait_until("the response was not counted", || counter(&node, "/responses/read/ok") == 3);
    assert_eq!(counter(&node, "/active"), 0);
}

#[test]
fn large_response_is_streamed_as_it_arrives() {
    let (resume, resumed) = channel::<()>();
    let resumed = Arc::new(std::sync::Mutex::new(resumed));
    let address = start_upstream(move |_, stream| {
        write(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
        let _ = resumed.lock().expect("poisoned lock").recv_timeout(SOON);
        write(stream, b"3\r\ntwo\r\n0\r\n\r\n");
    });
    let node = start_node(address);
    let mut client = connect(&node);
    // The last byte arrives after the 400 ms deadline, but the first byte arrives before it.
    write(&mut client, read("r", 400).as_bytes());
    let head = read_head(&mut client);
    let mut first = [0; 8];
    client.read_exact(&mut first).expect("first chunk");
    assert_eq!((&first, head.contains("200")), (b"3\r\none\r\n", true));
    std::thread::sleep(Duration::from_millis(600));
    resume.send(()).expect("the upstream is not waiting");
    assert_eq!(read_body(&mut client, &head), (b"two".to_vec(), true));
}

#[test]
fn truncated_upstream_response_reaches_the_client_truncated() {
    for framing in ["Content-Length: 300000\r\n", "Transfer-Encoding: chunked\r\n"] {
        let address = start_upstream(move |_, stream| {
            write(stream, format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes());
            let piece = test_bytes(200_000);
            if framing.contains("chunked") {
                write(stream, format!("{:x}\r\n", piece.len()).as_bytes());
            }
            write(stream, &piece);
            drop(stream.get_mut().shutdown(std::net::Shutdown::Both));
        });
        let node = start_node(address);
        let mut client = connect(&node);
        write(&mut client, read("r", 5000).as_bytes());
        let head = read_head(&mut client);
        let (body, complete) = read_body(&mut client, &head);
        assert!(!complete && body.len() <= 200_000, "{framing} {} bytes", body.len());
        wait_until("the response was not counted", || {
            counter(&node, "/responses/read/errors") == 1
        });
        assert_eq!((counter(&node, "/active"), counter(&node, "/responses/read/ok")), (0, 0));
    }
}

/// Starts an upstream that reports each body it received and whether that body was complete.
fn start_collecting_upstream() -> (SocketAddr, Receiver<(Vec<u8>, bool)>) {
    let (sender, receiver) = channel();
    let address = start_upstream(move |head, stream| {
        let got = read_body(stream, head);
        let complete = got.1;
        let _ = sender.send(got);
        if complete {
            write(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    (address, receiver)
}

#[test]
fn large_body_is_forwarded_and_its_deadline_starts_at_its_end() {
    let (address, receiver) = start_collecting_upstream();
    let node = start_node(address);
    let mut client = connect(&node);
    let body = test_bytes(3 * MB);
    // Split at arbitrary offsets, and sent over a longer time than the 500 ms deadline.
    let parts = |client: &mut BufReader<TcpStream>, chunked: bool| {
        for (i, piece) in body.chunks(150_001).enumerate() {
            if chunked {
                write(client, format!("{:x}\r\n", piece.len()).as_bytes());
            }
            write(client, piece);
            if chunked {
                write(client, b"\r\n");
            }
            std::thread::sleep(Duration::from_millis(if i < 8 { 100 } else { 0 }));
        }
        if chunked {
            write(client, b"0\r\nX-Sum: 1\r\n\r\n");
        }
    };
    let framings = [
        format!("Content-Length: {}\r\nExpect: 100-continue\r\n", body.len()),
        "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n".to_string(),
    ];
    for framing in framings {
        let chunked = framing.contains("chunked");
        write(&mut client, post(&framing).replace("5000", "500").as_bytes());
        if !chunked {
            assert!(read_head(&mut client).starts_with("http/1.1 100"), "expected 100 Continue");
        }
        parts(&mut client, chunked);
        let head = read_head(&mut client);
        assert!(head.starts_with("http/1.1 200"), "{framing}: {head}");
        assert_eq!(read_body(&mut client, &head), (b"ok".to_vec(), true));
        let (got, complete) = receiver.recv_timeout(SOON).expect("the upstream received no body");
        assert!(complete && got == body, "{framing}: {} bytes", got.len());
    }
    assert_eq!(counter(&node, "/responses/alarm/ok"), 2);
    assert_eq!(counter(&node, "/tries"), 2);
}

#[test]
fn truncated_body_is_incomplete_at_the_upstream() {
    let (started_sender, started) = channel();
    let (sender, receiver) = channel();
    let address = start_upstream(move |head, stream| {
        let _ = started_sender.send(());
        let got = read_body(stream, head);
        let complete = got.1;
        let _ = sender.send(got);
        if complete {
            write(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let node = start_node(address);
    let mut client = connect(&node);
    write(&mut client, post("Content-Length: 300000\r\n").as_bytes());
    write(&mut client, &test_bytes(200_000));
    // If the client left before any of the body was forwarded, the request would not be sent at all.
    started.recv_timeout(SOON).expect("the request did not reach the upstream");
    drop(client);
    let (got, complete) =
        receiver.recv_timeout(SOON).expect("the upstream received no part of the body");
    assert!(!complete && got.len() <= 200_000);
    // The upstream serves the next request.
    let answer = node.client().ask(&alarm("r2", 5000, "x"));
    assert_eq!(answer.status(), 200);
    assert_eq!((counter(&node, "/tries"), counter(&node, "/active")), (1, 0));
}

#[test]
fn partly_sent_large_body_is_not_retried() {
    // The first upstream to get the request reads part of the body and closes; the other would accept it.
    let (sender, receiver) = channel();
    let asked = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let handler = move |head: &str, stream: &mut BufReader<TcpStream>| {
        if asked.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0 {
            let _ = stream.read_exact(&mut vec![0; 400_000]);
            drop(stream.get_mut().shutdown(std::net::Shutdown::Both));
        } else {
            let _ = sender.send(read_body(stream, head).1);
        }
    };
    let handler = Arc::new(handler);
    let (a, b) = (handler.clone(), handler);
    let both = vec![
        member("s-0", start_upstream(move |h, s| a(h, s)), "SERVING"),
        member("s-1", start_upstream(move |h, s| b(h, s)), "SERVING"),
    ];
    let node = Node::managed(&config(both));
    let mut client = connect(&node);
    write(&mut client, post(&format!("Content-Length: {}\r\n", 4 * MB)).as_bytes());
    write(&mut client, &test_bytes(4 * MB));
    // The upstream never had the complete body, so a retry is safe, but it is left to the client.
    let head = read_head(&mut client);
    assert!(head.starts_with("http/1.1 503") && head.contains("retry-after"), "{head}");
    assert!(
        receiver.recv_timeout(Duration::from_millis(300)).is_err(),
        "the request was sent a second time"
    );
    assert_eq!(counter(&node, "/tries"), 0);
}

#[test]
fn unsent_large_body_is_sent_to_another_upstream() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let dead_address = listener.local_addr().expect("local address");
    drop(listener);
    let (address, receiver) = start_collecting_upstream();
    let both = vec![member("s-0", dead_address, "SERVING"), member("s-1", address, "SERVING")];
    let node = Node::managed(&config(both));
    for _ in 0..3 {
        let mut client = connect(&node);
        write(&mut client, post("Content-Length: 300000\r\n").as_bytes());
        write(&mut client, &test_bytes(300_000));
        assert!(read_head(&mut client).starts_with("http/1.1 200"));
        assert!(receiver.recv_timeout(SOON).expect("the upstream received no body").1);
    }
}

#[test]
fn large_bodies_being_received_hold_no_slot() {
    let (address, receiver) = start_collecting_upstream();
    let node = start_node(address);
    // One upstream with one slot: if incomplete bodies held the slot, no other request would be served.
    let mut slow: Vec<_> = (0..6).map(|_| connect(&node)).collect();
    for client in &mut slow {
        write(client, post("Content-Length: 300000\r\n").as_bytes());
        write(client, &test_bytes(200_000));
    }
    std::thread::sleep(Duration::from_millis(200));
    for _ in 0..5 {
        assert_eq!(node.client().ask(&alarm("r", 1000, "x")).status(), 200);
        assert_eq!(receiver.recv_timeout(SOON).expect("the upstream received no body").0, b"x");
    }
    drop(slow);
}

#[test]
fn client_disconnect_during_a_large_response_frees_the_upstream() {
    let (sender, receiver) = channel();
    let address = start_upstream(move |_, stream| {
        write(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let piece = [b"10000\r\n".as_slice(), &test_bytes(0x10000), b"\r\n"].concat();
        while stream.get_mut().write_all(&piece).is_ok() {}
        let _ = sender.send(());
    });
    let node = start_node(address);
    let mut client = connect(&node);
    write(&mut client, read("r", 5000).as_bytes());
    assert!(read_head(&mut client).starts_with("http/1.1 200"));
    assert_eq!(counter(&node, "/active"), 1);
    drop(client);
    receiver.recv_timeout(SOON).expect("the upstream connection was not closed");
    wait_until("the request is still active", || counter(&node, "/active") == 0);
}

#[test]
fn unread_responses_use_little_memory() {
    let size = 8 * MB;
    let address = start_upstream(move |_, stream| {
        write(stream, format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").as_bytes());
        let piece = test_bytes(MB);
        (0..size / MB).for_each(|_| write(stream, &piece));
    });
    let members = (0..24).map(|i| member(&format!("s-{i}"), address, "SERVING")).collect();
    let node = Node::managed(&config(members));
    let before = peak_memory(&node);
    let mut clients: Vec<_> = (0..24).map(|_| connect(&node)).collect();
    for client in &mut clients {
        write(client, read("r", 5000).as_bytes());
        assert!(read_head(client).starts_with("http/1.1 200"));
    }
    std::thread::sleep(Duration::from_millis(500));
    let growth = peak_memory(&node) - before;
    assert!(growth < 24 * 256 * 1024, "{} KiB for 24 answers of 8 MiB", growth >> 10);
    // Clients that resume reading get the complete responses.
    for client in &mut clients {
        let (body, complete) = read_body(client, &format!("content-length: {size}"));
        assert!(complete && body.len() == size);
    }
}

#[test]
fn oversized_body_gets_413_and_slow_body_gets_408() {
    let (address, receiver) = start_collecting_upstream();
    let node = start_node(address);
    let mut client = connect(&node);
    write(&mut client, post(&format!("Content-Length: {}\r\n", 60 * MB)).as_bytes());
    assert!(read_head(&mut client).starts_with("http/1.1 413"));
    let mut client = connect(&node);
    write(&mut client, post("Content-Length: 300000\r\n").as_bytes());
    write(&mut client, &test_bytes(100_000));
    let start = Instant::now();
    assert!(read_head(&mut client).starts_with("http/1.1 408"));
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    assert!(!receiver.recv_timeout(SOON).expect("the upstream received no part of the body").1);
    assert_eq!(counter(&node, "/tries"), 0);
}

#[test]
fn client_refused_while_sending_can_finish_and_gets_503() {
    let address = start_upstream(|_, stream| {
        write(stream, b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let node = start_node(address);
    let mut client = connect(&node);
    write(&mut client, post("Content-Length: 400000\r\n").as_bytes());
    write(&mut client, &test_bytes(200_000));
    wait_until("the request was not refused", || counter(&node, "/responses/alarm/shed") == 1);
    // The client keeps sending at its own pace, for longer than the time limit of a request head.
    for piece in test_bytes(200_000).chunks(10_000) {
        client.get_mut().write_all(piece).expect("the proxy stopped reading");
        std::thread::sleep(Duration::from_millis(150));
    }
    assert!(read_head(&mut client).starts_with("http/1.1 503"));
    write(&mut client, b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(read_head(&mut client).starts_with("http/1.1 200"), "the connection is not usable");
}

#[test]
fn slow_client_is_not_timed_out() {
    let (address, _receiver) = start_collecting_upstream();
    let node = start_node(address);
    let mut client = connect(&node);
    let text = alarm("r1", 400, &"x".repeat(2000));
    // Sends the head over 1.8 s, split at arbitrary offsets, then the body over 0.7 s, which exceeds the 400 ms
    // deadline.
    let head = text.len() - 2000;
    let (head, body) = text.as_bytes().split_at(head);
    for (part, pause) in [(head, 1800), (body, 700)] {
        let size = part.len().div_ceil(10);
        for piece in part.chunks(size) {
            write(&mut client, piece);
            std::thread::sleep(Duration::from_millis(pause / 10));
        }
    }
    let head = read_head(&mut client);
    assert!(head.starts_with("http/1.1 200"), "{head}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let address = start_upstream(|head, stream| {
        let id = head.split_once("of=").and_then(|(_, rest)| rest.split(' ').next());
        let id = id.unwrap_or_default();
        write(
            stream,
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len()).as_bytes(),
        );
    });
    let node = start_node(address);
    let mut client = connect(&node);
    let all: String = (0..5).map(|i| read(&format!("r{i}"), 5000)).collect();
    // The targets are in absolute form; the proxy must send the origin form to the upstream.
    let all = all.replace("GET /api", "GET http://api.internal/api");
    write(&mut client, all.as_bytes());
    for i in 0..5 {
        let head = read_head(&mut client);
        assert_eq!(read_body(&mut client, &head).0, format!("r{i}").into_bytes());
    }
}

#[test]
fn malformed_framing_gets_400_and_close() {
    let (address, receiver) = start_collecting_upstream();
    let node = start_node(address);
    let wrong = [
        ("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"),
        ("Content-Length: -5\r\n", "hello"),
        ("Content-Length: 5, 5\r\n", "hello"),
        ("Transfer-Encoding: gzip\r\n", "hello"),
        ("Transfer-Encoding: chunked, gzip\r\n", "5\r\nhello\r\n0\r\n\r\n"),
        ("Transfer-Encoding: chunked\r\n", "five\r\nhello\r\n0\r\n\r\n"),
        ("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\nhello"),
        ("Transfer-Encoding: chunked\r\n", "5\r\nhello!!\r\n0\r\n\r\n"),
    ];
    for (framing, body) in wrong {
        let mut client = connect(&node);
        write(&mut client, (post(framing) + body).as_bytes());
        let head = read_head(&mut client);
        assert!(head.starts_with("http/1.1 400"), "{framing}{body}: {head}");
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        assert!(!rest.starts_with(b"HTTP"), "answered after the error: {framing}{body}");
    }
    // Both framing headers: chunked takes precedence, Content-Length is not forwarded, and the connection is closed
    // after the response.
    let mut client = connect(&node);
    let both = post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n");
    write(&mut client, (both + "5\r\nhello\r\n0\r\n\r\n" + &read("smuggled", 5000)).as_bytes());
    assert!(read_head(&mut client).starts_with("http/1.1 200"));
    let mut rest = Vec::new();
    let _ = client.read_to_end(&mut rest);
    assert_eq!(rest, b"ok");
    assert_eq!(
        receiver.recv_timeout(SOON).expect("the upstream received no body"),
        (b"hello".to_vec(), true)
    );
    assert!(receiver.try_recv().is_err(), "another request reached the upstream");
}

/// The size of the end of an early refused body, and of the part of the next request's body that comes with it.
const LAST_PIECE_BYTES: usize = 2048;

/// Sends a request that is refused while the end of its body is still to come; returns its connection, and that end.
fn send_until_refused(node: &Node) -> (Client, String) {
    let text = alarm("refused", 5000, &"a".repeat(96 << 10));
    let (first, last) = text.split_at(text.len() - LAST_PIECE_BYTES);
    let mut client = node.client();
    client.send(first);
    let refused = client.answer().expect("a refusal");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("connection") != "close", "the connection stays open");
    (client, last.to_owned())
}

/// An upstream that turns requests `refused` away before it has read their bodies, and answers others after this time.
fn start_refusing_upstream(time: Duration) -> SocketAddr {
    start_upstream(move |head, reader| {
        if head.contains("x-request-id: refused") {
            let answer =
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            let _ = reader.get_mut().write_all(answer.as_bytes());
        }
        let (_, complete) = read_body(reader, head);
        if complete && !head.contains("x-request-id: refused") {
            std::thread::sleep(time);
            let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    })
}

/// Guards against the end of a refused request's body ending the next request, which began in the same piece (review/6).
#[test]
fn request_that_begins_in_the_last_piece_of_a_refused_one_is_answered() {
    let upstream = start_refusing_upstream(Duration::from_millis(2600));
    let mut file = config(vec![member("s-0", upstream, "SERVING")]);
    file["settings"]["Services"][2]["Aim"] = serde_json::Value::from(5000.0);
    let node = Node::start(&file);
    let (mut client, last) = send_until_refused(&node);
    let next = alarm("next", 5000, &"b".repeat(48 << 10));
    let (first, rest) = next.split_at(next.len() - (40 << 10));
    client.send(&(last + first));
    std::thread::sleep(Duration::from_millis(100));
    client.send(rest);
    assert_eq!(client.answer().map(|answer| answer.status()), Some(200));
}

/// Guards against a connection being closed as idle that holds a part of the next head, or whose refused request is still
/// received.
#[test]
fn request_that_begins_behind_a_refused_one_is_answered_by_a_quiesced_proxy() {
    let longer_than_linger = Duration::from_millis(1800);
    for begun in [0, 40] {
        let upstream = start_refusing_upstream(Duration::ZERO);
        let node = Node::managed(&config(vec![member("s-0", upstream, "SERVING")]));
        let (mut client, last) = send_until_refused(&node);
        let next = read("next", 5000);
        let (first, rest) = next.split_at(begun);
        if begun > 0 {
            client.send(&(last.clone() + first));
        }
        assert_eq!(node.call("POST /admin/quiesce").status(), 200);
        std::thread::sleep(longer_than_linger);
        client.send(&if begun > 0 { rest.to_owned() } else { last + rest });
        assert_eq!(client.answer().map(|a| a.status()), Some(200), "{begun} bytes came before");
    }
}
