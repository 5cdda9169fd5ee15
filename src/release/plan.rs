//! The plan of a release, a TOML file; README documents its keys.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;

use super::gates::Gates;
use crate::configuration::{self, ConfigError};
use crate::discovery::member::Member;

/// The file named by `release start --config FILE`.
#[derive(Debug, Deserialize)]
pub struct Plan {
    /// Name of the release; its duty is `release/NAME`.
    pub name: String,
    /// Address where the controller accepts `status`, `halt`, `resume` and `rollback`.
    pub management: SocketAddr,
    /// Directory of the release's stored state.
    pub state_dir: PathBuf,
    /// Management addresses of the list service's instances; at least one is required to release upstreams.
    #[serde(default)]
    pub services: Vec<SocketAddr>,
    /// Management addresses of the proxies whose metrics the gates evaluate; a release of balancers uses those of
    /// the balancers instead.
    #[serde(default)]
    pub proxies: Vec<SocketAddr>,
    /// Cumulative percentage of targets moved by the end of each stage: rising, the last 100.
    pub stages: Vec<u32>,
    /// Minimum time each stage is observed before the next begins, in milliseconds.
    #[serde(default = "bake_ms")]
    pub bake_ms: u64,
    /// Interval between reads of the metrics, in milliseconds.
    #[serde(default = "poll_ms")]
    pub poll_ms: u64,
    /// TTL of the controller's duty, in milliseconds.
    #[serde(default = "ttl_ms")]
    pub ttl_ms: u64,
    /// The health gates of every stage.
    #[serde(default)]
    pub gates: Gates,
    /// What happens when a gate or a move fails.
    #[serde(default)]
    pub on_failure: OnFailure,
    /// The upstreams to replace, in order.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
    /// The balancers to replace, in order; a plan lists either upstreams or balancers.
    #[serde(default)]
    pub balancers: Vec<Balancer>,
}

/// What happens when a gate or a move fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnFailure {
    /// Rolls back all targets moved so far.
    #[default]
    Rollback,
    /// Halts and waits for an operator command.
    Halt,
}

/// The replacement of one upstream by another.
#[derive(Debug, Deserialize)]
pub struct Upstream {
    /// Id of the member that is drained.
    pub old: String,
    /// The member that serves in its place.
    pub new: Member,
}

/// The replacement of one balancer by another process at the same client addresses.
#[derive(Clone, Debug, Deserialize)]
pub struct Balancer {
    /// Name of the balancer (`LB_NAME`).
    pub name: String,
    /// The running process.
    pub old: Version,
    /// The process that replaces it.
    pub new: Version,
}

/// How a balancer is started.
#[derive(Clone, Debug, Deserialize)]
pub struct Version {
    /// Path of the executable.
    pub program: PathBuf,
    /// Its configuration file (`LB_CONFIG`).
    pub config: PathBuf,
    /// Its management address; must differ between the old and the new process, which run side by side.
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
    /// Reads and validates the file.
    ///
    /// # Errors
    /// Those of [`configuration::load`], and [`ConfigError::Invalid`] for a value out of range, stages that are empty,
    /// do not rise or do not end at 100, targets that are missing, of both kinds or listed twice, and addresses that
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
            return fault("stages", "must be rising percentages above 0 that end at 100");
        }
        if self.name.is_empty() || self.name.len() > 200 {
            return fault("name", "must be 1 to 200 bytes long");
        }
        if self.poll_ms == 0 {
            return fault("poll_ms", "must be at least 1");
        }
        if let Some((key, cause)) = self.gates.fault() {
            return Some((format!("gates.{key}"), cause));
        }
        match (self.upstreams.is_empty(), self.balancers.is_empty()) {
            (true, true) => return fault("upstreams", "no upstreams or balancers are listed"),
            (false, false) => {
                return fault("balancers", "a plan lists either upstreams or balancers, not both");
            }
            _ => {}
        }
        if !self.upstreams.is_empty() && self.services.is_empty() {
            return fault("services", "required to release upstreams");
        }
        if !self.upstreams.is_empty() && self.proxies.is_empty() {
            return fault(
                "proxies",
                "required to release upstreams: the gates evaluate the proxies' metrics",
            );
        }
        let mut ids = std::collections::HashSet::new();
        for (i, upstream) in self.upstreams.iter().enumerate() {
            if !ids.insert(&upstream.old) || !ids.insert(&upstream.new.id) {
                return Some((format!("upstreams[{i}]"), "duplicate id"));
            }
            if let Some((key, cause)) = upstream.new.fault() {
                return Some((format!("upstreams[{i}].new.{key}"), cause));
            }
        }
        for (i, balancer) in self.balancers.iter().enumerate() {
            if balancer.old.management == balancer.new.management {
                let cause = "must differ from old.management: both processes run side by side";
                return Some((format!("balancers[{i}].new.management"), cause));
            }
        }
        None
    }

    /// Number of targets.
    pub fn target_count(&self) -> usize {
        self.upstreams.len().max(self.balancers.len())
    }

    /// The targets that each stage adds, as ranges of indices in plan order. Stage `i` brings the total to `stages[i]`
    /// percent, rounded up, and adds at least one target while any are left.
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

    /// Minimum bake time of a stage.
    pub fn bake(&self) -> Duration {
        Duration::from_millis(self.bake_ms)
    }
}

#[cfg(test)]
mod tests;
