//! A whole bank of proxies that share nothing, on one seeded trace: what they send to cold upstreams adds up. The rule
//! (STANDING, and the operators' letter after it): a cold upstream that gets more than N requests of mean work within
//! `tip_after` falls, N being `fall_multiple` times what it can do then; 2 x root of N + 2 more are put down to chance.
//! And what they turn back: one trace, shared by one proxy that sees all and by banks of several sizes.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hollowpaddle::interface::*;
use hollowpaddle::policy::Balancer;
use oorandom::Rand64;
use rustc_hash::FxHashMap;

const MS: i64 = 1000;
const S: i64 = 1000 * MS;
/// What a warm upstream takes for a request of mean work: it serves 12.5 a second.
const WORK: i64 = 80 * MS;
/// One turns away what finds so much work before it.
const ROOM: i64 = 16 * WORK;
/// There and back.
const ROUND_TRIP: i64 = 4 * MS;
const COLD_FROM: f64 = 0.3;
const COLD: i64 = 9 * S;
const MULTIPLE: f64 = 3.0;
const TIP_AFTER: i64 = 3 * S;
/// Reports are up to so old.
const REPORT_EVERY: i64 = 150 * MS;
/// When the cold upstreams have started.
const STARTED: i64 = 10 * S;

#[derive(Clone, Copy)]
struct Play {
    proxies: usize,
    upstreams: usize,
    /// How many of them start anew, all at once.
    cold: usize,
    /// How many others take four times as long from then on.
    slow: usize,
    /// Share of what all upstreams can do, warm, that clients ask for.
    load: f64,
    /// Some proxies get several times the mean.
    uneven: bool,
    /// Every n-th proxy is restarted a second after the start, and knows nothing any more.
    restarted: Option<usize>,
    /// Every n-th proxy hears of the start so much later.
    late: Option<(usize, i64)>,
    length: i64,
    seed: u64,
    /// Aim and worth of each class.
    classes: [(i64, f64); 2],
}

/// A request of a trace, which is the same however many proxies share it.
#[derive(Clone, Copy)]
struct Traced {
    at: i64,
    class: usize,
    /// Which proxy gets it, as a share of them.
    proxy: f64,
    /// What it takes of a warm upstream.
    work: i64,
}

/// What became of the requests of one class of a trace.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    arrived: u64,
    turned_back: u64,
    in_time: u64,
}

#[derive(Clone, Copy)]
enum Next {
    Arrives(usize),
    /// A request of the trace.
    Traced(usize),
    /// Upstreams take stock of what they hold; answers tell that from then on.
    Stock,
    Timer(usize, u64, u32),
    Ends {
        proxy: usize,
        life: u32,
        request: u64,
        attempt: usize,
        server: u32,
        outcome: Outcome,
        sent: i64,
    },
    Told(usize),
    Restarts(usize),
}

fn settings(play: &Play, position: usize) -> Settings {
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
        classes: vec![class(Effect::Safe, play.classes[0]), class(Effect::Unsafe, play.classes[1])],
        balancers: play.proxies as u32,
        position: position as u32,
        zones: 1,
        tick: Span(5 * MS),
        limits: Limits { max_attempts: 4, retry_after: false, ..ordinary.limits },
        rules: Rules {
            cold_from: COLD_FROM,
            cold: Span(COLD),
            fall_multiple: MULTIPLE,
            tip_after: Span(TIP_AFTER),
            ..ordinary.rules
        },
        ..ordinary
    }
}

/// What an upstream that started then can do now, as a share.
fn share(started: Option<i64>, now: i64) -> f64 {
    let grown = started.map_or(1.0, |at| (now - at) as f64 / COLD as f64);
    if grown >= 1.0 { 1.0 } else { COLD_FROM + (1.0 - COLD_FROM) * grown.max(0.0) }
}

struct Bank {
    play: Play,
    random: Rand64,
    balancers: Vec<Balancer>,
    /// Grows with each restart: what was for an older life is for nobody.
    lives: Vec<u32>,
    /// Mean time between two requests.
    every: Vec<f64>,
    told: Vec<bool>,
    free_at: Vec<i64>,
    next: BinaryHeap<Reverse<(i64, u64)>>,
    what: FxHashMap<u64, Next>,
    serial: u64,
    attempts: FxHashMap<(usize, u64), usize>,
    /// Sends to each cold upstream: when, and whether by a proxy that was told.
    sends: Vec<Vec<(i64, bool)>>,
    served: u64,
    /// Request `n` is the n-th of it, where there is one.
    trace: Vec<Traced>,
    counts: [Count; 2],
    /// What each upstream holds, and held when it last took stock.
    held: Vec<u32>,
    reported: Vec<u32>,
}

impl Bank {
    fn new(play: Play) -> Self {
        Self::with_trace(play, Vec::new())
    }

    /// A bank before this trace; before arrivals of its own if that is empty.
    fn with_trace(play: Play, trace: Vec<Traced>) -> Self {
        let mut random = Rand64::new(u128::from(play.seed));
        let weight: Vec<f64> = (0..play.proxies)
            .map(|_| if play.uneven { (random.rand_float() * 2.2).exp() } else { 1.0 })
            .collect();
        let all: f64 = weight.iter().sum();
        let rate = play.load * play.upstreams as f64 / WORK as f64;
        let mut bank = Self {
            every: weight.iter().map(|w| all / w / rate).collect(),
            balancers: Vec::new(),
            lives: vec![0; play.proxies],
            told: vec![false; play.proxies],
            free_at: vec![0; play.upstreams],
            next: BinaryHeap::new(),
            what: FxHashMap::default(),
            serial: 0,
            attempts: FxHashMap::default(),
            sends: vec![Vec::new(); play.cold],
            served: 0,
            trace,
            counts: [Count::default(); 2],
            held: vec![0; play.upstreams],
            reported: vec![0; play.upstreams],
            play,
            random,
        };
        for n in 0..bank.trace.len() {
            bank.later(bank.trace[n].at, Next::Traced(n));
        }
        bank.later(0, Next::Stock);
        for proxy in 0..play.proxies {
            let balancer = bank.fresh(proxy, 0);
            bank.balancers.push(balancer);
            bank.tell(
                0,
                proxy,
                Event::Members { kind: ListKind::Restored, list: &bank.list(false) },
            );
            if bank.trace.is_empty() {
                bank.later(0, Next::Arrives(proxy));
            }
            let late = play.late.filter(|(n, _)| proxy % n == 0).map_or(0, |(_, late)| late);
            bank.later(STARTED + late + proxy as i64 % 100 * MS, Next::Told(proxy));
            if play.restarted.is_some_and(|n| proxy % n == 0) {
                bank.later(STARTED + S + proxy as i64 * 10 * MS, Next::Restarts(proxy));
            }
        }
        bank
    }

    fn fresh(&mut self, proxy: usize, now: i64) -> Balancer {
        let seed = self.random.rand_u64();
        Balancer::new(settings(&self.play, proxy), seed, Time(now)).expect("settings are sound")
    }

    /// The upstreams, as they are before the start or after it.
    fn list(&self, started: bool) -> Vec<Member> {
        (0..self.play.upstreams as u32)
            .map(|id| Member {
                id: ServerId(id),
                identity: u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15),
                zone: 0,
                kind: 0,
                cell: 0,
                status: Status::Live,
                weight: 1.0,
                started: (started && (id as usize) < self.play.cold).then_some(Time(STARTED)),
            })
            .collect()
    }

    fn later(&mut self, at: i64, what: Next) {
        self.serial += 1;
        self.next.push(Reverse((at, self.serial)));
        self.what.insert(self.serial, what);
    }

    /// A draw with this mean, as times between arrivals and work have it.
    fn draw(&mut self, mean: f64) -> i64 {
        (-(1.0 - self.random.rand_float()).ln() * mean) as i64
    }

    fn tell(&mut self, now: i64, proxy: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[proxy].handle(Time(now), event, &mut actions);
        for action in actions {
            match action {
                Action::Arm { token, at } => {
                    self.later(at.0, Next::Timer(proxy, token, self.lives[proxy]));
                }
                Action::Send { request, server, timeout, .. } => {
                    self.send(now, proxy, request.0, server.0, timeout.0);
                }
                Action::Refuse { request, .. } if !self.trace.is_empty() => {
                    self.counts[self.trace[request.0 as usize].class].turned_back += 1;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: i64, proxy: usize, request: u64, server: u32, timeout: i64) {
        let at = server as usize;
        let started = (at < self.play.cold && now >= STARTED).then_some(STARTED);
        if started.is_some() {
            self.sends[at].push((now, self.told[proxy]));
        }
        let slow =
            now >= STARTED && (self.play.cold..self.play.cold + self.play.slow).contains(&at);
        let speed = if slow { 0.25 } else { share(started, now) };
        let comes = now + ROUND_TRIP / 2;
        let (ends, outcome) = if (self.free_at[at] - comes) as f64 * speed > ROOM as f64 {
            (now + ROUND_TRIP, Outcome::Full)
        } else {
            let work = match self.trace.get(request as usize) {
                Some(r) => (r.work as f64 / speed) as i64,
                None => self.draw(WORK as f64 / speed),
            };
            let done = self.free_at[at].max(comes) + work;
            self.free_at[at] = done;
            let ends = done + ROUND_TRIP / 2;
            (ends, if ends - now <= timeout { Outcome::Ok } else { Outcome::Timeout })
        };
        let attempt = self.attempts.entry((proxy, request)).or_insert(0);
        let end = Next::Ends {
            proxy,
            life: self.lives[proxy],
            request,
            attempt: *attempt,
            server,
            outcome,
            sent: now,
        };
        *attempt += 1;
        self.held[at] += 1;
        self.later(ends.min(now + timeout), end);
    }

    fn run(&mut self) {
        let mut ids = 0;
        while let Some(Reverse((now, serial))) = self.next.pop() {
            let Some(what) = self.what.remove(&serial).filter(|_| now <= self.play.length) else {
                return;
            };
            match what {
                Next::Arrives(proxy) => {
                    let wait = self.draw(self.every[proxy]);
                    self.later(now + wait.max(1), Next::Arrives(proxy));
                    ids += 1;
                    let until = Time(now + 4 * S);
                    let request = Request::new(RequestId(ids), 1, until);
                    self.tell(now, proxy, Event::Request(request));
                }
                Next::Traced(n) => {
                    let r = self.trace[n];
                    self.counts[r.class].arrived += 1;
                    let proxy = (r.proxy * self.play.proxies as f64) as usize;
                    let until = Time(now + 2 * self.play.classes[r.class].0);
                    let request = Request::new(RequestId(n as u64), r.class, until);
                    self.tell(now, proxy, Event::Request(request));
                }
                Next::Stock => {
                    self.reported.clone_from(&self.held);
                    self.later(now + REPORT_EVERY, Next::Stock);
                }
                Next::Timer(proxy, token, life) if life == self.lives[proxy] => {
                    self.tell(now, proxy, Event::Timer(token));
                }
                Next::Ends { proxy, life, request, attempt, server, outcome, sent }
                    if life == self.lives[proxy] =>
                {
                    let ok = outcome == Outcome::Ok;
                    self.served += u64::from(ok);
                    self.held[server as usize] -= 1;
                    let traced = self.trace.get(request as usize);
                    if let Some(r) =
                        traced.filter(|r| ok && now - r.at <= self.play.classes[r.class].0)
                    {
                        self.counts[r.class].in_time += 1;
                    }
                    let inflight = f64::from(self.reported[server as usize]);
                    let (id, server) = (RequestId(request), ServerId(server));
                    let mut answer =
                        Answer::new(id, attempt, server, outcome, Span(now - sent), ok);
                    answer.report.inflight = (!self.trace.is_empty()).then_some(inflight);
                    self.tell(now, proxy, Event::Answered(answer));
                }
                Next::Timer(..) | Next::Ends { .. } => {}
                Next::Told(proxy) => {
                    self.told[proxy] = true;
                    let list = self.list(true);
                    self.tell(now, proxy, Event::Members { kind: ListKind::Update, list: &list });
                }
                Next::Restarts(proxy) => {
                    self.lives[proxy] += 1;
                    self.balancers[proxy] = self.fresh(proxy, now);
                    let list = self.list(self.told[proxy]);
                    self.tell(now, proxy, Event::Members { kind: ListKind::Restored, list: &list });
                }
            }
        }
    }

    /// The most that a cold upstream got in excess of its budget, in roots of it; where over two thirds came from
    /// proxies that had been told. And how many upstreams would have fallen.
    fn worst(&self) -> (f64, usize) {
        let (mut worst, mut fallen) = (f64::MIN, 0);
        for sends in &self.sends {
            let (mut from, mut told, mut fell) = (0, 0, false);
            for (i, (at, by_told)) in sends.iter().enumerate() {
                told += usize::from(*by_told);
                while sends[from].0 + TIP_AFTER < *at {
                    told -= usize::from(sends[from].1);
                    from += 1;
                }
                let got = i + 1 - from;
                if at - STARTED > COLD || 3 * told <= 2 * got {
                    continue;
                }
                let rate = 1.0 / WORK as f64;
                let n = MULTIPLE * share(Some(STARTED), *at) * rate * TIP_AFTER as f64;
                worst = worst.max((got as f64 - n) / n.sqrt());
                fell |= got as f64 > n + 2.0 * n.sqrt() + 2.0;
            }
            fallen += usize::from(fell);
        }
        (worst, fallen)
    }
}

#[test]
fn the_whole_bank_together_pushes_no_cold_upstream_over() {
    let base = Play {
        proxies: 3,
        upstreams: 12,
        cold: 1,
        slow: 0,
        load: 0.7,
        uneven: true,
        restarted: None,
        late: None,
        length: STARTED + COLD + 2 * S,
        seed: 1,
        classes: [(2 * S, 1.0); 2],
    };
    for (proxies, upstreams) in [(3, 12), (20, 24), (30, 24), (300, 120)] {
        let size = Play { proxies, upstreams, ..base };
        let cases = [
            ("one", size),
            ("one, even traffic", Play { uneven: false, ..size }),
            ("one, under an overload", Play { load: 1.4, ..size }),
            ("half of them together", Play { cold: upstreams / 2, ..size }),
            ("half of them, under an overload", Play { cold: upstreams / 2, load: 1.2, ..size }),
            ("all of them", Play { cold: upstreams, ..size }),
            ("two, as most others turn slow", Play { cold: 2, slow: upstreams * 2 / 3, ..size }),
            (
                "proxies restarted in the ramp",
                Play { cold: upstreams / 3, restarted: Some(2), ..size },
            ),
            (
                "proxies that hear late",
                Play { cold: upstreams / 3, late: Some((4, 3 * S)), ..size },
            ),
        ];
        for (what, case) in cases {
            // Some seconds each at the full size, so there only those in which most come together.
            if proxies == 300 && !matches!(what, "all of them" | "two, as most others turn slow") {
                continue;
            }
            for seed in 1..=if proxies == 300 { 1 } else { 2 } {
                let mut bank = Bank::new(Play { seed, ..case });
                bank.run();
                let (worst, fallen) = bank.worst();
                let sends: usize = bank.sends.iter().map(Vec::len).sum();
                let what = format!("{proxies} proxies, {what}, seed {seed}");
                println!("{what}: {worst:.1} roots over the budget, {sends} sends");
                assert_eq!(fallen, 0, "{what}: {worst:.1} roots over the budget");
                let each = sends / bank.sends.len();
                assert!(each >= 5, "{what}: cold upstreams get some work, {each} sends each");
            }
        }
    }
}

#[test]
fn the_measure_finds_an_upstream_that_is_pushed_over() {
    let play = Play {
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
    // N is 34 to 60 in the first 3 s; its roots and two more are 13 to 17.
    for (n, by_told, fallen) in [(60, 60, 1), (40, 40, 0), (60, 39, 0), (60, 43, 1)] {
        let mut bank = Bank::new(play);
        let sent = |i| (STARTED + i as i64 * 20 * MS, (i * by_told) % n < by_told);
        bank.sends = vec![(0..n).map(sent).collect()];
        assert_eq!(bank.worst().1, fallen, "{n} sends, {by_told} of them by who was told");
    }
}

/// Requests of two classes, a short one with a short aim and one of more worth for its work, that ask for this
/// share of what the upstreams can do.
fn trace(upstreams: usize, load: f64, length: i64, seed: u64) -> Vec<Traced> {
    let mut random = Rand64::new(u128::from(seed));
    let mut draw = |mean: f64| -(1.0 - random.rand_float()).ln() * mean;
    let every = WORK as f64 / upstreams as f64 / load;
    let (mut at, mut trace) = (0.0, Vec::new());
    while at < length as f64 {
        at += draw(every);
        let class = usize::from(draw(1.0) > 0.5);
        let work = draw(WORK as f64 * [0.6, 1.26][class]) as i64;
        trace.push(Traced { at: at as i64, class, proxy: 1.0 - (-draw(1.0)).exp(), work });
    }
    trace
}

/// What became of the classes of a trace in a bank of so many proxies.
fn counts(proxies: usize, load: f64, seed: u64) -> [Count; 2] {
    let upstreams = 120;
    let play = Play {
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
    let mut bank = Bank::with_trace(play, trace(upstreams, load, play.length, seed));
    bank.run();
    bank.counts
}

#[test]
fn a_bank_of_any_size_turns_little_back_while_the_fleet_has_room() {
    // Failure: at a load of 0.65, one proxy that sees all turned 0.003 back, 30 turned 0.03 back, and 300, bounded
    // by even parts of one or two requests, 0.14: what chance alone put over that.
    for seed in 1..=2 {
        for proxies in [1, 3, 30, 300] {
            let counts = counts(proxies, 0.65, seed);
            println!("{proxies} proxies, seed {seed}: {counts:?}");
            let sum = |of: fn(&Count) -> u64| counts.iter().map(of).sum::<u64>();
            let (back, all) = (sum(|c| c.turned_back), sum(|c| c.arrived));
            assert!(all > 5000, "{proxies} proxies, seed {seed}: only {all} arrived");
            assert!(10 * back < all, "{proxies} proxies, seed {seed}: {back} of {all} turned back");
        }
    }
}
