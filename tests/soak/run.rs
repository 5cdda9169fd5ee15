//! One run: starts all processes, carries out the plan of its seed, and judges what was recorded.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use crate::clients::{Client, Manner};
use crate::harness::{Cluster, Fleet, free, get, post};
use crate::judge::{Allowed, judge};
use crate::record::{End, Record};
use crate::schedule::{FAULTS, KILL_AFTER, Plan, Size, Step, plan};
use crate::shim;
use crate::upstreams::Tap;

const SIZE: Size = Size { proxies: 8, upstreams: 16, lists: 3 };
/// One call in so many fails, of the kinds that fail at a proxy.
const FAULT_RATE: u32 = 60;
/// Nothing new goes to a draining upstream after this, or after this where news may come late (STANDING).
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 50);
const NEWS_LATE: Duration = Duration::from_secs(6);
/// From the list service's word that it has decided until its watches have it.
const PUSHED: Duration = Duration::from_millis(50);
/// By when a proxy serves again once faults have ended.
const RECOVERS: Duration = Duration::from_secs(10);
/// Connections of a crowd, each idle; a proxy here holds fewer.
const CROWD: usize = 220;
const MANNERS: [Manner; 6] =
    [Manner::Keeps, Manner::Keeps, Manner::Fresh, Manner::Slow, Manner::Leaves, Manner::Leaves];

/// What came of a run.
pub struct Outcome {
    pub summary: String,
    pub broken: Vec<String>,
}

/// Plays one seed.
pub fn run(seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let plan = plan(&SIZE, &mut random);
    let mut world = World::start(seed, &plan);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = world.clients(seed, &stop);
    world.carry_out(&plan);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("a client");
    }
    let drained = world.drained.lock().expect("drained").clone();
    let mut broken = judge(&world.record, &Allowed { crowd: plan.crowd, drained });
    broken.extend(world.does_not_recover());
    broken.extend(world.logged_faults());
    Outcome { summary: world.summary(&plan), broken }
}

struct World {
    fleet: Fleet,
    cluster: Cluster,
    record: Arc<Record>,
    taps: Vec<Tap>,
    stand_ins: Vec<usize>,
    /// The processes that serve each proxy's address now, and those that end there.
    proxies: Vec<usize>,
    ending: Vec<Option<usize>>,
    terminated: Vec<Option<Instant>>,
    addresses: Vec<SocketAddr>,
    environments: Vec<Vec<(String, String)>>,
    /// By when nothing new may go to an upstream.
    drained: Arc<Mutex<HashMap<usize, Instant>>>,
    crowd: Vec<TcpStream>,
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

impl World {
    fn start(seed: u64, plan: &Plan) -> Self {
        let mut fleet = Fleet::default();
        let cluster = Cluster::start(&mut fleet, SIZE.lists, "");
        let record = Arc::new(Record::default());
        let (mut stand_ins, mut taps) = (Vec::new(), Vec::new());
        for upstream in 0..SIZE.upstreams {
            let (address, delay) = (free().to_string(), (upstream % 4 * 5).to_string());
            let name = format!("s-{upstream}");
            let args = ["stand-in", "--listen", &address, "--name", &name, "--delay-ms", &delay];
            let process = fleet.start(&name, &args, &[]);
            let seed = seed * 1000 + upstream as u64;
            let tap = Tap::start(upstream, fleet.address(process), seed, record.clone());
            cluster.register(&name, tap.address);
            stand_ins.push(process);
            taps.push(tap);
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
            if !plan.calls[proxy].is_empty() {
                let seed = seed * 100 + proxy as u64;
                let faults = shim::faults(plan.calls[proxy], FAULT_RATE, seed);
                environment.extend(faults.map(|(key, value)| (key.to_owned(), value)));
                environment.push(("FAULT_AFTER".to_owned(), "500".to_owned()));
            }
            environments.push(environment);
        }
        let mut world = Self {
            fleet,
            cluster,
            record,
            taps,
            stand_ins,
            proxies: Vec::new(),
            ending: vec![None; SIZE.proxies],
            terminated: vec![None; SIZE.proxies],
            addresses,
            environments,
            drained: Arc::default(),
            crowd: Vec::new(),
            started: 0,
            exit_codes: Vec::new(),
        };
        for proxy in 0..SIZE.proxies {
            let process = world.start_proxy(proxy);
            world.proxies.push(process);
        }
        (0..SIZE.proxies).for_each(|proxy| world.fleet.ready(world.proxies[proxy]));
        world
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
            for (place, manner) in MANNERS.iter().enumerate() {
                let name = format!("c{proxy}-{place}");
                let seed = seed * 10_000 + (proxy * MANNERS.len() + place) as u64;
                let (record, stop) = (self.record.clone(), stop.clone());
                let client = Client::new(name, (proxy, *address), *manner, seed, record, stop);
                clients.push(thread::spawn(move || client.run()));
            }
        }
        clients
    }

    fn carry_out(&mut self, plan: &Plan) {
        let from = Instant::now();
        for (at, step) in &plan.steps {
            thread::sleep((from + *at).saturating_duration_since(Instant::now()));
            eprintln!("soak: {:?} of {at:?}: {step:?}", from.elapsed());
            self.step(*step, plan);
        }
        let last = FAULTS + KILL_AFTER;
        thread::sleep((from + last).saturating_duration_since(Instant::now()));
        self.taps.iter().for_each(|tap| tap.calm.store(true, Ordering::Relaxed));
        self.crowd.clear();
    }

    fn step(&mut self, step: Step, plan: &Plan) {
        let proxy = |i: usize| [Some(self.proxies[i]), self.ending[i]].into_iter().flatten();
        let held = |held| move |fleet: &Fleet, process| fleet.hold(process, held);
        match step {
            Step::HoldProxy(i, by) => {
                let process = self.ending[i].unwrap_or(self.proxies[i]);
                signal(&mut self.fleet, [process], held(by));
            }
            Step::HangUp(i) => signal(&mut self.fleet, proxy(i), Fleet::hang_up),
            Step::HoldUpstream(i, by) => signal(&mut self.fleet, [self.stand_ins[i]], held(by)),
            Step::KillUpstream(i) => kill(&mut self.fleet, self.stand_ins[i]),
            Step::RestartUpstream(i) => restart(&mut self.fleet, self.stand_ins[i]),
            Step::HoldList(i, by) => signal(&mut self.fleet, [self.cluster.at[i]], held(by)),
            Step::KillList(i) => kill(&mut self.fleet, self.cluster.at[i]),
            Step::RestartList(i) => restart(&mut self.fleet, self.cluster.at[i]),
            Step::Succeed(i) => {
                let successor = self.start_proxy(i);
                self.ending[i] = Some(std::mem::replace(&mut self.proxies[i], successor));
            }
            Step::Terminate(i) => {
                let process = *self.ending[i].get_or_insert(self.proxies[i]);
                signal(&mut self.fleet, [process], Fleet::stop);
                self.terminated[i] = Some(Instant::now());
            }
            Step::TerminateAgain(i) => {
                signal(&mut self.fleet, self.ending[i], Fleet::stop);
            }
            Step::Kill(i) => self.kill(i),
            Step::Drain(i) => self.drain(i, plan),
            Step::Crowd(i) => {
                let address = self.addresses[i];
                let connect = |_| TcpStream::connect(address).ok();
                self.crowd.extend((0..CROWD).filter_map(connect));
            }
        }
    }

    /// Kills a proxy that was told to end, and starts another where none has succeeded it.
    fn kill(&mut self, i: usize) {
        let process = self.ending[i].take().expect("it was told to end");
        // No sooner than the page allows, should this thread be late.
        let at = self.terminated[i].expect("it was told to end") + KILL_AFTER;
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

    /// Has an upstream drain; by a thread of its own, for a held list service keeps its caller waiting.
    fn drain(&mut self, upstream: usize, plan: &Plan) {
        let body = format!("{{\"id\":\"s-{upstream}\",\"phase\":\"DRAINING\"}}");
        let late = if plan.lists_fail { NEWS_LATE } else { PUSHED };
        let (calls, drained) = (self.cluster.calls.clone(), self.drained.clone());
        thread::spawn(move || {
            let decides = |at: &SocketAddr| {
                let answer = post(*at, "/admin/members/phase", &body);
                answer.is_some_and(|(status, _)| status == 200)
            };
            // While the list service fails, nobody may decide.
            if calls.iter().any(decides) {
                let by = Instant::now() + late + DRAIN_GRACE;
                drained.lock().expect("drained").insert(upstream, by);
            }
        });
    }

    /// Proxies that do not serve once all faults have ended.
    fn does_not_recover(&mut self) -> Vec<String> {
        let mut broken = Vec::new();
        for proxy in 0..SIZE.proxies {
            let (address, from) = (self.addresses[proxy], Instant::now());
            let headers = ["X-Class: read", "X-Deadline-Ms: 800", "X-Request-Id: recovery"];
            while get(address, "/api", &headers).map(|a| a.0) != Some(200) {
                if from.elapsed() > RECOVERS {
                    broken.push(format!("proxy {proxy} does not serve after the faults"));
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        broken
    }

    fn logged_faults(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for (process, of) in self.fleet.processes.iter().enumerate() {
            for word in ["violation", "panicked"] {
                if let Some(line) = self.fleet.line(process, word) {
                    broken.push(format!("{} logged {line}", of.name));
                }
            }
        }
        for (name, code) in &self.exit_codes {
            if *code != Some(0) {
                broken.push(format!("{name} exited with {code:?}"));
            }
        }
        broken
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
        let left = requests.values().filter(|r| r.left.is_some()).count();
        format!(
            "{} processes, {} steps, crowd {}, lists fail {}, calls {:?}; {} requests, {served} served, {refused} refused, \
             {closed} closed, {left} left; {} attempts; {} of {} proxies ended by themselves",
            self.fleet.processes.len(),
            plan.steps.len(),
            plan.crowd,
            plan.lists_fail,
            plan.calls,
            requests.len(),
            attempts.values().map(Vec::len).sum::<usize>(),
            self.exit_codes.len(),
            SIZE.proxies,
        )
    }
}

/// Sends those of these processes a signal that have not ended.
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

/// Starts a process again that was killed; it may have been started since.
fn restart(fleet: &mut Fleet, process: usize) {
    if fleet.exited(process).is_some() {
        fleet.restart(process);
    }
}
