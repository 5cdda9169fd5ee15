//! What the tests of this review's last sitting share: the program as the deploy file starts it, and stand-ins for discovery, upstreams
//! and clients, as PROTOCOL describes them. The standard library only; loopback addresses only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicI32, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a case may take, in milliseconds.
const MOST_MS: u64 = 110_000;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the case plays its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn pause(n: u64) {
    std::thread::sleep(ms(n));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

// ---- the record ----

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// The folder of the case, two levels below the root: the first argument, given by `run.sh`.
fn folder() -> PathBuf {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder is named"));
    PathBuf::from(folder)
}

/// Opens `record.txt` in the folder of the case.
pub fn open_record() {
    START.get_or_init(Instant::now);
    let dir = folder();
    match File::create(dir.join("record.txt")) {
        Ok(file) => drop(RECORD.set(Mutex::new(file))),
        Err(cause) => cannot_run(&format!("record.txt: {cause}")),
    }
    record(&format!("trouble: {}", if trouble() { "yes" } else { "no" }));
    for number in [1, 2, 15] {
        unsafe { signal(number, on_signal as *const () as usize) };
    }
    // A fault of this test is no verdict, and leaves no process behind.
    std::panic::set_hook(Box::new(|info| cannot_run(&format!("{info}"))));
    std::thread::spawn(|| {
        pause(MOST_MS);
        cannot_run("it took too long");
    });
}

pub fn since_start() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}

/// A line of the record, with the time in milliseconds since the start.
pub fn record(line: &str) {
    let line = format!("{:9.1} {line}\n", since_start());
    if let Some(file) = RECORD.get() {
        let _ = file.lock().expect("not poisoned").write_all(line.as_bytes());
    }
}

/// A line of the record that is printed too.
pub fn say(line: &str) {
    record(line);
    println!("{line}");
}

/// Ends the case: the verdict, and no process left.
pub fn finish(code: i32, verdict: &str) -> ! {
    say(verdict);
    end_all();
    std::process::exit(code);
}

pub fn cannot_run(why: &str) -> ! {
    finish(NOT_RUN, &format!("could not run: {why}"));
}

// ---- processes ----

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: usize) -> usize;
    fn _exit(code: i32) -> !;
}

/// The processes that were started, for the end of a test that is itself ended by a signal.
static STARTED: [AtomicI32; 16] = [const { AtomicI32::new(0) }; 16];

extern "C" fn on_signal(_: i32) {
    for pid in &STARTED {
        let pid = pid.load(Ordering::SeqCst);
        if pid > 0 {
            unsafe { kill(pid, 9) };
        }
    }
    unsafe { _exit(NOT_RUN) }
}

static CHILDREN: Mutex<Vec<(u32, Child)>> = Mutex::new(Vec::new());

fn end_all() {
    let mut children = CHILDREN.lock().expect("not poisoned");
    for (pid, child) in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
        for started in STARTED.iter().filter(|s| s.load(Ordering::SeqCst) == *pid as i32) {
            started.store(0, Ordering::SeqCst);
        }
    }
    children.clear();
    if let Some(dir) = TEMP.get() {
        let _ = fs::remove_dir_all(dir);
    }
}

static TEMP: OnceLock<PathBuf> = OnceLock::new();

/// The temporary folder of this run.
pub fn temp() -> PathBuf {
    TEMP.get_or_init(|| {
        let dir = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        if let Err(cause) = fs::create_dir_all(&dir) {
            cannot_run(&format!("temporary folder: {cause}"));
        }
        dir
    })
    .clone()
}

/// A free port of 127.0.0.1.
pub fn free_port() -> u16 {
    match TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()) {
        Ok(address) => address.port(),
        Err(cause) => cannot_run(&format!("no free port: {cause}")),
    }
}

fn root() -> PathBuf {
    folder().join("../..")
}

/// The value of a key of the deploy file.
fn deploy(key: &str) -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("{key} = \"")));
    match line.and_then(|l| l.strip_suffix('"')) {
        Some(command) => command.to_owned(),
        None => cannot_run(&format!("the deploy file has no key {key}")),
    }
}

/// One balancer.
pub struct Proxy {
    pub pid: u32,
    pub listen: SocketAddr,
    pub management: SocketAddr,
    pub log: PathBuf,
    pub config: PathBuf,
}

pub struct Setup<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub management: SocketAddr,
    pub discovery: SocketAddr,
    /// In discovery's form.
    pub known: String,
    pub settings: String,
    pub memory_mb: u32,
    pub sockets: u32,
    pub tmpdir: PathBuf,
}

impl Setup<'_> {
    pub fn write(&self) -> PathBuf {
        let path = temp().join(format!("{}-{}.json", self.name, self.management.port()));
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"management\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.name, self.listen, self.discovery, self.management, self.memory_mb, self.sockets, self.known, self.settings
        );
        if let Err(cause) = fs::write(&path, text) {
            cannot_run(&format!("configuration: {cause}"));
        }
        path
    }
}

impl Proxy {
    /// Starts the program by `run` of the deploy file, from the root.
    pub fn start(setup: &Setup) -> Proxy {
        let config = setup.write();
        let _ = fs::create_dir_all(&setup.tmpdir);
        let log = temp().join(format!("{}-{}.log", setup.name, setup.management.port()));
        let out = File::create(&log).unwrap_or_else(|e| cannot_run(&format!("log: {e}")));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy("run"))
            .current_dir(root())
            .env("LB_NAME", setup.name)
            .env("LB_LISTEN", setup.listen.to_string())
            .env("LB_DISCOVERY", setup.discovery.to_string())
            .env("LB_MANAGEMENT", setup.management.to_string())
            .env("LB_CONFIG", &config)
            .env("LB_LOG_LEVEL", std::env::var("LB_LOG_LEVEL").unwrap_or_else(|_| "info".into()))
            .env("TMPDIR", &setup.tmpdir)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(out))
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("start: {e}")));
        let pid = child.id();
        if let Some(free) = STARTED.iter().find(|started| started.load(Ordering::SeqCst) == 0) {
            free.store(pid as i32, Ordering::SeqCst);
        }
        CHILDREN.lock().expect("not poisoned").push((pid, child));
        record(&format!("started {} as process {pid} at {}", setup.name, setup.listen));
        Proxy { pid, listen: setup.listen, management: setup.management, log, config }
    }

    /// Waits for `GET /-/ready` to be answered 200.
    pub fn wait_ready(&self) {
        let until = Instant::now() + ms(20_000);
        while Instant::now() < until {
            if get(self.listen, "/-/ready", ms(500)).is_ok_and(|a| a.status == 200) {
                record("ready");
                return;
            }
            pause(20);
        }
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        cannot_run(&format!("not ready after 20 s; its log:\n{log}"));
    }

    pub fn signal(&self, name: &str) {
        record(&format!("{name} to process {}", self.pid));
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid.to_string()).status();
    }

    /// Whether the process has ended.
    pub fn ended(&self) -> bool {
        let mut children = CHILDREN.lock().expect("not poisoned");
        let child = children.iter_mut().find(|(pid, _)| *pid == self.pid);
        child.is_none_or(|(_, child)| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// The process's log, into the record.
    pub fn record_log(&self) {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        record(&format!("log of process {}:", self.pid));
        for line in log.lines().take(400) {
            record(&format!("  {line}"));
        }
    }
}

// ---- discovery ----

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

impl Entry {
    pub fn serving(id: &str, address: SocketAddr) -> Entry {
        let (zone, kind) = ("taipei".into(), "std".into());
        Entry { id: id.into(), address, zone, kind, cell: 0, phase: "SERVING", up_since_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":{},\"phase\":\"{}\",\
             \"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.address, self.zone, self.kind, self.cell, self.phase, self.up_since_ms
        )
    }
}

pub fn list_json(revision: u64, complete: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", entries.join(","))
}

struct AgentState {
    revision: u64,
    /// The list, by id, without the deleted.
    members: BTreeMap<String, Entry>,
    /// Every change, with its revision.
    changes: Vec<(u64, Entry)>,
    /// How long a call waits for its answer.
    answer_after: Duration,
    /// Watches with a number below this are reset.
    reset_below: usize,
}

/// Discovery, as PROTOCOL describes it: the whole list, or a watch of the changes.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
}

impl Agent {
    pub fn start(revision: u64, entries: &[Entry]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("discovery: {e}")));
        let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("discovery: {e}")));
        let members = entries.iter().map(|e| (e.id.clone(), e.clone())).collect();
        let state = AgentState { revision, members, changes: Vec::new(), answer_after: ms(0), reset_below: 0 };
        let agent = Agent { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = agent.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let agent = serving.clone();
                std::thread::spawn(move || {
                    let ended = agent.serve(number, stream);
                    record(&format!("discovery: call {number} ended: {ended:?}"));
                });
            }
        });
        agent
    }

    pub fn answer_after(&self, wait: Duration) {
        self.state.0.lock().expect("not poisoned").answer_after = wait;
        record(&format!("discovery: calls are answered after {} ms from now on", wait.as_millis()));
    }

    /// Resets the watches that are open now.
    pub fn reset_watches(&self, next_call: usize) {
        self.state.0.lock().expect("not poisoned").reset_below = next_call;
        self.state.1.notify_all();
    }

    /// Changes entries in one step; `DELETED` removes.
    pub fn change(&self, entries: &[Entry]) {
        let mut state = self.state.0.lock().expect("not poisoned");
        state.revision += 1;
        let revision = state.revision;
        for entry in entries {
            if entry.phase == "DELETED" {
                state.members.remove(&entry.id);
            } else {
                state.members.insert(entry.id.clone(), entry.clone());
            }
            state.changes.push((revision, entry.clone()));
            record(&format!("discovery: revision {revision}: {} {} up_since_ms {}", entry.id, entry.phase, entry.up_since_ms));
        }
        self.state.1.notify_all();
    }

    fn serve(&self, number: usize, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let Some(head) = read_head(&mut reader)? else { return Ok(()) };
        let target = head.start.split(' ').nth(1).unwrap_or_default().to_owned();
        record(&format!("discovery: call {number}: {target}"));
        let wait = self.state.0.lock().expect("not poisoned").answer_after;
        std::thread::sleep(wait);
        let mut stream = stream;
        let query = |name: &str| {
            let (_, query) = target.split_once('?')?;
            query.split('&').find_map(|p| p.strip_prefix(&format!("{name}="))).map(str::to_owned)
        };
        let mut state = self.state.0.lock().expect("not poisoned");
        let whole = |state: &AgentState| {
            let entries: Vec<Entry> = state.members.values().cloned().collect();
            list_json(state.revision, true, &entries)
        };
        if query("stream").is_none() {
            let body = whole(&state);
            drop(state);
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let index: u64 = query("index").and_then(|i| i.parse().ok()).unwrap_or(0);
        let first = whole(&state);
        let mut told = index;
        let oldest = state.changes.first().map_or(state.revision, |(r, _)| r - 1);
        if index < oldest || index > state.revision {
            told = state.revision;
            chunk(&mut stream, &format!("{first}\n"))?;
            record(&format!("discovery: call {number} was told the whole list, revision {told}"));
        }
        loop {
            if number < state.reset_below {
                return Err(io::Error::other("reset by the case"));
            }
            if state.revision > told {
                let mut changed: BTreeMap<String, Entry> = BTreeMap::new();
                for (_, entry) in state.changes.iter().filter(|(r, _)| *r > told) {
                    changed.insert(entry.id.clone(), entry.clone());
                }
                told = state.revision;
                let entries: Vec<Entry> = changed.into_values().collect();
                let line = format!("{}\n", list_json(told, false, &entries));
                drop(state);
                chunk(&mut stream, &line)?;
                record(&format!("discovery: call {number} was told the changes to revision {told}"));
                state = self.state.0.lock().expect("not poisoned");
                continue;
            }
            let (next, waited) = self.state.1.wait_timeout(state, ms(2000)).expect("not poisoned");
            state = next;
            if waited.timed_out() {
                drop(state);
                chunk(&mut stream, "\n")?;
                state = self.state.0.lock().expect("not poisoned");
            }
        }
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---- HTTP ----

pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if lines.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() && lines.is_empty() {
            continue;
        }
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let headers = lines[1..].iter().filter_map(|l| l.split_once(':'));
    let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
    Ok(Some(Head { start: lines[0].clone(), headers }))
}

fn read_body(reader: &mut impl BufRead, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&piece[..size]);
        }
    }
    match head.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if is_answer => drop(reader.read_to_end(&mut body)?),
        None => {}
    }
    Ok(body)
}

// ---- upstreams ----

/// A request as an upstream received it.
pub struct Received {
    /// The number of the connection, from 0.
    pub connection: usize,
    /// The number of the request at this upstream, from 0.
    pub number: usize,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Received {
    pub fn id(&self) -> &str {
        self.head.get("x-request-id").unwrap_or("?")
    }
}

/// A stand-in upstream: `work` is called for each request, in a thread for each connection, and writes the answer; it returns
/// whether the connection stays open.
pub struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    pub connections: Arc<AtomicUsize>,
}

impl Upstream {
    pub fn start<W>(name: &str, work: W) -> Upstream
    where
        W: Fn(&Received, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        Upstream::start_with(name, |_| None, work)
    }

    /// `at_head` may give an answer that is sent before the body is read; such a request is never worked on.
    pub fn start_with<E, W>(name: &str, at_head: E, work: W) -> Upstream
    where
        E: Fn(&Head) -> Option<String> + Send + Sync + 'static,
        W: Fn(&Received, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("upstream: {e}")));
        let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("upstream: {e}")));
        let (work, numbers) = (Arc::new((at_head, work)), Arc::new(AtomicUsize::new(0)));
        let connections = Arc::new(AtomicUsize::new(0));
        let (counted, named) = (connections.clone(), name.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection = counted.fetch_add(1, Ordering::SeqCst);
                let (work, numbers, name) = (work.clone(), numbers.clone(), named.clone());
                std::thread::spawn(move || {
                    let _ = serve(stream, connection, &numbers, &name, &work.0, &work.1);
                });
            }
        });
        Upstream { name: name.to_owned(), address, connections }
    }
}

impl Upstream {
    /// `serve` has each connection to itself, with its number.
    pub fn start_raw<S>(name: &str, serve: S) -> Upstream
    where
        S: Fn(usize, TcpStream) -> io::Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("upstream: {e}")));
        let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&format!("upstream: {e}")));
        let (serve, connections) = (Arc::new(serve), Arc::new(AtomicUsize::new(0)));
        let counted = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serve, connection) = (serve.clone(), counted.fetch_add(1, Ordering::SeqCst));
                std::thread::spawn(move || drop(serve(connection, stream)));
            }
        });
        Upstream { name: name.to_owned(), address, connections }
    }
}

fn serve<E, W>(
    stream: TcpStream,
    connection: usize,
    numbers: &AtomicUsize,
    name: &str,
    at_head: &E,
    work: &W,
) -> io::Result<()>
where
    E: Fn(&Head) -> Option<String>,
    W: Fn(&Received, &mut TcpStream) -> io::Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(head) = read_head(&mut reader)? {
        if let Some(answer) = at_head(&head) {
            record(&format!("{name}: connection {connection}: turned away {}", head.get("x-request-id").unwrap_or("?")));
            stream.write_all(answer.as_bytes())?;
            read_body(&mut reader, &head, false)?;
            continue;
        }
        let body = read_body(&mut reader, &head, false)?;
        let number = numbers.fetch_add(1, Ordering::SeqCst);
        let received = Received { connection, number, head, body };
        record(&format!("{name}: connection {connection}: request {}", received.id()));
        if !work(&received, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

/// A whole answer with this body.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Load: TEXT inflight=1, queue=0\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

// ---- clients ----

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub closes: bool,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&to, ms(3000))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next answer; an error of kind `TimedOut` or `WouldBlock` if there is none within the time.
    pub fn answer(&mut self, within: Duration) -> io::Result<Answer> {
        let until = Instant::now() + within;
        self.stream.set_read_timeout(Some(within.max(ms(1))))?;
        // Waits for the first byte within the time, and for the rest a little longer.
        let first = self.reader.fill_buf()?;
        if first.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.stream.set_read_timeout(Some((until.saturating_duration_since(Instant::now())).max(ms(1000))))?;
        let Some(head) = read_head(&mut self.reader)? else { return Err(io::ErrorKind::UnexpectedEof.into()) };
        let status = head.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let closes = head.get("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let body = read_body(&mut self.reader, &head, true)?;
        Ok(Answer { status, body: String::from_utf8_lossy(&body).into_owned(), closes })
    }
}

pub fn get(to: SocketAddr, path: &str, within: Duration) -> io::Result<Answer> {
    let mut client = Client::connect(to)?;
    client.send(format!("GET {path} HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n").as_bytes())?;
    client.answer(within)
}

pub fn post(to: SocketAddr, path: &str, within: Duration) -> io::Result<Answer> {
    let mut client = Client::connect(to)?;
    client.send(format!("POST {path} HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
    client.answer(within)
}

/// A request of a class that may be repeated.
pub fn get_request(id: &str, class: &str, deadline_ms: u64) -> String {
    format!("GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n")
}

/// A request of a class that must never run twice.
pub fn post_request(id: &str, class: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

// ---- settings ----

/// The settings of trade-counter-web, as the interface page shows them, for this many balancers.
pub fn settings(balancers: u32, position: u32, registry_mode: &str) -> String {
    let class = |name: &str, aim: u32, deadline: u32, effect: &str, importance: u32| {
        format!(
            "{{\"Aim\":{aim}.0,\"Deadline\":{deadline}.0,\"Effect\":\"{effect}\",\"Group\":\"all\",\"Importance\":{importance}.0,\
             \"LateValue\":0.0,\"Name\":\"{name}\",\"Streaming\":false,\"Window\":5000.0}}"
        )
    };
    let classes = [
        class("stock-check", 400, 2000, "retryable", 1),
        class("place-order", 2000, 6000, "fragile", 5),
        class("pickup-hold", 2500, 5000, "fragile", 2),
        class("delivery-book", 2500, 5000, "fragile", 3),
    ];
    format!(
        "{{\"Balancers\":{balancers},\"ClientHabits\":{{\"MarksRetry\":true}},\"CountedBy\":\"request\",\"Family\":\"proxy\",\
         \"FamilyInfo\":{{\"WarmKeys\":true}},\"Layer\":0,\"MachineTypes\":[\"std\",\"lite\"],\"OverShareWorth\":0.1,\
         \"PolicyLimits\":{{\"Cancelling\":true,\"ConnectTimeout\":200.0,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":8000,\
         \"Keepalive\":60000.0,\"MaxAttempts\":4,\"MaxOpen\":20000,\"MaxRetryAfter\":2000.0,\"PeerMessages\":false,\
         \"Probes\":false,\"RetryAfter\":false,\"SecondCopies\":true,\"StreamsPerConn\":1}},\"Position\":{position},\
         \"Prices\":{{\"Connection\":0.0,\"CrossZone\":0.029,\"Handshake\":0.0,\"LateFail\":0.03,\"Moves\":0.0,\"Origin\":0.0,\
         \"Peer\":0.0,\"Probe\":0.0,\"RegistryMode\":0.0,\"Waste\":0.1}},\"RegistryMode\":\"{registry_mode}\",\
         \"Safety\":{{\"AnswerSlack\":20.0,\"AskEvery\":10000.0,\"Cold\":9000.0,\"ColdFrom\":0.3,\"DrainGrace\":1000.0,\
         \"FallMultiple\":3.0,\"TipAfter\":3000.0}},\"ScoringMix\":{{\"Whole\":0.35,\"WorstClass\":0.2,\"WorstTenant\":0.0,\
         \"WorstWindow\":0.45}},\"Services\":[{}],\"Stats\":{{\"How\":\"piggyback\",\"Names\":[\"queue\",\"inflight\"]}},\
         \"Tenants\":[],\"Tick\":5.0,\"Tiers\":[\"counter-web\"],\"Weights\":\"silent\",\"Zone\":0,\
         \"Zones\":[\"taipei\",\"taichung\",\"kaohsiung\"]}}",
        classes.join(",")
    )
}

/// The address 127.0.0.1 with a free port.
pub fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_port()))
}
