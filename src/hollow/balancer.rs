//! A balancer without sockets: its services with their timers, as a proxy holds them ([`crate::services`]), and the list
//! that it holds. Pure: told the time and what came, answers when it is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use rustc_hash::{FxHashMap, FxHashSet, FxHasher};

use crate::discovery::member::{Member as Entry, Message, Phase};
use crate::interface::{Action, Event, ListKind, SettingsError, Time};
use crate::services::{Catalog, DirectoryUpdate, ServiceId, Services};

/// One entry's part of a [`digest`].
fn part(entry: &Entry) -> u64 {
    let mut hasher = FxHasher::default();
    (&entry.id, &entry.host_port, &entry.locality, entry.phase as u8).hash(&mut hasher);
    (entry.up_since_ms as u64, &entry.service).hash(&mut hasher);
    hasher.finish()
}

/// What two holders of the same list have in common, in whatever order they hold it. Of one build only.
pub fn digest(list: &[Entry]) -> u64 {
    list.iter().map(part).fold(0, u64::wrapping_add)
}

/// The list as one balancer holds it.
#[derive(Debug, Default)]
struct Held {
    ids: FxHashMap<String, usize>,
    /// The part of the digest, of those that are in the list.
    parts: Vec<Option<u64>>,
    members: usize,
    digest: u64,
}

impl Held {
    fn id(&mut self, name: &str) -> usize {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.parts.len();
        self.ids.insert(name.to_owned(), id);
        self.parts.push(None);
        id
    }

    fn set(&mut self, id: usize, part: Option<u64>) {
        let old = std::mem::replace(&mut self.parts[id], part);
        self.members = self.members + usize::from(part.is_some()) - usize::from(old.is_some());
        self.digest = self.digest.wrapping_add(part.unwrap_or(0)).wrapping_sub(old.unwrap_or(0));
    }

    fn take(&mut self, list: &Message) {
        if list.complete {
            let named: FxHashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
            let left_out = self.ids.iter().filter(|(name, _)| !named.contains(name.as_str()));
            for id in left_out.map(|(_, id)| *id).collect::<Vec<_>>() {
                self.set(id, None);
            }
        }
        for entry in &list.members {
            let id = self.id(&entry.id);
            self.set(id, (entry.phase != Phase::Deleted).then(|| part(entry)));
        }
    }
}

/// One hollow balancer.
pub struct HollowBalancer {
    services: Services,
    held: Held,
    timers: BinaryHeap<Reverse<(Time, ServiceId, u64)>>,
    actions: Vec<Action>,
}

impl HollowBalancer {
    /// One with the services of this catalog, that holds no list yet.
    ///
    /// # Errors
    /// [`SettingsError`], of settings that no balancer takes.
    pub fn new(catalog: Rc<Catalog>, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let services = Services::new(catalog, seed, now)?;
        let (held, timers) = (Held::default(), BinaryHeap::new());
        Ok(Self { services, held, timers, actions: Vec::new() })
    }

    /// How many members its list has.
    pub fn members(&self) -> usize {
        self.held.members
    }

    /// The [`digest`] of its list.
    pub fn digest(&self) -> u64 {
        self.held.digest
    }

    /// Takes a message into the list held, before the services are [told](Self::tell).
    pub fn take(&mut self, list: &Message) {
        self.held.take(list);
    }

    /// Tells the services what was [taken](Self::take) last, each its own part of it; how many were told.
    pub fn tell(&mut self, now: Time, list: &Message, kind: ListKind) -> usize {
        // There are no connections that its changes could concern.
        let DirectoryUpdate { members, .. } = self.services.apply_list(list, kind);
        for (service, members) in &members {
            self.handle(now, *service, Event::Members { kind, list: members });
        }
        members.len()
    }

    /// When [`Self::pass`] has something to do.
    pub fn due(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Time has passed: timers that are due are told to their services.
    pub fn pass(&mut self, now: Time) {
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
            // Without requests and connections nothing else is asked for that could be done.
            if let Action::Arm { token, at } = action {
                self.timers.push(Reverse((at, service, token)));
            }
        }
    }
}

#[cfg(test)]
mod tests;
