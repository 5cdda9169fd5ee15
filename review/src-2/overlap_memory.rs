//! A second process is started beside a balancer that serves, to replace it: do both together keep within the memory of one?

mod harness;
use harness::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The upstreams of the site, and limits that TERMS names.
const UPSTREAMS: usize = 15;
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1_024;
/// Fewer than a third of the descriptors (TERMS), with one request at a time each.
const CLIENTS: usize = 260;
/// Under the 64 KiB of PROTOCOL.
const BODY_BYTES: usize = 60 << 10;
/// SIGTERM reaches the old process so long after the new one says yes; the page has "within 6 s".
const OVERLAP: u64 = 3_000;

/// The private memory of a process, without the pages of its program, in KiB.
fn private(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|v| v.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
}

fn main() {
    let mut run = Run::begin();
    let arrived = Arc::default();
    let at: Vec<SocketAddr> = (0..UPSTREAMS).map(|i| upstream(&format!("u-{i}"), 100, &arrived)).collect();
    let members: Vec<String> = (0..UPSTREAMS).map(|i| member(&format!("s-{i:08x}"), at[i], "taipei", "SERVING")).collect();
    let agent = Agent::start("discovery", Held { revision: 41, members: members.clone() }, 0);
    let proxy = free();
    let file = |run: &Run, name: &str, management: SocketAddr| {
        let extra = format!("\"management\":\"{management}\",");
        let text = config(proxy, &agent.address.to_string(), &extra, &list(41, true, &members), "automatic", TRADE_COUNTER);
        let text = text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
        run.file(name, &text.replace("\"sockets\":1024", &format!("\"sockets\":{SOCKETS}")))
    };
    let (first, second) = (free(), free());
    let old_file = file(&run, "old.json", first);
    let new_file = file(&run, "new.json", second);
    let old = run.proxy("old", &old_file);
    ready(&mut run, proxy);
    // The processes of the balancer, and the most that they held together.
    let (pids, stop) = (Arc::new(Mutex::new(vec![old])), Arc::new(AtomicBool::new(false)));
    let most = Arc::new(AtomicU64::new(0));
    let watch = {
        let (most, stop, pids) = (most.clone(), stop.clone(), pids.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let each: Vec<u64> = pids.lock().unwrap().iter().map(|pid| private(*pid)).collect();
                let now = each.iter().sum();
                if now > most.fetch_max(now, Ordering::Relaxed) + 500 {
                    note(format!("private memory {now} KiB: {each:?}"));
                }
                sleep(5);
            }
        })
    };
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let served = served.clone();
            std::thread::spawn(move || {
                let (end, mut n) = (Instant::now() + Duration::from_secs(12), 0);
                let body = "x".repeat(BODY_BYTES);
                while Instant::now() < end {
                    let id = format!("{client:08x}{n:08x}");
                    n += 1;
                    let answer = call(proxy, "POST", "/api", &headers(&id, "place-order", 3000), &body, 4000);
                    if answer.as_ref().is_ok_and(|a| a.status() == 200) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    note(match &answer {
                        Ok(a) => format!("client: {id} is answered {}", a.status()),
                        Err(why) => format!("client: {id}: {why}"),
                    });
                    sleep(20);
                }
            })
        })
        .collect();
    sleep(3_000);
    let before = most.load(Ordering::Relaxed);
    note(format!("before the second process: at most {before} KiB"));
    if run.trouble {
        let new = run.proxy("new", &new_file);
        pids.lock().unwrap().push(new);
        let yes = until(6_000, || get(second, "/admin/health").is_ok_and(|a| a.status() == 200));
        if !yes {
            run.give_up("the new process did not say yes");
        }
        note("the new process says yes");
        sleep(OVERLAP);
        note("SIGTERM to the old process");
        signal(old, SIGTERM);
        let _ = run.wait("old", Duration::from_secs(5));
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::Relaxed);
    let _ = watch.join();
    let served = served.load(Ordering::Relaxed);
    if before == 0 || served < 100 {
        run.give_up(&format!("{before} KiB before, {served} requests served"));
    }
    let (most, limit) = (most.load(Ordering::Relaxed), MEMORY_MB * 1024);
    run.finish(
        most > limit,
        &format!("at most {most} KiB of private memory, {limit} allowed; {before} before the second process; {served} requests served"),
    );
}
