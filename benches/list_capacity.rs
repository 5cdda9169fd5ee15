//! Cost of the list service's instances by the number of members, and the cost of a sweep and of an upstream that
//! registers. Measures the slopes in docs/CAPACITY.md with five instances as processes of the release binary and 400
//! watches, over loopback.
//!
//! ```sh
//! cargo bench --bench list_capacity -- instances        # registration, idle, renewals, changes, full lists, memory
//! cargo bench --bench list_capacity -- callers          # the sweep and an upstream that registers
//! ```
//!
//! Further options: `sizes=64,1024,6100` members, `watches=400`, `renewals=2000`.

#[allow(dead_code)] // The integration tests use the rest.
#[path = "../tests/harness/mod.rs"]
mod harness;
#[allow(dead_code)] // Each bench uses only a part.
mod measure;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use harness::{Cluster, Fleet, Watch, get, look, post};
use measure::{Relay, cpu_seconds, memory_mb, number, print_scaling, run_in_parallel};
use serde_json::json;

const SIZES: [usize; 3] = [64, 1024, 6100];
const INSTANCES: usize = 5;
const ZONES: usize = 5;
const CONCURRENT_CALLERS: usize = 16;
/// The longest TTL allowed, so that no registration expires during the measurement.
const TTL_MS: u64 = 3_600_000;

fn write(leader: SocketAddr, path: &str, body: &str) {
    let answer = post(leader, path, body);
    assert_eq!(answer.as_ref().map(|a| a.0), Some(200), "{path} {body}: {answer:?}");
}

fn id(i: usize) -> String {
    format!("s-{i:08x}")
}

fn register(leader: SocketAddr, i: usize) {
    let zone = format!("zone-{}", i % ZONES);
    let member = json!({"id": id(i), "host_port": format!("10.1.{}.{}:8081", i / 250, i % 250),
        "locality": zone, "flavor": "m", "phase": "SERVING"});
    write(leader, "/admin/members", &json!({"member": member, "ttl_ms": TTL_MS}).to_string());
}

fn set_phase(leader: SocketAddr, i: usize, phase: &str) {
    let body = json!({"id": id(i), "phase": phase}).to_string();
    write(leader, "/admin/members/phase", &body);
}

fn renew(leader: SocketAddr, i: usize) {
    write(leader, "/admin/members/renew", &json!({"id": id(i)}).to_string());
}

/// Processor time of the instances.
struct CpuUsage {
    pids: Vec<u32>,
    leader: usize,
    last: Vec<f64>,
}

impl CpuUsage {
    /// Processor time since the last call, in seconds: the leader's, and the mean of the followers.
    fn since_last(&mut self) -> [f64; 2] {
        let now: Vec<f64> = self.pids.iter().map(|p| cpu_seconds(*p)).collect();
        let spent: Vec<f64> = now.iter().zip(&self.last).map(|(now, last)| now - last).collect();
        self.last = now;
        let led = spent[self.leader];
        [led, (spent.iter().sum::<f64>() - led) / (spent.len() - 1) as f64]
    }
}

/// Opens `n` watches spread over these addresses. The receiver gets the revision and arrival time of every message.
fn watches(lists: &[SocketAddr], n: usize, index: u64) -> Receiver<(u64, Instant)> {
    let (sender, receiver) = channel();
    for i in 0..n {
        let (at, sender) = (lists[i % lists.len()], sender.clone());
        thread::spawn(move || {
            let mut watch = Watch::open(at, index);
            while let Some(message) = watch.next(Duration::from_secs(60)) {
                let revision = message["revision"].as_u64().unwrap_or_default();
                if sender.send((revision, Instant::now())).is_err() {
                    return;
                }
            }
        });
    }
    receiver
}

/// Waits until all `n` watches have received this revision and returns when the last one did.
fn wait_for_revision(
    receiver: &Receiver<(u64, Instant)>,
    n: usize,
    revision: u64,
) -> Option<Instant> {
    let mut up_to_date = 0;
    let mut last = None;
    while up_to_date < n {
        let (received, at) = receiver.recv_timeout(Duration::from_secs(20)).ok()?;
        if received >= revision {
            (up_to_date, last) = (up_to_date + 1, Some(at));
        }
    }
    last
}

/// Reads one full list from a new watch and returns its size in bytes.
fn read_full_list(at: SocketAddr) -> usize {
    let Ok(mut stream) = TcpStream::connect(at) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let _ = stream.write_all(b"GET /api/targets?stream=1&index=0 HTTP/1.1\r\nHost: a\r\n\r\n");
    let (mut buffer, mut all, mut tail) = ([0; 1 << 16], 0, Vec::new());
    while let Ok(n) = stream.read(&mut buffer) {
        all += n;
        tail.extend_from_slice(&buffer[..n]);
        tail.drain(..tail.len().saturating_sub(16));
        if n == 0 || tail.windows(4).any(|w| w == b"}]}\n") {
            break;
        }
    }
    all
}

/// A measurement: its label, its unit, and its value at each size.
type Row = (&'static str, &'static str, Vec<(f64, f64)>);

fn instances(sizes: &[usize]) {
    let watchers = number("watches", 400);
    let mut table: Vec<Row> = Vec::new();
    for &n in sizes {
        let mut put = |what: &'static str, unit: &'static str, y: f64| match table
            .iter_mut()
            .find(|(w, ..)| *w == what)
        {
            Some((_, _, points)) => points.push((n as f64, y)),
            None => table.push((what, unit, vec![(n as f64, y)])),
        };
        let mut fleet = Fleet::default();
        let cluster = Cluster::start(&mut fleet, INSTANCES, "");
        let leader = cluster.leader(None);
        let at = cluster.calls[leader];
        let pids: Vec<u32> = cluster.at.iter().map(|i| fleet.processes[*i].pid()).collect();
        let last_spent = pids.iter().map(|p| cpu_seconds(*p)).collect();
        let mut spent = CpuUsage { pids: pids.clone(), leader, last: last_spent };
        let rss = |line| {
            let all: Vec<f64> = pids.iter().map(|p| memory_mb(*p, line)).collect();
            let led = all[leader];
            [led, (all.iter().sum::<f64>() - led) / (all.len() - 1) as f64]
        };
        let revision = || look(at, "/admin/stats")["revision"].as_u64().unwrap_or(0);
        let per = |spent: [f64; 2], count: usize| spent.map(|s| s * 1e6 / count as f64);

        let took = run_in_parallel(CONCURRENT_CALLERS, n, |i| register(at, i));
        let [led, followed] = per(spent.since_last(), n);
        put("a registration, leader", "us", led);
        put("a registration, follower", "us", followed);
        put("registrations by 16 callers", "a second", n as f64 / took.as_secs_f64());
        put("memory, leader", "MB", rss("VmRSS")[0]);
        put("memory, follower", "MB", rss("VmRSS")[1]);

        sleep(Duration::from_secs(1));
        spent.since_last();
        sleep(Duration::from_secs(4));
        let [led, followed] = spent.since_last();
        put("quiet, leader", "% of a core", led / 4.0 * 100.0);
        put("quiet, follower", "% of a core", followed / 4.0 * 100.0);

        // Each renewal uses a new connection, as members do.
        let renewals = number("renewals", 2000);
        spent.since_last();
        let took = run_in_parallel(CONCURRENT_CALLERS, renewals, |i| renew(at, i % n));
        let [led, followed] = per(spent.since_last(), renewals);
        put("a renewal, leader", "us", led);
        put("a renewal, follower", "us", followed);
        put("renewals by 16 callers", "a second", renewals as f64 / took.as_secs_f64());
        let relay = Relay::to(at);
        (0..20).for_each(|i| renew(relay.address, i));
        let (out, back) = relay.bytes();
        put("a renewal, both ways", "B", (out + back) as f64 / 20.0);

        let before = rss("VmRSS");
        let relay = Relay::to(cluster.lists[leader]);
        let receiver = watches(&cluster.lists, watchers - 1, revision());
        let one = watches(&[relay.address], 1, revision());
        sleep(Duration::from_millis(1500));
        let after = rss("VmRSS");
        let each = watchers as f64 / INSTANCES as f64;
        put("a watch, memory at a follower", "kB", (after[1] - before[1]) * 1e3 / each);
        let bytes = relay.bytes().1;
        spent.since_last();
        sleep(Duration::from_secs(6));
        let [led, followed] = spent.since_last();
        put("quiet with 400 watches, leader", "% of a core", led / 6.0 * 100.0);
        put("quiet with 400 watches, follower", "% of a core", followed / 6.0 * 100.0);
        put("a quiet watch", "B/s", (relay.bytes().1 - bytes) as f64 / 6.0);

        // Single changes in sequence: their cost and the time until the last watch receives each.
        const CHANGES: usize = 40;
        let (mut waits, bytes) = (Vec::new(), relay.bytes().1);
        spent.since_last();
        let begin = Instant::now();
        for i in 0..CHANGES {
            let from = Instant::now();
            set_phase(at, i / 2, if i % 2 == 0 { "DRAINING" } else { "SERVING" });
            let reached = wait_for_revision(&receiver, watchers - 1, revision());
            waits.push(reached.map_or(f64::NAN, |r| (r - from).as_secs_f64() * 1e3));
            sleep(Duration::from_millis(10));
        }
        let idle = begin.elapsed().as_secs_f64() / 6.0;
        let [spent_led, spent_followed] = spent.since_last();
        let busy = [spent_led - led * idle, spent_followed - followed * idle];
        waits.sort_by(f64::total_cmp);
        put("a change to 400 watches, leader", "ms", busy[0] * 1e3 / CHANGES as f64);
        put("a change to 400 watches, follower", "ms", busy[1] * 1e3 / CHANGES as f64);
        put("a change at the last watch, median", "ms", waits[CHANGES / 2]);
        put("a change at the last watch, most", "ms", waits[CHANGES - 1]);
        put("a change", "B a watch", (relay.bytes().1 - bytes) as f64 / CHANGES as f64);

        // A zone (a fifth of the members) drains, written as fast as the leader accepts it.
        let (zone, bytes) = (n / ZONES, relay.bytes().1);
        spent.since_last();
        let from = Instant::now();
        let took =
            run_in_parallel(CONCURRENT_CALLERS, zone, |i| set_phase(at, ZONES * i + 2, "DRAINING"));
        let reached = wait_for_revision(&receiver, watchers - 1, revision());
        let [led, followed] = spent.since_last();
        put("a zone's changes, written in", "s", took.as_secs_f64());
        let reached = reached.map_or(f64::NAN, |r| (r - from).as_secs_f64());
        put("a zone's changes, at the last watch", "s", reached);
        put("a zone's changes, leader", "s", led);
        put("a zone's changes, follower", "s", followed);
        sleep(Duration::from_millis(200));
        put("a zone's changes", "kB a watch", (relay.bytes().1 - bytes) as f64 / 1e3);
        drop((receiver, one));

        // All watchers request the full list at the same time.
        spent.since_last();
        let from = Instant::now();
        let bytes: usize = thread::scope(|s| {
            let ask = |i: usize| read_full_list(cluster.lists[i % INSTANCES]);
            let all: Vec<_> = (0..watchers).map(|i| s.spawn(move || ask(i))).collect();
            all.into_iter().map(|t| t.join().unwrap_or(0)).sum()
        });
        let took = from.elapsed().as_secs_f64();
        let [_, followed] = spent.since_last();
        put("400 whole lists, to the last", "s", took);
        put("400 whole lists", "MB", bytes as f64 / 1e6);
        put("a whole list, follower", "ms", followed * 1e3 / each);
        put("memory, leader, at most", "MB", rss("VmHWM")[0]);
        put("memory, follower, at most", "MB", rss("VmHWM")[1]);

        // The members endpoint that the sweep reads.
        let (other, reads) = ((leader + 1) % INSTANCES, 20);
        let before = cpu_seconds(pids[other]);
        let read = |_| get(cluster.calls[other], "/admin/members", &[]).map_or(0, |a| a.1.len());
        let most = (0..reads).map(read).max().unwrap_or(0);
        let each = (cpu_seconds(pids[other]) - before) * 1e3 / reads as f64;
        put("the members read, an instance", "ms", each);
        put("the members read", "kB", most as f64 / 1e3);
    }
    for (what, unit, points) in &table {
        print_scaling(what, unit, points);
    }
}

fn callers(sizes: &[usize]) {
    const SECONDS: u64 = 9;
    let mut sweeps: [Vec<(f64, f64)>; 3] = Default::default();
    for &n in sizes {
        let mut fleet = Fleet::default();
        let cluster = Cluster::start(&mut fleet, 1, "");
        run_in_parallel(CONCURRENT_CALLERS, n, |i| register(cluster.calls[0], i));
        let relay = Relay::to(cluster.calls[0]);
        let services = relay.address.to_string();
        let sweep = fleet.start("sweep", &["sweep", "--services", &services, "--holder", "a"], &[]);
        let upstream = Relay::to(cluster.calls[0]);
        let services = upstream.address.to_string();
        let stand_in = ["stand-in", "--name", "u-1", "--services", &services];
        let stand_in = fleet.start("u-1", &stand_in, &[]);
        sleep(Duration::from_secs(2));
        let pids = [sweep, stand_in].map(|i| fleet.processes[i].pid());
        let before = (pids.map(cpu_seconds), relay.bytes(), upstream.bytes());
        let connections = |r: &Relay| r.connections.load(std::sync::atomic::Ordering::Relaxed);
        let opened = (connections(&relay), connections(&upstream));
        sleep(Duration::from_secs(SECONDS));
        let seconds = SECONDS as f64;
        let rate =
            |now: (u64, u64), then: (u64, u64)| (now.0 + now.1 - then.0 - then.1) as f64 / seconds;
        let cpu = (cpu_seconds(pids[0]) - before.0[0]) / seconds * 100.0;
        sweeps[0].push((n as f64, cpu));
        sweeps[1].push((n as f64, rate(relay.bytes(), before.1) / 1e3));
        sweeps[2].push((n as f64, memory_mb(pids[0], "VmRSS")));
        println!(
            "{n} members: sweep {:.1} calls a second; an upstream that registers, TTL 10 s: {:.4}% of a core, {:.0} B/s, \
             {:.2} calls a second, {:.1} MB",
            (connections(&relay) - opened.0) as f64 / seconds,
            (cpu_seconds(pids[1]) - before.0[1]) / seconds * 100.0,
            rate(upstream.bytes(), before.2),
            (connections(&upstream) - opened.1) as f64 / seconds,
            memory_mb(pids[1], "VmRSS")
        );
    }
    print_scaling("sweep", "% of a core", &sweeps[0]);
    print_scaling("sweep, both ways", "kB/s", &sweeps[1]);
    print_scaling("sweep, memory", "MB", &sweeps[2]);
}

fn main() {
    // `cargo test --benches` runs this without `--bench`.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let sizes = measure::sizes(&SIZES);
    println!("members {sizes:?}, {INSTANCES} instances, {} watches", number("watches", 400));
    if measure::is_selected("instances") {
        instances(&sizes);
    }
    if measure::is_selected("callers") {
        callers(&sizes);
    }
}
