//! Cost of list updates in a proxy by the number of members: one changed entry, and a full list. In addition to
//! criterion's results it prints, to standard error, each cost as a multiple of the cost at 64 members in the same run.
//! Multiples of 4 and 16 mean that the cost is proportional to the fleet.

use std::hint::black_box;
use std::time::Instant;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hollowpaddle::discovery::member::Message;
use hollowpaddle::discovery::objects::Objects;
use hollowpaddle::interface::{
    Class, Event, ListKind, Member, ServerId, Settings, Span, Status, Time,
};
use hollowpaddle::policy::Balancer;

const SIZES: [u32; 3] = [64, 256, 1024];
const RUNS: usize = 201;

fn full_list_json(n: u32) -> Vec<u8> {
    let entry = |i| {
        serde_json::json!({"id": format!("s-{i:08x}"), "host_port": format!("10.1.{}.{}:8081", i / 250, i % 250),
            "locality": "a", "flavor": "m2", "cell": i / 8, "phase": "SERVING", "size": 1.0, "up_since_ms": 0})
    };
    let members: Vec<_> = (0..n).map(entry).collect();
    let list = serde_json::json!({"revision": 41, "complete": true, "members": members});
    serde_json::to_vec_pretty(&list).unwrap_or_default()
}

/// Parses a list that arrives in chunks, as from a socket, and returns the number of members.
fn read(bytes: &[u8]) -> usize {
    let mut objects = Objects::new(4 << 20);
    for piece in bytes.chunks(8 << 10) {
        objects.add(piece);
        if let Ok(Some(object)) = objects.take() {
            return Message::read(&object).map_or(0, |m| m.members.len());
        }
    }
    0
}

/// A policy with a fleet of `n` upstreams that receives list updates.
struct PolicyHarness {
    balancer: Balancer,
    fleet: Vec<Member>,
    now: i64,
    actions: Vec<hollowpaddle::interface::Action>,
}

impl PolicyHarness {
    fn new(n: u32) -> Self {
        let settings = Settings::basic(vec![Class::safe(Span(400_000), Span(2_000_000))]);
        let balancer = Balancer::new(settings, 7, Time(0)).expect("sound settings");
        let fleet = (0..n).map(|i| Member::live(ServerId(i))).collect();
        let mut harness = Self { balancer, fleet, now: 0, actions: Vec::new() };
        harness.apply_full_list();
        harness
    }

    fn apply_update(&mut self, kind: ListKind, list: &[Member]) -> usize {
        self.now += 1000;
        self.actions.clear();
        self.balancer.handle(Time(self.now), Event::Members { kind, list }, &mut self.actions);
        self.actions.len()
    }

    fn apply_full_list(&mut self) -> usize {
        let list = std::mem::take(&mut self.fleet);
        let actions = self.apply_update(ListKind::Full, &list);
        self.fleet = list;
        actions
    }

    fn change_member(&mut self) -> usize {
        let mut one = self.fleet[0];
        one.status = if one.status == Status::Live { Status::Draining } else { Status::Live };
        self.fleet[0] = one;
        self.apply_update(ListKind::Update, &[one])
    }
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

fn list_updates(c: &mut Criterion) {
    let mut medians = Vec::new();
    for n in SIZES {
        let bytes = full_list_json(n);
        let (mut lists, mut changes) = (PolicyHarness::new(n), PolicyHarness::new(n));
        assert_eq!(read(&bytes), n as usize);
        c.bench_with_input(BenchmarkId::new("read_whole", n), &n, |b, _| b.iter(|| read(&bytes)));
        c.bench_with_input(BenchmarkId::new("told_whole", n), &n, |b, _| {
            b.iter(|| lists.apply_full_list())
        });
        c.bench_with_input(BenchmarkId::new("told_change", n), &n, |b, _| {
            b.iter(|| changes.change_member())
        });
        medians.push([
            median(|| read(&bytes)),
            median(|| lists.apply_full_list()),
            median(|| changes.change_member()),
        ]);
    }
    for (i, what) in
        ["a whole list read", "a whole list told", "one change told"].iter().enumerate()
    {
        let of: Vec<String> =
            medians.iter().map(|m| format!("{:.1}", m[i] / medians[0][i])).collect();
        let most = medians[SIZES.len() - 1][i];
        eprintln!(
            "{what}: {} times that at 64, for {SIZES:?} members; {most:.0} us at the last",
            of.join(", ")
        );
    }
}

criterion_group!(benches, list_updates);
criterion_main!(benches);
