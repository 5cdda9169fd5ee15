//! Tests of management calls, draining and replacement of a running node.

use std::process::Command;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::stubs::*;

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";

fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let from = Instant::now();
    while !condition() {
        assert!(from.elapsed() < SOON, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn health_succeeds_only_with_an_upstream() {
    let upstream = Upstream::start(|_| ok(""));
    let node = Node::managed(&config(vec![]));
    assert_eq!(node.call("GET /admin/health").status(), 503);
    let (_, mut watch) = node.discovery.watch();
    let list =
        serde_json::json!({"revision": 42, "complete": true, "members": members(&[&upstream])});
    chunk(&mut watch, &format!("{list}\n"));
    until("healthy once an upstream is listed", || node.call("GET /admin/health").status() == 200);
}

#[test]
fn invalid_management_calls_get_an_error() {
    let node = Node::managed(&config(vec![]));
    assert_eq!(node.call("GET /admin/nothing").status(), 404);
    assert_eq!(node.call("GET /api").status(), 404);
    assert_eq!(node.call("GET /admin/quiesce").status(), 405);
    assert_eq!(node.call("POST /admin/health").status(), 405);
    let mut client = Client::to(node.management.expect("managed"));
    assert!(client.ask("what is this\r\n\r\n").status() >= 400);
    // The client port does not accept management calls either.
    assert_eq!(node.client().ask("POST /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n").status(), 404);
}

#[test]
fn incomplete_management_requests_do_not_delay_others() {
    let upstream = Upstream::start(|_| ok(""));
    let node = Node::managed(&config(members(&[&upstream])));
    let address = node.management.expect("managed");
    let mut incomplete: Vec<Client> = (0..60).map(|_| Client::to(address)).collect();
    for (i, client) in incomplete.iter_mut().enumerate() {
        // The node may have closed some of these connections already, so sending may fail.
        let _ = client.try_send(["", "GET /adm", "GET /admin/health HTTP/1.1\r\nHost:"][i % 3]);
    }
    let from = Instant::now();
    assert_eq!(node.call("GET /admin/health").status(), 200);
    assert!(from.elapsed() < Duration::from_secs(1), "delayed for {:?}", from.elapsed());
    // Each incomplete request is eventually closed or answered with an error.
    assert!(incomplete.iter_mut().all(|h| h.answer().is_none_or(|a| a.status() >= 400)));
}

#[test]
fn quiesce_closes_connections_and_resume_undoes_it() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = Node::managed(&config(members(&[&upstream])));
    let (mut persistent, mut idle) = (node.client(), node.client());
    for client in [&mut persistent, &mut idle] {
        assert_eq!(client.ask(READY).status(), 200);
    }
    assert_eq!(
        node.call("POST /admin/resume").status(),
        200,
        "resume without quiesce is not an error"
    );
    for _ in 0..2 {
        assert_eq!(node.call("POST /admin/quiesce").status(), 200);
        assert_eq!(node.call("GET /admin/health").status(), 503);
    }
    assert_eq!(node.client().ask(READY).status(), 503);
    // New and persistent connections are served, with `Connection: close`.
    for mut client in [persistent, node.client()] {
        let answer = client.ask(&read("r1", 5000));
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
        assert!(client.answer().is_none());
    }
    let from = Instant::now();
    assert!(idle.answer().is_none(), "idle connection closed without an answer");
    assert!(
        from.elapsed() < Duration::from_secs(3),
        "idle connection open for {:?}",
        from.elapsed()
    );
    assert_eq!(node.call("POST /admin/resume").status(), 200);
    assert_eq!(node.call("GET /admin/health").status(), 200);
    let mut client = node.client();
    assert_eq!(client.ask(READY).status(), 200);
    assert_eq!(client.ask(&read("r2", 5000)).header("connection"), "");
}

#[test]
fn sigterm_after_quiesce_exits_and_cannot_be_undone() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(released));
    let upstream = Upstream::start(move |_| Does::Waits(released.clone()));
    let mut node = Node::managed(&config(members(&[&upstream])));
    let mut in_flight = node.client();
    in_flight.send(&read("r1", 5500));
    upstream.request();
    assert_eq!(node.call("POST /admin/quiesce").status(), 200);
    node.signal("TERM");
    until("quiesce refused while stopping", || node.call("POST /admin/quiesce").status() == 409);
    assert_eq!(node.call("POST /admin/resume").status(), 409);
    assert_eq!(node.call("GET /admin/health").status(), 503);
    release.send(()).expect("the upstream is waiting");
    assert_eq!(in_flight.answer().expect("an answer").status(), 200);
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn a_second_process_takes_over_without_refusing_requests() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(released));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "slow" => Does::Waits(released.clone()),
        _ => ok("ok"),
    });
    let config = config(members(&[&upstream, &Upstream::start(|_| ok("ok"))]));
    let mut old = Node::managed(&config);
    let mut persistent = old.client();
    assert_eq!(persistent.ask(READY).status(), 200);
    let new = Node::managed_at(&config, old.address);
    assert_eq!(new.call("GET /admin/health").status(), 200);
    // Clients that connect continuously during the takeover, each with a new connection.
    let address = old.address;
    let (stop, stopped) = channel::<()>();
    let clients = std::thread::spawn(move || {
        let mut served = 0;
        while stopped.try_recv().is_err() {
            assert_eq!(Client::to(address).ask(READY.trim_start()).status(), 200);
            served += 1;
        }
        served
    });
    old.signal("TERM");
    // The old process finishes the requests it accepted, and a persistent connection may be used once more.
    let answer = persistent.ask(&read("kept", 5000));
    assert_eq!(answer.status(), 200);
    assert_eq!(old.exit_code(), Some(0));
    stop.send(()).expect("the client thread runs");
    assert!(clients.join().expect("all were served") > 0);
    assert_eq!(new.client().ask(&read("r2", 5000)).status(), 200);
    drop(release);
}

#[test]
fn an_invalid_management_address_is_reported_by_key() {
    let mut file = config(vec![]);
    let message =
        refuses_to_start(Command::new(NODE).env("LB_MANAGEMENT", "nowhere"), &file.to_string());
    assert!(message.contains("LB_MANAGEMENT is not an address"), "{message}");
    file["management"] = serde_json::json!("127.0.0.1");
    let message = refuses_to_start(&mut Command::new(NODE), &file.to_string());
    assert!(message.contains("management is not an address"), "{message}");
}

fn stats(node: &Node) -> serde_json::Value {
    let answer = node.call("GET /admin/stats");
    assert_eq!(answer.status(), 200);
    serde_json::from_slice(&answer.body).expect("JSON")
}

#[test]
fn stats_match_the_requests_served() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(released));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "fails" => answers("500 Internal Server Error", ""),
        "waits" => Does::Waits(released.clone()),
        _ => ok("ok"),
    });
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let deleted = member("s-1", dead.local_addr().expect("an address"), "DELETED");
    let mut list_members = members(&[&upstream]);
    list_members.push(deleted);
    let node = Node::managed(&config(list_members));
    let no_responses = serde_json::json!({"ok": 0, "shed": 0, "errors": 0});
    let initial = serde_json::json!({
        "responses": {"read": no_responses, "log": no_responses, "alarm": no_responses},
        "tries": 0, "active": 0, "pool_size": 1, "pool_ejected": 0,
    });
    assert_eq!(stats(&node), initial);
    let mut client = node.client();
    for _ in 0..3 {
        assert_eq!(client.ask(&read("r", 5000)).status(), 200);
    }
    assert_eq!(client.ask(&alarm("fails", 5000, "x")).status(), 502);
    // An invalid request is not counted.
    assert_eq!(node.client().ask("GET /api HTTP/1.1\r\nHost: a\r\n\r\n").status(), 400);
    client.send(&read("waits", 5000));
    let wait_for = |what: &str, wanted: serde_json::Value| {
        until(what, || stats(&node).pointer(what).is_some_and(|v| *v == wanted));
    };
    wait_for("/active", 1.into());
    wait_for("/tries", 5.into());
    // One slot is in use and queueing time is limited, so most of twenty more requests are refused.
    let mut burst: Vec<Client> = (0..20).map(|_| node.client()).collect();
    burst.iter_mut().for_each(|c| c.send(&alarm("r", 5000, "x")));
    until("a request is refused", || stats(&node)["responses"]["alarm"]["shed"] != 0);
    release.send(()).expect("the upstream is waiting");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let answered = burst.iter_mut().map(|c| c.answer().expect("an answer").status());
    let served = answered.filter(|s| *s == 200).count();
    wait_for("/active", 0.into());
    wait_for("/responses/read", serde_json::json!({"ok": 4, "shed": 0, "errors": 0}));
    let alarms = serde_json::json!({"ok": served, "shed": 20 - served, "errors": 1});
    wait_for("/responses/alarm", alarms);
    wait_for("/tries", (5 + served).into());
}

#[test]
fn an_unreachable_upstream_counts_as_ejected() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = dead.local_addr().expect("an address");
    drop(dead);
    let node = Node::managed(&config(vec![member("s-0", address, "SERVING")]));
    // The upstream is ejected for longer each time, up to seconds, and attempted in between.
    until("the upstream is ejected", || {
        node.client().ask(&read("r", 1000));
        stats(&node)["pool_ejected"] == 1
    });
    assert_eq!(
        (stats(&node)["pool_size"].clone(), stats(&node)["tries"].clone()),
        (1.into(), 0.into())
    );
}
