//! One run: starts all processes, executes the schedule of its seed, and checks the record.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use crate::clients::{Behavior, Client};
use crate::harness::{Cluster, Fleet, free, get, post};
use crate::judge::{Allowed, check_invariants};
use crate::record::{End, Record};
use crate::schedule::{FAULT_PHASE, KILL_AFTER, Plan, Size, Step, plan};
use crate::shim;
use crate::upstreams::FaultInjector;

const SIZE: Size = Size { proxies: 8, upstreams: 16, lists: 3 };
/// One in this many calls fails, of the kinds that fail in a proxy.
const FAULT_RATE: u32 = 60;
/// No attempt starts at a draining upstream later than this after proxies receive the update.
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 50);
/// Longest delay of a list update while the list service fails (STANDING).
const DELAYED_LIST_UPDATE: Duration = Duration::from_secs(6);
/// Time from the list service's confirmation of a change until its watches receive it.
const LIST_UPDATE_DELAY: Duration = Duration::from_millis(50);
/// A proxy must serve again within this time after faults end.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);
/// Idle connections opened by a connection flood, more than a proxy in this test can hold.
const FLOOD_CONNECTIONS: usize = 220;
const BEHAVIORS: [Behavior; 8] = [
    Behavior::KeepAlive,
    Behavior::KeepAlive,
    Behavior::ConnectionPerRequest,
    Behavior::SlowWrite,
    Behavior::EarlyClose,
    Behavior::EarlyClose,
    Behavior::Upload,
    Behavior::Upload,
];

/// The result of a run.
pub struct Outcome {
    pub summary: String,
    pub violations: Vec<String>,
}

/// Runs one seed.
pub fn run(seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let plan = plan(&SIZE, &mut random);
    let mut test_bed = TestBed::start(seed, &plan);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = test_bed.clients(seed, &stop);
    test_bed.execute(&plan);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("a client");
    }
    let drain_deadlines = test_bed.drain_deadlines.lock().expect("drain deadlines").clone();
    let mut violations = check_invariants(
        &test_bed.record,
        &Allowed {
            connection_flood: plan.connection_flood,
            drain_deadlines,
            terminated: test_bed.terminated.clone(),
        },
    );
    violations.extend(test_bed.unrecovered_proxies());
    violations.extend(test_bed.process_failures());
    Outcome { summary: test_bed.summary(&plan), violations }
}

struct TestBed {
    fleet: Fleet,
    cluster: Cluster,
    record: Arc<Record>,
    injectors: Vec<FaultInjector>,
    stand_ins: Vec<usize>,
    /// The process now serving each proxy's address; `stopping` has those shutting down there.
    proxies: Vec<usize>,
    stopping: Vec<Option<usize>>,
    terminated: Vec<Option<Instant>>,
    addresses: Vec<SocketAddr>,
    environments: Vec<Vec<(String, String)>>,
    /// For each drained upstream, the time after which no attempt may start.
    drain_deadlines: Arc<Mutex<HashMap<usize, Instant>>>,
    flood_connections: Vec<TcpStream>,
    started: usize,
    exit_codes: Vec<(String, Option<i32>)>,
}

fn settings(lists: &str) -> Value {
    let text = std::fs::read_to_string("examples/proxy.json").expect("an example");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    config["discovery"] = json!(lists);
    config["settings"]["Balancers"] = json!(SIZE.proxies);
    for (class, deadline) in [800.0, 1000.0, 1200.0].iter().enumerate() {
        config["settings"]["Services"][class]["Aim"] = json!(deadline / 2.0);
        config["settings"]["Services"][class]["Deadline"] = json!(deadline);
    }
    config
}

impl TestBed {
    fn start(seed: u64, plan: &Plan) -> Self {
        let mut fleet = Fleet::default();
        let cluster = Cluster::start(&mut fleet, SIZE.lists, "");
        let record = Arc::new(Record::default());
        let (mut stand_ins, mut injectors) = (Vec::new(), Vec::new());
        for upstream in 0..SIZE.upstreams {
            let (address, delay) = (free().to_string(), (upstream % 4 * 5).to_string());
            let name = format!("s-{upstream}");
            let args = ["stand-in", "--listen", &address, "--name", &name, "--delay-ms", &delay];
            let process = fleet.start(&name, &args, &[]);
            let seed = seed * 1000 + upstream as u64;
            let injector =
                FaultInjector::start(upstream, fleet.address(process), seed, record.clone());
            cluster.register(&name, injector.address);
            stand_ins.push(process);
            injectors.push(injector);
        }
        let folder = fleet.folder("tmp");
        std::fs::create_dir_all(&folder).expect("a folder");
        let lists: Vec<String> = cluster.lists.iter().map(ToString::to_string).collect();
        let config = fleet.file("proxy.json", &settings(&lists.join(",")).to_string());
        let config = config.to_string_lossy().into_owned();
        let addresses: Vec<SocketAddr> = (0..SIZE.proxies).map(|_| free()).collect();
        let mut environments = Vec::new();
        for (proxy, address) in addresses.iter().enumerate() {
            let mut environment = vec![
                ("LB_CONFIG".to_owned(), config.clone()),
                ("LB_LISTEN".to_owned(), address.to_string()),
                ("LB_MANAGEMENT".to_owned(), "127.0.0.1:0".to_owned()),
                ("LB_STATE_DIR".to_owned(), format!("{}/state-{proxy}", folder.display())),
                ("TMPDIR".to_owned(), folder.display().to_string()),
            ];
            if !plan.failing_calls[proxy].is_empty() {
                let seed = seed * 100 + proxy as u64;
                let faults = shim::faults(plan.failing_calls[proxy], FAULT_RATE, seed);
                environment.extend(faults.map(|(key, value)| (key.to_owned(), value)));
                environment.push(("FAULT_AFTER".to_owned(), "500".to_owned()));
            }
            environments.push(environment);
        }
        let mut test_bed = Self {
            fleet,
            cluster,
            record,
            injectors,
            stand_ins,
            proxies: Vec::new(),
            stopping: vec![None; SIZE.proxies],
            terminated: vec![None; SIZE.proxies],
            addresses,
            environments,
            drain_deadlines: Arc::default(),
            flood_connections: Vec::new(),
            started: 0,
            exit_codes: Vec::new(),
        };
        for proxy in 0..SIZE.proxies {
            let process = test_bed.start_proxy(proxy);
            test_bed.proxies.push(process);
        }
        (0..SIZE.proxies).for_each(|proxy| test_bed.fleet.ready(test_bed.proxies[proxy]));
        test_bed
    }

    fn start_proxy(&mut self, proxy: usize) -> usize {
        self.started += 1;
        let environment: Vec<(&str, &str)> =
            self.environments[proxy].iter().map(|(k, v)| (k.as_str(), v.as_str())).collect();
        self.fleet.start(&format!("p-{proxy}-{}", self.started), &[], &environment)
    }

    fn clients(&self, seed: u64, stop: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
        let mut clients = Vec::new();
        for (proxy, address) in self.addresses.iter().enumerate() {
            for (index, behavior) in BEHAVIORS.iter().enumerate() {
                let name = format!("c{proxy}-{index}");
                let seed = seed * 10_000 + (proxy * BEHAVIORS.len() + index) as u64;
                let (record, stop) = (self.record.clone(), stop.clone());
                let client = Client::new(name, (proxy, *address), *behavior, seed, record, stop);
                clients.push(thread::spawn(move || client.run()));
            }
        }
        clients
    }

    fn execute(&mut self, plan: &Plan) {
        let from = Instant::now();
        for (at, step) in &plan.steps {
            thread::sleep((from + *at).saturating_duration_since(Instant::now()));
            eprintln!("soak: {:?} of {at:?}: {step:?}", from.elapsed());
            self.step(*step, plan);
        }
        let last = FAULT_PHASE + KILL_AFTER;
        thread::sleep((from + last).saturating_duration_since(Instant::now()));
        self.injectors
            .iter()
            .for_each(|injector| injector.faults_off.store(true, Ordering::Relaxed));
        self.flood_connections.clear();
    }

    fn step(&mut self, step: Step, plan: &Plan) {
        let proxy = |i: usize| [Some(self.proxies[i]), self.stopping[i]].into_iter().flatten();
        let stall = |stall| move |fleet: &Fleet, process| fleet.hold(process, stall);
        match step {
            Step::StallProxy(i, by) => {
                let process = self.stopping[i].unwrap_or(self.proxies[i]);
                signal(&mut self.fleet, [process], stall(by));
            }
            Step::SendSighup(i) => signal(&mut self.fleet, proxy(i), Fleet::hang_up),
            Step::StallUpstream(i, by) => signal(&mut self.fleet, [self.stand_ins[i]], stall(by)),
            Step::KillUpstream(i) => kill(&mut self.fleet, self.stand_ins[i]),
            Step::RestartUpstream(i) => restart(&mut self.fleet, self.stand_ins[i]),
            Step::StallList(i, by) => signal(&mut self.fleet, [self.cluster.at[i]], stall(by)),
            Step::KillList(i) => kill(&mut self.fleet, self.cluster.at[i]),
            Step::RestartList(i) => restart(&mut self.fleet, self.cluster.at[i]),
            Step::StartSuccessor(i) => {
                let successor = self.start_proxy(i);
                self.stopping[i] = Some(std::mem::replace(&mut self.proxies[i], successor));
            }
            Step::Terminate(i) => {
                let process = *self.stopping[i].get_or_insert(self.proxies[i]);
                signal(&mut self.fleet, [process], Fleet::stop);
                self.terminated[i] = Some(Instant::now());
            }
            Step::TerminateAgain(i) => {
                signal(&mut self.fleet, self.stopping[i], Fleet::stop);
            }
            Step::Kill(i) => self.kill(i),
            Step::Drain(i) => self.drain(i, plan),
            Step::FloodConnections(i) => {
                let address = self.addresses[i];
                let connect = |_| TcpStream::connect(address).ok();
                self.flood_connections.extend((0..FLOOD_CONNECTIONS).filter_map(connect));
            }
        }
    }

    /// Kills a proxy after its SIGTERM, and starts another if it has no successor.
    fn kill(&mut self, i: usize) {
        let process = self.stopping[i].take().expect("SIGTERM was sent");
        // Not before the specified time after SIGTERM, even if this thread sent SIGTERM late.
        let at = self.terminated[i].expect("SIGTERM was sent") + KILL_AFTER;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let name = self.fleet.processes[process].name.clone();
        if let Some(status) = self.fleet.exited(process) {
            self.exit_codes.push((name, status.code()));
        } else {
            self.fleet.kill(process);
        }
        if self.proxies[i] == process {
            self.proxies[i] = self.start_proxy(i);
        }
    }

    /// Drains an upstream on a separate thread, as a stalled list service blocks its caller.
    fn drain(&mut self, upstream: usize, plan: &Plan) {
        let body = format!("{{\"id\":\"s-{upstream}\",\"phase\":\"DRAINING\"}}");
        let late = if plan.lists_fail { DELAYED_LIST_UPDATE } else { LIST_UPDATE_DELAY };
        let (calls, drain_deadlines) = (self.cluster.calls.clone(), self.drain_deadlines.clone());
        thread::spawn(move || {
            let accepts = |at: &SocketAddr| {
                let answer = post(*at, "/admin/members/phase", &body);
                answer.is_some_and(|(status, _)| status == 200)
            };
            // While the list service fails, possibly no instance accepts the change.
            if calls.iter().any(accepts) {
                let by = Instant::now() + late + DRAIN_GRACE;
                drain_deadlines.lock().expect("drain deadlines").insert(upstream, by);
            }
        });
    }

    /// Reports proxies that do not serve after all faults have ended.
    fn unrecovered_proxies(&mut self) -> Vec<String> {
        let mut violations = Vec::new();
        for proxy in 0..SIZE.proxies {
            let (address, from) = (self.addresses[proxy], Instant::now());
            let headers = ["X-Class: read", "X-Deadline-Ms: 800", "X-Request-Id: recovery"];
            while get(address, "/api", &headers).map(|a| a.0) != Some(200) {
                if from.elapsed() > RECOVERY_LIMIT {
                    violations.push(format!("proxy {proxy} does not serve after the faults"));
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        violations
    }

    fn process_failures(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (process, of) in self.fleet.processes.iter().enumerate() {
            for word in ["violation", "panicked"] {
                if let Some(line) = self.fleet.line(process, word) {
                    violations.push(format!("{} logged {line}", of.name));
                }
            }
        }
        for (name, code) in &self.exit_codes {
            if *code != Some(0) {
                violations.push(format!("{name} exited with {code:?}"));
            }
        }
        violations
    }

    fn summary(&self, plan: &Plan) -> String {
        let requests = self.record.requests.lock().expect("requests");
        let attempts = self.record.attempts.lock().expect("attempts");
        let count = |of: &dyn Fn(&End) -> bool| {
            requests.values().filter(|r| r.end.as_ref().is_some_and(of)).count()
        };
        let served = count(&|end| matches!(end, End::Answered { status: 200, .. }));
        let refused = count(&|end| matches!(end, End::Answered { status: 503, .. }));
        let closed = count(&|end| matches!(end, End::Closed));
        let left = requests.values().filter(|r| r.client_closed.is_some()).count();
        format!(
            "{} processes, {} steps, connection flood {}, lists fail {}, calls {:?}; {} requests, {served} served, {refused} refused, \
             {closed} closed, {left} left; {} attempts; {} of {} proxies ended by themselves",
            self.fleet.processes.len(),
            plan.steps.len(),
            plan.connection_flood,
            plan.lists_fail,
            plan.failing_calls,
            requests.len(),
            attempts.values().map(Vec::len).sum::<usize>(),
            self.exit_codes.len(),
            SIZE.proxies,
        )
    }
}

/// Sends a signal to those of these processes that have not exited.
fn signal(
    fleet: &mut Fleet,
    processes: impl IntoIterator<Item = usize>,
    send: impl Fn(&Fleet, usize),
) {
    for process in processes {
        if fleet.exited(process).is_none() {
            send(fleet, process);
        }
    }
}

fn kill(fleet: &mut Fleet, process: usize) {
    if fleet.exited(process).is_none() {
        fleet.kill(process);
    }
}

/// Restarts a killed process unless it has already been restarted.
fn restart(fleet: &mut Fleet, process: usize) {
    if fleet.exited(process).is_some() {
        fleet.restart(process);
    }
}
