//! A balancer without sockets: the module with its timers, and the list that it holds. Pure: told the time and what
//! came, answers when it is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::{Hash, Hasher};

use rustc_hash::{FxHashMap, FxHashSet, FxHasher};

use crate::discovery::member::{Member as Entry, Message, Phase};
use crate::interface::{Action, Event, ListKind, Member, ServerId, Settings, SettingsError};
use crate::interface::{Status, Time};
use crate::policy::Balancer;
use crate::settings::stable_hash;

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
    ids: FxHashMap<String, ServerId>,
    /// By the module's handle: the part of the digest, of those that are in the list.
    parts: Vec<Option<u64>>,
    members: usize,
    digest: u64,
}

impl Held {
    fn id(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = ServerId(self.parts.len() as u32);
        self.ids.insert(name.to_owned(), id);
        self.parts.push(None);
        id
    }

    fn set(&mut self, id: ServerId, part: Option<u64>) {
        let old = std::mem::replace(&mut self.parts[id.0 as usize], part);
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
    module: Balancer,
    zones: Vec<String>,
    held: Held,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    actions: Vec<Action>,
    list: Vec<Member>,
}

impl HollowBalancer {
    /// One that holds no list yet. `zones` are the names behind the settings' zones.
    ///
    /// # Errors
    /// [`SettingsError`], of settings that no balancer takes.
    pub fn new(
        settings: Settings,
        zones: Vec<String>,
        seed: u64,
        now: Time,
    ) -> Result<Self, SettingsError> {
        let module = Balancer::new(settings, seed, now)?;
        let (held, timers) = (Held::default(), BinaryHeap::new());
        Ok(Self { module, zones, held, timers, actions: Vec::new(), list: Vec::new() })
    }

    /// How many members its list has.
    pub fn members(&self) -> usize {
        self.held.members
    }

    /// The [`digest`] of its list.
    pub fn digest(&self) -> u64 {
        self.held.digest
    }

    /// Takes a message into the list held, before the module is [told](Self::tell).
    pub fn take(&mut self, list: &Message) {
        self.held.take(list);
        let zone = |name: &str| {
            self.zones.iter().position(|z| z == name).unwrap_or(self.zones.len()) as u32
        };
        self.list.clear();
        self.list.extend(list.members.iter().filter_map(|entry| {
            Some(Member {
                id: *self.held.ids.get(&entry.id)?,
                identity: stable_hash(&entry.id),
                zone: zone(&entry.locality),
                kind: 0,
                cell: entry.cell,
                status: match entry.phase {
                    Phase::Serving => Status::Live,
                    Phase::Draining | Phase::Unknown => Status::Draining,
                    Phase::Deleted => Status::Gone,
                },
                weight: entry.size,
                started: (entry.up_since_ms > 0.0)
                    .then_some(Time((entry.up_since_ms * 1000.0) as i64)),
            })
        }));
    }

    /// Tells the module what was [taken](Self::take) last.
    pub fn tell(&mut self, now: Time, kind: ListKind) {
        let list = std::mem::take(&mut self.list);
        self.handle(now, Event::Members { kind, list: &list });
        self.list = list;
    }

    /// When [`Self::pass`] has something to do.
    pub fn due(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Time has passed: timers that are due are told to the module.
    pub fn pass(&mut self, now: Time) {
        while let Some(Reverse((at, token))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            self.handle(now, Event::Timer(token));
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        self.module.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            // Without requests and connections nothing else is asked for that could be done.
            if let Action::Arm { token, at } = action {
                self.timers.push(Reverse((at, token)));
            }
        }
    }
}

#[cfg(test)]
mod tests;
