//! How much a fleet of balancers learns about its upstreams from thin traffic. Runs the policy alone on a virtual clock,
//! for fleets of several sizes with the same upstreams and the same seeded trace. Backs docs/CAPACITY.md, "Thin
//! traffic".
//!
//! ```sh
//! cargo bench --bench thin_traffic                      # one of 210 services: 29 upstreams, 571 requests a second
//! cargo bench --bench thin_traffic -- seed=2 work=50
//! ```
//!
//! Options: `sizes=1,3,30,400` balancers, `upstreams=29`, `rate=571`, `work=20` mean ms of work (exponential),
//! `aim=400` ms, `deadline=2000` ms, `seconds=120`, `seed=1`.

#[allow(dead_code)] // Each bench uses only a part.
mod measure;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hollowpaddle::interface::*;
use hollowpaddle::policy::Balancer;
use measure::number;
use oorandom::Rand64;
use rustc_hash::FxHashMap;

const US_PER_MS: i64 = 1000;
const US_PER_SECOND: i64 = 1000 * US_PER_MS;
/// Network delay in each direction.
const ONE_WAY_DELAY_US: i64 = US_PER_MS / 4;
/// How long a proxy keeps an idle connection to an upstream: 0.75 of `Keepalive`, which is 5 s in examples/proxy.json.
const IDLE_CONNECTION_TIMEOUT_US: i64 = 3750 * US_PER_MS;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival,
    Timer(usize, u64),
    AttemptEnd { balancer: usize, request: u64, attempt: usize, server: u32, late: bool, sent: i64 },
}

struct Scenario {
    balancers: usize,
    upstreams: usize,
    /// Requests per second of all clients together.
    rate: f64,
}

#[derive(Default)]
struct Totals {
    asked: usize,
    served: usize,
    refused: usize,
    failed: usize,
    attempts: usize,
    /// Attempts less than [`IDLE_CONNECTION_TIMEOUT_US`] after the previous one by the same balancer to the same
    /// upstream, so that its connection is still open.
    on_warm_connection: usize,
    /// Last use and number of uses of each pair of balancer and upstream.
    pairs: FxHashMap<(usize, u32), (i64, usize)>,
    max_in_flight: usize,
    times: Vec<f64>,
}

fn simulate(scenario: &Scenario) {
    let (work, seed) = (number("work", 20) as i64 * US_PER_MS, number("seed", 1) as u64);
    let (aim, deadline) =
        (number("aim", 400) as i64 * US_PER_MS, number("deadline", 2000) as i64 * US_PER_MS);
    let end = number("seconds", 120) as i64 * US_PER_SECOND;
    let mut random = Rand64::new(u128::from(seed));
    let list: Vec<Member> = (0..scenario.upstreams as u32)
        .map(|i| Member { identity: u64::from(i).wrapping_mul(7919), ..Member::live(ServerId(i)) })
        .collect();
    let mut heap = BinaryHeap::new();
    let (mut actions, mut totals) = (Vec::new(), Totals::default());
    let mut fleet: Vec<Balancer> = (0..scenario.balancers)
        .map(|b| {
            let mut settings = Settings::basic(vec![Class::safe(Span(aim), Span(deadline))]);
            settings.balancers = scenario.balancers as u32;
            settings.position = b as u32;
            settings.limits.max_attempts = 3;
            settings.limits.second_copies = false;
            Balancer::new(settings, seed * 1000 + b as u64, Time(0)).expect("sound settings")
        })
        .collect();
    let mut busy = vec![0_i64; scenario.upstreams];
    let mut in_flight = vec![0_usize; scenario.upstreams];
    let mut requests: FxHashMap<(usize, u64), (i64, usize)> = FxHashMap::default();
    let mut sequence = 0_u64;
    let mut push =
        |heap: &mut BinaryHeap<Reverse<(i64, u64, SimEvent)>>, at: i64, next: SimEvent| {
            sequence += 1;
            heap.push(Reverse((at, sequence, next)));
        };
    // The balancers get their first list at different times, so that their timers do not fire together.
    for b in 0..scenario.balancers {
        let at = random.rand_range(0..100) as i64 * US_PER_MS;
        push(&mut heap, at, SimEvent::Timer(b, u64::MAX));
    }
    push(&mut heap, 200 * US_PER_MS, SimEvent::Arrival);
    let exponential = |random: &mut Rand64, mean: f64| -(1.0 - random.rand_float()).ln() * mean;
    while let Some(Reverse((now, _, next))) = heap.pop() {
        if now > end {
            break;
        }
        let mut ended = None;
        let (b, event) = match next {
            SimEvent::Arrival => {
                let gap = exponential(&mut random, 1e6 / scenario.rate) as i64;
                push(&mut heap, now + gap, SimEvent::Arrival);
                let b = random.rand_range(0..scenario.balancers as u64) as usize;
                totals.asked += 1;
                let id = totals.asked as u64;
                requests.insert((b, id), (now, 0));
                (b, Event::Request(Request::new(RequestId(id), 0, Time(now + deadline))))
            }
            SimEvent::Timer(b, u64::MAX) => {
                (b, Event::Members { kind: ListKind::Full, list: &list })
            }
            SimEvent::Timer(b, token) => (b, Event::Timer(token)),
            SimEvent::AttemptEnd { balancer, request, attempt, server, late, sent } => {
                in_flight[server as usize] -= 1;
                let outcome = if late { Outcome::Timeout } else { Outcome::Ok };
                if !late {
                    ended = Some((balancer, request));
                }
                let (id, server) = (RequestId(request), ServerId(server));
                let took = Span(now - sent);
                let answer = Answer::new(id, attempt, server, outcome, took, !late);
                (balancer, Event::Answered(answer))
            }
        };
        if let Some((from, _)) = ended.and_then(|key| requests.remove(&key)) {
            totals.served += 1;
            totals.times.push((now - from) as f64 / 1e3);
        }
        fleet[b].handle(Time(now), event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, server, timeout, .. } => {
                    let u = server.0 as usize;
                    let Some((_, attempts)) = requests.get_mut(&(b, request.0)) else { continue };
                    let attempt = *attempts;
                    *attempts += 1;
                    totals.attempts += 1;
                    let pair = totals.pairs.entry((b, server.0)).or_insert((i64::MIN / 2, 0));
                    totals.on_warm_connection +=
                        usize::from(now - pair.0 < IDLE_CONNECTION_TIMEOUT_US);
                    *pair = (now, pair.1 + 1);
                    in_flight[u] += 1;
                    totals.max_in_flight = totals.max_in_flight.max(in_flight[u]);
                    let start = busy[u].max(now + ONE_WAY_DELAY_US);
                    busy[u] = start + exponential(&mut random, work as f64) as i64;
                    let answered = busy[u] + ONE_WAY_DELAY_US;
                    let late = timeout.0 > 0 && answered > now + timeout.0;
                    let at = if late { now + timeout.0 } else { answered };
                    let (request, server) = (request.0, server.0);
                    let sent = now;
                    let ends =
                        SimEvent::AttemptEnd { balancer: b, request, attempt, server, late, sent };
                    push(&mut heap, at, ends);
                }
                Action::Refuse { request, .. } => {
                    requests.remove(&(b, request.0));
                    totals.refused += 1;
                }
                Action::Fail { request } => {
                    requests.remove(&(b, request.0));
                    totals.failed += 1;
                }
                Action::Arm { token, at } => push(&mut heap, at.0, SimEvent::Timer(b, token)),
                _ => {}
            }
        }
    }
    let seconds = end as f64 / 1e6;
    let ask = totals.asked.max(1) as f64;
    totals.times.sort_by(f64::total_cmp);
    let quantile = |q: f64| {
        totals.times.get((totals.times.len() as f64 * q) as usize).copied().unwrap_or(f64::NAN)
    };
    let mut uses: Vec<usize> = totals.pairs.values().map(|p| p.1).collect();
    uses.sort_unstable();
    let pairs = (scenario.balancers * scenario.upstreams) as f64;
    let known = uses.iter().filter(|n| **n >= 8).count() as f64;
    let t_qos = Span(aim);
    let look = |b: &Balancer, u: u32| b.upstream(ServerId(u), t_qos).unwrap_or((0, 0, 0.0));
    let sums: Vec<(u32, f64)> = (0..scenario.upstreams as u32)
        .map(|u| {
            let of = fleet.iter().map(|b| look(b, u));
            of.fold((0, 0.0), |(k, n), (_, k_i, n_i)| {
                (k + k_i, n + n_i / scenario.balancers as f64)
            })
        })
        .collect();
    let k = sums.iter().map(|s| f64::from(s.0)).sum::<f64>() / scenario.upstreams as f64;
    let n = sums.iter().map(|s| s.1).sum::<f64>() / scenario.upstreams as f64;
    let load = scenario.rate * work as f64 / 1e6 / scenario.upstreams as f64;
    println!(
        "{} balancers, {} upstreams, {:.0} requests a second (load {load:.2}), {seconds} s: refused {:.4}, failed {:.4}; \
         p50 {:.1}, p99 {:.1} ms; pairs used {:.4}, with 8 answers or more {:.4}, median of the used {:.2} a minute; \
         connection idle for less than {} s before the attempt {:.3}; most out at one upstream {}; sum of K_i {k:.0}, \
         mean N_i {n:.1}",
        scenario.balancers,
        scenario.upstreams,
        scenario.rate,
        totals.refused as f64 / ask,
        totals.failed as f64 / ask,
        quantile(0.5),
        quantile(0.99),
        uses.len() as f64 / pairs,
        known / pairs,
        uses.get(uses.len() / 2).copied().unwrap_or(0) as f64 * 60.0 / seconds,
        IDLE_CONNECTION_TIMEOUT_US as f64 / 1e6,
        totals.on_warm_connection as f64 / totals.attempts.max(1) as f64,
        totals.max_in_flight,
    );
}

fn main() {
    // `cargo test --benches` runs this without `--bench`.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    println!(
        "work {} ms, aim {} ms, seed {}",
        number("work", 20),
        number("aim", 400),
        number("seed", 1)
    );
    let upstreams = number("upstreams", 29);
    for balancers in measure::sizes(&[1, 3, 30, 400]) {
        simulate(&Scenario { balancers, upstreams, rate: number("rate", 571) as f64 });
    }
}
