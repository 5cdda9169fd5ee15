//! The list service as three processes: how long a change takes to reach 300 watches, how long failover takes after the
//! leader is killed, the memory of a watch, and the renewals of a duty. In addition to criterion's results, each bench
//! prints the percentiles required by docs/ROADMAP.md to standard error.

#[allow(dead_code)] // The integration tests use the rest.
#[path = "../tests/harness/mod.rs"]
mod harness;

use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use harness::{Cluster, Fleet, Watch, free, look};

const WATCHES: usize = 300;
const MEMBERS: usize = 1000;
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn seeds() -> String {
    let member = |i| {
        format!(
            "[[members]]\nid = \"m-{i}\"\nhost_port = \"127.0.0.1:{}\"\nphase = \"SERVING\"\n",
            10_000 + i
        )
    };
    (0..MEMBERS).map(member).collect()
}

/// Opens watches spread over the instances. The receiver gets the revision and arrival time of every message.
fn watches(cluster: &Cluster, index: u64) -> Receiver<(u64, Instant)> {
    let (sender, receiver) = channel();
    for i in 0..WATCHES {
        let (at, sender) = (cluster.lists[i % cluster.lists.len()], sender.clone());
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

fn total_rss_kb(fleet: &Fleet, cluster: &Cluster) -> u64 {
    let of = |i: &usize| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", fleet.processes[*i].pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0");
        line.split_whitespace().next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0)
    };
    cluster.at.iter().map(of).sum()
}

fn print_percentiles(what: &str, mut all: Vec<Duration>) {
    if all.is_empty() {
        return; // The bench was filtered out.
    }
    all.sort();
    let at = |p: f64| all[((all.len() - 1) as f64 * p) as usize];
    eprintln!(
        "{what}: p50 {:?}, p99 {:?}, most {:?}, of {}",
        at(0.5),
        at(0.99),
        at(1.0),
        all.len()
    );
}

fn change_to_watches(c: &mut Criterion) {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, &seeds());
    let index = look(cluster.lists[0], "/-/ready")["revision"].as_u64().expect("a revision");
    let before = total_rss_kb(&fleet, &cluster);
    let receiver = watches(&cluster, index);
    thread::sleep(Duration::from_millis(500));
    let after = total_rss_kb(&fleet, &cluster);
    eprintln!("memory a watch: {:.1} kB", after.saturating_sub(before) as f64 / WATCHES as f64);
    let (mut all, mut n) = (Vec::new(), 0);
    c.bench_function("a change reaches 300 watches", |b| {
        b.iter_custom(|times| {
            let mut spent = Duration::ZERO;
            for _ in 0..times {
                n += 1;
                let from = Instant::now();
                let revision = cluster.register(&format!("new-{}", n % 8), free());
                let mut last = from;
                for _ in 0..WATCHES {
                    let (received, at) = receiver.recv_timeout(WAIT_TIMEOUT).expect("a watch");
                    assert_eq!(received, revision, "one line for one change");
                    all.push(at - from);
                    last = last.max(at);
                }
                spent += last - from;
            }
            spent
        });
    });
    print_percentiles("from the call that changes to a watch", all);
}

fn failover(c: &mut Criterion) {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, &seeds());
    let mut all = Vec::new();
    let mut group = c.benchmark_group("failover");
    group.sample_size(10).measurement_time(Duration::from_secs(20));
    group.bench_function("from the writer's death to a watch's first event", |b| {
        b.iter_custom(|times| {
            let mut spent = Duration::ZERO;
            for _ in 0..times {
                let writer = cluster.leader(None);
                let other = (writer + 1) % 3;
                let index =
                    look(cluster.lists[other], "/-/ready")["revision"].as_u64().unwrap_or(0);
                let mut watch = Watch::open(cluster.lists[other], index);
                fleet.kill(cluster.at[writer]);
                let from = Instant::now();
                cluster.register("after", free());
                watch.next(WAIT_TIMEOUT).expect("an event");
                spent += from.elapsed();
                all.push(from.elapsed());
                fleet.restart(cluster.at[writer]);
                fleet.ready(cluster.at[writer]);
                thread::sleep(Duration::from_millis(200));
            }
            spent
        });
    });
    group.finish();
    print_percentiles("failover", all);
}

fn handover(c: &mut Criterion) {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let services = cluster.services();
    let args = |name: &'static str| {
        ["sweep", "--services", &services, "--holder", name, "--ttl-ms", "1000"].map(str::to_owned)
    };
    let mut start = |name: &'static str| {
        let args = args(name);
        fleet.start(name, &args.each_ref().map(String::as_str), &[])
    };
    let (a, b) = (start("a"), start("b"));
    let token = |at| look(at, "/admin/health")["token"].as_u64();
    let mut all = Vec::new();
    let mut group = c.benchmark_group("duty");
    group.sample_size(10).measurement_time(Duration::from_secs(20));
    group.bench_function("from the holder's death to the next token, TTL 1 s", |bench| {
        bench.iter_custom(|times| {
            let mut spent = Duration::ZERO;
            for _ in 0..times {
                let [at_a, at_b] = [fleet.address(a), fleet.address(b)];
                harness::until("one holds", WAIT_TIMEOUT, || {
                    token(at_a).is_some() || token(at_b).is_some()
                });
                let (holder, next) = if token(at_a).is_some() { (a, at_b) } else { (b, at_a) };
                fleet.kill(holder);
                let took =
                    harness::until("the other holds", WAIT_TIMEOUT, || token(next).is_some());
                spent += took;
                all.push(took);
                fleet.restart(holder);
            }
            spent
        });
    });
    group.finish();
    print_percentiles("handover", all);
    let writes = || -> u64 {
        let of = |at| look(at, "/admin/stats")["writes"].as_u64().unwrap_or(0);
        cluster.calls.iter().map(|at| of(*at)).sum()
    };
    let before = (writes(), Instant::now());
    thread::sleep(Duration::from_secs(5));
    let rate = (writes() - before.0) as f64 / before.1.elapsed().as_secs_f64();
    eprintln!(
        "writes a second for one duty, renewals and the refused offers of one more process: {rate:.1}"
    );
}

criterion_group! {
    name = benches;
    config = Criterion::default().without_plots();
    targets = change_to_watches, failover, handover
}
criterion_main!(benches);
