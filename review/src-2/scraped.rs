//! Two callers ask a proxy of a large fleet for its metrics at the same time: does it keep within its memory?

mod harness;
use harness::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The upstreams of the largest fleet (STANDING), and the limits of the proxy (TERMS).
const UPSTREAMS: usize = 3_200;
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
const CALLERS: usize = 2;

/// The private memory of a process, without the pages of its program, in KiB.
fn private(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|v| v.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
}

fn scrape(at: SocketAddr) -> usize {
    let began = Instant::now();
    let answer = call(at, "GET", "/metrics", "", "", 5_000);
    note(match &answer {
        Ok(a) => format!("/metrics is answered {}, {} bytes, after {} ms", a.status(), a.body.len(), began.elapsed().as_millis()),
        Err(why) => format!("/metrics: {why}"),
    });
    answer.map_or(0, |a| if a.status() == 200 { a.body.len() } else { 0 })
}

fn main() {
    let mut run = Run::begin();
    let arrived = Arc::default();
    // Three upstreams that answer, behind all the ids of the list.
    let at: Vec<SocketAddr> = (1..4).map(|i| upstream(&format!("u-{i}"), 20, &arrived)).collect();
    let members: Vec<String> = (0..UPSTREAMS).map(|i| member(&format!("s-{i:08x}"), at[i % 3], "taipei", "SERVING")).collect();
    let agent = Agent::start("discovery", Held { revision: 41, members: members.clone() }, 0);
    let (proxy, management) = (free(), free());
    let extra = format!("\"management\":\"{management}\",");
    let text = config(proxy, &agent.address.to_string(), &extra, &list(41, true, &members), "automatic", TRADE_COUNTER);
    let text = text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let file = run.file("proxy.json", &text.replace("\"sockets\":1024", &format!("\"sockets\":{SOCKETS}")));
    let pid = run.proxy("n0", &file);
    ready(&mut run, proxy);
    let (most, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let watch = {
        let (most, stop) = (most.clone(), stop.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let now = private(pid);
                if now > most.fetch_max(now, Ordering::Relaxed) + 1_000 {
                    note(format!("private memory {now} KiB"));
                }
                sleep(2);
            }
        })
    };
    let clients: Vec<_> = (0..3)
        .map(|client| {
            std::thread::spawn(move || {
                let (end, mut n) = (Instant::now() + Duration::from_secs(10), 0);
                while Instant::now() < end {
                    let id = format!("{client:08x}{n:08x}");
                    n += 1;
                    let answer = call(proxy, "GET", "/api", &headers(&id, "stock-check", 1000), "", 3000);
                    note(match &answer {
                        Ok(a) => format!("client: {id} is answered {}", a.status()),
                        Err(why) => format!("client: {id}: {why}"),
                    });
                    sleep(50);
                }
            })
        })
        .collect();
    sleep(1_500);
    let before = most.load(Ordering::Relaxed);
    note(format!("before the first call: at most {before} KiB"));
    // Every 2 s each caller asks once: at the same time, or without the trouble one after the other.
    let mut bytes = 0;
    for _ in 0..4 {
        if run.trouble {
            let calls: Vec<_> = (0..CALLERS).map(|_| std::thread::spawn(move || scrape(management))).collect();
            bytes = calls.into_iter().map(|c| c.join().unwrap_or(0)).fold(bytes, usize::max);
        } else {
            for _ in 0..CALLERS {
                bytes = bytes.max(scrape(management));
                sleep(300);
            }
        }
        sleep(1_200);
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::Relaxed);
    let _ = watch.join();
    if before == 0 || bytes < 1_000_000 {
        run.give_up(&format!("{before} KiB before, {bytes} bytes of metrics"));
    }
    let (most, limit) = (most.load(Ordering::Relaxed), MEMORY_MB * 1024);
    run.finish(most > limit, &format!("at most {most} KiB of private memory, {limit} allowed; {before} before the first call"));
}
