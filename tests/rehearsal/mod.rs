//! A fleet of simulated balancers and upstreams that use a cluster of list services, for `tests/scale.rs` and
//! `benches/scale.rs`.

pub mod relay;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowpaddle::discovery::member::Message;
use hollowpaddle::hollow::balancer::digest;
use serde_json::Value;

use crate::harness::{Cluster, Fleet, free, get, look, post, until};

/// The number of balancers, upstreams and services, and the processes that run them.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub balancers: usize,
    pub balancer_processes: usize,
    pub upstreams: usize,
    pub upstream_processes: usize,
    pub services: usize,
    pub ttl_ms: u64,
    /// The starts of upstreams are spread over this time.
    pub spread_ms: u64,
}

/// The counters of one balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Counts {
    pub id: String,
    pub revision: u64,
    /// Increase of the revision since the earlier counts, set by [`Self::since`].
    pub revisions: u64,
    pub went_back: u64,
    pub messages: u64,
    pub whole_lists: u64,
    pub entries: u64,
    pub bytes: u64,
    /// Notifications of services about a list or a change, one per service.
    pub services_told: u64,
    pub module_us: u64,
    /// Longest policy call since the start.
    pub module_longest_us: u64,
    pub members: u64,
    pub digest: String,
}

impl Counts {
    fn parse(response: &Value) -> Self {
        let count = |key: &str| response[key].as_u64().expect("a count");
        let text = |key: &str| response[key].as_str().expect("a word").to_owned();
        Self {
            id: text("id"),
            revision: count("revision"),
            revisions: 0,
            went_back: count("went_back"),
            messages: count("messages"),
            whole_lists: count("whole_lists"),
            entries: count("entries"),
            bytes: count("bytes"),
            services_told: count("services_told"),
            module_us: count("module_us"),
            module_longest_us: count("module_longest_us"),
            members: count("members"),
            digest: text("digest"),
        }
    }

    /// The counts since `before`; current state, such as the revision, stays as it is now.
    pub fn since(&self, before: &Self) -> Self {
        assert_eq!(self.id, before.id);
        Self {
            revisions: self.revision.saturating_sub(before.revision),
            messages: self.messages - before.messages,
            whole_lists: self.whole_lists - before.whole_lists,
            entries: self.entries - before.entries,
            bytes: self.bytes - before.bytes,
            services_told: self.services_told - before.services_told,
            module_us: self.module_us - before.module_us,
            ..self.clone()
        }
    }
}

/// How the processes of a region reach the list service.
#[derive(Clone, Debug)]
pub struct Region {
    pub zones: Vec<&'static str>,
    pub lists: Vec<SocketAddr>,
    pub calls: Vec<SocketAddr>,
}

/// A running fleet; processes are indices in `fleet`, in the order of their start.
pub struct Rehearsal {
    pub fleet: Fleet,
    pub cluster: Cluster,
    pub size: Size,
    /// Processes are assigned to these regions round-robin.
    pub regions: Vec<Region>,
    pub balancers: Vec<usize>,
    pub upstreams: Vec<usize>,
    upstreams_started: usize,
}

pub const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn quoted_list(of: impl Iterator<Item = String>) -> String {
    of.map(|a| format!("\"{a}\"")).collect::<Vec<_>>().join(", ")
}

impl Rehearsal {
    /// Starts the balancers; upstreams are started by [`Self::more_upstreams`].
    pub fn start(fleet: Fleet, cluster: Cluster, size: Size) -> Self {
        let (lists, calls) = (cluster.lists.clone(), cluster.calls.clone());
        let one = Region { zones: ZONES.to_vec(), lists, calls };
        Self::start_in(fleet, cluster, size, vec![one])
    }

    /// Like [`Self::start`], in several regions.
    pub fn start_in(mut fleet: Fleet, cluster: Cluster, size: Size, regions: Vec<Region>) -> Self {
        let each = size.balancers / size.balancer_processes;
        let balancers = (0..size.balancer_processes)
            .map(|i| {
                let counts = format!("balancers = {each}\nfirst = {}", i * each);
                let region = &regions[i % regions.len()];
                start_simulation(&mut fleet, region, &size, &format!("balancers-{i}"), &counts)
            })
            .collect();
        Self {
            fleet,
            cluster,
            size,
            regions,
            balancers,
            upstreams: Vec::new(),
            upstreams_started: 0,
        }
    }

    /// Starts one more process with this many upstreams.
    pub fn more_upstreams(&mut self, upstreams: usize) {
        let counts = format!("upstreams = {upstreams}\nfirst = {}", self.upstreams_started);
        let name = format!("upstreams-{}", self.upstreams.len());
        let region = &self.regions[self.upstreams.len() % self.regions.len()];
        let i = start_simulation(&mut self.fleet, region, &self.size, &name, &counts);
        self.upstreams.push(i);
        self.upstreams_started += upstreams;
    }

    /// Registers a member without a TTL in the service selected by the number in its id. Retries on all instances until
    /// one accepts, for at most this time.
    pub fn register(&self, id: &str, within: Duration) {
        let number: usize = id.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a number");
        let body = serde_json::json!({"member": {
            "id": id, "host_port": free(), "locality": "a", "flavor": "m", "phase": "SERVING",
            "service": format!("service-{}", number % self.size.services),
        }})
        .to_string();
        until(&format!("{id} is registered"), within, || {
            let accepts = |at: &SocketAddr| {
                post(*at, "/admin/members", &body).is_some_and(|(status, _)| status == 200)
            };
            self.cluster.calls.iter().any(accepts)
        });
    }

    /// Waits until an instance other than `not` leads, and returns its index.
    pub fn leader(&self, not: Option<usize>, within: Duration) -> usize {
        let mut leader = None;
        until("a leader", within, || {
            let leads = |i: &usize| look(self.cluster.calls[*i], "/admin/health")["leads"] == true;
            leader = (0..self.cluster.calls.len()).filter(|i| Some(*i) != not).find(leads);
            leader.is_some()
        });
        leader.expect("found")
    }

    /// Sends an order to all processes of one kind; returns how many balancers or upstreams it affected.
    pub fn order(&self, whom: &str, body: &str) -> u64 {
        let at = if whom == "balancers" { &self.balancers } else { &self.upstreams };
        let send = |i: &usize| {
            let path = format!("/admin/hollow/{whom}");
            let (status, answer) = post(self.fleet.address(*i), &path, body).expect("an answer");
            assert_eq!(status, 200, "{answer}");
            let answer: Value = serde_json::from_str(&answer).expect("JSON");
            answer["chosen"].as_u64().expect("a count")
        };
        at.iter().map(send).sum()
    }

    /// The list from the first instance that answers.
    pub fn list(&self) -> Message {
        let mut list = None;
        until("a list", Duration::from_secs(30), || {
            list = self.cluster.calls.iter().find_map(|at| {
                let (status, body) = get(*at, "/admin/members", &[])?;
                (status == 200).then(|| Message::read(body.as_bytes()).ok()).flatten()
            });
            list.is_some()
        });
        list.expect("found")
    }

    /// The number of members in the serving phase.
    pub fn serving(&self) -> usize {
        use hollowpaddle::discovery::member::Phase;
        self.list().members.iter().filter(|m| m.phase == Phase::Serving).count()
    }

    /// The newest revision reported by any instance that answers.
    pub fn newest(&self) -> u64 {
        let of = |at: &SocketAddr| look(*at, "/admin/stats")["revision"].as_u64().unwrap_or(0);
        self.cluster.calls.iter().map(of).max().unwrap_or(0)
    }

    /// The member count of the newest list reported by any instance that answers; cheaper than fetching the list.
    pub fn members(&self) -> usize {
        let of = |at: &SocketAddr| {
            let response = look(*at, "/admin/stats");
            (response["revision"].as_u64().unwrap_or(0), response["members"].as_u64().unwrap_or(0))
        };
        self.cluster.calls.iter().map(of).max().map_or(0, |(_, members)| members as usize)
    }

    /// The counts of each balancer of these processes.
    pub fn counts_of(&self, processes: &[usize]) -> Vec<Counts> {
        let of = |i: &usize| {
            let response = look(self.fleet.address(*i), "/admin/hollow");
            response["each"]
                .as_array()
                .expect("balancers")
                .iter()
                .map(Counts::parse)
                .collect::<Vec<_>>()
        };
        processes.iter().flat_map(of).collect()
    }

    /// The counts of each balancer.
    pub fn counts(&self) -> Vec<Counts> {
        self.counts_of(&self.balancers)
    }

    /// The lowest revision of any balancer of these processes.
    pub fn lowest(&self, processes: &[usize]) -> u64 {
        let of = |i: &usize| {
            let response = look(self.fleet.address(*i), "/admin/stats");
            response["balancers"]["lowest_revision"].as_u64().unwrap_or(0)
        };
        processes.iter().map(of).min().unwrap_or(0)
    }

    /// Waits until every balancer has the current list; returns the list and how long that took.
    pub fn level(&self, within: Duration) -> (Message, Duration) {
        let (from, mut list) = (Instant::now(), self.list());
        until("every balancer has the current list", within, || {
            if self.lowest(&self.balancers) < list.revision {
                return false;
            }
            list = self.list();
            let wanted = format!("{:016x}", digest(&list.members));
            self.counts().iter().all(|b| b.revision == list.revision && b.digest == wanted)
        });
        (list, from.elapsed())
    }
}

fn start_simulation(
    fleet: &mut Fleet,
    region: &Region,
    size: &Size,
    name: &str,
    counts: &str,
) -> usize {
    let text = format!(
        "management = \"{}\"\nseed = 7\n{counts}\nbank = {}\nzones = [{}]\nservices = {}\nttl_ms = {}\n\
         spread_ms = {}\nproxy = \"{}\"\n[lists]\nlisten = [{}]\nmanagement = [{}]\n",
        free(),
        size.balancers,
        quoted_list(region.zones.iter().map(|z| (*z).to_owned())),
        size.services,
        size.ttl_ms,
        size.spread_ms,
        concat!(env!("CARGO_MANIFEST_DIR"), "/examples/proxy.json"),
        quoted_list(region.lists.iter().map(ToString::to_string)),
        quoted_list(region.calls.iter().map(ToString::to_string)),
    );
    let file = fleet.file(&format!("{name}.toml"), &text);
    fleet.start(name, &["hollow", "--config", file.to_str().expect("UTF-8")], &[])
}
