//! The files of a state directory: opening and checking, appending, compaction.
//!
//! Everything here blocks on the disk. [`Log::append`] returns once the batch is on disk (`fdatasync`), so a
//! batch for which it returned `Ok` is *acknowledged*: it survives any crash or power loss.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use super::record::{self, MAX_PAYLOAD_BYTES, Read};

/// How a directory with a corrupt record is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Fails with the offset of the record.
    Strict,
    /// Opens with the records before the corrupt one, starting from the newest valid snapshot. The corrupt file
    /// is kept under the extension `.corrupt`. Only for an operator's explicit request: acknowledged records
    /// after the corrupt one are lost.
    LastGoodSnapshot,
}

/// An error of a state directory.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A system call failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// A record differs from what was written.
    #[error("{}: corrupt record at offset {offset}: {what}", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Offset of the start of the record, in bytes.
        offset: u64,
        /// What is wrong with the record.
        what: String,
    },
    /// Another process has the directory open.
    #[error("{}: in use by another process", .0.display())]
    InUse(PathBuf),
    /// The disk or the configured limit is full. Acknowledged records are kept, and reads continue.
    #[error("{}: full: {needed} bytes more than the {limit} allowed", path.display())]
    Full {
        /// The directory.
        path: PathBuf,
        /// Bytes by which the batch exceeds the limit, or its size where the disk itself was full.
        needed: u64,
        /// The limit in bytes; 0 where the disk itself was full.
        limit: u64,
    },
    /// After an earlier failure the end of the log is unknown until the directory is reopened.
    #[error("{}: closed to writes after a failed sync", .0.display())]
    Poisoned(PathBuf),
    /// A payload of more than [`MAX_PAYLOAD_BYTES`].
    #[error("a record of {0} bytes")]
    TooLong(usize),
}

fn io_at(path: &Path) -> impl FnOnce(io::Error) -> StoreError + '_ {
    move |source| StoreError::Io { path: path.to_owned(), source }
}

/// An opened directory and its contents.
#[derive(Debug)]
pub struct Opened {
    /// The log, ready for appends after the existing records.
    pub log: Log,
    /// The state that the records build on, if there was a snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The payloads after the snapshot, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a torn last record that were cut off.
    pub cut: u64,
}

/// An open state directory; locked until this is dropped.
#[derive(Debug)]
pub struct Log {
    dir: PathBuf,
    file: File,
    path: PathBuf,
    /// The sequence number of the last record.
    sequence: u64,
    /// The sequence number of the snapshot that this generation builds on.
    base: u64,
    length: u64,
    limit: Option<u64>,
    poisoned: bool,
    _lock: Option<File>,
}

/// The contents of a directory, as returned by [`inspect`].
#[derive(Debug)]
pub struct Contents {
    /// The sequence number of the last record in the newest snapshot; 0 without one.
    pub base: u64,
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The payloads after the snapshot, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Size of the log file, in bytes.
    pub log_bytes: u64,
    /// Bytes of a torn last record, which opening the directory will cut off.
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

/// The generations of a directory, oldest first. Generation 0 is always listed and has no snapshot.
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

/// Reads one generation. Stops at a corrupt record in its log and returns the error with the records before it.
fn read_generation(dir: &Path, base: u64) -> Result<(Generation, Option<StoreError>), StoreError> {
    let mut snapshot = None;
    if base > 0 {
        let path = snapshot_path(dir, base);
        let data = read_file(&path)?.unwrap_or_default();
        match record::read(&data, 0) {
            Read::Complete { sequence, payload, next }
                if sequence == base && next == data.len() =>
            {
                snapshot = Some(payload.to_vec());
            }
            Read::Corrupt(what) => return Err(corrupt(&path, 0, what)),
            // A snapshot is complete when it is renamed into place, so an incomplete one was damaged later.
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
        tracing::error!(error = %failed, "snapshot is corrupt; trying an older one");
        let backup = snapshot_path(dir, base).with_extension("corrupt");
        fs::rename(snapshot_path(dir, base), &backup).map_err(io_at(&backup))?;
        first.get_or_insert(failed);
    }
    Err(first.unwrap_or_else(|| corrupt(dir, 0, "no generation")))
}

/// Checks every record of a directory without changing anything.
///
/// # Errors
/// [`StoreError::Corrupt`] with the file and offset, [`StoreError::Io`] where it can't be read.
pub fn inspect(dir: &Path) -> Result<Contents, StoreError> {
    let Generation { base, snapshot, records, valid_bytes, file_bytes } =
        load_newest(dir, Recovery::Strict)?;
    Ok(Contents { base, snapshot, records, log_bytes: file_bytes, torn: file_bytes - valid_bytes })
}

fn sync_dir(dir: &Path) -> Result<(), StoreError> {
    File::open(dir).and_then(|d| d.sync_all()).map_err(io_at(dir))
}

impl Log {
    /// Opens `dir`, creating it if necessary, and checks every record in it. A torn last record is cut off and
    /// logged. `limit` is the maximum size of one generation's log in bytes, if any.
    ///
    /// # Errors
    /// [`StoreError::Corrupt`] under [`Recovery::Strict`], [`StoreError::InUse`] while another process has it
    /// open, [`StoreError::Io`] otherwise.
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

    /// The sequence number of the last record.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Size of the log since the last snapshot, in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Bytes left under the limit, if there is one.
    pub fn remaining(&self) -> Option<u64> {
        self.limit.map(|limit| limit.saturating_sub(self.length))
    }

    /// Writes the payloads as one batch and waits until they are on disk. On an error none of them counts as
    /// written, and earlier records are kept.
    ///
    /// # Errors
    /// [`StoreError::Full`] where the limit is reached or the disk is full; later appends may succeed.
    /// [`StoreError::TooLong`] for an oversized payload. [`StoreError::Io`] for other failures of the disk.
    /// [`StoreError::Poisoned`] after a failure that left the end of the log unknown.
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
            // Part of the batch may have been written: truncate the file to its last complete record.
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
            // The kernel may have dropped the unsynced pages, so a later sync that succeeds would prove
            // nothing. The next start must not find the records in the page cache either.
            self.poisoned = true;
            let _ = self.file.set_len(self.length);
            return Err(StoreError::Io { path: self.path.clone(), source });
        }
        self.length = after;
        self.sequence += payloads.len() as u64;
        Ok(())
    }

    /// Starts a new generation from `state`, which must include everything that was appended. The previous
    /// generation is kept, older ones are removed.
    ///
    /// # Errors
    /// [`StoreError::Io`]; the current generation stays in use. [`StoreError::TooLong`] for an oversized state.
    /// [`StoreError::Poisoned`] after a failure that left the end of the log unknown.
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
        // A file of this name may be left from an attempt that failed.
        let _ = fs::remove_file(&log);
        let file = OpenOptions::new().create(true).append(true).open(&log).map_err(io_at(&log))?;
        file.sync_all().map_err(io_at(&log))?;
        let snapshot = snapshot_path(&self.dir, base);
        if let Err(error) = write_atomically(&snapshot, &data) {
            // If the snapshot exists despite the error, the next start begins from it and would not read what
            // is appended to the old log from here on.
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

/// Replaces the file at `path` with `data` so that a reader finds either the old or the new file, complete:
/// writes and syncs a temporary file, renames it over the old one and syncs the directory.
///
/// # Errors
/// [`StoreError::Io`]; the old file is kept, unless only the sync of the directory failed.
pub fn write_atomically(path: &Path, data: &[u8]) -> Result<(), StoreError> {
    // Includes the process id, as two processes may write the same file while one takes over from the other.
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
