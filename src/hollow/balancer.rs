//! A simulated balancer without sockets: the services with their timers, as in a proxy ([`crate::services`]), and the
//! member list. It does no I/O and reads no clock: the caller passes in the time and the messages, and asks when the
//! next timer is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use rustc_hash::{FxHashMap, FxHashSet, FxHasher};

use crate::discovery::member::{Member as Entry, Message, Phase};
use crate::interface::{Action, Event, ListKind, SettingsError, Time};
use crate::services::{Catalog, DirectoryUpdate, ServiceId, Services};

/// Hash of one entry; a [`digest`] is the sum of these.
fn entry_hash(entry: &Entry) -> u64 {
    let mut hasher = FxHasher::default();
    (&entry.id, &entry.host_port, &entry.locality, entry.phase as u8).hash(&mut hasher);
    (entry.up_since_ms as u64, &entry.service).hash(&mut hasher);
    hasher.finish()
}

/// A digest of the list that does not depend on the order of its entries, to check that two processes hold the same
/// list. Comparable only between processes of the same build.
pub fn digest(list: &[Entry]) -> u64 {
    list.iter().map(entry_hash).fold(0, u64::wrapping_add)
}

/// The member list of one balancer.
#[derive(Debug, Default)]
struct HeldList {
    indices: FxHashMap<String, usize>,
    /// Hash of each entry by its index in `indices`; `None` if the entry is not in the list now.
    hashes: Vec<Option<u64>>,
    members: usize,
    digest: u64,
}

impl HeldList {
    fn index_of(&mut self, name: &str) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.hashes.len();
        self.indices.insert(name.to_owned(), index);
        self.hashes.push(None);
        index
    }

    fn set(&mut self, index: usize, hash: Option<u64>) {
        let old = std::mem::replace(&mut self.hashes[index], hash);
        self.members = self.members + usize::from(hash.is_some()) - usize::from(old.is_some());
        self.digest = self.digest.wrapping_add(hash.unwrap_or(0)).wrapping_sub(old.unwrap_or(0));
    }

    fn apply_message(&mut self, list: &Message) {
        if list.complete {
            let named: FxHashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
            let missing = self.indices.iter().filter(|(name, _)| !named.contains(name.as_str()));
            for index in missing.map(|(_, index)| *index).collect::<Vec<_>>() {
                self.set(index, None);
            }
        }
        for entry in &list.members {
            let index = self.index_of(&entry.id);
            self.set(index, (entry.phase != Phase::Deleted).then(|| entry_hash(entry)));
        }
    }
}

/// One simulated balancer.
pub struct HollowBalancer {
    services: Services,
    held: HeldList,
    timers: BinaryHeap<Reverse<(Time, ServiceId, u64)>>,
    actions: Vec<Action>,
}

impl HollowBalancer {
    /// Creates a balancer with the services of this catalog and an empty list.
    ///
    /// # Errors
    /// [`SettingsError`] if the settings of a service are invalid.
    pub fn new(catalog: Rc<Catalog>, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let services = Services::new(catalog, seed, now)?;
        let (held, timers) = (HeldList::default(), BinaryHeap::new());
        Ok(Self { services, held, timers, actions: Vec::new() })
    }

    /// Number of members in the list.
    pub fn members(&self) -> usize {
        self.held.members
    }

    /// The [`digest`] of the list.
    pub fn digest(&self) -> u64 {
        self.held.digest
    }

    /// Applies a message to the list. Called before [`Self::notify_services`].
    pub fn apply_message(&mut self, list: &Message) {
        self.held.apply_message(list);
    }

    /// Notifies each service of its part of the message [applied](Self::apply_message) last. Returns the number of
    /// services notified.
    pub fn notify_services(&mut self, now: Time, list: &Message, kind: ListKind) -> usize {
        // The status changes of upstreams are not needed: there are no connections to them.
        let DirectoryUpdate { members, .. } = self.services.apply_list(list, kind);
        for (service, members) in &members {
            self.handle(now, *service, Event::Members { kind, list: members });
        }
        members.len()
    }

    /// When the next timer is due; `None` if no timer is armed.
    pub fn due(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Passes all timers that are due at `now` to their services.
    pub fn fire_due_timers(&mut self, now: Time) {
        while let Some(Reverse((at, service, token))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            self.handle(now, service, Event::Timer(token));
        }
    }

    fn handle(&mut self, now: Time, service: ServiceId, event: Event<'_>) {
        self.services.handle(now, service, event, &mut self.actions);
        for action in self.actions.drain(..) {
            // Without requests and connections no other action can be carried out.
            if let Action::Arm { token, at } = action {
                self.timers.push(Reverse((at, service, token)));
            }
        }
    }
}

#[cfg(test)]
mod tests;
