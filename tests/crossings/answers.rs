//! Answers that arrive just as their deadline passes, as the process receives a signal to stop, or as their upstream
//! changes its address.

use super::*;

/// Returns the number of accepted requests that have not ended.
fn active_requests(node: &Node) -> u64 {
    let stats: serde_json::Value =
        serde_json::from_slice(&node.call("GET /admin/stats").body).expect("JSON");
    stats["active"].as_u64().expect("a figure")
}

#[test]
fn answer_at_timeout_is_given_at_most_once() {
    // The process is stopped until the answer has arrived and the time-out has expired, so that it finds both at once.
    let classes: [fn(&str, u64) -> String; 3] = [read, log, |id, ms| alarm(id, ms, "x")];
    for request_of in classes {
        let (release, gate) = channel();
        let gate: Mutex<Receiver<()>> = Mutex::new(gate);
        let upstream = Upstream::start(move |m| {
            let id = m.header("x-request-id");
            if id == "w1" {
                let _ = gate.lock().expect("not poisoned").recv_timeout(SOON);
            }
            ok(id)
        });
        let node = Node::managed(&config(members(&[&upstream])));
        let mut client = node.client();
        client.send(&request_of("w1", 1000));
        upstream.request();
        pause(200);
        node.signal("STOP");
        release.send(()).expect("upstream is waiting");
        pause(1000);
        node.signal("CONT");
        let answer = client.answer().expect("an answer");
        match answer.status() {
            200 => assert_eq!(answer.body, b"w1"),
            status => assert_eq!(status, 504),
        }
        let next = client.ask(&request_of("r2", 5000));
        assert_eq!((next.status(), next.body.as_slice()), (200, &b"r2"[..]));
        let ids: Vec<String> = upstream
            .seen
            .try_iter()
            .filter_map(|seen| match seen {
                Seen::Request(_, message) => Some(message.header("x-request-id").to_owned()),
                Seen::Closed => None,
            })
            .collect();
        assert_eq!(ids, ["r2"], "the first request is sent only once");
        let from = Instant::now();
        while active_requests(&node) > 0 {
            assert!(from.elapsed() < SOON, "a request still counts as active");
        }
    }
}

#[test]
fn answers_around_the_deadline_are_each_given_once() {
    const DEADLINE: u64 = 400;
    // From well before the policy's time-out to well after the client's.
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
    let mut timed_out = 0;
    for client in &mut clients {
        let answer = client.answer().expect("an answer");
        match answer.status() {
            200 => bodies.push(answer.body),
            504 => timed_out += 1,
            other => panic!("answered {other}"),
        }
    }
    // STANDING: an answer comes at most 0.5 s after the deadline.
    assert!(from.elapsed() < Duration::from_millis(DEADLINE + 500), "{:?}", from.elapsed());
    let served = bodies.len();
    bodies.sort();
    bodies.dedup();
    assert_eq!(bodies.len(), served, "an answer was given twice");
    assert!(
        bodies.iter().all(|body| body.ends_with(b"00")),
        "a request was sent twice: {bodies:?}"
    );
    assert_eq!(served + timed_out, clients.len());
    // Answers that arrive after the deadline must not go to any other request.
    for client in &mut clients {
        let answer = client.ask(&read("next", 5000));
        assert_eq!(answer.status(), 200);
        assert!(!answer.body.ends_with(b"00"), "a late answer went to another request");
    }
}

/// Writes an answer in 40 pieces over two seconds, chunked or with a `Content-Length`.
fn write_large_answer(stream: &mut TcpStream, chunked: bool) -> bool {
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

/// Sends a request and reads the first bytes of the answer.
fn start_request(node: &Node) -> TcpStream {
    let mut client = TcpStream::connect(node.address).expect("it accepts");
    client.set_read_timeout(Some(SOON)).expect("a time");
    client.write_all(read("r1", 1000).as_bytes()).expect("written");
    let mut first = [0; 10_000];
    client.read_exact(&mut first).expect("its first bytes");
    assert!(first.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&first[..40]));
    client
}

#[test]
fn sigterm_cuts_no_large_answer_and_a_cut_by_sigkill_is_detectable() {
    for chunked in [true, false] {
        let address = scripted(move |_, stream| write_large_answer(stream, chunked));
        let config = config(vec![member("s-0", address, "SERVING")]);
        let is_complete = |rest: &[u8]| {
            if chunked { rest.ends_with(b"0\r\n\r\n") } else { rest.len() > 4_000_000 - 10_000 }
        };
        let mut node = Node::start(&config);
        let mut client = start_request(&node);
        node.signal("TERM");
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).expect("read to the end");
        assert!(is_complete(&rest), "answer cut after {} bytes", rest.len());
        assert_eq!(node.exit_code(), Some(0));

        let node = Node::start(&config);
        let mut client = start_request(&node);
        node.signal("TERM");
        pause(500);
        node.signal("KILL");
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        assert!(!is_complete(&rest), "a cut answer looks complete");
    }
}

#[test]
fn request_waiting_to_connect_follows_its_upstream_to_a_new_address() {
    let late = Late::start();
    let moved = Upstream::start(|_| ok("moved"));
    let node = Node::start(&slow_to_connect(vec![member("s-0", late.address, "SERVING")]));
    let (_, mut watch) = node.discovery.watch();
    let mut client = node.client();
    client.send(&alarm("r1", 20_000, "x"));
    pause(200); // The connection is being opened and cannot be established.
    let list = json!({"revision": 42, "complete": false,
        "members": [member("s-0", moved.address, "SERVING")]});
    chunk(&mut watch, &format!("{list}\n"));
    pause(200); // The proxy has processed the list update.
    let seen = late.open();
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"moved"[..]));
    assert!(
        received_nothing(&seen),
        "the request was sent to the previous address of its upstream"
    );
}

#[test]
fn forwarded_deadline_after_a_stall_is_at_most_the_time_left() {
    let upstream = Upstream::start(|_| ok("ok"));
    let many = (0..8).map(|i| member(&format!("s-{i}"), upstream.address, "SERVING")).collect();
    let node = Node::start(&config(many));
    let deadline = 2000;
    for stopped_ms in [100, 300, 600] {
        let mut idle_client = node.client();
        assert_eq!(idle_client.ask(&read("r0", 5000)).status(), 200);
        upstream.request();
        node.signal("STOP");
        let from = Instant::now();
        idle_client.send(&read("r1", deadline));
        let mut new_client = node.client();
        new_client.send(&alarm("r2", deadline, "x"));
        pause(stopped_ms);
        node.signal("CONT");
        for _ in 0..2 {
            let (_, seen) = upstream.request();
            let forwarded_ms: u64 =
                seen.header("x-deadline-ms").parse().expect("whole milliseconds");
            let left = Duration::from_millis(deadline).saturating_sub(from.elapsed());
            let bound = left + Duration::from_millis(150);
            assert!(
                Duration::from_millis(forwarded_ms) <= bound,
                "forwarded {forwarded_ms} ms, {left:?} left, stopped for {stopped_ms} ms"
            );
        }
        assert_eq!(idle_client.answer().map(|a| a.status()), Some(200));
        assert_eq!(new_client.answer().map(|a| a.status()), Some(200));
    }
}
