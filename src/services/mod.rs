//! Services: each with its own upstreams, queue, limits and decisions, a [`Balancer`] each, behind routes by host and
//! path prefix. A request, a change of the list and a tick cost what their service costs, not what the fleet costs.
//!
//! Pure, as the module is: told what happens, answers with actions. A balancer without services in its configuration
//! has one that takes every request and every upstream.
//!
//! A service rests while nothing of it is open and nothing has to be closed again: its timer is not armed, and the
//! first event after that finds the tick made up for. Two hundred idle services beside a busy one cost nothing.

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

/// A service, by its place among all that this process has known; never another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub u32);

/// Which request is whose: the catalog in force, and the handle of each of its services.
#[derive(Debug)]
pub struct Routing {
    /// The catalog in force.
    pub catalog: Rc<Catalog>,
    ids: Vec<ServiceId>,
}

impl Routing {
    /// The service that a request to this host and path is for.
    pub fn find(&self, host: &str, path: &str) -> Option<(ServiceId, &Service)> {
        let index = self.catalog.route(host, path)?;
        Some((*self.ids.get(index)?, self.catalog.services.get(index)?))
    }
}

/// Why a catalog can't take the place of the one in force, which stays.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ReloadError {
    /// One names services and the other none.
    #[error("services: to have some, or none any more, takes a restart")]
    Kind,
    /// A service that stays has other settings.
    #[error("services[{0}].settings: other settings for a service that is served take a restart")]
    Settings(usize),
    /// Settings that no balancer can work to.
    #[error(transparent)]
    Refused(#[from] SettingsError),
}

/// What a new catalog has changed.
#[derive(Debug)]
pub struct Reloaded {
    /// What is in force now.
    pub routing: Rc<Routing>,
    /// Services that are no longer served: what waits there has to be refused now, what is out may end.
    pub removed: Vec<ServiceId>,
    /// How many services are new.
    pub added: usize,
    /// Their upstreams.
    pub changes: Vec<Change>,
}

#[derive(Debug)]
struct Slot {
    /// `None` once it was removed and nothing of it is open.
    balancer: Option<Balancer>,
    removed: bool,
    /// Requests that the caller holds for it.
    open_requests: usize,
    /// How long idle connections to what leaves are closed again and again.
    close_within: Span,
    active_until: Time,
    /// The timer that it rests from.
    suspended_timer: Option<u64>,
}

/// All services of one balancer.
#[derive(Debug)]
pub struct Services {
    slots: Vec<Slot>,
    directory: Directory,
    routing: Rc<Routing>,
    seed: u64,
    must_ask: bool,
    /// Whether somebody tells of the list, where it has to be asked for.
    subscribed: bool,
}

impl Services {
    /// The services of this catalog; `seed` is the balancer's own.
    ///
    /// # Errors
    /// [`SettingsError`], as [`Balancer::new`].
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

    /// What is in force.
    pub fn routing(&self) -> Rc<Routing> {
        self.routing.clone()
    }

    /// The services that are served, in order.
    pub fn ids(&self) -> Vec<ServiceId> {
        self.directory.services().collect()
    }

    /// Whether it is served.
    pub fn serves(&self, service: ServiceId) -> bool {
        self.slots.get(service.0 as usize).is_some_and(|s| !s.removed)
    }

    /// Whether any upstream of any service takes requests.
    pub fn any_live(&self) -> bool {
        self.directory.any_live()
    }

    /// Upstreams in the list, and those that get nothing now, over all services; for gauges.
    pub fn pool(&self, now: Time) -> (usize, usize) {
        let pools = self.slots.iter().filter_map(|s| Some(s.balancer.as_ref()?.pool(now)));
        pools.fold((0, 0), |(size, ejected), pool| (size + pool.0, ejected + pool.1))
    }

    /// The caller holds one more request of this service, until [`Services::request_closed`].
    pub fn request_opened(&mut self, service: ServiceId) {
        if let Some(slot) = self.slots.get_mut(service.0 as usize) {
            slot.open_requests += 1;
        }
    }

    /// The caller is done with a request of this service, and with all of its attempts.
    pub fn request_closed(&mut self, service: ServiceId) {
        let Some(slot) = self.slots.get_mut(service.0 as usize) else { return };
        slot.open_requests = slot.open_requests.saturating_sub(1);
        if slot.removed && slot.open_requests == 0 {
            slot.balancer = None;
        }
    }

    /// The wall clock reads `wall` at the moment `now`: told before each list.
    pub fn observe_wall_clock(&mut self, wall: Time, now: Time) {
        self.directory.observe_wall_clock(wall, now);
    }

    /// Takes in a list, and says what each service has to be told of it, by [`Services::handle`].
    pub fn apply_list(&mut self, list: &Message, kind: ListKind) -> DirectoryUpdate {
        let mut update = self.directory.apply_list(list, kind);
        // Whoever asks for lists hears of each, or it would ask on.
        if let Some(subscribing) = self.subscribing_service() {
            update.members_of(subscribing);
        }
        update
    }

    /// The service whose timer asks for the list for all of them.
    fn subscribing_service(&self) -> Option<ServiceId> {
        self.directory.services().next()
    }

    /// Tells the balancer of this service, and appends what is to be done, in order.
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
                // What is told now need not be asked for by the tick that it woke.
                Action::Subscribe if !subscribes || is_list => drop(out.remove(i)),
                _ => i += 1,
            }
        }
    }

    /// Puts another catalog in force: services that it adds are served from the next list on, those that it leaves
    /// out no longer, all others go on as they are.
    ///
    /// # Errors
    /// [`ReloadError`]; nothing has changed then.
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
            // Checked before anything is changed.
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
