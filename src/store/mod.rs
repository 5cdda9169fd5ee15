//! The durable store: what must outlive a process, in one directory.
//!
//! A directory holds generations. Generation `N` is a snapshot of the state after record `N`
//! (`snapshot-N`) and the records after it (`log-N`); the newest serves, the one before it is kept as the
//! way back. [`record`] is the form of one record (pure), [`log`] the files.
//!
//! Design note. The state kept here is small (a list, a few leases, a release) and is held in memory whole,
//! so an append-only log with snapshots is enough: one `write` and one `fdatasync` a batch. An embedded
//! store (`redb`, `fjall`) was considered and not taken: its pages would be a second copy with a recovery of
//! their own, and "corrupt, at this offset" could not be told apart from "torn, cut off".

pub mod log;
pub mod record;

pub use log::{Log, Opened, Recovery, StoreError};
