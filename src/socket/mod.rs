//! TCP connections to clients and upstreams, with queries of the kernel's view of the peer.
//!
//! Short reads and writes and interrupted calls (EINTR) are normal on Linux. Tokio's stream treats a short one as "not
//! ready" and waits for an edge that never comes; hyper treats EINTR as the end of the connection. Here only
//! `WouldBlock` clears readiness, and a call that failed on a connection that is still open is retried.

use std::io::{ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd};
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use nix::errno::Errno;
use nix::libc;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::sys::socket::{MsgFlags, recv};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Consecutive failed calls on an open connection after which the error is returned.
const MAX_CONSECUTIVE_FAILURES: u32 = 64;

/// Delay after an accept that failed for lack of descriptors or memory, where an immediate retry would be a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum number of unread bytes that are looked at for their end; more than a receive buffer of a proxy holds.
const MAX_PEEK_BYTES: usize = 512 << 10;

/// Errors of accept that concern a single connection or call (accept(2)); the next accept follows without a delay.
const PER_CONNECTION_ERRORS: [i32; 12] = [
    libc::EINTR,
    libc::ECONNABORTED,
    libc::EPERM,
    libc::EPROTO,
    libc::ENOPROTOOPT,
    libc::EOPNOTSUPP,
    libc::ENONET,
    libc::ENETDOWN,
    libc::ENETUNREACH,
    libc::EHOSTDOWN,
    libc::EHOSTUNREACH,
    libc::ETIMEDOUT,
];

/// Whether an accept error does not affect the connections queued behind it.
fn is_per_connection_error(cause: &std::io::Error) -> bool {
    cause.raw_os_error().is_some_and(|code| PER_CONNECTION_ERRORS.contains(&code))
}

/// Waits after a failed accept for as long as its error requires.
pub async fn after_failed_accept(cause: &std::io::Error) {
    if is_per_connection_error(cause) {
        yield_now().await;
    } else {
        sleep(ACCEPT_BACKOFF).await;
    }
}

/// What is pending to be read on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Neither data nor the end of the stream.
    Nothing,
    /// At least one byte; the end of the stream may follow.
    Bytes,
    /// The peer's close, or a reset.
    End,
}

/// A connection, shared by the task that serves it and those that observe it.
#[derive(Clone, Debug)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// Wraps a connection that is registered with the runtime.
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// A handle that observes the peer and does not keep the connection open.
    pub fn peer(&self) -> Peer {
        Peer(Rc::downgrade(&self.0))
    }

    /// What is pending to be read. Asks the kernel, because the runtime's readiness state may be stale.
    pub fn unread(&self) -> Unread {
        unread(&self.0)
    }

    /// Whether the peer has closed its write side or the connection, according to the kernel; bytes received before
    /// that may still be unread.
    pub fn peer_closed(&self) -> bool {
        peer_closed(&self.0)
    }

    /// Whether a failed call may be retried because the connection is still open.
    fn is_transient(&self, cause: &std::io::Error) -> bool {
        cause.kind() == ErrorKind::Interrupted || !self.peer_closed()
    }

    /// Repeats a call until it succeeds, would block, or the connection itself has failed. Polls readiness with
    /// `ready`.
    fn call<T>(
        &self,
        cx: &mut Context<'_>,
        ready: impl Fn(&TcpStream, &mut Context<'_>) -> Poll<std::io::Result<()>>,
        mut call: impl FnMut(&TcpStream) -> std::io::Result<T>,
    ) -> Poll<std::io::Result<T>> {
        let mut failures = 0;
        loop {
            ready!(ready(&self.0, cx))?;
            match call(&self.0) {
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => {}
                Err(cause) if failures < MAX_CONSECUTIVE_FAILURES && self.is_transient(&cause) => {
                    failures += 1;
                }
                result => return Poll::Ready(result),
            }
        }
    }
}

/// A weak handle to a connection's peer.
#[derive(Clone, Debug, Default)]
pub struct Peer(Weak<TcpStream>);

impl Peer {
    /// Whether the peer has closed its write side or the connection, or the connection is closed on this side.
    pub fn has_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|stream| peer_closed(&stream))
    }

    /// What is pending to be read; [`Unread::End`] if the connection is closed on this side.
    pub fn unread(&self) -> Unread {
        self.0.upgrade().map_or(Unread::End, |stream| unread(&stream))
    }
}

impl Peer {
    /// Sets the size of the kernel's receive buffer. It should only grow: a peer that is told of less room stalls.
    pub fn set_receive_buffer(&self, bytes: usize) {
        if let Some(stream) = self.0.upgrade() {
            // A kernel that refuses keeps the smaller buffer.
            let _ = SockRef::from(&*stream).set_recv_buffer_size(bytes);
        }
    }

    /// The number of bytes received and not read; 0 if the kernel does not tell.
    pub fn unread_bytes(&self) -> u64 {
        let Some(stream) = self.0.upgrade() else { return 0 };
        rustix::io::ioctl_fionread(&*stream).unwrap_or(0)
    }

    /// Reads what is there, past the runtime: the task that waits for input on the connection is not woken for it.
    ///
    /// # Errors
    /// Those of recv(2); [`ErrorKind::WouldBlock`] if nothing is there, [`ErrorKind::NotConnected`] if the connection is closed
    /// on this side.
    pub fn read_now(&self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let stream = self.0.upgrade().ok_or(ErrorKind::NotConnected)?;
        loop {
            match recv(stream.as_raw_fd(), buffer, MsgFlags::MSG_DONTWAIT) {
                Err(Errno::EINTR) => {}
                result => return Ok(result?),
            }
        }
    }

    /// The last bytes received, given the last bytes `read`.
    pub fn received_tail(&self, read: Tail) -> Tail {
        let mut tail = read;
        tail.append(&self.peek_unread().unwrap_or_default());
        tail
    }

    /// The bytes received and not read, as far as they are looked at.
    fn peek_unread(&self) -> Option<Vec<u8>> {
        let unread = usize::try_from(self.unread_bytes()).ok().filter(|bytes| *bytes > 0)?;
        let stream = self.0.upgrade()?;
        let mut bytes = vec![0; unread.min(MAX_PEEK_BYTES)];
        loop {
            match recv(stream.as_raw_fd(), &mut bytes, MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT)
            {
                Err(Errno::EINTR) => {}
                Err(_) => return None,
                Ok(peeked) => {
                    bytes.truncate(peeked);
                    return Some(bytes);
                }
            }
        }
    }
}

/// The last bytes of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tail([u8; EMPTY_LINE.len()]);

/// The end of a line and an empty line after it.
const EMPTY_LINE: [u8; 4] = *b"\r\n\r\n";

impl Tail {
    /// Appends what follows on the stream.
    pub fn append(&mut self, bytes: &[u8]) {
        let new = &bytes[bytes.len().saturating_sub(self.0.len())..];
        self.0.rotate_left(new.len());
        let kept = self.0.len() - new.len();
        self.0[kept..].copy_from_slice(new);
    }

    /// Whether the stream ends with an empty line.
    pub fn is_empty_line(&self) -> bool {
        self.0 == EMPTY_LINE
    }
}

fn unread(stream: &TcpStream) -> Unread {
    loop {
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => return Unread::End,
            Ok(_) => return Unread::Bytes,
            Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
            Err(cause) if is_temporary(&cause) => return Unread::Nothing,
            Err(_) => return Unread::End,
        }
    }
}

/// Whether a call failed for a temporary lack of memory or buffers, or would have blocked.
fn is_temporary(cause: &std::io::Error) -> bool {
    let out_of_memory = [libc::ENOBUFS, libc::ENOMEM].map(Some).contains(&cause.raw_os_error());
    out_of_memory || cause.kind() == ErrorKind::WouldBlock
}

fn peer_closed(stream: &TcpStream) -> bool {
    poll_reports_close(stream) || unread(stream) == Unread::End || runtime_reports_close(stream)
}

/// Asks the kernel, which reports a close also if unread bytes precede it.
fn poll_reports_close(stream: &TcpStream) -> bool {
    // POLLERR and POLLHUP are always reported.
    let closes = PollFlags::from_bits_retain(libc::POLLRDHUP);
    let mut asked = [PollFd::new(stream.as_fd(), closes)];
    loop {
        match poll(&mut asked, PollTimeout::ZERO) {
            Ok(ready) => return ready > 0,
            Err(Errno::EINTR) => {}
            Err(_) => return false,
        }
    }
}

/// Whether the runtime's readiness state includes a close.
fn runtime_reports_close(stream: &TcpStream) -> bool {
    let state =
        pin!(stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
    matches!(state, Poll::Ready(Ok(state)) if state.is_read_closed())
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = self.call(cx, TcpStream::poll_read_ready, |s| s.try_read_buf(buffer));
        read.map_ok(drop)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.call(cx, TcpStream::poll_write_ready, |s| s.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.call(cx, TcpStream::poll_write_ready, |s| s.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
