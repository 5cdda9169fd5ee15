//! What one instance keeps of the consensus, as the `raft` crate reads it; and the records by which it is kept
//! on disk. Pure: held in memory whole, written by the caller.

use std::collections::VecDeque;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::util::limit_size;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

/// One record of the log on disk. The payloads are the `raft` crate's own messages, encoded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Entries, in order; they take the place of all that were there from the first one's index on.
    Entries(Vec<Vec<u8>>),
    /// Term, vote and commit.
    HardState(Vec<u8>),
    /// The state as a leader sent it; nothing before it counts any more.
    Snapshot(Vec<u8>),
    /// The instances that this log is of: the first record of each.
    Voters(Vec<u64>),
}

/// A record or state on disk that passed its checksum and still can't be read: written by another version.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The outer form.
    #[error("record: {0}")]
    Record(#[from] postcard::Error),
    /// The consensus's own messages.
    #[error("consensus message: {0}")]
    Message(#[from] protobuf::ProtobufError),
    /// The configuration names other instances than those that the log was begun with.
    #[error("the instances {configured:?} are configured, and this state is of {kept:?}")]
    OtherVoters {
        /// As configured.
        configured: Vec<u64>,
        /// As kept.
        kept: Vec<u64>,
    },
    /// Entries that leave a gap after those before.
    #[error("entries from {0} after {1}")]
    Gap(u64, u64),
}

/// Everything that is kept, as one snapshot of the state directory.
#[derive(Serialize, Deserialize)]
struct Checkpoint {
    voters: Vec<u64>,
    truncated: (u64, u64),
    hard_state: Vec<u8>,
    snapshot: Vec<u8>,
    entries: Vec<Vec<u8>>,
}

/// The log of one instance.
#[derive(Clone, Debug, Default)]
pub struct RaftStorage {
    voters: Vec<u64>,
    hard_state: HardState,
    /// The newest snapshot: its index is that of the state, not below the first entry's less one.
    snapshot: Snapshot,
    /// Index and term of the entry before the first one held.
    truncated: (u64, u64),
    entries: VecDeque<Entry>,
}

/// Entries kept before a snapshot, so that a follower that is a little behind needs no whole state.
pub(super) const RETAINED_ENTRIES: u64 = 256;

impl RaftStorage {
    /// An instance that has seen nothing, among these voters.
    pub fn new(voters: Vec<u64>) -> Self {
        Self { voters, ..Self::default() }
    }

    /// What a state directory holds: its snapshot and the records after it. Without `voters` it is read for whatever
    /// instances it is of.
    ///
    /// # Errors
    /// [`DecodeError`].
    pub fn restore(
        voters: Vec<u64>,
        checkpoint: Option<&[u8]>,
        records: &[Vec<u8>],
    ) -> Result<Self, DecodeError> {
        let mut storage = Self::new(voters);
        if let Some(checkpoint) = checkpoint {
            let checkpoint: Checkpoint = postcard::from_bytes(checkpoint)?;
            storage.adopt_voters(&checkpoint.voters)?;
            storage.truncated = checkpoint.truncated;
            storage.hard_state = HardState::parse_from_bytes(&checkpoint.hard_state)?;
            storage.snapshot = Snapshot::parse_from_bytes(&checkpoint.snapshot)?;
            for entry in &checkpoint.entries {
                storage.entries.push_back(Entry::parse_from_bytes(entry)?);
            }
        }
        for record in records {
            storage.apply_record(&postcard::from_bytes(record)?)?;
        }
        // What is committed must be here: the commit is kept with the entries, never before them.
        storage.hard_state.commit = storage.hard_state.commit.min(storage.last());
        Ok(storage)
    }

    /// Two sets of instances of one log could each decide without the other.
    fn adopt_voters(&mut self, kept: &[u64]) -> Result<(), DecodeError> {
        if self.voters.is_empty() {
            self.voters = kept.to_vec();
        }
        if self.voters == kept {
            return Ok(());
        }
        let (configured, kept) = (self.voters.clone(), kept.to_vec());
        Err(DecodeError::OtherVoters { configured, kept })
    }

    /// Takes a record in.
    ///
    /// # Errors
    /// [`DecodeError`].
    pub fn apply_record(&mut self, record: &Record) -> Result<(), DecodeError> {
        match record {
            Record::Entries(entries) => {
                for entry in entries {
                    let entry = Entry::parse_from_bytes(entry)?;
                    if entry.index <= self.truncated.0 {
                        continue;
                    }
                    if entry.index > self.last() + 1 {
                        return Err(DecodeError::Gap(entry.index, self.last()));
                    }
                    self.entries.truncate((entry.index - self.truncated.0 - 1) as usize);
                    self.entries.push_back(entry);
                }
            }
            Record::Voters(voters) => self.adopt_voters(voters)?,
            Record::HardState(state) => self.hard_state = HardState::parse_from_bytes(state)?,
            Record::Snapshot(snapshot) => {
                let snapshot = Snapshot::parse_from_bytes(snapshot)?;
                let metadata = snapshot.get_metadata();
                self.truncated = (metadata.index, metadata.term);
                self.hard_state.term = self.hard_state.term.max(metadata.term);
                self.hard_state.commit = metadata.index;
                self.entries.clear();
                self.snapshot = snapshot;
            }
        }
        Ok(())
    }

    /// The records of one batch of the consensus's output, in the order in which they are to be kept.
    pub fn records(
        snapshot: &Snapshot,
        entries: &[Entry],
        hard_state: Option<&HardState>,
    ) -> Result<Vec<Record>, DecodeError> {
        let mut records = Vec::new();
        if !snapshot.is_empty() {
            records.push(Record::Snapshot(snapshot.write_to_bytes()?));
        }
        if !entries.is_empty() {
            let entries = entries.iter().map(Entry::write_to_bytes).collect::<Result<_, _>>()?;
            records.push(Record::Entries(entries));
        }
        if let Some(state) = hard_state {
            records.push(Record::HardState(state.write_to_bytes()?));
        }
        Ok(records)
    }

    /// Takes `state`, which holds everything up to the entry `applied`, as the newest snapshot, and drops the
    /// entries that it stands for but the last few.
    pub fn compact(&mut self, applied: u64, state: Vec<u8>) {
        let Ok(term) = self.term(applied) else { return };
        let mut snapshot = Snapshot::default();
        snapshot.set_data(state.into());
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (applied, term);
        metadata.set_conf_state(self.conf_state());
        self.snapshot = snapshot;
        let keep_from = applied.saturating_sub(RETAINED_ENTRIES);
        while let Some(entry) = self.entries.front().filter(|e| e.index <= keep_from) {
            self.truncated = (entry.index, entry.term);
            self.entries.pop_front();
        }
    }

    /// Everything, for a snapshot of the state directory.
    ///
    /// # Errors
    /// [`DecodeError`], which is not expected of what is held in memory.
    pub fn encode_checkpoint(&self) -> Result<Vec<u8>, DecodeError> {
        let entries = self.entries.iter().map(Entry::write_to_bytes).collect::<Result<_, _>>()?;
        let checkpoint = Checkpoint {
            voters: self.voters.clone(),
            truncated: self.truncated,
            hard_state: self.hard_state.write_to_bytes()?,
            snapshot: self.snapshot.write_to_bytes()?,
            entries,
        };
        Ok(postcard::to_stdvec(&checkpoint)?)
    }

    /// The newest snapshot's index and state; index 0 and nothing where there is none.
    pub fn state(&self) -> (u64, &[u8]) {
        (self.snapshot.get_metadata().index, self.snapshot.get_data())
    }

    /// What is committed from now on.
    pub fn commit_to(&mut self, commit: u64) {
        self.hard_state.commit = commit;
    }

    /// Term, vote and commit.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// The instances that this log is of.
    pub fn voters(&self) -> &[u64] {
        &self.voters
    }

    /// The index of the last entry; entries are numbered from 1.
    pub fn last(&self) -> u64 {
        self.truncated.0 + self.entries.len() as u64
    }

    fn conf_state(&self) -> ConfState {
        ConfState { voters: self.voters.clone(), ..ConfState::default() }
    }
}

impl Storage for RaftStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.conf_state()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.truncated.0 {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let position = |index: u64| (index - self.truncated.0 - 1) as usize;
        let mut entries: Vec<Entry> = self.entries.range(position(low)..position(high)).cloned().collect();
        limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let (truncated, term) = self.truncated;
        if index == truncated {
            return Ok(term);
        }
        if index < truncated {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get((index - truncated - 1) as usize);
        entry.map(|e| e.term).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.truncated.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index.max(1) {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}

#[cfg(test)]
mod tests;
