//! What may be asked of the replicated state, and what comes of it.

use serde::{Deserialize, Serialize};

use crate::discovery::member::{Member, Phase};
use crate::discovery::stored_format::MemberV1;
use crate::lease::table::{Grant, LeaseCommand, Refusal, Token};

/// The duty under whose token a write is made; the write is refused once that is not the live one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The duty.
    pub duty: String,
    /// The token of its grant.
    pub token: Token,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Form", into = "Form")]
pub enum Command {
    /// The very first list; of no effect once there is one.
    Seed {
        /// Its revision before the members.
        revision: u64,
        /// Its members.
        members: Vec<Member>,
    },
    /// Puts a member in, or its new entry in place of the old.
    Register {
        /// The entry.
        member: Member,
        /// Milliseconds it stays without a renewal; `None` for good.
        ttl_ms: Option<u64>,
        /// The duty this write is part of.
        fence: Option<Fence>,
    },
    /// Changes a member's phase: an operator's word, or the release controller's. `Deleted` takes it out.
    SetPhase {
        /// The member.
        id: String,
        /// Its phase from now on.
        phase: Phase,
        /// The duty this write is part of.
        fence: Option<Fence>,
    },
    /// The leader saw the TTL of a member pass: it drains, and if it did already, it goes.
    Lapse {
        /// The member.
        id: String,
    },
    /// A member that had lapsed was renewed: it serves again.
    Revive {
        /// The member.
        id: String,
    },
    /// About a duty.
    Lease(LeaseCommand),
}

impl Command {
    /// Whether it has an entry in a service.
    pub fn in_service(&self) -> bool {
        match self {
            Self::Seed { members, .. } => members.iter().any(|m| !m.service.is_empty()),
            Self::Register { member, .. } => !member.service.is_empty(),
            _ => false,
        }
    }
}

/// A command as it is kept and sent: the place of a variant is its number, so new ones come last. A version that
/// doesn't know a number refuses the entry ([`crate::discovery::stored_format`]).
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
    fn from(kept: Form) -> Self {
        match kept {
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

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done; the list is at this revision.
    Revision(u64),
    /// The duty's grant as it stands now.
    Grant(Option<Grant>),
    /// No such member.
    Unknown,
    /// A token or lease stood in the way.
    Refused(Refusal),
}

#[cfg(test)]
mod tests;
