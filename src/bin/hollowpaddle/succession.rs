//! Whether a newer process listens at the same address: two share it while one replaces the other.

use std::net::SocketAddr;
use std::path::PathBuf;
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

/// The file that names the process which came last to an address. A file, for a process that is replaced
/// hears of it from nobody: its successor knows neither its id nor where its operators call.
pub struct Mark {
    path: PathBuf,
    own: String,
}

impl Mark {
    /// Marks this process as the newest at `listen`.
    pub fn leave(listen: SocketAddr) -> Self {
        let name = listen.to_string().replace(|c: char| !c.is_ascii_alphanumeric(), "-");
        let path = std::env::temp_dir().join(format!("hollowpaddle-newest-{name}"));
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own = format!("{}-{}", std::process::id(), since.as_nanos());
        if let Err(cause) = std::fs::write(&path, &own) {
            tracing::warn!(%cause, path = %path.display(), "no mark left for a process replaced");
        }
        Self { path, own }
    }

    /// Takes the mark away again, unless it is a newer process's by now.
    pub fn take_back(&self) {
        if !self.succeeded() {
            let _ = std::fs::remove_file(&self.path);
        }
    }

    /// Whether a newer process has left its mark since. In doubt there is none.
    pub fn succeeded(&self) -> bool {
        std::fs::read_to_string(&self.path).is_ok_and(|newest| newest != self.own)
    }
}
