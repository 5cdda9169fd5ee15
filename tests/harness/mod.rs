//! Starts, stops and signals (SIGKILL, SIGSTOP, SIGCONT) processes of the program on loopback, with a time limit
//! on each step. Dropping the [`Fleet`] kills and reaps every process that still runs, so a failing test leaves
//! none behind.

use std::cell::Cell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_hollowpaddle");
/// Time limit for a process to log its listening address or to become ready.
pub const START: Duration = Duration::from_secs(5);

pub struct Process {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
    args: Vec<String>,
    env: Vec<(String, String)>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The command-line arguments it was started with.
    pub fn args(&self) -> Vec<String> {
        self.args.clone()
    }
}

#[derive(Default)]
pub struct Fleet {
    number: usize,
    pub processes: Vec<Process>,
    /// Management addresses of processes started by those of this fleet, which are killed with it.
    pub adopted: Vec<SocketAddr>,
    /// Extra environment variables by process name, in addition to those passed to [`Fleet::start`].
    pub environments: Vec<(&'static str, Vec<(&'static str, String)>)>,
    files: Vec<PathBuf>,
}

/// The number of fleets in this test program that have created files; numbers their paths.
static FLEET_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Ports for [`free`], below the ephemeral range: an outgoing connection or a bind to port 0 could otherwise take
/// the port before the process that it is meant for listens there.
const PORTS: std::ops::Range<u32> = 20_000..32_000;
static NEXT_PORT: AtomicUsize = AtomicUsize::new(0);

/// Returns a loopback address that is unused now; this program returns each port once.
pub fn free() -> SocketAddr {
    // Test programs that run concurrently start at different ports.
    let first = std::process::id().wrapping_mul(131);
    loop {
        let next = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed) as u32);
        let port = PORTS.start + next % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Waits until `holds` returns true, and returns how long that took.
pub fn until(what: &str, within: Duration, mut holds: impl FnMut() -> bool) -> Duration {
    let from = Instant::now();
    while !holds() {
        assert!(from.elapsed() < within, "{what} within {within:?}");
        thread::sleep(Duration::from_millis(5));
    }
    from.elapsed()
}

impl Fleet {
    fn path(&mut self, name: &str) -> PathBuf {
        if self.number == 0 {
            self.number = 1 + FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        }
        let name = format!("hollowpaddle-{}-{}-{name}", std::process::id(), self.number);
        let path = std::env::temp_dir().join(name);
        self.files.push(path.clone());
        path
    }

    /// Creates a temporary file that is removed when the fleet is dropped.
    pub fn file(&mut self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a temporary file");
        path
    }

    /// Path for a temporary folder, not created here, that is removed when the fleet is dropped.
    pub fn folder(&mut self, name: &str) -> PathBuf {
        self.path(name)
    }

    /// Starts the program with these arguments and environment, waits until it logs `listening on ADDRESS`, and
    /// returns its index.
    pub fn start(&mut self, name: &str, args: &[&str], env: &[(&str, &str)]) -> usize {
        let args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
        let mut env: Vec<(String, String)> =
            env.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect();
        for (_, more) in self.environments.iter().filter(|(of, _)| *of == name) {
            env.extend(more.iter().map(|(k, v)| ((*k).to_owned(), v.clone())));
        }
        let process = spawn_process(name.to_owned(), args, env);
        self.processes.push(process);
        self.processes.len() - 1
    }

    /// Restarts a process that has exited, with the same arguments and environment.
    pub fn restart(&mut self, i: usize) {
        let old = &self.processes[i];
        self.processes[i] = spawn_process(old.name.clone(), old.args.clone(), old.env.clone());
    }

    /// Whether a line of the process's log since its start contains `what`.
    pub fn logged(&self, i: usize, what: &str) -> bool {
        self.line(i, what).is_some()
    }

    /// The first line of the process's log since its start that contains `what`.
    pub fn line(&self, i: usize, what: &str) -> Option<String> {
        let log = self.processes[i].log.lock().expect("a log");
        log.iter().find(|line| line.contains(what)).cloned()
    }

    /// Waits until the process exits by itself, and returns its exit code.
    pub fn ended(&mut self, i: usize, within: Duration) -> Option<i32> {
        let (name, child) = (self.processes[i].name.clone(), &mut self.processes[i].child);
        let mut status = None;
        until(&format!("{name} ends"), within, || {
            status = child.try_wait().expect("a child");
            status.is_some()
        });
        status.and_then(|s| s.code())
    }

    /// The exit status of the process if it has exited.
    pub fn exited(&mut self, i: usize) -> Option<ExitStatus> {
        self.processes[i].child.try_wait().expect("a child")
    }

    /// The index of the process with this name.
    pub fn named(&self, name: &str) -> usize {
        self.processes.iter().position(|p| p.name == name).expect("it was started")
    }

    pub fn address(&self, i: usize) -> SocketAddr {
        self.processes[i].address
    }

    fn signal(&self, i: usize, signal: Signal) {
        let pid = Pid::from_child(&self.processes[i].child);
        let sent = kill_process(pid, signal);
        assert!(sent.is_ok(), "{signal:?} to {}: {sent:?}", self.processes[i].name);
    }

    /// Stalls the process for this long (SIGSTOP, then SIGCONT), without waiting.
    pub fn hold(&self, i: usize, duration: Duration) {
        let pid = Pid::from_child(&self.processes[i].child);
        let _ = kill_process(pid, Signal::STOP);
        thread::spawn(move || {
            thread::sleep(duration);
            // The process may have been killed meanwhile.
            let _ = kill_process(pid, Signal::CONT);
        });
    }

    pub fn kill(&mut self, i: usize) {
        self.signal(i, Signal::KILL);
        let _ = self.processes[i].child.wait();
    }

    /// Sends SIGHUP, which makes the process reload its configuration.
    pub fn hang_up(&self, i: usize) {
        self.signal(i, Signal::HUP);
    }

    /// Sends SIGTERM, without waiting for the exit.
    pub fn stop(&self, i: usize) {
        self.signal(i, Signal::TERM);
    }

    pub fn pause(&self, i: usize) {
        self.signal(i, Signal::STOP);
    }

    pub fn resume(&self, i: usize) {
        self.signal(i, Signal::CONT);
    }

    /// Waits until `GET /-/ready` at the process's address answers 200.
    pub fn ready(&self, i: usize) {
        let from = Instant::now();
        while get(self.address(i), "/-/ready", &[]).map(|(status, _)| status) != Some(200) {
            assert!(
                from.elapsed() < START,
                "{} not ready within {START:?}",
                self.processes[i].name
            );
            thread::sleep(Duration::from_millis(10));
        }
    }
}

fn spawn_process(name: String, args: Vec<String>, env: Vec<(String, String)>) -> Process {
    let mut command = Command::new(PROGRAM);
    command.args(&args).env("LB_NAME", &name).stdout(Stdio::null()).stderr(Stdio::piped());
    command.env_remove("LB_LOG_FORMAT").envs(env.iter().map(|(k, v)| (k, v)));
    let mut child = command.spawn().expect("the program starts");
    let stderr = BufReader::new(child.stderr.take().expect("piped"));
    let (address_sender, address_receiver) = mpsc::channel();
    let log = Arc::new(Mutex::new(Vec::new()));
    let (prefix, lines) = (name.clone(), log.clone());
    // Reads the pipe to its end so that it does not fill up and block the process.
    thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            if let Some((_, rest)) = line.split_once("listening on ") {
                let address = rest.split(|c: char| c.is_whitespace() || c == '"').next();
                let _ = address_sender.send(address.and_then(|a| a.parse::<SocketAddr>().ok()));
            }
            eprintln!("{prefix}: {line}");
            lines.lock().expect("a log").push(line);
        }
    });
    let address = address_receiver.recv_timeout(START).ok().flatten();
    let Some(address) = address else {
        let _ = child.kill();
        panic!("{name} did not log its listening address within {START:?}");
    };
    Process { name, address, child, args, env, log }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        for at in &self.adopted {
            if let Some(pid) = look(*at, "/admin/health")["pid"].as_u64() {
                let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
            }
        }
        for file in &self.files {
            let _ = std::fs::remove_file(file);
            let _ = std::fs::remove_dir_all(file);
        }
    }
}

/// Sends a GET request with [`ask`].
pub fn get(address: SocketAddr, path: &str, headers: &[&str]) -> Option<(u16, String)> {
    ask(address, "GET", path, headers, "")
}

/// Sends a POST request with a JSON body with [`ask`].
pub fn post(address: SocketAddr, path: &str, body: &str) -> Option<(u16, String)> {
    ask(address, "POST", path, &[], body)
}

/// Sends a request on a new connection and reads it to its end. Returns the status and the raw body (chunked
/// encoding is not decoded), or `None` if no answer arrives within a few seconds.
pub fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let mut extra: String = headers.iter().map(|h| format!("{h}\r\n")).collect();
    if method == "POST" {
        extra += &format!("Content-Length: {}\r\n", body.len());
    }
    let head = format!("{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{extra}\r\n");
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    let status = text.split_whitespace().nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map(|(_, b)| b.to_owned()).unwrap_or_default();
    Some((status, body))
}

/// [`get`], with its answer parsed as JSON; null without an answer.
pub fn look(address: SocketAddr, path: &str) -> Value {
    let answer = get(address, path, &[]);
    answer.and_then(|(_, body)| serde_json::from_str(&body).ok()).unwrap_or_default()
}

/// A cluster of list service instances.
pub struct Cluster {
    /// Index in the fleet of each instance.
    pub at: Vec<usize>,
    /// The list address of each instance.
    pub lists: Vec<SocketAddr>,
    /// The management address of each instance.
    pub calls: Vec<SocketAddr>,
    /// The state directory of each instance.
    pub dirs: Vec<PathBuf>,
    /// The last known leader, called first, since a paused instance would block its caller.
    last_leader: Cell<SocketAddr>,
}

impl Cluster {
    /// Starts `n` instances with `extra` in the configuration of each, and waits for a leader and until all are ready.
    pub fn start(fleet: &mut Fleet, n: usize, extra: &str) -> Self {
        Self::start_routed(fleet, n, extra, &mut |_, _, at| at)
    }

    /// Like [`Self::start`], where instance `from` reaches the `management` address of instance `to` at the address
    /// returned by `route(from, to, address)`, which must return an instance's own address unchanged.
    pub fn start_routed(
        fleet: &mut Fleet,
        n: usize,
        extra: &str,
        route: &mut dyn FnMut(usize, usize, SocketAddr) -> SocketAddr,
    ) -> Self {
        let lists: Vec<_> = (0..n).map(|_| free()).collect();
        let calls: Vec<_> = (0..n).map(|_| free()).collect();
        let dirs: Vec<_> = (0..n).map(|i| fleet.folder(&format!("state-{i}"))).collect();
        let mut at = Vec::new();
        for i in 0..n {
            let peer = |(to, at): (usize, &SocketAddr)| {
                let at = route(i, to, *at);
                format!("[[peers]]\nid = {}\nmanagement = \"{at}\"\n", to + 1)
            };
            let peers: String = calls.iter().enumerate().map(peer).collect();
            let text = format!(
                "id = {}\nlisten = \"{}\"\nmanagement = \"{}\"\nstate_dir = \"{}\"\n{extra}\n{}",
                i + 1,
                lists[i],
                calls[i],
                dirs[i].display(),
                if n > 1 { &peers } else { "" },
            );
            let file = fleet.file(&format!("list-{i}.toml"), &text);
            let args = ["discovery", "--config", file.to_str().expect("UTF-8")];
            at.push(fleet.start(&format!("list-{}", i + 1), &args, &[]));
        }
        let last_leader = Cell::new(calls[0]);
        let cluster = Self { at, lists, calls, dirs, last_leader };
        cluster.leader(None);
        cluster.at.iter().for_each(|i| fleet.ready(*i));
        cluster
    }

    /// Waits until an instance other than `not` reports that it leads, and returns its index.
    pub fn leader(&self, not: Option<usize>) -> usize {
        let mut leader = None;
        until("a leader", START, || {
            let leads = |i: &usize| look(self.calls[*i], "/admin/health")["leads"] == true;
            leader = (0..self.calls.len()).filter(|i| Some(*i) != not).find(leads);
            leader.is_some()
        });
        let leader = leader.expect("found");
        self.last_leader.set(self.calls[leader]);
        leader
    }

    /// The management addresses of all instances, comma-separated.
    pub fn services(&self) -> String {
        let all: Vec<String> = self.calls.iter().map(ToString::to_string).collect();
        all.join(",")
    }

    /// Sends a write to the instances in turn until one accepts or rejects it; returns its status and answer.
    pub fn write(&self, path: &str, body: &str) -> (u16, Value) {
        let (from, mut at) = (Instant::now(), self.last_leader.get());
        for next in self.calls.iter().cycle() {
            let asked = at;
            let answer = post(asked, path, body);
            let value =
                answer.as_ref().and_then(|(_, body)| serde_json::from_str::<Value>(body).ok());
            let value = value.unwrap_or_default();
            at = *next;
            match answer.map(|(status, _)| status) {
                // Not the leader; the answer names the leader if it is known.
                Some(421) if value["leader"].is_string() => {
                    at = value["leader"].as_str().and_then(|a| a.parse().ok()).unwrap_or(at);
                }
                None | Some(421 | 503) => thread::sleep(Duration::from_millis(10)),
                Some(status) => {
                    self.last_leader.set(asked);
                    return (status, value);
                }
            }
            assert!(
                from.elapsed() < START,
                "{path}: no instance answered as leader within {START:?}"
            );
        }
        unreachable!("cycles")
    }

    /// Registers a member without a TTL, and returns the resulting revision.
    pub fn register(&self, id: &str, address: SocketAddr) -> u64 {
        let (status, answer) = self.write("/admin/members", &member(id, address));
        assert_eq!(status, 200, "{answer}");
        answer["revision"].as_u64().expect("a revision")
    }
}

/// The body that registers a member without a TTL.
pub fn member(id: &str, address: SocketAddr) -> String {
    let member =
        json!({"id": id, "host_port": address, "locality": "a", "flavor": "m", "phase": "SERVING"});
    json!({ "member": member }).to_string()
}

/// A watch on the list, parsed line by line.
pub struct Watch {
    stream: TcpStream,
    buffered: Vec<u8>,
}

impl Watch {
    pub fn open(at: SocketAddr, index: u64) -> Self {
        Self::open_with(at, index, "")
    }

    /// Like [`Self::open`], with `query` appended to the query string.
    pub fn open_with(at: SocketAddr, index: u64, query: &str) -> Self {
        let mut stream = TcpStream::connect(at).expect("it accepts");
        stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a timeout");
        let target = format!("/api/targets?stream=1&index={index}{query}");
        let head = format!("GET {target} HTTP/1.1\r\nHost: a\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        Self { stream, buffered: Vec::new() }
    }

    /// Returns the next message within this time; `None` if there is none or the watch has ended.
    pub fn next(&mut self, within: Duration) -> Option<Value> {
        let (from, mut buffer) = (Instant::now(), [0; 1 << 16]);
        loop {
            while let Some(end) = self.buffered.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffered.drain(..=end).collect();
                // Lines other than JSON objects are the response head, chunk sizes or heartbeats.
                if let Ok(message @ Value::Object(_)) = serde_json::from_slice(&line) {
                    return Some(message);
                }
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(n) => self.buffered.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
            if from.elapsed() >= within {
                return None;
            }
        }
    }
}

/// Headers of a valid request to a proxy configured by `examples/proxy.json`.
pub const ASK: [&str; 3] = ["X-Class: read", "X-Deadline-Ms: 2000", "X-Request-Id: t-1"];

/// The environment of a proxy configured by `examples/proxy.json`, on free ports.
pub fn proxy_env(discovery: &str) -> Vec<(&'static str, String)> {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/proxy.json");
    vec![
        ("LB_CONFIG", file.to_owned()),
        ("LB_LISTEN", "127.0.0.1:0".to_owned()),
        ("LB_MANAGEMENT", free().to_string()),
        ("LB_DISCOVERY", discovery.to_owned()),
    ]
}

impl Fleet {
    /// Starts a proxy configured by `examples/proxy.json` with this list service and more environment variables.
    /// Returns its index and management address.
    pub fn proxy(
        &mut self,
        name: &str,
        discovery: &str,
        more: &[(&str, &str)],
    ) -> (usize, SocketAddr) {
        let env = proxy_env(discovery);
        let calls = env[2].1.parse().expect("an address");
        let mut env: Vec<(&str, &str)> = env.iter().map(|(k, v)| (*k, v.as_str())).collect();
        env.extend(more);
        (self.start(name, &[], &env), calls)
    }
}
