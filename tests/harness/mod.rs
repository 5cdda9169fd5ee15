//! Several processes of the program on loopback: started, faulted (SIGKILL, SIGSTOP, SIGCONT) and stopped,
//! each step bounded in time. Every process still running when the [`Fleet`] is dropped is killed and
//! reaped, so a failing test leaves nothing behind.

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
/// How long a process may take to say where it listens, or to become ready.
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
    /// Its id at the system.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it was started with.
    pub fn args(&self) -> Vec<String> {
        self.args.clone()
    }
}

#[derive(Default)]
pub struct Fleet {
    number: usize,
    pub processes: Vec<Process>,
    /// Management addresses of processes that those here have started.
    pub adopted: Vec<SocketAddr>,
    /// What processes of these names have in their environment beside what they are started with.
    pub environments: Vec<(&'static str, Vec<(&'static str, String)>)>,
    files: Vec<PathBuf>,
}

/// A fleet's number among those of this test program.
static FLEETS: AtomicUsize = AtomicUsize::new(0);

/// Ports handed out by [`free`] lie below those that the system gives to outgoing connections and to port 0, or one
/// of these could take one before its process listens there.
const PORTS: std::ops::Range<u32> = 20_000..32_000;
static HANDED_OUT: AtomicUsize = AtomicUsize::new(0);

/// An address on loopback that nobody has now, and that this program hands out once.
pub fn free() -> SocketAddr {
    // Programs that run side by side begin at different ports.
    let first = std::process::id().wrapping_mul(131);
    loop {
        let next = first.wrapping_add(HANDED_OUT.fetch_add(1, Ordering::Relaxed) as u32);
        let port = PORTS.start + next % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Waits until `holds`, and says how long that took.
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
            self.number = 1 + FLEETS.fetch_add(1, Ordering::Relaxed);
        }
        let name = format!("hollowpaddle-{}-{}-{name}", std::process::id(), self.number);
        let path = std::env::temp_dir().join(name);
        self.files.push(path.clone());
        path
    }

    /// A file of this fleet's, removed with it.
    pub fn file(&mut self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a temporary file");
        path
    }

    /// A folder of this fleet's, not made yet, removed with it.
    pub fn folder(&mut self, name: &str) -> PathBuf {
        self.path(name)
    }

    /// Starts the program with these arguments and environment, and waits until it logs
    /// `listening on ADDRESS`. Returns its index.
    pub fn start(&mut self, name: &str, args: &[&str], env: &[(&str, &str)]) -> usize {
        let args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
        let mut env: Vec<(String, String)> =
            env.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect();
        for (_, more) in self.environments.iter().filter(|(of, _)| *of == name) {
            env.extend(more.iter().map(|(k, v)| ((*k).to_owned(), v.clone())));
        }
        let process = launch(name.to_owned(), args, env);
        self.processes.push(process);
        self.processes.len() - 1
    }

    /// Starts a process that has ended again, as it was started before.
    pub fn restart(&mut self, i: usize) {
        let old = &self.processes[i];
        self.processes[i] = launch(old.name.clone(), old.args.clone(), old.env.clone());
    }

    /// Whether a line of its log since its start holds this.
    pub fn logged(&self, i: usize, what: &str) -> bool {
        self.line(i, what).is_some()
    }

    /// The first line of its log since its start that holds this.
    pub fn line(&self, i: usize, what: &str) -> Option<String> {
        let log = self.processes[i].log.lock().expect("a log");
        log.iter().find(|line| line.contains(what)).cloned()
    }

    /// Waits until it has ended by itself: its exit code.
    pub fn ended(&mut self, i: usize, within: Duration) -> Option<i32> {
        let (name, child) = (self.processes[i].name.clone(), &mut self.processes[i].child);
        let mut status = None;
        until(&format!("{name} ends"), within, || {
            status = child.try_wait().expect("a child");
            status.is_some()
        });
        status.and_then(|s| s.code())
    }

    /// Its exit status, if it has ended.
    pub fn exited(&mut self, i: usize) -> Option<ExitStatus> {
        self.processes[i].child.try_wait().expect("a child")
    }

    /// The index of the process of this name.
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

    /// Holds it for so long from now on (SIGSTOP, SIGCONT), without waiting.
    pub fn hold(&self, i: usize, held: Duration) {
        let pid = Pid::from_child(&self.processes[i].child);
        let _ = kill_process(pid, Signal::STOP);
        thread::spawn(move || {
            thread::sleep(held);
            // It may have been killed meanwhile.
            let _ = kill_process(pid, Signal::CONT);
        });
    }

    pub fn kill(&mut self, i: usize) {
        self.signal(i, Signal::KILL);
        let _ = self.processes[i].child.wait();
    }

    /// SIGHUP: its configuration has changed.
    pub fn hang_up(&self, i: usize) {
        self.signal(i, Signal::HUP);
    }

    /// SIGTERM, without waiting.
    pub fn stop(&self, i: usize) {
        self.signal(i, Signal::TERM);
    }

    pub fn pause(&self, i: usize) {
        self.signal(i, Signal::STOP);
    }

    pub fn resume(&self, i: usize) {
        self.signal(i, Signal::CONT);
    }

    /// Waits until `GET /-/ready` at its address answers 200.
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

fn launch(name: String, args: Vec<String>, env: Vec<(String, String)>) -> Process {
    let mut command = Command::new(PROGRAM);
    command.args(&args).env("LB_NAME", &name).stdout(Stdio::null()).stderr(Stdio::piped());
    command.env_remove("LB_LOG_FORMAT").envs(env.iter().map(|(k, v)| (k, v)));
    let mut child = command.spawn().expect("the program starts");
    let stderr = BufReader::new(child.stderr.take().expect("piped"));
    let (told, heard) = mpsc::channel();
    let log = Arc::new(Mutex::new(Vec::new()));
    let (prefix, lines) = (name.clone(), log.clone());
    // The pipe must not fill up, so it is read to its end.
    thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            if let Some((_, rest)) = line.split_once("listening on ") {
                let address = rest.split(|c: char| c.is_whitespace() || c == '"').next();
                let _ = told.send(address.and_then(|a| a.parse::<SocketAddr>().ok()));
            }
            eprintln!("{prefix}: {line}");
            lines.lock().expect("a log").push(line);
        }
    });
    let address = heard.recv_timeout(START).ok().flatten();
    let Some(address) = address else {
        let _ = child.kill();
        panic!("{name} did not say where it listens within {START:?}");
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

/// One GET on a connection of its own: [`ask`].
pub fn get(address: SocketAddr, path: &str, headers: &[&str]) -> Option<(u16, String)> {
    ask(address, "GET", path, headers, "")
}

/// One POST on a connection of its own, with a JSON body: [`ask`].
pub fn post(address: SocketAddr, path: &str, body: &str) -> Option<(u16, String)> {
    ask(address, "POST", path, &[], body)
}

/// One request on a connection of its own, read to its end: the status and the body (chunked or not, as it
/// came). `None` where nothing answered within a few seconds.
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

/// [`get`], its answer read as JSON; null where there was none.
pub fn look(address: SocketAddr, path: &str) -> Value {
    let answer = get(address, path, &[]);
    answer.and_then(|(_, body)| serde_json::from_str(&body).ok()).unwrap_or_default()
}

/// The list services of one cluster.
pub struct Cluster {
    /// Indices in the fleet.
    pub at: Vec<usize>,
    /// Where each is read.
    pub lists: Vec<SocketAddr>,
    /// Where each is called.
    pub calls: Vec<SocketAddr>,
    /// Where each keeps its state.
    pub dirs: Vec<PathBuf>,
    /// Which decided last: asked first, for another may be paused and keep its caller waiting.
    decided: Cell<SocketAddr>,
}

impl Cluster {
    /// Starts `n` instances with these lines in the file of each, and waits until one leads and all can be read.
    pub fn start(fleet: &mut Fleet, n: usize, extra: &str) -> Self {
        Self::start_routed(fleet, n, extra, &mut |_, _, at| at)
    }

    /// The same, where instance `from` reaches the `management` address of instance `to` by what `route(from, to,
    /// address)` says; its own address has to stay as it is.
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
        let decided = Cell::new(calls[0]);
        let cluster = Self { at, lists, calls, dirs, decided };
        cluster.leader(None);
        cluster.at.iter().for_each(|i| fleet.ready(*i));
        cluster
    }

    /// Waits for a leader other than `not` that the others agree on: which it is.
    pub fn leader(&self, not: Option<usize>) -> usize {
        let mut leader = None;
        until("a leader", START, || {
            let leads = |i: &usize| look(self.calls[*i], "/admin/health")["leads"] == true;
            leader = (0..self.calls.len()).filter(|i| Some(*i) != not).find(leads);
            leader.is_some()
        });
        let leader = leader.expect("found");
        self.decided.set(self.calls[leader]);
        leader
    }

    /// Where all are called, with commas between.
    pub fn services(&self) -> String {
        let all: Vec<String> = self.calls.iter().map(ToString::to_string).collect();
        all.join(",")
    }

    /// A write, made of whichever instance decides; the status and answer.
    pub fn write(&self, path: &str, body: &str) -> (u16, Value) {
        let (from, mut at) = (Instant::now(), self.decided.get());
        for next in self.calls.iter().cycle() {
            let asked = at;
            let answer = post(asked, path, body);
            let value =
                answer.as_ref().and_then(|(_, body)| serde_json::from_str::<Value>(body).ok());
            let value = value.unwrap_or_default();
            at = *next;
            match answer.map(|(status, _)| status) {
                // It names the leader, where it knows one.
                Some(421) if value["leader"].is_string() => {
                    at = value["leader"].as_str().and_then(|a| a.parse().ok()).unwrap_or(at);
                }
                None | Some(421 | 503) => thread::sleep(Duration::from_millis(10)),
                Some(status) => {
                    self.decided.set(asked);
                    return (status, value);
                }
            }
            assert!(from.elapsed() < START, "{path}: nobody decided within {START:?}");
        }
        unreachable!("cycles")
    }

    /// Registers a member without a TTL; the revision after it.
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

/// A watch on the list, read line by line.
pub struct Watch {
    stream: TcpStream,
    seen: Vec<u8>,
}

impl Watch {
    pub fn open(at: SocketAddr, index: u64) -> Self {
        Self::open_with(at, index, "")
    }

    /// The same with more in its query.
    pub fn open_with(at: SocketAddr, index: u64, query: &str) -> Self {
        let mut stream = TcpStream::connect(at).expect("it accepts");
        stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a timeout");
        let target = format!("/api/targets?stream=1&index={index}{query}");
        let head = format!("GET {target} HTTP/1.1\r\nHost: a\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        Self { stream, seen: Vec::new() }
    }

    /// The next message within this time; `None` for none, or where the watch has ended.
    pub fn next(&mut self, within: Duration) -> Option<Value> {
        let (from, mut buffer) = (Instant::now(), [0; 1 << 16]);
        loop {
            while let Some(end) = self.seen.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.seen.drain(..=end).collect();
                // What is no object is the head, a chunk's size, or a heartbeat.
                if let Ok(message @ Value::Object(_)) = serde_json::from_slice(&line) {
                    return Some(message);
                }
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(n) => self.seen.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
            if from.elapsed() >= within {
                return None;
            }
        }
    }
}

/// The headers of a request that a proxy with `examples/proxy.json` takes.
pub const ASK: [&str; 3] = ["X-Class: read", "X-Deadline-Ms: 2000", "X-Request-Id: t-1"];

/// The environment of a proxy with `examples/proxy.json` on free ports.
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
    /// Starts a proxy with `examples/proxy.json`, this list and what else is set; its index and where operators call.
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
