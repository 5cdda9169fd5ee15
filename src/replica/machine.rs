//! The state machine built from the log: the list, the members' TTLs and the duties. Pure and deterministic.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, Serializer};

use super::command::{Command, Fence, Outcome};
use crate::discovery::member::{Member, Phase};
use crate::discovery::store::{Store, StoreV1, StoreV2};
use crate::lease::table::{Refusal, Table};

/// The TTL state of a member that has to be renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// How long the member stays without a renewal, in milliseconds.
    pub ttl_ms: u64,
    /// Whether the member is draining because its TTL passed, and not because an operator asked for it.
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

/// The encoding of the state in a snapshot. In the first format the first byte was `seeded`, so the first two
/// variants have the numbers of `false` and `true`. A version that doesn't know the third variant refuses it
/// ([`crate::discovery::stored_format`]).
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
    fn from(form: Form) -> Self {
        match form {
            Form::UnseededV1(state) => state.machine(false),
            Form::SeededV1(state) => state.machine(true),
            Form::V2 { seeded, state } => state.machine(seeded),
        }
    }
}

impl Machine {
    /// An empty state whose list retains `history` changes for watches.
    pub fn new(history: usize) -> Self {
        Self {
            seeded: false,
            history,
            list: Store::new(0, history),
            sessions: BTreeMap::new(),
            leases: Table::default(),
        }
    }

    /// The list of members.
    pub fn list(&self) -> &Store {
        &self.list
    }

    /// The duties and their leases.
    pub fn leases(&self) -> &Table {
        &self.leases
    }

    /// The members that have a TTL, by id.
    pub fn sessions(&self) -> &BTreeMap<String, Session> {
        &self.sessions
    }

    /// Whether the initial list was applied.
    pub fn seeded(&self) -> bool {
        self.seeded
    }

    /// Applies a command and returns its outcome.
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
                if let Err(refusal) = self.check_fence(&fence) {
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
                if let Err(refusal) = self.check_fence(&fence) {
                    return Outcome::Refused(refusal);
                }
                // The phase was set explicitly, so the member does not count as expired any more.
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.lapsed = false;
                }
                return self.set_phase(&id, phase);
            }
            Command::Lapse { id } => {
                let Some(session) = self.sessions.get_mut(&id) else { return Outcome::Unknown };
                let drains = self.list.member(&id).is_some_and(|m| m.phase == Phase::Draining);
                session.lapsed = true;
                return self.set_phase(&id, if drains { Phase::Deleted } else { Phase::Draining });
            }
            Command::Revive { id } => {
                let Some(session) = self.sessions.get_mut(&id) else { return Outcome::Unknown };
                if std::mem::take(&mut session.lapsed) {
                    return self.set_phase(&id, Phase::Serving);
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

    fn set_phase(&mut self, id: &str, phase: Phase) -> Outcome {
        let Some(member) = self.list.member(id) else { return Outcome::Unknown };
        let member = Member { phase, ..member.clone() };
        if phase == Phase::Deleted {
            self.sessions.remove(id);
        }
        self.list.apply(member);
        Outcome::Revision(self.list.revision())
    }

    fn check_fence(&self, fence: &Option<Fence>) -> Result<(), Refusal> {
        match fence {
            Some(Fence { duty, token }) => self.leases.check(duty, *token),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
