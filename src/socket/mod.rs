//! A TCP connection of either side, and what the kernel knows of its peer.
//!
//! Short reads and writes and interrupted calls (EINTR) are ordinary results on Linux. Tokio's stream takes a short one
//! for "not ready" and waits for an edge that never comes; hyper takes EINTR for the end of the connection. Here
//! `WouldBlock` alone clears readiness, and a call that failed on a connection that still stands is made again.

use std::io::{ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::os::fd::AsFd;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use nix::errno::Errno;
use nix::libc;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Failed calls in a row on a connection that still stands, before the failure is believed.
const MAX_CONSECUTIVE_FAILURES: u32 = 64;

/// Wait after an accept that failed for want of descriptors or memory: a retry at once would be a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Failures of accept that concern the one connection, or the call alone (accept(2)): the next is accepted at once.
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

/// Whether a failed accept says nothing of the connections behind it.
fn is_per_connection_error(cause: &std::io::Error) -> bool {
    cause.raw_os_error().is_some_and(|code| PER_CONNECTION_ERRORS.contains(&code))
}

/// Waits after a failed accept until the next is worth a try.
pub async fn after_failed_accept(cause: &std::io::Error) {
    if is_per_connection_error(cause) {
        yield_now().await;
    } else {
        sleep(ACCEPT_BACKOFF).await;
    }
}

/// What waits to be read on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// No byte, and no end.
    Nothing,
    /// One byte or more; an end may follow them.
    Bytes,
    /// The peer's close, or a reset.
    End,
}

/// A connection, shared by whoever serves it and whoever looks after it.
#[derive(Clone, Debug)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// Takes over a connection of the runtime's.
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// A view of the peer that does not keep the connection open.
    pub fn peer(&self) -> Peer {
        Peer(Rc::downgrade(&self.0))
    }

    /// What waits to be read, as the kernel knows it now: what the runtime has seen may be a moment old.
    pub fn unread(&self) -> Unread {
        unread(&self.0)
    }

    /// Whether the peer has closed its end, or all of the connection, as the kernel knows it now; bytes before that
    /// may be unread.
    pub fn peer_closed(&self) -> bool {
        peer_closed(&self.0)
    }

    /// Whether a failed call says nothing of the connection.
    fn is_transient(&self, cause: &std::io::Error) -> bool {
        cause.kind() == ErrorKind::Interrupted || !self.peer_closed()
    }

    /// Makes a call until it succeeds, has to wait, or its failure is the connection's. Waits for readiness with
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

/// The peer of a connection, for as long as the connection is open here.
#[derive(Clone, Debug, Default)]
pub struct Peer(Weak<TcpStream>);

impl Peer {
    /// Whether the peer has closed its end, or the connection has ended here.
    pub fn has_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|stream| peer_closed(&stream))
    }

    /// What waits to be read; the end, where the connection has ended here.
    pub fn unread(&self) -> Unread {
        self.0.upgrade().map_or(Unread::End, |stream| unread(&stream))
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

/// Whether a call failed by what the system lacks at the moment, or would have had to wait.
fn is_temporary(cause: &std::io::Error) -> bool {
    let out_of_memory = [libc::ENOBUFS, libc::ENOMEM].map(Some).contains(&cause.raw_os_error());
    out_of_memory || cause.kind() == ErrorKind::WouldBlock
}

fn peer_closed(stream: &TcpStream) -> bool {
    poll_reports_close(stream) || unread(stream) == Unread::End || runtime_reports_close(stream)
}

/// Asks the kernel, which tells a close also behind unread bytes.
fn poll_reports_close(stream: &TcpStream) -> bool {
    // An error and a full hang-up are told unasked.
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

/// What the runtime has seen of it.
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
