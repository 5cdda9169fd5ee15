//! Control cost and added latency of one proxy process by the size of its list: the slopes in docs/CAPACITY.md, measured
//! on the release binary over loopback. All sizes are measured in the same run, so that their ratios do not depend on
//! the speed of the machine.
//!
//! ```sh
//! cargo bench --bench balancer -- control               # idle, one change, a zone's, a full list, a scrape, memory
//! cargo bench --bench balancer -- requests              # latency added to direct requests, idle and during changes
//! cargo bench --bench balancer -- routes                # start, request and reload by the number of routes
//! cargo bench --bench balancer -- tenants               # processor time of a request by the number of tenants
//! cargo bench --bench balancer -- control services=210  # the same members spread over 210 services
//! ```
//!
//! Further options: `sizes=64,1024,6100` members, `aim=2000` the smallest `Aim` of a class in ms, `seconds=8`,
//! `rate=300` requests per second, `clients=32`, `repeats=3`, `routes=210`, `tenants=31000`.

#[allow(dead_code)] // The integration tests use the rest.
#[path = "../tests/harness/mod.rs"]
mod harness;
#[allow(dead_code)] // Each bench uses only a part.
mod measure;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use harness::{Cluster, Fleet, free, look, post, until};
use measure::{Relay, cpu_seconds, measure_cpu, memory_mb, number, option, run_in_parallel};
use serde_json::{Value, json};

const SIZES: [usize; 3] = [64, 1024, 6100];
const STAND_INS: usize = 8;
const BALANCERS: usize = 400;
const ZONES: usize = 5;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How many of the services have upstreams. A service with upstreams has at least one in every zone.
fn populated(n: usize, services: usize) -> usize {
    services.min(n / ZONES).max(1)
}

/// The zone of member `i`. The members of each service are spread over all zones.
fn zone(n: usize, services: usize, i: usize) -> usize {
    let populated = populated(n, services);
    (i % populated + i / populated) % ZONES
}

/// The TOML of `n` members, spread evenly over services, zones and the stand-ins that answer for them.
fn members(n: usize, upstreams: &[SocketAddr], services: usize) -> String {
    let member = |i: usize| {
        let service = match services {
            0 | 1 => String::new(),
            _ => format!("service = \"service-{}\"\n", i % populated(n, services)),
        };
        format!(
            "[[members]]\nid = \"s-{i:08x}\"\nhost_port = \"{}\"\nlocality = \"zone-{}\"\nflavor = \"m\"\n\
             phase = \"SERVING\"\n{service}",
            upstreams[i % upstreams.len()],
            zone(n, services, i)
        )
    };
    (0..n).map(member).collect()
}

/// The configuration of a proxy that is one of 400.
fn proxy_config(discovery: SocketAddr, services: usize, routes: usize, tenants: usize) -> Value {
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
        // Each service has its own classes and, if there are any, tenants; other settings are the balancer's.
        let mut settings = json!({"Services": file["settings"]["Services"]});
        if tenants > 0 {
            settings["Tenants"] = file["settings"]["Tenants"].clone();
        }
        let service = |i| json!({"name": format!("service-{i}"), "settings": settings});
        file["services"] = (0..services).map(service).collect();
        file["routes"] = route_table(services, routes);
    }
    file
}

/// Routes spread evenly over the services.
fn route_table(services: usize, routes: usize) -> Value {
    let route = |i: usize| {
        let (host, prefix) = route(services, i);
        json!({"host": host, "prefix": prefix, "service": format!("service-{}", i % services)})
    };
    (0..routes).map(route).collect()
}

/// The host and path prefix of route `i`.
fn route(services: usize, i: usize) -> (String, String) {
    (format!("service-{}.test", i % services), format!("/{}", i / services))
}

/// Sets a member's phase at the management address of a single-instance list service.
fn set_phase(calls: SocketAddr, i: usize, phase: &str) {
    let body = json!({"id": format!("s-{i:08x}"), "phase": phase}).to_string();
    let answer = post(calls, "/admin/members/phase", &body);
    assert_eq!(answer.map(|a| a.0), Some(200), "{body}");
}

/// A list service, one proxy, and a relay between them that counts bytes.
struct Bench {
    fleet: Fleet,
    n: usize,
    services: usize,
    routes: usize,
    /// Management address of the list service.
    list: SocketAddr,
    relay: Relay,
    proxy: usize,
    config: String,
    pid: u32,
    calls: SocketAddr,
}

impl Bench {
    fn start(n: usize, upstreams: &[SocketAddr], tenants: usize) -> Self {
        let services = number("services", 1);
        Self::routed(n, upstreams, services, number("routes", services), tenants)
    }

    fn routed(
        n: usize,
        upstreams: &[SocketAddr],
        services: usize,
        routes: usize,
        tenants: usize,
    ) -> Self {
        let mut fleet = Fleet::default();
        let cluster = Cluster::start(&mut fleet, 1, &members(n, upstreams, services));
        let relay = Relay::to(cluster.lists[0]);
        let text = proxy_config(relay.address, services, routes, tenants);
        let calls = text["management"].as_str().and_then(|a| a.parse().ok()).expect("an address");
        let name = format!("proxy-{n}-{routes}-{tenants}");
        let path = fleet.file(&format!("{name}.json"), &text.to_string());
        let config = path.to_str().expect("UTF-8").to_owned();
        let proxy = fleet.start(&name, &[], &[("LB_CONFIG", &config)]);
        let pid = fleet.processes[proxy].pid();
        let list = cluster.calls[0];
        let bench = Self { fleet, n, services, routes, list, relay, proxy, config, pid, calls };
        until("the whole list", START_TIMEOUT, || bench.size() == n);
        bench
    }

    fn size(&self) -> usize {
        look(self.calls, "/admin/stats")["pool_size"].as_u64().unwrap_or(0) as usize
    }

    fn address(&self) -> SocketAddr {
        self.fleet.address(self.proxy)
    }

    /// Indices of the members of the first zone.
    fn zone(&self) -> Vec<usize> {
        (0..self.n).filter(|i| zone(self.n, self.services, *i) == 0).collect()
    }

    /// The host and path of a request for a random route to a service that has upstreams.
    fn target(&self, random: &mut oorandom::Rand64) -> (String, String) {
        if self.services <= 1 {
            return ("a".to_owned(), "/api/stock".to_owned());
        }
        loop {
            let i = random.rand_range(0..self.routes as u64) as usize;
            if i % self.services < populated(self.n, self.services) {
                let (host, prefix) = route(self.services, i);
                return (host, format!("{prefix}/api/stock"));
            }
        }
    }

    /// Waits until the proxy receives no more updates and uses no more processor time than when idle. `quiet` is the
    /// idle share of a core.
    fn wait_until_settled(&self, quiet: f64) {
        let mut before = (self.relay.bytes().1, cpu_seconds(self.pid));
        until("settled", START_TIMEOUT, || {
            sleep(Duration::from_millis(200));
            let now = (self.relay.bytes().1, cpu_seconds(self.pid));
            let still = now.0 - before.0 < 64 && now.1 - before.1 < 0.2 * quiet + 0.01;
            before = now;
            still
        });
    }
}

fn start_stand_ins(fleet: &mut Fleet) -> Vec<SocketAddr> {
    let start = |i| {
        let name = format!("stand-in-{i}");
        let at = fleet.start(&name, &["stand-in", "--name", &name], &[]);
        fleet.address(at)
    };
    (0..STAND_INS).map(start).collect()
}

fn control(sizes: &[usize]) {
    let mut fleet = Fleet::default();
    let upstreams = start_stand_ins(&mut fleet);
    let mut all: Vec<Bench> = sizes.iter().map(|n| Bench::start(*n, &upstreams, 0)).collect();
    let at = |figures: &[f64]| -> Vec<(f64, f64)> {
        sizes.iter().zip(figures).map(|(n, y)| (*n as f64, *y)).collect()
    };
    let line = |what, unit, figures: &[f64]| measure::print_scaling(what, unit, &at(figures));
    for bench in &all {
        let start = bench.relay.bytes();
        println!(
            "start, {} members: {} B of list, {:.1} ms of processor time, {:.1} MB",
            bench.n,
            start.1,
            cpu_seconds(bench.pid) * 1e3,
            memory_mb(bench.pid, "VmRSS")
        );
    }
    sleep(Duration::from_secs(2));

    // Quiet: nothing comes but heartbeats. All sizes at once, for the machine has a core for each.
    let seconds = number("seconds", 8) as f64;
    let before: Vec<_> = all.iter().map(|b| (cpu_seconds(b.pid), b.relay.bytes())).collect();
    sleep(Duration::from_secs_f64(seconds));
    let spent = |(b, (cpu, _)): (&Bench, &(f64, _))| (cpu_seconds(b.pid) - cpu) / seconds;
    let quiet: Vec<f64> = all.iter().zip(&before).map(spent).collect();
    let bytes = |(b, (_, at)): (&Bench, &(f64, (u64, u64)))| {
        let now = b.relay.bytes();
        ((now.1 - at.1) + (now.0 - at.0)) as f64 / seconds
    };
    let beats: Vec<f64> = all.iter().zip(&before).map(bytes).collect();
    line("quiet", "% of a core", &quiet.iter().map(|q| q * 100.0).collect::<Vec<_>>());
    line("quiet, both ways", "B/s", &beats);
    line("memory, quiet", "MB", &all.iter().map(|b| memory_mb(b.pid, "VmRSS")).collect::<Vec<_>>());

    // Single changes in sequence, each sent as its own update.
    let (mut cost, mut told) = (Vec::new(), Vec::new());
    const CHANGES: usize = 60;
    for (bench, quiet) in all.iter().zip(&quiet) {
        let from = bench.relay.bytes().1;
        let (spent, took, ()) = measure_cpu(bench.pid, || {
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

    // A fifth of the members drains at once and then serves again.
    let (mut cost, mut took, mut told) = (Vec::new(), Vec::new(), Vec::new());
    for (bench, quiet) in all.iter().zip(&quiet) {
        let (from, zone, list) = (bench.relay.bytes().1, bench.zone(), bench.list);
        let before = cpu_seconds(bench.pid);
        let (begin, mut written) = (Instant::now(), Duration::ZERO);
        for phase in ["DRAINING", "SERVING"] {
            written += run_in_parallel(8, zone.len(), |i| set_phase(list, zone[i], phase));
        }
        bench.wait_until_settled(*quiet);
        let spent = cpu_seconds(bench.pid) - before - quiet * begin.elapsed().as_secs_f64();
        cost.push(spent * 1e3 / 2.0);
        told.push((bench.relay.bytes().1 - from) as f64 / 2.0);
        took.push(written.as_secs_f64() / 2.0);
    }
    line("a zone's changes, processor time", "ms", &cost);
    line("a zone's changes", "B", &told);
    line("a zone's changes, written in", "s", &took);

    // Full lists: on SIGHUP the proxy requests the full list again.
    let (mut cost, mut told) = (Vec::new(), Vec::new());
    const WHOLE: usize = 8;
    for (bench, quiet) in all.iter().zip(&quiet) {
        let from = bench.relay.bytes().1;
        let (spent, took, ()) = measure_cpu(bench.pid, || {
            for _ in 0..WHOLE {
                bench.fleet.hang_up(bench.proxy);
                sleep(Duration::from_millis(300));
            }
            bench.wait_until_settled(*quiet);
        });
        cost.push((spent - quiet * took) * 1e3 / WHOLE as f64);
        told.push((bench.relay.bytes().1 - from) as f64 / WHOLE as f64);
    }
    line("a whole list, processor time", "ms", &cost);
    line("a whole list", "B", &told);
    let peak = |b: &Bench| memory_mb(b.pid, "VmHWM");
    line("memory, at most by then", "MB", &all.iter().map(peak).collect::<Vec<_>>());

    // The metrics that operators and releases read, and the cost of parsing them in the release's controller.
    let (mut cost, mut size, mut taken) = (Vec::new(), Vec::new(), Vec::new());
    const SCRAPES: usize = 3;
    for (bench, quiet) in all.iter().zip(&quiet) {
        let (spent, took, text) = measure_cpu(bench.pid, || {
            let scrape =
                |_| harness::get(bench.calls, "/metrics", &[]).map_or_else(String::new, |a| a.1);
            (0..SCRAPES).map(scrape).max_by_key(String::len).unwrap_or_default()
        });
        cost.push((spent - quiet * took) * 1e3 / SCRAPES as f64);
        size.push(text.len() as f64);
        let from = Instant::now();
        let counts = hollowpaddle::release::figures::parse_metrics(&text).map_or(0, |c| c.len());
        taken.push(from.elapsed().as_secs_f64() * 1e3);
        println!("{} members: {counts} counts in a scrape", bench.n);
    }
    line("a scrape taken in by a release", "ms", &taken);
    line("a scrape of /metrics, processor time", "ms", &cost);
    line("a scrape of /metrics", "B", &size);
    line("memory, at most by then", "MB", &all.iter().map(peak).collect::<Vec<_>>());
    line("memory, then", "MB", &all.iter().map(|b| memory_mb(b.pid, "VmRSS")).collect::<Vec<_>>());

    // Members are added and removed: how much memory remains in use afterwards.
    let replaced = number("replaced", 1000);
    let Some(bench) = all.last() else { return };
    let before = memory_mb(bench.pid, "VmRSS");
    let list = bench.list;
    run_in_parallel(8, replaced, |i| {
        let id = format!("t-{i:08x}");
        let answer =
            post(list, "/admin/members", &harness::member(&id, upstreams[i % upstreams.len()]));
        assert_eq!(answer.map(|a| a.0), Some(200));
        let body = json!({ "id": id }).to_string();
        let answer = post(list, "/admin/members/leave", &body);
        assert_eq!(answer.map(|a| a.0), Some(200));
    });
    bench.wait_until_settled(1.0);
    let (spent, took, ()) = measure_cpu(bench.pid, || sleep(Duration::from_secs(4)));
    println!(
        "{replaced} members come and gone, {} members: {:.2} MB more, quiet {:.3}% of a core ({:.3}% before)",
        bench.n,
        memory_mb(bench.pid, "VmRSS") - before,
        spent / took * 100.0,
        quiet.last().copied().unwrap_or(0.0) * 100.0
    );

    // Another process takes over, as for any change of settings that a proxy reads only when it starts.
    let mut took: [Vec<f64>; 2] = Default::default();
    for bench in &mut all {
        let (from, calls) = (Instant::now(), free());
        let env = [("LB_CONFIG", bench.config.as_str()), ("LB_MANAGEMENT", &calls.to_string())];
        bench.fleet.start(&format!("next-{}", bench.n), &[], &env);
        until("ready", START_TIMEOUT, || {
            harness::get(calls, "/admin/health", &[]).is_some_and(|a| a.0 == 200)
        });
        took[0].push(from.elapsed().as_secs_f64() * 1e3);
        bench.fleet.stop(bench.proxy);
        bench.fleet.ended(bench.proxy, START_TIMEOUT);
        took[1].push(from.elapsed().as_secs_f64() * 1e3);
    }
    line("a takeover, until ready", "ms", &took[0]);
    line("a takeover, until one has gone", "ms", &took[1]);
}

/// Reads one response from a connection. Returns its status, or `None` if it is incomplete or malformed.
fn read_status(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<u16> {
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

/// Timing of one answered request, in milliseconds.
#[derive(Clone, Copy)]
struct Sample {
    /// When it was due, since the start of the load.
    due: f64,
    /// How much later than due the client sent it: the delay caused by the bench itself.
    late: f64,
    /// From sending the request to the last byte of its response.
    took: f64,
}

impl Sample {
    fn since_due(&self) -> f64 {
        self.late + self.took
    }
}

#[derive(Default)]
struct LoadResult {
    /// Requests answered with 200.
    answered: Vec<Sample>,
    failed: usize,
}

impl LoadResult {
    /// A figure of every answered request whose due time satisfies `when`, sorted.
    fn sorted(&self, when: impl Fn(f64) -> bool, figure: impl Fn(&Sample) -> f64) -> Vec<f64> {
        let asked = self.answered.iter().filter(|s| when(s.due));
        let mut all: Vec<f64> = asked.map(figure).collect();
        all.sort_by(f64::total_cmp);
        all
    }
}

/// Sends requests with exponentially distributed gaps from several clients, which are assigned to the addresses in turn.
fn run_load(
    at: &[SocketAddr],
    keep_alive: bool,
    target: &(dyn Fn(&mut oorandom::Rand64) -> (String, String) + Sync),
    header: &str,
    seconds: f64,
    seed: usize,
) -> LoadResult {
    let clients = number("clients", 32);
    let rate = number("rate", 300) as f64 / clients as f64;
    let driven = Mutex::new(LoadResult::default());
    thread::scope(|s| {
        for c in 0..clients {
            let driven = &driven;
            s.spawn(move || {
                let mut random = oorandom::Rand64::new((seed * clients + c) as u128 + 1);
                let (begin, mut due, mut answered_here) = (Instant::now(), 0.0, Vec::new());
                let (mut held, mut buffer, mut failed) = (None, Vec::new(), 0);
                for i in 0.. {
                    due += -(1.0 - random.rand_float()).ln() / rate;
                    if due > seconds {
                        break;
                    }
                    let (host, path) = target(&mut random);
                    let close = if keep_alive { "" } else { "Connection: close\r\n" };
                    let request = format!(
                        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Class: read\r\nX-Deadline-Ms: 2000\r\n\
                         X-Request-Id: r-{seed}-{c}-{i}\r\n{header}{close}\r\n"
                    );
                    let wanted = begin + Duration::from_secs_f64(due);
                    sleep(wanted.saturating_duration_since(Instant::now()));
                    let from = Instant::now();
                    let mut stream = match held.take() {
                        Some(stream) => Some(stream),
                        None => connect(at[c % at.len()]),
                    };
                    let status = stream.as_mut().and_then(|stream| {
                        stream.write_all(request.as_bytes()).ok()?;
                        read_status(stream, &mut buffer)
                    });
                    match status {
                        Some(200) => answered_here.push(Sample {
                            due: due * 1e3,
                            late: from.saturating_duration_since(wanted).as_secs_f64() * 1e3,
                            took: from.elapsed().as_secs_f64() * 1e3,
                        }),
                        _ => failed += 1,
                    }
                    held = stream.filter(|_| keep_alive && status.is_some());
                }
                let mut driven = driven.lock().expect("samples");
                driven.answered.extend(answered_here);
                driven.failed += failed;
            });
        }
    });
    driven.into_inner().expect("samples")
}

fn percentile(times: &[f64], quantile: f64) -> f64 {
    times.get(((times.len().max(1) - 1) as f64 * quantile) as usize).copied().unwrap_or(f64::NAN)
}

/// The mean of the repeats with their minimum and maximum.
fn spread(figures: &[f64]) -> String {
    let mean = figures.iter().sum::<f64>() / figures.len().max(1) as f64;
    let least = figures.iter().copied().fold(f64::INFINITY, f64::min);
    let most = figures.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:.2} ({least:.2} to {most:.2})")
}

/// The number of upstreams that served at least one attempt, and the number of attempts served.
fn used_upstreams(bench: &Bench) -> (usize, f64) {
    let (_, text) = harness::get(bench.calls, "/metrics", &[]).unwrap_or_default();
    let served = |l: &&str| l.starts_with("upstream_attempts_total") && l.contains("served");
    let counts = text.lines().filter(served).filter_map(|l| l.rsplit(' ').next()?.parse().ok());
    counts.filter(|n: &f64| *n > 0.0).fold((0, 0.0), |(u, all), n| (u + 1, all + n))
}

/// Changes of the list while requests are measured.
#[derive(Clone, Copy, PartialEq)]
enum Changes {
    None,
    /// Every second one member drains or serves again.
    Single,
    /// All members of a zone drain or serve again at once, alternately.
    Zone,
}

/// Interval between changes of a zone, in seconds. The sizes are offset from one another by a quarter of it.
const ZONE_EVERY: f64 = 4.0;

/// When the changes of the zone begin, in milliseconds since the start of the load.
fn zone_times(place: usize, seconds: f64) -> Vec<f64> {
    let times = (0..).map(|k| (0.5 + place as f64 + f64::from(k) * ZONE_EVERY) * 1e3);
    times.take_while(|t| *t < (seconds - 1.0) * 1e3).collect()
}

/// Writes the changes until the load is over and leaves all members serving. Returns how long each change of a zone took
/// to write, in milliseconds.
fn change(
    bench: &Bench,
    changes: Changes,
    place: usize,
    seconds: f64,
    over: &AtomicBool,
) -> Vec<f64> {
    let (begin, zone, mut wrote) = (Instant::now(), bench.zone(), Vec::new());
    let times = match changes {
        Changes::None => return wrote,
        Changes::Single => (0..seconds as usize).map(|t| t as f64 * 1e3 + 500.0).collect(),
        Changes::Zone => zone_times(place, seconds),
    };
    let mut write = |i: usize, phase: &str| {
        if changes == Changes::Single {
            return set_phase(bench.list, zone[i / 2 % zone.len()], phase);
        }
        let took = run_in_parallel(8, zone.len(), |i| set_phase(bench.list, zone[i], phase));
        wrote.push(took.as_secs_f64() * 1e3);
    };
    let mut drained = None;
    for (i, t) in times.into_iter().enumerate() {
        sleep(Duration::from_secs_f64(t / 1e3).saturating_sub(begin.elapsed()));
        drained = (i % 2 == 0).then_some(i);
        write(i, if drained.is_some() { "DRAINING" } else { "SERVING" });
    }
    if let Some(i) = drained {
        until("the drive is over", START_TIMEOUT, || over.load(Ordering::Relaxed));
        write(i, "SERVING");
    }
    wrote
}

/// Sends requests through a proxy of each size and directly to the stand-ins, all at the same time, so that delays
/// caused by the machine affect all of them alike.
fn requests(sizes: &[usize]) {
    let mut fleet = Fleet::default();
    let upstreams = start_stand_ins(&mut fleet);
    let all: Vec<Bench> = sizes.iter().map(|n| Bench::start(*n, &upstreams, 0)).collect();
    let seconds = number("seconds", 12) as f64;
    let direct = |_: &mut oorandom::Rand64| ("a".to_owned(), "/api/stock".to_owned());
    // Warm-up: the first requests of a new proxy behave differently (docs/open.md) and are not measured.
    for (round, keep_alive) in [true, false].into_iter().enumerate() {
        thread::scope(|s| {
            for bench in &all {
                s.spawn(move || {
                    let target = |r: &mut _| bench.target(r);
                    let driven =
                        run_load(&[bench.address()], keep_alive, &target, "", 3.0, 100 + round);
                    println!("{} members, before it counts: {} not 200", bench.n, driven.failed);
                });
            }
        });
    }
    for changes in [Changes::None, Changes::Single, Changes::Zone] {
        for keep_alive in [true, false] {
            let what = format!(
                "{}, {}",
                if keep_alive { "kept connections" } else { "new connections" },
                match changes {
                    Changes::None => "quiet",
                    Changes::Single => "a change a second",
                    Changes::Zone => "a zone's changes every 4 s",
                }
            );
            // For each size and repeat: latency added at p50, at p99, at p99 since due, and at p99 within 1 s after the
            // start of a zone's changes.
            let mut added: Vec<[Vec<f64>; 4]> = all.iter().map(|_| Default::default()).collect();
            let mut beside: [Vec<f64>; 2] = Default::default();
            for repeat in 0..number("repeats", 3) {
                sleep(Duration::from_millis(500));
                let over = AtomicBool::new(false);
                let before: Vec<_> = all
                    .iter()
                    .map(|b| (cpu_seconds(b.pid), measure::runnable_wait_seconds(b.pid)))
                    .collect();
                let from = Instant::now();
                let (base, driven) = thread::scope(|s| {
                    let (over, direct, upstreams) = (&over, &direct, &upstreams);
                    let changing: Vec<_> = all
                        .iter()
                        .enumerate()
                        .map(|(place, b)| s.spawn(move || change(b, changes, place, seconds, over)))
                        .collect();
                    let base = s.spawn(move || {
                        run_load(upstreams, keep_alive, direct, "", seconds, repeat * 10)
                    });
                    let driven: Vec<_> = all
                        .iter()
                        .enumerate()
                        .map(|(place, b)| {
                            let target = |r: &mut _| b.target(r);
                            let seed = repeat * 10 + 1 + place;
                            s.spawn(move || {
                                run_load(&[b.address()], keep_alive, &target, "", seconds, seed)
                            })
                        })
                        .collect();
                    let base = base.join().expect("driven");
                    let driven: Vec<_> =
                        driven.into_iter().map(|d| d.join().expect("driven")).collect();
                    over.store(true, Ordering::Relaxed);
                    for (b, wrote) in all.iter().zip(changing) {
                        let wrote = wrote.join().expect("written");
                        if !wrote.is_empty() {
                            println!("{} members: a zone written in {wrote:.0?} ms", b.n);
                        }
                    }
                    (base, driven)
                });
                let took = from.elapsed().as_secs_f64();
                let tell = |who: &str, driven: &LoadResult| {
                    let sent = driven.sorted(|_| true, |s| s.took);
                    let due = driven.sorted(|_| true, Sample::since_due);
                    let late = driven.sorted(|_| true, |s| s.late);
                    println!(
                        "{what}, {who}: p50 {:.2}, p99 {:.2}, most {:.2} ms; since due p99 {:.2}; client late by {:.2}, \
                         p99 {:.2}, most {:.2}; {} answered, {} not",
                        percentile(&sent, 0.5),
                        percentile(&sent, 0.99),
                        percentile(&sent, 1.0),
                        percentile(&due, 0.99),
                        percentile(&late, 0.5),
                        percentile(&late, 0.99),
                        percentile(&late, 1.0),
                        sent.len(),
                        driven.failed
                    );
                    [percentile(&sent, 0.5), percentile(&sent, 0.99), percentile(&due, 0.99)]
                };
                let base_told = tell("direct", &base);
                beside[0].push(base_told[0]);
                beside[1].push(base_told[1]);
                for (place, bench) in all.iter().enumerate() {
                    let told = tell(&format!("{} members", bench.n), &driven[place]);
                    for k in 0..3 {
                        added[place][k].push(told[k] - base_told[k]);
                    }
                    if changes == Changes::Zone {
                        let times = zone_times(place, seconds);
                        let near = |due: f64| times.iter().any(|t| (*t..*t + 1e3).contains(&due));
                        let [near, base] =
                            [&driven[place], &base].map(|d| d.sorted(near, |s| s.took));
                        added[place][3].push(percentile(&near, 0.99) - percentile(&base, 0.99));
                    }
                    let (spent, waited) = before[place];
                    println!(
                        "  {:.1}% of a core; {:.2}% of the time ready to run and not running",
                        (cpu_seconds(bench.pid) - spent) / took * 100.0,
                        (measure::runnable_wait_seconds(bench.pid) - waited) / took * 100.0
                    );
                }
            }
            println!("= {what}: direct p50 {}, p99 {}", spread(&beside[0]), spread(&beside[1]));
            for (bench, [p50, p99, due, near]) in all.iter().zip(&added) {
                let near = match changes {
                    Changes::Zone => format!(", within 1 s of a zone's changes {}", spread(near)),
                    _ => String::new(),
                };
                println!(
                    "= {what}, {} members: added at p50 {}, at p99 {}, since due at p99 {}{near}",
                    bench.n,
                    spread(p50),
                    spread(p99),
                    spread(due)
                );
            }
            let mean = |f: &[f64]| f.iter().sum::<f64>() / f.len() as f64;
            let points: Vec<_> =
                all.iter().zip(&added).map(|(b, a)| (b.n as f64, mean(&a[1]))).collect();
            measure::print_scaling(&format!("= {what}, added at p99"), "ms", &points);
        }
    }
    for bench in &all {
        let (upstreams, attempts) = used_upstreams(bench);
        println!(
            "{} members: {attempts} attempts at {upstreams} of them; {:.1} MB at most",
            bench.n,
            memory_mb(bench.pid, "VmHWM")
        );
    }
}

/// Sends requests one at a time on one connection for this time. Returns when each response was complete and how many
/// were not 200.
fn request_sequentially(bench: &Bench, seconds: f64) -> (Vec<Instant>, usize) {
    let (begin, mut random) = (Instant::now(), oorandom::Rand64::new(7));
    let (mut times, mut failed, mut held, mut buffer) = (Vec::new(), 0, None, Vec::new());
    while begin.elapsed().as_secs_f64() < seconds {
        let (host, path) = bench.target(&mut random);
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Class: read\r\nX-Deadline-Ms: 2000\r\n\
             X-Request-Id: one-{}\r\n\r\n",
            times.len()
        );
        let mut stream = held.take().or_else(|| connect(bench.address()));
        let status = stream.as_mut().and_then(|stream| {
            stream.write_all(request.as_bytes()).ok()?;
            read_status(stream, &mut buffer)
        });
        failed += usize::from(status != Some(200));
        times.push(Instant::now());
        held = stream.filter(|_| status.is_some());
    }
    (times, failed)
}

/// The longest time between two responses that ends in this interval, in milliseconds.
fn longest_gap_ms(times: &[Instant], from: Instant, until: Instant) -> f64 {
    let ends = times.windows(2).filter(|w| w[1] >= from && w[1] < until);
    ends.map(|w| (w[1] - w[0]).as_secs_f64() * 1e3).fold(0.0, f64::max)
}

/// Measures a proxy by its number of routes: start, memory, processor time of a request, and how long a SIGHUP blocks
/// its thread.
fn routes(n: usize) {
    let mut fleet = Fleet::default();
    let upstreams = start_stand_ins(&mut fleet);
    let services = number("services", 210);
    let most = number("routes", 11_000);
    // The last one shows the effect of the list's size on a reload.
    let shapes = [(n, 11), (n, most / 10), (n, most), (SIZES[0], most)];
    let mut all: Vec<Bench> = shapes
        .iter()
        .map(|(n, routes)| Bench::routed(*n, &upstreams, services, *routes, 0))
        .collect();
    let name = |b: &Bench| format!("{} members, {} routes", b.n, b.routes);
    let count = |b: &Bench| (b.routes as f64) + if b.n == n { 0.0 } else { 0.5 };
    let line = |what: &str, unit: &str, all: &[Bench], figures: &[f64]| {
        let points: Vec<_> = all.iter().map(count).zip(figures.iter().copied()).collect();
        // The last one has a list of another size and is not part of the fit.
        measure::print_scaling(what, unit, &points[..3]);
        println!("  with {}: {:.3} {unit}", name(&all[3]), points[3].1);
    };
    for b in &all {
        println!(
            "{}: a file of {} B, {:.1} ms of processor time at the start",
            name(b),
            std::fs::metadata(&b.config).map_or(0, |m| m.len()),
            cpu_seconds(b.pid) * 1e3
        );
    }
    sleep(Duration::from_secs(2));
    let resident = |all: &[Bench], what: &str| -> Vec<f64> {
        all.iter().map(|b| memory_mb(b.pid, what)).collect()
    };
    line("memory, quiet", "MB", &all, &resident(&all, "VmRSS"));
    line("memory, at most", "MB", &all, &resident(&all, "VmHWM"));

    // Requests to all proxies at the same time, after a warm-up, since the first requests behave differently.
    let drive_all = |seconds: f64, seed: usize| -> Vec<LoadResult> {
        thread::scope(|s| {
            let driven: Vec<_> = all
                .iter()
                .map(|b| {
                    s.spawn(move || {
                        let target = |r: &mut _| b.target(r);
                        run_load(&[b.address()], true, &target, "", seconds, seed)
                    })
                })
                .collect();
            driven.into_iter().map(|d| d.join().expect("driven")).collect()
        })
    };
    drive_all(4.0, 50);
    let spent = |all: &[Bench]| -> Vec<f64> { all.iter().map(|b| cpu_seconds(b.pid)).collect() };
    let mut cost: Vec<Vec<f64>> = all.iter().map(|_| Vec::new()).collect();
    for repeat in 0..number("repeats", 3) {
        let before = spent(&all);
        let driven = drive_all(number("seconds", 10) as f64, repeat);
        for (place, (b, driven)) in all.iter().zip(&driven).enumerate() {
            let asked = driven.answered.len() + driven.failed;
            let took = driven.sorted(|_| true, |s| s.took);
            cost[place].push((cpu_seconds(b.pid) - before[place]) * 1e6 / asked as f64);
            println!(
                "{}: p50 {:.3}, p99 {:.3} ms; {} answered, {} not; {:.1} us of processor time each",
                name(b),
                percentile(&took, 0.5),
                percentile(&took, 0.99),
                took.len(),
                driven.failed,
                cost[place][repeat]
            );
        }
    }
    for (b, cost) in all.iter().zip(&cost) {
        println!("= {}: a request, us of processor time: {}", name(b), spread(cost));
    }

    // Each SIGHUP adds or removes one route.
    const RELOADS: usize = 8;
    const EVERY: Duration = Duration::from_millis(600);
    let (mut held, mut busy) = (Vec::new(), Vec::new());
    for b in &all {
        let text = std::fs::read_to_string(&b.config).expect("its file");
        let mut file: Value = serde_json::from_str(&text).expect("JSON");
        let mut with = |routes: usize| {
            file["routes"] = route_table(services, routes);
            file.to_string()
        };
        let texts = [with(b.routes + 1), with(b.routes)];
        let added = route(services, b.routes);
        // A request without a class gets 400 if the route exists and 404 if not.
        let is_routed = || {
            let target = format!("http://{}{}", added.0, added.1);
            harness::get(b.address(), &target, &[]).map(|a| a.0)
        };
        let reload = |i: usize| {
            std::fs::write(&b.config, &texts[i % 2]).expect("written");
            let at = Instant::now();
            b.fleet.hang_up(b.proxy);
            sleep(EVERY);
            let wanted = if i.is_multiple_of(2) { 400 } else { 404 };
            assert_eq!(is_routed(), Some(wanted), "{}: the route {added:?}", name(b));
            at
        };
        let (times, failed, quiet, reloads) = thread::scope(|s| {
            let total = EVERY.as_secs_f64() * (2 * RELOADS + 1) as f64;
            let asking = s.spawn(move || request_sequentially(b, total));
            let rest = |_| {
                let at = Instant::now();
                sleep(EVERY);
                at
            };
            let quiet: Vec<Instant> = (0..RELOADS).map(rest).collect();
            let reloads: Vec<Instant> = (0..RELOADS).map(reload).collect();
            let (times, failed) = asking.join().expect("asked");
            (times, failed, quiet, reloads)
        });
        // Processor time of reloads is measured without requests, because a sequential client sends fewer of them during
        // reloads. Services that received requests settle first.
        sleep(10 * EVERY);
        let (idle, over, ()) = measure_cpu(b.pid, || sleep(2 * EVERY));
        let (spent, took, ()) = measure_cpu(b.pid, || {
            for i in 0..RELOADS {
                reload(i);
            }
        });
        let cpu = (spent - idle / over * took) * 1e3 / RELOADS as f64;
        let gaps = |from: &[Instant]| -> Vec<f64> {
            from.iter().map(|t| longest_gap_ms(&times, *t, *t + EVERY)).collect()
        };
        let (quiet, reloads) = (gaps(&quiet), gaps(&reloads));
        println!(
            "= {}: longest gap between {} answers one by one, ms: quiet {}, with SIGHUP {}; {failed} not 200; {cpu:.1} ms of \
             processor time more",
            name(b),
            times.len(),
            spread(&quiet),
            spread(&reloads)
        );
        held.push(reloads.iter().sum::<f64>() / RELOADS as f64);
        busy.push(cpu);
    }
    line("longest gap at SIGHUP", "ms", &all, &held);
    line("processor time of a SIGHUP", "ms", &all, &busy);
    line("memory after reloads", "MB", &all, &resident(&all, "VmRSS"));
    line("memory after reloads, at most", "MB", &all, &resident(&all, "VmHWM"));

    // A new process takes over, as for a change that needs a restart.
    let mut took = Vec::new();
    for b in &mut all {
        let mut each = Vec::new();
        for i in 0..3 {
            let (from, calls) = (Instant::now(), free());
            let env = [("LB_CONFIG", b.config.as_str()), ("LB_MANAGEMENT", &calls.to_string())];
            let next = b.fleet.start(&format!("next-{}-{}-{i}", b.n, b.routes), &[], &env);
            until("ready", START_TIMEOUT, || {
                harness::get(calls, "/admin/health", &[]).is_some_and(|a| a.0 == 200)
            });
            each.push(from.elapsed().as_secs_f64() * 1e3);
            b.fleet.stop(b.proxy);
            b.fleet.ended(b.proxy, START_TIMEOUT);
            b.proxy = next;
        }
        println!("= {}: a takeover until ready, ms: {}", name(b), spread(&each));
        took.push(each.iter().sum::<f64>() / each.len() as f64);
    }
    line("a takeover, until ready", "ms", &all, &took);
}

fn tenants() {
    let mut fleet = Fleet::default();
    let upstreams = start_stand_ins(&mut fleet);
    let most = number("tenants", 31_000);
    let seconds = number("seconds", 6) as f64;
    let (mut cost, mut idle, mut size) = (Vec::new(), Vec::new(), Vec::new());
    for tenants in [64, most / 30, most] {
        let bench = Bench::start(64, &upstreams, tenants);
        sleep(Duration::from_secs(1));
        let (spent, took, ()) = measure_cpu(bench.pid, || sleep(Duration::from_secs(3)));
        let quiet = spent / took;
        let header = format!("X-Tenant: tenant-{:05}\r\n", tenants - 1);
        let (spent, took, driven) = measure_cpu(bench.pid, || {
            run_load(&[bench.address()], true, &|r| bench.target(r), &header, seconds, 1)
        });
        let answered = driven.answered.len();
        println!("{tenants} tenants: {answered} answered, {} not", driven.failed);
        let each = (spent - quiet * took) * 1e3 / answered.max(1) as f64;
        cost.push((tenants as f64, each));
        idle.push((tenants as f64, quiet * 100.0));
        size.push((tenants as f64, memory_mb(bench.pid, "VmRSS")));
    }
    measure::print_scaling("a request of the last tenant, processor time", "ms", &cost);
    measure::print_scaling("quiet, by tenants", "% of a core", &idle);
    measure::print_scaling("memory, by tenants", "MB", &size);
}

fn main() {
    // `cargo test --benches` runs this without `--bench`.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let sizes = measure::sizes(&SIZES);
    println!(
        "members {sizes:?}, services {}, least aim {} ms",
        number("services", 1),
        option("aim").unwrap_or_else(|| "2000".into())
    );
    if measure::is_selected("control") {
        control(&sizes);
    }
    if measure::is_selected("requests") {
        requests(&sizes);
    }
    if measure::is_selected("tenants") {
        tenants();
    }
    if measure::is_selected("routes") {
        routes(sizes.last().copied().unwrap_or(SIZES[2]));
    }
}
