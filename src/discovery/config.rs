//! The list service's TOML file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::member::Member;
use crate::configuration::{self, ConfigError};

/// `discovery --config FILE`: where it listens, who its peers are, and what it starts with.
#[derive(Debug, Deserialize)]
pub struct DiscoveryConfig {
    /// Name in logs.
    #[serde(default = "name")]
    pub name: String,
    /// Where clients read and watch, `host:port`; port 0 takes a free one, told as `listening on ADDRESS`.
    pub listen: SocketAddr,
    /// Where operators, members, holders of duties and the other instances call; without it nothing can be
    /// changed after the start.
    pub management: Option<SocketAddr>,
    /// The number of this instance among `peers`.
    #[serde(default = "first")]
    pub id: u64,
    /// All instances, this one too (3 or 5); empty for one that is alone. Fixed for the life of `state_dir`.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Where it keeps its log and snapshots; without it nothing outlives the process, which only an instance
    /// that is alone may choose.
    pub state_dir: Option<PathBuf>,
    /// The most bytes of log between two snapshots; beyond it writes fail and reads go on.
    pub max_log_bytes: Option<u64>,
    /// Bytes of log after which a snapshot is written.
    #[serde(default = "snapshot_bytes")]
    pub snapshot_bytes: u64,
    /// Milliseconds without word of a leader after which an election begins, at least (at most twice that).
    #[serde(default = "election_ms")]
    pub election_ms: u64,
    /// Milliseconds between empty lines on a quiet watch; PROTOCOL says 2000.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Changes kept for watches; older ones are compacted away and such a watch gets the whole list.
    #[serde(default = "history")]
    pub history: usize,
    /// The revision of the empty list before the first member. Left out, it is 0 with a `state_dir` and the
    /// Unix time in milliseconds without: a list that starts anew must not go back.
    pub start_revision: Option<u64>,
    /// The members that the very first list has.
    #[serde(default)]
    pub members: Vec<Member>,
}

/// One instance of the list service.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Peer {
    /// Its number, from 1.
    pub id: u64,
    /// Its `management` address.
    pub management: SocketAddr,
}

fn first() -> u64 {
    1
}
fn snapshot_bytes() -> u64 {
    8 << 20
}
fn election_ms() -> u64 {
    500
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
    /// What [`configuration::load`] refuses, and [`ConfigError::Invalid`] for figures of 0, a member listed
    /// twice or one that can't be, and peers that don't fit `id`, `management` and `state_dir`.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let config: Self = configuration::load(path)?;
        let invalid = |key: String, cause: &str| Err(ConfigError::invalid(path, key, cause));
        let positive = [
            ("heartbeat_ms", config.heartbeat_ms),
            ("history", config.history as u64),
            ("snapshot_bytes", config.snapshot_bytes),
        ];
        if let Some((key, _)) = positive.iter().find(|(_, value)| *value == 0) {
            return invalid((*key).to_owned(), "must be at least 1");
        }
        if config.election_ms < 100 {
            return invalid("election_ms".into(), "must be at least 100");
        }
        let mut seen = std::collections::HashSet::new();
        for (i, member) in config.members.iter().enumerate() {
            if !seen.insert(&member.id) {
                return invalid(format!("members[{i}].id"), "listed twice");
            }
            if let Some((key, cause)) = member.fault() {
                return invalid(format!("members[{i}].{key}"), cause);
            }
        }
        if config.peers.is_empty() {
            return Ok(config);
        }
        let mut ids = std::collections::HashSet::new();
        for (i, peer) in config.peers.iter().enumerate() {
            if peer.id == 0 || !ids.insert(peer.id) {
                return invalid(format!("peers[{i}].id"), "each its own, from 1");
            }
        }
        let own = config.peers.iter().find(|p| p.id == config.id);
        let Some(own) = own else { return invalid("id".into(), "is not among the peers") };
        if config.management != Some(own.management) {
            return invalid("management".into(), "must be this instance's address among the peers");
        }
        if config.state_dir.is_none() {
            return invalid("state_dir".into(), "an instance with peers must keep its votes");
        }
        Ok(config)
    }
}
