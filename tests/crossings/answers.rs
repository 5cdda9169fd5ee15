//! Answers that come in the moment in which their time is up, the process is told to end, or their upstream moves.

use super::*;

/// How many requests count as taken and not ended.
fn active(node: &Node) -> u64 {
    let stats: serde_json::Value =
        serde_json::from_slice(&node.call("GET /admin/stats").body).expect("JSON");
    stats["active"].as_u64().expect("a figure")
}

#[test]
fn an_answer_that_comes_as_its_time_out_fires_is_given_once_or_never() {
    // Both are there when the process goes on.
    let classes: [fn(&str, u64) -> String; 3] = [read, log, |id, ms| alarm(id, ms, "x")];
    for ask in classes {
        let (go, waits) = channel();
        let waits: Mutex<Receiver<()>> = Mutex::new(waits);
        let upstream = Upstream::start(move |m| {
            let id = m.header("x-request-id");
            if id == "w1" {
                let _ = waits.lock().expect("not poisoned").recv_timeout(SOON);
            }
            ok(id)
        });
        let node = Node::managed(&config(members(&[&upstream])));
        let mut client = node.client();
        client.send(&ask("w1", 1000));
        upstream.request();
        pause(200);
        node.signal("STOP");
        go.send(()).expect("it waits");
        pause(1000);
        node.signal("CONT");
        let answer = client.answer().expect("an answer");
        match answer.status() {
            200 => assert_eq!(answer.body, b"w1"),
            status => assert_eq!(status, 504),
        }
        let next = client.ask(&ask("r2", 5000));
        assert_eq!((next.status(), next.body.as_slice()), (200, &b"r2"[..]));
        let ids: Vec<String> = upstream
            .seen
            .try_iter()
            .filter_map(|seen| match seen {
                Seen::Request(_, message) => Some(message.header("x-request-id").to_owned()),
                Seen::Closed => None,
            })
            .collect();
        assert_eq!(ids, ["r2"], "the first is sent once");
        let from = Instant::now();
        while active(&node) > 0 {
            assert!(from.elapsed() < SOON, "it still counts as taken");
        }
    }
}

#[test]
fn answers_around_the_end_of_their_time_are_each_given_once() {
    const DEADLINE: u64 = 400;
    // From well before the module's time-out to well after the client's.
    let times: Vec<u64> = (DEADLINE - 30..DEADLINE + 10).collect();
    let known = times.iter().map(|ms| {
        let ms = *ms;
        let address = scripted(move |n, stream| {
            pause(if n == 0 { ms } else { 0 });
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{ms:03}{n:02}");
            stream.write_all(answer.as_bytes()).is_ok()
        });
        member(&format!("s-{ms}"), address, "SERVING")
    });
    let node = Node::start(&config(known.collect()));
    let mut clients: Vec<Client> = times.iter().map(|_| node.client()).collect();
    let from = Instant::now();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&alarm(&format!("r{i}"), DEADLINE, "x"));
    }
    let mut bodies = Vec::new();
    let mut late = 0;
    for client in &mut clients {
        let answer = client.answer().expect("an answer");
        match answer.status() {
            200 => bodies.push(answer.body),
            504 => late += 1,
            other => panic!("answered {other}"),
        }
    }
    // STANDING: half a second after its time at the latest.
    assert!(from.elapsed() < Duration::from_millis(DEADLINE + 500), "{:?}", from.elapsed());
    let served = bodies.len();
    bodies.sort();
    bodies.dedup();
    assert_eq!(bodies.len(), served, "an answer was given twice");
    assert!(bodies.iter().all(|body| body.ends_with(b"00")), "one was sent twice: {bodies:?}");
    assert_eq!(served + late, clients.len());
    // Whatever still comes is nobody's.
    for client in &mut clients {
        let answer = client.ask(&read("next", 5000));
        assert_eq!(answer.status(), 200);
        assert!(!answer.body.ends_with(b"00"), "a late answer went to another request");
    }
}

/// An answer of 40 pieces over two seconds, in this framing.
fn large(stream: &mut TcpStream, chunked: bool) -> bool {
    const PIECE: usize = 100_000;
    let framing = if chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {}", 40 * PIECE)
    };
    let mut written = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes());
    for _ in 0..40 {
        let data = if chunked { piece(PIECE) } else { vec![b'x'; PIECE] };
        written = written.and_then(|()| stream.write_all(&data));
        pause(50);
    }
    written.and_then(|()| if chunked { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }).is_ok()
}

/// Asks, and reads the answer's first piece.
fn begin(node: &Node) -> TcpStream {
    let mut client = TcpStream::connect(node.address).expect("it accepts");
    client.set_read_timeout(Some(SOON)).expect("a time");
    client.write_all(read("r1", 1000).as_bytes()).expect("written");
    let mut first = [0; 10_000];
    client.read_exact(&mut first).expect("its first bytes");
    assert!(first.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&first[..40]));
    client
}

#[test]
fn sigterm_amid_a_large_answer_cuts_nothing_and_sigkill_leaves_none_that_passes_for_whole() {
    for chunked in [true, false] {
        let address = scripted(move |_, stream| large(stream, chunked));
        let config = config(vec![member("s-0", address, "SERVING")]);
        let whole = |rest: &[u8]| {
            if chunked { rest.ends_with(b"0\r\n\r\n") } else { rest.len() > 4_000_000 - 10_000 }
        };
        let mut node = Node::start(&config);
        let mut client = begin(&node);
        node.signal("TERM");
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).expect("to its end");
        assert!(whole(&rest), "cut after {} bytes", rest.len());
        assert_eq!(node.exit_code(), Some(0));

        let node = Node::start(&config);
        let mut client = begin(&node);
        node.signal("TERM");
        pause(500);
        node.signal("KILL");
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        assert!(!whole(&rest), "it passes for whole");
    }
}

#[test]
fn what_waits_for_its_connection_goes_to_where_its_upstream_is_by_then() {
    let late = Late::start();
    let moved = Upstream::start(|_| ok("moved"));
    let node = Node::start(&slow_to_connect(vec![member("s-0", late.address, "SERVING")]));
    let (_, mut watch) = node.discovery.watch();
    let mut client = node.client();
    client.send(&alarm("r1", 20_000, "x"));
    pause(200); // It is on its way, and cannot come up.
    let list = json!({"revision": 42, "complete": false,
        "members": [member("s-0", moved.address, "SERVING")]});
    chunk(&mut watch, &format!("{list}\n"));
    pause(200); // It is heard.
    let seen = late.open();
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"moved"[..]));
    assert!(nothing_came(&seen), "it was sent to where its upstream is no longer");
}

#[test]
fn the_deadline_told_after_a_stall_is_no_more_than_the_client_has_left() {
    let upstream = Upstream::start(|_| ok("ok"));
    let many = (0..8).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    let node = Node::start(&config(many));
    let deadline = 2000;
    for held in [100, 300, 600] {
        let mut kept = node.client();
        assert_eq!(kept.ask(&read("r0", 5000)).status(), 200);
        upstream.request();
        node.signal("STOP");
        let from = Instant::now();
        kept.send(&read("r1", deadline));
        let mut fresh = node.client();
        fresh.send(&alarm("r2", deadline, "x"));
        pause(held);
        node.signal("CONT");
        for _ in 0..2 {
            let (_, seen) = upstream.request();
            let told: u64 = seen.header("x-deadline-ms").parse().expect("whole milliseconds");
            let left = Duration::from_millis(deadline).saturating_sub(from.elapsed());
            let bound = left + Duration::from_millis(150);
            assert!(Duration::from_millis(told) <= bound, "{told} ms of {left:?}, held {held} ms");
        }
        assert_eq!(kept.answer().map(|a| a.status()), Some(200));
        assert_eq!(fresh.answer().map(|a| a.status()), Some(200));
    }
}
