//! The replicated table of duties. Pure: the same commands in the same order give the same table on every
//! instance.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A fencing token: a number that increases with every grant of any duty, starting at 1.
pub type Token = u64;

/// A command that changes the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// Grants the duty, unless another process holds it. The current holder gets a new token, because it has
    /// restarted.
    Acquire {
        /// The name of the duty.
        duty: String,
        /// The name of the process that asks.
        holder: String,
        /// How long the grant lasts without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews the grant.
    Renew {
        /// The name of the duty.
        duty: String,
        /// The token of the grant.
        token: Token,
    },
    /// Releases the duty.
    Release {
        /// The name of the duty.
        duty: String,
        /// The token of the grant.
        token: Token,
    },
    /// Ends a grant whose TTL has passed on the leader. Has no effect if it was renewed in between.
    Expire {
        /// The name of the duty.
        duty: String,
        /// The token of the grant that has expired.
        token: Token,
        /// The number of renewals of the grant when it expired.
        renewals: u64,
    },
}

/// The live grant of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The name of the holder.
    pub holder: String,
    /// The fencing token.
    pub token: Token,
    /// How long it lasts after the grant or the last renewal, in milliseconds.
    pub ttl_ms: u64,
    /// How often it was renewed.
    pub renewals: u64,
}

/// One duty, held or not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The live grant, if the duty is held.
    pub grant: Option<Grant>,
    /// The highest token granted for this duty.
    pub highest: Token,
    /// How often it was granted.
    pub grants: u64,
    /// How often a grant ended without a release.
    pub lost: u64,
}

/// Why a command, or a write that carries a token, was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Another process holds the duty.
    #[error("held by {holder} with token {token}")]
    Held {
        /// The name of the holder.
        holder: String,
        /// The token of its grant.
        token: Token,
    },
    /// The token is not that of a live grant.
    #[error("token {token} is stale; the highest granted is {highest}")]
    Stale {
        /// The token of the command or write.
        token: Token,
        /// The highest token granted for this duty.
        highest: Token,
    },
    /// The request is invalid: a name or TTL is out of range, or there are too many duties.
    #[error("{0}")]
    Invalid(String),
}

/// The allowed range of a TTL, in milliseconds.
pub const TTL_MS: std::ops::RangeInclusive<u64> = 50..=3_600_000;
/// The maximum length of the name of a duty or a holder, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The maximum number of duties in a table. A released duty still counts, because its highest token must stay
/// known.
pub const MAX_DUTIES: usize = 10_000;

/// All duties, and the last token granted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    last: Token,
    duties: BTreeMap<String, Duty>,
}

impl Table {
    /// The duties by name.
    pub fn duties(&self) -> &BTreeMap<String, Duty> {
        &self.duties
    }

    /// The last token granted for any duty.
    pub fn last_token(&self) -> Token {
        self.last
    }

    /// Applies a command. `Ok` holds the resulting grant, or `None` where the duty is free.
    ///
    /// # Errors
    /// [`Refusal`]; the table is unchanged.
    pub fn apply(&mut self, command: LeaseCommand) -> Result<Option<Grant>, Refusal> {
        match command {
            LeaseCommand::Acquire { duty, holder, ttl_ms } => self.acquire(duty, holder, ttl_ms),
            LeaseCommand::Renew { duty, token } => {
                let grant = self.live_duty(&duty, token)?.grant.as_mut();
                Ok(grant.map(|grant| {
                    grant.renewals += 1;
                    grant.clone()
                }))
            }
            LeaseCommand::Release { duty, token } => {
                self.live_duty(&duty, token)?.grant = None;
                Ok(None)
            }
            LeaseCommand::Expire { duty, token, renewals } => {
                let duty = self.live_duty(&duty, token)?;
                if duty.grant.as_ref().is_some_and(|g| g.renewals == renewals) {
                    duty.grant = None;
                    duty.lost += 1;
                }
                Ok(duty.grant.clone())
            }
        }
    }

    fn acquire(
        &mut self,
        duty: String,
        holder: String,
        ttl_ms: u64,
    ) -> Result<Option<Grant>, Refusal> {
        let invalid_length = |name: &str| name.is_empty() || name.len() > MAX_NAME_BYTES;
        if invalid_length(&duty) || invalid_length(&holder) {
            return Err(Refusal::Invalid(format!("names have 1 to {MAX_NAME_BYTES} bytes")));
        }
        if !TTL_MS.contains(&ttl_ms) {
            return Err(Refusal::Invalid(format!("ttl_ms is not within {TTL_MS:?}")));
        }
        if self.duties.len() >= MAX_DUTIES && !self.duties.contains_key(&duty) {
            return Err(Refusal::Invalid(format!("{MAX_DUTIES} duties at most")));
        }
        let entry = self.duties.entry(duty).or_default();
        if let Some(Grant { holder: other, token, .. }) = &entry.grant
            && *other != holder
        {
            return Err(Refusal::Held { holder: other.clone(), token: *token });
        }
        self.last += 1;
        let grant = Grant { holder, token: self.last, ttl_ms, renewals: 0 };
        entry.lost += u64::from(entry.grant.is_some());
        entry.grants += 1;
        entry.highest = self.last;
        entry.grant = Some(grant.clone());
        Ok(Some(grant))
    }

    fn live_duty(&mut self, duty: &str, token: Token) -> Result<&mut Duty, Refusal> {
        self.check(duty, token)?;
        self.duties.get_mut(duty).ok_or(Refusal::Stale { token, highest: 0 })
    }

    /// Checks that a write with this token is allowed: only under the duty's live grant. The highest token is
    /// refused too once its lease has ended, as its holder may be gone for good.
    ///
    /// # Errors
    /// [`Refusal::Stale`].
    pub fn check(&self, duty: &str, token: Token) -> Result<(), Refusal> {
        let entry = self.duties.get(duty);
        if entry.and_then(|d| d.grant.as_ref()).is_some_and(|g| g.token == token) {
            return Ok(());
        }
        Err(Refusal::Stale { token, highest: entry.map_or(0, |d| d.highest) })
    }
}

#[cfg(test)]
mod tests;
