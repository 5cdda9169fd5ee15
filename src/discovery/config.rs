//! The list service's TOML file.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::member::{Member, Phase};
use crate::configuration::{self, ConfigError};

/// `discovery --config FILE`: where it listens and what it starts with.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryConfig {
    /// Name in logs.
    #[serde(default = "name")]
    pub name: String,
    /// Where it listens, `host:port`; port 0 takes a free one, told as `listening on ADDRESS`.
    pub listen: SocketAddr,
    /// Milliseconds between empty lines on a quiet watch; PROTOCOL says 2000.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Changes kept for watches; older ones are compacted away and such a watch gets the whole list.
    #[serde(default = "history")]
    pub history: usize,
    /// The revision of the empty list before the first member.
    #[serde(default)]
    pub start_revision: u64,
    /// The members it starts with.
    #[serde(default)]
    pub members: Vec<Member>,
}

fn name() -> String {
    "discovery".into()
}
fn heartbeat_ms() -> u64 {
    2000
}
fn history() -> usize {
    1024
}

impl DiscoveryConfig {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// What [`configuration::load`] refuses, and [`ConfigError::Invalid`] for a heartbeat of 0, a history of
    /// 0, a member listed twice or one listed as `DELETED`.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let config: Self = configuration::load(path)?;
        if config.heartbeat_ms == 0 {
            return Err(ConfigError::invalid(path, "heartbeat_ms", "must be at least 1"));
        }
        if config.history == 0 {
            return Err(ConfigError::invalid(path, "history", "must be at least 1"));
        }
        let mut seen = std::collections::HashSet::new();
        for (i, member) in config.members.iter().enumerate() {
            if !seen.insert(&member.id) {
                return Err(ConfigError::invalid(path, format!("members[{i}].id"), "listed twice"));
            }
            if member.phase == Phase::Deleted {
                let cause = "a list starts with members that are there";
                return Err(ConfigError::invalid(path, format!("members[{i}].phase"), cause));
            }
        }
        Ok(config)
    }
}
