//! The replicated state of the list service: one log that a majority of its instances agrees on.
//!
//! [`machine`] is the state (the list, the duties, the members' TTLs) that every instance builds from the same
//! [`command`]s; [`core`] is the Raft node of one instance, which takes messages and time as input and returns
//! what to persist and what to send; [`storage`] is the log that Raft reads; [`host`] does the I/O: disk,
//! peers, clock. All but the last are pure, so that tests can run complete clusters under their own schedule of
//! faults.
//!
//! Design note. Consensus comes from the `raft` crate. Of the two well-maintained ones, `openraft` has its own
//! tasks and timers and is driven through async traits. `raft` is a state machine that takes ticks and messages
//! and returns what to do, like the other parts of this project, and can be stepped through ten thousand random
//! schedules of kills and partitions in seconds. It runs with pre-vote and check-quorum: an instance that was
//! partitioned or paused neither unseats a working leader nor stays leader for longer than an election timeout.

pub mod command;
pub mod core;
pub mod host;
pub mod machine;
pub mod storage;
