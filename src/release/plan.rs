//! The plan of a release: a TOML file, documented in README.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use super::gates::Gates;
use crate::configuration::{self, ConfigError};
use crate::discovery::member::Member;

/// `release start --config FILE`.
#[derive(Debug, Deserialize)]
pub struct Plan {
    /// Its name, also that of its duty, `release/NAME`.
    pub name: String,
    /// Where the controller takes `status`, `halt`, `resume` and `rollback`.
    pub management: SocketAddr,
    /// Where the release's state is kept.
    pub state_dir: PathBuf,
    /// Management addresses of the list service's instances; for upstreams, there must be one.
    #[serde(default)]
    pub services: Vec<SocketAddr>,
    /// Management addresses of the proxies whose figures are the gates'; for balancers, their own are added.
    #[serde(default)]
    pub proxies: Vec<SocketAddr>,
    /// Share of the targets done by the end of each stage, in percent, rising, the last 100.
    pub stages: Vec<u32>,
    /// Milliseconds each stage is watched before the next begins, at least.
    #[serde(default = "bake_ms")]
    pub bake_ms: u64,
    /// Milliseconds between two looks at the figures.
    #[serde(default = "poll_ms")]
    pub poll_ms: u64,
    /// TTL of the controller's duty, in milliseconds.
    #[serde(default = "ttl_ms")]
    pub ttl_ms: u64,
    /// What a stage must keep to.
    #[serde(default)]
    pub gates: Gates,
    /// What a failed gate does.
    #[serde(default)]
    pub on_failure: OnFailure,
    /// The upstreams to replace, in the order they are taken.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
    /// Or the balancers.
    #[serde(default)]
    pub balancers: Vec<Balancer>,
}

/// What a failed gate does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnFailure {
    /// Halts and goes back.
    #[default]
    Rollback,
    /// Halts and waits for a word.
    Halt,
}

/// One upstream by another.
#[derive(Debug, Deserialize)]
pub struct Upstream {
    /// The id of the member that drains.
    pub old: String,
    /// The member that serves in its place.
    pub new: Member,
}

/// One balancer by another process at the same addresses for clients.
#[derive(Clone, Debug, Deserialize)]
pub struct Balancer {
    /// Its name (`LB_NAME`).
    pub name: String,
    /// The process that runs.
    pub old: Version,
    /// The one that takes over.
    pub new: Version,
}

/// How a balancer is started.
#[derive(Clone, Debug, Deserialize)]
pub struct Version {
    /// The program.
    pub program: PathBuf,
    /// Its `LB_CONFIG`.
    pub config: PathBuf,
    /// Its management address, not that of the process that it replaces.
    pub management: SocketAddr,
}

fn bake_ms() -> u64 {
    30_000
}
fn poll_ms() -> u64 {
    500
}
fn ttl_ms() -> u64 {
    3_000
}

impl Plan {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// What [`configuration::load`] refuses, and [`ConfigError::Invalid`] for stages that are empty, do not
    /// rise or do not end at 100, targets that are none or of both kinds or listed twice, and addresses that
    /// are missing or shared.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let plan: Self = configuration::load(path)?;
        match plan.fault() {
            Some((key, cause)) => Err(ConfigError::invalid(path, key, cause)),
            None => Ok(plan),
        }
    }

    fn fault(&self) -> Option<(String, &'static str)> {
        let fault = |key: &str, cause| Some((key.to_owned(), cause));
        let rising = self.stages.windows(2).all(|w| w[0] < w[1]);
        if self.stages.last() != Some(&100) || !rising || self.stages.first() == Some(&0) {
            return fault("stages", "rising percentages above 0 that end at 100");
        }
        if self.name.is_empty() || self.name.len() > 200 {
            return fault("name", "1 to 200 bytes");
        }
        if self.poll_ms == 0 {
            return fault("poll_ms", "must be at least 1");
        }
        if let Some((key, cause)) = self.gates.fault() {
            return Some((format!("gates.{key}"), cause));
        }
        match (self.upstreams.is_empty(), self.balancers.is_empty()) {
            (true, true) => return fault("upstreams", "there is nothing to release"),
            (false, false) => {
                return fault("balancers", "one release is of upstreams or of balancers");
            }
            _ => {}
        }
        if !self.upstreams.is_empty() && self.services.is_empty() {
            return fault("services", "upstreams are released through the list service");
        }
        if !self.upstreams.is_empty() && self.proxies.is_empty() {
            return fault("proxies", "without their figures no gate can be judged");
        }
        let mut ids = std::collections::HashSet::new();
        for (i, upstream) in self.upstreams.iter().enumerate() {
            if !ids.insert(&upstream.old) || !ids.insert(&upstream.new.id) {
                return Some((format!("upstreams[{i}]"), "an id that stands twice"));
            }
            if let Some((key, cause)) = upstream.new.fault() {
                return Some((format!("upstreams[{i}].new.{key}"), cause));
            }
        }
        for (i, balancer) in self.balancers.iter().enumerate() {
            if balancer.old.management == balancer.new.management {
                let cause = "old and new run side by side and need an address each";
                return Some((format!("balancers[{i}].new.management"), cause));
            }
        }
        None
    }

    /// How many targets there are.
    pub fn target_count(&self) -> usize {
        self.upstreams.len().max(self.balancers.len())
    }

    /// The targets each stage adds, as ranges of their order: stage `i` brings the total to `stages[i]`
    /// percent, rounded up so that no stage is empty while targets are left.
    pub fn stage_targets(&self) -> Vec<std::ops::Range<usize>> {
        let total = self.target_count();
        let mut start = 0;
        let mut ranges = Vec::with_capacity(self.stages.len());
        for &share in &self.stages {
            let end = (total * share as usize).div_ceil(100).max((start + 1).min(total));
            ranges.push(start..end);
            start = end;
        }
        ranges
    }

    /// How long a stage bakes, at least.
    pub fn bake(&self) -> Duration {
        Duration::from_millis(self.bake_ms)
    }
}

#[cfg(test)]
mod tests;
