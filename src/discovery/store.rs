//! Members by id under one monotonic revision, with a bounded history of changes for watches.
//!
//! Pure: no I/O, no clock. Every change of the list increments the revision by one and is added to the history. Once
//! the history exceeds `keep` changes, the oldest are dropped (compaction). A watch that requests changes since a
//! revision before the history gets the full list.
//!
//! Members and changes are also indexed by service, so that the cost of a request for some services does not depend
//! on the size of the rest of the list.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::filter::Filter;
use super::member::{Member, Message, Phase};
use super::stored_format::MemberV1;

/// The list and its history.
#[derive(Clone, Debug)]
pub struct Store {
    revision: u64,
    members: BTreeMap<String, Member>,
    /// Oldest first, one per revision.
    history: VecDeque<Change>,
    keep: usize,
    /// Index of members and history by service.
    services: BTreeMap<String, ServiceIndex>,
    entries_read: Cell<u64>,
}

/// Members and changes of one service.
#[derive(Clone, Debug, Default, PartialEq)]
struct ServiceIndex {
    /// Ids of its members.
    members: BTreeSet<String>,
    /// Revisions in the history whose entry is in the service or has left it.
    changes: VecDeque<u64>,
}

/// Ignores the index, which is derived from the rest, and the counter of entries read.
impl PartialEq for Store {
    fn eq(&self, other: &Self) -> bool {
        let key = |s: &Self| (s.revision, s.keep);
        key(self) == key(other) && self.members == other.members && self.history == other.history
    }
}

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Change {
    /// Revision of the list after the change.
    revision: u64,
    /// The new entry, with phase `Deleted` if it was removed.
    member: Member,
    /// Previous service of the entry, if that was a different one.
    left: Option<String>,
}

impl Change {
    /// The services affected by the change.
    fn services(&self) -> impl Iterator<Item = &String> {
        std::iter::once(&self.member.service).chain(&self.left)
    }
}

/// Snapshot form of a list without services ([`super::stored_format`]).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreV1 {
    revision: u64,
    members: BTreeMap<String, MemberV1>,
    history: Vec<(u64, MemberV1)>,
    keep: usize,
}

/// Snapshot form of any list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreV2 {
    revision: u64,
    members: Vec<Member>,
    history: Vec<Change>,
    keep: usize,
}

/// What to send first to a watch that has some revision.
#[derive(Debug, PartialEq)]
pub enum ChangesSince {
    /// Nothing: the list is at this revision.
    Current,
    /// The changes since, each id once with its latest entry.
    Changes(Message),
    /// The full list, because the revision is older than the history.
    FullList(Message),
    /// Nothing yet: the list is behind this revision, and the watch must not go back. It waits until the list has
    /// caught up.
    Ahead,
}

impl Store {
    /// Creates an empty list at revision `start` with a history of at most `keep` changes; 0 is taken as 1.
    pub fn new(start: u64, keep: usize) -> Self {
        Self {
            revision: start,
            members: BTreeMap::new(),
            history: VecDeque::new(),
            keep: keep.max(1),
            services: BTreeMap::new(),
            entries_read: Cell::default(),
        }
    }

    /// Current revision of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of members in the list.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the list has no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Oldest revision since which the history has all changes; from earlier ones, a watch gets the full list.
    pub fn oldest(&self) -> u64 {
        self.history.front().map_or(self.revision, |change| change.revision - 1)
    }

    /// Adds or replaces an entry, or removes it if its phase is `Deleted`. Returns the new revision, or `None` if
    /// nothing changed (an identical entry, or the removal of a missing one).
    pub fn apply(&mut self, member: Member) -> Option<u64> {
        let current = self.members.get(&member.id);
        let unchanged = match member.phase {
            Phase::Deleted => current.is_none(),
            _ => current == Some(&member),
        };
        if unchanged {
            return None;
        }
        let previous = match member.phase {
            Phase::Deleted => self.members.remove(&member.id),
            _ => self.members.insert(member.id.clone(), member.clone()),
        };
        if let Some(index) = previous.as_ref().and_then(|p| self.services.get_mut(&p.service)) {
            index.members.remove(&member.id);
        }
        if member.phase != Phase::Deleted {
            self.service_index(&member.service).members.insert(member.id.clone());
        }
        self.revision += 1;
        let left = previous.map(|p| p.service).filter(|service| *service != member.service);
        self.push_change(Change { revision: self.revision, member, left });
        while self.history.len() > self.keep {
            self.drop_oldest_change();
        }
        Some(self.revision)
    }

    fn service_index(&mut self, service: &str) -> &mut ServiceIndex {
        self.services.entry(service.to_owned()).or_default()
    }

    /// Whether any member, or any change in the history, is in a named service.
    pub fn in_services(&self) -> bool {
        self.services.keys().any(|name| !name.is_empty())
    }

    /// Appends a change to the history and indexes it.
    fn push_change(&mut self, change: Change) {
        for service in change.services() {
            self.service_index(service).changes.push_back(change.revision);
        }
        self.history.push_back(change);
    }

    /// Removes the oldest change from the history and the index.
    fn drop_oldest_change(&mut self) {
        let Some(change) = self.history.pop_front() else { return };
        for service in change.services() {
            let Some(index) = self.services.get_mut(service) else { continue };
            index.changes.pop_front();
            if index.members.is_empty() && index.changes.is_empty() {
                self.services.remove(service);
            }
        }
    }

    /// Number of entries read so far to build full lists and changes.
    pub fn entries_read(&self) -> u64 {
        self.entries_read.get()
    }

    fn count_read(&self, entries: usize) {
        self.entries_read.set(self.entries_read.get() + entries as u64);
    }

    /// Indexes of the named services that exist.
    fn service_indexes(&self, names: &BTreeSet<String>) -> impl Iterator<Item = &ServiceIndex> {
        names.iter().filter_map(|name| self.services.get(name))
    }

    /// The full list of the members that match the filter, marked `complete`.
    pub fn full_list(&self, filter: &Filter) -> Message {
        let members: Vec<Member> = match filter.names() {
            None => self.members.values().cloned().collect(),
            Some(names) => {
                let ids = self.service_indexes(names).flat_map(|index| &index.members);
                ids.filter_map(|id| self.members.get(id)).cloned().collect()
            }
        };
        self.count_read(members.len());
        Message { revision: self.revision, complete: true, members }
    }

    /// The last revision up to `index` in which an entry that matches the filter changed, or stopped matching it. If
    /// the history has no such change, its oldest revision (or `index`, if lower).
    pub fn last_change(&self, index: u64, filter: &Filter) -> u64 {
        let index = index.min(self.revision);
        let Some(names) = filter.names() else { return index };
        let last = |service: &ServiceIndex| {
            let after = service.changes.partition_point(|revision| *revision <= index);
            service.changes.get(after.checked_sub(1)?).copied()
        };
        self.service_indexes(names).filter_map(last).max().unwrap_or(self.oldest().min(index))
    }

    /// The entry with this id, if there is one.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// What to send first to a watch that has revision `index`. Changes of services outside the filter only advance the
    /// revision.
    pub fn changes_since(&self, index: u64, filter: &Filter) -> ChangesSince {
        if index == self.revision {
            return ChangesSince::Current;
        }
        if index > self.revision {
            return ChangesSince::Ahead;
        }
        if index < self.oldest() {
            return ChangesSince::FullList(self.full_list(filter));
        }
        // The history has one change per revision, so the changes after `index` are its tail.
        let at = |revision: u64| (revision - self.oldest()) as usize;
        let mut changes: Vec<&Change> = match filter.names() {
            None => self.history.range(at(index)..).collect(),
            Some(names) => {
                let after = |service: &ServiceIndex| {
                    let after = service.changes.partition_point(|revision| *revision <= index);
                    service.changes.range(after..).copied().collect::<Vec<_>>()
                };
                let revisions = self.service_indexes(names).flat_map(after);
                revisions.map(|revision| &self.history[at(revision) - 1]).collect()
            }
        };
        self.count_read(changes.len());
        changes.sort_unstable_by_key(|change| change.revision);
        let changed: BTreeMap<&str, &Change> =
            changes.into_iter().map(|change| (change.member.id.as_str(), change)).collect();
        let as_seen = |change: &Change| match &change.left {
            // The entry moved to a service outside the filter: it is sent as deleted.
            Some(left) if !filter.matches(&change.member.service) => {
                Member { phase: Phase::Deleted, service: left.clone(), ..change.member.clone() }
            }
            _ => change.member.clone(),
        };
        let members = changed.into_values().map(as_seen).collect();
        ChangesSince::Changes(Message { revision: self.revision, complete: false, members })
    }

    /// Snapshot form without services; `None` if any member or change in the history is in a service.
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

    /// Snapshot form with services.
    pub fn v2(&self) -> StoreV2 {
        let members = self.members.values().cloned().collect();
        let history = self.history.iter().cloned().collect();
        StoreV2 { revision: self.revision, members, history, keep: self.keep }
    }
}

impl From<StoreV1> for Store {
    fn from(stored: StoreV1) -> Self {
        let change = |(revision, member): (u64, MemberV1)| Change {
            revision,
            member: member.into(),
            left: None,
        };
        StoreV2 {
            revision: stored.revision,
            members: stored.members.into_values().map(Member::from).collect(),
            history: stored.history.into_iter().map(change).collect(),
            keep: stored.keep,
        }
        .into()
    }
}

impl From<StoreV2> for Store {
    fn from(stored: StoreV2) -> Self {
        let mut store = Self::new(stored.revision, stored.keep);
        for member in stored.members {
            store.service_index(&member.service).members.insert(member.id.clone());
            store.members.insert(member.id.clone(), member);
        }
        stored.history.into_iter().for_each(|change| store.push_change(change));
        store
    }
}

#[cfg(test)]
mod tests;
