//! Stalls of the process (SIGSTOP) at moments that its clocks do not show.

use super::*;
use crate::shim::faults;

/// How long the process is stopped while a request arrives.
const STALL_MS: u64 = 300;
/// The deadline sent to an upstream may exceed the client's remaining time by at most this much (STANDING).
const DEADLINE_SLACK_MS: u64 = 150;
/// How long a write of a process with the fault `stall` takes, and then some.
const WRITE_STALL_MS: u64 = 300;

/// Guards against a stall right after an attempt's first write being counted as an attempt after its client's close.
#[test]
fn attempt_written_before_its_clients_close_is_no_violation() {
    let upstream = Upstream::start(|_| Does::Hangs);
    let mut command = Command::new(NODE);
    command.env("LB_MANAGEMENT", "127.0.0.1:0").envs(faults("stall", 1, 1));
    let node = Node::start_by(command, &config(members(&[&upstream])));
    let mut client = node.client();
    client.send(&alarm("r1", 2000, "x"));
    drop(upstream.request());
    drop(client);
    pause(WRITE_STALL_MS);
    let metrics = String::from_utf8(node.call("GET /metrics").body).expect("UTF-8");
    let name = "violations_total{rule=\"attempt_after_close\"}";
    let count = metrics.lines().find_map(|line| line.strip_prefix(name));
    assert_eq!(count.map(str::trim), Some("0"));
}

/// Guards against a request being given more time than its client has left, after a stall in which the connection table
/// filled: what waited in the backlog had arrived during the stall.
#[test]
fn request_that_arrived_in_a_stall_before_a_full_table_has_its_clients_deadline() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start_with_few_descriptors(members(&[&upstream]));
    node.signal("STOP");
    let silent: Vec<Client> = (0..CLIENTS + 5).map(|_| node.client()).collect();
    let mut client = node.client();
    let sent = Instant::now();
    client.send(&read("r1", 2000));
    pause(STALL_MS);
    node.signal("CONT");
    let (_, request) = upstream.request();
    let left = 2000_u64.saturating_sub(sent.elapsed().as_millis() as u64);
    let told: u64 = request.header("x-deadline-ms").parse().expect("a number");
    assert!(told <= left + DEADLINE_SLACK_MS, "{told} ms told, {left} ms left");
    assert_eq!(client.answer().map(|answer| answer.status()), Some(200));
    drop(silent);
}
