//! Staged releases of upstreams and of balancers under load, with faults (issue 15).

#[allow(dead_code)] // Each test file uses part of the harness.
mod harness;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use harness::{Cluster, Fleet, PROGRAM, ask, free, get, look, post, until};
use serde_json::{Value, json};

const SHORT_TIMEOUT: Duration = Duration::from_secs(10);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);
/// PROTOCOL's limit for drains, plus time for the list update to arrive.
const DRAIN_TIME: Duration = Duration::from_millis(1000);

/// Headers of requests that must not be retried, so that clients see each failure of an upstream.
const REQUEST_HEADERS: [&str; 3] = ["X-Class: alarm", "X-Deadline-Ms: 3000", "X-Request-Id: t-1"];

/// One request: when it was made, and its answer as status and name of the upstream; `None` for no answer.
type Exchange = (Instant, Option<(u16, String)>);

/// Clients that send requests continuously. `slowest` is the longest time in microseconds that one of them waited for
/// an answer of the old version.
struct Load {
    stop: Arc<AtomicBool>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(proxies: Vec<SocketAddr>, clients: usize, slowest: &Arc<AtomicU64>) -> Self {
        let (stop, exchanges) =
            (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let client = |i: usize| {
            let (stop, exchanges, proxy) =
                (stop.clone(), exchanges.clone(), proxies[i % proxies.len()]);
            let slowest = slowest.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let from = Instant::now();
                    let answer = ask(proxy, "POST", "/api/order", &REQUEST_HEADERS, "x");
                    let answer = answer.map(|(s, body)| (s, body.trim().to_owned()));
                    if answer.as_ref().is_some_and(|(s, by)| *s == 200 && by.starts_with("old")) {
                        slowest.fetch_max(from.elapsed().as_micros() as u64, Ordering::SeqCst);
                    }
                    exchanges.lock().expect("a list").push((from, answer));
                    thread::sleep(Duration::from_millis(2));
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Self { stop, exchanges, clients }
    }

    fn stop(self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|c| c.join().expect("a client"));
        std::mem::take(&mut *self.exchanges.lock().expect("a list"))
    }
}

/// The number of requests without an answer, and the number answered with a status other than 200.
fn lost_and_failed(exchanges: &[Exchange]) -> (usize, usize) {
    let lost = exchanges.iter().filter(|a| a.1.is_none()).count();
    let failed = exchanges.iter().filter(|a| a.1.as_ref().is_some_and(|a| a.0 != 200)).count();
    (lost, failed)
}

/// Part of a plan that disables the latency gate: on a busy machine the latencies of two windows may differ by any
/// ratio, whatever is released.
const NO_LATENCY_GATE: &str = "[gates]\np99_ratio = 1000000";

/// A running fleet: four old upstreams in the list, and two proxies.
struct Serving {
    fleet: Fleet,
    cluster: Cluster,
    proxies: Vec<(usize, SocketAddr)>,
    plan: PathBuf,
    control: SocketAddr,
    /// Recorded by the clients of [`Load`].
    slowest: Arc<AtomicU64>,
}

impl Serving {
    /// Starts the fleet with a plan for four new upstreams, each a stand-in started with these arguments.
    fn start(new: &[&str]) -> Self {
        Self::start_with(NO_LATENCY_GATE, |fleet, name, _| {
            let mut args = vec!["stand-in", "--name", name];
            args.extend(new);
            let at = fleet.start(name, &args, &[]);
            fleet.address(at)
        })
    }

    /// Like `start`, but `new` starts the upstream of the given name; it may read `slowest`, which the load records.
    fn start_with(
        extra: &str,
        new: impl Fn(&mut Fleet, &str, &Arc<AtomicU64>) -> SocketAddr,
    ) -> Self {
        let slowest = Arc::default();
        let mut fleet = Fleet::default();
        let cluster = Cluster::start(&mut fleet, 1, "");
        let lists = cluster.lists[0].to_string();
        let mut upstreams = String::new();
        for i in 0..4 {
            let (old, fresh) = (format!("old-{i}"), format!("new-{i}"));
            let at = fleet.start(&old, &["stand-in", "--name", &old, "--delay-ms", "10"], &[]);
            cluster.register(&old, fleet.address(at));
            let address = new(&mut fleet, &fresh, &slowest);
            upstreams += &format!(
                "[[upstreams]]\nold = \"{old}\"\nnew = {{ id = \"{fresh}\", host_port = \"{address}\", \
                 locality = \"a\", flavor = \"m\", phase = \"SERVING\", up_since_ms = 1 }}\n"
            );
        }
        let proxies: Vec<_> = (0..2).map(|i| fleet.proxy(&format!("p-{i}"), &lists, &[])).collect();
        proxies.iter().for_each(|p| fleet.ready(p.0));
        let (control, dir) = (free(), fleet.folder("release"));
        let calls: Vec<String> = proxies.iter().map(|p| format!("\"{}\"", p.1)).collect();
        let text = format!(
            "name = \"web-2\"\nmanagement = \"{control}\"\nstate_dir = \"{}\"\nservices = [\"{}\"]\n\
             proxies = [{}]\nstages = [25, 50, 100]\nbake_ms = 800\npoll_ms = 100\nttl_ms = 1000\n{extra}\n{upstreams}",
            dir.display(),
            cluster.calls[0],
            calls.join(", "),
        );
        let plan = fleet.file("plan.toml", &text);
        Self { fleet, cluster, proxies, plan, control, slowest }
    }

    fn load(&self) -> Load {
        let proxies = self.proxies.iter().map(|p| self.fleet.address(p.0)).collect();
        Load::start(proxies, 8, &self.slowest)
    }

    fn release(&mut self) -> usize {
        let plan = self.plan.to_str().expect("UTF-8").to_owned();
        self.fleet.start("release", &["release", "start", "--config", &plan], &[])
    }

    /// Runs an operator's command; returns its exit code and standard output.
    fn run_command(&self, command: &str) -> (Option<i32>, String) {
        let plan = self.plan.to_str().expect("UTF-8");
        let output = Command::new(PROGRAM)
            .args(["release", command, "--config", plan])
            .output()
            .expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    }

    fn status(&self) -> Value {
        look(self.control, "/admin/release")
    }

    /// The ids of the listed members in this phase.
    fn listed(&self, phase: &str) -> Vec<String> {
        let list = look(self.cluster.lists[0], "/api/targets");
        let members = list["members"].as_array().cloned().unwrap_or_default();
        let id = |m: &Value| m["id"].as_str().unwrap_or_default().to_owned();
        members.iter().filter(|m| m["phase"] == phase).map(id).collect()
    }
}

fn ids_of(version: &str) -> Vec<String> {
    (0..4).map(|i| format!("{version}-{i}")).collect()
}

/// Asserts that no request made after `from` was answered by this version.
fn assert_no_answer_after(exchanges: &[Exchange], version: &str, from: Instant) {
    let late = exchanges.iter().filter(|(at, answer)| {
        *at > from && answer.as_ref().is_some_and(|(_, by)| by.starts_with(version))
    });
    assert_eq!(late.count(), 0, "{version} received requests after its drain");
}

#[test]
fn a_sound_release_completes_without_lost_requests_or_sends_to_drained_upstreams() {
    let mut serving = Serving::start(&["--delay-ms", "10"]);
    let load = serving.load();
    let release = serving.release();
    assert_eq!(serving.fleet.ended(release, RELEASE_TIMEOUT), Some(0));
    assert_eq!(
        (serving.listed("SERVING"), serving.listed("DRAINING")),
        (ids_of("new"), ids_of("old"))
    );
    let drained = Instant::now() + DRAIN_TIME;
    thread::sleep(2 * DRAIN_TIME);
    let exchanges = load.stop();
    assert_no_answer_after(&exchanges, "old", drained);
    assert_eq!(lost_and_failed(&exchanges), (0, 0), "of {}", exchanges.len());
    let (code, text) = serving.run_command("status");
    assert!(
        code == Some(0) && text.contains("stage 3/3  up to 100%     2 targets  done"),
        "{text}"
    );
    assert_eq!(serving.run_command("halt").0, Some(1), "no controller runs that could be halted");
}

#[test]
fn a_version_failing_one_request_in_five_is_rolled_back_at_the_first_stage() {
    let mut serving = Serving::start(&["--delay-ms", "10", "--error-every", "5"]);
    let load = serving.load();
    let from = Instant::now();
    let release = serving.release();
    until("the first stage", SHORT_TIMEOUT, || serving.listed("DRAINING") == ["old-0"]);
    let stage_started = Instant::now();
    assert_eq!(serving.fleet.ended(release, RELEASE_TIMEOUT), Some(3), "rolled back");
    eprintln!(
        "from the start of the failing stage to the end of the release: {:?}",
        stage_started.elapsed()
    );
    assert_eq!(
        (serving.listed("SERVING"), serving.listed("DRAINING")),
        (ids_of("old"), vec!["new-0".into()])
    );
    let drained = Instant::now() + DRAIN_TIME;
    thread::sleep(2 * DRAIN_TIME);
    let exchanges = load.stop();
    assert_no_answer_after(&exchanges, "new", drained);
    let (lost, failed) = lost_and_failed(&exchanges);
    let during = exchanges.iter().filter(|a| a.0 >= stage_started && a.0 < drained).count();
    eprintln!(
        "{failed} failed of {during} requests while the failing stage was active, {} in all",
        exchanges.len()
    );
    assert_eq!(lost, 0);
    assert!(
        failed > 0 && (failed as f64) < 0.25 * 0.2 * during as f64 + 5.0,
        "{failed} of {during}"
    );
    let after: Vec<Exchange> = exchanges.into_iter().filter(|a| a.0 > drained).collect();
    assert_eq!(lost_and_failed(&after), (0, 0), "as before the release");
    let (_, text) = serving.run_command("status");
    assert!(text.contains("rolled back (because: errors"), "{text}");
    assert!(from.elapsed() < RELEASE_TIMEOUT);
}

#[test]
fn an_unreachable_version_is_rolled_back_after_baking() {
    let mut serving = Serving::start(&["--delay-ms", "10"]);
    let dead = serving.fleet.named("new-0");
    serving.fleet.kill(dead);
    let load = serving.load();
    let release = serving.release();
    assert_eq!(serving.fleet.ended(release, RELEASE_TIMEOUT), Some(3), "rolled back");
    assert_eq!(serving.listed("SERVING"), ids_of("old"));
    let (_, text) = serving.run_command("status");
    assert!(text.contains("rolled back (because: errors"), "{text}");
    assert_eq!(
        lost_and_failed(&load.stop()),
        (0, 0),
        "all requests were served by other upstreams"
    );
}

/// Starts an upstream that takes three times as long as any client has waited for the old version so far. However slow
/// the machine makes the old version, this exceeds the gate's ratio of two by more than the width of the metrics'
/// buckets (a third). It takes at least 130 ms, where the old version takes 10.
fn start_slow_upstream(name: &str, slowest: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{name}\n", name.len() + 1);
    let slowest = slowest.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (answer, slowest) = (answer.clone(), slowest.clone());
            thread::spawn(move || {
                let (mut seen, mut chunk) = (Vec::new(), [0; 4 << 10]);
                while let Ok(n @ 1..) = stream.read(&mut chunk) {
                    seen.extend_from_slice(&chunk[..n]);
                    // The requests of the load have a body of one byte.
                    let Some(end) = seen.windows(4).position(|w| w == b"\r\n\r\n") else {
                        continue;
                    };
                    if seen.len() > end + 4 {
                        seen.clear();
                        let longest = Duration::from_micros(slowest.load(Ordering::SeqCst));
                        thread::sleep((3 * longest).max(Duration::from_millis(130)));
                        let _ = stream.write_all(answer.as_bytes());
                    }
                }
            });
        }
    });
    address
}

#[test]
fn a_slow_version_is_halted_by_the_latency_gate() {
    // Only the latency gate can halt the release. Few attempts suffice for it, since they may take long.
    let extra =
        "on_failure = \"halt\"\n[gates]\nerror_share = 1.0\nrefused_share = 1.0\nmin_requests = 5";
    let mut serving =
        Serving::start_with(extra, |_, name, slowest| start_slow_upstream(name, slowest));
    let load = serving.load();
    let release = serving.release();
    until("halted", 2 * RELEASE_TIMEOUT, || serving.status()["step"] == "halted");
    let status = serving.status();
    assert!(status["why"].as_str().is_some_and(|why| why.starts_with("latency")), "{status}");
    assert_eq!(
        (status["stage"].clone(), serving.listed("DRAINING")),
        (json!(1), vec!["old-0".into()])
    );
    thread::sleep(Duration::from_millis(500));
    assert_eq!(serving.status()["step"], "halted", "the release waits for a command");
    assert_eq!(serving.run_command("rollback").0, Some(0));
    assert_eq!(serving.fleet.ended(release, RELEASE_TIMEOUT), Some(3));
    assert_eq!(serving.listed("SERVING"), ids_of("old"));
    assert_eq!(lost_and_failed(&load.stop()).0, 0);
}

#[test]
fn a_killed_controller_continues_with_the_same_stage() {
    let mut serving = Serving::start(&["--delay-ms", "10"]);
    let load = serving.load();
    let release = serving.release();
    until("the second stage", RELEASE_TIMEOUT, || serving.listed("DRAINING") == ["old-0", "old-1"]);
    serving.fleet.kill(release);
    let (code, text) = serving.run_command("status");
    assert!(code == Some(0) && text.contains("no controller runs"), "{text}");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(serving.listed("DRAINING"), ["old-0", "old-1"], "no upstream is moved meanwhile");
    serving.fleet.restart(release);
    assert_eq!(serving.status()["stage"], 2, "the stage is neither repeated nor skipped");
    assert!(serving.fleet.logged(release, "the release goes on"));
    assert_eq!(serving.fleet.ended(release, RELEASE_TIMEOUT), Some(0));
    assert_eq!(serving.listed("SERVING"), ids_of("new"));
    assert_eq!(lost_and_failed(&load.stop()), (0, 0));
}

#[test]
fn manual_halt_and_resume_and_a_rollback_in_the_middle_of_a_stage() {
    // Without requests no gate is evaluated: stages are held, and only commands move them.
    let mut serving = Serving::start(&["--delay-ms", "10"]);
    let release = serving.release();
    until("held", RELEASE_TIMEOUT, || serving.status()["held"].is_string());
    assert_eq!(serving.run_command("halt").0, Some(0));
    assert_eq!(serving.status()["step"], "halted");
    assert_eq!(
        post(serving.control, "/admin/release/halt", "").map(|a| a.0),
        Some(200),
        "halting again is not an error"
    );
    let load = serving.load();
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(
        (serving.status()["stage"].clone(), serving.listed("DRAINING").len()),
        (json!(1), 1)
    );
    assert_eq!(serving.run_command("resume").0, Some(0));
    until("the last stage", RELEASE_TIMEOUT, || serving.listed("DRAINING").len() >= 3);
    // The list service is paused while a stage moves members, so the move is neither completed nor reverted.
    let list = serving.cluster.at[0];
    serving.fleet.pause(list);
    let (code, text) = serving.run_command("rollback");
    assert!(code == Some(0) && text.contains("rolling back"), "{text}");
    thread::sleep(Duration::from_millis(300));
    serving.fleet.resume(list);
    assert_eq!(serving.fleet.ended(release, RELEASE_TIMEOUT), Some(3));
    assert_eq!(serving.listed("SERVING"), ids_of("old"));
    let (lost, failed) = lost_and_failed(&load.stop());
    assert_eq!((lost, failed), (0, 0));
}

/// Writes a balancer's configuration file with these addresses.
fn balancer_file(
    fleet: &mut Fleet,
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> PathBuf {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/proxy.json"));
    let mut file: Value = serde_json::from_str(&text.expect("the example")).expect("JSON");
    file["listen"] = json!(listen.to_string());
    file["discovery"] = json!(discovery.to_string());
    fleet.file(name, &file.to_string())
}

/// Prepares a release of two balancers in two stages; with `broken`, the configuration of the new ones is invalid.
fn start_balancers(broken: bool) -> (Fleet, Vec<usize>, Vec<SocketAddr>, PathBuf) {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 1, "");
    for name in ["s-1", "s-2", "s-3", "s-4"] {
        let upstream = fleet.start(name, &["stand-in", "--name", name, "--delay-ms", "5"], &[]);
        cluster.register(name, fleet.address(upstream));
    }
    let (dir, mut text, mut old, mut listens) =
        (fleet.folder("release"), String::new(), vec![], vec![]);
    for i in 0..2 {
        let (listen, before, after) = (free(), free(), free());
        let file = balancer_file(&mut fleet, &format!("b-{i}.json"), listen, cluster.lists[0]);
        let next = match broken {
            true => fleet.file(&format!("b-{i}-new.json"), "{\"listen\": 7}"),
            false => file.clone(),
        };
        let calls = before.to_string();
        let env = [("LB_CONFIG", file.to_str().expect("UTF-8")), ("LB_MANAGEMENT", &calls)];
        old.push(fleet.start(&format!("b-{i}"), &[], &env));
        fleet.adopted.extend([before, after]);
        let version = |config: &PathBuf, at: SocketAddr| {
            format!(
                "{{ program = \"{PROGRAM}\", config = \"{}\", management = \"{at}\" }}",
                config.display()
            )
        };
        text += &format!(
            "[[balancers]]\nname = \"b-{i}\"\nold = {}\nnew = {}\n",
            version(&file, before),
            version(&next, after)
        );
        listens.push(listen);
    }
    old.iter().for_each(|i| fleet.ready(*i));
    let head = format!(
        "name = \"lb-2\"\nmanagement = \"{}\"\nstate_dir = \"{}\"\nstages = [50, 100]\nbake_ms = 700\npoll_ms = 100\n{NO_LATENCY_GATE}\n",
        free(),
        dir.display()
    );
    let plan = fleet.file("plan.toml", &(head + &text));
    (fleet, old, listens, plan)
}

#[test]
fn a_complete_balancer_release_loses_no_request() {
    let (mut fleet, old, listens, plan) = start_balancers(false);
    let load = Load::start(listens.clone(), 4, &Arc::default());
    let release = fleet.start(
        "release",
        &["release", "start", "--config", plan.to_str().expect("UTF-8")],
        &[],
    );
    assert_eq!(fleet.ended(release, RELEASE_TIMEOUT), Some(0));
    for i in old {
        assert_eq!(fleet.ended(i, SHORT_TIMEOUT), Some(0), "the old process exits by itself");
    }
    thread::sleep(Duration::from_millis(500));
    let exchanges = load.stop();
    assert_eq!(lost_and_failed(&exchanges), (0, 0), "of {}", exchanges.len());
    assert!(exchanges.len() > 500, "{}", exchanges.len());
    assert!(listens.iter().all(|l| get(*l, "/-/ready", &[]).map(|a| a.0) == Some(200)));
}

#[test]
fn a_balancer_that_fails_to_start_leaves_the_old_one_serving() {
    let (mut fleet, old, listens, plan) = start_balancers(true);
    let load = Load::start(listens, 4, &Arc::default());
    let release = fleet.start(
        "release",
        &["release", "start", "--config", plan.to_str().expect("UTF-8")],
        &[],
    );
    assert_eq!(fleet.ended(release, RELEASE_TIMEOUT), Some(3));
    assert!(fleet.logged(release, "ended before it was ready"));
    let exchanges = load.stop();
    assert_eq!(lost_and_failed(&exchanges), (0, 0), "of {}", exchanges.len());
    assert!(old.iter().all(|i| get(fleet.address(*i), "/-/ready", &[]).map(|a| a.0) == Some(200)));
}

/// A TCP forwarder between a controller and the list service that delays writes to members while `holding` is set.
struct WriteDelayer {
    address: SocketAddr,
    holding: Arc<AtomicBool>,
    delayed_writes: Arc<AtomicUsize>,
}

impl WriteDelayer {
    fn start(service: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (holding, delayed_writes) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (hold_flag, count) = (holding.clone(), delayed_writes.clone());
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let Ok(server) = TcpStream::connect(service) else { continue };
                let (hold_flag, count) = (hold_flag.clone(), count.clone());
                let (mut server_in, mut client_out) = (
                    server.try_clone().expect("a second handle"),
                    client.try_clone().expect("a second handle"),
                );
                thread::spawn(move || forward(client, server, &hold_flag, &count));
                thread::spawn(move || std::io::copy(&mut server_in, &mut client_out));
            }
        });
        Self { address, holding, delayed_writes }
    }
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    hold_flag: &AtomicBool,
    delayed_writes: &AtomicUsize,
) {
    let mut chunk = [0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut chunk) {
        if hold_flag.load(Ordering::SeqCst) && chunk.starts_with(b"POST /admin/members") {
            delayed_writes.fetch_add(1, Ordering::SeqCst);
            while hold_flag.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
        }
        if to.write_all(&chunk[..n]).is_err() {
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

#[test]
fn a_stalled_controllers_late_write_is_fenced_off() {
    let mut serving = Serving::start(&["--delay-ms", "10"]);
    let delayer = WriteDelayer::start(serving.cluster.calls[0]);
    let plan = std::fs::read_to_string(&serving.plan).expect("the plan");
    let service = format!("\"{}\"", serving.cluster.calls[0]);
    let plan = plan.replace(&service, &format!("\"{}\"", delayer.address));
    std::fs::write(&serving.plan, plan).expect("the plan");
    let load = serving.load();
    let release = serving.release();
    until("the second stage", RELEASE_TIMEOUT, || serving.listed("DRAINING") == ["old-0", "old-1"]);
    delayer.holding.store(true, Ordering::SeqCst);
    until("a write of the third stage", RELEASE_TIMEOUT, || {
        delayer.delayed_writes.load(Ordering::SeqCst) > 0
    });
    serving.fleet.pause(release);
    let mut token = Value::Null;
    until("another holder has the duty", RELEASE_TIMEOUT, || {
        let body = r#"{"duty":"release/web-2","holder":"other","ttl_ms":30000}"#;
        let (status, answer) = serving.cluster.write("/admin/leases/acquire", body);
        token = answer["grant"]["token"].clone();
        status == 200
    });
    // The delayed write arrives only now, and the resumed controller continues with its earlier decision.
    let before = (serving.listed("SERVING"), serving.listed("DRAINING"));
    delayer.holding.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    serving.fleet.resume(release);
    until("the controller steps down", RELEASE_TIMEOUT, || {
        serving.fleet.logged(release, "duty lost")
    });
    thread::sleep(Duration::from_millis(700));
    assert_eq!((serving.listed("SERVING"), serving.listed("DRAINING")), before);
    let body = format!(r#"{{"duty":"release/web-2","token":{token}}}"#);
    assert_eq!(serving.cluster.write("/admin/leases/release", &body).0, 200);
    assert_eq!(serving.fleet.ended(release, RELEASE_TIMEOUT), Some(0));
    assert_eq!(serving.listed("SERVING"), ids_of("new"));
    assert_eq!(lost_and_failed(&load.stop()), (0, 0));
}
