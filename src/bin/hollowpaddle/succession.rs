//! Whether another process serves the same address: two share it while one replaces the other.

use std::fs::{File, TryLockError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

/// The kernel's buffers on a connection, each way. Left to itself it keeps megabytes for one slow reader, which is
/// memory too; and no progress could be seen until most of them had gone.
pub const SOCKET_BUFFER: u32 = 128 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Listens where an older process of this program may still listen too.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    // Inherited by what is accepted.
    socket.set_send_buffer_size(SOCKET_BUFFER as usize)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER as usize)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// This process's word that it serves an address: a file that it holds locked for as long as it lives. A file, for
/// a process that is replaced hears of it from nobody: its successor knows neither its id nor where its operators
/// call. Locked, for one that was killed leaves its file behind, and succeeds nobody.
pub struct Mark {
    folder: PathBuf,
    /// What the names of all marks at this address begin with.
    prefix: String,
    name: String,
    _locked: Option<File>,
}

impl Mark {
    /// Marks this process as one that serves `listen`.
    pub fn leave(listen: SocketAddr) -> Self {
        let at = listen.to_string().replace(|c: char| !c.is_ascii_alphanumeric(), "-");
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (folder, prefix) = (std::env::temp_dir(), format!("hollowpaddle-serves-{at}-"));
        let name = format!("{prefix}{}-{}", std::process::id(), since.as_nanos());
        let locked = lock(&folder, &name).inspect_err(|cause| {
            tracing::warn!(%cause, folder = %folder.display(), "no mark left for a process replaced");
        });
        Self { folder, prefix, name, _locked: locked.ok() }
    }

    /// Takes the mark away.
    pub fn take_back(&self) {
        let _ = std::fs::remove_file(self.folder.join(&self.name));
    }

    /// Takes the mark away, and tells whether another process goes on serving the address. In doubt there is none.
    /// Of two that end at once neither counts for the other: each takes its own away first.
    pub fn succeeded(&self) -> bool {
        self.take_back();
        let Ok(files) = std::fs::read_dir(&self.folder) else { return false };
        let files = files.filter_map(Result::ok);
        let mut others =
            files.filter(|f| f.file_name().to_string_lossy().starts_with(&self.prefix));
        others.any(|other| held(&other.path()))
    }
}

/// Makes a file that is locked before others can find it.
fn lock(folder: &Path, name: &str) -> std::io::Result<File> {
    let unfinished = folder.join(format!(".{name}"));
    let file = File::create(&unfinished)?;
    file.try_lock()?;
    std::fs::rename(unfinished, folder.join(name))?;
    Ok(file)
}

/// Whether the process that made this mark lives; what a dead one left is removed.
fn held(mark: &Path) -> bool {
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
