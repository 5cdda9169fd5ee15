//! Private memory of a proxy and the process that replaces it, while both serve. A file of its own, since hundreds of clients
//! slow down what runs beside them.

#[allow(dead_code)] // Each test file uses a part of the helpers.
mod load;
#[allow(dead_code)] // Each test file uses a part of the stubs.
mod stubs;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use load::*;
use serde_json::Value;
use stubs::*;

const BODY_BYTES: usize = 60 << 10;
const UPSTREAM_TIME: Duration = Duration::from_millis(100);
/// The most upstreams that answer; a longer list names each more than once.
const MAX_ANSWERING: usize = 15;
/// How long one process serves alone, and both do.
const ALONE: Duration = Duration::from_secs(3);
const OVERLAP: Duration = Duration::from_secs(4);

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// A proxy and its load. The clients are fewer than a third of the descriptors.
struct Case {
    limits: Limits,
    clients: usize,
    upstreams: usize,
    /// How many callers read each process's metrics, one scrape after the other.
    scrapers: usize,
}

impl Case {
    fn config(&self) -> Value {
        let answering = self.upstreams.min(MAX_ANSWERING);
        let addresses: Vec<SocketAddr> = (0..answering).map(|_| start_slow_upstream()).collect();
        let listed = addresses.iter().cycle().take(self.upstreams).enumerate();
        let listed = listed.map(|(i, at)| member(&format!("s-{i:08x}"), *at, "SERVING")).collect();
        let mut file = config(listed);
        file["limits"]["memory_mb"] = Value::from(self.limits.memory_mb);
        file["limits"]["sockets"] = Value::from(self.limits.descriptors);
        file
    }

    /// Reads the metrics of this process until told to stop; returns how often all of them came.
    fn scrape(&self, node: &Node) -> Clients<usize> {
        let (management, upstreams) = (node.management.expect("an address"), self.upstreams);
        Clients::start(self.scrapers, move |_, stop| {
            let mut whole = 0;
            while !stop.load(Ordering::Relaxed) {
                let mut client = Client::to(management);
                client.send("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
                let text = client.answer().expect("the metrics").body;
                let text = String::from_utf8(text).expect("UTF-8");
                let counts =
                    text.lines().filter(|l| l.starts_with("upstream_latency_seconds_count"));
                assert_eq!(counts.count(), upstreams);
                whole += 1;
            }
            whole
        })
    }

    /// Runs one process and then its successor beside it; checks the memory that they hold together.
    fn run(&self) {
        let _running = RUNNING.lock();
        let file = self.config();
        let old = Node::managed(&file);
        let address = old.address;
        let clients = Clients::start(self.clients, move |n, stop| ask(address, n, stop));
        let scrapers = self.scrape(&old);
        let alone = clients.most_memory(&old, ALONE);
        assert_within(alone, self.limits, "one process alone");
        let new = Node::managed_at(&file, address);
        let new_scrapers = self.scrape(&new);
        let (begun, mut most) = (Instant::now(), [0, 0]);
        while begun.elapsed() < OVERLAP {
            let each = [&old, &new].map(private_memory);
            most = std::cmp::max_by_key(most, each, |each| each.iter().sum::<usize>());
            std::thread::sleep(Duration::from_millis(10));
        }
        let served: usize = clients.join().into_iter().sum();
        assert!(served > self.clients, "{served} requests were served");
        let scrapes = scrapers.join().into_iter().chain(new_scrapers.join());
        assert!(scrapes.into_iter().all(|whole| whole > 0), "metrics were not read");
        let kib = most.map(|bytes| bytes >> 10);
        let what = format!("both processes, {kib:?}; {} KiB before", alone >> 10);
        println!("{what}");
        assert_within(most.iter().sum(), self.limits, &what);
    }
}

fn start_slow_upstream() -> SocketAddr {
    start_upstream(|mut stream| {
        while read_whole_message(&mut stream).is_some() {
            std::thread::sleep(UPSTREAM_TIME);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    })
}

/// Sends one request after the other, each on a new connection, until it is told to stop; returns how many were served.
fn ask(address: SocketAddr, client: usize, stop: &AtomicBool) -> usize {
    let mut served = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut stream = connect(address, 64 << 10);
        let request = alarm(&format!("o{client}-{served}"), 3000, &"x".repeat(BODY_BYTES));
        let sent = stream.write_all(request.as_bytes());
        let answer = sent.ok().and_then(|()| read_whole_message(&mut stream));
        served += usize::from(answer.is_some_and(|head| head.starts_with("http/1.1 200")));
        std::thread::sleep(Duration::from_millis(20));
    }
    served
}

/// Guards against two processes of one proxy each taking the memory of one (review/7).
#[test]
fn process_and_its_successor_stay_within_the_memory_limit_together() {
    Case { limits: limits(32, 1024), clients: 260, upstreams: 15, scrapers: 0 }.run();
}

/// Guards against what two processes keep of each upstream, and the text of their metrics, exceeding their memory.
#[test]
fn processes_with_many_upstreams_stay_within_the_memory_limit_while_their_metrics_are_read() {
    Case { limits: limits(32, 1024), clients: 260, upstreams: 3200, scrapers: 2 }.run();
    Case { limits: limits(32, 256), clients: 80, upstreams: 3200, scrapers: 2 }.run();
}
