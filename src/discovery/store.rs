//! Members by id under one monotonic revision, with a bounded history of changes for watches.
//!
//! Pure: no I/O, no clock. Every change that alters the list bumps the revision by one and is kept in the
//! history; the oldest changes are dropped (compaction) once more than `keep` are held. A watch that asks
//! from a revision that is no longer covered gets the whole list.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::member::{Member, Message, Phase};

/// The list and its history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Store {
    revision: u64,
    members: BTreeMap<String, Member>,
    /// `(revision, entry)`, oldest first, one entry a revision.
    history: VecDeque<(u64, Member)>,
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
        self.history.front().map_or(self.revision, |(revision, _)| revision - 1)
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
        if member.phase == Phase::Deleted {
            self.members.remove(&member.id);
        } else {
            self.members.insert(member.id.clone(), member.clone());
        }
        self.revision += 1;
        self.history.push_back((self.revision, member));
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
        for (_, member) in self.history.iter().skip(known) {
            changed.insert(&member.id, member);
        }
        let members = changed.into_values().cloned().collect();
        Since::Changes(Message { revision: self.revision, complete: false, members })
    }
}

#[cfg(test)]
mod tests;
