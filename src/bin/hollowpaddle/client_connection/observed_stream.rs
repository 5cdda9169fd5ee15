//! The stream that hyper reads a client's requests from and writes its answers to.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hollowpaddle::socket::Socket;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use super::{ClientConnection, State};
use crate::engine::Handle;
use crate::memory::{HeadGate, PieceReader};

/// A stream that records reads and writes in the connection's state.
pub struct ObservedStream {
    pub inner: TokioIo<Socket>,
    pub connection: Rc<ClientConnection>,
    pub reader: PieceReader,
    pub head_gate: HeadGate,
    /// The request that the gate has counted the head behind.
    pub gated_behind: Option<u64>,
    pub engine: Handle,
}

impl ObservedStream {
    /// Waits for memory if a long head is being read. The time that this takes is not the client's.
    fn poll_head_gate(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if matches!(self.connection.state.get(), State::Served) {
            return Poll::Ready(());
        }
        let behind = Some(self.connection.requests_begun.get());
        if std::mem::replace(&mut self.gated_behind, behind) != behind {
            self.head_gate.restart();
        }
        let open = self.head_gate.poll_open(cx);
        let arrived = open.is_pending().then(|| self.engine.earliest_arrival());
        self.connection.record_memory_wait(arrived);
        self.connection.long_head.set(self.head_gate.is_reserved());
        open
    }
}

impl ObservedStream {
    /// Gives hyper bytes that were read before; returns their number.
    fn read_from_behind(&mut self, buffer: &mut ReadBufCursor<'_>) -> usize {
        let most = self.reader.max_piece_bytes().min(buffer.remaining());
        let bytes = self.connection.read_behind.borrow_mut().take(most);
        self.reader.record_read(&bytes);
        buffer.put_slice(&bytes);
        bytes.len()
    }

    fn poll_read_socket(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<usize>> {
        match self.read_from_behind(buffer) {
            0 => self.reader.poll_read(self.inner.inner_mut(), cx, buffer),
            bytes => Poll::Ready(Ok(bytes)),
        }
    }
}

impl Read for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        ready!(self.poll_head_gate(cx));
        let read = self.poll_read_socket(cx, &mut buf);
        self.connection.reading.set(read.is_pending());
        self.connection.reader.replace(read.is_pending().then(|| cx.waker().clone()));
        let bytes = ready!(read)?;
        self.connection.record_read(bytes, self.reader.tail());
        match self.connection.state.get() {
            State::Idle(_) => self.connection.state.set(State::Asking(Instant::now())),
            State::Silent(since) => self.connection.state.set(State::Asking(since)),
            State::Asking(_) | State::Served => {}
        }
        self.head_gate.record(bytes);
        Poll::Ready(Ok(()))
    }
}

impl Write for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.connection.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.connection.record_write(written.is_pending());
        written
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
