//! Whether another process serves the same address: two share it while one replaces the other.

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

/// The kernel's buffers on a connection, each way. Left to itself it keeps megabytes for one slow reader, which is
/// memory too; and no progress could be seen until most of them had gone.
pub const SOCKET_BUFFER_BYTES: u32 = 128 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Listens where an older process of this program may still listen too.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    // Inherited by what is accepted.
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES as usize)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES as usize)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// What a process says of itself by the name of its mark.
const SERVING: &str = "serves";
const ENDING: &str = "ends";
/// How long connections that are coming up here have, once new ones are led to another process.
const REDIRECT_SETTLE_TIME: Duration = Duration::from_millis(100);
/// How long one process waits while another ends at the address, and how often it looks.
const TURN_TIMEOUT: Duration = Duration::from_millis(300);
const TURN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// No index in a group of listeners: the kernel goes by its hash.
const NO_REDIRECT: u32 = u32::MAX;

/// This process's word that it serves an address: a file that it holds locked for as long as it lives. A file, for
/// a process that is replaced hears of it from nobody: its successor knows neither its id nor where its operators
/// call. Locked, for one that was killed leaves its file behind, and succeeds nobody.
pub struct ProcessRegistration {
    folder: PathBuf,
    address: String,
    /// When this process began, and its id: marks sort by it in the order in which their processes began.
    name: String,
    _locked: Option<File>,
}

impl ProcessRegistration {
    /// Marks this process as one that serves what `listener` is bound to.
    pub fn register(listen: SocketAddr, listener: &TcpListener) -> Self {
        let address = listen.to_string().replace(|c: char| !c.is_ascii_alphanumeric(), "-");
        let name = format!("{}-{}", start_time(), std::process::id());
        let mut registration = Self { folder: std::env::temp_dir(), address, name, _locked: None };
        let locked = create_locked(&registration.folder, &registration.file(SERVING)).inspect_err(|cause| {
            let folder = registration.folder.display();
            tracing::warn!(%cause, %folder, "no mark left for a process replaced");
        });
        registration._locked = locked.ok();
        // One that ended before may have left its word on where new connections go.
        if registration.processes().len() > 1 {
            let _ = attach_redirect(listener, NO_REDIRECT);
        }
        registration
    }

    /// Says that this process ends, and finds those that serve the address on. In doubt there is none. Of two that
    /// end at once neither counts for the other: each says so first.
    pub fn begin_handover(self) -> Handover {
        let _ = std::fs::rename(self.path(SERVING), self.path(ENDING));
        let group = self.processes();
        Handover { registration: self, group }
    }

    fn prefix(&self, word: &str) -> String {
        format!("hollowpaddle-{word}-{}-", self.address)
    }

    fn file(&self, word: &str) -> String {
        format!("{}{}", self.prefix(word), self.name)
    }

    fn path(&self, word: &str) -> PathBuf {
        self.folder.join(self.file(word))
    }

    /// All processes that live at the address, this one too, in the order in which they began.
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
        // Renamed while the folder is read, one may show up under either word, and ends.
        found.dedup_by(|a, b| {
            let same = a.name == b.name;
            b.serves &= !same || a.serves;
            same
        });
        found
    }
}

/// A process at the address, by its mark.
#[derive(Clone, Debug)]
struct Process {
    name: String,
    serves: bool,
}

/// The end of this process's service at an address, until it is dropped.
pub struct Handover {
    registration: ProcessRegistration,
    /// Those that listen at the address in the kernel's order: who begins is its last, and where one leaves, the last
    /// takes its index.
    group: Vec<Process>,
}

impl Drop for Handover {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.registration.path(ENDING));
    }
}

impl Handover {
    /// Whether another process goes on serving the address.
    pub fn has_successor(&self) -> bool {
        self.group.iter().any(|process| process.serves)
    }

    /// Leads new connections to a process that stays, and waits until those that are coming up here have come: what a
    /// close finds in its queue is reset. What is returned has to outlive the listener. Where the kernel can't be
    /// told, or a third process has left the address before, they are spread by hash until the close, as always.
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
                tracing::debug!(%cause, "connections are not led away");
                break;
            }
            target = Some(to);
            sleep(REDIRECT_SETTLE_TIME).await;
        }
        turn
    }

    /// Waits while another process ends at the address, so that the group is what it was found to be.
    async fn wait_for_turn(&self) -> Option<File> {
        let file =
            File::create(self.registration.folder.join(self.registration.prefix("turn"))).ok()?;
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

    /// Takes over who has come, gone, or ends by now.
    fn refresh_group(&mut self) {
        let mut now = self.registration.processes();
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

/// When this process started, in nanoseconds of the system's monotonic clock: the wall clock may be stepped between two
/// starts. The first digit puts it behind all that older versions wrote by the wall clock.
fn start_time() -> String {
    let since_boot = clock_gettime(ClockId::CLOCK_MONOTONIC).map(Duration::from);
    format!("1{:023}", since_boot.unwrap_or_default().as_nanos())
}

/// Leads all new connections of the address to the listener at this index of its group.
fn attach_redirect(listener: &TcpListener, index: u32) -> nix::Result<()> {
    // The program's whole text: "return index".
    let code = (libc::BPF_RET | libc::BPF_K) as u16;
    let mut text = [libc::sock_filter { code, jt: 0, jf: 0, k: index }];
    let program = libc::sock_fprog { len: 1, filter: text.as_mut_ptr() };
    setsockopt(listener, sockopt::AttachReusePortCbpf, &program)
}

/// Makes a file that is locked before others can find it.
fn create_locked(folder: &Path, name: &str) -> std::io::Result<File> {
    let unfinished = folder.join(format!(".{name}"));
    let file = File::create(&unfinished)?;
    file.try_lock()?;
    std::fs::rename(unfinished, folder.join(name))?;
    Ok(file)
}

/// Whether the process that made this mark lives; what a dead one left is removed.
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
