//! The state of a release on disk: a log ([`crate::store`]) of states, the last of which holds.

use std::path::Path;

use super::controller::State;
use crate::store::{Log, Recovery, StoreError, log};

/// Bytes of log after which the last state takes the place of the rest.
const COMPACT_THRESHOLD_BYTES: u64 = 1 << 20;

/// Why a state is not to be had.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// The directory.
    #[error("state: {0}")]
    Store(#[from] StoreError),
    /// It passed its checksum and is no state of this version.
    #[error("state: {0}")]
    Decode(#[from] postcard::Error),
    /// It is another release's.
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

/// What is kept of the release `name` in `dir`, without opening it for writes.
///
/// # Errors
/// [`StateError`].
pub fn read(dir: &Path, name: &str) -> Result<Option<State>, StateError> {
    if !dir.exists() {
        return Ok(None);
    }
    let contents = log::inspect(dir)?;
    decode_last(contents.snapshot, contents.records, name)
}

/// The state of one release, open for writes.
pub struct StateStore(Log);

impl StateStore {
    /// Opens `dir` for the release `name`, with the state that is kept there.
    ///
    /// # Errors
    /// [`StateError`]; [`StoreError::InUse`] while another controller has it.
    pub fn open(dir: &Path, name: &str) -> Result<(Self, Option<State>), StateError> {
        let opened = Log::open(dir, Recovery::Strict, None)?;
        let state = decode_last(opened.snapshot, opened.records, name)?;
        Ok((Self(opened.log), state))
    }

    /// Returns once `state` is on disk.
    ///
    /// # Errors
    /// [`StateError`]; what was kept before stands.
    pub fn store(&mut self, state: &State) -> Result<(), StateError> {
        let state = postcard::to_stdvec(state)?;
        self.0.append(&[&state])?;
        if self.0.length() > COMPACT_THRESHOLD_BYTES {
            self.0.compact(&state)?;
        }
        Ok(())
    }
}
