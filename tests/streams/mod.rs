//! Bodies and answers that are larger than what is kept, and peers that send and read them slowly.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use crate::stubs::*;

const MB: usize = 1 << 20;

/// Bytes of which no two parts are alike.
fn bytes(n: usize) -> Vec<u8> {
    (0..n as u64).map(|i| (i.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 56) as u8).collect()
}

fn head_of(reader: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).is_ok_and(|n| n > 0) {}
    head.to_lowercase()
}

/// Reads a body by what its head says of it; the second tells whether it was whole.
fn body_of(reader: &mut impl BufRead, head: &str) -> (Vec<u8>, bool) {
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

/// An upstream that is handed each request's head, and its connection from the body on.
fn upstream(does: impl Fn(&str, &mut BufReader<TcpStream>) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let does = Arc::new(does);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, does) = (stream.expect("accepted"), does.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                loop {
                    let head = head_of(&mut reader);
                    if head.is_empty() {
                        return;
                    }
                    does(&head, &mut reader);
                }
            });
        }
    });
    address
}

fn node_of(address: SocketAddr) -> Node {
    Node::managed(&config(vec![member("s-0", address, "SERVING")]))
}

fn connect(node: &Node) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(node.address).expect("it accepts");
    stream.set_read_timeout(Some(SOON)).expect("a time");
    BufReader::new(stream)
}

fn write(reader: &mut BufReader<TcpStream>, bytes: &[u8]) {
    let _ = reader.get_mut().write_all(bytes);
}

fn post(framing: &str) -> String {
    alarm("r1", 5000, "").replace("Content-Length: 0\r\n", framing)
}

fn figure(node: &Node, of: &str) -> u64 {
    let answer = node.call("GET /admin/stats");
    let stats: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    stats.pointer(of).and_then(serde_json::Value::as_u64).expect("a figure")
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let from = Instant::now();
    while !holds() {
        assert!(from.elapsed() < SOON, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Most memory that the process has had, in bytes.
fn peak(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id()));
    let status = status.expect("it runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") << 10
}

#[test]
fn a_large_answer_comes_whole_however_it_is_framed() {
    let answer = Arc::new(bytes(3 * MB));
    let (sent, framings) = (answer.clone(), Arc::new(std::sync::atomic::AtomicUsize::new(0)));
    let address = upstream(move |_, stream| {
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
    let node = node_of(address);
    let mut client = connect(&node);
    for framing in ["length", "chunks", "close"] {
        write(&mut client, read("r", 5000).as_bytes());
        let head = head_of(&mut client);
        assert!(head.starts_with("http/1.1 200"), "{framing}: {head}");
        let (body, whole) = body_of(&mut client, &head);
        assert!(whole && body == *answer, "{framing}: {} bytes", body.len());
    }
    until("not counted", || figure(&node, "/responses/read/ok") == 3);
    assert_eq!(figure(&node, "/active"), 0);
}

#[test]
fn a_large_answer_is_not_held_back() {
    let (go, waits) = channel::<()>();
    let waits = Arc::new(std::sync::Mutex::new(waits));
    let address = upstream(move |_, stream| {
        write(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
        let _ = waits.lock().expect("not poisoned").recv_timeout(SOON);
        write(stream, b"3\r\ntwo\r\n0\r\n\r\n");
    });
    let node = node_of(address);
    let mut client = connect(&node);
    // Longer than its time to the last byte, but not to the first.
    write(&mut client, read("r", 400).as_bytes());
    let head = head_of(&mut client);
    let mut first = [0; 8];
    client.read_exact(&mut first).expect("the first bytes");
    assert_eq!((&first, head.contains("200")), (b"3\r\none\r\n", true));
    std::thread::sleep(Duration::from_millis(600));
    go.send(()).expect("it waits");
    assert_eq!(body_of(&mut client, &head), (b"two".to_vec(), true));
}

#[test]
fn an_answer_that_breaks_off_is_seen_to_be_cut() {
    for framing in ["Content-Length: 300000\r\n", "Transfer-Encoding: chunked\r\n"] {
        let address = upstream(move |_, stream| {
            write(stream, format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes());
            let piece = bytes(200_000);
            if framing.contains("chunked") {
                write(stream, format!("{:x}\r\n", piece.len()).as_bytes());
            }
            write(stream, &piece);
            drop(stream.get_mut().shutdown(std::net::Shutdown::Both));
        });
        let node = node_of(address);
        let mut client = connect(&node);
        write(&mut client, read("r", 5000).as_bytes());
        let head = head_of(&mut client);
        let (body, whole) = body_of(&mut client, &head);
        assert!(!whole && body.len() <= 200_000, "{framing} {} bytes", body.len());
        until("not counted", || figure(&node, "/responses/read/errors") == 1);
        assert_eq!((figure(&node, "/active"), figure(&node, "/responses/read/ok")), (0, 0));
    }
}

/// An upstream that tells the bodies it got, and whether each was whole.
fn takes_bodies() -> (SocketAddr, Receiver<(Vec<u8>, bool)>) {
    let (tell, told) = channel();
    let address = upstream(move |head, stream| {
        let got = body_of(stream, head);
        let whole = got.1;
        let _ = tell.send(got);
        if whole {
            write(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    (address, told)
}

#[test]
fn a_large_body_goes_on_whole_and_its_time_runs_from_its_end() {
    let (address, told) = takes_bodies();
    let node = node_of(address);
    let mut client = connect(&node);
    let body = bytes(3 * MB);
    // Cut anywhere, and sent for longer than the time that the request has.
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
            assert!(head_of(&mut client).starts_with("http/1.1 100"), "told to go on");
        }
        parts(&mut client, chunked);
        let head = head_of(&mut client);
        assert!(head.starts_with("http/1.1 200"), "{framing}: {head}");
        assert_eq!(body_of(&mut client, &head), (b"ok".to_vec(), true));
        let (got, whole) = told.recv_timeout(SOON).expect("a body");
        assert!(whole && got == body, "{framing}: {} bytes", got.len());
    }
    assert_eq!(figure(&node, "/responses/alarm/ok"), 2);
    assert_eq!(figure(&node, "/tries"), 2);
}

#[test]
fn a_large_body_that_breaks_off_is_whole_nowhere() {
    let (begun, begins) = channel();
    let (tell, told) = channel();
    let address = upstream(move |head, stream| {
        let _ = begun.send(());
        let got = body_of(stream, head);
        let whole = got.1;
        let _ = tell.send(got);
        if whole {
            write(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let node = node_of(address);
    let mut client = connect(&node);
    write(&mut client, post("Content-Length: 300000\r\n").as_bytes());
    write(&mut client, &bytes(200_000));
    // Gone before any of it went on, it would not be sent at all.
    begins.recv_timeout(SOON).expect("it is on its way");
    drop(client);
    let (got, whole) = told.recv_timeout(SOON).expect("its first part");
    assert!(!whole && got.len() <= 200_000);
    // And the upstream serves the next one.
    let answer = node.client().ask(&alarm("r2", 5000, "x"));
    assert_eq!(answer.status(), 200);
    assert_eq!((figure(&node, "/tries"), figure(&node, "/active")), (1, 0));
}

#[test]
fn a_large_body_that_may_have_gone_is_sent_once() {
    // The first that is asked reads some of it and closes; the other would take it.
    let (tell, told) = channel();
    let asked = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let does = move |head: &str, stream: &mut BufReader<TcpStream>| {
        if asked.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0 {
            let _ = stream.read_exact(&mut vec![0; 400_000]);
            drop(stream.get_mut().shutdown(std::net::Shutdown::Both));
        } else {
            let _ = tell.send(body_of(stream, head).1);
        }
    };
    let does = Arc::new(does);
    let (a, b) = (does.clone(), does);
    let both = vec![
        member("s-0", upstream(move |h, s| a(h, s)), "SERVING"),
        member("s-1", upstream(move |h, s| b(h, s)), "SERVING"),
    ];
    let node = Node::managed(&config(both));
    let mut client = connect(&node);
    write(&mut client, post(&format!("Content-Length: {}\r\n", 4 * MB)).as_bytes());
    write(&mut client, &bytes(4 * MB));
    // It was never whole there, so trying again is harmless; but that is for the client to do.
    let head = head_of(&mut client);
    assert!(head.starts_with("http/1.1 503") && head.contains("retry-after"), "{head}");
    assert!(told.recv_timeout(Duration::from_millis(300)).is_err(), "sent a second time");
    assert_eq!(figure(&node, "/tries"), 0);
}

#[test]
fn a_large_body_of_which_nothing_went_is_sent_elsewhere() {
    let dead = TcpListener::bind("127.0.0.1:0").expect("a port");
    let gone = dead.local_addr().expect("an address");
    drop(dead);
    let (address, told) = takes_bodies();
    let both = vec![member("s-0", gone, "SERVING"), member("s-1", address, "SERVING")];
    let node = Node::managed(&config(both));
    for _ in 0..3 {
        let mut client = connect(&node);
        write(&mut client, post("Content-Length: 300000\r\n").as_bytes());
        write(&mut client, &bytes(300_000));
        assert!(head_of(&mut client).starts_with("http/1.1 200"));
        assert!(told.recv_timeout(SOON).expect("a body").1);
    }
}

#[test]
fn large_bodies_on_their_way_hold_no_slot() {
    let (address, told) = takes_bodies();
    let node = node_of(address);
    // One upstream of one slot: were it theirs while they trickle in, nobody else would be served.
    let mut slow: Vec<_> = (0..6).map(|_| connect(&node)).collect();
    for client in &mut slow {
        write(client, post("Content-Length: 300000\r\n").as_bytes());
        write(client, &bytes(200_000));
    }
    std::thread::sleep(Duration::from_millis(200));
    for _ in 0..5 {
        assert_eq!(node.client().ask(&alarm("r", 1000, "x")).status(), 200);
        assert_eq!(told.recv_timeout(SOON).expect("a body").0, b"x");
    }
    drop(slow);
}

#[test]
fn a_client_that_leaves_a_large_answer_frees_the_upstream() {
    let (tell, told) = channel();
    let address = upstream(move |_, stream| {
        write(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let piece = [b"10000\r\n".as_slice(), &bytes(0x10000), b"\r\n"].concat();
        while stream.get_mut().write_all(&piece).is_ok() {}
        let _ = tell.send(());
    });
    let node = node_of(address);
    let mut client = connect(&node);
    write(&mut client, read("r", 5000).as_bytes());
    assert!(head_of(&mut client).starts_with("http/1.1 200"));
    assert_eq!(figure(&node, "/active"), 1);
    drop(client);
    told.recv_timeout(SOON).expect("the upstream is let go of");
    until("still active", || figure(&node, "/active") == 0);
}

#[test]
fn answers_that_nobody_reads_take_no_memory_to_speak_of() {
    let size = 8 * MB;
    let address = upstream(move |_, stream| {
        write(stream, format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").as_bytes());
        let piece = bytes(MB);
        (0..size / MB).for_each(|_| write(stream, &piece));
    });
    let members = (0..24).map(|i| member(&format!("s-{i}"), address, "SERVING")).collect();
    let node = Node::managed(&config(members));
    let before = peak(&node);
    let mut clients: Vec<_> = (0..24).map(|_| connect(&node)).collect();
    for client in &mut clients {
        write(client, read("r", 5000).as_bytes());
        assert!(head_of(client).starts_with("http/1.1 200"));
    }
    std::thread::sleep(Duration::from_millis(500));
    let grown = peak(&node) - before;
    assert!(grown < 24 * 256 * 1024, "{} KiB for 24 answers of 8 MiB", grown >> 10);
    // And they are all there for who reads on.
    for client in &mut clients {
        let (body, whole) = body_of(client, &format!("content-length: {size}"));
        assert!(whole && body.len() == size);
    }
}

#[test]
fn a_body_that_is_too_large_or_too_slow_is_told_so() {
    let (address, told) = takes_bodies();
    let node = node_of(address);
    let mut client = connect(&node);
    write(&mut client, post(&format!("Content-Length: {}\r\n", 60 * MB)).as_bytes());
    assert!(head_of(&mut client).starts_with("http/1.1 413"));
    let mut client = connect(&node);
    write(&mut client, post("Content-Length: 300000\r\n").as_bytes());
    write(&mut client, &bytes(100_000));
    let from = Instant::now();
    assert!(head_of(&mut client).starts_with("http/1.1 408"));
    assert!(from.elapsed() < Duration::from_secs(4), "{:?}", from.elapsed());
    assert!(!told.recv_timeout(SOON).expect("its first part").1);
    assert_eq!(figure(&node, "/tries"), 0);
}

#[test]
fn a_client_that_is_refused_while_it_still_sends_may_finish_and_is_told() {
    let address = upstream(|_, stream| {
        write(stream, b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let node = node_of(address);
    let mut client = connect(&node);
    write(&mut client, post("Content-Length: 400000\r\n").as_bytes());
    write(&mut client, &bytes(200_000));
    until("not refused", || figure(&node, "/responses/alarm/shed") == 1);
    // On at its pace, for longer than a head may take.
    for piece in bytes(200_000).chunks(10_000) {
        client.get_mut().write_all(piece).expect("it still reads");
        std::thread::sleep(Duration::from_millis(150));
    }
    assert!(head_of(&mut client).starts_with("http/1.1 503"));
    write(&mut client, b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(head_of(&mut client).starts_with("http/1.1 200"), "the connection is in order");
}

#[test]
fn a_slow_client_is_given_its_time() {
    let (address, _told) = takes_bodies();
    let node = node_of(address);
    let mut client = connect(&node);
    let text = alarm("r1", 400, &"x".repeat(2000));
    // 1.8 s for the head, in pieces cut anywhere, then the body in pieces, longer than the request's time.
    let head = text.len() - 2000;
    let (head, body) = text.as_bytes().split_at(head);
    for (part, pause) in [(head, 1800), (body, 700)] {
        let size = part.len().div_ceil(10);
        for piece in part.chunks(size) {
            write(&mut client, piece);
            std::thread::sleep(Duration::from_millis(pause / 10));
        }
    }
    let head = head_of(&mut client);
    assert!(head.starts_with("http/1.1 200"), "{head}");
}

#[test]
fn requests_sent_ahead_are_answered_in_their_order() {
    let address = upstream(|head, stream| {
        let of = head.split_once("of=").and_then(|(_, rest)| rest.split(' ').next());
        let of = of.unwrap_or_default();
        write(
            stream,
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{of}", of.len()).as_bytes(),
        );
    });
    let node = node_of(address);
    let mut client = connect(&node);
    let all: String = (0..5).map(|i| read(&format!("r{i}"), 5000)).collect();
    // The host in the target as well: an origin server is asked without it.
    let all = all.replace("GET /api", "GET http://api.internal/api");
    write(&mut client, all.as_bytes());
    for i in 0..5 {
        let head = head_of(&mut client);
        assert_eq!(body_of(&mut client, &head).0, format!("r{i}").into_bytes());
    }
}

#[test]
fn framing_that_is_malformed_gets_an_error_and_a_close() {
    let (address, told) = takes_bodies();
    let node = node_of(address);
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
        let head = head_of(&mut client);
        assert!(head.starts_with("http/1.1 400"), "{framing}{body}: {head}");
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        assert!(!rest.starts_with(b"HTTP"), "answered on: {framing}{body}");
    }
    // Both at once: the chunks count, no length goes on, and the connection ends with the answer.
    let mut client = connect(&node);
    let both = post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n");
    write(&mut client, (both + "5\r\nhello\r\n0\r\n\r\n" + &read("smuggled", 5000)).as_bytes());
    assert!(head_of(&mut client).starts_with("http/1.1 200"));
    let mut rest = Vec::new();
    let _ = client.read_to_end(&mut rest);
    assert_eq!(rest, b"ok");
    assert_eq!(told.recv_timeout(SOON).expect("a body"), (b"hello".to_vec(), true));
    assert!(told.try_recv().is_err(), "and nothing else reached the upstream");
}
