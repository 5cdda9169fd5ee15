//! The list service is killed and started again while a process holds a duty. At most one process may hold it.

mod rig;

use rig::{free_addresses, json_number, member_toml, operate, wait_until, Rig, Upstream, Verdict};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// How long both may seem to hold the duty before it counts: two calls of this program are made one after another.
const SKEW: Duration = Duration::from_millis(200);
const WATCH: Duration = Duration::from_secs(12);

fn main() {
    rig::main(case);
}

fn case(rig: &mut Rig) -> Verdict {
    let record = rig.record.clone();
    let upstream = Upstream::start("s-1", &record, |seen, stream| {
        let _ = stream.write_all(&rig::ok(&seen.id));
    });
    let at = free_addresses(4);
    // As examples/discovery.toml: one instance, without a state directory.
    let list = format!(
        "name = \"list-1\"\nlisten = \"{}\"\nmanagement = \"{}\"\n{}",
        at[0],
        at[1],
        member_toml("s-1", upstream.address)
    );
    let list = rig.write("list.toml", &list);
    let list = format!("discovery --config {}", list.display());
    rig.start("list", &list, &[]);
    if !wait_until(Duration::from_secs(5), || operate(at[1], "GET", "/admin/health", "").0 == 200) {
        return Err("the list service did not start".into());
    }
    // The duty's TTL is the default, 3 s.
    let sweep =
        |name: &str, own| format!("sweep --services {} --holder {name} --listen {own}", at[1]);
    let token = |own| json_number(&operate(own, "GET", "/admin/health", "").1, "token");
    rig.start("sweep-a", &sweep("sweep-a", at[2]), &[]);
    if !wait_until(Duration::from_secs(5), || token(at[2]).is_some()) {
        return Err("the first process did not get the duty".into());
    }
    rig.start("sweep-b", &sweep("sweep-b", at[3]), &[]);
    thread::sleep(Duration::from_millis(1500));
    if token(at[3]).is_some() {
        return Ok(Some("both held the duty before anything happened".into()));
    }
    // Just after a renewal the holder will not call again for a second.
    let renewals = || json_number(&operate(at[1], "GET", "/admin/leases", "").1, "renewals");
    let before = renewals();
    if !wait_until(Duration::from_secs(3), || renewals() != before) {
        return Err("the lease is not renewed".into());
    }
    if rig.trouble {
        rig.kill("list");
        rig.start("list", &list, &[]);
    }
    let until = Instant::now() + WATCH;
    let (mut both_since, mut longest) = (None, Duration::ZERO);
    let mut last = (None, None);
    while Instant::now() < until {
        let held = (token(at[2]), token(at[3]));
        if held != last {
            record.line(format!("tokens held: sweep-a {:?}, sweep-b {:?}", held.0, held.1));
            last = held;
        }
        if held.0.is_some() && held.1.is_some() {
            let since: Instant = *both_since.get_or_insert_with(Instant::now);
            longest = longest.max(since.elapsed());
        } else {
            both_since = None;
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line(format!("duties: {}", operate(at[1], "GET", "/admin/leases", "").1));
    Ok((longest > SKEW).then(|| {
        format!("both processes held the duty `sweep` for {longest:?} (tokens {:?})", last)
    }))
}
