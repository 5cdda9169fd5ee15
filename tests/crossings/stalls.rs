//! Stalls of the process (SIGSTOP) at moments that its clocks do not show.

use super::*;
use crate::shim::faults;

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
