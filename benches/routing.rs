//! Cost of finding a request's route and of building the route table, by the number of routes. In addition to
//! criterion's results it prints to standard error: each cost as a multiple of the cost at 11 routes in the same run,
//! the hash table look-ups per request, and the growth of resident memory per table (0 if freed memory was reused).

use std::hint::black_box;
use std::time::Instant;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hollowpaddle::routing::{Route, RouteTable};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SIZES: [usize; 3] = [11, 1_100, 11_000];
const SERVICES: usize = 210;
const REQUESTS: usize = 1_000;
const RUNS: usize = 201;

/// Route number `i`. Of every eleven routes, six are for three hosts with two prefixes each, two for wildcard hosts, and
/// three for any host.
fn route(i: usize) -> Route {
    let (group, service) = (i / 11, format!("service-{}", i % SERVICES));
    let (host, prefix) = match i % 11 {
        k @ 0..6 => (format!("h{}.g{group}.example.com", k / 2), format!("/api/v{}", k % 2)),
        k @ 6..8 => (format!("*.w{k}.g{group}.example.com"), "/static".to_owned()),
        k => (String::new(), format!("/any/{group}/{k}")),
    };
    Route { host, prefix, service }
}

/// Requests for random routes of the table; every tenth matches no route.
fn requests(n: usize) -> Vec<(String, String)> {
    let mut random = StdRng::seed_from_u64(28);
    let request = |at| {
        let i = random.gen_range(0..n);
        let route = route(i);
        let host = match route.host.strip_prefix('*') {
            Some(suffix) => format!("Tenant-{at}{suffix}:8080"),
            None if route.host.is_empty() => "other.example.com".to_owned(),
            None => route.host,
        };
        let prefix = if at % 10 == 0 { "/none" } else { &route.prefix };
        (host, format!("{prefix}/orders/{at}?page=2"))
    };
    (0..REQUESTS).map(request).collect()
}

/// Resident memory of this process in KiB, as reported by the kernel.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// The median duration of a run, in microseconds.
fn median(mut run: impl FnMut() -> usize) -> f64 {
    let mut all: Vec<f64> = (0..RUNS)
        .map(|_| {
            let from = Instant::now();
            black_box(run());
            from.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    all.sort_by(f64::total_cmp);
    all[RUNS / 2]
}

fn routing(c: &mut Criterion) {
    let services: Vec<String> = (0..SERVICES).map(|i| format!("service-{i}")).collect();
    let mut rows = Vec::new();
    for n in SIZES {
        let routes: Vec<Route> = (0..n).map(route).collect();
        let requests = requests(n);
        let build = || RouteTable::new(&routes, &services).expect("sound routes");
        // Eight tables, to reduce the effect of memory that the allocator kept from earlier tables.
        let before = resident_kib();
        let tables: Vec<RouteTable> = (0..8).map(|_| build()).collect();
        let kib = resident_kib().saturating_sub(before) as f64 / 8.0;
        let table = &tables[7];
        let find = || requests.iter().filter(|(h, p)| table.find(h, p).is_some()).count();
        assert_eq!(find(), REQUESTS - REQUESTS / 10);
        let counts: usize = requests.iter().map(|(h, p)| table.find_counted(h, p).1).sum();
        c.bench_with_input(BenchmarkId::new("find_1000", n), &n, |b, _| b.iter(find));
        c.bench_with_input(BenchmarkId::new("build", n), &n, |b, _| b.iter(build));
        let look_ups = counts as f64 / REQUESTS as f64;
        rows.push((
            n,
            median(find) / REQUESTS as f64 * 1e3,
            median(|| build().len()),
            look_ups,
            kib,
        ));
    }
    let (_, find_first, build_first, ..) = rows[0];
    for (n, find, build, look_ups, kib) in rows {
        eprintln!(
            "{n} routes: find {find:.0} ns ({:.2} times that at 11), {look_ups:.2} look-ups; build {build:.0} us ({:.0} \
             times that at 11); {kib:.0} KiB more resident",
            find / find_first,
            build / build_first
        );
    }
}

criterion_group!(benches, routing);
criterion_main!(benches);
