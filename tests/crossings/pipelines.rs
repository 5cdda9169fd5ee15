//! Clients that send many requests at once on one connection.

use super::*;

/// A request of some 450 bytes.
fn request(n: usize) -> String {
    alarm(&format!("r{n}"), 6000, &"x".repeat(300))
}

/// Guards against pipelined requests being sent on after their client closed its connection behind more bytes than the
/// kernels' buffers show.
#[test]
fn pipelined_request_is_not_sent_after_client_closed_behind_many_others() {
    for (requests, how) in [(400, "half-close"), (4_000, "half-close"), (4_000, "close")] {
        let upstream = Upstream::start(|_| {
            pause(60);
            ok("ok")
        });
        let node = Node::start(&config(members(&[&upstream])));
        let text: String = (0..requests).map(request).collect();
        let mut leaving = TcpStream::connect(node.address).expect("it accepts");
        leaving.write_all(text.as_bytes()).expect("written");
        pause(20);
        let _half_closed = leave(leaving, how);
        pause(100);
        assert!(upstream.requests_so_far() > 0);
        pause(1000);
        assert_eq!(upstream.requests_so_far(), 0, "sent after the {how}, of {requests}");
    }
}

/// Guards against bytes being lost or mixed up that are read while the request before them is in flight.
#[test]
fn pipelined_requests_and_uploads_are_answered_in_order() {
    let upstream = Upstream::start(|m| {
        pause(if m.header("x-request-id").starts_with('w') { 80 } else { 0 });
        ok(&format!("{} {}", m.header("x-request-id"), m.body.len()))
    });
    let mut small = config(members(&[&upstream]));
    small["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    for config in [config(members(&[&upstream])), small] {
        let node = Node::start(&config);
        let mut expected = Vec::new();
        let mut text = String::new();
        for n in 0..16 {
            text += &alarm(&format!("w{n}"), 6000, "x");
            text += &alarm(&format!("u{n}"), 6000, &"x".repeat(25_000 * n));
            text += &request(n);
            expected.extend([
                format!("w{n} 1"),
                format!("u{n} {}", 25_000 * n),
                format!("r{n} 300"),
            ]);
        }
        let stream = TcpStream::connect(node.address).expect("it accepts");
        let mut writer = stream.try_clone().expect("a second handle");
        let writing = std::thread::spawn(move || writer.write_all(text.as_bytes()));
        stream.set_read_timeout(Some(SOON)).expect("a time");
        let mut reader = BufReader::new(stream);
        for answer in expected {
            let message = read_message(&mut reader).expect("an answer");
            assert_eq!(String::from_utf8_lossy(&message.body), answer);
        }
        writing.join().expect("a writer").expect("written");
    }
}
