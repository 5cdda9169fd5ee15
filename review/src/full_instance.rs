//! One of three list-service instances has no room on its disk. A drain has to reach the proxies that follow it.

mod cluster;
mod rig;

use cluster::{proxy, upstreams, Clients, Cluster, GRACE, TOLD};
use rig::{operate, Rig, Verdict};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const WATCH: Duration = Duration::from_secs(8);
/// Operators' changes before the drain: more than the small log holds.
const CHANGES: usize = 200;

fn main() {
    rig::main(case);
}

fn case(rig: &mut Rig) -> Verdict {
    let record = rig.record.clone();
    let upstreams = upstreams(rig, 3);
    let full = if rig.trouble { "max_log_bytes = 12000" } else { "" };
    let cluster = Cluster::new(rig, &upstreams, [full, "", ""]);
    // The first to start is one of the two others, so that the small one follows.
    cluster.start(rig, 2);
    cluster.start(rig, 3);
    if !cluster.ready(&[2, 3]) {
        return Err("the list service did not start".into());
    }
    cluster.start(rig, 1);
    if !cluster.ready(&[1, 2, 3]) {
        return Err("the third instance did not start".into());
    }
    let front = proxy(rig, &cluster.listen)?;
    let clients = Clients::start(&record, front);
    for n in 0..CHANGES {
        cluster.phase(&record, "s-3", if n % 2 == 0 { "DRAINING" } else { "SERVING" })?;
    }
    thread::sleep(Duration::from_secs(1));
    for n in 1..=3 {
        let (status, health) = operate(cluster.management[n - 1], "GET", "/admin/health", "");
        record.line(format!("health of list-{n}: {status} {}", health.trim()));
        if (n == 1 && rig.trouble) == health.contains("\"trouble\":null") {
            return Err(format!("list-{n}: {health}"));
        }
    }
    cluster.phase(&record, "s-1", "DRAINING")?;
    let told = Instant::now();
    thread::sleep(TOLD + GRACE);
    let (late, served) = (Instant::now(), clients.served.load(Ordering::Relaxed));
    record.line(format!(
        "{} ms after the drain: from here on s-1 may get nothing",
        told.elapsed().as_millis()
    ));
    thread::sleep(WATCH);
    let (at_drained, at_others) = (upstreams[0].count_since(late), upstreams[1].count_since(late));
    let served = clients.served.load(Ordering::Relaxed) - served;
    for n in 1..=3 {
        record.line(format!("list-{n} tells: {}", cluster.list(n).trim()));
    }
    record.line(format!("since then: s-1 got {at_drained}, s-2 {at_others}, {served} served"));
    if served < 50 {
        return Err(format!("too little traffic: {served} served"));
    }
    Ok((at_drained > 0)
        .then(|| format!("s-1 got {at_drained} requests 7 to 15 s after it began to drain")))
}
