//! The list service as a cluster of processes, with faults between them (issue 12).

#[allow(dead_code)] // Each test file uses part of the harness.
mod harness;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use harness::{ASK, Cluster, Fleet, PROGRAM, Watch, ask, free, get, look, member, post, until};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(5);

fn revision(message: &Value) -> u64 {
    message["revision"].as_u64().expect("a revision")
}

fn ids(message: &Value) -> Vec<String> {
    let members = message["members"].as_array().expect("members");
    members.iter().map(|m| m["id"].as_str().expect("an id").to_owned()).collect()
}

#[test]
fn a_watch_continues_at_another_instance_after_the_leader_is_killed() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let leader = cluster.leader(None);
    let stop = Arc::new(AtomicBool::new(false));
    let (lists, stop_watcher) = (cluster.lists.clone(), stop.clone());
    // Starts at the leader and moves to the next instance when its watch ends.
    let watcher = thread::spawn(move || {
        let (mut at, mut last_revision, mut seen, mut revisions) =
            (leader, 0, BTreeSet::new(), Vec::new());
        let mut watch = Watch::open(lists[at], last_revision);
        while !stop_watcher.load(Ordering::Relaxed) {
            match watch.next(Duration::from_millis(100)) {
                Some(message) => {
                    last_revision = revision(&message);
                    revisions.push(last_revision);
                    seen.extend(ids(&message));
                }
                None if TcpStream::connect(lists[at]).is_err() => {
                    at = (at + 1) % lists.len();
                    watch = Watch::open(lists[at], last_revision);
                }
                None => {}
            }
        }
        (seen, revisions)
    });
    let mut acknowledged = Vec::new();
    for i in 0..200 {
        if i == 100 {
            fleet.kill(cluster.at[leader]);
        }
        let id = format!("m-{i}");
        cluster.register(&id, free());
        acknowledged.push(id);
    }
    let next = cluster.leader(Some(leader));
    let last = look(cluster.calls[next], "/admin/stats")["revision"].as_u64().expect("a revision");
    // Read from the instances themselves, to distinguish a late watch from a gap.
    until("the survivors agree", TIMEOUT, || {
        (0..3)
            .filter(|i| *i != leader)
            .all(|i| look(cluster.lists[i], "/-/ready")["revision"] == last)
    });
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Relaxed);
    let (seen, revisions) = watcher.join().expect("the watcher");
    assert!(revisions.windows(2).all(|w| w[0] < w[1]), "a revision was repeated or went back");
    assert_eq!(revisions.last(), Some(&last));
    assert!(
        acknowledged.iter().all(|id| seen.contains(id)),
        "an acknowledged member was never seen"
    );
}

#[test]
fn proxies_keep_serving_while_all_instances_are_down() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let upstream = fleet.start("s-1", &["stand-in", "--name", "s-1"], &[]);
    cluster.register("s-1", fleet.address(upstream));
    let lists: Vec<String> = cluster.lists.iter().map(ToString::to_string).collect();
    let proxies: Vec<usize> =
        (0..2).map(|i| fleet.proxy(&format!("p-{i}"), &lists.join(","), &[]).0).collect();
    proxies.iter().for_each(|p| fleet.ready(*p));
    cluster.at.iter().for_each(|i| fleet.kill(*i));
    let (from, mut asked) = (Instant::now(), 0);
    while from.elapsed() < Duration::from_secs(30) {
        for &proxy in &proxies {
            let answer = get(fleet.address(proxy), "/api/stock", &ASK);
            assert_eq!(answer, Some((200, "s-1\n".into())), "request {asked}");
            asked += 1;
        }
        thread::sleep(Duration::from_millis(100));
    }
    assert!(asked > 200, "{asked}");
    // One instance alone serves its persisted list; two form a quorum again.
    fleet.restart(cluster.at[1]);
    until("both proxies watch the restarted instance", TIMEOUT, || {
        look(cluster.calls[1], "/admin/stats")["watches"] == 2
    });
    fleet.restart(cluster.at[2]);
    let second = fleet.start("s-2", &["stand-in", "--name", "s-2"], &[]);
    cluster.register("s-2", fleet.address(second));
    let (status, answer) = cluster.write("/admin/members/leave", r#"{"id":"s-1"}"#);
    assert_eq!(status, 200, "{answer}");
    for &proxy in &proxies {
        until("the proxy has received the update", Duration::from_secs(2), || {
            get(fleet.address(proxy), "/api/stock", &ASK) == Some((200, "s-2\n".into()))
        });
    }
}

#[test]
fn a_stopping_leader_transfers_leadership_before_it_exits() {
    let mut fleet = Fleet::default();
    // Long enough that no follower starts an election of its own when the leader stops.
    let cluster = Cluster::start(&mut fleet, 3, "election_ms = 2000");
    cluster.register("before", free());
    let leader = cluster.leader(None);
    fleet.stop(cluster.at[leader]);
    assert_eq!(fleet.ended(cluster.at[leader], TIMEOUT), Some(0));
    let next = (0..3).filter(|i| *i != leader);
    let leads = |i: usize| look(cluster.calls[i], "/admin/health")["leads"] == true;
    assert_eq!(
        next.filter(|i| leads(*i)).count(),
        1,
        "exactly one other instance leads once the leader has exited"
    );
    cluster.register("after", free());
}

#[test]
fn a_watch_from_a_compacted_revision_gets_the_full_list() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 1, "history = 4");
    let first = cluster.register("m-0", free());
    for i in 1..10 {
        cluster.register(&format!("m-{i}"), free());
    }
    let update = Watch::open(cluster.lists[0], first).next(TIMEOUT).expect("an update");
    assert_eq!((&update["complete"], ids(&update).len()), (&json!(true), 10));
    let update = Watch::open(cluster.lists[0], first + 7).next(TIMEOUT).expect("an update");
    assert_eq!(
        (&update["complete"], ids(&update)),
        (&json!(false), vec!["m-8".into(), "m-9".into()])
    );
}

#[test]
fn a_paused_follower_catches_up_without_sending_stale_revisions() {
    let mut fleet = Fleet::default();
    // A small log, so that the entries the follower missed are compacted into a snapshot meanwhile. The long election
    // time-out prevents elections while the machine is busy for a moment.
    let extra = "snapshot_bytes = 4096\nhistory = 16\nelection_ms = 1500";
    let cluster = Cluster::start(&mut fleet, 3, extra);
    let before = cluster.register("before", free());
    let leader = cluster.leader(None);
    let follower = (leader + 1) % 3;
    until("the follower has the first member", TIMEOUT, || {
        look(cluster.lists[follower], "/-/ready")["revision"] == before
    });
    let mut watch = Watch::open(cluster.lists[follower], before);
    fleet.pause(cluster.at[follower]);
    let mut last = before;
    for i in 0..400 {
        last = cluster.register(&format!("m-{}", i % 20), free());
    }
    let leader = cluster.leader(Some(follower));
    fleet.resume(cluster.at[follower]);
    // A watch ahead of the follower's revision gets no update until the follower has caught up.
    let mut ahead = Watch::open(cluster.lists[follower], last - 1);
    let update = ahead.next(TIMEOUT).expect("an update after catching up");
    assert_eq!(revision(&update), last);
    let mut last_revision = before;
    while last_revision < last {
        let update = watch.next(TIMEOUT).expect("the watch continues");
        assert!(revision(&update) > last_revision, "the revision went back");
        last_revision = revision(&update);
    }
    assert_eq!(cluster.leader(None), leader, "a follower that resumes does not replace the leader");
}

/// A TCP forwarder between the instances that can close connections carrying long calls to one of them.
#[derive(Clone, Default)]
struct Interceptor {
    /// The instance, counted from 1, to which calls with a body longer than `max_length` are cut off; 0 for none.
    target: Arc<AtomicUsize>,
    max_length: Arc<AtomicUsize>,
    /// Number of calls that were cut off.
    calls: Arc<AtomicUsize>,
}

impl Interceptor {
    fn listen_for(&self, to: usize, address: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let interceptor = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let Ok(server) = TcpStream::connect(address) else { continue };
                let handles = client.try_clone().and_then(|n| Ok((n, server.try_clone()?)));
                let (mut client_out, mut server_in) = handles.expect("second handles");
                let interceptor = interceptor.clone();
                thread::spawn(move || interceptor.forward(to, client, server));
                thread::spawn(move || {
                    let _ = std::io::copy(&mut server_in, &mut client_out);
                    let _ = client_out.shutdown(Shutdown::Both);
                });
            }
        });
        at
    }

    fn forward(&self, to: usize, mut client: TcpStream, mut server: TcpStream) {
        let mut chunk = [0; 16 << 10];
        while let Ok(n @ 1..) = client.read(&mut chunk) {
            let text = String::from_utf8_lossy(&chunk[..n]).to_lowercase();
            let length = text.split_once("content-length: ").and_then(|(_, t)| t.lines().next());
            let length = length.and_then(|l| l.parse::<usize>().ok()).unwrap_or(0);
            if self.target.load(Ordering::SeqCst) == to + 1
                && length > self.max_length.load(Ordering::SeqCst)
            {
                self.calls.fetch_add(1, Ordering::SeqCst);
                break;
            }
            if server.write_all(&chunk[..n]).is_err() {
                break;
            }
        }
        let _ = (client.shutdown(Shutdown::Both), server.shutdown(Shutdown::Both));
    }
}

#[test]
fn a_snapshot_lost_in_transit_is_sent_again() {
    let (mut fleet, interceptor) = (Fleet::default(), Interceptor::default());
    let extra = "snapshot_bytes = 4096\nhistory = 16\nelection_ms = 1500";
    let cluster =
        Cluster::start_routed(&mut fleet, 3, extra, &mut |from, to, at| match from == to {
            true => at,
            false => interceptor.listen_for(to, at),
        });
    let before = cluster.register("before", free());
    let leader = cluster.leader(None);
    let follower = (leader + 1) % 3;
    let has = |revision: u64| look(cluster.lists[follower], "/-/ready")["revision"] == revision;
    until("the follower has the first member", TIMEOUT, || has(before));
    interceptor.target.store(follower + 1, Ordering::SeqCst);
    let mut last = before;
    for i in 0..400 {
        last = cluster.register(&format!("{:0>100}", i % 20), free());
    }
    assert!(!has(last), "the follower received the updates although it was cut off");
    // From here on the follower receives heartbeats; the snapshot is far longer than 1500 bytes and is lost once more.
    interceptor.max_length.store(1500, Ordering::SeqCst);
    interceptor.calls.store(0, Ordering::SeqCst);
    until("its snapshot is lost again", TIMEOUT, || interceptor.calls.load(Ordering::SeqCst) > 0);
    interceptor.target.store(0, Ordering::SeqCst);
    until("the follower has caught up", TIMEOUT, || has(last));
}

#[test]
fn malformed_and_oversized_requests_get_an_error() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let (list, calls) = (cluster.lists[0], cluster.calls[0]);
    for (path, body, status) in [
        ("/admin/members", "{", 400),
        ("/admin/members", r#"{"member":{"id":"a","host_port":"x","phase":"SERVING"}}"#, 400),
        ("/admin/members", r#"{"member":{"id":"a","host_port":"127.0.0.1:1","phase":"NEW"}}"#, 400),
        ("/admin/members/phase", r#"{"id":"a","phase":"NEW"}"#, 400),
        ("/admin/members/leave", r#"{"id":"a","more":1}"#, 400),
        ("/admin/leases/acquire", r#"{"duty":"d","holder":"h","ttl_ms":-1}"#, 400),
        ("/peer/messages", "\u{1}\u{0}\u{0}\u{0}\u{ff}", 400),
        ("/peer/messages", "\u{7f}\u{7f}\u{7f}\u{7f}", 400),
        ("/nowhere", "{}", 404),
        ("/metrics", "{}", 405),
    ] {
        assert_eq!(post(calls, path, body).map(|a| a.0), Some(status), "{path} {body}");
    }
    let large = "x".repeat(70 << 10);
    assert_eq!(post(calls, "/admin/members", &large).map(|a| a.0), Some(413));
    assert_eq!(ask(list, "PUT", "/api/targets", &[], "").map(|a| a.0), Some(405));
    assert_eq!(get(list, "/api/targets?index=-3", &[]).map(|a| a.0), Some(400));
    let head = format!("X-Much: {}", large.repeat(5));
    assert_eq!(get(list, "/api/targets", &[&head]).map(|a| a.0), Some(431));
    for garbage in ["\r\n\r\n\r\n", "GET /api/targets HTTP/9\r\n\r\n", "\0\0\0\0\0\0\0\0\r\n\r\n"] {
        let mut stream = TcpStream::connect(list).expect("it accepts");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        stream.write_all(garbage.as_bytes()).expect("sent");
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
    }
    assert_eq!(
        cluster.write("/admin/members", &member("a", free())).0,
        200,
        "still serving after the malformed requests"
    );
    assert!((0..3).all(|i| get(cluster.lists[i], "/-/ready", &[]).map(|a| a.0) == Some(200)));
}

#[test]
fn one_change_among_1000_members_reaches_300_watches() {
    let mut fleet = Fleet::default();
    let mut seeds = String::new();
    for i in 0..1000 {
        seeds += &format!(
            "[[members]]\nid = \"m-{i}\"\nhost_port = \"127.0.0.1:{}\"\nphase = \"SERVING\"\n",
            10_000 + i
        );
    }
    let cluster = Cluster::start(&mut fleet, 3, &seeds);
    let full_list = look(cluster.lists[2], "/api/targets");
    assert_eq!(ids(&full_list).len(), 1000);
    let at = |i: usize| -> SocketAddr { cluster.lists[i % 3] };
    let mut watches: Vec<Watch> =
        (0..300).map(|i| Watch::open(at(i), revision(&full_list))).collect();
    let last = cluster.register("new", free());
    for watch in &mut watches {
        let update = watch.next(TIMEOUT).expect("the change");
        assert_eq!((revision(&update), ids(&update)), (last, vec!["new".to_owned()]));
    }
}

#[test]
fn a_member_expires_without_renewals_across_a_leader_change() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let services = cluster.services();
    let args = ["stand-in", "--name", "s-1", "--services", &services, "--ttl-ms", "900"];
    let upstream = fleet.start("s-1", &args, &[]);
    let phase = |of: usize| {
        let list = look(cluster.lists[of], "/api/targets");
        let members = list["members"].as_array().cloned().unwrap_or_default();
        members.iter().find(|m| m["id"] == "s-1").map(|m| m["phase"].clone())
    };
    let leader = cluster.leader(None);
    let other = (leader + 1) % 3;
    until("the member is listed", TIMEOUT, || phase(other) == Some(json!("SERVING")));
    fleet.kill(cluster.at[leader]);
    cluster.leader(Some(leader));
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(phase(other), Some(json!("SERVING")), "it keeps renewing at the new leader");
    fleet.pause(upstream);
    until("the member drains", TIMEOUT, || phase(other) == Some(json!("DRAINING")));
    fleet.resume(upstream);
    until("the member serves again", TIMEOUT, || phase(other) == Some(json!("SERVING")));
    fleet.kill(upstream);
    until("the member drains", TIMEOUT, || phase(other) == Some(json!("DRAINING")));
    until("the member is removed", TIMEOUT, || phase(other).is_none());
    // A member that is stopped deregisters at once.
    fleet.restart(upstream);
    until("the member is listed again", TIMEOUT, || phase(other) == Some(json!("SERVING")));
    fleet.stop(upstream);
    assert_eq!(fleet.ended(upstream, TIMEOUT), Some(0));
    until("the member has left", Duration::from_millis(300), || phase(other).is_none());
}

#[test]
fn a_proxy_switches_away_from_an_unresponsive_instance() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let upstream = fleet.start("s-1", &["stand-in", "--name", "s-1"], &[]);
    cluster.register("s-1", fleet.address(upstream));
    // The proxy watches the first address, which may also be the leader's.
    let lists: Vec<String> = cluster.lists.iter().map(ToString::to_string).collect();
    let (proxy, _) = fleet.proxy("p", &lists.join(","), &[]);
    fleet.ready(proxy);
    fleet.pause(cluster.at[0]);
    cluster.leader(Some(0));
    let second = fleet.start("s-2", &["stand-in", "--name", "s-2"], &[]);
    cluster.register("s-2", fleet.address(second));
    assert_eq!(cluster.write("/admin/members/leave", r#"{"id":"s-1"}"#).0, 200);
    // PROTOCOL: an update must have been received after 6 s.
    let took = until("the update", Duration::from_secs(6), || {
        get(fleet.address(proxy), "/api/stock", &ASK) == Some((200, "s-2\n".into()))
    });
    eprintln!("update received past an unresponsive instance after {took:?}");
    fleet.resume(cluster.at[0]);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(get(fleet.address(proxy), "/api/stock", &ASK), Some((200, "s-2\n".into())));
}

/// The body of a registration of a member of `service`.
fn registration(id: &str, service: &str) -> String {
    let member =
        json!({"id": id, "host_port": free().to_string(), "phase": "SERVING", "service": service});
    json!({ "member": member }).to_string()
}

#[test]
fn a_service_watch_survives_a_leader_failure_and_stays_filtered() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "heartbeat_ms = 200");
    let leader = cluster.leader(None);
    let stop = Arc::new(AtomicBool::new(false));
    let (lists, stop_watcher) = (cluster.lists.clone(), stop.clone());
    // Starts at the leader and moves to the next instance when its watch ends, from the last revision received.
    let watcher = thread::spawn(move || {
        let query = "&service=caf%C3%A9%201";
        let (mut at, mut last_revision, mut all, mut revisions) =
            (leader, 0, BTreeSet::new(), Vec::new());
        let (mut empty_updates, mut other_services) = (0, Vec::new());
        let mut watch = Watch::open_with(lists[at], last_revision, query);
        while !stop_watcher.load(Ordering::Relaxed) {
            match watch.next(Duration::from_millis(100)) {
                Some(message) => {
                    last_revision = revision(&message);
                    revisions.push(last_revision);
                    if message["complete"] == true {
                        all.clear();
                    }
                    let members = message["members"].as_array().expect("members");
                    empty_updates +=
                        usize::from(members.is_empty() && message["complete"] == false);
                    for m in members {
                        let id = m["id"].as_str().expect("an id").to_owned();
                        if m["service"] != "café 1" {
                            other_services.push(id.clone());
                        }
                        match m["phase"] == "DELETED" {
                            true => drop(all.remove(&id)),
                            false => drop(all.insert(id)),
                        }
                    }
                }
                None if TcpStream::connect(lists[at]).is_err() => {
                    at = (at + 1) % lists.len();
                    watch = Watch::open_with(lists[at], last_revision, query);
                }
                None => {}
            }
        }
        (all, revisions, empty_updates, other_services)
    });
    let mut expected = BTreeSet::new();
    for i in 0..120 {
        if i == 60 {
            fleet.kill(cluster.at[leader]);
        }
        // One member of the watched service for every two others. Some members move out of the service, others into it.
        let (id, service) = (format!("m-{i}"), ["café 1", "mail", ""][i % 3]);
        assert_eq!(cluster.write("/admin/members", &registration(&id, service)).0, 200, "{id}");
        if service == "café 1" {
            expected.insert(id);
        }
        if i % 12 == 5 {
            let (removed, added) = (format!("m-{}", i - 5), format!("m-{}", i - 1));
            assert_eq!(cluster.write("/admin/members", &registration(&removed, "mail")).0, 200);
            assert_eq!(cluster.write("/admin/members", &registration(&added, "café 1")).0, 200);
            expected.remove(&removed);
            expected.insert(added);
        }
    }
    let next = cluster.leader(Some(leader));
    let (status, answer) = cluster.write("/admin/members", &registration("last", "mail"));
    assert_eq!(status, 200, "{answer}");
    let last = look(cluster.calls[next], "/admin/stats")["revision"].as_u64().expect("a revision");
    until("the survivors agree", TIMEOUT, || {
        (0..3)
            .filter(|i| *i != leader)
            .all(|i| look(cluster.lists[i], "/-/ready")["revision"] == last)
    });
    thread::sleep(Duration::from_millis(1000));
    stop.store(true, Ordering::Relaxed);
    let (all, revisions, empty_updates, other_services) = watcher.join().expect("the watcher");
    assert_eq!(other_services, Vec::<String>::new(), "members of other services were received");
    assert_eq!(all, expected);
    assert!(revisions.windows(2).all(|w| w[0] < w[1]), "a revision was repeated or went back");
    assert_eq!(revisions.last(), Some(&last), "its revision follows changes of other services too");
    assert!(empty_updates > 0, "no heartbeat was received");
    // A single request returns the same list.
    let one = look(cluster.lists[next], "/api/targets?service=caf%C3%A9%201");
    assert_eq!(ids(&one).into_iter().collect::<BTreeSet<_>>(), expected);
    assert_eq!((&one["complete"], revision(&one)), (&json!(true), last));
    let two = look(cluster.lists[next], "/api/targets?service=mail&service=caf%C3%A9%201");
    assert_eq!(ids(&two).len(), ids(&look(cluster.lists[next], "/api/targets")).len() - 40);
}

#[test]
fn an_invalid_service_name_is_refused_with_its_key() {
    let mut fleet = Fleet::default();
    let seed = "[[members]]\nid = \"m-1\"\nhost_port = \"127.0.0.1:9\"\nphase = \"SERVING\"\nservice = \"mail\"";
    let cluster = Cluster::start(&mut fleet, 1, seed);
    let services = cluster.services();
    let args = ["stand-in", "--name", "s-1", "--services", &services, "--service", "shop"];
    fleet.start("s-1", &args, &[]);
    until("the member is listed", TIMEOUT, || {
        ids(&look(cluster.lists[0], "/api/targets?service=shop")) == ["s-1"]
    });
    assert_eq!(ids(&look(cluster.lists[0], "/api/targets?service=mail")), ["m-1"]);
    let (status, answer) = cluster.write("/admin/members", &registration("a", "a,b"));
    assert_eq!((status, answer.to_string().contains("member.service")), (400, true), "{answer}");
    assert_eq!(get(cluster.lists[0], "/api/targets?service=%ff", &[]).map(|a| a.0), Some(400));
    let check = |args: &[&str]| {
        let output = Command::new(PROGRAM).args(args).output().expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let file = format!("listen = \"127.0.0.1:0\"\n{}", seed.replace("mail", "a,b"));
    let file = fleet.file("bad.toml", &file);
    let path = file.to_str().expect("a path");
    let (code, error) = check(&["check", "--role", "discovery", "--config", path]);
    assert_eq!((code, error.contains("members[0].service")), (Some(2), true), "{error}");
    let (code, error) = check(&["stand-in", "--service", "a,b"]);
    assert_eq!((code, error.contains("--service")), (Some(2), true), "{error}");
}

/// Answers calls as an instance of a version without support for services does.
fn start_old_instance(at: SocketAddr) {
    let listener = std::net::TcpListener::bind(at).expect("the address is free");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            thread::spawn(move || {
                let (mut seen, mut buffer) = (Vec::new(), [0; 1 << 16]);
                while let Ok(n @ 1..) = stream.read(&mut buffer) {
                    seen.extend_from_slice(&buffer[..n]);
                    let Some(end) = seen.windows(4).position(|w| w == b"\r\n\r\n") else {
                        continue;
                    };
                    let head = String::from_utf8_lossy(&seen[..end]).to_lowercase();
                    let length = head.split_once("content-length: ").map_or("0", |h| h.1);
                    let length = length.lines().next().and_then(|l| l.parse::<usize>().ok());
                    if seen.len() >= end + 4 + length.unwrap_or(0) {
                        seen.clear();
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                    }
                }
            });
        }
    });
}

#[test]
fn the_first_service_requires_every_instance_to_support_services() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    // The third instance has not answered since the restart; later it answers without announcing support for services.
    cluster.at.iter().for_each(|i| fleet.kill(*i));
    cluster.at[..2].iter().for_each(|i| fleet.restart(*i));
    let refused = |cluster: &Cluster| {
        let leader = cluster.leader(None);
        let (status, answer) =
            post(cluster.calls[leader], "/admin/members", &registration("a", "shop"))
                .expect("an answer");
        assert_eq!((status, answer.contains("instances [3]")), (503, true), "{answer}");
    };
    refused(&cluster);
    cluster.register("without", free());
    start_old_instance(cluster.calls[2]);
    cluster.register("without too", free());
    thread::sleep(Duration::from_millis(500));
    refused(&cluster);
    let mut fleet = Fleet::default();
    let new = Cluster::start(&mut fleet, 3, "");
    assert_eq!(
        new.write("/admin/members", &registration("a", "shop")).0,
        200,
        "all instances support services"
    );
    new.at.iter().for_each(|i| fleet.kill(*i));
    new.at[..2].iter().for_each(|i| fleet.restart(*i));
    assert_eq!(
        new.write("/admin/members", &registration("b", "mail")).0,
        200,
        "only the first service needs every instance"
    );
}
