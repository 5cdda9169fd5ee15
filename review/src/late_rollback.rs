//! A release is rolled back more than a minute after its upstreams began to drain, while the sweep runs beside it.

mod cluster;
mod rig;

use cluster::{proxy, upstreams, Clients, Cluster};
use rig::{free_addresses, operate, wait_until, Rig, Verdict};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

fn main() {
    rig::main(case);
}

fn case(rig: &mut Rig) -> Verdict {
    let record = rig.record.clone();
    // s-1 and s-2 are the old version, in the list from the start; s-3 and s-4 the new one.
    let all = upstreams(rig, 4);
    let cluster = Cluster::new(rig, &all[..2], [""; 3]);
    (1..=3).for_each(|n| cluster.start(rig, n));
    if !cluster.ready(&[1, 2, 3]) {
        return Err("the list service did not start".into());
    }
    let front = proxy(rig, &cluster.listen)?;
    let management = rig.management.ok_or("no management address")?;
    let clients = Clients::start(&record, front);
    let services: Vec<String> = cluster.management.iter().map(ToString::to_string).collect();
    // As docs/on-call.md says; all else by default: members go after a minute of draining.
    rig.start("sweep", &format!("sweep --services {} --holder sweep-a", services.join(",")), &[]);
    let own = free_addresses(1)[0];
    let mut plan = format!(
        "name = \"web-2\"\nmanagement = \"{own}\"\nstate_dir = \"{}\"\nservices = {services:?}\nproxies = [\"{management}\"]\nstages = [50, 100]\nbake_ms = 8000\n",
        rig.work.join("release").display()
    );
    for (old, new) in [(1, 3), (2, 4)] {
        plan += &format!(
            "[[upstreams]]\nold = \"s-{old}\"\nnew = {{ id = \"t-{old}\", host_port = \"{}\", locality = \"taipei\", flavor = \"std\", phase = \"SERVING\" }}\n",
            all[new - 1].address
        );
    }
    let plan = rig.write("plan.toml", &plan);
    thread::sleep(Duration::from_secs(2));
    rig.start("release", &format!("release start --config {}", plan.display()), &[]);
    let status = || operate(own, "GET", "/admin/release", "").1;
    let both = || cluster.list(1).matches("\"DRAINING\"").count() == 2;
    if !wait_until(Duration::from_secs(40), both) {
        return Err(format!("the second stage did not come: {}", status()));
    }
    record.line("both old members drain");
    let (code, text) = operate(own, "POST", "/admin/release/halt", "");
    record.line(format!("operator: halt: {code} {}", text.trim()));
    thread::sleep(Duration::from_secs(if rig.trouble { 64 } else { 4 }));
    record.line(format!("list before the rollback: {}", cluster.list(1).trim()));
    let (code, text) = operate(own, "POST", "/admin/release/rollback", "");
    record.line(format!("operator: rollback: {code} {}", text.trim()));
    if code != 200 {
        return Err(format!("the rollback was refused: {code} {text}"));
    }
    let exit = rig.wait("release", Duration::from_secs(10));
    record.line(format!("the release ended with exit code {exit:?}"));
    // The drains count as told by then, and the grace is over.
    thread::sleep(Duration::from_secs(8));
    let list = cluster.list(1);
    record.line(format!("list after the rollback: {}", list.trim()));
    let (served, refused) =
        (clients.served.load(Ordering::Relaxed), clients.refused.load(Ordering::Relaxed));
    thread::sleep(Duration::from_secs(4));
    let served = clients.served.load(Ordering::Relaxed) - served;
    let refused = clients.refused.load(Ordering::Relaxed) - refused;
    record.line(format!("4 s after that: {served} served, {refused} refused or failed"));
    let old_serve = ["s-1", "s-2"].iter().all(|id| list.contains(&format!("\"id\":\"{id}\"")));
    Ok((exit == Some(3) && !old_serve).then(|| {
        format!("the release says that it is rolled back, and the old version is not in the list: {served} requests served, {refused} refused")
    }))
}
