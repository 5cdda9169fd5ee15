//! The rest of an upstream response, streamed as fast as the client reads it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle::interface::ServerId;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, Sleep, sleep};

use hollowpaddle::socket::Unread;

use super::connection::UpstreamConnection;
use super::response_progress::{ResponseProgress, Size};
use super::{Forward, Pool, STALL_TIMEOUT};
use crate::bodies::BodyError;
use crate::memory::PieceSlot;

/// Delay for the runtime to read bytes that are already in the socket before a response is given up, and the maximum
/// number of such delays, so that an upstream that sends one byte at a time does not prolong its response.
const RECHECK_DELAY: Duration = Duration::from_millis(1);
const MAX_RECHECKS: u32 = 20;

/// The rest of a response from an upstream. Closes the connection if dropped before its end.
pub struct StreamedResponse {
    /// The `X-Request-Id` of the request.
    request: Option<String>,
    /// A piece that was read before any was forwarded, and is not forwarded yet.
    first: Option<Bytes>,
    body: Incoming,
    return_to: Option<(Rc<Pool>, ServerId, UpstreamConnection)>,
    progress: ResponseProgress,
    /// The latest time for the end of a small response, if the process was shutting down when the response came.
    shutdown: Option<Instant>,
    /// The piece that is being sent to the client.
    slot: PieceSlot,
    waiting_since: Option<Instant>,
    rechecks: u32,
    timer: Pin<Box<Sleep>>,
    finished: bool,
}

impl StreamedResponse {
    /// Streams the rest of a response of which `received` bytes were already read; `length` is its total size, if known.
    pub(super) fn new(
        forward: &Forward,
        body: Incoming,
        received: usize,
        length: Option<u64>,
        return_to: (Rc<Pool>, ServerId, UpstreamConnection),
    ) -> Self {
        let size = length.map_or(Size::Unknown, Size::Declared);
        let deadline = forward.deadlines.client();
        Self {
            request: forward.id().map(str::to_owned),
            first: None,
            body,
            return_to: Some(return_to),
            progress: ResponseProgress::new(deadline, size, received as u64, Instant::now()),
            shutdown: forward.deadlines.shutdown(),
            slot: PieceSlot::default(),
            waiting_since: None,
            rechecks: 0,
            timer: Box::pin(sleep(STALL_TIMEOUT)),
            finished: false,
        }
    }

    /// Forwards this piece of the body, which was read already, before the rest of it.
    pub(super) fn beginning_with(mut self, piece: Option<Bytes>) -> Self {
        if let Some(piece) = &piece {
            self.progress.record(piece.len(), Instant::now());
        }
        self.first = piece;
        self
    }

    /// The number of remaining bytes, if known.
    pub fn left(&self) -> Option<u64> {
        let first = self.first.as_ref().map_or(0, |piece| piece.len() as u64);
        self.body.size_hint().exact().map(|rest| first + rest)
    }

    /// Whether the response was forwarded completely.
    pub fn is_over(&self) -> bool {
        self.finished
    }

    fn end(&mut self) {
        self.finished = true;
        if let Some((pool, server, connection)) = self.return_to.take() {
            tokio::task::spawn_local(async move { pool.recycle(server, connection).await });
        }
    }

    /// Whether bytes of the response have arrived that the runtime has not read yet, as after a process stall.
    fn has_unread_bytes(&self) -> bool {
        self.return_to
            .as_ref()
            .is_some_and(|(_, _, connection)| connection.unread_input() == Unread::Bytes)
    }

    /// When to stop waiting for the next piece, if it has been waited for since `waiting_since`. The process may be killed
    /// soon after the shutdown's time; a large response goes on until then.
    fn give_up_at(&self, waiting_since: Instant) -> Instant {
        let at = self.progress.give_up_at(waiting_since);
        match self.shutdown {
            Some(shutdown) if !self.progress.is_large() => at.min(shutdown),
            _ => at,
        }
    }

    /// Waits until the next piece is overdue.
    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.waiting_since.is_none() {
            let now = Instant::now();
            self.waiting_since = Some(now);
            let give_up_at = self.give_up_at(now);
            self.timer.as_mut().reset(give_up_at);
        }
        loop {
            ready!(self.timer.as_mut().poll(cx));
            if self.rechecks >= MAX_RECHECKS || !self.has_unread_bytes() {
                return Poll::Ready(());
            }
            self.rechecks += 1;
            self.timer.as_mut().reset(Instant::now() + RECHECK_DELAY);
        }
    }

    fn log_overdue(&self) {
        let silent = self.waiting_since.map_or(Duration::ZERO, |since| since.elapsed());
        tracing::info!(
            request = self.request,
            received = self.progress.received(),
            large = self.progress.is_large(),
            silent_ms = silent.as_millis() as u64,
            "upstream response timed out while being forwarded"
        );
    }

    /// The next piece; `None` at the end.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        ready!(self.slot.poll_free(cx));
        if let Some(piece) = self.first.take() {
            if self.body.is_end_stream() {
                self.end();
            }
            return Poll::Ready(Some(Ok(self.slot.hold(piece))));
        }
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.waiting_since = None;
                    // Trailers are not forwarded.
                    let Ok(data) = frame.into_data() else { continue };
                    self.progress.record(data.len(), Instant::now());
                    if self.body.is_end_stream() {
                        self.end();
                    }
                    // A copy, because a piece may share the larger read buffer that it arrived in.
                    let piece = Bytes::copy_from_slice(&data);
                    return Poll::Ready(Some(Ok(self.slot.hold(piece))));
                }
                Poll::Ready(Some(Err(cause))) => {
                    tracing::info!(request = self.request, %cause, "upstream response was cut off while being forwarded");
                    return Poll::Ready(Some(Err(BodyError::Cut)));
                }
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    ready!(self.poll_overdue(cx));
                    self.log_overdue();
                    return Poll::Ready(Some(Err(BodyError::Slow)));
                }
            }
        }
    }
}
