//! Entries and messages of the list in the format of PROTOCOL ("Discovery"), as used by the list service, its clients
//! and the storage on disk.

use std::fmt;

use rustc_hash::FxHashSet;
use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeStruct;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Phase of an upstream. `Deleted` appears only in changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// Accepts new requests.
    Serving,
    /// Completes its requests and accepts no new ones.
    Draining,
    /// Removed; sent once in a change and not stored as a member.
    Deleted,
    /// A phase unknown to this version, not assumed to accept requests. Read, but never written by this program.
    #[serde(other)]
    Unknown,
}

/// One upstream in the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    /// Identifier; the same at every balancer.
    pub id: String,
    /// `host:port` where it listens. May differ between balancers and change over time; empty for some deleted
    /// entries.
    #[serde(default)]
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
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// Relative capacity, 1.0 for an ordinary machine.
    #[serde(default = "one")]
    pub size: f64,
    /// Unix time of its last start in milliseconds; 0 means long ago.
    #[serde(default)]
    pub up_since_ms: f64,
    /// Service that it belongs to; empty, and omitted from JSON, in a site with a single service.
    #[serde(default)]
    pub service: String,
}

fn one() -> f64 {
    1.0
}

impl Serialize for Member {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let (json, in_service) = (to.is_human_readable(), !self.service.is_empty());
        // JSON omits an empty service, as in PROTOCOL. Binary formats always have every field.
        let with_service = !json || in_service;
        let mut entry = to.serialize_struct("Member", 8 + usize::from(with_service))?;
        entry.serialize_field("id", &self.id)?;
        entry.serialize_field("host_port", &self.host_port)?;
        entry.serialize_field("locality", &self.locality)?;
        entry.serialize_field("flavor", &self.flavor)?;
        entry.serialize_field("cell", &self.cell)?;
        entry.serialize_field("phase", &self.phase)?;
        entry.serialize_field("size", &self.size)?;
        match json {
            // PROTOCOL has an integer here.
            true => entry.serialize_field("up_since_ms", &(self.up_since_ms as u64))?,
            false => entry.serialize_field("up_since_ms", &self.up_since_ms)?,
        }
        if with_service {
            entry.serialize_field("service", &self.service)?;
        }
        entry.end()
    }
}

impl Member {
    /// Placeholder for an entry of which only the id could be read.
    fn unreadable(id: String) -> Self {
        let (host_port, locality, flavor, service) = Default::default();
        let (phase, size) = (Phase::Unknown, one());
        Self { id, host_port, locality, flavor, cell: 0, phase, size, up_since_ms: 0.0, service }
    }

    /// The key and constraint of the first invalid field, if any: an empty or overlong id, an invalid address, phase,
    /// size or start time, or an invalid service name.
    pub fn fault(&self) -> Option<(&'static str, &'static str)> {
        if self.id.is_empty() || self.id.len() > MAX_ID_BYTES {
            return Some(("id", "1 to 256 bytes"));
        }
        if self.phase == Phase::Deleted || self.phase == Phase::Unknown {
            return Some(("phase", "SERVING or DRAINING"));
        }
        if self.host_port.parse::<std::net::SocketAddr>().is_err() {
            return Some(("host_port", "an address and port"));
        }
        if let Some(cause) = service_fault(&self.service) {
            return Some(("service", cause));
        }
        let sound = self.size.is_finite() && self.size > 0.0 && self.up_since_ms >= 0.0;
        (!sound).then_some(("size", "above 0, and up_since_ms not below"))
    }
}

/// Maximum length of an id, in bytes.
pub const MAX_ID_BYTES: usize = 256;
/// Maximum length of a service name, in bytes.
pub const MAX_SERVICE_BYTES: usize = 256;

/// The constraint that a service name violates, if any.
pub fn service_fault(name: &str) -> Option<&'static str> {
    let sound =
        name.len() <= MAX_SERVICE_BYTES && !name.contains(|c: char| c == ',' || c.is_control());
    (!sound).then_some("at most 256 bytes, no comma, no control character")
}

/// One object of a watch: the full list (`complete`) or the entries changed since the previous object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Revision of the list with these entries applied.
    #[serde(default)]
    pub revision: u64,
    /// Whether `members` is the full list.
    #[serde(default)]
    pub complete: bool,
    /// Entries, at most one per id.
    #[serde(default, deserialize_with = "readable")]
    pub members: Vec<Member>,
}

/// Tolerates unreadable entries, so that one of them does not prevent the update of all others. Binary data, which only this
/// program writes, has no such entries.
fn readable<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Member>, D::Error> {
    if from.is_human_readable() {
        from.deserialize_seq(ReadableMembers)
    } else {
        Vec::deserialize(from)
    }
}

/// Reads entries one by one: all of a long list as JSON values would take several times its memory.
struct ReadableMembers;

impl<'de> Visitor<'de> for ReadableMembers {
    type Value = Vec<Member>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a sequence")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<Member>, A::Error> {
        let mut members = Vec::new();
        while let Some(entry) = entries.next_element()? {
            members.extend(read_entry(entry));
        }
        Ok(members)
    }
}

/// Reads an entry. An unreadable one with an id becomes a placeholder of unknown phase, as its upstream can no longer be
/// assumed to accept requests.
fn read_entry(entry: serde_json::Value) -> Option<Member> {
    let id = entry.get("id").and_then(|id| id.as_str()).map(str::to_owned);
    match serde_json::from_value(entry) {
        Ok(member) => Some(member),
        Err(cause) => {
            tracing::warn!(%cause, id, "unreadable entry in the list");
            id.map(Member::unreadable)
        }
    }
}

/// Why an object is not a valid list message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// Not JSON, or fields of the wrong type.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// Two entries with the same id; nothing says which one is valid.
    #[error("duplicate entry for id {0:?}")]
    DuplicateId(String),
}

impl Message {
    /// Parses one object of a watch.
    ///
    /// # Errors
    /// [`MessageError`]; no part of the object may be used.
    pub fn read(object: &[u8]) -> Result<Self, MessageError> {
        let read: Self = serde_json::from_slice(object)?;
        let mut ids = FxHashSet::default();
        match read.members.iter().find(|m| !ids.insert(m.id.as_str())) {
            Some(duplicate) => Err(MessageError::DuplicateId(duplicate.id.clone())),
            None => Ok(read),
        }
    }

    /// Serializes the message as one line of a watch, including the newline.
    pub fn line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Applies a message to this full list: a complete one replaces it, any other one changes single entries.
    pub fn update(&mut self, update: &Message) {
        if update.complete {
            *self = update.clone();
            return;
        }
        self.revision = update.revision;
        for entry in &update.members {
            let at = self.members.iter().position(|m| m.id == entry.id);
            match (at, entry.phase) {
                (Some(at), Phase::Deleted) => drop(self.members.swap_remove(at)),
                (None, Phase::Deleted) => {}
                (Some(at), _) => self.members[at] = entry.clone(),
                (None, _) => self.members.push(entry.clone()),
            }
        }
    }
}

#[cfg(test)]
mod tests;
