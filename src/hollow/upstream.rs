//! Who the hollow upstreams are, and whom a call means. Pure.

use serde::Deserialize;

use super::config::HollowConfig;
use crate::discovery::member::{Member, Phase};

/// Upstreams to a cell.
const UPSTREAMS_PER_CELL: usize = 8;

/// One hollow upstream as it is before it ever registered.
#[derive(Clone, Debug, PartialEq)]
pub struct HollowUpstream {
    /// Its number in the fleet.
    pub number: usize,
    /// Its zone.
    pub zone: String,
    /// Its service.
    pub service: String,
}

impl HollowUpstream {
    /// Those of this process.
    pub fn all(config: &HollowConfig) -> Vec<Self> {
        (config.first..config.first + config.upstreams)
            .map(|number| Self {
                number,
                zone: config.zones[number % config.zones.len()].clone(),
                // All services have upstreams in all zones, where there are enough.
                service: config.services.name(number / config.zones.len()),
            })
            .collect()
    }

    /// Its id in the list.
    pub fn id(&self) -> String {
        format!("u-{:05}", self.number)
    }

    /// Its entry after a start at this Unix time, in milliseconds. Nobody listens at its address.
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

/// What is to become of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamFault {
    /// They fall silent: nothing is renewed any more.
    Die,
    /// They say that they drain, and go on renewing.
    Drain,
    /// They leave the list.
    Leave,
    /// They start anew.
    Return,
}

/// What is to become of balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BalancerFault {
    /// They end, with all connections.
    Drop,
    /// They start anew, with the list that they kept, if they keep one.
    Return,
}

/// Whom a call means: all that fit everything it names, the first `count` of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order<Fault> {
    /// What is to be done.
    #[serde(rename = "do")]
    pub fault: Fault,
    /// In this zone only.
    pub zone: Option<String>,
    /// Of this service only (upstreams).
    pub service: Option<String>,
    /// So many at most.
    pub count: Option<usize>,
    /// Spread over this many milliseconds, at random; at once where left out.
    #[serde(default)]
    pub spread_ms: u64,
}

impl<Fault> Order<Fault> {
    /// The indices of those that are meant, of a zone and a service each.
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
