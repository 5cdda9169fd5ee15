//! The services of a balancer's configuration: their names, settings and routes. All of it is validated before any
//! part is used.

use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;

use crate::discovery::member::{Message, service_fault};
use crate::interface::Effect;
use crate::interface::SettingsError;
use crate::routing::{Route, RouteError, RouteTable};
use crate::settings::{Class, CountedBy, Facts, Prices, Safety, Tenant};

/// A service as written in the configuration.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The name by which list members and routes refer to the service.
    pub name: String,
    /// Settings that differ from those of the balancer.
    #[serde(default)]
    pub settings: Overrides,
}

/// Settings of one service that replace those of the balancer. Settings of the whole process (zones, position, limits,
/// how lists are received) can't be set here.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields, default)]
pub struct Overrides {
    /// Request classes.
    #[serde(rename = "Services")]
    pub classes: Option<Vec<Class>>,
    /// Tenants. Those of the balancer's settings are not inherited.
    pub tenants: Vec<Tenant>,
    /// Parameters of the safety rules.
    pub safety: Option<Safety>,
    /// Prices that the policy weighs its choices by.
    pub prices: Option<Prices>,
    /// How the worth of requests is counted.
    pub counted_by: Option<CountedBy>,
    /// Worth of a request that exceeds its tenant's share.
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

/// A service with validated settings.
#[derive(Debug)]
pub struct Service {
    /// Its name; empty for the single service of a balancer whose configuration names none.
    pub name: String,
    /// Its settings.
    pub facts: Facts,
    /// The effect of repeating a request, by class index.
    pub effects: Vec<Effect>,
    classes: FxHashMap<String, usize>,
    tenants: FxHashMap<String, usize>,
}

impl Service {
    fn new(name: String, facts: Facts) -> Result<Self, SettingsError> {
        let settings = facts.settings().checked()?;
        // Of two entries with the same name, the first is used.
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

    /// The index of the class with this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// The index of the tenant with this name; 0 for every name if the service has no tenants.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        if self.tenants.is_empty() { Some(0) } else { self.tenants.get(name).copied() }
    }
}

/// Why the services of a configuration are invalid, with the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum CatalogError {
    /// The value of a key is invalid.
    #[error("{key}: {cause}")]
    Invalid {
        /// The key.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
    /// A route is invalid.
    #[error(transparent)]
    Route(#[from] RouteError),
    /// The settings of a service are invalid.
    #[error("{key}: {cause}")]
    Settings {
        /// The key.
        key: String,
        /// What is wrong with them.
        cause: SettingsError,
    },
}

/// The result of [`Catalog::filter_list`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FilteredList {
    /// Whether members of services that are not in the catalog were removed.
    pub changed: bool,
    /// Whether the list has members of every service in the catalog. A service without members may not have been
    /// followed when the list was stored, so the full list has to be requested.
    pub covers_all_services: bool,
}

/// All services of a balancer, with the routes to them.
#[derive(Debug)]
pub struct Catalog {
    /// In the order of the configuration.
    pub services: Vec<Service>,
    /// `None` for a single service, which takes every request and every upstream.
    routes: Option<RouteTable>,
}

impl Catalog {
    /// A catalog with a single service that takes every request and every upstream, for a configuration without
    /// `services`.
    ///
    /// # Errors
    /// [`CatalogError::Settings`] if the settings are invalid.
    pub fn single(facts: &Facts) -> Result<Self, CatalogError> {
        let service = Service::new(String::new(), facts.clone())
            .map_err(|cause| CatalogError::Settings { key: "settings".into(), cause })?;
        Ok(Self { services: vec![service], routes: None })
    }

    /// A catalog of these services and routes. A service has the balancer's settings (`base`) where it states none of
    /// its own, except that tenants are not inherited.
    ///
    /// # Errors
    /// [`CatalogError`] if there are no services, two have the same name, a name or the settings of one are invalid, a
    /// route is invalid or names an unknown service, or `base` has tenants.
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

    /// Whether there is a single service for all requests and upstreams.
    pub fn is_single(&self) -> bool {
        self.routes.is_none()
    }

    /// The service for a request to this host and path, as an index into `services`; `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        match &self.routes {
            Some(routes) => routes.find(host, path),
            None => Some(0),
        }
    }

    /// Removes from a stored list the members of services that are not in the catalog.
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

    /// The service names to request list members for; `None` to request all members.
    pub fn names(&self) -> Option<Vec<String>> {
        let names = || self.services.iter().map(|s| s.name.clone()).collect();
        (!self.is_single()).then(names)
    }
}
