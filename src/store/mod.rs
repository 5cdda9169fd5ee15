//! The durable store: the state that must survive a process, in one directory.
//!
//! A directory holds generations. Generation `N` is a snapshot of the state after record `N` (`snapshot-N`) and
//! the records after it (`log-N`). The newest is in use; the one before it is kept as a fallback. [`record`] is
//! the encoding of one record (pure), [`log`] the files.
//!
//! Design note. The stored state is small (a list, a few leases, a release) and is held in memory completely,
//! so an append-only log with snapshots is enough: one `write` and one `fdatasync` per batch. An embedded store
//! (`redb`, `fjall`) was considered and rejected: its pages would be a second copy with a recovery of their
//! own, and "corrupt, at this offset" could not be told apart from "torn, cut off".

pub mod log;
pub mod record;

pub use log::{Log, Opened, Recovery, StoreError};
