//! What operators do with a running node: call it, drain it, replace it.

use std::process::Command;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::stubs::*;

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let from = Instant::now();
    while !holds() {
        assert!(from.elapsed() < SOON, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn health_says_yes_only_with_an_upstream() {
    let upstream = Upstream::start(|_| ok(""));
    let node = Node::managed(&config(vec![]));
    assert_eq!(node.call("GET /admin/health").status(), 503);
    let (_, mut watch) = node.discovery.watch();
    let list =
        serde_json::json!({"revision": 42, "complete": true, "members": members(&[&upstream])});
    chunk(&mut watch, &format!("{list}\n"));
    until("not ready with an upstream", || node.call("GET /admin/health").status() == 200);
}

#[test]
fn calls_that_are_none_get_an_error() {
    let node = Node::managed(&config(vec![]));
    assert_eq!(node.call("GET /admin/nothing").status(), 404);
    assert_eq!(node.call("GET /api").status(), 404);
    assert_eq!(node.call("GET /admin/quiesce").status(), 405);
    assert_eq!(node.call("POST /admin/health").status(), 405);
    let mut client = Client::to(node.management.expect("managed"));
    assert!(client.ask("what is this\r\n\r\n").status() >= 400);
    // Clients' requests have no business here, nor calls there.
    assert_eq!(node.client().ask("POST /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n").status(), 404);
}

#[test]
fn callers_that_never_finish_hold_up_nobody() {
    let upstream = Upstream::start(|_| ok(""));
    let node = Node::managed(&config(members(&[&upstream])));
    let address = node.management.expect("managed");
    let mut holders: Vec<Client> = (0..60).map(|_| Client::to(address)).collect();
    for (i, holder) in holders.iter_mut().enumerate() {
        // Some were dropped by now: they may not get even this far.
        let _ = holder.try_send(["", "GET /adm", "GET /admin/health HTTP/1.1\r\nHost:"][i % 3]);
    }
    let from = Instant::now();
    assert_eq!(node.call("GET /admin/health").status(), 200);
    assert!(from.elapsed() < Duration::from_secs(1), "held up for {:?}", from.elapsed());
    // And each of them is let go of in the end.
    assert!(holders.iter_mut().all(|h| h.answer().is_none_or(|a| a.status() >= 400)));
}

#[test]
fn a_drain_sends_clients_away_and_is_undone_by_a_resume() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = Node::managed(&config(members(&[&upstream])));
    let (mut kept, mut idle) = (node.client(), node.client());
    for client in [&mut kept, &mut idle] {
        assert_eq!(client.ask(READY).status(), 200);
    }
    assert_eq!(node.call("POST /admin/resume").status(), 200, "nothing to undo is no error");
    for _ in 0..2 {
        assert_eq!(node.call("POST /admin/quiesce").status(), 200);
        assert_eq!(node.call("GET /admin/health").status(), 503);
    }
    assert_eq!(node.client().ask(READY).status(), 503);
    // Who comes late or kept a connection is served, and told to go.
    for mut client in [kept, node.client()] {
        let answer = client.ask(&read("r1", 5000));
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
        assert!(client.answer().is_none());
    }
    let from = Instant::now();
    assert!(idle.answer().is_none(), "closed without a word");
    assert!(from.elapsed() < Duration::from_secs(3), "held idle for {:?}", from.elapsed());
    assert_eq!(node.call("POST /admin/resume").status(), 200);
    assert_eq!(node.call("GET /admin/health").status(), 200);
    let mut client = node.client();
    assert_eq!(client.ask(READY).status(), 200);
    assert_eq!(client.ask(&read("r2", 5000)).header("connection"), "");
}

#[test]
fn sigterm_ends_a_drained_process_and_cannot_be_taken_back() {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |_| Does::Waits(waits.clone()));
    let mut node = Node::managed(&config(members(&[&upstream])));
    let mut taken = node.client();
    taken.send(&read("r1", 5500));
    upstream.request();
    assert_eq!(node.call("POST /admin/quiesce").status(), 200);
    node.signal("TERM");
    until("not stopping", || node.call("POST /admin/quiesce").status() == 409);
    assert_eq!(node.call("POST /admin/resume").status(), 409);
    assert_eq!(node.call("GET /admin/health").status(), 503);
    go.send(()).expect("the upstream waits");
    assert_eq!(taken.answer().expect("an answer").status(), 200);
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn a_second_process_takes_over_and_nobody_is_turned_back() {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "slow" => Does::Waits(waits.clone()),
        _ => ok("ok"),
    });
    let config = config(members(&[&upstream, &Upstream::start(|_| ok("ok"))]));
    let mut old = Node::managed(&config);
    let mut kept = old.client();
    assert_eq!(kept.ask(READY).status(), 200);
    let new = Node::managed_at(&config, old.address);
    assert_eq!(new.call("GET /admin/health").status(), 200);
    // Clients that come all the while, each on a connection of its own.
    let address = old.address;
    let (stop, stopped) = channel::<()>();
    let comers = std::thread::spawn(move || {
        let mut served = 0;
        while stopped.try_recv().is_err() {
            assert_eq!(Client::to(address).ask(READY.trim_start()).status(), 200);
            served += 1;
        }
        served
    });
    old.signal("TERM");
    // What the old one took before is finished there, and a kept connection may be used once more.
    let answer = kept.ask(&read("kept", 5000));
    assert_eq!(answer.status(), 200);
    assert_eq!(old.exit_code(), Some(0));
    stop.send(()).expect("they come");
    assert!(comers.join().expect("all were served") > 0);
    assert_eq!(new.client().ask(&read("r2", 5000)).status(), 200);
    drop(go);
}

#[test]
fn a_bad_address_for_operators_is_told_by_its_name() {
    let mut file = config(vec![]);
    let told =
        refuses_to_start(Command::new(NODE).env("LB_MANAGEMENT", "nowhere"), &file.to_string());
    assert!(told.contains("LB_MANAGEMENT is not an address"), "{told}");
    file["management"] = serde_json::json!("127.0.0.1");
    let told = refuses_to_start(&mut Command::new(NODE), &file.to_string());
    assert!(told.contains("management is not an address"), "{told}");
}

fn stats(node: &Node) -> serde_json::Value {
    let answer = node.call("GET /admin/stats");
    assert_eq!(answer.status(), 200);
    serde_json::from_slice(&answer.body).expect("JSON")
}

#[test]
fn the_figures_are_those_of_what_happened() {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "fails" => answers("500 Internal Server Error", ""),
        "waits" => Does::Waits(waits.clone()),
        _ => ok("ok"),
    });
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let gone = member("s-1", dead.local_addr().expect("an address"), "DELETED");
    let mut known = members(&[&upstream]);
    known.push(gone);
    let node = Node::managed(&config(known));
    let none = serde_json::json!({"ok": 0, "shed": 0, "errors": 0});
    let fresh = serde_json::json!({
        "responses": {"read": none, "log": none, "alarm": none},
        "tries": 0, "active": 0, "pool_size": 1, "pool_ejected": 0,
    });
    assert_eq!(stats(&node), fresh);
    let mut client = node.client();
    for _ in 0..3 {
        assert_eq!(client.ask(&read("r", 5000)).status(), 200);
    }
    assert_eq!(client.ask(&alarm("fails", 5000, "x")).status(), 502);
    // Not a request at all: it counts for nothing.
    assert_eq!(node.client().ask("GET /api HTTP/1.1\r\nHost: a\r\n\r\n").status(), 400);
    client.send(&read("waits", 5000));
    let seen = |what: &str, wanted: serde_json::Value| {
        until(what, || stats(&node).pointer(what).is_some_and(|v| *v == wanted));
    };
    seen("/active", 1.into());
    seen("/tries", 5.into());
    // One slot is taken and its like can't wait for ever: of twenty more, most are refused.
    let mut crowd: Vec<Client> = (0..20).map(|_| node.client()).collect();
    crowd.iter_mut().for_each(|c| c.send(&alarm("r", 5000, "x")));
    until("none refused", || stats(&node)["responses"]["alarm"]["shed"] != 0);
    go.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let answered = crowd.iter_mut().map(|c| c.answer().expect("an answer").status());
    let served = answered.filter(|s| *s == 200).count();
    seen("/active", 0.into());
    seen("/responses/read", serde_json::json!({"ok": 4, "shed": 0, "errors": 0}));
    let alarms = serde_json::json!({"ok": served, "shed": 20 - served, "errors": 1});
    seen("/responses/alarm", alarms);
    seen("/tries", (5 + served).into());
}

#[test]
fn an_upstream_out_of_reach_counts_as_ejected() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = dead.local_addr().expect("an address");
    drop(dead);
    let node = Node::managed(&config(vec![member("s-0", address, "SERVING")]));
    // It rests for longer each time, up to seconds: in between it is tried.
    until("never avoided", || {
        node.client().ask(&read("r", 1000));
        stats(&node)["pool_ejected"] == 1
    });
    assert_eq!(
        (stats(&node)["pool_size"].clone(), stats(&node)["tries"].clone()),
        (1.into(), 0.into())
    );
}
