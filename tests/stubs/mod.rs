//! Runs the node as a process with stub clients, upstreams and discovery, all on ephemeral loopback ports. Tests wait
//! for events, with a time limit that is long enough for a busy machine.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Time limit for each expected event.
pub const SOON: Duration = Duration::from_secs(20);

/// A received message: its first line, headers with lower-case names, and body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).expect("no status").parse().expect("status is not a number")
    }
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message. Returns `None` if the connection ends first.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = || {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
        Some(line.trim_end().to_string())
    };
    let first = line()?;
    let mut headers = HashMap::new();
    loop {
        let line = line()?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let is_chunked = headers.get("transfer-encoding").is_some_and(|v| v == "chunked");
    let body = if first.starts_with("HTTP/") && is_chunked {
        read_chunks(stream)?
    } else {
        let length =
            headers.get("content-length").map_or(0, |v| v.parse().expect("invalid Content-Length"));
        read_bytes(stream, length)?
    };
    Some(Message { first, headers, body })
}

fn read_bytes(stream: &mut BufReader<TcpStream>, length: usize) -> Option<Vec<u8>> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).ok()?;
    Some(bytes)
}

/// Reads a chunked body without trailers to its end.
fn read_chunks(stream: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut size = String::new();
        stream.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).expect("invalid chunk size");
        body.extend(read_bytes(stream, size)?);
        read_bytes(stream, "\r\n".len())?;
        if size == 0 {
            return Some(body);
        }
    }
}

/// What an upstream does with a request.
#[derive(Clone)]
pub enum Does {
    /// Writes this text and keeps the connection open.
    Answers(String),
    /// Writes this text and closes the connection.
    Ends(String),
    /// Writes this text and closes the connection when the channel receives a message.
    EndsLater(String, Arc<std::sync::Mutex<Receiver<()>>>),
    /// Sends no answer and keeps the connection open.
    Hangs,
    /// Answers when the channel receives a message.
    Waits(Arc<std::sync::Mutex<Receiver<()>>>),
}

pub fn ok(body: &str) -> Does {
    Does::Answers(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn answers(status: &str, headers: &str) -> Does {
    Does::Answers(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n"))
}

/// An event at an upstream, reported in order.
#[derive(Debug)]
pub enum Seen {
    Request(SocketAddr, Message),
    Closed,
}

pub struct Upstream {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
}

impl Upstream {
    pub fn start(does: impl Fn(&Message) -> Does + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("local address");
        let (sender, seen) = channel();
        let does = Arc::new(does);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, sender, does) =
                    (stream.expect("accept"), sender.clone(), does.clone());
                thread::spawn(move || {
                    let peer = stream.peer_addr().expect("peer address");
                    converse(stream, peer, &sender, &*does);
                    let _ = sender.send(Seen::Closed);
                });
            }
        });
        Self { address, seen }
    }

    /// Returns the next request and skips other events.
    pub fn request(&self) -> (SocketAddr, Message) {
        loop {
            match self.seen.recv_timeout(SOON).expect("no request arrived") {
                Seen::Request(from, message) => return (from, message),
                _ => continue,
            }
        }
    }

    /// Counts the requests received and not yet taken, and discards the pending events.
    pub fn requests_so_far(&self) -> usize {
        self.seen.try_iter().filter(|s| matches!(s, Seen::Request(..))).count()
    }
}

fn converse(
    stream: TcpStream,
    peer: SocketAddr,
    sender: &Sender<Seen>,
    does: &dyn Fn(&Message) -> Does,
) {
    let mut writer = stream.try_clone().expect("clone stream");
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let _ = sender.send(Seen::Request(peer, message.clone()));
        match does(&message) {
            Does::Answers(text) => writer.write_all(text.as_bytes()).unwrap_or(()),
            Does::Ends(text) => {
                let _ = writer.write_all(text.as_bytes());
                return;
            }
            Does::EndsLater(text, release) => {
                let _ = writer.write_all(text.as_bytes());
                let _ = release.lock().expect("poisoned lock").recv_timeout(SOON);
                // The last copy of a descriptor may be in a process that another test is starting.
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            }
            Does::Hangs => {}
            Does::Waits(release) => {
                let _ = release.lock().expect("poisoned lock").recv_timeout(SOON);
                let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            }
        }
    }
}

/// An upstream that completes no connection before `open` is called, because its backlog is full. After that, it
/// reports the number of bytes read from each connection.
pub struct Late {
    listener: TcpListener,
    pub address: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl Late {
    pub fn start() -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("create socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind");
        socket.listen(1).expect("listen");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("local address");
        let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(300));
        let fillers: Vec<TcpStream> = std::iter::from_fn(|| fill().ok()).take(64).collect();
        assert!(fillers.len() < 64, "the backlog did not fill up");
        Self { listener, address, fillers }
    }

    /// Starts to accept connections. The channel receives the number of bytes of each connection's first read.
    pub fn open(self) -> Receiver<usize> {
        let (sender, seen) = channel();
        drop(self.fillers);
        thread::spawn(move || {
            for stream in self.listener.incoming() {
                let (mut stream, sender) = (stream.expect("accept"), sender.clone());
                thread::spawn(move || {
                    let _ = sender.send(stream.read(&mut [0; 64]).unwrap_or(0));
                });
            }
        });
        seen
    }
}

/// A discovery stub. For each watch, it writes the response head and reports the request line and the connection.
pub struct Discovery {
    pub address: SocketAddr,
    pub watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    pub fn start() -> Self {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        Self::saying(head.to_owned(), Duration::ZERO)
    }

    /// Starts a stub that writes `first` to each call after this delay.
    pub fn saying(first: String, after: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("local address");
        let (sender, watches) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, sender, first) =
                    (stream.expect("accept"), sender.clone(), first.clone());
                let answer = move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("clone stream"));
                    let Some(call) = read_message(&mut reader) else { return };
                    thread::sleep(after);
                    let _ = stream.write_all(first.as_bytes());
                    let _ = sender.send((call.first, stream));
                };
                // Without a delay, calls are answered in their order.
                if after.is_zero() {
                    answer();
                } else {
                    thread::spawn(answer);
                }
            }
        });
        Self { address, watches }
    }

    pub fn watch(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(SOON).expect("no watch was opened")
    }
}

/// Writes part of a watch's response as one chunk.
pub fn chunk(stream: &mut TcpStream, text: &str) {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(framed.as_bytes()).expect("the watch is closed");
}

pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub fn members(upstreams: &[&Upstream]) -> Vec<Value> {
    let name = |(i, u): (usize, &&Upstream)| member(&format!("s-{i}"), u.address, "SERVING");
    upstreams.iter().enumerate().map(name).collect()
}

pub fn config(known: Vec<Value>) -> Value {
    json!({
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 41, "complete": true, "members": known},
        "settings": {
            "Balancers": 1, "Position": 0, "Zone": 0, "Zones": ["a"], "MachineTypes": ["m"],
            "Tick": 1.0, "RegistryMode": "subscribe",
            "Services": [
                {"Name": "read", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "retryable"},
                {"Name": "log", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "dedup",
                    "Group": "cell", "Window": 10000.0},
                {"Name": "alarm", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "fragile"},
            ],
            "PolicyLimits": {"MaxAttempts": 3, "RetryAfter": true, "MaxRetryAfter": 2000.0,
                "ConnectTimeout": 250.0, "Keepalive": 5000.0, "StreamsPerConn": 1},
            "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0,
                "DrainGrace": 500.0, "AnswerSlack": 20.0, "AskEvery": 2000.0},
            "Stats": {"How": "piggyback", "Names": ["eps", "qps", "inflight"]},
        },
    })
}

pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    /// Management address, if the node was started with one.
    pub management: Option<SocketAddr>,
    pub discovery: Discovery,
    config: std::path::PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub const NODE: &str = env!("CARGO_BIN_EXE_hollowpaddle");

pub fn write_config(config: &str) -> std::path::PathBuf {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("hollowpaddle-{}-{n}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("write configuration file");
    path
}

/// Runs the node with an invalid configuration file and returns its standard error output. Fails if the node exits
/// with success.
pub fn refuses_to_start(command: &mut Command, file: &str) -> String {
    let path = write_config(file);
    let output = command
        .env("LB_CONFIG", &path)
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("LB_DISCOVERY", "127.0.0.1:1")
        .output()
        .expect("run the node");
    let _ = std::fs::remove_file(path);
    assert!(!output.status.success());
    String::from_utf8(output.stderr).expect("UTF-8")
}

impl Node {
    pub fn start(config: &Value) -> Self {
        Self::start_by(Command::new(NODE), config)
    }

    /// Starts the node with this command and waits until it listens.
    pub fn start_by(command: Command, config: &Value) -> Self {
        Self::start_at(command, config, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts the node with a management address.
    pub fn managed(config: &Value) -> Self {
        Self::managed_at(config, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts the node with a management address, and with this address for clients.
    pub fn managed_at(config: &Value, listen: SocketAddr) -> Self {
        let mut command = Command::new(NODE);
        command.env("LB_MANAGEMENT", "127.0.0.1:0");
        Self::start_at(command, config, listen)
    }

    /// Starts the node at this address, with the list served by this discovery stub.
    pub fn told_by(discovery: Discovery, config: &Value, listen: SocketAddr) -> Self {
        Self::launch(Command::new(NODE), config, listen, discovery)
    }

    fn start_at(command: Command, config: &Value, listen: SocketAddr) -> Self {
        Self::launch(command, config, listen, Discovery::start())
    }

    fn launch(
        mut command: Command,
        config: &Value,
        listen: SocketAddr,
        discovery: Discovery,
    ) -> Self {
        let path = write_config(&config.to_string());
        let mut child = command
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", listen.to_string())
            .env("LB_DISCOVERY", discovery.address.to_string())
            .env("LB_CONFIG", &path)
            .env("TMPDIR", env!("CARGO_TARGET_TMPDIR"))
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the node");
        let mut log = BufReader::new(child.stderr.take().expect("stderr is not piped")).lines();
        let parse_address = |rest: &str| {
            rest.split_whitespace()
                .next()
                .expect("no address in the log line")
                .parse()
                .expect("invalid address")
        };
        let mut management = None;
        let address = loop {
            let line = log.next().expect("the node did not log its addresses").expect("UTF-8");
            if let Some((_, rest)) = line.split_once("operators call at ") {
                management = Some(parse_address(rest));
            }
            if let Some((_, rest)) = line.split_once("listening on ") {
                break parse_address(rest);
            }
        };
        // Reads the log to the end, so that the pipe does not fill up and block the node.
        thread::spawn(move || log.for_each(|l| eprintln!("node: {}", l.unwrap_or_default())));
        Self { child, address, management, discovery, config: path }
    }

    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    /// Sends one management call, such as `GET /admin/health`, on a new connection.
    pub fn call(&self, what: &str) -> Message {
        let mut client = Client::to(self.management.expect("the node has no management address"));
        let answer =
            client.ask(&format!("{what} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"));
        assert!(client.answer().is_none(), "the node must close the connection after one call");
        answer
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < SOON {
            if let Some(status) = self.child.try_wait().expect("wait for the node") {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the node did not exit");
    }

    /// Replaces the node's configuration file.
    pub fn reconfigure(&self, config: &str) {
        std::fs::write(&self.config, config).expect("write configuration file");
    }

    /// Sends the node a signal, given by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("sh").args(["-c", "kill -\"$1\" \"$0\"", &pid, name]).status();
        assert!(sent.expect("run sh").success());
    }
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn to(address: SocketAddr) -> Self {
        Self::try_to(address).expect("connect")
    }
    pub fn try_to(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(SOON))?;
        Ok(Self(BufReader::new(stream)))
    }
    pub fn send(&mut self, text: &str) {
        self.try_send(text).expect("send request");
    }
    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }
    /// Reads the next answer. Returns `None` if the connection ends first.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }
    /// Whether part of an answer, or the end of the connection, has arrived.
    pub fn has_answer(&mut self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("set blocking mode");
        let arrived = !self.0.buffer().is_empty() || stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).expect("set blocking mode");
        arrived
    }
    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("no answer")
    }
}

/// Builds a request of the retryable class.
pub fn read(id: &str, deadline_ms: u64) -> String {
    format!(
        "GET /api?of={id} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: read\r\n\
         Cookie: sid=7f3a9c21e0b4d655\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Builds a request that must never run twice.
pub fn alarm(id: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: alarm\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
