//! The fault schedule of a run, drawn from its seed before the run starts.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

/// How long faults are injected.
pub const FAULT_PHASE: Duration = Duration::from_millis(5500);
/// Time from SIGTERM to SIGKILL: the longest deadline plus 0.7 s, the earliest that the specification allows.
pub const KILL_AFTER: Duration = Duration::from_millis(1200 + 700);
/// Longest stall of a proxy while it shuts down (STANDING).
const MAX_STALL_IN_SHUTDOWN_MS: u64 = 150;
/// Longest stall of a proxy at other times.
const MAX_STALL_MS: u64 = 300;

/// One step of a run; the number is the index of the process among those of its kind.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    StallProxy(usize, Duration),
    StallUpstream(usize, Duration),
    KillUpstream(usize),
    RestartUpstream(usize),
    StallList(usize, Duration),
    KillList(usize),
    RestartList(usize),
    SendSighup(usize),
    /// Starts a successor process at the proxy's address.
    StartSuccessor(usize),
    Terminate(usize),
    /// Sends SIGTERM a second time.
    TerminateAgain(usize),
    Kill(usize),
    Drain(usize),
    FloodConnections(usize),
}

/// The number of processes of each kind in a run.
pub struct Size {
    pub proxies: usize,
    pub upstreams: usize,
    pub lists: usize,
}

/// The schedule of a run and its other random choices.
pub struct Plan {
    /// Ordered by time.
    pub steps: Vec<(Duration, Step)>,
    /// The kinds of system calls that fail in each proxy.
    pub failing_calls: Vec<&'static str>,
    pub connection_flood: bool,
    /// Whether the list service fails too, in which case list updates may be late.
    pub lists_fail: bool,
}

const FAILING_CALLS: [&str; 8] = [
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
    let failing_calls = (0..size.proxies)
        .map(|_| FAILING_CALLS[random.gen_range(0..FAILING_CALLS.len())])
        .collect();
    let (connection_flood, lists_fail) = (random.gen_range(0..3) == 0, random.gen_bool(0.5));
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
    if connection_flood {
        let (at, proxy) = (steps.at(200, 3000), steps.random.gen_range(0..size.proxies));
        steps.add(at, Step::FloodConnections(proxy));
    }
    let mut steps = steps.steps;
    steps.sort_by_key(|(at, _)| *at);
    Plan { steps, failing_calls, connection_flood, lists_fail }
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

    /// Stalls a process, starting at a random time within this span.
    fn stall(
        &mut self,
        (from, to): (u64, u64),
        max_ms: u64,
        stall_step: impl Fn(Duration) -> Step,
    ) {
        let (at, stall) = (self.at(from, to), self.at(60, max_ms + 1));
        self.add(at, stall_step(stall));
    }

    /// A proxy is stalled from time to time, receives a series of signals, and shuts down with or without a successor.
    fn proxy(&mut self, proxy: usize) {
        let end = self.at(1800, 3400);
        let shutdown_ms = end.as_millis() as u64;
        let stall_step = |stall| Step::StallProxy(proxy, stall);
        for from in (100..shutdown_ms - 500).step_by(600) {
            self.stall((from, from + 100), MAX_STALL_MS, stall_step);
        }
        // One stall spans SIGTERM, another precedes SIGKILL.
        self.stall((shutdown_ms - 100, shutdown_ms), MAX_STALL_IN_SHUTDOWN_MS, stall_step);
        let kill = end + KILL_AFTER;
        let kill_ms = kill.as_millis() as u64;
        self.stall((shutdown_ms + 300, kill_ms - 600), MAX_STALL_IN_SHUTDOWN_MS, stall_step);
        self.stall(
            (kill_ms - 300, kill_ms - MAX_STALL_IN_SHUTDOWN_MS),
            MAX_STALL_IN_SHUTDOWN_MS,
            stall_step,
        );
        if self.random.gen_bool(0.4) {
            self.add(end - Duration::from_millis(400), Step::StartSuccessor(proxy));
        }
        for _ in 0..3 {
            let at = self.at(200, kill_ms);
            self.add(at, Step::SendSighup(proxy));
        }
        self.add(end, Step::Terminate(proxy));
        let second_sigterm = end + self.at(1, 900);
        self.add(second_sigterm, Step::TerminateAgain(proxy));
        self.add(kill, Step::Kill(proxy));
    }

    fn upstream(&mut self, upstream: usize) {
        let last = FAULT_PHASE.as_millis() as u64;
        if self.random.gen_bool(0.6) {
            self.stall((100, last), 2000, |stall| Step::StallUpstream(upstream, stall));
        } else {
            let (at, down) = (self.at(100, last), self.at(50, 1500));
            self.add(at, Step::KillUpstream(upstream));
            self.add(at + down, Step::RestartUpstream(upstream));
        }
    }

    fn list(&mut self, list: usize) {
        let last = FAULT_PHASE.as_millis() as u64;
        if self.random.gen_bool(0.5) {
            self.stall((100, last), 1500, |stall| Step::StallList(list, stall));
        } else {
            let (at, down) = (self.at(100, last), self.at(50, 1500));
            self.add(at, Step::KillList(list));
            self.add(at + down, Step::RestartList(list));
        }
    }
}
