//! The files of a state directory: opened and checked, appended to, compacted.
//!
//! Everything here blocks on the disk. [`Log::append`] returns once the batch is on it (`fdatasync`), so what
//! it returned `Ok` for is *acknowledged*: no crash and no power loss takes it back.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use super::record::{self, MAX_PAYLOAD_BYTES, Read};

/// How a directory with a corrupt record is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Refused, with the offset.
    Strict,
    /// Opened with what was good before the corrupt record, from the newest good snapshot on. What is
    /// corrupt is kept beside it under `.corrupt`. An operator's explicit word only: acknowledged records
    /// after the corrupt one are given up.
    LastGoodSnapshot,
}

/// What went wrong with a state directory.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The system refused an operation.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A record is not what was written.
    #[error("{}: corrupt record at offset {offset}: {what}", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where the record starts, in bytes.
        offset: u64,
        /// Which part of it.
        what: String,
    },
    /// Another process has the directory open.
    #[error("{}: in use by another process", .0.display())]
    InUse(PathBuf),
    /// The disk or the stated limit is full; what was acknowledged before stands, and reads go on.
    #[error("{}: full: {needed} bytes more than the {limit} allowed", path.display())]
    Full {
        /// The directory.
        path: PathBuf,
        /// What the batch needed beyond the limit, in bytes.
        needed: u64,
        /// The limit in bytes; 0 where the disk itself was full.
        limit: u64,
    },
    /// An earlier failure left the end of the log unknown; only opening it anew can tell.
    #[error("{}: closed to writes after a failed sync", .0.display())]
    Poisoned(PathBuf),
    /// A payload over [`MAX_PAYLOAD_BYTES`] bytes.
    #[error("a record of {0} bytes")]
    TooLong(usize),
}

fn io_at(path: &Path) -> impl FnOnce(io::Error) -> StoreError + '_ {
    move |source| StoreError::Io { path: path.to_owned(), source }
}

/// A directory as it was found.
#[derive(Debug)]
pub struct Opened {
    /// Ready for appends after what was found.
    pub log: Log,
    /// The state that the records build on, if there was a snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The payloads after it, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a torn last record that were cut off.
    pub cut: u64,
}

/// An open state directory; its lock is held until it is dropped.
#[derive(Debug)]
pub struct Log {
    dir: PathBuf,
    file: File,
    path: PathBuf,
    /// The number of the last record written.
    sequence: u64,
    /// The snapshot that this generation builds on.
    base: u64,
    length: u64,
    limit: Option<u64>,
    poisoned: bool,
    _lock: Option<File>,
}

/// What a directory holds, as [`inspect`] found it.
#[derive(Debug)]
pub struct Contents {
    /// The record that the newest snapshot stands for; 0 without one.
    pub base: u64,
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records after it, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Bytes of the log file.
    pub log_bytes: u64,
    /// Bytes of a torn last record, which opening will cut off.
    pub torn: u64,
}

struct Generation {
    base: u64,
    snapshot: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
    valid_bytes: u64,
    file_bytes: u64,
}

fn snapshot_path(dir: &Path, base: u64) -> PathBuf {
    dir.join(format!("snapshot-{base:020}"))
}

fn log_path(dir: &Path, base: u64) -> PathBuf {
    dir.join(format!("log-{base:020}"))
}

/// The generations of a directory, oldest first; 0 is always there, empty.
fn generations(dir: &Path) -> Result<Vec<u64>, StoreError> {
    let mut found = vec![0];
    for entry in fs::read_dir(dir).map_err(io_at(dir))? {
        let name = entry.map_err(io_at(dir))?.file_name();
        let name = name.to_string_lossy().into_owned();
        found.extend(name.strip_prefix("snapshot-").and_then(|n| n.parse::<u64>().ok()));
    }
    found.sort_unstable();
    found.dedup();
    Ok(found)
}

fn read_file(path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
    match fs::read(path) {
        Ok(data) => Ok(Some(data)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(StoreError::Io { path: path.to_owned(), source }),
    }
}

fn corrupt(path: &Path, offset: usize, what: impl Into<String>) -> StoreError {
    StoreError::Corrupt { path: path.to_owned(), offset: offset as u64, what: what.into() }
}

/// Reads one generation. A corrupt record in its log ends it: the error comes with what was good before.
fn read_generation(dir: &Path, base: u64) -> Result<(Generation, Option<StoreError>), StoreError> {
    let mut snapshot = None;
    if base > 0 {
        let path = snapshot_path(dir, base);
        let data = read_file(&path)?.unwrap_or_default();
        match record::read(&data, 0) {
            Read::Complete { sequence, payload, next } if sequence == base && next == data.len() => {
                snapshot = Some(payload.to_vec());
            }
            Read::Corrupt(what) => return Err(corrupt(&path, 0, what)),
            // A snapshot is renamed into place whole: one that is cut was damaged since.
            _ => return Err(corrupt(&path, 0, "not one whole snapshot")),
        }
    }
    let path = log_path(dir, base);
    let data = read_file(&path)?.unwrap_or_default();
    let file_bytes = data.len() as u64;
    let (mut records, mut at) = (Vec::new(), 0);
    let mut error = None;
    loop {
        match record::read(&data, at) {
            Read::Complete { sequence, payload, next } => {
                let expected = base + records.len() as u64 + 1;
                if sequence != expected {
                    let what = format!("sequence number {sequence} instead of {expected}");
                    error = Some(corrupt(&path, at, what));
                    break;
                }
                records.push(payload.to_vec());
                at = next;
            }
            Read::End | Read::Torn => break,
            Read::Corrupt(what) => {
                error = Some(corrupt(&path, at, what));
                break;
            }
        }
    }
    Ok((Generation { base, snapshot, records, valid_bytes: at as u64, file_bytes }, error))
}

fn load_newest(dir: &Path, recovery: Recovery) -> Result<Generation, StoreError> {
    let mut first = None;
    for base in generations(dir)?.into_iter().rev() {
        let failed = match read_generation(dir, base) {
            Ok((found, None)) => return Ok(found),
            Ok((found, Some(error))) if recovery == Recovery::LastGoodSnapshot => {
                tracing::error!(%error, kept = found.records.len(), "restored up to a corrupt record");
                let backup = log_path(dir, base).with_extension("corrupt");
                fs::copy(log_path(dir, base), &backup).map_err(io_at(&backup))?;
                return Ok(found);
            }
            Ok((_, Some(error))) | Err(error) => error,
        };
        if recovery == Recovery::Strict || !matches!(failed, StoreError::Corrupt { .. }) {
            return Err(failed);
        }
        tracing::error!(error = %failed, "going back to an older snapshot");
        let backup = snapshot_path(dir, base).with_extension("corrupt");
        fs::rename(snapshot_path(dir, base), &backup).map_err(io_at(&backup))?;
        first.get_or_insert(failed);
    }
    Err(first.unwrap_or_else(|| corrupt(dir, 0, "no generation")))
}

/// Checks every record of a directory and changes nothing.
///
/// # Errors
/// [`StoreError::Corrupt`] with the file and offset, [`StoreError::Io`] where it can't be read.
pub fn inspect(dir: &Path) -> Result<Contents, StoreError> {
    let Generation { base, snapshot, records, valid_bytes, file_bytes } = load_newest(dir, Recovery::Strict)?;
    Ok(Contents { base, snapshot, records, log_bytes: file_bytes, torn: file_bytes - valid_bytes })
}

fn sync_dir(dir: &Path) -> Result<(), StoreError> {
    File::open(dir).and_then(|d| d.sync_all()).map_err(io_at(dir))
}

impl Log {
    /// Opens `dir`, made where it is not there, and checks every record in it. A torn last record is cut off
    /// and logged. `limit` bounds the bytes of one generation's log, where given.
    ///
    /// # Errors
    /// [`StoreError::Corrupt`] under [`Recovery::Strict`], [`StoreError::InUse`] while another process has
    /// it, [`StoreError::Io`] otherwise.
    pub fn open(dir: &Path, recovery: Recovery, limit: Option<u64>) -> Result<Opened, StoreError> {
        fs::create_dir_all(dir).map_err(io_at(dir))?;
        let lock_path = dir.join("lock");
        let lock = File::create(&lock_path).map_err(io_at(&lock_path))?;
        lock.try_lock().map_err(|e| match e {
            fs::TryLockError::WouldBlock => StoreError::InUse(dir.to_owned()),
            fs::TryLockError::Error(source) => StoreError::Io { path: lock_path.clone(), source },
        })?;
        let found = load_newest(dir, recovery)?;
        let path = log_path(dir, found.base);
        let file =
            OpenOptions::new().create(true).append(true).open(&path).map_err(io_at(&path))?;
        let cut = found.file_bytes - found.valid_bytes;
        if cut > 0 {
            tracing::warn!(path = %path.display(), offset = found.valid_bytes, cut, "a torn last record is cut off");
            file.set_len(found.valid_bytes).map_err(io_at(&path))?;
        }
        file.sync_all().map_err(io_at(&path))?;
        sync_dir(dir)?;
        let log = Self {
            dir: dir.to_owned(),
            file,
            path,
            sequence: found.base + found.records.len() as u64,
            base: found.base,
            length: found.valid_bytes,
            limit,
            poisoned: false,
            _lock: Some(lock),
        };
        Ok(Opened { log, snapshot: found.snapshot, records: found.records, cut })
    }

    /// The number of the last record written.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Bytes of the log since the last snapshot.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Bytes left under the limit, where there is one.
    pub fn remaining(&self) -> Option<u64> {
        self.limit.map(|limit| limit.saturating_sub(self.length))
    }

    /// Writes the payloads as one batch and waits until they are on disk. On an error none of them counts as
    /// written, and what was there before stands.
    ///
    /// # Errors
    /// [`StoreError::Full`] where the limit or the disk has no room: the log goes on as it was.
    /// [`StoreError::Poisoned`] after a failure that left its end unknown.
    pub fn append<P: AsRef<[u8]>>(&mut self, payloads: &[P]) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned(self.path.clone()));
        }
        let mut batch = Vec::new();
        for (i, payload) in payloads.iter().enumerate() {
            let payload = payload.as_ref();
            if payload.len() > MAX_PAYLOAD_BYTES {
                return Err(StoreError::TooLong(payload.len()));
            }
            record::encode(self.sequence + 1 + i as u64, payload, &mut batch);
        }
        let after = self.length + batch.len() as u64;
        if let Some(limit) = self.limit.filter(|limit| after > *limit) {
            return Err(StoreError::Full { path: self.dir.clone(), needed: after - limit, limit });
        }
        if let Err(source) = self.file.write_all(&batch) {
            // Part of it may be there: the file goes back to its last whole record.
            let truncated = self.file.set_len(self.length).and_then(|()| self.file.sync_all());
            self.poisoned = truncated.is_err();
            return Err(match source.kind() {
                io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                    let needed = batch.len() as u64;
                    StoreError::Full { path: self.dir.clone(), needed, limit: 0 }
                }
                _ => StoreError::Io { path: self.path.clone(), source },
            });
        }
        if let Err(source) = self.file.sync_data() {
            // The kernel may have dropped the pages: a second sync that succeeds would prove nothing, here or after
            // the next start, which must not find them in the cache.
            self.poisoned = true;
            let _ = self.file.set_len(self.length);
            return Err(StoreError::Io { path: self.path.clone(), source });
        }
        self.length = after;
        self.sequence += payloads.len() as u64;
        Ok(())
    }

    /// Starts a new generation from this state, which must hold everything that was appended. The one before
    /// is kept, older ones are removed.
    ///
    /// # Errors
    /// [`StoreError::Io`]; the generation in use stays in use.
    pub fn compact(&mut self, state: &[u8]) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned(self.path.clone()));
        }
        if state.len() > MAX_PAYLOAD_BYTES {
            return Err(StoreError::TooLong(state.len()));
        }
        if self.sequence == self.base {
            return Ok(());
        }
        let base = self.sequence;
        let mut data = Vec::with_capacity(record::HEADER_BYTES + state.len());
        record::encode(base, state, &mut data);
        let log = log_path(&self.dir, base);
        // One may be left from a generation that was given up.
        let _ = fs::remove_file(&log);
        let file = OpenOptions::new().create(true).append(true).open(&log).map_err(io_at(&log))?;
        file.sync_all().map_err(io_at(&log))?;
        let snapshot = snapshot_path(&self.dir, base);
        if let Err(error) = write_atomically(&snapshot, &data) {
            // Where it stands all the same, the next start begins from it, and what is appended to the old log
            // from here on would not be read.
            self.poisoned = snapshot.exists();
            return Err(error);
        }
        let before = self.base;
        (self.file, self.path, self.base, self.length) = (file, log, base, 0);
        for old in generations(&self.dir)?.into_iter().filter(|g| *g < before) {
            let _ = fs::remove_file(snapshot_path(&self.dir, old));
            let _ = fs::remove_file(log_path(&self.dir, old));
        }
        Ok(())
    }
}

/// Puts `data` at `path` so that a reader finds the old file or the new one, whole: a temporary file, synced,
/// renamed over it, and the folder synced.
///
/// # Errors
/// [`StoreError::Io`]; the old file stands.
pub fn write_atomically(path: &Path, data: &[u8]) -> Result<(), StoreError> {
    // Two processes may put the same file in place, one taking over from the other.
    let temporary = path.with_extension(format!("tmp{}", std::process::id()));
    let write = || -> io::Result<()> {
        let mut file = File::create(&temporary)?;
        file.write_all(data)?;
        file.sync_all()?;
        fs::rename(&temporary, path)
    };
    write().map_err(io_at(path))?;
    sync_dir(path.parent().unwrap_or(Path::new(".")))
}

#[cfg(test)]
mod tests;
