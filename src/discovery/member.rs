//! One entry of the list and one message of it, in the form PROTOCOL ("Discovery") gives: the one type of the
//! list service, of its clients, and of what is kept on disk.

use rustc_hash::FxHashSet;
use serde::ser::SerializeStruct;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

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
    /// One that this build does not know: nothing says that it takes requests. Read, never written by us.
    #[serde(other)]
    Unknown,
}

/// One upstream as the list tells it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    /// The same at every balancer.
    pub id: String,
    /// `host:port` where it listens. May differ between balancers and change over time; what is deleted may
    /// have none.
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
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Relative capacity, 1.0 for an ordinary machine.
    #[serde(default = "one")]
    pub size: f64,
    /// Unix time in milliseconds of its last start; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: f64,
    /// The service that it is an upstream of; empty where there is but one, and then left out of JSON.
    #[serde(default)]
    pub service: String,
}

fn one() -> f64 {
    1.0
}

impl Serialize for Member {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let (json, in_service) = (to.is_human_readable(), !self.service.is_empty());
        // Without a service it is as PROTOCOL shows it. A form that is not human-readable has all of it always.
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
            // PROTOCOL writes a whole number; readers of the list get one.
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
    /// Stands for an entry of this id that can't be read otherwise.
    fn unreadable(id: String) -> Self {
        let (host_port, locality, flavor, service) = Default::default();
        let (phase, size) = (Phase::Unknown, one());
        Self { id, host_port, locality, flavor, cell: 0, phase, size, up_since_ms: 0.0, service }
    }

    /// What keeps this entry out of the list, by its key: an empty or overlong id, an address that is none,
    /// a phase or size that can't be, a service that can't be named.
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

/// The longest id, in bytes.
pub const MAX_ID_BYTES: usize = 256;
/// The longest name of a service, in bytes.
pub const MAX_SERVICE_BYTES: usize = 256;

/// Why a service can't have this name, if it can't.
pub fn service_fault(name: &str) -> Option<&'static str> {
    let sound =
        name.len() <= MAX_SERVICE_BYTES && !name.contains(|c: char| c == ',' || c.is_control());
    (!sound).then_some("at most 256 bytes, no comma, no control character")
}

/// One object of the list: the whole list (`complete`) or the entries changed since the one before.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The revision the list has with these entries applied.
    #[serde(default)]
    pub revision: u64,
    /// Whether `members` is the whole list.
    #[serde(default)]
    pub complete: bool,
    /// Entries, each at most once.
    #[serde(default, deserialize_with = "readable")]
    pub members: Vec<Member>,
}

/// Guards against one entry that can't be read: it must not cost the news of all others, and nothing says any more
/// that what it names takes requests. A form that is not human-readable (our own on disk) has no such entries.
fn readable<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Member>, D::Error> {
    if !from.is_human_readable() {
        return Vec::deserialize(from);
    }
    let all = Vec::<serde_json::Value>::deserialize(from)?;
    let read = |entry: serde_json::Value| {
        let id = entry.get("id").and_then(|id| id.as_str()).map(str::to_owned);
        serde_json::from_value(entry).or_else(|cause| {
            tracing::warn!(%cause, id, "an entry of the list that can't be read");
            id.map(Member::unreadable).ok_or(())
        })
    };
    Ok(all.into_iter().filter_map(|entry| read(entry).ok()).collect())
}

/// Why an object is no list.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// It is no JSON, or of the wrong types.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// Two entries of one id: nothing tells which holds.
    #[error("duplicate entry for id {0:?}")]
    DuplicateId(String),
}

impl Message {
    /// Reads one object of a watch.
    ///
    /// # Errors
    /// [`MessageError`]; no part of it may be used.
    pub fn read(object: &[u8]) -> Result<Self, MessageError> {
        let read: Self = serde_json::from_slice(object)?;
        let mut ids = FxHashSet::default();
        match read.members.iter().find(|m| !ids.insert(m.id.as_str())) {
            Some(duplicate) => Err(MessageError::DuplicateId(duplicate.id.clone())),
            None => Ok(read),
        }
    }

    /// The object as one line of a watch, with its ending newline.
    pub fn line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Brings a whole list up to date with this message: a complete one takes its place, another changes it.
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
