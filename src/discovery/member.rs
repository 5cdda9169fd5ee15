//! One entry of the list and one message of it, in the form PROTOCOL ("Discovery") gives.

use serde::{Deserialize, Serialize};

/// The phase of an upstream. `Deleted` appears in changes only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// Takes requests.
    Serving,
    /// Completes what it has, wants nothing new.
    Draining,
    /// Gone; told once in a change, then forgotten.
    Deleted,
}

/// One upstream as the list tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The same at every balancer.
    pub id: String,
    /// `host:port` where it listens.
    pub host_port: String,
    /// Zone.
    #[serde(default)]
    pub locality: String,
    /// Machine type.
    #[serde(default)]
    pub flavor: String,
    /// Cell, for classes grouped by cell.
    #[serde(default)]
    pub cell: u32,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Relative capacity, 1.0 for an ordinary machine.
    #[serde(default = "one")]
    pub size: f64,
    /// Unix time in milliseconds of its last start; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// One object of the list: the whole list (`complete`) or the entries changed since the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The revision the list has with these entries applied.
    pub revision: u64,
    /// Whether `members` is the whole list.
    pub complete: bool,
    /// Entries, each at most once.
    pub members: Vec<Member>,
}

impl Message {
    /// The object as one line of a watch, with its ending newline.
    pub fn line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}
