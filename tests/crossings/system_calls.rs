//! System calls that fail, or do less than they were asked for, as Linux documents.

use super::*;
use crate::shim::faults;

/// Clients side by side, and the requests of each.
const CLIENTS: u64 = 8;
const REQUESTS: u64 = 40;

/// Starts a node in which one call in `rate` of these kinds fails.
fn faulty(kinds: &str, rate: u32, seed: u64, known: Vec<serde_json::Value>) -> Node {
    let mut command = Command::new(NODE);
    command.envs(faults(kinds, rate, seed));
    Node::start_by(command, &config(known))
}

/// Asks through a node with such calls; the requests that got no whole answer, and how each ended.
fn unanswered(kinds: &str, rate: u32, seed: u64) -> Vec<String> {
    let body: &'static str = "y".repeat(3000).leak();
    let upstreams: Vec<Upstream> = (0..8).map(|_| Upstream::start(move |_| ok(body))).collect();
    let known: Vec<&Upstream> = upstreams.iter().collect();
    let node = faulty(kinds, rate, seed, members(&known));
    let address = node.address;
    let ask = move |client: u64| {
        let mut connection = Client::to(address);
        let mut lost = Vec::new();
        for request in 0..REQUESTS {
            let id = format!("r{client}-{request}");
            let text = match request % 2 {
                0 => read(&id, 2000),
                _ => alarm(&id, 2000, &"x".repeat(5000)),
            };
            let from = Instant::now();
            if let Err(cause) = connection.try_send(&text) {
                lost.push(format!("{id}: not sent: {cause}"));
            }
            if connection.answer().is_none() || from.elapsed() > Duration::from_millis(2500) {
                lost.push(format!("{id}: no answer after {:?}", from.elapsed()));
                connection = Client::to(address);
            }
        }
        lost
    };
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|client| scope.spawn(move || ask(client))).collect();
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect()
    })
}

#[test]
fn a_call_that_is_interrupted_ends_no_connection() {
    let lost = unanswered("interrupt,wait", 20, 1);
    assert!(lost.is_empty(), "{} of {}: {lost:#?}", lost.len(), CLIENTS * REQUESTS);
}

#[test]
fn a_short_read_or_write_leaves_no_request_waiting() {
    let lost = unanswered("short", 20, 1);
    assert!(lost.is_empty(), "{} of {}: {lost:#?}", lost.len(), CLIENTS * REQUESTS);
}
