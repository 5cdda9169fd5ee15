//! Members by id under one monotonic revision, with a bounded history of changes for watches.
//!
//! Pure: no I/O, no clock. Every change that alters the list bumps the revision by one and is kept in the
//! history; the oldest changes are dropped (compaction) once more than `keep` are held. A watch that asks
//! from a revision that is no longer covered gets the whole list.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::kept::MemberV1;
use super::member::{Member, Message, Phase};

/// The list and its history.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    revision: u64,
    members: BTreeMap<String, Member>,
    /// Oldest first, one a revision.
    history: VecDeque<Change>,
    keep: usize,
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Change {
    /// The revision that the list has with it.
    revision: u64,
    /// The entry.
    member: Member,
    /// The service that it was in before, where that is another.
    left: Option<String>,
}

/// A list without services as it is kept in a snapshot of the state ([`super::kept`]).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreV1 {
    revision: u64,
    members: BTreeMap<String, MemberV1>,
    history: Vec<(u64, MemberV1)>,
    keep: usize,
}

/// Any list as it is kept in a snapshot of the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreV2 {
    revision: u64,
    members: Vec<Member>,
    history: Vec<Change>,
    keep: usize,
}

/// What a watch from some revision is told first.
#[derive(Debug, PartialEq)]
pub enum Since {
    /// Nothing has changed after it yet.
    Current,
    /// The changes after it, each id once with its last entry.
    Changes(Message),
    /// It is older than the history kept: the whole list.
    Whole(Message),
    /// This list is behind it: there is nothing to tell that would not go back. It waits until the list has
    /// caught up.
    Ahead,
}

impl Store {
    /// An empty list at revision `start`, keeping at most `keep` changes (at least one).
    pub fn new(start: u64, keep: usize) -> Self {
        Self {
            revision: start,
            members: BTreeMap::new(),
            history: VecDeque::new(),
            keep: keep.max(1),
        }
    }

    /// The revision of the list as it stands.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How many members the list has.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the list has no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The oldest revision a watch may ask from and be told changes rather than the whole list.
    pub fn oldest(&self) -> u64 {
        self.history.front().map_or(self.revision, |change| change.revision - 1)
    }

    /// Puts an entry in, or takes it out where its phase is `Deleted`. Returns the new revision, or `None`
    /// where nothing changed (the same entry again, or the deletion of one that is not there).
    pub fn apply(&mut self, member: Member) -> Option<u64> {
        let now = self.members.get(&member.id);
        let unchanged = match member.phase {
            Phase::Deleted => now.is_none(),
            _ => now == Some(&member),
        };
        if unchanged {
            return None;
        }
        let before = match member.phase {
            Phase::Deleted => self.members.remove(&member.id),
            _ => self.members.insert(member.id.clone(), member.clone()),
        };
        self.revision += 1;
        let left = before.map(|b| b.service).filter(|service| *service != member.service);
        self.history.push_back(Change { revision: self.revision, member, left });
        while self.history.len() > self.keep {
            self.history.pop_front();
        }
        Some(self.revision)
    }

    /// The whole list, `complete`.
    pub fn whole(&self) -> Message {
        let members = self.members.values().cloned().collect();
        Message { revision: self.revision, complete: true, members }
    }

    /// The entry of this id.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// What a watch that holds `index` is told first.
    pub fn since(&self, index: u64) -> Since {
        if index == self.revision {
            return Since::Current;
        }
        if index > self.revision {
            return Since::Ahead;
        }
        if index < self.oldest() {
            return Since::Whole(self.whole());
        }
        let mut changed: BTreeMap<&str, &Member> = BTreeMap::new();
        // One entry a revision: what comes after `index` is the end of the history.
        let known = (index - self.oldest()) as usize;
        for Change { member, .. } in self.history.iter().skip(known) {
            changed.insert(&member.id, member);
        }
        let members = changed.into_values().cloned().collect();
        Since::Changes(Message { revision: self.revision, complete: false, members })
    }

    /// The list to be kept, where no entry of it or of its history was ever in a service.
    pub fn v1(&self) -> Option<StoreV1> {
        let members = self.members.values().map(MemberV1::of);
        let members = self.members.keys().cloned().zip(members);
        let members = members.map(|(id, member)| Some((id, member?))).collect::<Option<_>>()?;
        let change = |c: &Change| match c.left {
            Some(_) => None,
            None => Some((c.revision, MemberV1::of(&c.member)?)),
        };
        let history = self.history.iter().map(change).collect::<Option<_>>()?;
        Some(StoreV1 { revision: self.revision, members, history, keep: self.keep })
    }

    /// The list to be kept.
    pub fn v2(&self) -> StoreV2 {
        let members = self.members.values().cloned().collect();
        let history = self.history.iter().cloned().collect();
        StoreV2 { revision: self.revision, members, history, keep: self.keep }
    }
}

impl From<StoreV1> for Store {
    fn from(kept: StoreV1) -> Self {
        let change = |(revision, member): (u64, MemberV1)| Change {
            revision,
            member: member.into(),
            left: None,
        };
        StoreV2 {
            revision: kept.revision,
            members: kept.members.into_values().map(Member::from).collect(),
            history: kept.history.into_iter().map(change).collect(),
            keep: kept.keep,
        }
        .into()
    }
}

impl From<StoreV2> for Store {
    fn from(kept: StoreV2) -> Self {
        let StoreV2 { revision, members, history, keep } = kept;
        let members = members.into_iter().map(|m| (m.id.clone(), m)).collect();
        Self { revision, members, history: history.into(), keep }
    }
}

#[cfg(test)]
mod tests;
