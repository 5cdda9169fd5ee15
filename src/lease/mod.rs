//! Duties that one process holds at a time: leases with fencing tokens.
//!
//! A duty is a named lease with a TTL. [`table`] is the state that the list-service instances replicate
//! (who holds what, and the tokens); [`expiry`] is the leader's watch on TTLs; [`holder`] is the holder's side,
//! which gives the duty up by itself in time; [`client`] carries the holder's decisions out over HTTP. All but the
//! last are pure.
//!
//! **Why at most one holds.** A grant or renewal counts for the holder from the moment it *asked*, for the TTL
//! less [`holder::CLOCK_DRIFT_DIVISOR`]; the leader counts the whole TTL from the moment it *applied* it, or from its own
//! election where that is later. Between two machines whose clocks run at rates within that bound of each
//! other, the holder has stopped before the leader lets go. No clock is compared with another.
//!
//! **Why a paused holder does no harm.** It may believe in its lease for one more instruction after it is
//! resumed. Each write it makes carries its token, and the receiver refuses all but the live one.

pub mod client;
pub mod expiry;
pub mod holder;
pub mod table;
