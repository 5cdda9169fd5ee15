//! The commands of the replicated state, and their outcomes.

use serde::{Deserialize, Serialize};

use crate::discovery::member::{Member, Phase};
use crate::discovery::stored_format::MemberV1;
use crate::lease::table::{Grant, LeaseCommand, Refusal, Token};

/// The duty and token under which a write is made. The write is refused unless the token is that of the live
/// grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The name of the duty.
    pub duty: String,
    /// The token of its grant.
    pub token: Token,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Form", into = "Form")]
pub enum Command {
    /// Sets the initial list; has no effect once there is one.
    Seed {
        /// The revision of the list before the members are added.
        revision: u64,
        /// The initial members.
        members: Vec<Member>,
    },
    /// Adds a member, or replaces its entry.
    Register {
        /// The new entry.
        member: Member,
        /// How long the member stays without a renewal, in milliseconds; `None` for no limit.
        ttl_ms: Option<u64>,
        /// The duty this write is part of.
        fence: Option<Fence>,
    },
    /// Changes a member's phase, for an operator or the release controller. `Deleted` removes the member.
    SetPhase {
        /// The id of the member.
        id: String,
        /// The new phase.
        phase: Phase,
        /// The duty this write is part of.
        fence: Option<Fence>,
    },
    /// The TTL of a member passed on the leader: the member starts draining, or is removed if it was draining
    /// already.
    Lapse {
        /// The id of the member.
        id: String,
    },
    /// An expired member was renewed: it serves again.
    Revive {
        /// The id of the member.
        id: String,
    },
    /// A command about a duty.
    Lease(LeaseCommand),
}

impl Command {
    /// Whether the command holds a member that belongs to a service.
    pub fn in_service(&self) -> bool {
        match self {
            Self::Seed { members, .. } => members.iter().any(|m| !m.service.is_empty()),
            Self::Register { member, .. } => !member.service.is_empty(),
            _ => false,
        }
    }
}

/// The encoding of a command on disk and between instances. A variant is encoded as its position, so new
/// variants must come last. A version that doesn't know a position refuses the entry
/// ([`crate::discovery::stored_format`]).
#[derive(Clone, Serialize, Deserialize)]
enum Form {
    SeedV1 { revision: u64, members: Vec<MemberV1> },
    RegisterV1 { member: MemberV1, ttl_ms: Option<u64>, fence: Option<Fence> },
    SetPhase { id: String, phase: Phase, fence: Option<Fence> },
    Lapse { id: String },
    Revive { id: String },
    Lease(LeaseCommand),
    Seed { revision: u64, members: Vec<Member> },
    Register { member: Member, ttl_ms: Option<u64>, fence: Option<Fence> },
}

impl From<Command> for Form {
    fn from(command: Command) -> Self {
        match command {
            Command::Seed { revision, members } => match MemberV1::of_all(&members) {
                Some(members) => Self::SeedV1 { revision, members },
                None => Self::Seed { revision, members },
            },
            Command::Register { member, ttl_ms, fence } => match MemberV1::of(&member) {
                Some(member) => Self::RegisterV1 { member, ttl_ms, fence },
                None => Self::Register { member, ttl_ms, fence },
            },
            Command::SetPhase { id, phase, fence } => Self::SetPhase { id, phase, fence },
            Command::Lapse { id } => Self::Lapse { id },
            Command::Revive { id } => Self::Revive { id },
            Command::Lease(command) => Self::Lease(command),
        }
    }
}

impl From<Form> for Command {
    fn from(form: Form) -> Self {
        match form {
            Form::SeedV1 { revision, members } => {
                Self::Seed { revision, members: members.into_iter().map(Member::from).collect() }
            }
            Form::RegisterV1 { member, ttl_ms, fence } => {
                Self::Register { member: member.into(), ttl_ms, fence }
            }
            Form::SetPhase { id, phase, fence } => Self::SetPhase { id, phase, fence },
            Form::Lapse { id } => Self::Lapse { id },
            Form::Revive { id } => Self::Revive { id },
            Form::Lease(command) => Self::Lease(command),
            Form::Seed { revision, members } => Self::Seed { revision, members },
            Form::Register { member, ttl_ms, fence } => Self::Register { member, ttl_ms, fence },
        }
    }
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Applied; the list is at this revision.
    Revision(u64),
    /// The duty's grant after the command; `None` where the duty is free.
    Grant(Option<Grant>),
    /// There is no such member.
    Unknown,
    /// Refused because of a stale token, a lease held by another, or invalid values.
    Refused(Refusal),
}

#[cfg(test)]
mod tests;
