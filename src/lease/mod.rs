//! Duties that one process holds at a time: leases with fencing tokens.
//!
//! A duty is a named lease with a TTL. [`table`] is the state that the list-service instances replicate
//! (holders and tokens); [`expiry`] tracks TTLs on the leader; [`holder`] is the holder's side, which stops the
//! duty by itself in time; [`client`] performs the holder's steps over HTTP. All but the last are pure.
//!
//! **Why there is at most one holder.** The holder counts a grant or renewal from the moment it *sent* the
//! request, for the TTL less the share given by [`holder::CLOCK_DRIFT_DIVISOR`]. The leader counts the complete
//! TTL from the moment it *applied* the command, or from its own election where that is later. Between two
//! machines whose clock rates differ by no more than that bound, the holder has stopped before the leader ends
//! the lease. No clock is compared with another.
//!
//! **Why a paused holder does no harm.** After it resumes, it may act on an ended lease for one more
//! instruction. Each of its writes carries its token, and the receiver refuses every token but the live one.

pub mod client;
pub mod expiry;
pub mod holder;
pub mod table;
