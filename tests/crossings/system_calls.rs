//! System calls that fail or complete only partly, in the ways that Linux documents.

use super::*;
use crate::shim::faults;

/// Concurrent clients.
const CLIENTS: u64 = 8;
/// Requests per client.
const REQUESTS: u64 = 40;

/// Starts a node in which one in `rate` system calls of the given kinds fails.
fn start_faulty(kinds: &str, rate: u32, seed: u64, members: Vec<serde_json::Value>) -> Node {
    let mut command = Command::new(NODE);
    command.envs(faults(kinds, rate, seed));
    Node::start_by(command, &config(members))
}

/// Sends requests through a node with faulty system calls and describes those without a complete answer in time.
fn unanswered(kinds: &str, rate: u32, seed: u64) -> Vec<String> {
    let body: &'static str = "y".repeat(3000).leak();
    let upstreams: Vec<Upstream> = (0..8).map(|_| Upstream::start(move |_| ok(body))).collect();
    let upstream_refs: Vec<&Upstream> = upstreams.iter().collect();
    let node = start_faulty(kinds, rate, seed, members(&upstream_refs));
    let address = node.address;
    let run_client = move |client: u64| {
        let mut connection = Client::to(address);
        let mut failures = Vec::new();
        for request in 0..REQUESTS {
            let id = format!("r{client}-{request}");
            let text = match request % 2 {
                0 => read(&id, 2000),
                _ => alarm(&id, 2000, &"x".repeat(5000)),
            };
            let sent_at = Instant::now();
            if let Err(cause) = connection.try_send(&text) {
                failures.push(format!("{id}: not sent: {cause}"));
            }
            if connection.answer().is_none() || sent_at.elapsed() > Duration::from_millis(2500) {
                failures.push(format!("{id}: no answer after {:?}", sent_at.elapsed()));
                connection = Client::to(address);
            }
        }
        failures
    };
    std::thread::scope(|scope| {
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || run_client(client))).collect();
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect()
    })
}

#[test]
fn interrupted_calls_close_no_connection() {
    let failures = unanswered("interrupt,wait", 20, 1);
    assert!(
        failures.is_empty(),
        "{} of {} requests failed: {failures:#?}",
        failures.len(),
        CLIENTS * REQUESTS
    );
}

#[test]
fn short_reads_and_writes_leave_no_request_unanswered() {
    let failures = unanswered("short", 20, 1);
    assert!(
        failures.is_empty(),
        "{} of {} requests failed: {failures:#?}",
        failures.len(),
        CLIENTS * REQUESTS
    );
}
