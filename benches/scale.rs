//! The fleet at full scale in simulated processes: `cargo bench --bench scale -- --size 1/16,1/4,1/2,1`.
//!
//! The full size (1) has 400 balancers, 6,100 upstreams with TTL in 210 services, and five instances of the list service
//! in two regions (three and two) connected by a link. The phases are: an idle period, single changes, a killed leader,
//! loss and return of a zone, reconnection of all balancers at once, a process of balancers paused and resumed, and a
//! partition between the regions. Each phase prints the cost of a balancer and its budget; a run with several sizes also
//! prints the slopes.
//!
//! Sizes before the last run only the phases that the slopes need. `--ttl-ms` sets the TTL of the upstreams (30000).
//! `--spread-ms` sets the time over which the upstreams of the full size start (60000; smaller sizes take a proportional
//! part). `--phases` selects the phases to run after the start: quiet, changes, leader, zone, herd, stopped, apart.

#[path = "../tests/harness/mod.rs"]
#[allow(dead_code)]
mod harness;
#[path = "../tests/rehearsal/mod.rs"]
#[allow(dead_code)]
mod rehearsal;

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use harness::{Cluster, Fleet, look, until};
use rehearsal::relay::Link;
use rehearsal::{Counts, Region, Rehearsal, Size, ZONES};

/// Budgets set by the operators: the time until every balancer has the newest revision, in seconds; and for the control
/// part of a balancer its share of a core in percent, its memory in MB, and its bytes per second.
const MAX_LAG_SECONDS: f64 = 13.0;
const MAX_CORE_PERCENT: f64 = 1.0;
const MAX_MEMORY_MB: f64 = 64.0;
const MAX_BYTES_PER_SECOND: f64 = 3000.0;
/// Timeout of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(240);
const QUIET_DURATION: Duration = Duration::from_secs(20);
const CHANGE_COUNT: usize = 50;
/// Phases that sizes before the last run.
const SLOPE_PHASES: &str = "quiet,changes,herd";
/// Instances of the list service, and how many of them are in the first region.
const INSTANCES: usize = 5;
const FIRST_REGION_INSTANCES: usize = 3;

/// Compares the newest revision of the list service with the lowest of all balancers ten times a second.
struct LagMonitor {
    state: Arc<Mutex<LagState>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct LagState {
    /// Addresses of the balancer processes that are compared.
    balancers: Vec<SocketAddr>,
    waiting: VecDeque<(Instant, u64)>,
    newest: u64,
    worst: Duration,
}

impl LagMonitor {
    fn start(services: Vec<SocketAddr>, balancers: Vec<SocketAddr>) -> Self {
        let state = Arc::new(Mutex::new(LagState { balancers, ..LagState::default() }));
        let stop = Arc::new(AtomicBool::new(false));
        let (shared, stopped) = (state.clone(), stop.clone());
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let seen = Instant::now();
                let newest = |at| look(at, "/admin/stats")["revision"].as_u64().unwrap_or(0);
                let newest = services.iter().map(|at| newest(*at)).max().unwrap_or(0);
                let balancers = shared.lock().expect("a state").balancers.clone();
                let lowest = |at| look(at, "/admin/stats")["balancers"]["lowest_revision"].as_u64();
                // A process without running balancers reports 0 and is skipped, since none of its balancers waits.
                let lowest = balancers.iter().filter_map(|at| lowest(*at)).filter(|r| *r > 0).min();
                let mut state = shared.lock().expect("a state");
                if newest > state.newest {
                    state.newest = newest;
                    state.waiting.push_back((seen, newest));
                }
                while let Some((since, revision)) = state.waiting.front().copied() {
                    if lowest.is_none_or(|lowest| lowest < revision) {
                        break;
                    }
                    state.waiting.pop_front();
                    state.worst = state.worst.max(since.elapsed());
                }
                if let Some((since, _)) = state.waiting.front() {
                    state.worst = state.worst.max(since.elapsed());
                }
                drop(state);
                sleep(Duration::from_millis(100));
            }
        });
        Self { state, stop, thread: Some(thread) }
    }

    /// Compares these balancer processes from now on.
    fn compare(&self, balancers: Vec<SocketAddr>) {
        let mut state = self.state.lock().expect("a state");
        (state.balancers, state.waiting) = (balancers, VecDeque::new());
    }

    fn take_worst(&self) -> Duration {
        std::mem::take(&mut self.state.lock().expect("a state").worst)
    }
}

impl Drop for LagMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Processor time of a process in seconds and its resident memory in MB, as reported by the kernel.
fn process_usage(pid: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: f64 =
        after.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok()).sum();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    (ticks / 100.0, kib.unwrap_or(0.0) / 1024.0)
}

/// All counters at one moment.
struct Snapshot {
    at: Instant,
    counts: Vec<Counts>,
    /// Processor time and memory of each balancer process.
    balancers: Vec<(f64, f64)>,
    /// Processor time and memory of each instance of the list service.
    instances: Vec<(f64, f64)>,
    revision: u64,
    failed: u64,
    registrations: u64,
}

impl Snapshot {
    fn take(r: &Rehearsal) -> Self {
        let of = |all: &[usize]| {
            all.iter().map(|i| process_usage(r.fleet.processes[*i].pid())).collect()
        };
        let calls = |key: &str| -> u64 {
            let of = |i: &usize| look(r.fleet.address(*i), "/admin/stats");
            let of = |i| of(i)["upstreams"]["calls"][key].as_u64().unwrap_or(0);
            r.upstreams.iter().map(of).sum()
        };
        Self {
            at: Instant::now(),
            counts: r.counts(),
            balancers: of(&r.balancers),
            instances: of(&r.cluster.at),
            revision: r.newest(),
            failed: calls("failed_renewals") + calls("failed_registrations"),
            registrations: calls("registrations"),
        }
    }
}

/// Cost of one phase to a balancer.
#[derive(Clone, Debug, Default)]
struct Cost {
    revisions: f64,
    /// Percent of a core: the mean over all balancers, and the largest mean of a process.
    core: (f64, f64),
    mb: (f64, f64),
    bytes_a_second: (f64, f64),
    bytes: f64,
    module_us: (f64, f64),
    process_us: f64,
    whole_lists: f64,
    services_told: f64,
    instance_core: f64,
}

fn mean_and_largest(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let all: Vec<f64> = values.collect();
    (all.iter().sum::<f64>() / all.len().max(1) as f64, all.iter().fold(0.0, |a, b| a.max(*b)))
}

/// Ends a phase: waits until all balancers have the newest list, and prints the cost of the phase.
fn finish_phase(
    what: &str,
    r: &Rehearsal,
    monitor: &LagMonitor,
    from: &Snapshot,
    why: &str,
) -> Cost {
    let (list, level) = r.level(WAIT_TIMEOUT);
    let (now, worst) = (Snapshot::take(r), monitor.take_worst());
    let seconds = (now.at - from.at).as_secs_f64();
    let each = r.size.balancers as f64 / r.size.balancer_processes as f64;
    let counts: Vec<Counts> =
        now.counts.iter().zip(&from.counts).map(|(n, f)| n.since(f)).collect();
    let of = |of: fn(&Counts) -> u64| mean_and_largest(counts.iter().map(|c| of(c) as f64));
    let pairs = now.balancers.iter().zip(&from.balancers);
    let spent: Vec<f64> = pairs.map(|(n, f)| (n.0 - f.0).max(0.0)).collect();
    let core = mean_and_largest(spent.iter().map(|s| 100.0 * s / seconds / each));
    let mb = mean_and_largest(now.balancers.iter().map(|p| p.1 / each));
    let bytes = of(|c| c.bytes);
    // The counters of a restarted instance begin at 0 again.
    let pairs = now.instances.iter().zip(&from.instances);
    let instances: Vec<f64> =
        pairs.map(|(n, f)| 100.0 * (n.0 - if n.0 < f.0 { 0.0 } else { f.0 }) / seconds).collect();
    let cost = Cost {
        revisions: (now.revision - from.revision) as f64,
        core,
        mb,
        bytes_a_second: (bytes.0 / seconds, bytes.1 / seconds),
        bytes: bytes.0,
        module_us: of(|c| c.module_us),
        process_us: 1e6 * spent.iter().sum::<f64>() / r.size.balancers as f64,
        whole_lists: of(|c| c.whole_lists).0,
        services_told: of(|c| c.services_told).0,
        instance_core: instances.iter().fold(0.0, |a, b| a.max(*b)),
    };
    let back: u64 = now.counts.iter().map(|c| c.went_back).sum();
    let beside = |value: f64, allowed: f64| {
        format!("{value:.3} ({}{allowed})", if value <= allowed { "of " } else { "OVER " })
    };
    println!(
        "{what}: {seconds:.1} s, {} members, {} revisions; {why}",
        list.members.len(),
        cost.revisions
    );
    println!(
        "  last balancer has the newest revision after {} s at worst; level {:.2} s after the end; went back {back}",
        beside(worst.as_secs_f64(), MAX_LAG_SECONDS),
        level.as_secs_f64()
    );
    println!(
        "  a balancer: bytes/s mean {} largest {}; messages {:.1}/{:.0}, entries {:.1}, services told {:.1}, whole lists {:.2}, bytes {:.0}/{:.0}",
        beside(cost.bytes_a_second.0, MAX_BYTES_PER_SECOND),
        beside(cost.bytes_a_second.1, MAX_BYTES_PER_SECOND),
        of(|c| c.messages).0,
        of(|c| c.messages).1,
        of(|c| c.entries).0,
        cost.services_told,
        cost.whole_lists,
        bytes.0,
        bytes.1,
    );
    println!(
        "  a balancer: core % mean {} largest process {}; module ms {:.2}/{:.2} of {:.2}, longest call so far {:.2}; MB mean {} largest {}",
        beside(core.0, MAX_CORE_PERCENT),
        beside(core.1, MAX_CORE_PERCENT),
        cost.module_us.0 / 1000.0,
        cost.module_us.1 / 1000.0,
        cost.process_us / 1000.0,
        of(|c| c.module_longest_us).1 / 1000.0,
        beside(mb.0, MAX_MEMORY_MB),
        beside(mb.1, MAX_MEMORY_MB),
    );
    println!(
        "  instances: core % {:?}, MB {:?}; registrations {}, calls of upstreams that failed {}",
        instances.iter().map(|c| (c * 10.0).round() / 10.0).collect::<Vec<_>>(),
        now.instances.iter().map(|p| p.1.round()).collect::<Vec<_>>(),
        now.registrations - from.registrations,
        now.failed - from.failed,
    );
    assert_eq!(back, 0, "{what}: revisions went back");
    cost
}

/// Results of one size, for the slopes.
struct SizeResult {
    members: f64,
    quiet: Cost,
    changes: Cost,
    herd: Cost,
}

fn run_size(
    share: f64,
    (ttl_ms, spread_ms): (u64, u64),
    wanted: &dyn Fn(&str) -> bool,
) -> SizeResult {
    let processes = if share > 0.5 { 10 } else { 5 };
    let whole = |n: f64| ((n * share / processes as f64).round().max(1.0) as usize) * processes;
    let size = Size {
        balancers: whole(400.0),
        balancer_processes: processes,
        upstreams: whole(6100.0),
        upstream_processes: processes,
        services: ((210.0 * share) as usize).max(1),
        ttl_ms,
        spread_ms: (spread_ms as f64 * share) as u64,
    };
    println!("\n== {size:?}, {INSTANCES} instances");
    let link = Link::new();
    let mut fleet = Fleet::default();
    let region = |i: usize| usize::from(i >= FIRST_REGION_INSTANCES);
    let cluster = Cluster::start_routed(&mut fleet, INSTANCES, "", &mut |from, to, at| {
        if region(from) == region(to) { at } else { link.relay(at) }
    });
    let view = |mine: usize, zones: &[&'static str]| {
        let route = |(i, at): (usize, &SocketAddr)| {
            if region(i) == mine { *at } else { link.relay(*at) }
        };
        let lists = cluster.lists.iter().enumerate().map(route).collect();
        // An instance of the other region would name the leader by an address that bypasses the link.
        let own = cluster.calls.iter().enumerate().filter(|(i, _)| region(*i) == mine);
        let calls = own.map(|(_, at)| *at).collect();
        Region { zones: zones.to_vec(), lists, calls }
    };
    let (first, second) =
        (view(0, &ZONES[..FIRST_REGION_INSTANCES]), view(1, &ZONES[FIRST_REGION_INSTANCES..]));
    // Three processes of five are in the first region.
    let regions = vec![first.clone(), second.clone(), first.clone(), second, first];
    let mut r = Rehearsal::start_in(fleet, cluster, size, regions);
    let addresses = |r: &Rehearsal, of: &dyn Fn(usize) -> bool| -> Vec<SocketAddr> {
        let kept = r.balancers.iter().enumerate().filter(|(i, _)| of(*i));
        kept.map(|(_, at)| r.fleet.address(*at)).collect()
    };
    let monitor = LagMonitor::start(r.cluster.calls.clone(), addresses(&r, &|_| true));
    let all = size.upstreams;
    let mut acknowledged: Vec<String> = Vec::new();
    let mut change = |r: &Rehearsal, n: usize, pace: u64| {
        for _ in 0..n {
            let id = format!("x-{}", acknowledged.len());
            r.register(&id, WAIT_TIMEOUT);
            acknowledged.push(id);
            sleep(Duration::from_millis(pace));
        }
        acknowledged.len()
    };

    let from = Snapshot::take(&r);
    for _ in 0..size.upstream_processes {
        r.more_upstreams(size.upstreams / size.upstream_processes);
    }
    let took = until("all are in the list", WAIT_TIMEOUT, || r.members() == all);
    finish_phase(
        "start from nothing",
        &r,
        &monitor,
        &from,
        &format!("all in the list after {took:.1?}"),
    );

    let (mut quiet, mut changes, mut herd) = Default::default();
    if wanted("quiet") {
        let from = Snapshot::take(&r);
        sleep(QUIET_DURATION);
        quiet = finish_phase("quiet", &r, &monitor, &from, "renewals only");
    }
    if wanted("changes") {
        let from = Snapshot::take(&r);
        change(&r, CHANGE_COUNT, 100);
        changes = finish_phase("single changes", &r, &monitor, &from, "ten a second");
    }
    if wanted("leader") {
        let from = Snapshot::take(&r);
        let leader = r.leader(None, WAIT_TIMEOUT);
        r.fleet.kill(r.cluster.at[leader]);
        let killed = Instant::now();
        r.leader(Some(leader), WAIT_TIMEOUT);
        let led = killed.elapsed();
        change(&r, 20, 20);
        // The killed instance restarts only after every upstream has renewed at another one. Otherwise, asked through
        // the link, it would name the leader by an address that bypasses the link, and upstreams of the second region would
        // stay in the list of the first region during the partition.
        sleep(Duration::from_millis(ttl_ms / 2));
        r.fleet.restart(r.cluster.at[leader]);
        r.fleet.ready(r.cluster.at[leader]);
        sleep(Duration::from_millis(2 * ttl_ms));
        let why = format!("instance {} killed, another led after {led:.2?}", leader + 1);
        finish_phase("a leader killed", &r, &monitor, &from, &why);
    }
    if wanted("zone") {
        let from = Snapshot::take(&r);
        let before = r.members();
        let dropped = r.order("balancers", "{\"do\":\"drop\",\"zone\":\"b\"}");
        let dead = r.order("upstreams", "{\"do\":\"die\",\"zone\":\"b\"}") as usize;
        let gone = until("the zone is gone", WAIT_TIMEOUT, || r.members() == before - dead);
        let back = Instant::now();
        r.order("upstreams", "{\"do\":\"return\",\"zone\":\"b\"}");
        r.order("balancers", "{\"do\":\"return\",\"zone\":\"b\"}");
        until("the zone is back", WAIT_TIMEOUT, || r.members() == before);
        let why = format!(
            "{dead} upstreams and {dropped} balancers; out of the list after {gone:.1?}, in again after {:.1?}",
            back.elapsed()
        );
        finish_phase("a zone gone and back", &r, &monitor, &from, &why);
    }
    if wanted("herd") {
        let from = Snapshot::take(&r);
        r.order("balancers", "{\"do\":\"drop\"}");
        sleep(Duration::from_secs(1));
        let back = Instant::now();
        r.order("balancers", "{\"do\":\"return\"}");
        let newest = r.newest();
        until("all hold a list", WAIT_TIMEOUT, || r.lowest(&r.balancers) >= newest);
        let why = format!("the last holds the list after {:.2?}", back.elapsed());
        herd = finish_phase("all balancers back at once", &r, &monitor, &from, &why);
    }
    if wanted("stopped") {
        let from = Snapshot::take(&r);
        monitor.compare(addresses(&r, &|i| i != 0));
        r.fleet.pause(r.balancers[0]);
        change(&r, CHANGE_COUNT, 100);
        sleep(Duration::from_secs(10));
        r.fleet.resume(r.balancers[0]);
        let (on, newest) = (Instant::now(), r.newest());
        until("it follows", WAIT_TIMEOUT, || r.lowest(&r.balancers) >= newest);
        monitor.compare(addresses(&r, &|_| true));
        let why = format!("15 s; its last balancer level {:.2?} after it went on", on.elapsed());
        finish_phase("a process of balancers stopped", &r, &monitor, &from, &why);
    }
    if wanted("apart") {
        let from = Snapshot::take(&r);
        let before = r.members();
        monitor.compare(addresses(&r, &|i| i % 5 % 2 == 0));
        link.part();
        // The first region has the majority.
        let near = |r: &Rehearsal| {
            (0..FIRST_REGION_INSTANCES)
                .any(|i| look(r.cluster.calls[i], "/admin/health")["leads"] == true)
        };
        let led = until("the first region leads", WAIT_TIMEOUT, || near(&r));
        r.leader(None, WAIT_TIMEOUT);
        change(&r, 20, 20);
        sleep(Duration::from_millis(3 * ttl_ms));
        let first = harness::get(r.cluster.calls[0], "/admin/members", &[]).expect("a list").1;
        let apart = hollowpaddle::discovery::member::Message::read(first.as_bytes());
        let apart = apart.expect("a list").members.len();
        let held = r.counts().iter().map(|c| c.members).min().unwrap_or(0);
        let beyond = size.upstreams / size.upstream_processes
            * (0..size.upstream_processes).filter(|i| i % 5 % 2 != 0).count();
        link.join();
        let joined = Instant::now();
        until("all are in the list", WAIT_TIMEOUT, || r.members() == before + 20);
        let newest = r.newest();
        until("all follow", WAIT_TIMEOUT, || r.lowest(&r.balancers) >= newest);
        let joined = joined.elapsed();
        monitor.compare(addresses(&r, &|_| true));
        let why = format!(
            "{} s, the first region led after {led:.2?}, its list fell to {apart} of {} ({beyond} beyond the link), the \
             least that a balancer held {held}; level {joined:.1?} after they were joined",
            3 * ttl_ms / 1000,
            before + 20,
        );
        finish_phase("regions apart", &r, &monitor, &from, &why);
        assert_eq!(apart, before + 20 - beyond, "the link was passed by");
    }
    let (list, _) = r.level(WAIT_TIMEOUT);
    let ids: HashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
    let lost = acknowledged.iter().filter(|id| !ids.contains(id.as_str())).count();
    let upstreams = ids.iter().filter(|id| id.starts_with("u-")).count();
    println!(
        "acknowledged and not in the list: {lost} of {}; upstreams in the list: {upstreams} of {all}",
        acknowledged.len()
    );
    assert_eq!((lost, upstreams), (0, all));
    SizeResult { members: list.members.len() as f64, quiet, changes, herd }
}

/// Linear least-squares fit: the constant and the slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x / n, b + y / n));
    let over: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - x) * (p.0 - x)).sum();
    let slope = if under > 0.0 { over / under } else { 0.0 };
    (y - slope * x, slope)
}

fn print_slopes(results: &[SizeResult]) {
    println!(
        "\n== slopes over members (least squares), and each size as a multiple of the smallest"
    );
    type Of = fn(&SizeResult) -> f64;
    let rows: [(&str, Of); 9] = [
        ("quiet, core % of a balancer", |s| s.quiet.core.0),
        ("quiet, bytes/s of a balancer", |s| s.quiet.bytes_a_second.0),
        ("quiet, core % of the busiest instance", |s| s.quiet.instance_core),
        ("memory, MB of a balancer", |s| s.quiet.mb.0),
        ("a change, bytes to a balancer", |s| s.changes.bytes / s.changes.revisions.max(1.0)),
        ("a change, us of a balancer's module", |s| {
            s.changes.module_us.0 / s.changes.revisions.max(1.0)
        }),
        ("a change, services told of a balancer", |s| {
            s.changes.services_told / s.changes.revisions.max(1.0)
        }),
        ("a balancer back, bytes", |s| s.herd.bytes),
        ("a balancer back, us of its module", |s| s.herd.module_us.0),
    ];
    for (what, of) in rows {
        let points: Vec<_> = results.iter().map(|s| (s.members, of(s))).collect();
        let (constant, slope) = fit_line(&points);
        let ratios: Vec<String> =
            points.iter().map(|p| format!("{:.2}", p.1 / points[0].1)).collect();
        let values: Vec<String> = points.iter().map(|p| format!("{:.3}", p.1)).collect();
        println!("{what}: {constant:.4} + {slope:.6} x members; {values:?}, {ratios:?}");
    }
}

fn parse_share(text: &str) -> f64 {
    let (over, under) = text.split_once('/').unwrap_or((text, "1"));
    over.parse::<f64>().expect("a size") / under.parse::<f64>().expect("a size")
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let after = |key: &str| {
        let at = args.iter().position(|a| a == key)?;
        args.get(at + 1).cloned()
    };
    let sizes = after("--size").unwrap_or_else(|| "1/16,1/4,1/2,1".to_owned());
    let ttl_ms = after("--ttl-ms").map_or(30_000, |t| t.parse().expect("milliseconds"));
    let spread_ms = after("--spread-ms").map_or(60_000, |t| t.parse().expect("milliseconds"));
    let phases = after("--phases");
    let among = |all: &str, phase: &str| all.split(',').any(|p| p == phase);
    let last = sizes.split(',').count() - 1;
    let run = |(i, size): (usize, &str)| {
        let wanted = |phase: &str| match &phases {
            Some(all) => among(all, phase),
            None => i == last || among(SLOPE_PHASES, phase),
        };
        run_size(parse_share(size), (ttl_ms, spread_ms), &wanted)
    };
    let results: Vec<SizeResult> = sizes.split(',').enumerate().map(run).collect();
    if results.len() > 1 {
        print_slopes(&results);
    }
}
