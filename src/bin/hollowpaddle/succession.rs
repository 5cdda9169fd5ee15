//! Handover of a listening address between processes: two share it (`SO_REUSEPORT`) while one replaces the other.
//!
//! Each process registers itself at the address by a locked marker file in the temporary directory.

use std::fs::{File, TryLockError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use nix::libc;
use nix::sys::socket::{setsockopt, sockopt};
use nix::time::{ClockId, clock_gettime};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Size of the kernel's send and receive buffers of a connection. With auto-tuning the kernel may buffer megabytes for
/// one slow reader: that takes memory, and no progress is visible until most of it was sent.
pub const SOCKET_BUFFER_BYTES: u32 = 128 << 10;
/// Size of the kernel's receive buffer of a client's connection. What a client has written beyond it is unseen, and the client
/// learns of free room in steps of a part of it; a close is seen only once all bytes before it are received.
const CLIENT_RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Listens on `address`, on which another process of this program may be listening too.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    // Accepted connections inherit the buffer sizes.
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES as usize)?;
    socket.set_recv_buffer_size(CLIENT_RECEIVE_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Words in a marker file's name that give the state of its process.
const SERVING: &str = "serves";
const ENDING: &str = "ends";
/// Time for connections that are being established here, once new ones are redirected to another process.
const REDIRECT_SETTLE_TIME: Duration = Duration::from_millis(100);
/// How long a process waits for another that is ending at the address, and the interval of its checks.
const TURN_TIMEOUT: Duration = Duration::from_millis(300);
const TURN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// An index outside any listener group: the kernel falls back to selection by hash.
const NO_REDIRECT: u32 = u32::MAX;

/// This process's registration at an address: a marker file that it keeps locked for as long as it runs. A file is
/// used because nobody notifies a process that it is replaced: its successor knows neither its process id nor its
/// management address. The lock distinguishes live processes from killed ones, which leave their files behind and must
/// not count as successors.
pub struct ProcessRegistration {
    place: Place,
    /// Start time and process id; marker files sort by it in the order in which their processes started.
    name: String,
    _locked: Option<File>,
}

impl ProcessRegistration {
    /// Registers this process as serving the address of `listener`. A failure is logged; there is no handover then.
    pub fn register(listen: SocketAddr, listener: &TcpListener) -> Self {
        let address = listen.to_string().replace(|c: char| !c.is_ascii_alphanumeric(), "-");
        let name = format!("{}-{}", start_time(), std::process::id());
        let place = Place { folder: std::env::temp_dir(), address };
        let mut registration = Self { place, name, _locked: None };
        let folder = &registration.place.folder;
        let locked =
            create_locked(folder, &registration.file(SERVING)).inspect_err(|cause| {
                let folder = folder.display();
                tracing::warn!(%cause, %folder, "cannot create marker file; no handover to this process");
            });
        registration._locked = locked.ok();
        // A process that has ended may have left its redirect program on the listener group.
        if registration.place.processes().len() > 1 {
            let _ = attach_redirect(listener, NO_REDIRECT);
        }
        registration
    }

    /// Marks this process as ending and lists the processes at the address; on an error the list is empty. Since the
    /// marker file is renamed first, two processes that end at the same time do not take each other for successors.
    pub fn begin_handover(self) -> Handover {
        let _ = std::fs::rename(self.path(SERVING), self.path(ENDING));
        let group = self.place.processes();
        Handover { registration: self, group }
    }

    /// The other processes at the address.
    pub fn other_processes(&self) -> OtherProcesses {
        OtherProcesses { place: self.place.clone(), own_name: self.name.clone() }
    }

    fn file(&self, word: &str) -> String {
        format!("{}{}", self.place.prefix(word), self.name)
    }

    fn path(&self, word: &str) -> PathBuf {
        self.place.folder.join(self.file(word))
    }
}

/// The processes other than this one that run at its address: the one that it replaces, or that replaces it.
pub struct OtherProcesses {
    place: Place,
    own_name: String,
}

impl OtherProcesses {
    /// The private memory that they hold together, in bytes.
    pub fn private_memory(&self) -> usize {
        let others = self.place.processes().into_iter().filter(|p| p.name != self.own_name);
        others.filter_map(|process| process.private_memory()).sum()
    }
}

/// An address with the folder of its processes' marker files.
#[derive(Clone)]
struct Place {
    folder: PathBuf,
    address: String,
}

impl Place {
    fn prefix(&self, word: &str) -> String {
        format!("hollowpaddle-{word}-{}-", self.address)
    }

    /// All live processes at the address, including this one, in the order in which they started.
    fn processes(&self) -> Vec<Process> {
        let Ok(files) = std::fs::read_dir(&self.folder) else { return Vec::new() };
        let (serves, ends) = (self.prefix(SERVING), self.prefix(ENDING));
        let read = |file: std::fs::DirEntry| {
            let word = file.file_name();
            let word = word.to_string_lossy();
            let name = word.strip_prefix(&serves).or_else(|| word.strip_prefix(&ends))?.to_owned();
            let serves = word.starts_with(&serves);
            is_locked(&file.path()).then_some(Process { name, serves })
        };
        let mut found: Vec<_> = files.filter_map(|file| read(file.ok()?)).collect();
        found.sort_by(|a, b| a.name.cmp(&b.name));
        // A file that is renamed while the directory is read may be listed under both names; its process is ending.
        found.dedup_by(|a, b| {
            let same = a.name == b.name;
            b.serves &= !same || a.serves;
            same
        });
        found
    }
}

/// A process at the address, as its marker file describes it.
#[derive(Clone, Debug)]
struct Process {
    name: String,
    serves: bool,
}

impl Process {
    /// The private memory of the process in bytes; `None` if the system does not tell.
    fn private_memory(&self) -> Option<usize> {
        let (_, id) = self.name.rsplit_once('-')?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kib = line.trim().strip_suffix(" kB")?.trim().parse::<usize>().ok()?;
        kib.checked_mul(1 << 10)
    }
}

/// The handover of an address by an ending process; dropping it removes the process's marker file.
pub struct Handover {
    registration: ProcessRegistration,
    /// The processes that listen on the address, in the kernel's order: a new listener is appended, and when one is
    /// closed, the last takes its index.
    group: Vec<Process>,
}

impl Drop for Handover {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.registration.path(ENDING));
    }
}

impl Handover {
    /// Whether another process continues to serve the address.
    pub fn has_successor(&self) -> bool {
        self.group.iter().any(|process| process.serves)
    }

    /// Redirects new connections to the newest process that stays, and waits until those that are being established
    /// here are queued, since closing the listener resets connections in its queue. The returned lock must outlive the
    /// listener. If the kernel rejects the program, or a third process left the address before, connections stay
    /// distributed by hash until the listener is closed.
    pub async fn redirect(&mut self, listener: &TcpListener) -> Option<File> {
        let turn = self.wait_for_turn().await;
        let mut target = None;
        loop {
            self.refresh_group();
            let stays = |(_, process): &(usize, &Process)| process.serves;
            let newest = |(_, process): &(usize, &Process)| process.name.clone();
            let to = self.group.iter().enumerate().filter(stays).max_by_key(newest);
            let Some(to) = to.and_then(|(index, _)| u32::try_from(index).ok()) else { break };
            if target == Some(to) {
                break;
            }
            if let Err(cause) = attach_redirect(listener, to) {
                tracing::debug!(%cause, "cannot redirect new connections to the other process");
                break;
            }
            target = Some(to);
            sleep(REDIRECT_SETTLE_TIME).await;
        }
        turn
    }

    /// Waits for other ending processes at the address, so that the listener group does not change meanwhile. Returns
    /// the held lock; `None` on a failure or after [`TURN_TIMEOUT`].
    async fn wait_for_turn(&self) -> Option<File> {
        let file = File::create(
            self.registration.place.folder.join(self.registration.place.prefix("turn")),
        )
        .ok()?;
        let until = Instant::now() + TURN_TIMEOUT;
        while Instant::now() < until {
            match file.try_lock() {
                Ok(()) => return Some(file),
                Err(TryLockError::WouldBlock) => sleep(TURN_POLL_INTERVAL).await,
                Err(TryLockError::Error(_)) => return None,
            }
        }
        None
    }

    /// Updates the group with the processes that have started, gone, or begun to end.
    fn refresh_group(&mut self) {
        let mut now = self.registration.place.processes();
        let mut index = 0;
        while let Some(known) = self.group.get_mut(index) {
            match now.iter().position(|process| process.name == known.name) {
                Some(found) => {
                    *known = now.remove(found);
                    index += 1;
                }
                None => drop(self.group.swap_remove(index)),
            }
        }
        self.group.append(&mut now);
    }
}

/// When this process started, in nanoseconds of the system's monotonic clock, since the wall clock may be set back
/// between two starts. The leading 1 sorts it after the wall-clock times that older versions wrote.
fn start_time() -> String {
    let since_boot = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from);
    format!("1{:023}", since_boot.unwrap_or_default().as_nanos())
}

/// Attaches a BPF program that assigns all new connections of the address to the listener at `index` of its group.
fn attach_redirect(listener: &TcpListener, index: u32) -> nix::Result<()> {
    // A single instruction: return `index`.
    let code = (libc::BPF_RET | libc::BPF_K) as u16;
    let mut text = [libc::sock_filter { code, jt: 0, jf: 0, k: index }];
    let program = libc::sock_fprog { len: 1, filter: text.as_mut_ptr() };
    setsockopt(listener, sockopt::AttachReusePortCbpf, &program)
}

/// Creates a file that is already locked when it appears under its name.
fn create_locked(folder: &Path, name: &str) -> std::io::Result<File> {
    let unfinished = folder.join(format!(".{name}"));
    let file = File::create(&unfinished)?;
    file.try_lock()?;
    std::fs::rename(unfinished, folder.join(name))?;
    Ok(file)
}

/// Whether the process that created this marker file is alive; the file of a dead process is removed.
fn is_locked(mark: &Path) -> bool {
    let Ok(file) = File::open(mark) else { return false };
    match file.try_lock_shared() {
        Err(TryLockError::WouldBlock) => true,
        Err(TryLockError::Error(_)) => false,
        Ok(()) => {
            let _ = std::fs::remove_file(mark);
            false
        }
    }
}

#[cfg(test)]
mod tests;
