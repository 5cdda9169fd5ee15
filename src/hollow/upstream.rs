//! Identities of the simulated upstreams, and the selection of the targets of a command. Does no I/O.

use serde::Deserialize;

use super::config::HollowConfig;
use crate::discovery::member::{Member, Phase};

const UPSTREAMS_PER_CELL: usize = 8;

/// The fixed properties of one simulated upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct HollowUpstream {
    /// Number in the fleet; id, address, zone and service are derived from it.
    pub number: usize,
    /// Name of its zone.
    pub zone: String,
    /// Name of its service.
    pub service: String,
}

impl HollowUpstream {
    /// The upstreams of this process.
    pub fn all(config: &HollowConfig) -> Vec<Self> {
        (config.first..config.first + config.upstreams)
            .map(|number| Self {
                number,
                zone: config.zones[number % config.zones.len()].clone(),
                // Divided by the number of zones, so that every service has upstreams in every zone if there are
                // enough upstreams.
                service: config.services.name(number / config.zones.len()),
            })
            .collect()
    }

    /// The id under which it registers.
    pub fn id(&self) -> String {
        format!("u-{:05}", self.number)
    }

    /// The entry to register if the upstream started at this Unix time, in milliseconds. Nothing listens at its
    /// address.
    pub fn member(&self, up_since_ms: u64) -> Member {
        let n = self.number;
        Member {
            id: self.id(),
            host_port: format!("10.{}.{}.{}:8081", n >> 16 & 0xff, n >> 8 & 0xff, n & 0xff),
            locality: self.zone.clone(),
            flavor: String::new(),
            cell: (n / UPSTREAMS_PER_CELL) as u32,
            phase: Phase::Serving,
            size: 1.0,
            up_since_ms: up_since_ms as f64,
            service: self.service.clone(),
        }
    }
}

/// Faults and state changes of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamFault {
    /// Crash: stop renewing without leaving the list.
    Die,
    /// Set the phase to draining and continue to renew.
    Drain,
    /// Stop renewing and leave the list.
    Leave,
    /// Start again.
    Return,
}

/// Faults and state changes of balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BalancerFault {
    /// Stop and close all connections.
    Drop,
    /// Start again, with the persisted list if there is one.
    Return,
}

/// A command of an operator. It applies to the first `count` upstreams or balancers that match all fields given.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order<Fault> {
    /// The fault to inject.
    #[serde(rename = "do")]
    pub fault: Fault,
    /// Only in this zone.
    pub zone: Option<String>,
    /// Only of this service; for upstreams.
    pub service: Option<String>,
    /// Maximum number of targets; no limit if omitted.
    pub count: Option<usize>,
    /// Each target is changed after a random delay below this many milliseconds; at once if omitted.
    #[serde(default)]
    pub spread_ms: u64,
}

impl<Fault> Order<Fault> {
    /// Returns the indices of the targets in `all`, which yields the zone and the service of each candidate.
    pub fn select_indices<'a>(&self, all: impl Iterator<Item = (&'a str, &'a str)>) -> Vec<usize> {
        let matches =
            |wanted: &Option<String>, has: &str| wanted.as_deref().is_none_or(|w| w == has);
        all.enumerate()
            .filter(|(_, (zone, service))| {
                matches(&self.zone, zone) && matches(&self.service, service)
            })
            .map(|(i, _)| i)
            .take(self.count.unwrap_or(usize::MAX))
            .collect()
    }
}

#[cfg(test)]
mod tests;
