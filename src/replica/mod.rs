//! The replicated state of the list service: one log that a majority of its instances agrees on.
//!
//! [`machine`] is the state (the list, the duties, members' TTLs) that every instance builds from the same
//! [`command`]s; [`core`] is one instance's part in the consensus, told messages and time and answering what to
//! keep and what to send; [`storage`] is what that reads of its log; [`host`] does the I/O: disk, peers, clock.
//! All but the last are pure, so that whole clusters run under a test's own schedule of faults.
//!
//! Design note. Consensus is the `raft` crate's, not ours. Of the two well-kept ones, `openraft` brings its own
//! tasks and timers and is driven through async traits; `raft` is a state machine that is told ticks and messages
//! and answers with what to do, as this project's own parts are, and can be stepped through ten thousand random
//! schedules of kills and partitions in seconds. It runs with pre-vote and check-quorum: an instance that was cut
//! off or paused neither unseats a working leader nor stays one for longer than an election timeout.

pub mod command;
pub mod core;
pub mod host;
pub mod machine;
pub mod storage;
