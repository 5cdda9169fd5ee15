//! Which faults come when: drawn from the seed before a run begins.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

/// How long faults come for.
pub const FAULTS: Duration = Duration::from_millis(5500);
/// Between SIGTERM and SIGKILL: the longest deadline and 0.7 s, the page's earliest.
pub const KILL_AFTER: Duration = Duration::from_millis(1200 + 700);
/// A proxy is held for so long at most while it ends (STANDING), and at other times.
const HELD_AT_END: u64 = 150;
const HELD: u64 = 300;

/// One step of a run, on a process by its place among those of its kind.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    HoldProxy(usize, Duration),
    HoldUpstream(usize, Duration),
    KillUpstream(usize),
    RestartUpstream(usize),
    HoldList(usize, Duration),
    KillList(usize),
    RestartList(usize),
    HangUp(usize),
    /// Another process begins at the proxy's address, to take over.
    Succeed(usize),
    Terminate(usize),
    /// SIGTERM once more.
    TerminateAgain(usize),
    Kill(usize),
    Drain(usize),
    Crowd(usize),
}

/// What a run has.
pub struct Size {
    pub proxies: usize,
    pub upstreams: usize,
    pub lists: usize,
}

/// What is drawn for a run, beside its steps.
pub struct Plan {
    /// In the order of their time.
    pub steps: Vec<(Duration, Step)>,
    /// The kinds of calls that fail at each proxy.
    pub calls: Vec<&'static str>,
    pub crowd: bool,
    /// Whether the list service fails too; then its news may come late.
    pub lists_fail: bool,
}

const CALLS: [&str; 8] = [
    "",
    "",
    "interrupt",
    "short",
    "accept,connect,socket,wait",
    "clock",
    "interrupt,short,wait",
    "accept,clock,disk,interrupt,short",
];

/// Draws the plan of a run.
pub fn plan(size: &Size, random: &mut StdRng) -> Plan {
    let calls = (0..size.proxies).map(|_| CALLS[random.gen_range(0..CALLS.len())]).collect();
    let (crowd, lists_fail) = (random.gen_range(0..3) == 0, random.gen_bool(0.5));
    let mut steps = Steps { steps: Vec::new(), random };
    for proxy in 0..size.proxies {
        steps.proxy(proxy);
    }
    for _ in 0..size.upstreams {
        let upstream = steps.random.gen_range(0..size.upstreams);
        steps.upstream(upstream);
    }
    if lists_fail {
        for _ in 0..4 {
            let list = steps.random.gen_range(0..size.lists);
            steps.list(list);
        }
    }
    for upstream in 0..size.upstreams / 8 {
        let at = steps.at(500, 4000);
        steps.add(at, Step::Drain(upstream));
    }
    if crowd {
        let (at, proxy) = (steps.at(200, 3000), steps.random.gen_range(0..size.proxies));
        steps.add(at, Step::Crowd(proxy));
    }
    let mut steps = steps.steps;
    steps.sort_by_key(|(at, _)| *at);
    Plan { steps, calls, crowd, lists_fail }
}

struct Steps<'a> {
    steps: Vec<(Duration, Step)>,
    random: &'a mut StdRng,
}

impl Steps<'_> {
    fn at(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.random.gen_range(from_ms..to_ms))
    }

    fn add(&mut self, at: Duration, step: Step) {
        self.steps.push((at, step));
    }

    /// Holds a process from some moment of this span on.
    fn hold(&mut self, (from, to): (u64, u64), most: u64, hold: impl Fn(Duration) -> Step) {
        let (at, held) = (self.at(from, to), self.at(60, most + 1));
        self.add(at, hold(held));
    }

    /// A proxy is held now and then, hears signals in a series, and ends, with a successor or without.
    fn proxy(&mut self, proxy: usize) {
        let end = self.at(1800, 3400);
        let end_ms = end.as_millis() as u64;
        let hold = |held| Step::HoldProxy(proxy, held);
        for from in (100..end_ms - 500).step_by(600) {
            self.hold((from, from + 100), HELD, hold);
        }
        // Across the signal, and across the kill.
        self.hold((end_ms - 100, end_ms), HELD_AT_END, hold);
        let kill = end + KILL_AFTER;
        let kill_ms = kill.as_millis() as u64;
        self.hold((end_ms + 300, kill_ms - 600), HELD_AT_END, hold);
        self.hold((kill_ms - 300, kill_ms - HELD_AT_END), HELD_AT_END, hold);
        if self.random.gen_bool(0.4) {
            self.add(end - Duration::from_millis(400), Step::Succeed(proxy));
        }
        for _ in 0..3 {
            let at = self.at(200, kill_ms);
            self.add(at, Step::HangUp(proxy));
        }
        self.add(end, Step::Terminate(proxy));
        let again = end + self.at(1, 900);
        self.add(again, Step::TerminateAgain(proxy));
        self.add(kill, Step::Kill(proxy));
    }

    fn upstream(&mut self, upstream: usize) {
        let last = FAULTS.as_millis() as u64;
        if self.random.gen_bool(0.6) {
            self.hold((100, last), 2000, |held| Step::HoldUpstream(upstream, held));
        } else {
            let (at, down) = (self.at(100, last), self.at(50, 1500));
            self.add(at, Step::KillUpstream(upstream));
            self.add(at + down, Step::RestartUpstream(upstream));
        }
    }

    fn list(&mut self, list: usize) {
        let last = FAULTS.as_millis() as u64;
        if self.random.gen_bool(0.5) {
            self.hold((100, last), 1500, |held| Step::HoldList(list, held));
        } else {
            let (at, down) = (self.at(100, last), self.at(50, 1500));
            self.add(at, Step::KillList(list));
            self.add(at + down, Step::RestartList(list));
        }
    }
}
