//! The TOML file of a process of hollow balancers and upstreams.

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

/// Most balancers, and most upstreams, of one process.
const MAX_PER_PROCESS: usize = 100_000;

/// `hollow --config FILE`: how many of which, and where the list is.
#[derive(Debug, Deserialize)]
pub struct HollowConfig {
    /// Where operators call, `host:port`; port 0 takes a free one, told as `listening on ADDRESS`.
    pub management: SocketAddr,
    /// Everything that is drawn at random comes from it and the number of who draws.
    #[serde(default)]
    pub seed: u64,
    /// Hollow balancers in this process.
    #[serde(default)]
    pub balancers: usize,
    /// Hollow upstreams in this process.
    #[serde(default)]
    pub upstreams: usize,
    /// The number of the first balancer and of the first upstream; processes of one fleet each have their own range.
    #[serde(default)]
    pub first: usize,
    /// Balancers in the whole bank, as the modules are told; as many as here where left out.
    pub bank: Option<u32>,
    /// The list service.
    pub lists: Lists,
    /// Zones that balancers and upstreams are spread over by number.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// Services that the upstreams are spread over by number and that the balancers serve: names, or how many. Of one
    /// that is not named, and of one whose name is empty, the balancers take every upstream, whatever service it names.
    #[serde(default)]
    pub services: Services,
    /// TTL of the upstreams' registration, in milliseconds; renewed at a third of it.
    #[serde(default = "ttl_ms")]
    pub ttl_ms: u64,
    /// Upstreams start at random moments within this many milliseconds; a third of the TTL where left out, so that
    /// renewals are spread over time.
    pub spread_ms: Option<u64>,
    /// Where each balancer keeps its last list, in a folder of its own; without it nothing is kept.
    pub state_dir: Option<PathBuf>,
    /// The configuration file of a proxy, whose `settings` each service is given; without it one class with an aim of
    /// 2 s and a deadline of 6 s.
    pub proxy: Option<PathBuf>,
}

/// The instances of the list service.
#[derive(Debug, Deserialize)]
pub struct Lists {
    /// Where the list is read and watched: each balancer begins with another of them, by its number.
    #[serde(default)]
    pub listen: Vec<SocketAddr>,
    /// Where upstreams register.
    #[serde(default)]
    pub management: Vec<SocketAddr>,
}

/// Services by name, or `service-0` to as many as there are.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub enum Services {
    /// How many.
    Count(usize),
    /// Their names.
    Names(Vec<String>),
}

impl Default for Services {
    fn default() -> Self {
        Self::Count(1)
    }
}

impl Services {
    /// How many there are.
    pub fn count(&self) -> usize {
        match self {
            Self::Count(n) => *n,
            Self::Names(names) => names.len(),
        }
    }

    /// The name of the service with this number, counted round.
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

/// The part of a proxy's configuration file that is read here.
#[derive(Deserialize)]
struct Proxy {
    settings: Facts,
}

impl HollowConfig {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// What [`configuration::load`] refuses, and [`ConfigError::Invalid`] for a process of nobody or of more than
    /// 100,000, one without a list service to talk to, no zones or services, services that no balancer can serve side
    /// by side, and a TTL out of its range.
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
            return Some(("balancers", "neither balancers nor upstreams"));
        }
        for (key, count) in [("balancers", self.balancers), ("upstreams", self.upstreams)] {
            if count > MAX_PER_PROCESS {
                return Some((key, "100000 at most"));
            }
        }
        if self.balancers > 0 && self.lists.listen.is_empty() {
            return Some(("lists.listen", "balancers have to read the list somewhere"));
        }
        if self.upstreams > 0 && self.lists.management.is_empty() {
            return Some(("lists.management", "upstreams have to register somewhere"));
        }
        if self.zones.is_empty() {
            return Some(("zones", "at least one"));
        }
        if self.services.count() == 0 {
            return Some(("services", "at least one"));
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
            return Some(("ttl_ms", "50 to 3600000"));
        }
        None
    }

    /// TTL of the upstreams.
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }

    /// The time that starts of upstreams are spread over.
    pub fn start_spread(&self) -> Duration {
        Duration::from_millis(self.spread_ms.unwrap_or(self.ttl_ms / 3))
    }

    /// What each service of each balancer is told, but for the balancer's own number and zone.
    ///
    /// # Errors
    /// [`ConfigError`] where `proxy` can't be read, or has no settings that a balancer takes.
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

    /// The services of the balancer of this number.
    ///
    /// # Errors
    /// [`CatalogError`].
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
        // Where there are services, each states its own tenants.
        let tenants = std::mem::take(&mut facts.tenants);
        let entry = |i| ServiceEntry {
            name: self.services.name(i),
            settings: Overrides { tenants: tenants.clone(), ..Overrides::default() },
        };
        let entries: Vec<_> = (0..self.services.count()).map(entry).collect();
        Catalog::new(&facts, &entries, &[])
    }
}

/// What a balancer is told where nothing is stated: one class with an aim of 2 s and a deadline of 6 s.
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
