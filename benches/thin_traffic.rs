//! What a bank of balancers can learn from thin traffic: the module alone, on the virtual clock, for banks of several
//! sizes before the same upstreams and the same seeded trace. Backs docs/CAPACITY.md, "Thin traffic".
//!
//! ```sh
//! cargo bench --bench thin_traffic                      # one of 210 services: 29 upstreams, 571 requests a second
//! cargo bench --bench thin_traffic -- seed=2 work=50
//! ```
//!
//! Options: `sizes=1,3,30,400` balancers, `upstreams=29`, `rate=571`, `work=20` mean ms of work (exponential),
//! `aim=400` ms, `deadline=2000` ms, `seconds=120`, `seed=1`.

#[allow(dead_code)] // Each bench uses part of it.
mod measure;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hollowpaddle::interface::*;
use hollowpaddle::policy::Balancer;
use measure::number;
use oorandom::Rand64;
use rustc_hash::FxHashMap;

const MS: i64 = 1000;
const S: i64 = 1000 * MS;
/// There, and back.
const WAY: i64 = MS / 4;
/// How long a proxy keeps an idle connection: 0.75 of `Keepalive`, 5 s in examples/proxy.json.
const KEPT: i64 = 3750 * MS;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrives,
    Timer(usize, u64),
    Ends { balancer: usize, request: u64, attempt: usize, server: u32, late: bool, sent: i64 },
}

struct Play {
    balancers: usize,
    upstreams: usize,
    /// Requests a second of all clients.
    rate: f64,
}

#[derive(Default)]
struct Seen {
    asked: usize,
    served: usize,
    refused: usize,
    failed: usize,
    attempts: usize,
    /// Attempts less than [`KEPT`] after the one before by the same balancer to the same upstream.
    soon: usize,
    /// When each pair was last used, and how often.
    pairs: FxHashMap<(usize, u32), (i64, usize)>,
    most_out: usize,
    times: Vec<f64>,
}

fn play(p: &Play) {
    let (work, seed) = (number("work", 20) as i64 * MS, number("seed", 1) as u64);
    let (aim, deadline) = (number("aim", 400) as i64 * MS, number("deadline", 2000) as i64 * MS);
    let end = number("seconds", 120) as i64 * S;
    let mut random = Rand64::new(u128::from(seed));
    let list: Vec<Member> = (0..p.upstreams as u32)
        .map(|i| Member { identity: u64::from(i).wrapping_mul(7919), ..Member::live(ServerId(i)) })
        .collect();
    let mut heap = BinaryHeap::new();
    let (mut actions, mut seen) = (Vec::new(), Seen::default());
    let mut bank: Vec<Balancer> = (0..p.balancers)
        .map(|b| {
            let mut settings = Settings::basic(vec![Class::safe(Span(aim), Span(deadline))]);
            settings.balancers = p.balancers as u32;
            settings.position = b as u32;
            settings.limits.max_attempts = 3;
            settings.limits.second_copies = false;
            Balancer::new(settings, seed * 1000 + b as u64, Time(0)).expect("sound settings")
        })
        .collect();
    let mut busy = vec![0_i64; p.upstreams];
    let mut out = vec![0_usize; p.upstreams];
    let mut requests: FxHashMap<(usize, u64), (i64, usize)> = FxHashMap::default();
    let mut place = 0_u64;
    let mut push = |heap: &mut BinaryHeap<Reverse<(i64, u64, Next)>>, at: i64, next: Next| {
        place += 1;
        heap.push(Reverse((at, place, next)));
    };
    // The timers of a bank are not in step.
    for b in 0..p.balancers {
        let at = random.rand_range(0..100) as i64 * MS;
        push(&mut heap, at, Next::Timer(b, u64::MAX));
    }
    push(&mut heap, 200 * MS, Next::Arrives);
    let exponential = |random: &mut Rand64, mean: f64| -(1.0 - random.rand_float()).ln() * mean;
    while let Some(Reverse((now, _, next))) = heap.pop() {
        if now > end {
            break;
        }
        let mut ended = None;
        let (b, event) = match next {
            Next::Arrives => {
                let gap = exponential(&mut random, 1e6 / p.rate) as i64;
                push(&mut heap, now + gap, Next::Arrives);
                let b = random.rand_range(0..p.balancers as u64) as usize;
                seen.asked += 1;
                let id = seen.asked as u64;
                requests.insert((b, id), (now, 0));
                (b, Event::Request(Request::new(RequestId(id), 0, Time(now + deadline))))
            }
            Next::Timer(b, u64::MAX) => (b, Event::Members { kind: ListKind::Full, list: &list }),
            Next::Timer(b, token) => (b, Event::Timer(token)),
            Next::Ends { balancer, request, attempt, server, late, sent } => {
                out[server as usize] -= 1;
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
            seen.served += 1;
            seen.times.push((now - from) as f64 / 1e3);
        }
        bank[b].handle(Time(now), event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, server, timeout, .. } => {
                    let u = server.0 as usize;
                    let Some((_, attempts)) = requests.get_mut(&(b, request.0)) else { continue };
                    let attempt = *attempts;
                    *attempts += 1;
                    seen.attempts += 1;
                    let pair = seen.pairs.entry((b, server.0)).or_insert((i64::MIN / 2, 0));
                    seen.soon += usize::from(now - pair.0 < KEPT);
                    *pair = (now, pair.1 + 1);
                    out[u] += 1;
                    seen.most_out = seen.most_out.max(out[u]);
                    let start = busy[u].max(now + WAY);
                    busy[u] = start + exponential(&mut random, work as f64) as i64;
                    let answered = busy[u] + WAY;
                    let late = timeout.0 > 0 && answered > now + timeout.0;
                    let at = if late { now + timeout.0 } else { answered };
                    let (request, server) = (request.0, server.0);
                    let sent = now;
                    let ends = Next::Ends { balancer: b, request, attempt, server, late, sent };
                    push(&mut heap, at, ends);
                }
                Action::Refuse { request, .. } => {
                    requests.remove(&(b, request.0));
                    seen.refused += 1;
                }
                Action::Fail { request } => {
                    requests.remove(&(b, request.0));
                    seen.failed += 1;
                }
                Action::Arm { token, at } => push(&mut heap, at.0, Next::Timer(b, token)),
                _ => {}
            }
        }
    }
    let seconds = end as f64 / 1e6;
    let ask = seen.asked.max(1) as f64;
    seen.times.sort_by(f64::total_cmp);
    let quantile = |q: f64| {
        seen.times.get((seen.times.len() as f64 * q) as usize).copied().unwrap_or(f64::NAN)
    };
    let mut uses: Vec<usize> = seen.pairs.values().map(|p| p.1).collect();
    uses.sort_unstable();
    let pairs = (p.balancers * p.upstreams) as f64;
    let known = uses.iter().filter(|n| **n >= 8).count() as f64;
    let t_qos = Span(aim);
    let look = |b: &Balancer, u: u32| b.upstream(ServerId(u), t_qos).unwrap_or((0, 0, 0.0));
    let sums: Vec<(u32, f64)> = (0..p.upstreams as u32)
        .map(|u| {
            let of = bank.iter().map(|b| look(b, u));
            of.fold((0, 0.0), |(k, n), (_, k_i, n_i)| (k + k_i, n + n_i / p.balancers as f64))
        })
        .collect();
    let k = sums.iter().map(|s| f64::from(s.0)).sum::<f64>() / p.upstreams as f64;
    let n = sums.iter().map(|s| s.1).sum::<f64>() / p.upstreams as f64;
    let load = p.rate * work as f64 / 1e6 / p.upstreams as f64;
    println!(
        "{} balancers, {} upstreams, {:.0} requests a second (load {load:.2}), {seconds} s: refused {:.4}, failed {:.4}; \
         p50 {:.1}, p99 {:.1} ms; pairs used {:.4}, with 8 answers or more {:.4}, median of the used {:.2} a minute; \
         connection idle for less than {} s before the attempt {:.3}; most out at one upstream {}; sum of K_i {k:.0}, \
         mean N_i {n:.1}",
        p.balancers,
        p.upstreams,
        p.rate,
        seen.refused as f64 / ask,
        seen.failed as f64 / ask,
        quantile(0.5),
        quantile(0.99),
        uses.len() as f64 / pairs,
        known / pairs,
        uses.get(uses.len() / 2).copied().unwrap_or(0) as f64 * 60.0 / seconds,
        KEPT as f64 / 1e6,
        seen.soon as f64 / seen.attempts.max(1) as f64,
        seen.most_out,
    );
}

fn main() {
    // `cargo test --benches` starts it without.
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
        play(&Play { balancers, upstreams, rate: number("rate", 571) as f64 });
    }
}
