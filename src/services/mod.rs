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

pub use catalog::{Catalog, CatalogError, Narrowed, Overrides, Service, ServiceEntry};
pub use directory::{Change, Directory, Notified};

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
        let at = self.catalog.route(host, path)?;
        Some((*self.ids.get(at)?, self.catalog.services.get(at)?))
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
    open: usize,
    /// How long idle connections to what leaves are closed again and again.
    close_within: Span,
    awake_until: Time,
    /// The timer that it rests from.
    resting: Option<u64>,
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
            open: 0,
            close_within,
            awake_until: now,
            resting: None,
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
        pools.fold((0, 0), |(size, shut), pool| (size + pool.0, shut + pool.1))
    }

    /// The caller holds one more request of this service, until [`Services::closed`].
    pub fn opened(&mut self, service: ServiceId) {
        if let Some(slot) = self.slots.get_mut(service.0 as usize) {
            slot.open += 1;
        }
    }

    /// The caller is done with a request of this service, and with all of its attempts.
    pub fn closed(&mut self, service: ServiceId) {
        let Some(slot) = self.slots.get_mut(service.0 as usize) else { return };
        slot.open = slot.open.saturating_sub(1);
        if slot.removed && slot.open == 0 {
            slot.balancer = None;
        }
    }

    /// The wall clock reads `wall` at the moment `now`: told before each list.
    pub fn clock_read(&mut self, wall: Time, now: Time) {
        self.directory.clock_read(wall, now);
    }

    /// Takes in a list, and says what each service has to be told of it, by [`Services::handle`].
    pub fn told(&mut self, list: &Message, kind: ListKind) -> Notified {
        let mut told = self.directory.told(list, kind);
        // Whoever asks for lists hears of each, or it would ask on.
        if let Some(asks) = self.asks() {
            told.part(asks);
        }
        told
    }

    /// The service whose timer asks for the list for all of them.
    fn asks(&self) -> Option<ServiceId> {
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
        let asks = self.asks() == Some(service);
        let Some(slot) = self.slots.get_mut(service.0 as usize) else { return };
        let Some(balancer) = &mut slot.balancer else { return };
        let from = out.len();
        let told = matches!(event, Event::Members { kind: ListKind::Full | ListKind::Update, .. });
        match &event {
            Event::Members { kind, .. } => {
                slot.awake_until = now.plus(slot.close_within);
                if asks && *kind != ListKind::Restored {
                    self.subscribed = *kind != ListKind::Unavailable;
                }
            }
            Event::Answered(a) if self.directory.status(a.server) != Status::Live => {
                slot.awake_until = now.plus(slot.close_within);
            }
            _ => {}
        }
        let woken = slot.resting.take();
        if let Some(token) = woken.filter(|_| !matches!(event, Event::Timer(_))) {
            balancer.handle(now, Event::Timer(token), out);
        }
        balancer.handle(now, event, out);
        let idle = slot.open == 0 && now >= slot.awake_until;
        let asking = asks && self.must_ask && !self.subscribed;
        let rests = idle && !asking && !self.routing.catalog.is_single();
        let mut at = from;
        while at < out.len() {
            match out[at] {
                Action::Arm { token, .. } if rests => {
                    slot.resting = Some(token);
                    out.remove(at);
                }
                // What is told now need not be asked for by the tick that it woke.
                Action::Subscribe if !asks || told => drop(out.remove(at)),
                _ => at += 1,
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
        let before = self.routing.clone();
        let at = |name: &str| before.catalog.services.iter().position(|s| s.name == name);
        let kept: Vec<Option<usize>> = catalog.services.iter().map(|s| at(&s.name)).collect();
        for (i, (service, at)) in catalog.services.iter().zip(&kept).enumerate() {
            if at.is_some_and(|at| before.catalog.services[at].facts != service.facts) {
                return Err(ReloadError::Settings(i));
            }
            // Checked before anything is changed.
            service.facts.settings().checked()?;
        }
        let stays = |i: usize| kept.contains(&Some(i));
        let (mut removed, mut changes) = (Vec::new(), Vec::new());
        for (i, service) in before.catalog.services.iter().enumerate().filter(|(i, _)| !stays(*i)) {
            let id = before.ids[i];
            changes.extend(self.directory.remove(&service.name));
            let slot = &mut self.slots[id.0 as usize];
            slot.removed = true;
            if slot.open == 0 {
                slot.balancer = None;
            }
            removed.push(id);
        }
        let mut ids = Vec::with_capacity(kept.len());
        for (service, at) in catalog.services.iter().zip(&kept) {
            ids.push(match at {
                Some(at) => before.ids[*at],
                None => self.add(service, now)?,
            });
        }
        let added = kept.iter().filter(|at| at.is_none()).count();
        self.routing = Rc::new(Routing { catalog, ids });
        Ok(Reloaded { routing: self.routing.clone(), removed, added, changes })
    }
}

#[cfg(test)]
mod tests;
