//! The list service is built anew from the list, as docs/on-call.md says. A drain after that has to reach the proxies.

mod cluster;
mod rig;

use cluster::{proxy, upstreams, Clients, Cluster, GRACE, TOLD};
use rig::{Rig, Verdict};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const WATCH: Duration = Duration::from_secs(8);

fn main() {
    rig::main(case);
}

fn case(rig: &mut Rig) -> Verdict {
    let record = rig.record.clone();
    let upstreams = upstreams(rig, 3);
    let cluster = Cluster::new(rig, &upstreams, [""; 3]);
    (1..=3).for_each(|n| cluster.start(rig, n));
    if !cluster.ready(&[1, 2, 3]) {
        return Err("the list service did not start".into());
    }
    let front = proxy(rig, &cluster.listen)?;
    let clients = Clients::start(&record, front);
    // A day's work of operators: each upstream is taken out once and put back.
    for id in ["s-1", "s-2", "s-3"] {
        cluster.phase(&record, id, "DRAINING")?;
        thread::sleep(Duration::from_millis(300));
        cluster.phase(&record, id, "SERVING")?;
    }
    thread::sleep(Duration::from_millis(500));
    let before = cluster.revision(1);
    for n in 1..=3 {
        rig.signal(&format!("list-{n}"), "TERM");
    }
    for n in 1..=3 {
        rig.wait(&format!("list-{n}"), Duration::from_secs(5));
        if rig.trouble {
            let state = rig.work.join(format!("state-{n}"));
            std::fs::rename(&state, state.with_extension("aside")).map_err(|e| e.to_string())?;
            record.line(format!("the state directory of list-{n} is moved aside"));
        }
    }
    // The files hold the members of the list as it was when it ended.
    (1..=3).for_each(|n| cluster.start(rig, n));
    if !cluster.ready(&[1, 2, 3]) {
        return Err("the list service did not start again".into());
    }
    record.line(format!("revision before {before:?}, after {:?}", cluster.revision(1)));
    // Twice the time within which whatever discovery has to tell counts as told.
    thread::sleep(2 * TOLD);
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
    record.line(format!("list: {}", cluster.list(1)));
    record.line(format!("since then: s-1 got {at_drained}, s-2 {at_others}, {served} served"));
    if served < 50 {
        return Err(format!("too little traffic: {served} served"));
    }
    Ok((at_drained > 0)
        .then(|| format!("s-1 got {at_drained} requests 7 to 15 s after it began to drain")))
}
