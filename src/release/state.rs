//! The stored state of a release: a log ([`crate::store`]) of states, of which the last is current.

use std::path::Path;

use super::controller::State;
use crate::store::{Log, Recovery, StoreError, log};

/// Log size in bytes above which the log is compacted to a snapshot of the last state.
const COMPACT_THRESHOLD_BYTES: u64 = 1 << 20;

/// Why a state can't be read or stored.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// The state directory can't be read or written, or is corrupted.
    #[error("state: {0}")]
    Store(#[from] StoreError),
    /// The record has a valid checksum but does not hold a state of this version, or a state can't be encoded.
    #[error("state: {0}")]
    Decode(#[from] postcard::Error),
    /// The directory holds the state of another release.
    #[error("state: is of the release {0:?}; give this one a state_dir of its own")]
    Other(String),
}

fn decode_last(
    snapshot: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
    name: &str,
) -> Result<Option<State>, StateError> {
    let Some(state) = records.into_iter().next_back().or(snapshot) else { return Ok(None) };
    let state: State = postcard::from_bytes(&state)?;
    if state.name != name {
        return Err(StateError::Other(state.name));
    }
    Ok(Some(state))
}

/// Reads the stored state of the release `name` from `dir` without opening it for writes; `None` if there is none.
///
/// # Errors
/// [`StateError`] if the state can't be read or belongs to another release.
pub fn read(dir: &Path, name: &str) -> Result<Option<State>, StateError> {
    if !dir.exists() {
        return Ok(None);
    }
    let contents = log::inspect(dir)?;
    decode_last(contents.snapshot, contents.records, name)
}

/// The stored state of one release, open for writes.
pub struct StateStore(Log);

impl StateStore {
    /// Opens `dir` for the release `name` and returns it with the state stored there, if any.
    ///
    /// # Errors
    /// [`StateError`]; with [`StoreError::InUse`] while another controller has the directory open.
    pub fn open(dir: &Path, name: &str) -> Result<(Self, Option<State>), StateError> {
        let opened = Log::open(dir, Recovery::Strict, None)?;
        let state = decode_last(opened.snapshot, opened.records, name)?;
        Ok((Self(opened.log), state))
    }

    /// Returns once `state` is on disk.
    ///
    /// # Errors
    /// [`StateError`]; the previously stored state remains valid.
    pub fn store(&mut self, state: &State) -> Result<(), StateError> {
        let state = postcard::to_stdvec(state)?;
        self.0.append(&[&state])?;
        if self.0.length() > COMPACT_THRESHOLD_BYTES {
            self.0.compact(&state)?;
        }
        Ok(())
    }
}
