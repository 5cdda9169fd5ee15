//! Takeovers and restarts at one address: a process is killed, stopped or started just as another process or a client
//! depends on it.

use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use super::*;

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";

#[test]
fn killed_successor_does_not_take_over() {
    let upstream = Upstream::start(|_| ok("ok"));
    let config = config(members(&[&upstream]));
    let mut old = Node::managed(&config);
    let new = Node::managed_at(&config, old.address);
    // Killed by SIGKILL, the successor cannot withdraw its takeover.
    drop(new);
    old.signal("TERM");
    pause(100);
    // New clients still arrive for a while. Readiness must fail, so that the tier of clients before the proxies learns
    // that no process will serve the address.
    assert_eq!(Client::to(old.address).ask(READY).status(), 503);
    assert_eq!(Client::to(old.address).ask(&read("r1", 5000)).status(), 200);
    assert_eq!(old.exit_code(), Some(0));
}

/// A thread that sends requests, each on a new connection, until stopped, and fails if one is refused.
struct NewClients {
    stop: Arc<AtomicBool>,
    served: Option<JoinHandle<usize>>,
}

impl NewClients {
    fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let send_requests = move || {
            let mut served = 0;
            while !stopped.load(Ordering::Relaxed) {
                let text = if served % 2 == 0 { READY.to_owned() } else { read("r", 5000) };
                assert_eq!(
                    Client::to(address).ask(&text).status(),
                    200,
                    "after {served} served requests"
                );
                served += 1;
            }
            served
        };
        Self { stop, served: Some(std::thread::spawn(send_requests)) }
    }

    fn assert_all_served(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let served = self.served.take().expect("joined once").join().expect("all were served");
        assert!(served > 0, "no request was sent");
    }
}

#[test]
fn remaining_one_of_two_concurrent_successors_serves() {
    let upstream = Upstream::start(|_| ok("ok"));
    let config = config(members(&[&upstream]));
    // Either of the two may be the one that remains.
    for remaining in 0..2 {
        let old = Node::managed(&config);
        let address = old.address;
        let start = || {
            let config = config.clone();
            std::thread::spawn(move || Node::managed_at(&config, address))
        };
        let (a, b) = (start(), start());
        let mut successors = vec![a.join().expect("started"), b.join().expect("started")];
        for node in &successors {
            assert_eq!(node.call("GET /admin/health").status(), 200);
        }
        let new_clients = NewClients::start(address);
        pause(100);
        let new = successors.remove(remaining);
        let mut stopped_nodes = [old, successors.remove(0)];
        stopped_nodes.iter().for_each(|node| node.signal("TERM"));
        for node in &mut stopped_nodes {
            assert_eq!(node.exit_code(), Some(0));
        }
        pause(100);
        new_clients.assert_all_served();
        assert_eq!(new.client().ask(&read("r", 5000)).status(), 200);
    }
}

#[test]
fn older_process_serves_after_its_successor_is_stopped() {
    let upstream = Upstream::start(|_| ok("ok"));
    let config = config(members(&[&upstream]));
    let old = Node::managed(&config);
    let mut new = Node::managed_at(&config, old.address);
    let new_clients = NewClients::start(old.address);
    pause(100);
    new.signal("TERM");
    assert_eq!(new.exit_code(), Some(0));
    pause(100);
    new_clients.assert_all_served();
    assert_eq!(old.call("GET /admin/health").status(), 200);
}

#[test]
fn restarted_fleet_serves_at_once_while_discovery_is_slow() {
    const FLEET: usize = 6;
    let delay = Duration::from_millis(2500);
    let (old, new) = (Upstream::start(|_| ok("old")), Upstream::start(|_| ok("new")));
    let mut config = config(members(&[&old]));
    config["settings"]["RegistryMode"] = json!("automatic");
    let list = json!({"revision": 42, "complete": true,
        "members": [member("s-1", new.address, "SERVING")]});
    let (list, head) = (format!("{list}\n"), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
    let response = format!("{head}\r\n{:x}\r\n{list}\r\n", list.len());
    let before: Vec<Node> = (0..FLEET).map(|_| Node::start(&config)).collect();
    let addresses: Vec<SocketAddr> = before.iter().map(|node| node.address).collect();
    drop(before); // Dropping a node kills its process.
    let fleet: Vec<Node> = addresses
        .into_iter()
        .map(|address| Node::told_by(Discovery::saying(response.clone(), delay), &config, address))
        .collect();
    for node in &fleet {
        assert_eq!(node.client().ask(READY).status(), 200);
        assert_eq!(node.client().ask(&read("r1", 5000)).status(), 200);
    }
    let from = Instant::now();
    for node in &fleet {
        while node.client().ask(&read("r2", 5000)).body != b"new" {
            assert!(from.elapsed() < SOON, "the proxy did not apply the list");
            pause(20);
        }
    }
}

/// Returns a free address with a port outside the ephemeral range. With an ephemeral port, a client that retries the
/// connection could be given the same port as its source and connect to itself.
fn non_ephemeral_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let next = std::process::id() as usize * 131 + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (next % 8000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

#[test]
fn request_as_a_process_begins_to_listen_is_answered() {
    let upstream = Upstream::start(|_| ok("ok"));
    let config = config(members(&[&upstream]));
    for round in 0..20 {
        let address = non_ephemeral_address();
        let early_client = std::thread::spawn(move || {
            let from = Instant::now();
            loop {
                match Client::try_to(address) {
                    Ok(mut client) => return client.ask(&read("r1", 5000)).status(),
                    Err(cause) => assert!(from.elapsed() < SOON, "{cause}"),
                }
            }
        });
        let node = Node::told_by(Discovery::start(), &config, address);
        assert_eq!(early_client.join().expect("an answer"), 200, "round {round}");
        drop(node);
    }
}

#[test]
fn sighup_before_the_configuration_is_read_does_not_end_the_process() {
    let upstream = Upstream::start(|_| ok("ok"));
    let discovery = Discovery::start();
    let mut node = Command::new(NODE)
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("LB_DISCOVERY", discovery.address.to_string())
        .env("LB_CONFIG", "/dev/stdin")
        .env("TMPDIR", env!("CARGO_TARGET_TMPDIR"))
        .stdin(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let pid = node.id().to_string();
    // The process waits for its configuration file on standard input. SIGHUP (bit 0 of SigCgt) is caught by then; the
    // process cannot handle a signal sent before it installs its handler.
    let catches_sighup = || {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        u64::from_str_radix(mask.expect("a mask").trim(), 16).expect("a number") & 1 == 1
    };
    let from = Instant::now();
    let mut caught = catches_sighup();
    while !caught && from.elapsed() < Duration::from_secs(3) {
        pause(5);
        caught = catches_sighup();
    }
    let sent = Command::new("kill").args(["-HUP", &pid]).status();
    assert!(sent.expect("kill runs").success());
    pause(50);
    let file = config(members(&[&upstream])).to_string();
    let written = node.stdin.take().expect("piped").write_all(file.as_bytes());
    let mut log = BufReader::new(node.stderr.take().expect("piped")).lines();
    let listens = log.any(|line| line.is_ok_and(|line| line.contains("listening on")));
    let _ = node.kill();
    let _ = node.wait();
    assert!(
        caught && written.is_ok() && listens,
        "caught {caught}, {written:?}, listens {listens}"
    );
}
