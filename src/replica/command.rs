//! What may be asked of the replicated state, and what comes of it.

use serde::{Deserialize, Serialize};

use crate::discovery::member::{Member, Phase};
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
