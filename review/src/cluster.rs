//! The list-service cases: three instances, a proxy that follows them, clients, and an operator.
#![allow(dead_code)]

use crate::rig::{free_addresses, json_number, member_toml, operate, operate_any, proxy_json};
use crate::rig::{request, wait_until, Connection, Recorder, Rig, Upstream};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A change counts as told at the latest this long after discovery had it (STANDING).
pub const TOLD: Duration = Duration::from_secs(6);
/// `DrainGrace` of the settings, and the 50 ms by which every time limit is extended (PROTOCOL).
pub const GRACE: Duration = Duration::from_millis(1050);

/// Three instances of the list service, `list-1` to `list-3`.
pub struct Cluster {
    pub listen: Vec<SocketAddr>,
    pub management: Vec<SocketAddr>,
    files: Vec<String>,
}

impl Cluster {
    /// Writes the files of three instances; `extra` holds further lines of each instance's file.
    pub fn new(rig: &Rig, upstreams: &[Upstream], extra: [&str; 3]) -> Self {
        let at = free_addresses(6);
        let (listen, management) = (at[..3].to_vec(), at[3..].to_vec());
        let mut cluster = Self { listen, management, files: Vec::new() };
        for (i, extra) in extra.into_iter().enumerate() {
            let n = i + 1;
            let mut text = format!(
                "name = \"list-{n}\"\nid = {n}\nlisten = \"{}\"\nmanagement = \"{}\"\nstate_dir = \"{}\"\n{extra}\n",
                cluster.listen[i],
                cluster.management[i],
                rig.work.join(format!("state-{n}")).display(),
            );
            for (id, address) in cluster.management.iter().enumerate() {
                text += &format!("[[peers]]\nid = {}\nmanagement = \"{address}\"\n", id + 1);
            }
            for (j, upstream) in upstreams.iter().enumerate() {
                text += &member_toml(&format!("s-{}", j + 1), upstream.address);
            }
            let path = rig.write(&format!("list-{n}.toml"), &text);
            cluster.files.push(path.display().to_string());
        }
        cluster
    }

    pub fn start(&self, rig: &mut Rig, n: usize) {
        rig.start(&format!("list-{n}"), &format!("discovery --config {}", self.files[n - 1]), &[]);
    }

    /// Waits until all of these instances (from 1) can be read.
    pub fn ready(&self, instances: &[usize]) -> bool {
        wait_until(Duration::from_secs(15), || {
            let up =
                |n: &usize| operate(self.management[n - 1], "GET", "/admin/health", "").0 == 200;
            instances.iter().all(up)
        })
    }

    /// The operator's `POST /admin/members/phase`; the answer, once a majority has it on disk.
    pub fn phase(&self, record: &Recorder, id: &str, phase: &str) -> Result<String, String> {
        let body = format!("{{\"id\":\"{id}\",\"phase\":\"{phase}\"}}");
        let answer = operate_any(&self.management, "/admin/members/phase", &body);
        let answer = answer.ok_or(format!("no instance took {body}"))?;
        record.line(format!("operator: {body}: 200 {}", answer.trim()));
        Ok(answer)
    }

    /// The list as instance `n` tells it.
    pub fn list(&self, n: usize) -> String {
        operate(self.listen[n - 1], "GET", "/api/targets", "").1
    }

    pub fn revision(&self, n: usize) -> Option<u64> {
        json_number(&self.list(n), "revision")
    }
}

/// Upstreams `s-1` to `s-N` that answer at once.
pub fn upstreams(rig: &Rig, n: usize) -> Vec<Upstream> {
    let start = |i: usize| {
        Upstream::start(&format!("s-{i}"), &rig.record, |seen, stream| {
            thread::sleep(Duration::from_millis(10));
            let _ = stream.write_all(&crate::rig::ok(&seen.id));
        })
    };
    (1..=n).map(start).collect()
}

/// Starts the proxy `n1` and waits until it is ready. Returns the address for clients.
pub fn proxy(rig: &mut Rig, discovery: &[SocketAddr]) -> Result<SocketAddr, String> {
    let at = free_addresses(2);
    let config = rig.write("proxy.json", &proxy_json("n1", at[0], at[1], discovery));
    rig.start("n1", "", &[("LB_CONFIG", &config)]);
    rig.management = Some(at[1]);
    let health = || operate(at[1], "GET", "/admin/health", "").0 == 200;
    if wait_until(Duration::from_secs(10), health) {
        Ok(at[0])
    } else {
        Err("the proxy did not become ready".into())
    }
}

/// Two clients, each of which sends a `stock-check` every 50 ms, until dropped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    pub served: Arc<AtomicU64>,
    pub refused: Arc<AtomicU64>,
}

impl Clients {
    pub fn start(record: &Recorder, front: SocketAddr) -> Self {
        let clients =
            Self { stop: Arc::default(), served: Arc::default(), refused: Arc::default() };
        for c in 0..2 {
            let record = record.clone();
            let (stop, served) = (clients.stop.clone(), clients.served.clone());
            let refused = clients.refused.clone();
            thread::spawn(move || {
                let mut kept: Option<Connection> = None;
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(50));
                    n += 1;
                    let id = format!("c{c}-{n}");
                    let open = kept
                        .take()
                        .map_or_else(|| Connection::open(front, Duration::from_secs(3)), Ok);
                    let Ok(mut open) = open else { continue };
                    if open.stream.write_all(&request(&id, "stock-check", 1000)).is_err() {
                        continue;
                    }
                    let Ok(Some(answer)) = open.message() else { continue };
                    match answer.status() {
                        200 => drop(served.fetch_add(1, Ordering::Relaxed)),
                        status => {
                            refused.fetch_add(1, Ordering::Relaxed);
                            record.line(format!("client {c}: {id} was answered {status}"));
                        }
                    }
                    if answer.header("connection") != "close" {
                        kept = Some(open);
                    }
                }
            });
        }
        clients
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
