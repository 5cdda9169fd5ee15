//! What one proxy process spends on control and adds to requests, by the size of its list: the slopes of
//! docs/CAPACITY.md, on the release binary over loopback. All sizes of one run are measured in it, so that their
//! ratios hold on a machine of any speed.
//!
//! ```sh
//! cargo bench --bench balancer -- control               # quiet, one change, a zone's, a whole list, a scrape, memory
//! cargo bench --bench balancer -- requests              # time added, by kept and new connections, also amid changes
//! cargo bench --bench balancer -- tenants               # a request's processor time by the number of tenants
//! cargo bench --bench balancer -- control services=210  # the same members in so many services
//! ```
//!
//! Further options: `sizes=64,1024,6100` members, `aim=2000` the least aim of a class in ms, `seconds=8`, `rate=300`
//! requests a second, `routes=210`, `tenants=31000`.

#[allow(dead_code)] // The tests use the rest of it.
#[path = "../tests/harness/mod.rs"]
mod harness;
#[allow(dead_code)] // Each bench uses part of it.
mod measure;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use harness::{Cluster, Fleet, free, look, post, until};
use measure::{Relay, memory, number, option, processor, share, side_by_side};
use serde_json::{Value, json};

const SIZES: [usize; 3] = [64, 1024, 6100];
const STAND_INS: usize = 8;
const BALANCERS: usize = 400;
const ZONES: usize = 5;
const CLIENTS: usize = 8;
const START: Duration = Duration::from_secs(20);

/// Members spread evenly over services, zones and the stand-ins that answer for all of them.
fn members(n: usize, upstreams: &[SocketAddr], services: usize) -> String {
    let member = |i: usize| {
        let service = match services {
            0 | 1 => String::new(),
            _ => format!("service = \"service-{}\"\n", i % services),
        };
        format!(
            "[[members]]\nid = \"s-{i:08x}\"\nhost_port = \"{}\"\nlocality = \"zone-{}\"\nflavor = \"m\"\n\
             phase = \"SERVING\"\n{service}",
            upstreams[i % upstreams.len()],
            i % ZONES
        )
    };
    (0..n).map(member).collect()
}

/// The file of a proxy that is one of 400.
fn file(discovery: SocketAddr, services: usize, tenants: usize) -> Value {
    let text = include_str!("../examples/proxy.json");
    let mut file: Value = serde_json::from_str(text).expect("the example");
    let aim = number("aim", 2000) as f64;
    file["listen"] = json!(free());
    file["management"] = json!(free());
    file["discovery"] = json!(discovery);
    file["limits"] = json!({"memory_mb": 64, "sockets": 1024});
    file["settings"]["Balancers"] = json!(BALANCERS);
    file["settings"]["Position"] = json!(7);
    file["settings"]["Zones"] = (0..ZONES).map(|z| json!(format!("zone-{z}"))).collect();
    for class in file["settings"]["Services"].as_array_mut().into_iter().flatten() {
        class["Aim"] = json!(aim);
    }
    if tenants > 0 {
        let share = 1.0 / tenants as f64;
        let tenant = |i| json!({"Name": format!("tenant-{i:05}"), "QuotaRps": 1e9, "Share": share});
        file["settings"]["Tenants"] = (0..tenants).map(tenant).collect();
    }
    if services > 1 {
        // Each states its classes, and the tenants where there are any; the rest is the balancer's.
        let mut settings = json!({"Services": file["settings"]["Services"]});
        if tenants > 0 {
            settings["Tenants"] = file["settings"]["Tenants"].clone();
        }
        let service = |i| json!({"name": format!("service-{i}"), "settings": settings});
        let route = |i: usize| {
            let (host, service) = (host(i % services), format!("service-{}", i % services));
            json!({"host": host, "prefix": format!("/{}", i / services), "service": service})
        };
        file["services"] = (0..services).map(service).collect();
        file["routes"] = (0..number("routes", services)).map(route).collect();
    }
    file
}

/// The host that leads to a service; its first route is `/0`.
fn host(service: usize) -> String {
    format!("service-{service}.test")
}

/// Writes a member's phase at this management address of a list service that is alone.
fn set_phase(calls: SocketAddr, i: usize, phase: &str) {
    let body = json!({"id": format!("s-{i:08x}"), "phase": phase}).to_string();
    let answer = post(calls, "/admin/members/phase", &body);
    assert_eq!(answer.map(|a| a.0), Some(200), "{body}");
}

/// A list service, a relay that counts, and one proxy.
struct Bench {
    fleet: Fleet,
    n: usize,
    services: usize,
    /// Where the list is written.
    list: SocketAddr,
    relay: Relay,
    proxy: usize,
    config: String,
    pid: u32,
    calls: SocketAddr,
}

impl Bench {
    fn start(n: usize, upstreams: &[SocketAddr], tenants: usize) -> Self {
        let mut fleet = Fleet::default();
        let services = number("services", 1);
        let cluster = Cluster::start(&mut fleet, 1, &members(n, upstreams, services));
        let relay = Relay::to(cluster.lists[0]);
        let text = file(relay.address, services, tenants);
        let calls = text["management"].as_str().and_then(|a| a.parse().ok()).expect("an address");
        let path = fleet.file(&format!("proxy-{n}-{tenants}.json"), &text.to_string());
        let config = path.to_str().expect("UTF-8").to_owned();
        let name = format!("proxy-{n}-{tenants}");
        let proxy = fleet.start(&name, &[], &[("LB_CONFIG", &config)]);
        let pid = fleet.processes[proxy].pid();
        let list = cluster.calls[0];
        let bench = Self { fleet, n, services, list, relay, proxy, config, pid, calls };
        until("the whole list", START, || bench.size() == n);
        bench
    }

    fn size(&self) -> usize {
        look(self.calls, "/admin/stats")["pool_size"].as_u64().unwrap_or(0) as usize
    }

    /// Waits until the proxy has been told nothing more and spends nothing more than when it is quiet.
    fn settled(&self, quiet: f64) {
        let mut before = (self.relay.bytes().1, processor(self.pid));
        until("settled", START, || {
            sleep(Duration::from_millis(200));
            let now = (self.relay.bytes().1, processor(self.pid));
            let still = now.0 - before.0 < 64 && now.1 - before.1 < 0.2 * quiet + 0.01;
            before = now;
            still
        });
    }
}

fn stand_ins(fleet: &mut Fleet) -> Vec<SocketAddr> {
    let start = |i| {
        let name = format!("stand-in-{i}");
        let at = fleet.start(&name, &["stand-in", "--name", &name], &[]);
        fleet.address(at)
    };
    (0..STAND_INS).map(start).collect()
}

fn control(sizes: &[usize]) {
    let mut fleet = Fleet::default();
    let upstreams = stand_ins(&mut fleet);
    let mut all: Vec<Bench> = sizes.iter().map(|n| Bench::start(*n, &upstreams, 0)).collect();
    let at = |figures: &[f64]| -> Vec<(f64, f64)> {
        sizes.iter().zip(figures).map(|(n, y)| (*n as f64, *y)).collect()
    };
    let line = |what, unit, figures: &[f64]| measure::line(what, unit, &at(figures));
    for bench in &all {
        let start = bench.relay.bytes();
        println!(
            "start, {} members: {} B of list, {:.1} ms of processor time, {:.1} MB",
            bench.n,
            start.1,
            processor(bench.pid) * 1e3,
            memory(bench.pid, "VmRSS")
        );
    }
    sleep(Duration::from_secs(2));

    // Quiet: nothing comes but heartbeats. All sizes at once, for the machine has a core for each.
    let seconds = number("seconds", 8) as f64;
    let before: Vec<_> = all.iter().map(|b| (processor(b.pid), b.relay.bytes())).collect();
    sleep(Duration::from_secs_f64(seconds));
    let spent = |(b, (cpu, _)): (&Bench, &(f64, _))| (processor(b.pid) - cpu) / seconds;
    let quiet: Vec<f64> = all.iter().zip(&before).map(spent).collect();
    let bytes = |(b, (_, at)): (&Bench, &(f64, (u64, u64)))| {
        let now = b.relay.bytes();
        ((now.1 - at.1) + (now.0 - at.0)) as f64 / seconds
    };
    let beats: Vec<f64> = all.iter().zip(&before).map(bytes).collect();
    line("quiet", "% of a core", &quiet.iter().map(|q| q * 100.0).collect::<Vec<_>>());
    line("quiet, both ways", "B/s", &beats);
    line("memory, quiet", "MB", &all.iter().map(|b| memory(b.pid, "VmRSS")).collect::<Vec<_>>());

    // One change after the other, each told alone.
    let (mut cost, mut told) = (Vec::new(), Vec::new());
    const CHANGES: usize = 60;
    for (bench, quiet) in all.iter().zip(&quiet) {
        let from = bench.relay.bytes().1;
        let (spent, took, ()) = share(bench.pid, || {
            for i in 0..CHANGES {
                set_phase(bench.list, i / 2, if i % 2 == 0 { "DRAINING" } else { "SERVING" });
                sleep(Duration::from_millis(25));
            }
        });
        cost.push((spent - quiet * took) * 1e3 / CHANGES as f64);
        told.push((bench.relay.bytes().1 - from) as f64 / CHANGES as f64);
    }
    line("one change, processor time", "ms", &cost);
    line("one change", "B", &told);

    // A fifth of the members drains at once, and comes back.
    let (mut cost, mut took, mut told) = (Vec::new(), Vec::new(), Vec::new());
    for (bench, quiet) in all.iter().zip(&quiet) {
        let (from, zone, list) = (bench.relay.bytes().1, bench.n / ZONES, bench.list);
        let before = processor(bench.pid);
        let (begin, mut written) = (Instant::now(), Duration::ZERO);
        for phase in ["DRAINING", "SERVING"] {
            written += side_by_side(8, zone, |i| set_phase(list, ZONES * i, phase));
        }
        bench.settled(*quiet);
        let spent = processor(bench.pid) - before - quiet * begin.elapsed().as_secs_f64();
        cost.push(spent * 1e3 / 2.0);
        told.push((bench.relay.bytes().1 - from) as f64 / 2.0);
        took.push(written.as_secs_f64() / 2.0);
    }
    line("a zone's changes, processor time", "ms", &cost);
    line("a zone's changes", "B", &told);
    line("a zone's changes, written in", "s", &took);

    // A whole list anew: SIGHUP makes the proxy ask for it from nothing.
    let (mut cost, mut told) = (Vec::new(), Vec::new());
    const WHOLE: usize = 8;
    for (bench, quiet) in all.iter().zip(&quiet) {
        let from = bench.relay.bytes().1;
        let (spent, took, ()) = share(bench.pid, || {
            for _ in 0..WHOLE {
                bench.fleet.hang_up(bench.proxy);
                sleep(Duration::from_millis(300));
            }
            bench.settled(*quiet);
        });
        cost.push((spent - quiet * took) * 1e3 / WHOLE as f64);
        told.push((bench.relay.bytes().1 - from) as f64 / WHOLE as f64);
    }
    line("a whole list, processor time", "ms", &cost);
    line("a whole list", "B", &told);
    let peak = |b: &Bench| memory(b.pid, "VmHWM");
    line("memory, at most by then", "MB", &all.iter().map(peak).collect::<Vec<_>>());

    // What operators and releases read, and what it costs the release's controller to take in.
    let (mut cost, mut size, mut taken) = (Vec::new(), Vec::new(), Vec::new());
    const SCRAPES: usize = 3;
    for (bench, quiet) in all.iter().zip(&quiet) {
        let (spent, took, text) = share(bench.pid, || {
            let scrape =
                |_| harness::get(bench.calls, "/metrics", &[]).map_or_else(String::new, |a| a.1);
            (0..SCRAPES).map(scrape).max_by_key(String::len).unwrap_or_default()
        });
        cost.push((spent - quiet * took) * 1e3 / SCRAPES as f64);
        size.push(text.len() as f64);
        let from = Instant::now();
        let counts = hollowpaddle::release::figures::read(&text).map_or(0, |c| c.len());
        taken.push(from.elapsed().as_secs_f64() * 1e3);
        println!("{} members: {counts} counts in a scrape", bench.n);
    }
    line("a scrape taken in by a release", "ms", &taken);
    line("a scrape of /metrics, processor time", "ms", &cost);
    line("a scrape of /metrics", "B", &size);
    line("memory, at most by then", "MB", &all.iter().map(peak).collect::<Vec<_>>());
    line("memory, then", "MB", &all.iter().map(|b| memory(b.pid, "VmRSS")).collect::<Vec<_>>());

    // Members replaced by others: what is left of those that are gone.
    let replaced = number("replaced", 1000);
    let Some(bench) = all.last() else { return };
    let before = memory(bench.pid, "VmRSS");
    let list = bench.list;
    side_by_side(8, replaced, |i| {
        let id = format!("t-{i:08x}");
        let answer =
            post(list, "/admin/members", &harness::member(&id, upstreams[i % upstreams.len()]));
        assert_eq!(answer.map(|a| a.0), Some(200));
        let body = json!({ "id": id }).to_string();
        let answer = post(list, "/admin/members/leave", &body);
        assert_eq!(answer.map(|a| a.0), Some(200));
    });
    bench.settled(1.0);
    let (spent, took, ()) = share(bench.pid, || sleep(Duration::from_secs(4)));
    println!(
        "{replaced} members come and gone, {} members: {:.2} MB more, quiet {:.3}% of a core ({:.3}% before)",
        bench.n,
        memory(bench.pid, "VmRSS") - before,
        spent / took * 100.0,
        quiet.last().copied().unwrap_or(0.0) * 100.0
    );

    // Another process takes over, as for any change of what a proxy reads at its start.
    let mut took: [Vec<f64>; 2] = Default::default();
    for bench in &mut all {
        let (from, calls) = (Instant::now(), free());
        let env = [("LB_CONFIG", bench.config.as_str()), ("LB_MANAGEMENT", &calls.to_string())];
        bench.fleet.start(&format!("next-{}", bench.n), &[], &env);
        until("ready", START, || {
            harness::get(calls, "/admin/health", &[]).is_some_and(|a| a.0 == 200)
        });
        took[0].push(from.elapsed().as_secs_f64() * 1e3);
        bench.fleet.stop(bench.proxy);
        bench.fleet.ended(bench.proxy, START);
        took[1].push(from.elapsed().as_secs_f64() * 1e3);
    }
    line("a takeover, until ready", "ms", &took[0]);
    line("a takeover, until one has gone", "ms", &took[1]);
}

/// One answer read from a connection; whether it is whole.
fn answered(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<u16> {
    buffer.clear();
    let mut piece = [0; 4096];
    loop {
        let n = stream.read(&mut piece).ok().filter(|n| *n > 0)?;
        buffer.extend_from_slice(&piece[..n]);
        let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
        let length = head.split("content-length: ").nth(1)?.split("\r\n").next()?;
        if buffer.len() >= end + 4 + length.parse::<usize>().ok()? {
            return head.split(' ').nth(1)?.parse().ok();
        }
    }
}

fn connect(at: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(at).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    Some(stream)
}

/// Requests with exponential gaps, by so many clients, and the time of each in milliseconds, sorted; those not
/// answered 200 are counted apart. A client that is late counts from when its request was due.
fn drive(
    at: SocketAddr,
    kept: bool,
    services: usize,
    tenant: &str,
    seconds: f64,
) -> (Vec<f64>, usize) {
    let rate = number("rate", 300) as f64 / CLIENTS as f64;
    let (all, failed) = (Mutex::new(Vec::new()), Mutex::new(0));
    thread::scope(|s| {
        for c in 0..CLIENTS {
            let (all, failed) = (&all, &failed);
            s.spawn(move || {
                let mut random = oorandom::Rand64::new(c as u128 + 1);
                let (begin, mut due, mut times) = (Instant::now(), 0.0, Vec::new());
                let (mut held, mut buffer, mut bad) = (None, Vec::new(), 0);
                for i in 0.. {
                    due += -(1.0 - random.rand_float()).ln() / rate;
                    if due > seconds {
                        break;
                    }
                    let (host, path) = match services {
                        0 | 1 => ("a".to_owned(), "/api/stock"),
                        _ => (host((c + i * CLIENTS) % services), "/0/api/stock"),
                    };
                    let close = if kept { "" } else { "Connection: close\r\n" };
                    let request = format!(
                        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Class: read\r\nX-Deadline-Ms: 2000\r\n\
                         X-Request-Id: r-{c}-{i}\r\n{tenant}{close}\r\n"
                    );
                    let due = begin + Duration::from_secs_f64(due);
                    let now = Instant::now();
                    sleep(due.saturating_duration_since(now));
                    let from = if due < now { due } else { Instant::now() };
                    let mut stream = match held.take() {
                        Some(stream) => Some(stream),
                        None => connect(at),
                    };
                    let status = stream.as_mut().and_then(|stream| {
                        stream.write_all(request.as_bytes()).ok()?;
                        answered(stream, &mut buffer)
                    });
                    match status {
                        Some(200) => times.push(from.elapsed().as_secs_f64() * 1e3),
                        _ => bad += 1,
                    }
                    held = stream.filter(|_| kept && status.is_some());
                }
                all.lock().expect("times").extend(times);
                *failed.lock().expect("a count") += bad;
            });
        }
    });
    let mut all = all.into_inner().expect("times");
    all.sort_by(f64::total_cmp);
    (all, failed.into_inner().expect("a count"))
}

fn at(times: &[f64], part: f64) -> f64 {
    times.get(((times.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or(f64::NAN)
}

/// How many upstreams have served something, and how many attempts.
fn used(bench: &Bench) -> (usize, f64) {
    let (_, text) = harness::get(bench.calls, "/metrics", &[]).unwrap_or_default();
    let served = |l: &&str| l.starts_with("upstream_attempts_total") && l.contains("served");
    let counts = text.lines().filter(served).filter_map(|l| l.rsplit(' ').next()?.parse().ok());
    counts.filter(|n: &f64| *n > 0.0).fold((0, 0.0), |(u, all), n| (u + 1, all + n))
}

fn requests(sizes: &[usize]) {
    let mut fleet = Fleet::default();
    let upstreams = stand_ins(&mut fleet);
    let all: Vec<Bench> = sizes.iter().map(|n| Bench::start(*n, &upstreams, 0)).collect();
    sleep(Duration::from_secs(1));
    let seconds = number("seconds", 7) as f64;
    let told = |what: &str, (times, bad): &(Vec<f64>, usize), base: Option<f64>| {
        let p99 = at(times, 0.99);
        let added = base.map_or(String::new(), |b| format!(", added at p99 {:.2}", p99 - b));
        println!(
            "{what}: p50 {:.2}, p99 {p99:.2}, most {:.2} ms{added}; {} answered, {bad} not",
            at(times, 0.5),
            at(times, 1.0),
            times.len()
        );
        p99
    };
    let base = [true, false].map(|kept| {
        let what = if kept { "direct, kept" } else { "direct, new" };
        told(what, &drive(upstreams[0], kept, 1, "", seconds), None)
    });
    for changes in [false, true] {
        for (kept, base) in [(true, base[0]), (false, base[1])] {
            let mut p99s = Vec::new();
            for bench in &all {
                let over = Arc::new(AtomicBool::new(false));
                let (spent, took, driven) = share(bench.pid, || {
                    thread::scope(|s| {
                        if changes {
                            // A zone in the time of the run, at an even pace.
                            let (over, pace) = (over.clone(), seconds * 5.0 / 6100.0);
                            let (list, n) = (bench.list, bench.n);
                            s.spawn(move || {
                                for i in 0.. {
                                    if over.load(Ordering::Relaxed) {
                                        return;
                                    }
                                    let phase = if i % 2 == 0 { "DRAINING" } else { "SERVING" };
                                    set_phase(list, (ZONES * (i / 2)) % n, phase);
                                    sleep(Duration::from_secs_f64(pace));
                                }
                            });
                        }
                        let at = bench.fleet.address(bench.proxy);
                        let driven = drive(at, kept, bench.services, "", seconds);
                        over.store(true, Ordering::Relaxed);
                        driven
                    })
                });
                let what = format!(
                    "{} members, {} connections{}",
                    bench.n,
                    if kept { "kept" } else { "new" },
                    if changes { ", amid changes" } else { "" }
                );
                p99s.push((bench.n as f64, told(&what, &driven, Some(base)) - base));
                println!("  processor time {:.2}% of a core", spent / took * 100.0);
            }
            let what = format!(
                "added at p99, {} connections{}",
                if kept { "kept" } else { "new" },
                if changes { ", amid changes" } else { "" }
            );
            measure::line(&what, "ms", &p99s);
        }
    }
    for bench in &all {
        let (upstreams, attempts) = used(bench);
        println!(
            "{} members: {attempts} attempts at {upstreams} of them; {:.1} MB at most",
            bench.n,
            memory(bench.pid, "VmHWM")
        );
    }
}

fn tenants() {
    let mut fleet = Fleet::default();
    let upstreams = stand_ins(&mut fleet);
    let most = number("tenants", 31_000);
    let seconds = number("seconds", 6) as f64;
    let (mut cost, mut idle, mut size) = (Vec::new(), Vec::new(), Vec::new());
    for tenants in [64, most / 30, most] {
        let bench = Bench::start(64, &upstreams, tenants);
        sleep(Duration::from_secs(1));
        let (spent, took, ()) = share(bench.pid, || sleep(Duration::from_secs(3)));
        let quiet = spent / took;
        let header = format!("X-Tenant: tenant-{:05}\r\n", tenants - 1);
        let at = bench.fleet.address(bench.proxy);
        let (spent, took, (times, bad)) =
            share(bench.pid, || drive(at, true, bench.services, &header, seconds));
        println!("{tenants} tenants: {} answered, {bad} not", times.len());
        let each = (spent - quiet * took) * 1e3 / times.len().max(1) as f64;
        cost.push((tenants as f64, each));
        idle.push((tenants as f64, quiet * 100.0));
        size.push((tenants as f64, memory(bench.pid, "VmRSS")));
    }
    measure::line("a request of the last tenant, processor time", "ms", &cost);
    measure::line("quiet, by tenants", "% of a core", &idle);
    measure::line("memory, by tenants", "MB", &size);
}

fn main() {
    // `cargo test --benches` starts it without.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let sizes = measure::sizes(&SIZES);
    println!(
        "members {sizes:?}, services {}, least aim {} ms",
        number("services", 1),
        option("aim").unwrap_or_else(|| "2000".into())
    );
    if measure::asked("control") {
        control(&sizes);
    }
    if measure::asked("requests") {
        requests(&sizes);
    }
    if measure::asked("tenants") {
        tenants();
    }
}
