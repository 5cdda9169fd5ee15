//! The TOML configuration file of a process with simulated balancers and upstreams.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use super::upstream::HollowUpstream;
use crate::configuration::{self, ConfigError};
use crate::lease::table::TTL_MS;
use crate::services::{Catalog, CatalogError, Overrides, ServiceEntry};
use crate::settings::{
    Class, ClientHabits, CountedBy, Effect, Facts, Group, PolicyLimits, Prices, RegistryMode,
    Safety, ScoringMix, Stats,
};

/// Maximum number of balancers, and of upstreams, in one process.
const MAX_PER_PROCESS: usize = 100_000;

/// The configuration file of `hollow --config FILE`.
#[derive(Debug, Deserialize)]
pub struct HollowConfig {
    /// Address of the management API, `host:port`. Port 0 selects a free port, which is reported as `listening on
    /// ADDRESS`.
    pub management: SocketAddr,
    /// Seed of all random values, combined with the number of the balancer or upstream.
    #[serde(default)]
    pub seed: u64,
    /// Number of simulated balancers in this process.
    #[serde(default)]
    pub balancers: usize,
    /// Number of simulated upstreams in this process.
    #[serde(default)]
    pub upstreams: usize,
    /// Number of the first balancer and of the first upstream. Processes of one fleet need ranges that do not overlap.
    #[serde(default)]
    pub first: usize,
    /// Number of balancers in the fleet, as passed to the policies; defaults to those of this process.
    pub bank: Option<u32>,
    /// Addresses of the list service.
    pub lists: Lists,
    /// Zones; balancers and upstreams are distributed over them by their number.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// Services that the balancers serve, as names or as a count; upstreams are distributed over them by their number.
    /// With a count of 1, or a single empty name, the balancers accept every upstream, whatever its service.
    #[serde(default)]
    pub services: Services,
    /// TTL of the registration of upstreams, in milliseconds. They renew after a third of it.
    #[serde(default = "ttl_ms")]
    pub ttl_ms: u64,
    /// Upstreams start after a random delay below this many milliseconds; defaults to a third of the TTL, which
    /// spreads the renewals over time.
    pub spread_ms: Option<u64>,
    /// Directory in which each balancer persists its last list, in a subdirectory of its own; nothing is persisted if
    /// omitted.
    pub state_dir: Option<PathBuf>,
    /// Configuration file of a proxy, whose `settings` apply to each service. If omitted, there is one class with an
    /// aim of 2 s and a deadline of 6 s.
    pub proxy: Option<PathBuf>,
}

/// Addresses of the instances of the list service.
#[derive(Debug, Deserialize)]
pub struct Lists {
    /// Addresses to read and watch the list at. The number of a balancer selects the address it starts with.
    #[serde(default)]
    pub listen: Vec<SocketAddr>,
    /// Addresses at which upstreams register.
    #[serde(default)]
    pub management: Vec<SocketAddr>,
}

/// Services by name, or a count of services named `service-0`, `service-1` and so on.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum Services {
    /// The number of services.
    Count(usize),
    /// The names of the services.
    Names(Vec<String>),
}

impl Default for Services {
    fn default() -> Self {
        Self::Count(1)
    }
}

impl Services {
    /// Number of services.
    pub fn count(&self) -> usize {
        match self {
            Self::Count(n) => *n,
            Self::Names(names) => names.len(),
        }
    }

    /// Name of the service with this number, modulo the number of services.
    pub fn name(&self, number: usize) -> String {
        match self {
            Self::Count(n) => format!("service-{}", number % (*n).max(1)),
            Self::Names(names) => {
                names.get(number % names.len().max(1)).cloned().unwrap_or_default()
            }
        }
    }
}

fn one_zone() -> Vec<String> {
    vec!["a".to_owned()]
}
fn ttl_ms() -> u64 {
    10_000
}

/// The part of a proxy's configuration file that is used here.
#[derive(Deserialize)]
struct Proxy {
    settings: Facts,
}

impl HollowConfig {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// The errors of [`configuration::load`], and [`ConfigError::Invalid`] if there are neither balancers nor upstreams
    /// or more than 100,000 of either, if an address of the list service, the zones or the services are missing, if the
    /// services conflict with each other, or if the TTL is out of range.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let config: Self = configuration::load(path)?;
        if let Some((key, cause)) = config.first_invalid() {
            return Err(ConfigError::invalid(path, key, cause));
        }
        if config.balancers > 0 {
            let refused =
                |cause: CatalogError| ConfigError::invalid(path, "services", cause.to_string());
            config.catalog(&default_facts(), 0).map_err(refused)?;
        }
        Ok(config)
    }

    fn first_invalid(&self) -> Option<(&'static str, &'static str)> {
        if self.balancers + self.upstreams == 0 {
            return Some(("balancers", "neither balancers nor upstreams are configured"));
        }
        for (key, count) in [("balancers", self.balancers), ("upstreams", self.upstreams)] {
            if count > MAX_PER_PROCESS {
                return Some((key, "must be at most 100000"));
            }
        }
        if self.balancers > 0 && self.lists.listen.is_empty() {
            return Some(("lists.listen", "required if there are balancers"));
        }
        if self.upstreams > 0 && self.lists.management.is_empty() {
            return Some(("lists.management", "required if there are upstreams"));
        }
        if self.zones.is_empty() {
            return Some(("zones", "at least one zone is required"));
        }
        if self.services.count() == 0 {
            return Some(("services", "at least one service is required"));
        }
        let upstream_of = |number| HollowUpstream {
            number,
            zone: String::new(),
            service: self.services.name(number),
        };
        let names = if let Services::Names(names) = &self.services { names.len() } else { 0 };
        if let Some((_, cause)) = (0..names).find_map(|n| upstream_of(n).member(0).fault()) {
            return Some(("services", cause));
        }
        if !TTL_MS.contains(&self.ttl_ms) {
            return Some(("ttl_ms", "must be between 50 and 3600000"));
        }
        None
    }

    /// TTL of the registration of upstreams.
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }

    /// Upper limit of the random delay before an upstream starts.
    pub fn start_spread(&self) -> Duration {
        Duration::from_millis(self.spread_ms.unwrap_or(self.ttl_ms / 3))
    }

    /// The settings of each service of each balancer, except for the balancer's own number and zone.
    ///
    /// # Errors
    /// [`ConfigError`] if the file `proxy` can't be read or its settings are invalid.
    pub fn facts(&self) -> Result<Facts, ConfigError> {
        let mut facts = match &self.proxy {
            None => default_facts(),
            Some(path) => {
                let text = std::fs::read(path)
                    .map_err(|source| ConfigError::Unreadable { path: path.clone(), source })?;
                let mut reader = serde_json::Deserializer::from_slice(&text);
                let proxy: Proxy = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
                    let key = e.path().to_string();
                    let cause = e.into_inner().to_string();
                    ConfigError::Malformed { path: path.clone(), key, cause }
                })?;
                proxy.settings
            }
        };
        facts.balancers = self.bank.unwrap_or(self.balancers as u32);
        facts.zones = self.zones.clone();
        let path = self.proxy.as_deref().unwrap_or(Path::new("-"));
        match facts.settings().checked() {
            Ok(_) => Ok(facts),
            Err(cause) => Err(ConfigError::invalid(path, "settings", cause.to_string())),
        }
    }

    /// The services of the balancer with this number.
    ///
    /// # Errors
    /// [`CatalogError`] if the services conflict or their settings are invalid.
    pub fn catalog(&self, facts: &Facts, number: usize) -> Result<Catalog, CatalogError> {
        let mut facts = facts.clone();
        facts.position = number as u32;
        facts.zone = (number % self.zones.len()) as u32;
        let single = match &self.services {
            Services::Count(n) => *n == 1,
            Services::Names(names) => names.len() == 1 && names[0].is_empty(),
        };
        if single {
            return Catalog::single(&facts);
        }
        // With several services, tenants are set per service.
        let tenants = std::mem::take(&mut facts.tenants);
        let entry = |i| ServiceEntry {
            name: self.services.name(i),
            settings: Overrides { tenants: tenants.clone(), ..Overrides::default() },
        };
        let entries: Vec<_> = (0..self.services.count()).map(entry).collect();
        Catalog::new(&facts, &entries, &[])
    }
}

/// The settings without a proxy configuration: one class with an aim of 2 s and a deadline of 6 s.
fn default_facts() -> Facts {
    let class = Class {
        name: String::new(),
        aim: 2000.0,
        deadline: 6000.0,
        effect: Effect::Retryable,
        group: Group::All,
        importance: 1.0,
        late_value: 0.0,
        window: 0.0,
        aim_stretch: 0.0,
        streaming: false,
        by_arrival: false,
        zones_allowed: None,
        bound_to: None,
    };
    let policy_limits = PolicyLimits {
        max_attempts: 3,
        second_copies: false,
        cancelling: false,
        probes: false,
        retry_after: false,
        max_retry_after: 0.0,
        connect_timeout: 0.0,
        keepalive: 0.0,
        streams_per_conn: 1,
    };
    let safety = Safety {
        ask_every: 0.0,
        drain_grace: 0.0,
        answer_slack: 0.0,
        cold: 0.0,
        cold_from: 1.0,
        fall_multiple: 1.0,
        tip_after: 0.0,
        drain_close: 0.0,
        turn_gap: 0.0,
    };
    Facts {
        balancers: 1,
        position: 0,
        zone: 0,
        zones: one_zone(),
        machine_types: Vec::new(),
        tick: 1.0,
        registry_mode: RegistryMode::Automatic,
        classes: vec![class],
        tenants: Vec::new(),
        policy_limits,
        safety,
        prices: Prices::default(),
        stats: Stats::default(),
        scoring_mix: ScoringMix { whole: 1.0, ..ScoringMix::default() },
        client_habits: ClientHabits::default(),
        counted_by: CountedBy::Request,
        over_share_worth: 1.0,
    }
}

#[cfg(test)]
mod tests;
