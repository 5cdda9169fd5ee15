//! Configuration file of the list service, in TOML.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::member::Member;
use crate::configuration::{self, ConfigError};

/// Contents of the file of `discovery --config FILE`: addresses, peers, storage and initial members.
#[derive(Debug, Deserialize)]
pub struct DiscoveryConfig {
    /// Name of the process in logs.
    #[serde(default = "name")]
    pub name: String,
    /// Address for clients, `host:port`. Port 0 picks a free port, printed as `listening on ADDRESS`.
    pub listen: SocketAddr,
    /// Address for operators, members, holders of duties and the other instances. Without it the list can't be changed
    /// after the start.
    pub management: Option<SocketAddr>,
    /// Id of this instance among `peers`.
    #[serde(default = "first")]
    pub id: u64,
    /// All instances including this one (3 or 5); empty for a single instance. Must not change during the life of
    /// `state_dir`.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Directory of the log and snapshots. Only a single instance may omit it; its state is then lost when the process
    /// ends.
    pub state_dir: Option<PathBuf>,
    /// Maximum bytes of log between two snapshots; beyond it writes fail and reads continue.
    pub max_log_bytes: Option<u64>,
    /// Bytes of log after which a snapshot is written.
    #[serde(default = "snapshot_bytes")]
    pub snapshot_bytes: u64,
    /// Minimum election timeout in milliseconds: time without a message from a leader. The maximum is twice that.
    #[serde(default = "election_ms")]
    pub election_ms: u64,
    /// Milliseconds between heartbeats on an idle watch; PROTOCOL requires 2000.
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Number of changes stored for watches. Older ones are compacted, and a watch that needs them gets the full list.
    #[serde(default = "history")]
    pub history: usize,
    /// Revision of the empty list before the first member. The default is 0 with a `state_dir`, and the Unix time in
    /// milliseconds without one, so that the revision does not go back after a restart.
    pub start_revision: Option<u64>,
    /// Members of the first list.
    #[serde(default)]
    pub members: Vec<Member>,
}

/// One instance of the list service.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Peer {
    /// Its id, at least 1.
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
    /// Reads and validates the file.
    ///
    /// # Errors
    /// Those of [`configuration::load`], and [`ConfigError::Invalid`] for numbers below their minimum, duplicate or
    /// invalid members, and peers inconsistent with `id`, `management` and `state_dir`.
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
