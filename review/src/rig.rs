//! What the cases share: processes of the project, stand-in upstreams, an HTTP/1.1 client, and the record.
//! Standard library only. Every address is on loopback.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The result of a case: whether the rule was broken, with the reason, or why it could not run.
pub type Verdict = Result<Option<String>, String>;

/// The record of a run, shared by all threads.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    lines: Arc<Mutex<fs::File>>,
}

impl Recorder {
    /// Milliseconds since the start of the case.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.lines.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {}", self.ms(), text.as_ref());
    }
}

/// One run of a case.
pub struct Rig {
    pub record: Recorder,
    /// Whether the disruption takes place (`TROUBLE` is not 0).
    pub trouble: bool,
    /// The temporary folder of this run.
    pub work: PathBuf,
    /// The management address of the proxy, once it is started.
    pub management: Option<SocketAddr>,
    run: String,
    children: Vec<(String, Child)>,
}

/// Runs a case: `PROGRAM RECORD WORK`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn main(case: impl FnOnce(&mut Rig) -> Verdict) -> ! {
    let mut args = std::env::args().skip(1).map(PathBuf::from);
    let (Some(record), Some(work)) = (args.next(), args.next()) else {
        eprintln!("usage: PROGRAM RECORD WORK");
        std::process::exit(2);
    };
    let file = fs::File::create(record).expect("the file of the record");
    let record = Recorder { start: Instant::now(), lines: Arc::new(Mutex::new(file)) };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    record.line(format!("TROUBLE={}", u8::from(trouble)));
    let run = deploy_command("run").expect("run in deploy/balancer.toml");
    let mut rig = Rig { record, trouble, work, management: None, run, children: Vec::new() };
    let verdict = case(&mut rig);
    rig.stop_all();
    let (text, code) = match verdict {
        Ok(Some(why)) => (format!("BROKEN: {why}"), 1),
        Ok(None) => ("HELD".to_owned(), 0),
        Err(why) => (format!("COULD NOT RUN: {why}"), 2),
    };
    rig.record.line(&text);
    println!("{text}");
    std::process::exit(code);
}

/// The value of a key of the deploy file.
fn deploy_command(key: &str) -> Option<String> {
    let text = fs::read_to_string("deploy/balancer.toml").ok()?;
    text.lines().find_map(|line| {
        let (name, value) = line.split_once('=')?;
        (name.trim() == key).then(|| value.trim().trim_matches('"').to_owned())
    })
}

impl Rig {
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.work.join(name);
        fs::write(&path, text).expect("a file of the temporary folder");
        path
    }

    /// Starts the program of the deploy file with these arguments; its log goes to `NAME.log`.
    pub fn start(&mut self, name: &str, args: &str, env: &[(&str, &Path)]) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.work.join(format!("{name}.log")))
            .expect("a log");
        let command = format!("{} {args}", self.run);
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &command]).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        shell.env("TMPDIR", &self.work).env("LB_NAME", name);
        for unset in ["LB_LISTEN", "LB_DISCOVERY", "LB_MANAGEMENT", "LB_STATE_DIR", "LB_CONFIG"] {
            shell.env_remove(unset);
        }
        for (key, value) in env {
            shell.env(key, value);
        }
        let child = shell.spawn().expect("a process");
        self.record.line(format!("started {name}, process {}: {command}", child.id()));
        let mut pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.work.join("pids"))
            .expect("pids");
        let _ = writeln!(pids, "{}", child.id());
        self.children.push((name.to_owned(), child));
    }

    pub fn pid(&self, name: &str) -> u32 {
        self.children.iter().rev().find(|(n, _)| n == name).expect("a started process").1.id()
    }

    /// Ends a process with SIGKILL and waits for it.
    pub fn kill(&mut self, name: &str) {
        let Some(at) = self.children.iter().rposition(|(n, _)| n == name) else { return };
        let (_, mut child) = self.children.remove(at);
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(format!("killed {name}"));
    }

    /// Sends a signal by its name, such as TERM or HUP.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.pid(name);
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
        self.record.line(format!("SIG{signal} to {name}"));
    }

    /// Waits until a process has ended, and returns its exit code.
    pub fn wait(&mut self, name: &str, within: Duration) -> Option<i32> {
        let until = Instant::now() + within;
        let (_, child) = self.children.iter_mut().rev().find(|(n, _)| n == name)?;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.work.join(format!("{name}.log"))).unwrap_or_default()
    }

    fn stop_all(&mut self) {
        for (name, mut child) in self.children.drain(..) {
            let _ = child.kill();
            let _ = child.wait();
            // The end of each log belongs to what was run.
            let log = fs::read_to_string(self.work.join(format!("{name}.log")));
            let log = log.unwrap_or_default();
            for line in log.lines().filter(|l| !l.contains(" INFO ") || l.contains("list")).take(12)
            {
                self.record.line(format!("log of {name}: {line}"));
            }
        }
    }
}

/// `n` free loopback addresses.
pub fn free_addresses(n: usize) -> Vec<SocketAddr> {
    let listeners: Vec<_> =
        (0..n).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    listeners.iter().map(|l| l.local_addr().expect("its address")).collect()
}

/// Repeats `check` every 20 ms until it is true.
pub fn wait_until(within: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + within;
    loop {
        if check() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A message of HTTP/1.1 as read from a connection: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    read: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, read: Vec::new() }
    }

    pub fn open(address: SocketAddr, within: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, within)?;
        stream.set_read_timeout(Some(within))?;
        stream.set_write_timeout(Some(within))?;
        Ok(Self::new(stream))
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 << 10];
        let n = self.stream.read(&mut piece)?;
        self.read.extend_from_slice(&piece[..n]);
        Ok(n)
    }

    /// Reads the next message; `None` if the peer closed the connection before its first byte.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let cut = || io::Error::new(io::ErrorKind::UnexpectedEof, "cut off");
        let end = loop {
            if let Some(at) = self.read.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.more()? == 0 {
                return if self.read.is_empty() { Ok(None) } else { Err(cut()) };
            }
        };
        let head = String::from_utf8_lossy(&self.read[..end]).into_owned();
        self.read.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message =
            Message { first: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let line_end = loop {
                    if let Some(at) = self.read.windows(2).position(|w| w == b"\r\n") {
                        break at;
                    }
                    if self.more()? == 0 {
                        return Err(cut());
                    }
                };
                let size = String::from_utf8_lossy(&self.read[..line_end]).into_owned();
                let size = size.split(';').next().unwrap_or("").trim().to_owned();
                let size = usize::from_str_radix(&size, 16).map_err(|_| cut())?;
                self.read.drain(..line_end + 2);
                while self.read.len() < size + 2 {
                    if self.more()? == 0 {
                        return Err(cut());
                    }
                }
                message.body.extend(self.read.drain(..size));
                self.read.drain(..2);
                if size == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        while self.read.len() < length {
            if self.more()? == 0 {
                return Err(cut());
            }
        }
        message.body.extend(self.read.drain(..length));
        Ok(Some(message))
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    within: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, within)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n{headers}");
    let _ = write!(text, "Content-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
    connection.stream.write_all(text.as_bytes())?;
    let none = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed with no answer");
    connection.message()?.ok_or_else(none)
}

/// An operator's call: the status and the body; status 0 if there was no answer within a second.
pub fn operate(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    match call(address, method, path, "", body, Duration::from_secs(1)) {
        Ok(answer) => (answer.status(), answer.text()),
        Err(cause) => (0, cause.to_string()),
    }
}

/// An operator's write at whichever instance leads, repeated until one has decided.
pub fn operate_any(addresses: &[SocketAddr], path: &str, body: &str) -> Option<String> {
    for _ in 0..100 {
        for address in addresses {
            let (status, text) = operate(*address, "POST", path, body);
            if status == 200 {
                return Some(text);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// The number after `"key":` in a line of JSON.
pub fn json_number(text: &str, key: &str) -> Option<u64> {
    let at = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let digits: String = text[at..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// A request that an upstream has read.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub id: String,
    pub class: String,
    pub deadline_ms: u64,
    /// Its number at this upstream, from 1.
    pub number: u64,
}

/// An upstream that does what PROTOCOL says: one request at a time on a connection, and it keeps connections open.
pub struct Upstream {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
}

impl Upstream {
    /// Starts an upstream that answers each request by `answer`, on a thread for each connection.
    pub fn start(
        name: &str,
        record: &Recorder,
        answer: impl Fn(&Seen, &mut TcpStream) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let (all, answer, count) = (seen.clone(), Arc::new(answer), Arc::new(AtomicU64::new(0)));
        let (record, name) = (record.clone(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (all, answer, count) = (all.clone(), answer.clone(), count.clone());
                let (record, name) = (record.clone(), name.clone());
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.message() {
                        let seen = Seen {
                            at: Instant::now(),
                            id: request.header("x-request-id").to_owned(),
                            class: request.header("x-class").to_owned(),
                            deadline_ms: request.header("x-deadline-ms").parse().unwrap_or(0),
                            number: count.fetch_add(1, Ordering::SeqCst) + 1,
                        };
                        record.line(format!("{name} got {} with {} ms", seen.id, seen.deadline_ms));
                        all.lock().unwrap().push(seen.clone());
                        answer(&seen, &mut connection.stream);
                    }
                });
            }
        });
        Self { address, seen }
    }

    /// How many requests it got since then.
    pub fn count_since(&self, since: Instant) -> usize {
        self.seen.lock().unwrap().iter().filter(|s| s.at >= since).count()
    }
}

/// A 200 whose body names the request.
pub fn ok(id: &str) -> Vec<u8> {
    let body = format!("answer to {id}");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A member of the list in TOML, for a list service's file.
pub fn member_toml(id: &str, address: SocketAddr) -> String {
    format!(
        "[[members]]\nid = \"{id}\"\nhost_port = \"{address}\"\nlocality = \"taipei\"\nflavor = \"std\"\nphase = \"SERVING\"\n"
    )
}

/// The file of one proxy, with the classes, limits and rules of the site `trade-counter-web` (the example of WIRE, 5).
pub fn proxy_json(
    name: &str,
    listen: SocketAddr,
    management: SocketAddr,
    discovery: &[SocketAddr],
) -> String {
    let discovery: Vec<String> = discovery.iter().map(ToString::to_string).collect();
    let class = |name: &str, aim: u32, deadline: u32, effect: &str, worth: u32| {
        format!(
            r#"{{"Name":"{name}","Aim":{aim},"Deadline":{deadline},"Effect":"{effect}","Group":"all","Importance":{worth},"LateValue":0,"Streaming":false,"Window":5000}}"#
        )
    };
    let classes = [
        class("stock-check", 400, 2000, "retryable", 1),
        class("place-order", 2000, 6000, "fragile", 5),
        class("pickup-hold", 2500, 5000, "fragile", 2),
        class("delivery-book", 2500, 5000, "fragile", 3),
    ];
    format!(
        r#"{{"name":"{name}","listen":"{listen}","management":"{management}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"revision":0,"complete":true,"members":[]}},
"settings":{{"Balancers":1,"Position":0,"Layer":0,"Tiers":["counter-web"],"Zone":0,"Zones":["taipei","taichung","kaohsiung"],
"MachineTypes":["std","lite"],"CountedBy":"request","Family":"proxy","RegistryMode":"automatic","Tick":5,"Tenants":[],
"ClientHabits":{{"MarksRetry":true}},"Services":[{}],
"PolicyLimits":{{"Cancelling":true,"ConnectTimeout":200,"Keepalive":60000,"MaxAttempts":4,"MaxOpen":20000,"MaxRetryAfter":2000,"PeerMessages":false,"Probes":false,"RetryAfter":false,"SecondCopies":true,"StreamsPerConn":1}},
"Prices":{{"CrossZone":0.029,"LateFail":0.03,"Waste":0.1}},
"Safety":{{"AnswerSlack":20,"AskEvery":10000,"Cold":9000,"ColdFrom":0.3,"DrainGrace":1000,"FallMultiple":3,"TipAfter":3000}},
"ScoringMix":{{"Whole":0.35,"WorstClass":0.2,"WorstTenant":0,"WorstWindow":0.45}},
"Stats":{{"How":"piggyback","Names":["queue","inflight"]}},"Weights":"silent"}}}}"#,
        discovery.join(","),
        classes.join(","),
    )
}

/// The bytes of a client's request: a GET for `stock-check`, which is safe to repeat, a POST for every other class.
pub fn request(id: &str, class: &str, deadline_ms: u64) -> Vec<u8> {
    let headers = format!("Host: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline-Ms: {deadline_ms}\r\n");
    match class {
        "stock-check" => format!("GET /api HTTP/1.1\r\n{headers}\r\n"),
        _ => {
            let body = format!("order of {id}");
            format!("POST /api HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
        }
    }
    .into_bytes()
}
