//! Formats in which entries and lists are stored on disk and sent between instances.
//!
//! `postcard` writes no field names, so the order and types of fields are the format. Data whose entries are all without
//! a service is written byte for byte as by versions that had no services (`V1`), so that a site without services can
//! upgrade to this version and back. Data with an entry in a service is written in a form that those versions reject
//! rather than misread.

use serde::{Deserialize, Serialize};

use super::member::{Member, Message, Phase};

/// An entry in the format of versions without services.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberV1 {
    id: String,
    host_port: String,
    locality: String,
    flavor: String,
    cell: u32,
    phase: Phase,
    size: f64,
    up_since_ms: f64,
}

impl MemberV1 {
    /// Converts an entry; `None` if it is in a service.
    pub fn of(member: &Member) -> Option<Self> {
        let Member { id, host_port, locality, flavor, cell, phase, size, up_since_ms, service } =
            member.clone();
        service.is_empty().then_some(Self {
            id,
            host_port,
            locality,
            flavor,
            cell,
            phase,
            size,
            up_since_ms,
        })
    }

    /// Converts all entries; `None` if any is in a service.
    pub fn of_all<'a>(members: impl IntoIterator<Item = &'a Member>) -> Option<Vec<Self>> {
        members.into_iter().map(Self::of).collect()
    }
}

impl From<MemberV1> for Member {
    fn from(stored: MemberV1) -> Self {
        let MemberV1 { id, host_port, locality, flavor, cell, phase, size, up_since_ms } = stored;
        let service = String::new();
        Self { id, host_port, locality, flavor, cell, phase, size, up_since_ms, service }
    }
}

/// A list as persisted by a client.
#[derive(Debug, Serialize, Deserialize)]
pub struct List {
    revision: u64,
    members: Members,
}

/// In V1 this byte was the flag `complete`, so the first two variants have the values of `false` and `true`.
#[derive(Debug, Serialize, Deserialize)]
enum Members {
    ChangesV1(Vec<MemberV1>),
    WholeV1(Vec<MemberV1>),
    Changes(Vec<Member>),
    Whole(Vec<Member>),
}

impl From<&Message> for List {
    fn from(list: &Message) -> Self {
        let members = match (MemberV1::of_all(&list.members), list.complete) {
            (Some(members), false) => Members::ChangesV1(members),
            (Some(members), true) => Members::WholeV1(members),
            (None, false) => Members::Changes(list.members.clone()),
            (None, true) => Members::Whole(list.members.clone()),
        };
        Self { revision: list.revision, members }
    }
}

impl From<List> for Message {
    fn from(stored: List) -> Self {
        let all = |members: Vec<MemberV1>| members.into_iter().map(Member::from).collect();
        let (complete, members) = match stored.members {
            Members::ChangesV1(members) => (false, all(members)),
            Members::WholeV1(members) => (true, all(members)),
            Members::Changes(members) => (false, members),
            Members::Whole(members) => (true, members),
        };
        Self { revision: stored.revision, complete, members }
    }
}

#[cfg(test)]
pub(crate) mod tests;
