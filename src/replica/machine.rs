//! The state that the log builds: the list, members' TTLs, the duties. Pure and deterministic.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, Serializer};

use super::command::{Command, Fence, Outcome};
use crate::discovery::member::{Member, Phase};
use crate::discovery::store::{Store, StoreV1, StoreV2};
use crate::lease::table::{Refusal, Table};

/// A member that has to be renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Milliseconds it stays without a renewal.
    pub ttl_ms: u64,
    /// Whether it drains for want of one, not by an operator's word.
    pub lapsed: bool,
}

/// The replicated state.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "Form")]
pub struct Machine {
    seeded: bool,
    history: usize,
    list: Store,
    sessions: BTreeMap<String, Session>,
    leases: Table,
}

/// The state as it is kept in a snapshot. The first byte was `seeded` in the first form, so the first two have the
/// numbers of `false` and `true`; a version that doesn't know the third refuses it ([`crate::discovery::stored_format`]).
#[derive(Serialize, Deserialize)]
enum Form {
    UnseededV1(State<StoreV1>),
    SeededV1(State<StoreV1>),
    V2 { seeded: bool, state: State<StoreV2> },
}

#[derive(Serialize, Deserialize)]
struct State<L> {
    history: usize,
    list: L,
    sessions: BTreeMap<String, Session>,
    leases: Table,
}

impl<L> State<L> {
    fn of(machine: &Machine, list: L) -> Self {
        let Machine { history, sessions, leases, .. } = machine;
        Self { history: *history, list, sessions: sessions.clone(), leases: leases.clone() }
    }

    fn machine(self, seeded: bool) -> Machine
    where
        Store: From<L>,
    {
        let Self { history, list, sessions, leases } = self;
        Machine { seeded, history, list: list.into(), sessions, leases }
    }
}

impl Serialize for Machine {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let form = match self.list.v1() {
            Some(list) if self.seeded => Form::SeededV1(State::of(self, list)),
            Some(list) => Form::UnseededV1(State::of(self, list)),
            None => Form::V2 { seeded: self.seeded, state: State::of(self, self.list.v2()) },
        };
        form.serialize(to)
    }
}

impl From<Form> for Machine {
    fn from(kept: Form) -> Self {
        match kept {
            Form::UnseededV1(state) => state.machine(false),
            Form::SeededV1(state) => state.machine(true),
            Form::V2 { seeded, state } => state.machine(seeded),
        }
    }
}

impl Machine {
    /// An empty state whose list keeps this many changes for watches.
    pub fn new(history: usize) -> Self {
        Self {
            seeded: false,
            history,
            list: Store::new(0, history),
            sessions: BTreeMap::new(),
            leases: Table::default(),
        }
    }

    /// The list.
    pub fn list(&self) -> &Store {
        &self.list
    }

    /// The duties.
    pub fn leases(&self) -> &Table {
        &self.leases
    }

    /// The members that have to be renewed.
    pub fn sessions(&self) -> &BTreeMap<String, Session> {
        &self.sessions
    }

    /// Whether the first list is there.
    pub fn seeded(&self) -> bool {
        self.seeded
    }

    /// Carries a command out.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Seed { revision, members } => {
                if !self.seeded {
                    self.seeded = true;
                    self.list = Store::new(revision, self.history);
                    for member in members {
                        self.list.apply(member);
                    }
                }
            }
            Command::Register { member, ttl_ms, fence } => {
                if let Err(refusal) = self.fenced(&fence) {
                    return Outcome::Refused(refusal);
                }
                match ttl_ms {
                    Some(ttl_ms) => {
                        let session = Session { ttl_ms, lapsed: false };
                        self.sessions.insert(member.id.clone(), session);
                    }
                    None => drop(self.sessions.remove(&member.id)),
                }
                self.list.apply(member);
            }
            Command::SetPhase { id, phase, fence } => {
                if let Err(refusal) = self.fenced(&fence) {
                    return Outcome::Refused(refusal);
                }
                // From now on it drains by word, or serves: either way it has not lapsed.
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.lapsed = false;
                }
                return self.turn(&id, phase);
            }
            Command::Lapse { id } => {
                let Some(session) = self.sessions.get_mut(&id) else { return Outcome::Unknown };
                let drains = self.list.member(&id).is_some_and(|m| m.phase == Phase::Draining);
                session.lapsed = true;
                return self.turn(&id, if drains { Phase::Deleted } else { Phase::Draining });
            }
            Command::Revive { id } => {
                let Some(session) = self.sessions.get_mut(&id) else { return Outcome::Unknown };
                if std::mem::take(&mut session.lapsed) {
                    return self.turn(&id, Phase::Serving);
                }
            }
            Command::Lease(command) => {
                return match self.leases.apply(command) {
                    Ok(grant) => Outcome::Grant(grant),
                    Err(refusal) => Outcome::Refused(refusal),
                };
            }
        }
        Outcome::Revision(self.list.revision())
    }

    fn turn(&mut self, id: &str, phase: Phase) -> Outcome {
        let Some(member) = self.list.member(id) else { return Outcome::Unknown };
        let member = Member { phase, ..member.clone() };
        if phase == Phase::Deleted {
            self.sessions.remove(id);
        }
        self.list.apply(member);
        Outcome::Revision(self.list.revision())
    }

    fn fenced(&self, fence: &Option<Fence>) -> Result<(), Refusal> {
        match fence {
            Some(Fence { duty, token }) => self.leases.check(duty, *token),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
