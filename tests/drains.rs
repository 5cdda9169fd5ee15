//! Half of the upstreams drain under load, seconds after the proxies' watches were frozen, reset, cut or moved: no
//! send begins after the grace of what counts as told, and no request is lost. And the size of fleet that is held:
//! 1,024 watches and 1,024 members.

#[allow(dead_code)] // Each test file uses part of the harness.
mod harness;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use harness::{ASK, Cluster, Fleet, Watch, free, get, look, until};
use serde_json::{Value, json};

const SOON: Duration = Duration::from_secs(10);
/// Of examples/proxy.json, with the slack of PROTOCOL.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// FLEET: what a silent watch misses counts as told so long after it fell silent.
const SILENT: Duration = Duration::from_secs(6);
/// What the machine may hold up between a send and its being seen here. The grace is over by far less than the
/// second and more that a fault not mended costs.
const BUSY: Duration = Duration::from_millis(400);

/// An upstream in this process that notes when each request's first bytes came.
struct Upstream {
    id: String,
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Instant>>>,
}

impl Upstream {
    fn start(id: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let noted = seen.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let noted = noted.clone();
                thread::spawn(move || serve(stream, &noted));
            }
        });
        Self { id, address, seen }
    }

    fn last(&self) -> Option<Instant> {
        self.seen.lock().expect("a list").last().copied()
    }
}

fn serve(mut stream: TcpStream, seen: &Mutex<Vec<Instant>>) {
    let (mut head, mut piece) = (Vec::new(), [0; 2048]);
    while let Ok(n @ 1..) = stream.read(&mut piece) {
        if head.is_empty() {
            seen.lock().expect("a list").push(Instant::now());
        }
        head.extend_from_slice(&piece[..n]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            thread::sleep(Duration::from_millis(2));
            if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    }
}

/// Stands between the proxies and the list service.
struct Relay {
    address: SocketAddr,
    cuts: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// Connections before this one are held.
    held: Arc<AtomicUsize>,
}

impl Relay {
    fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (cut, open) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let held = Arc::new(AtomicUsize::new(0));
        let (cuts, kept, holds) = (cut.clone(), open.clone(), held.clone());
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let twice = |s: &TcpStream| s.try_clone().expect("a second handle");
                let mut kept = kept.lock().expect("a list");
                kept.push(twice(&near));
                let (from, to, number) = (twice(&near), twice(&far), kept.len());
                thread::spawn(move || carry(from, to, || false, &AtomicBool::new(false)));
                let (cuts, holds) = (cuts.clone(), holds.clone());
                let held = move || number <= holds.load(Ordering::SeqCst);
                thread::spawn(move || carry(far, near, held, &cuts));
            }
        });
        Self { address, cuts: cut, open, held }
    }

    /// Ends the watches that are open now.
    fn reset(&self) {
        for stream in self.open.lock().expect("a list").iter() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Holds what they are told.
    fn freeze(&self) {
        self.held.store(self.open.lock().expect("a list").len(), Ordering::SeqCst);
    }

    /// Cuts the next list that is told in its middle.
    fn cut(&self) {
        self.cuts.store(true, Ordering::SeqCst);
    }
}

/// Carries bytes until an end closes.
fn carry(mut from: TcpStream, mut to: TcpStream, held: impl Fn() -> bool, cuts: &AtomicBool) {
    let mut piece = [0; 4096];
    while let Ok(n @ 1..) = from.read(&mut piece) {
        if held() {
            continue;
        }
        // A heartbeat is six bytes.
        if n > 60 && cuts.swap(false, Ordering::SeqCst) {
            let _ = to.write_all(&piece[..n / 2]);
            break;
        }
        if to.write_all(&piece[..n]).is_err() {
            return;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Clients that ask until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    lost: Arc<AtomicUsize>,
    served: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn on(proxies: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let [lost, served] = [(); 2].map(|()| Arc::new(AtomicUsize::new(0)));
        let clients = proxies.iter().flat_map(|at| [*at; 4]).map(|at| {
            let (stop, lost, served) = (stop.clone(), lost.clone(), served.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    match get(at, "/api/stock", &ASK) {
                        Some((200, _)) => served.fetch_add(1, Ordering::Relaxed),
                        Some((429 | 503, _)) => 0,
                        _ => lost.fetch_add(1, Ordering::Relaxed),
                    };
                    thread::sleep(Duration::from_millis(2));
                }
            })
        });
        let clients = clients.collect();
        Self { stop, lost, served, clients }
    }

    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|c| c.join().expect("a client"));
        assert_eq!(self.lost.load(Ordering::Relaxed), 0, "requests without a final answer");
        assert!(self.served.load(Ordering::Relaxed) > 100);
    }
}

struct World {
    fleet: Fleet,
    cluster: Cluster,
    relay: Relay,
    upstreams: Vec<Upstream>,
    proxies: Vec<usize>,
    config: std::path::PathBuf,
}

fn proxy_config(discovery: SocketAddr) -> Value {
    let text = std::fs::read_to_string("examples/proxy.json").expect("an example");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    config["discovery"] = json!(discovery.to_string());
    config
}

impl World {
    /// `instances` of the list service, six upstreams, and two proxies that watch through a relay to the first.
    fn start(instances: usize) -> Self {
        let mut fleet = Fleet::default();
        let cluster = Cluster::start(&mut fleet, instances, "");
        let upstreams: Vec<_> = (0..6).map(|i| Upstream::start(format!("s-{i}"))).collect();
        for upstream in &upstreams {
            cluster.register(&upstream.id, upstream.address);
        }
        let relay = Relay::start(cluster.lists[0]);
        let config = fleet.file("proxy.json", &proxy_config(relay.address).to_string());
        let file = config.to_str().expect("UTF-8");
        let others = cluster.lists[1..].iter().map(|l| format!(",{l}"));
        let lists = relay.address.to_string() + &others.collect::<String>();
        let proxies: Vec<_> = (0..2)
            .map(|i| fleet.proxy(&format!("p-{i}"), &lists, &[("LB_CONFIG", file)]).0)
            .collect();
        proxies.iter().for_each(|p| fleet.ready(*p));
        Self { fleet, cluster, relay, upstreams, proxies, config }
    }

    /// Under load: `fault`, then after `pause` half of the upstreams drain. What `told` makes of the two moments is
    /// when that counts as told.
    fn drains(
        mut self,
        fault: impl FnOnce(&mut Self),
        pause: Duration,
        told: impl FnOnce(Instant, Instant) -> Instant,
    ) {
        let at: Vec<_> = self.proxies.iter().map(|p| self.fleet.address(*p)).collect();
        let load = Load::on(&at);
        let busiest = |w: &mut Self| {
            w.upstreams.sort_by_key(|u| std::cmp::Reverse(u.seen.lock().expect("a list").len()));
            w.upstreams[2].last().is_some()
        };
        until("some upstreams are used", SOON, || busiest(&mut self));
        let faulted = Instant::now();
        fault(&mut self);
        thread::sleep(pause);
        for upstream in &self.upstreams[..3] {
            let body = format!("{{\"id\":\"{}\",\"phase\":\"DRAINING\"}}", upstream.id);
            assert_eq!(self.cluster.write("/admin/members/phase", &body).0, 200);
        }
        let by = told(faulted, Instant::now()) + GRACE;
        thread::sleep(by.saturating_duration_since(Instant::now()) + Duration::from_secs(2));
        load.end();
        for upstream in &self.upstreams[..3] {
            let last = upstream.last().expect("it was used");
            let late = last.saturating_duration_since(by);
            assert!(late <= BUSY, "{}: a send {late:?} after the grace", upstream.id);
        }
        assert!(self.upstreams[3..].iter().any(|u| u.last() > Some(by)), "the others serve on");
    }
}

#[test]
fn a_frozen_watch_keeps_no_drained_upstream_open() {
    World::start(1).drains(|w| w.relay.freeze(), Duration::from_secs(1), |f, _| f + SILENT);
}

#[test]
fn an_instance_that_is_stopped_keeps_no_drained_upstream_open() {
    let stop = |w: &mut World| {
        w.fleet.pause(w.cluster.at[0]);
        w.cluster.leader(Some(0));
    };
    World::start(3).drains(stop, Duration::ZERO, |f, _| f + SILENT);
}

#[test]
fn a_watch_that_is_reset_keeps_no_drained_upstream_open() {
    World::start(1).drains(|w| w.relay.reset(), Duration::ZERO, |_, drained| drained);
}

#[test]
fn a_watch_that_is_cut_in_the_middle_of_an_object_keeps_no_drained_upstream_open() {
    World::start(1).drains(|w| w.relay.cut(), Duration::ZERO, |_, drained| drained);
}

#[test]
fn a_discovery_that_has_moved_keeps_no_drained_upstream_open() {
    let moved = |w: &mut World| {
        w.relay.freeze();
        let text = proxy_config(w.cluster.lists[0]).to_string();
        std::fs::write(&w.config, text).expect("a temporary file");
        w.proxies.iter().for_each(|p| w.fleet.hang_up(*p));
    };
    World::start(1).drains(moved, Duration::from_millis(200), |_, drained| drained);
}

/// The members of a fleet, all at one address, for a list service's file.
fn seeds(n: usize, at: SocketAddr) -> String {
    let seed = |i| {
        format!(
            "[[members]]\nid = \"m-{i}\"\nhost_port = \"{at}\"\nlocality = \"a\"\nphase = \"SERVING\"\n"
        )
    };
    (0..n).map(seed).collect()
}

/// A figure of `/proc/PID/status`, in kB.
fn status_kb(fleet: &Fleet, i: usize, key: &str) -> u64 {
    let path = format!("/proc/{}/status", fleet.processes[i].pid());
    let status = std::fs::read_to_string(path).expect("it runs");
    let line = status.lines().find_map(|l| l.strip_prefix(key)).expect("a figure");
    line.split_whitespace().next().and_then(|n| n.parse().ok()).expect("a number")
}

const MANY: usize = 1024;

#[test]
fn one_instance_holds_a_thousand_watches_and_members() {
    // Both ends of each watch are descriptors: this process's and the instance's.
    assert!(hollowpaddle::calls::raise_descriptor_limit() > MANY + 100, "too few descriptors here");
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 1, &seeds(MANY, free()));
    let held = look(cluster.calls[0], "/admin/stats")["revision"].as_u64().expect("a revision");
    let mut watches: Vec<_> = (0..MANY).map(|_| Watch::open(cluster.lists[0], held)).collect();
    until("all watch", SOON, || look(cluster.calls[0], "/admin/stats")["watches"] == MANY);
    let changed = cluster.register("new", free());
    for watch in &mut watches {
        assert_eq!(watch.next(SOON).expect("the change")["revision"], changed);
    }
    let mut whole = Watch::open(cluster.lists[0], 0);
    let list = whole.next(SOON).expect("the whole list");
    assert_eq!(list["members"].as_array().map(Vec::len), Some(MANY + 1));
    let rss = status_kb(&fleet, cluster.at[0], "VmRSS:");
    assert!(rss < 96 << 10, "{rss} kB");
}

#[test]
fn a_proxy_follows_a_thousand_members_within_its_limits() {
    let mut fleet = Fleet::default();
    let upstream = Upstream::start("all".into());
    let cluster = Cluster::start(&mut fleet, 1, &seeds(MANY, upstream.address));
    let config = fleet.file("proxy.json", &proxy_config(cluster.lists[0]).to_string());
    let config = ("LB_CONFIG", config.to_str().expect("UTF-8"));
    let (proxy, calls) = fleet.proxy("p", &cluster.lists[0].to_string(), &[config]);
    fleet.ready(proxy);
    until("it has them all", SOON, || look(calls, "/admin/stats")["pool_size"] == MANY);
    let load = Load::on(&[fleet.address(proxy); 8]);
    // A whole list again, changes one by one, and the load meanwhile.
    for i in 0..64 {
        let body = format!("{{\"id\":\"m-{i}\"}}");
        assert_eq!(cluster.write("/admin/members/leave", &body).0, 200);
    }
    fleet.hang_up(proxy);
    until("it has the changes", SOON, || look(calls, "/admin/stats")["pool_size"] == MANY - 64);
    thread::sleep(Duration::from_secs(1));
    load.end();
    let open = std::fs::read_dir(format!("/proc/{}/fd", fleet.processes[proxy].pid()));
    assert!(open.expect("it runs").count() <= 256);
    let peak = status_kb(&fleet, proxy, "VmHWM:");
    assert!(peak < 32 << 10, "{peak} kB, and 32 MB are its limit");
}
