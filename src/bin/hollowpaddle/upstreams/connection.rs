//! One connection to an upstream: counts the bytes written, enforces the guard before writes, and checks for unread
//! input.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

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
use crate::memory::{HeadGate, PieceReader};

/// Counts the bytes handed to the kernel on a connection, and those read from it. A request that was not handed over cannot have run.
#[derive(Clone, Default)]
pub(super) struct Written {
    pub(super) bytes: Rc<Cell<u64>>,
    /// The value of `bytes` at which the attempt in flight is written completely.
    pub(super) complete_at: Rc<Cell<Option<u64>>>,
    /// The number of attempts written completely, on all connections.
    pub(super) attempts_sent: Counter,
    /// The guard of an attempt whose first byte is not written yet.
    pub(super) guard: Rc<RefCell<Option<Rc<AttemptGuard>>>>,
    /// Whether the attempt in flight was permitted by its guard.
    pub(super) permitted: Rc<Cell<bool>>,
    pub(super) violations: Violations,
    /// The number of bytes read since the request in flight began.
    pub(super) response_bytes: Rc<Cell<u64>>,
    /// Whether a request was sent whose response head is not read yet.
    pub(super) awaits_head: Rc<Cell<bool>>,
    pub(super) peer: Peer,
    /// Whether a long head was sent or received, for which the connection holds much memory.
    pub(super) long_head: Rc<Cell<bool>>,
}

impl Written {
    /// Performs a write; the first write of an attempt is checked by its guard.
    pub(super) fn guarded(
        &self,
        write: impl FnOnce() -> Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        let guard = self.guard.take();
        if let Some(guard) = &guard {
            guard.check().map_err(std::io::Error::other)?;
        }
        let write_start = Instant::now();
        let Poll::Ready(written) = write() else {
            self.guard.replace(guard);
            return Poll::Pending;
        };
        let written = written?;
        if let Some(guard) = guard {
            self.permitted.set(true);
            guard.record_start(write_start);
        }
        if !self.permitted.get() {
            AttemptGuard::record_unguarded(&self.violations);
        }
        self.add(written);
        Poll::Ready(Ok(written))
    }

    fn add_received(&self, bytes: usize) {
        self.response_bytes.set(self.response_bytes.get() + bytes as u64);
    }

    pub(super) fn add(&self, n: usize) {
        self.bytes.set(self.bytes.get() + n as u64);
        if self.complete_at.get().is_some_and(|at| self.bytes.get() >= at) {
            self.complete_at.set(None);
            self.attempts_sent.inc();
        }
    }
}

/// A stream that counts the bytes written and checks the guard.
pub(super) struct CountedIo {
    pub(super) inner: TokioIo<Socket>,
    pub(super) written: Written,
    pub(super) reader: PieceReader,
    pub(super) head_gate: HeadGate,
}

impl Read for CountedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let in_head = self.written.awaits_head.get();
        if in_head {
            ready!(self.head_gate.poll_open(cx));
            self.written
                .long_head
                .set(self.written.long_head.get() || self.head_gate.is_reserved());
        } else {
            self.head_gate.restart();
        }
        let stream = &mut *self;
        let bytes = ready!(stream.reader.poll_read(stream.inner.inner_mut(), cx, &mut buf))?;
        if in_head {
            self.head_gate.record(bytes);
        }
        self.written.add_received(bytes);
        Poll::Ready(Ok(()))
    }
}

impl Write for CountedIo {
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

/// A connection that is idle or in use by one attempt.
pub(super) struct UpstreamConnection {
    /// The body is boxed, since hyper's channel has room for 32 requests.
    pub(super) sender: SendRequest<Box<UpstreamRequestBody>>,
    pub(super) written: Written,
    pub(super) address: SocketAddr,
    pub(super) idle_since: Instant,
    pub(super) _connection: AbortOnDrop,
}

impl UpstreamConnection {
    /// Checks the socket for input or a close that the connection's task has not been woken for yet. Without this, a
    /// request that came at the same moment as the upstream's close was written first, and failed with a reset.
    pub(super) fn unread_input(&self) -> Unread {
        self.written.peer.unread()
    }
}

/// Counts an open connection until it is dropped.
pub(super) struct OpenConnectionGuard(Rc<Cell<usize>>);

impl OpenConnectionGuard {
    pub(super) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
