//! Services behind routes by host and path prefix. Each service has its own [`Balancer`] with its own upstreams, queue,
//! limits and decisions, so the cost of a request, a list update or a tick depends on the size of its service, not on
//! that of the fleet.
//!
//! Like the policy, this code does no I/O: it takes events and returns actions. A balancer whose configuration has no
//! services has a single one, which takes every request and every upstream.
//!
//! The timer of a service is suspended while the service is idle, that is, while it has no open requests and no idle
//! connections left to close. The next event first delivers the suspended tick. Idle services therefore cost nothing,
//! even hundreds of them beside a busy one. A single service is never suspended.

mod catalog;
mod directory;
mod wall_clock;

use std::rc::Rc;

pub use catalog::{Catalog, CatalogError, FilteredList, Overrides, Service, ServiceEntry};
pub use directory::{Change, Directory, DirectoryUpdate};

use crate::discovery::member::Message;
use crate::interface::{Action, Event, ListKind, SettingsError, Span, Status, Time};
use crate::policy::Balancer;
use crate::settings::stable_hash;

/// Identifies a service: its index among all services that the balancer has had. Indexes are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub u32);

/// Maps requests to services: the current catalog and the id of each of its services.
#[derive(Debug)]
pub struct Routing {
    /// The current catalog.
    pub catalog: Rc<Catalog>,
    ids: Vec<ServiceId>,
}

impl Routing {
    /// The service for a request to this host and path, or `None` if no route matches.
    pub fn find(&self, host: &str, path: &str) -> Option<(ServiceId, &Service)> {
        let index = self.catalog.route(host, path)?;
        Some((*self.ids.get(index)?, self.catalog.services.get(index)?))
    }
}

/// Why a new catalog was refused. The current one stays in effect.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ReloadError {
    /// Only one of the two catalogs names services.
    #[error("services: to have some, or none any more, takes a restart")]
    Kind,
    /// A service in both catalogs has different settings; the index is that in the new catalog.
    #[error("services[{0}].settings: other settings for a service that is served take a restart")]
    Settings(usize),
    /// The settings of a service are invalid.
    #[error(transparent)]
    Refused(#[from] SettingsError),
}

/// The result of a successful [`Services::reload`].
#[derive(Debug)]
pub struct Reloaded {
    /// The routing that is now in effect.
    pub routing: Rc<Routing>,
    /// Services that are no longer served. Their queued requests have to be refused now; requests already sent to an
    /// upstream may finish.
    pub removed: Vec<ServiceId>,
    /// The number of new services.
    pub added: usize,
    /// The upstreams of the removed services, which are gone now.
    pub changes: Vec<Change>,
}

#[derive(Debug)]
struct Slot {
    /// `None` once the service is removed and its last request is closed.
    balancer: Option<Balancer>,
    removed: bool,
    /// Requests between [`Services::request_opened`] and [`Services::request_closed`].
    open_requests: usize,
    /// How long the balancer goes on closing idle connections to upstreams that drain or are gone.
    close_within: Span,
    /// The timer is not suspended before this time, so that those connections get closed.
    active_until: Time,
    /// The token of a timer that was not armed because the service is idle.
    suspended_timer: Option<u64>,
}

/// All services of one balancer, including removed ones that still have open requests.
#[derive(Debug)]
pub struct Services {
    slots: Vec<Slot>,
    directory: Directory,
    routing: Rc<Routing>,
    seed: u64,
    must_ask: bool,
    /// Whether a list subscription is established. Matters only if `must_ask` is set.
    subscribed: bool,
}

impl Services {
    /// Creates the services of `catalog`. The seed of each is derived from `seed` and its name; a single service uses
    /// `seed` itself.
    ///
    /// # Errors
    /// [`SettingsError`] from [`Balancer::new`] if the settings of a service are invalid.
    pub fn new(catalog: Rc<Catalog>, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let must_ask = catalog.services.first().is_some_and(|s| s.facts.settings().must_ask);
        let directory = Directory::new(catalog.is_single());
        let routing = Rc::new(Routing { catalog: catalog.clone(), ids: Vec::new() });
        let (slots, subscribed) = (Vec::new(), false);
        let mut services = Self { slots, directory, routing, seed, must_ask, subscribed };
        let ids: Result<_, _> = catalog.services.iter().map(|s| services.add(s, now)).collect();
        services.routing = Rc::new(Routing { ids: ids?, catalog });
        Ok(services)
    }

    fn add(&mut self, service: &Service, now: Time) -> Result<ServiceId, SettingsError> {
        let settings = service.facts.settings();
        let close_within = settings.rules.drain_close;
        let seed =
            if self.is_single() { self.seed } else { self.seed ^ stable_hash(&service.name) };
        let balancer = Some(Balancer::new(settings, seed, now)?);
        self.slots.push(Slot {
            balancer,
            removed: false,
            open_requests: 0,
            close_within,
            active_until: now,
            suspended_timer: None,
        });
        let facts = &service.facts;
        Ok(self.directory.add(&service.name, &facts.zones, &facts.machine_types))
    }

    fn is_single(&self) -> bool {
        self.routing.catalog.is_single()
    }

    /// The current routing.
    pub fn routing(&self) -> Rc<Routing> {
        self.routing.clone()
    }

    /// The ids of the services that are served, in ascending order.
    pub fn ids(&self) -> Vec<ServiceId> {
        self.directory.services().collect()
    }

    /// Whether this service is served: it exists and is not removed.
    pub fn serves(&self, service: ServiceId) -> bool {
        self.slots.get(service.0 as usize).is_some_and(|s| !s.removed)
    }

    /// Whether any upstream of any service takes new requests.
    pub fn any_live(&self) -> bool {
        self.directory.any_live()
    }

    /// The number of upstreams in the list, and how many of them get no requests now, over all services; for gauges.
    pub fn pool(&self, now: Time) -> (usize, usize) {
        let pools = self.slots.iter().filter_map(|s| Some(s.balancer.as_ref()?.pool(now)));
        pools.fold((0, 0), |(size, ejected), pool| (size + pool.0, ejected + pool.1))
    }

    /// Records that a request of this service was opened. The caller ends it by [`Services::request_closed`].
    pub fn request_opened(&mut self, service: ServiceId) {
        if let Some(slot) = self.slots.get_mut(service.0 as usize) {
            slot.open_requests += 1;
        }
    }

    /// Records that a request of this service and all of its attempts have ended. Drops the balancer of a removed
    /// service with its last request.
    pub fn request_closed(&mut self, service: ServiceId) {
        let Some(slot) = self.slots.get_mut(service.0 as usize) else { return };
        slot.open_requests = slot.open_requests.saturating_sub(1);
        if slot.removed && slot.open_requests == 0 {
            slot.balancer = None;
        }
    }

    /// Records that the wall clock reads `wall` at the time `now`. Call it before [`Services::apply_list`].
    pub fn observe_wall_clock(&mut self, wall: Time, now: Time) {
        self.directory.observe_wall_clock(wall, now);
    }

    /// Applies a list to the directory. The caller passes the members of each service on by [`Services::handle`].
    pub fn apply_list(&mut self, list: &Message, kind: ListKind) -> DirectoryUpdate {
        let mut update = self.directory.apply_list(list, kind);
        // The subscribing service is notified of every list, or it would go on asking.
        if let Some(subscribing) = self.subscribing_service() {
            update.members_of(subscribing);
        }
        update
    }

    /// The service whose timer subscribes to the list on behalf of all services.
    fn subscribing_service(&self) -> Option<ServiceId> {
        self.directory.services().next()
    }

    /// Passes an event to the balancer of this service and appends the resulting actions to `out`, in order.
    pub fn handle(
        &mut self,
        now: Time,
        service: ServiceId,
        event: Event<'_>,
        out: &mut Vec<Action>,
    ) {
        let subscribes = self.subscribing_service() == Some(service);
        let Some(slot) = self.slots.get_mut(service.0 as usize) else { return };
        let Some(balancer) = &mut slot.balancer else { return };
        let start = out.len();
        let is_list =
            matches!(event, Event::Members { kind: ListKind::Full | ListKind::Update, .. });
        match &event {
            Event::Members { kind, .. } => {
                slot.active_until = now.plus(slot.close_within);
                if subscribes && *kind != ListKind::Restored {
                    self.subscribed = *kind != ListKind::Unavailable;
                }
            }
            Event::Answered(a) if self.directory.status(a.server) != Status::Live => {
                slot.active_until = now.plus(slot.close_within);
            }
            _ => {}
        }
        let suspended = slot.suspended_timer.take();
        if let Some(token) = suspended.filter(|_| !matches!(event, Event::Timer(_))) {
            balancer.handle(now, Event::Timer(token), out);
        }
        balancer.handle(now, event, out);
        let idle = slot.open_requests == 0 && now >= slot.active_until;
        let subscribing = subscribes && self.must_ask && !self.subscribed;
        let suspends = idle && !subscribing && !self.routing.catalog.is_single();
        let mut i = start;
        while i < out.len() {
            match out[i] {
                Action::Arm { token, .. } if suspends => {
                    slot.suspended_timer = Some(token);
                    out.remove(i);
                }
                // A suspended tick that a list triggered need not subscribe: the list has just arrived.
                Action::Subscribe if !subscribes || is_list => drop(out.remove(i)),
                _ => i += 1,
            }
        }
    }

    /// Replaces the catalog. Added services are served from the next list on, services that the new catalog does not
    /// have are removed, and all others continue unchanged.
    ///
    /// # Errors
    /// [`ReloadError`] if the catalog is refused; nothing is changed then.
    pub fn reload(&mut self, catalog: Rc<Catalog>, now: Time) -> Result<Reloaded, ReloadError> {
        if catalog.is_single() != self.is_single() {
            return Err(ReloadError::Kind);
        }
        let previous = self.routing.clone();
        let previous_index =
            |name: &str| previous.catalog.services.iter().position(|s| s.name == name);
        let retained: Vec<Option<usize>> =
            catalog.services.iter().map(|s| previous_index(&s.name)).collect();
        for (i, (service, index)) in catalog.services.iter().zip(&retained).enumerate() {
            if index.is_some_and(|index| previous.catalog.services[index].facts != service.facts) {
                return Err(ReloadError::Settings(i));
            }
            // All settings are validated before anything is changed.
            service.facts.settings().checked()?;
        }
        let is_retained = |i: usize| retained.contains(&Some(i));
        let (mut removed, mut changes) = (Vec::new(), Vec::new());
        for (i, service) in
            previous.catalog.services.iter().enumerate().filter(|(i, _)| !is_retained(*i))
        {
            let id = previous.ids[i];
            changes.extend(self.directory.remove(&service.name));
            let slot = &mut self.slots[id.0 as usize];
            slot.removed = true;
            if slot.open_requests == 0 {
                slot.balancer = None;
            }
            removed.push(id);
        }
        let mut ids = Vec::with_capacity(retained.len());
        for (service, index) in catalog.services.iter().zip(&retained) {
            ids.push(match index {
                Some(index) => previous.ids[*index],
                None => self.add(service, now)?,
            });
        }
        let added = retained.iter().filter(|index| index.is_none()).count();
        self.routing = Rc::new(Routing { catalog, ids });
        Ok(Reloaded { routing: self.routing.clone(), removed, added, changes })
    }
}

#[cfg(test)]
mod tests;
