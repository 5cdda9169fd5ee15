//! The Raft log and state of one instance, as the `raft` crate reads it, and the records that store it on disk.
//! Pure: held in memory, written by the caller.

use std::collections::VecDeque;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::util::limit_size;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

/// One record of the log on disk. The payloads are encoded messages of the `raft` crate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Consecutive entries; they replace all stored entries from the index of the first one on.
    Entries(Vec<Vec<u8>>),
    /// Term, vote and commit index.
    HardState(Vec<u8>),
    /// A snapshot received from a leader; it replaces everything before it.
    Snapshot(Vec<u8>),
    /// The instances that share this log; the first record of every log.
    Voters(Vec<u64>),
}

/// A record or state on disk that cannot be decoded although its checksum matches, for example one written by
/// another version, or that belongs to another set of instances.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The outer encoding is invalid.
    #[error("record: {0}")]
    Record(#[from] postcard::Error),
    /// An encoded Raft message is invalid.
    #[error("consensus message: {0}")]
    Message(#[from] protobuf::ProtobufError),
    /// The configuration names other instances than those that the log was created with.
    #[error("the instances {configured:?} are configured, and this state is of {kept:?}")]
    OtherVoters {
        /// The instances in the configuration.
        configured: Vec<u64>,
        /// The instances stored in the state directory.
        kept: Vec<u64>,
    },
    /// Entries that do not follow the last stored one: the index of the first, and that of the last stored one.
    #[error("entries from {0} after {1}")]
    Gap(u64, u64),
}

/// The complete stored state, as one snapshot of the state directory.
#[derive(Serialize, Deserialize)]
struct Checkpoint {
    voters: Vec<u64>,
    truncated: (u64, u64),
    hard_state: Vec<u8>,
    snapshot: Vec<u8>,
    entries: Vec<Vec<u8>>,
}

/// The Raft log and state of one instance.
#[derive(Clone, Debug, Default)]
pub struct RaftStorage {
    voters: Vec<u64>,
    hard_state: HardState,
    /// The newest snapshot. Its index is at least that of the entry before the first one held.
    snapshot: Snapshot,
    /// Index and term of the entry before the first one held.
    truncated: (u64, u64),
    entries: VecDeque<Entry>,
}

/// Entries retained before a snapshot, so that a follower slightly behind does not need the complete state.
pub(super) const RETAINED_ENTRIES: u64 = 256;

impl RaftStorage {
    /// An empty log for these voters.
    pub fn new(voters: Vec<u64>) -> Self {
        Self { voters, ..Self::default() }
    }

    /// Restores the contents of a state directory: its snapshot and the records after it. With empty `voters`,
    /// the stored ones are taken over.
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
        // Committed entries must be present: the commit index is stored with the entries, never before them.
        storage.hard_state.commit = storage.hard_state.commit.min(storage.last());
        Ok(storage)
    }

    /// Checks the stored voters against the configured ones, or takes them over where none are configured. Two
    /// different sets of instances over one log could each commit entries without the other.
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

    /// Applies a stored record.
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

    /// The records for one batch of Raft's output, in the order in which they must be stored.
    ///
    /// # Errors
    /// [`DecodeError`] where a message cannot be encoded.
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

    /// Makes `state`, which includes everything up to the entry `applied`, the newest snapshot, and drops the
    /// entries that it covers except for the last few.
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

    /// Encodes the complete state for a snapshot of the state directory.
    ///
    /// # Errors
    /// [`DecodeError`]; not expected for data that is held in memory.
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

    /// Index and state of the newest snapshot; 0 and empty where there is none.
    pub fn state(&self) -> (u64, &[u8]) {
        (self.snapshot.get_metadata().index, self.snapshot.get_data())
    }

    /// Sets the commit index.
    pub fn commit_to(&mut self, commit: u64) {
        self.hard_state.commit = commit;
    }

    /// Term, vote and commit index.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// The instances that share this log.
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
        let mut entries: Vec<Entry> =
            self.entries.range(position(low)..position(high)).cloned().collect();
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
