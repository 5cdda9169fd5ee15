//! Simulates a complete fleet of proxies that share no state, on one seeded trace, and checks the sum of their sends to
//! cold upstreams. The rule: a cold upstream that receives more than N requests of mean work within `tip_after` is
//! overloaded, where N is `fall_multiple` times its capacity at that time; an excess of 2 * sqrt(N) + 2 is attributed
//! to chance. Also checks how many requests are refused when one trace is shared by fleets of 1 to 300 proxies.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hollowpaddle::interface::*;
use hollowpaddle::policy::Balancer;
use oorandom::Rand64;
use rustc_hash::FxHashMap;

const MS: i64 = 1000;
const S: i64 = 1000 * MS;
/// Service time of a request of mean work on a warm upstream, which serves 12.5 a second.
const SERVICE_TIME: i64 = 80 * MS;
/// An upstream refuses a request that finds more queued work than this.
const QUEUE_LIMIT: i64 = 16 * SERVICE_TIME;
const ROUND_TRIP: i64 = 4 * MS;
const COLD_FROM: f64 = 0.3;
const COLD: i64 = 9 * S;
const FALL_MULTIPLE: f64 = 3.0;
const TIP_AFTER: i64 = 3 * S;
/// Interval between load samples, and so the highest age of a report.
const REPORT_EVERY: i64 = 150 * MS;
/// When the cold upstreams start.
const START: i64 = 10 * S;

#[derive(Clone, Copy)]
struct Scenario {
    proxies: usize,
    upstreams: usize,
    /// How many of them start cold, all at once.
    cold: usize,
    /// How many others are four times slower from that time on.
    slow: usize,
    /// Offered load as a share of the capacity of all upstreams when warm.
    load: f64,
    /// Whether some proxies get several times the mean traffic.
    uneven: bool,
    /// Every n-th proxy is restarted from one second after the start and loses its state.
    restarted: Option<usize>,
    /// Every n-th proxy is notified of the start this much later.
    late: Option<(usize, i64)>,
    length: i64,
    seed: u64,
    /// Aim and worth of each class.
    classes: [(i64, f64); 2],
}

/// A request of a trace. The trace is the same for any number of proxies.
#[derive(Clone, Copy)]
struct TraceRequest {
    at: i64,
    class: usize,
    /// The proxy that gets the request, as a fraction of all proxies.
    proxy: f64,
    /// Service time on a warm upstream.
    work: i64,
}

/// Results of the requests of one class of a trace.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    arrived: u64,
    refused: u64,
    in_time: u64,
}

#[derive(Clone, Copy)]
enum SimEvent {
    Arrival(usize),
    /// The arrival of a request of the trace, by its index.
    TraceRequest(usize),
    /// Upstreams sample their requests in flight; answers report that value until the next sample.
    SampleLoad,
    Timer(usize, u64, u32),
    AttemptEnds {
        proxy: usize,
        incarnation: u32,
        request: u64,
        attempt: usize,
        server: u32,
        outcome: Outcome,
        sent: i64,
    },
    Notified(usize),
    ProxyRestarts(usize),
}

fn settings(scenario: &Scenario, position: usize) -> Settings {
    let class = |effect, (aim, worth)| Class {
        aim: Span(aim),
        deadline: Span(2 * aim),
        worth,
        window: Span(3 * S),
        group: Group::All,
        ..common::class(effect)
    };
    let ordinary = common::settings();
    Settings {
        classes: vec![
            class(Effect::Safe, scenario.classes[0]),
            class(Effect::Unsafe, scenario.classes[1]),
        ],
        balancers: scenario.proxies as u32,
        position: position as u32,
        zones: 1,
        tick: Span(5 * MS),
        limits: Limits { max_attempts: 4, retry_after: false, ..ordinary.limits },
        rules: Rules {
            cold_from: COLD_FROM,
            cold: Span(COLD),
            fall_multiple: FALL_MULTIPLE,
            tip_after: Span(TIP_AFTER),
            ..ordinary.rules
        },
        ..ordinary
    }
}

/// Capacity at `now` of an upstream that started at `started`, as a share of its warm capacity.
fn capacity(started: Option<i64>, now: i64) -> f64 {
    let grown = started.map_or(1.0, |at| (now - at) as f64 / COLD as f64);
    if grown >= 1.0 { 1.0 } else { COLD_FROM + (1.0 - COLD_FROM) * grown.max(0.0) }
}

struct Fleet {
    scenario: Scenario,
    random: Rand64,
    balancers: Vec<Balancer>,
    /// Incremented by each restart; events for an older incarnation are discarded.
    incarnations: Vec<u32>,
    /// Mean time between two requests, by proxy.
    mean_interval: Vec<f64>,
    notified: Vec<bool>,
    free_at: Vec<i64>,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    events: FxHashMap<u64, SimEvent>,
    serial: u64,
    attempts: FxHashMap<(usize, u64), usize>,
    /// Sends to each cold upstream: the time, and whether the proxy had been notified of the start.
    sends: Vec<Vec<(i64, bool)>>,
    served: u64,
    /// The index of a request is its id. Empty if the proxies generate their own arrivals.
    trace: Vec<TraceRequest>,
    counts: [Count; 2],
    /// Requests in flight at each upstream.
    in_flight: Vec<u32>,
    /// Requests in flight at each upstream at the last sample.
    reported: Vec<u32>,
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        Self::with_trace(scenario, Vec::new())
    }

    /// A fleet that runs this trace, or generates random arrivals if the trace is empty.
    fn with_trace(scenario: Scenario, trace: Vec<TraceRequest>) -> Self {
        let mut random = Rand64::new(u128::from(scenario.seed));
        let weight: Vec<f64> = (0..scenario.proxies)
            .map(|_| if scenario.uneven { (random.rand_float() * 2.2).exp() } else { 1.0 })
            .collect();
        let all: f64 = weight.iter().sum();
        let rate = scenario.load * scenario.upstreams as f64 / SERVICE_TIME as f64;
        let mut fleet = Self {
            mean_interval: weight.iter().map(|w| all / w / rate).collect(),
            balancers: Vec::new(),
            incarnations: vec![0; scenario.proxies],
            notified: vec![false; scenario.proxies],
            free_at: vec![0; scenario.upstreams],
            queue: BinaryHeap::new(),
            events: FxHashMap::default(),
            serial: 0,
            attempts: FxHashMap::default(),
            sends: vec![Vec::new(); scenario.cold],
            served: 0,
            trace,
            counts: [Count::default(); 2],
            in_flight: vec![0; scenario.upstreams],
            reported: vec![0; scenario.upstreams],
            scenario,
            random,
        };
        for n in 0..fleet.trace.len() {
            fleet.schedule(fleet.trace[n].at, SimEvent::TraceRequest(n));
        }
        fleet.schedule(0, SimEvent::SampleLoad);
        for proxy in 0..scenario.proxies {
            let balancer = fleet.new_balancer(proxy, 0);
            fleet.balancers.push(balancer);
            fleet.handle(
                0,
                proxy,
                Event::Members { kind: ListKind::Restored, list: &fleet.list(false) },
            );
            if fleet.trace.is_empty() {
                fleet.schedule(0, SimEvent::Arrival(proxy));
            }
            let late = scenario.late.filter(|(n, _)| proxy % n == 0).map_or(0, |(_, late)| late);
            fleet.schedule(START + late + proxy as i64 % 100 * MS, SimEvent::Notified(proxy));
            if scenario.restarted.is_some_and(|n| proxy % n == 0) {
                fleet.schedule(START + S + proxy as i64 * 10 * MS, SimEvent::ProxyRestarts(proxy));
            }
        }
        fleet
    }

    fn new_balancer(&mut self, proxy: usize, now: i64) -> Balancer {
        let seed = self.random.rand_u64();
        Balancer::new(settings(&self.scenario, proxy), seed, Time(now)).expect("settings are valid")
    }

    /// The list of upstreams before or after the cold ones have started.
    fn list(&self, started: bool) -> Vec<Member> {
        (0..self.scenario.upstreams as u32)
            .map(|id| Member {
                id: ServerId(id),
                identity: u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15),
                zone: 0,
                kind: 0,
                cell: 0,
                status: Status::Live,
                weight: 1.0,
                started: (started && (id as usize) < self.scenario.cold).then_some(Time(START)),
            })
            .collect()
    }

    fn schedule(&mut self, at: i64, event: SimEvent) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// An exponentially distributed value with this mean, used for arrival intervals and service times.
    fn draw(&mut self, mean: f64) -> i64 {
        (-(1.0 - self.random.rand_float()).ln() * mean) as i64
    }

    fn handle(&mut self, now: i64, proxy: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[proxy].handle(Time(now), event, &mut actions);
        for action in actions {
            match action {
                Action::Arm { token, at } => {
                    self.schedule(at.0, SimEvent::Timer(proxy, token, self.incarnations[proxy]));
                }
                Action::Send { request, server, timeout, .. } => {
                    self.send(now, proxy, request.0, server.0, timeout.0);
                }
                Action::Refuse { request, .. } if !self.trace.is_empty() => {
                    self.counts[self.trace[request.0 as usize].class].refused += 1;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: i64, proxy: usize, request: u64, server: u32, timeout: i64) {
        let at = server as usize;
        let started = (at < self.scenario.cold && now >= START).then_some(START);
        if started.is_some() {
            self.sends[at].push((now, self.notified[proxy]));
        }
        let slow = now >= START
            && (self.scenario.cold..self.scenario.cold + self.scenario.slow).contains(&at);
        let speed = if slow { 0.25 } else { capacity(started, now) };
        let arrives = now + ROUND_TRIP / 2;
        let (ends, outcome) = if (self.free_at[at] - arrives) as f64 * speed > QUEUE_LIMIT as f64 {
            (now + ROUND_TRIP, Outcome::Full)
        } else {
            let work = match self.trace.get(request as usize) {
                Some(r) => (r.work as f64 / speed) as i64,
                None => self.draw(SERVICE_TIME as f64 / speed),
            };
            let done = self.free_at[at].max(arrives) + work;
            self.free_at[at] = done;
            let ends = done + ROUND_TRIP / 2;
            (ends, if ends - now <= timeout { Outcome::Ok } else { Outcome::Timeout })
        };
        let attempt = self.attempts.entry((proxy, request)).or_insert(0);
        let end = SimEvent::AttemptEnds {
            proxy,
            incarnation: self.incarnations[proxy],
            request,
            attempt: *attempt,
            server,
            outcome,
            sent: now,
        };
        *attempt += 1;
        self.in_flight[at] += 1;
        self.schedule(ends.min(now + timeout), end);
    }

    fn run(&mut self) {
        let mut ids = 0;
        while let Some(Reverse((now, serial))) = self.queue.pop() {
            let Some(event) = self.events.remove(&serial).filter(|_| now <= self.scenario.length)
            else {
                return;
            };
            match event {
                SimEvent::Arrival(proxy) => {
                    let wait = self.draw(self.mean_interval[proxy]);
                    self.schedule(now + wait.max(1), SimEvent::Arrival(proxy));
                    ids += 1;
                    let until = Time(now + 4 * S);
                    let request = Request::new(RequestId(ids), 1, until);
                    self.handle(now, proxy, Event::Request(request));
                }
                SimEvent::TraceRequest(n) => {
                    let r = self.trace[n];
                    self.counts[r.class].arrived += 1;
                    let proxy = (r.proxy * self.scenario.proxies as f64) as usize;
                    let until = Time(now + 2 * self.scenario.classes[r.class].0);
                    let request = Request::new(RequestId(n as u64), r.class, until);
                    self.handle(now, proxy, Event::Request(request));
                }
                SimEvent::SampleLoad => {
                    self.reported.clone_from(&self.in_flight);
                    self.schedule(now + REPORT_EVERY, SimEvent::SampleLoad);
                }
                SimEvent::Timer(proxy, token, incarnation)
                    if incarnation == self.incarnations[proxy] =>
                {
                    self.handle(now, proxy, Event::Timer(token));
                }
                SimEvent::AttemptEnds {
                    proxy,
                    incarnation,
                    request,
                    attempt,
                    server,
                    outcome,
                    sent,
                } if incarnation == self.incarnations[proxy] => {
                    let ok = outcome == Outcome::Ok;
                    self.served += u64::from(ok);
                    self.in_flight[server as usize] -= 1;
                    let traced = self.trace.get(request as usize);
                    if let Some(r) =
                        traced.filter(|r| ok && now - r.at <= self.scenario.classes[r.class].0)
                    {
                        self.counts[r.class].in_time += 1;
                    }
                    let inflight = f64::from(self.reported[server as usize]);
                    let (id, server) = (RequestId(request), ServerId(server));
                    let mut answer =
                        Answer::new(id, attempt, server, outcome, Span(now - sent), ok);
                    answer.report.inflight = (!self.trace.is_empty()).then_some(inflight);
                    self.handle(now, proxy, Event::Answered(answer));
                }
                SimEvent::Timer(..) | SimEvent::AttemptEnds { .. } => {}
                SimEvent::Notified(proxy) => {
                    self.notified[proxy] = true;
                    let list = self.list(true);
                    self.handle(now, proxy, Event::Members { kind: ListKind::Update, list: &list });
                }
                SimEvent::ProxyRestarts(proxy) => {
                    self.incarnations[proxy] += 1;
                    self.balancers[proxy] = self.new_balancer(proxy, now);
                    let list = self.list(self.notified[proxy]);
                    self.handle(
                        now,
                        proxy,
                        Event::Members { kind: ListKind::Restored, list: &list },
                    );
                }
            }
        }
    }

    /// Returns the highest excess of sends over the budget N of a cold upstream, in units of sqrt(N), and the number of
    /// upstreams that would have been overloaded. Counts only windows in which over two thirds of the sends came
    /// from proxies that had been notified of the start.
    fn worst_excess(&self) -> (f64, usize) {
        let (mut worst, mut overloaded_count) = (f64::MIN, 0);
        for sends in &self.sends {
            let (mut from, mut notified, mut overloaded) = (0, 0, false);
            for (i, (at, by_notified)) in sends.iter().enumerate() {
                notified += usize::from(*by_notified);
                while sends[from].0 + TIP_AFTER < *at {
                    notified -= usize::from(sends[from].1);
                    from += 1;
                }
                let got = i + 1 - from;
                if at - START > COLD || 3 * notified <= 2 * got {
                    continue;
                }
                let rate = 1.0 / SERVICE_TIME as f64;
                let n = FALL_MULTIPLE * capacity(Some(START), *at) * rate * TIP_AFTER as f64;
                worst = worst.max((got as f64 - n) / n.sqrt());
                overloaded |= got as f64 > n + 2.0 * n.sqrt() + 2.0;
            }
            overloaded_count += usize::from(overloaded);
        }
        (worst, overloaded_count)
    }
}

#[test]
fn the_fleet_does_not_overload_cold_upstreams() {
    let base = Scenario {
        proxies: 3,
        upstreams: 12,
        cold: 1,
        slow: 0,
        load: 0.7,
        uneven: true,
        restarted: None,
        late: None,
        length: START + COLD + 2 * S,
        seed: 1,
        classes: [(2 * S, 1.0); 2],
    };
    for (proxies, upstreams) in [(3, 12), (20, 24), (30, 24), (300, 120)] {
        let size = Scenario { proxies, upstreams, ..base };
        let cases = [
            ("one cold", size),
            ("one cold, even traffic", Scenario { uneven: false, ..size }),
            ("one cold, overload", Scenario { load: 1.4, ..size }),
            ("half cold", Scenario { cold: upstreams / 2, ..size }),
            ("half cold, overload", Scenario { cold: upstreams / 2, load: 1.2, ..size }),
            ("all cold", Scenario { cold: upstreams, ..size }),
            ("two cold, two thirds slow", Scenario { cold: 2, slow: upstreams * 2 / 3, ..size }),
            (
                "proxies restarted in the cold period",
                Scenario { cold: upstreams / 3, restarted: Some(2), ..size },
            ),
            (
                "proxies notified late",
                Scenario { cold: upstreams / 3, late: Some((4, 3 * S)), ..size },
            ),
        ];
        for (what, case) in cases {
            // A case takes some seconds at the full size, so only the two with the most combined load run there.
            if proxies == 300 && !matches!(what, "all cold" | "two cold, two thirds slow") {
                continue;
            }
            for seed in 1..=if proxies == 300 { 1 } else { 2 } {
                let mut fleet = Fleet::new(Scenario { seed, ..case });
                fleet.run();
                let (worst, overloaded_count) = fleet.worst_excess();
                let sends: usize = fleet.sends.iter().map(Vec::len).sum();
                let what = format!("{proxies} proxies, {what}, seed {seed}");
                println!("{what}: {worst:.1} x sqrt(N) over the budget, {sends} sends");
                assert_eq!(overloaded_count, 0, "{what}: {worst:.1} x sqrt(N) over the budget");
                let each = sends / fleet.sends.len();
                assert!(each >= 5, "{what}: cold upstreams get only {each} sends each");
            }
        }
    }
}

#[test]
fn the_check_detects_an_overloaded_cold_upstream() {
    let scenario = Scenario {
        proxies: 3,
        upstreams: 12,
        cold: 1,
        slow: 0,
        load: 0.7,
        uneven: false,
        restarted: None,
        late: None,
        length: 0,
        seed: 1,
        classes: [(2 * S, 1.0); 2],
    };
    // N is 34 to 60 in the first 3 s; 2 * sqrt(N) + 2 is 13 to 17.
    for (n, by_notified, overloaded_count) in [(60, 60, 1), (40, 40, 0), (60, 39, 0), (60, 43, 1)] {
        let mut fleet = Fleet::new(scenario);
        let sent = |i| (START + i as i64 * 20 * MS, (i * by_notified) % n < by_notified);
        fleet.sends = vec![(0..n).map(sent).collect()];
        assert_eq!(
            fleet.worst_excess().1,
            overloaded_count,
            "{n} sends, {by_notified} of them by notified proxies"
        );
    }
}

/// A random trace at this load, a share of the upstreams' capacity, with two classes: one with short requests and a
/// short aim, one with more worth for its work.
fn random_trace(upstreams: usize, load: f64, length: i64, seed: u64) -> Vec<TraceRequest> {
    let mut random = Rand64::new(u128::from(seed));
    let mut draw = |mean: f64| -(1.0 - random.rand_float()).ln() * mean;
    let every = SERVICE_TIME as f64 / upstreams as f64 / load;
    let (mut at, mut trace) = (0.0, Vec::new());
    while at < length as f64 {
        at += draw(every);
        let class = usize::from(draw(1.0) > 0.5);
        let work = draw(SERVICE_TIME as f64 * [0.6, 1.26][class]) as i64;
        trace.push(TraceRequest { at: at as i64, class, proxy: 1.0 - (-draw(1.0)).exp(), work });
    }
    trace
}

/// Runs a random trace on a fleet of this many proxies and returns the results by class.
fn counts(proxies: usize, load: f64, seed: u64) -> [Count; 2] {
    let upstreams = 120;
    let scenario = Scenario {
        proxies,
        upstreams,
        cold: 0,
        slow: 0,
        load,
        uneven: false,
        restarted: None,
        late: None,
        length: 6 * S,
        seed,
        classes: [(480 * MS, 1.0), (2 * S, 5.0)],
    };
    let mut fleet =
        Fleet::with_trace(scenario, random_trace(upstreams, load, scenario.length, seed));
    fleet.run();
    fleet.counts
}

#[test]
fn a_fleet_of_any_size_refuses_little_below_capacity() {
    // Failure: at a load of 0.65, a single proxy refused 0.003 of the requests, 30 proxies 0.03 and 300 proxies 0.14:
    // each of the 300 was limited to an even share of one or two requests, which random variation alone exceeds.
    for seed in 1..=2 {
        for proxies in [1, 3, 30, 300] {
            let counts = counts(proxies, 0.65, seed);
            println!("{proxies} proxies, seed {seed}: {counts:?}");
            let sum = |of: fn(&Count) -> u64| counts.iter().map(of).sum::<u64>();
            let (refused, all) = (sum(|c| c.refused), sum(|c| c.arrived));
            assert!(all > 5000, "{proxies} proxies, seed {seed}: only {all} arrived");
            assert!(
                10 * refused < all,
                "{proxies} proxies, seed {seed}: {refused} of {all} refused"
            );
        }
    }
}
