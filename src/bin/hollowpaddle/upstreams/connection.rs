//! One connection to an upstream: what is written on it, by whose permission, and what its peer has said.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hollowpaddle::invariants::violations::Violations;
use hollowpaddle::socket::{Peer, Socket, Unread};
use hollowpaddle::tasks::AbortOnDrop;
use hyper::client::conn::http1::SendRequest;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use tokio::time::Instant;

use crate::bodies::UpstreamRequestBody;
use crate::guard::AttemptGuard;

/// Bytes handed to the kernel on a connection. What was not handed over cannot have run.
#[derive(Clone, Default)]
pub(super) struct Written {
    pub(super) bytes: Rc<Cell<u64>>,
    /// At so many, the attempt that is out is whole.
    pub(super) whole_at: Rc<Cell<Option<u64>>>,
    /// Attempts that were whole, on all connections.
    pub(super) tries: Counter,
    /// Of the attempt that has not begun yet.
    pub(super) guard: Rc<RefCell<Option<Rc<AttemptGuard>>>>,
    /// Whether the attempt that is out had its guard's permission.
    pub(super) permitted: Rc<Cell<bool>>,
    pub(super) violations: Violations,
}

impl Written {
    /// Writes what the guard of an attempt permits; its first bytes ask the guard.
    pub(super) fn guarded(
        &self,
        write: impl FnOnce() -> Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        let guard = self.guard.take();
        if let Some(guard) = &guard {
            guard.check().map_err(std::io::Error::other)?;
        }
        let Poll::Ready(written) = write() else {
            self.guard.replace(guard);
            return Poll::Pending;
        };
        let written = written?;
        if let Some(guard) = guard {
            self.permitted.set(true);
            guard.begun();
        }
        if !self.permitted.get() {
            AttemptGuard::unguarded(&self.violations);
        }
        self.add(written);
        Poll::Ready(Ok(written))
    }

    pub(super) fn add(&self, n: usize) {
        self.bytes.set(self.bytes.get() + n as u64);
        if self.whole_at.get().is_some_and(|at| self.bytes.get() >= at) {
            self.whole_at.set(None);
            self.tries.inc();
        }
    }
}

/// A stream that counts what is written.
pub(super) struct Counted {
    pub(super) inner: TokioIo<Socket>,
    pub(super) written: Written,
}

impl Read for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl Write for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = self.written.clone();
        written.guarded(|| Pin::new(&mut self.inner).poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = self.written.clone();
        written.guarded(|| Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// A connection that no attempt is using, or that one attempt is.
pub(super) struct Link {
    pub(super) sender: SendRequest<UpstreamRequestBody>,
    pub(super) written: Written,
    pub(super) peer: Peer,
    pub(super) address: SocketAddr,
    pub(super) idle_since: Instant,
    pub(super) _connection: AbortOnDrop,
}

impl Link {
    /// Guards against a close that has arrived and that the connection's own task has not been woken for yet:
    /// when it came in the same moment as a request, the request was written first, and was lost as a reset.
    pub(super) fn at_rest(&self) -> Unread {
        self.peer.unread()
    }
}

/// Counts a descriptor for as long as it is open.
pub(super) struct Open(Rc<Cell<usize>>);

impl Open {
    pub(super) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
