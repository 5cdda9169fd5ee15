//! The directory of upstreams: every upstream that the list has named, its service and its [`ServerId`].

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::discovery::member::{Member as Entry, Message, Phase};
use crate::interface::{ListKind, Member, ServerId, Status, Time};
use crate::settings::stable_hash;

use super::ServiceId;
use super::wall_clock::WallClock;

/// The new state of one upstream, for the code that manages the connections to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The upstream.
    pub server: ServerId,
    /// Its id in the list.
    pub id: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its current status.
    pub status: Status,
}

/// The effect of one list on the directory.
#[derive(Debug, Default)]
pub struct DirectoryUpdate {
    /// The state of each upstream that the list names, and of those that a full list no longer names.
    pub changes: Vec<Change>,
    /// The members of each service in the policy's form, in the list's order, sorted by service. A full list has an
    /// entry for every service, even without members.
    pub members: Vec<(ServiceId, Vec<Member>)>,
}

impl DirectoryUpdate {
    /// The members of this service; adds an empty entry if there is none.
    pub fn members_of(&mut self, service: ServiceId) -> &mut Vec<Member> {
        // Insertion is cheap: a full list has all entries from the start, and an update has few.
        let index = match self.members.binary_search_by_key(&service, |(id, _)| *id) {
            Ok(index) => index,
            Err(index) => {
                self.members.insert(index, (service, Vec::new()));
                index
            }
        };
        &mut self.members[index].1
    }
}

#[derive(Debug)]
struct KnownUpstream {
    id: String,
    service: ServiceId,
    address: SocketAddr,
    status: Status,
    /// The start as the list states it, in Unix milliseconds of the wall clock; 0 means long ago.
    up_since_ms: f64,
    /// The start on the monotonic clock. Converted only when `up_since_ms` changes, or else a step of the wall clock
    /// would look like a restart of the upstream.
    started: Option<Time>,
}

#[derive(Debug)]
struct ServiceUpstreams {
    /// Zone names of the service's settings; the policy refers to them by index.
    zones: Vec<String>,
    /// Machine type names of the service's settings, likewise.
    machine_types: Vec<String>,
    /// Every upstream that the service has had, including those that are gone.
    servers: Vec<ServerId>,
}

/// The upstreams by service and by [`ServerId`], the id that the policy and the connections use. An upstream that
/// moves to another service gets a new [`ServerId`], so that its open attempts still belong to the service that sent
/// them.
#[derive(Debug)]
pub struct Directory {
    /// Whether there is a single service, which takes every upstream regardless of the service that the list names.
    single: bool,
    /// By [`ServiceId`]; `None` for a removed service.
    per_service: Vec<Option<ServiceUpstreams>>,
    by_name: FxHashMap<String, ServiceId>,
    /// By the id in the list.
    by_id: FxHashMap<String, ServerId>,
    /// By [`ServerId`].
    servers: Vec<KnownUpstream>,
    /// The number of upstreams with [`Status::Live`].
    live_count: usize,
    wall_clock: WallClock,
}

impl Directory {
    /// A directory without services. `single` says that the one service to be added takes every upstream.
    pub fn new(single: bool) -> Self {
        Self {
            single,
            per_service: Vec::new(),
            by_name: FxHashMap::default(),
            by_id: FxHashMap::default(),
            servers: Vec::new(),
            live_count: 0,
            wall_clock: WallClock::default(),
        }
    }

    /// Records that the wall clock reads `wall` at the time `now`. Call it before [`Directory::apply_list`], which
    /// converts start times by it.
    pub fn observe_wall_clock(&mut self, wall: Time, now: Time) {
        self.wall_clock.record(wall, now);
    }

    /// Adds a service with the zones and machine types that its settings name. It gets its upstreams with the next full
    /// list.
    pub fn add(&mut self, name: &str, zones: &[String], machine_types: &[String]) -> ServiceId {
        let service = ServiceId(self.per_service.len() as u32);
        let (zones, machine_types) = (zones.to_vec(), machine_types.to_vec());
        self.per_service.push(Some(ServiceUpstreams { zones, machine_types, servers: Vec::new() }));
        self.by_name.insert(name.to_owned(), service);
        service
    }

    /// Removes the service of this name. Returns the changes of its upstreams, all of which are gone now.
    pub fn remove(&mut self, name: &str) -> Vec<Change> {
        let service = self.by_name.remove(name);
        let Some(upstreams) = service.and_then(|s| self.per_service[s.0 as usize].take()) else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        for server in upstreams.servers {
            let known = &self.servers[server.0 as usize];
            if self.by_id.get(&known.id) == Some(&server) {
                self.by_id.remove(&known.id);
            }
            if known.status != Status::Gone {
                self.set_status(server, Status::Gone);
                changes.push(self.change(server));
            }
        }
        changes
    }

    /// Whether any upstream takes new requests.
    pub fn any_live(&self) -> bool {
        self.live_count > 0
    }

    /// The status of this upstream; [`Status::Gone`] if it is not known.
    pub fn status(&self, server: ServerId) -> Status {
        self.servers.get(server.0 as usize).map_or(Status::Gone, |s| s.status)
    }

    /// The ids of the services that are not removed, in ascending order.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> {
        (0u32..)
            .zip(&self.per_service)
            .filter(|(_, upstreams)| upstreams.is_some())
            .map(|(i, _)| ServiceId(i))
    }

    fn set_status(&mut self, server: ServerId, status: Status) {
        let previous = std::mem::replace(&mut self.servers[server.0 as usize].status, status);
        self.live_count -= usize::from(previous == Status::Live);
        self.live_count += usize::from(status == Status::Live);
    }

    fn change(&self, server: ServerId) -> Change {
        let KnownUpstream { id, address, status, .. } = &self.servers[server.0 as usize];
        Change { server, id: id.clone(), address: *address, status: *status }
    }

    /// Applies a list. The cost of an update is proportional to the members it names, that of a full list to all known
    /// upstreams.
    pub fn apply_list(&mut self, list: &Message, kind: ListKind) -> DirectoryUpdate {
        let mut update = DirectoryUpdate::default();
        if kind != ListKind::Update {
            update.members = self.services().map(|service| (service, Vec::new())).collect();
            self.remove_unlisted(list, &mut update.changes);
        }
        for entry in &list.members {
            self.apply_entry(entry, &mut update);
        }
        update
    }

    /// Marks the upstreams that a full list does not name as gone.
    fn remove_unlisted(&mut self, list: &Message, changes: &mut Vec<Change>) {
        let listed: FxHashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
        let unlisted = self.by_id.iter().filter(|(id, _)| !listed.contains(id.as_str()));
        let mut unlisted: Vec<ServerId> = unlisted.map(|(_, server)| *server).collect();
        unlisted.retain(|server| self.status(*server) != Status::Gone);
        for server in unlisted {
            self.set_status(server, Status::Gone);
            changes.push(self.change(server));
        }
    }

    fn apply_entry(&mut self, entry: &Entry, update: &mut DirectoryUpdate) {
        let known = self.by_id.get(&entry.id).copied();
        let current_service = known.map(|server| self.servers[server.0 as usize].service);
        // The entry of a deleted upstream may no longer name its service.
        let service = match (self.single, entry.phase) {
            (true, _) => Some(ServiceId(0)),
            (false, Phase::Deleted) if current_service.is_some() => current_service,
            (false, _) => self.by_name.get(&entry.service).copied(),
        };
        if let (Some(server), Some(previous_service)) =
            (known, current_service.filter(|current| service != Some(*current)))
        {
            // The upstream has moved to another service, possibly one that is not served here.
            self.by_id.remove(&entry.id);
            if self.status(server) != Status::Gone {
                self.set_status(server, Status::Gone);
                update.changes.push(self.change(server));
                let deleted = Entry { phase: Phase::Deleted, ..entry.clone() };
                if let Some(member) = self.member(previous_service, server, &deleted) {
                    update.members_of(previous_service).push(member);
                }
            }
        }
        let Some(service) = service else { return };
        let known = self.by_id.get(&entry.id).copied();
        // With an invalid address the previous one is used, so that a change of phase such as draining still takes
        // effect.
        let last_address = known.map(|server| self.servers[server.0 as usize].address);
        let Some(address) = entry.host_port.parse().ok().or(last_address) else {
            tracing::warn!(
                id = entry.id,
                address = entry.host_port,
                "ignoring list member with an invalid address"
            );
            return;
        };
        let server = known.unwrap_or_else(|| self.register(entry, service, address));
        self.servers[server.0 as usize].address = address;
        self.update_start(server, entry.up_since_ms);
        self.set_status(server, status(entry.phase));
        update.changes.push(self.change(server));
        if let Some(member) = self.member(service, server, entry) {
            update.members_of(service).push(member);
        }
    }

    fn register(&mut self, entry: &Entry, service: ServiceId, address: SocketAddr) -> ServerId {
        let server = ServerId(self.servers.len() as u32);
        let (id, status) = (entry.id.clone(), Status::Gone);
        let (up_since_ms, started) = (0.0, None);
        self.servers.push(KnownUpstream {
            id: id.clone(),
            service,
            address,
            status,
            up_since_ms,
            started,
        });
        self.by_id.insert(id, server);
        if let Some(upstreams) = &mut self.per_service[service.0 as usize] {
            upstreams.servers.push(server);
        }
        server
    }

    fn update_start(&mut self, server: ServerId, up_since_ms: f64) {
        let known = &mut self.servers[server.0 as usize];
        if known.up_since_ms == up_since_ms {
            return;
        }
        let by_wall_clock = Time((up_since_ms * 1000.0) as i64);
        known.up_since_ms = up_since_ms;
        known.started = (up_since_ms > 0.0).then(|| self.wall_clock.start_time(by_wall_clock));
    }

    /// Converts a list entry to the policy's form.
    fn member(&self, service: ServiceId, server: ServerId, entry: &Entry) -> Option<Member> {
        let upstreams = self.per_service.get(service.0 as usize)?.as_ref()?;
        // A name that is not in the settings gets the index after the last one.
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
        };
        Some(Member {
            id: server,
            identity: stable_hash(&entry.id),
            zone: index(&upstreams.zones, &entry.locality),
            kind: index(&upstreams.machine_types, &entry.flavor),
            cell: entry.cell,
            status: status(entry.phase),
            weight: entry.size,
            started: self.servers[server.0 as usize].started,
        })
    }
}

fn status(phase: Phase) -> Status {
    match phase {
        Phase::Serving => Status::Live,
        Phase::Draining | Phase::Unknown => Status::Draining,
        Phase::Deleted => Status::Gone,
    }
}
