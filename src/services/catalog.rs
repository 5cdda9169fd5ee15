//! What a balancer's configuration says of its services: their names, settings and routes, checked whole before any
//! of it is used.

use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;

use crate::discovery::member::{Message, service_fault};
use crate::interface::Effect;
use crate::interface::SettingsError;
use crate::routing::{Route, RouteError, RouteTable};
use crate::settings::{Class, CountedBy, Facts, Prices, Safety, Tenant};

/// A service as the configuration states it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// As the list's members and the routes name it.
    pub name: String,
    /// What differs from the balancer's settings.
    #[serde(default)]
    pub settings: Overrides,
}

/// Settings of one service, in place of the balancer's. What is the process's own (zones, position, limits,
/// how lists come) can't be set here.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields, default)]
pub struct Overrides {
    /// Request classes.
    #[serde(rename = "Services")]
    pub classes: Option<Vec<Class>>,
    /// Tenants; a service has those that it states.
    pub tenants: Vec<Tenant>,
    /// Figures of the rules.
    pub safety: Option<Safety>,
    /// What things cost.
    pub prices: Option<Prices>,
    /// How worth is counted.
    pub counted_by: Option<CountedBy>,
    /// Worth of a request beyond its tenant's share.
    pub over_share_worth: Option<f64>,
}

impl Overrides {
    fn apply_to(&self, base: &Facts) -> Facts {
        let mut facts = base.clone();
        facts.tenants = self.tenants.clone();
        if let Some(classes) = &self.classes {
            facts.classes = classes.clone();
        }
        if let Some(safety) = &self.safety {
            facts.safety = safety.clone();
        }
        if let Some(prices) = &self.prices {
            facts.prices = prices.clone();
        }
        if let Some(counted_by) = &self.counted_by {
            facts.counted_by = counted_by.clone();
        }
        facts.over_share_worth = self.over_share_worth.unwrap_or(facts.over_share_worth);
        facts
    }
}

/// A service, ready to be served.
#[derive(Debug)]
pub struct Service {
    /// Its name; empty for the one service of a balancer without any.
    pub name: String,
    /// Its settings.
    pub facts: Facts,
    /// What a repeat of each class can do.
    pub effects: Vec<Effect>,
    classes: FxHashMap<String, usize>,
    tenants: FxHashMap<String, usize>,
}

impl Service {
    fn new(name: String, facts: Facts) -> Result<Self, SettingsError> {
        let settings = facts.settings().checked()?;
        // Of two of one name the first counts.
        fn by_name<'a>(names: impl Iterator<Item = &'a String>) -> FxHashMap<String, usize> {
            let mut by_name = FxHashMap::default();
            for (i, name) in names.enumerate() {
                by_name.entry(name.clone()).or_insert(i);
            }
            by_name
        }
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        let classes = by_name(facts.classes.iter().map(|c| &c.name));
        let tenants = by_name(facts.tenants.iter().map(|t| &t.name));
        Ok(Self { name, facts, effects, classes, tenants })
    }

    /// The index of the class of this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// The index of the tenant of this name; 0 where the service tells none apart.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        if self.tenants.is_empty() { Some(0) } else { self.tenants.get(name).copied() }
    }
}

/// Why a configuration's services can't be served, by the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum CatalogError {
    /// A key whose value can't be.
    #[error("{key}: {cause}")]
    Invalid {
        /// The key.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
    /// A route that can't be.
    #[error(transparent)]
    Route(#[from] RouteError),
    /// Settings that no balancer can work to.
    #[error("{key}: {cause}")]
    Settings {
        /// The key.
        key: String,
        /// What is wrong with them.
        cause: SettingsError,
    },
}

/// What became of a list from before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FilteredList {
    /// Whether it named upstreams of no service here.
    pub changed: bool,
    /// Whether each service has upstreams in it: one that has none may not have been followed then, and the whole
    /// list has to be asked for.
    pub covers_all_services: bool,
}

/// All services of a balancer, and which requests are whose.
#[derive(Debug)]
pub struct Catalog {
    /// In the configuration's order.
    pub services: Vec<Service>,
    /// `None` for a balancer with one service, which takes every request and every upstream.
    routes: Option<RouteTable>,
}

impl Catalog {
    /// One service that takes every request and every upstream: a configuration without `services`.
    ///
    /// # Errors
    /// [`CatalogError::Settings`].
    pub fn single(facts: &Facts) -> Result<Self, CatalogError> {
        let service = Service::new(String::new(), facts.clone())
            .map_err(|cause| CatalogError::Settings { key: "settings".into(), cause })?;
        Ok(Self { services: vec![service], routes: None })
    }

    /// These services behind these routes, each with the balancer's settings where it states none of its own.
    ///
    /// # Errors
    /// [`CatalogError`]: no service at all, two of one name, a name that can't be, settings that no balancer can
    /// work to, a route that can't be or leads nowhere, tenants that belong to no service.
    pub fn new(
        base: &Facts,
        services: &[ServiceEntry],
        routes: &[Route],
    ) -> Result<Self, CatalogError> {
        let invalid = |key: String, cause: &str| CatalogError::Invalid { key, cause: cause.into() };
        if services.is_empty() {
            return Err(invalid("services".into(), "names none"));
        }
        if !base.tenants.is_empty() {
            let cause = "where there are services, each states its own";
            return Err(invalid("settings.Tenants".into(), cause));
        }
        let mut seen = FxHashSet::default();
        let mut checked = Vec::with_capacity(services.len());
        for (i, entry) in services.iter().enumerate() {
            let key = || format!("services[{i}].name");
            if entry.name.is_empty() {
                return Err(invalid(key(), "is empty"));
            }
            if let Some(cause) = service_fault(&entry.name) {
                return Err(invalid(key(), cause));
            }
            if !seen.insert(entry.name.as_str()) {
                return Err(invalid(key(), "listed twice"));
            }
            let service = Service::new(entry.name.clone(), entry.settings.apply_to(base));
            let key = format!("services[{i}].settings");
            checked.push(service.map_err(|cause| CatalogError::Settings { key, cause })?);
        }
        let names: Vec<&str> = checked.iter().map(|s| s.name.as_str()).collect();
        let routes = RouteTable::new(routes, &names)?;
        Ok(Self { services: checked, routes: Some(routes) })
    }

    /// Whether every request and every upstream is one service's.
    pub fn is_single(&self) -> bool {
        self.routes.is_none()
    }

    /// Which service a request to this host and path is for, as an index into `services`.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        match &self.routes {
            Some(routes) => routes.find(host, path),
            None => Some(0),
        }
    }

    /// Takes out of a list from before what is of no service here.
    pub fn filter_list(&self, list: &mut Message) -> FilteredList {
        if self.is_single() {
            return FilteredList { changed: false, covers_all_services: true };
        }
        let mut missing: FxHashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let names = missing.clone();
        let listed = list.members.len();
        list.members.retain(|m| names.contains(m.service.as_str()));
        let changed = list.members.len() < listed;
        list.complete |= changed;
        for member in &list.members {
            missing.remove(member.service.as_str());
        }
        FilteredList { changed, covers_all_services: missing.is_empty() }
    }

    /// The names that members of the list carry; `None` where all are wanted.
    pub fn names(&self) -> Option<Vec<String>> {
        let names = || self.services.iter().map(|s| s.name.clone()).collect();
        (!self.is_single()).then(names)
    }
}
