//! Request bodies as they are received from a client.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::last_byte::BodyArrival;
use super::pace::Pace;
use super::read_ahead::Movement;
use super::{BodyBuffer, BodyError, MAX_REQUEST_BODY_BYTES};
use crate::client_connection::ClientInput;
use crate::memory::{BlockQueue, BufferMemory, PieceSlot, Reservation};

/// How long the rest of a body is read after its request was answered, if it keeps the minimum rate.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// How often the arrival of a body is observed while its upstream does not read it.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(25);
/// What is read ahead of one body is at most this part of the memory.
const READ_AHEAD_SHARE_DIVISOR: usize = 16;
/// Limit of one run of reading ahead.
const READ_AHEAD_TIMEOUT: Duration = Duration::from_millis(25);

/// The body of a request as received from its client.
pub struct RequestBody {
    body: RefCell<Incoming>,
    input: ClientInput,
    /// The number of bytes that had been read from the client when the request's head was complete, and how many of them
    /// belong to the body.
    input_start: u64,
    read_with_head: Cell<u64>,
    /// The size that the request declares, in bytes.
    size: Option<u64>,
    pace: RefCell<Pace>,
    arrival: RefCell<BodyArrival>,
    /// Whether its upstream has been slower than the client since the client was last waited for.
    held_back: Cell<bool>,
    ahead: RefCell<BlockQueue>,
    reading_ahead: Cell<bool>,
    /// The upstream connection that waits for more of the body.
    sender: RefCell<Option<Waker>>,
    read: Cell<u64>,
    passed_on: Cell<u64>,
    ended: Cell<Option<Result<(), BodyError>>>,
    changed: Notify,
    /// Part of it was passed to an upstream without being buffered, so that it cannot be sent again.
    consumed: Cell<bool>,
    /// The piece that is being sent to an upstream.
    slot: PieceSlot,
}

impl RequestBody {
    /// The client has `patience` to send the first bytes. What is read before an upstream takes it is reserved from
    /// `memory`.
    pub fn new(
        body: Incoming,
        input: ClientInput,
        patience: Duration,
        memory: BufferMemory,
    ) -> Rc<Self> {
        let size = body.size_hint().exact();
        let body = Rc::new(Self {
            input_start: input.read(),
            read_with_head: Cell::new(0),
            input,
            size,
            arrival: RefCell::new(BodyArrival::new(size, Instant::now())),
            ended: Cell::new(body.is_end_stream().then_some(Ok(()))),
            body: RefCell::new(body),
            ahead: RefCell::new(BlockQueue::new(memory, READ_AHEAD_SHARE_DIVISOR)),
            held_back: Cell::new(false),
            reading_ahead: Cell::new(false),
            sender: RefCell::default(),
            pace: RefCell::new(Pace::new(patience)),
            read: Cell::new(0),
            passed_on: Cell::new(0),
            changed: Notify::new(),
            consumed: Cell::new(false),
            slot: PieceSlot::default(),
        });
        if body.is_complete() {
            body.input.record_end(body.more_was_read());
        }
        body
    }

    fn end(&self, how: Result<(), BodyError>) {
        self.ended.set(Some(how));
        if how.is_ok() {
            self.input.record_end(self.more_was_read());
        }
        self.changed.notify_waiters();
    }

    /// Whether more than the body, which has ended, was read from the client. Of a body that came with its head, only its end
    /// can tell.
    fn more_was_read(&self) -> bool {
        match self.size {
            Some(size @ 1..) => {
                let since_head = self.input.read() - self.input_start;
                since_head + self.read_with_head.get() > size
            }
            _ => !self.input.read_ends_with_empty_line(),
        }
    }

    /// The next chunk from the client; `None` at the end of the body.
    fn poll_client(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(how) = self.ended.get() {
            return Poll::Ready(how.err().map(Err));
        }
        let mut body = self.body.borrow_mut();
        let next = loop {
            match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => break Ok(data),
                    // Trailers are ignored.
                    Err(_) => continue,
                },
                Poll::Ready(Some(Err(_))) => break Err(BodyError::Cut),
                Poll::Ready(None) => {
                    self.end(Ok(()));
                    return Poll::Ready(None);
                }
                // The client is not waited for while no upstream would take more.
                Poll::Pending if self.reading_ahead.get() => return Poll::Pending,
                Poll::Pending => {
                    ready!(self.pace.borrow_mut().poll_expired(cx));
                    break Err(BodyError::Slow);
                }
            }
        };
        let next = next.and_then(|data| {
            if self.read.get() == 0 && self.input.read() == self.input_start {
                self.read_with_head.set(data.len() as u64);
            }
            self.pace.borrow_mut().record_received(data.len());
            self.read.set(self.read.get() + data.len() as u64);
            if self.read.get() > MAX_REQUEST_BODY_BYTES {
                Err(BodyError::TooLarge)
            } else {
                Ok(data)
            }
        });
        match next {
            Err(why) => self.end(Err(why)),
            Ok(_) if body.is_end_stream() => self.end(Ok(())),
            Ok(_) => {}
        }
        Poll::Ready(Some(next))
    }

    /// The number of bytes received.
    pub fn received(&self) -> u64 {
        self.read.get()
    }

    /// The next part for an upstream; `None` at the end of the body.
    pub(super) fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let ahead = self.ahead.borrow_mut().pop();
        let next = match ahead {
            Some(block) => Some(Ok(block)),
            None => match self.poll_client(cx) {
                // A copy, because a piece may share the larger read buffer that it arrived in.
                Poll::Ready(next) => next.map(|piece| piece.map(|p| Bytes::copy_from_slice(&p))),
                Poll::Pending => {
                    self.sender.replace(Some(cx.waker().clone()));
                    return Poll::Pending;
                }
            },
        };
        if let Some(Ok(piece)) = &next {
            self.passed_on.set(self.passed_on.get() + piece.len() as u64);
        }
        Poll::Ready(next)
    }

    /// Observes the arrival of a body whose upstream reads more slowly than its client writes. A part is read ahead, as far
    /// as there is memory, since otherwise its client's kernel holds it unseen. The request has `time` after its last byte.
    /// Returns once the body has ended.
    pub async fn observe_arrival(&self, time: Duration) {
        let start = Instant::now();
        while self.is_coming() {
            let passed_on = self.passed_on.get();
            sleep(OBSERVE_INTERVAL).await;
            let movement = Movement {
                waits_for_client: self.is_waiting_for_client(),
                was_taken: self.passed_on.get() > passed_on,
                passed_on: self.passed_on.get(),
                elapsed: start.elapsed(),
                stalled: self.arrival.borrow().stalled_for(Instant::now()),
            };
            self.held_back.set(movement.is_held_back(self.held_back.get()));
            match movement.max_read_ahead(time) {
                0 => {}
                limit => self.read_ahead(limit).await,
            }
            self.record_arrival();
        }
    }

    /// The number of bytes that this machine has received: of the body, or, if its size is unknown, with its framing.
    fn bytes_received(&self) -> u64 {
        let since_head = self.input.received().saturating_sub(self.input_start);
        let received = since_head + self.read_with_head.get();
        self.size.map_or(received, |size| size.min(received))
    }

    /// Records what has arrived by now.
    fn record_arrival(&self) {
        let counts = (self.bytes_received(), self.passed_on.get());
        let hidden = self.held_back.get();
        let grown = self.arrival.borrow_mut().record(counts, hidden, Instant::now());
        if self.size.is_none() && (grown || !self.is_coming()) {
            let ends = !self.is_coming() || self.input.ends_with_empty_line();
            self.arrival.borrow_mut().record_end(ends);
        }
    }

    /// When the last byte was written, as far as it is known, for a request with `time` after it.
    pub fn arrived_at(&self, time: Duration) -> Instant {
        self.record_arrival();
        self.arrival.borrow().arrived_at(time)
    }

    /// By when the request must be answered if the body stays as it is, with `time` after its last byte; `None` while its
    /// last byte is certainly to come.
    pub fn due(&self, time: Duration) -> Option<Instant> {
        self.record_arrival();
        if self.is_waiting_for_client() { None } else { self.arrival.borrow().due(time) }
    }

    async fn read_ahead(&self, limit: usize) {
        let read = poll_fn(|cx| self.poll_read_ahead(cx, limit));
        let _ = timeout(READ_AHEAD_TIMEOUT, read).await;
        self.ahead.borrow_mut().release_spare();
        // The upstream's own wake-up may have been replaced by the one of this read.
        if let Some(sender) = self.sender.take() {
            sender.wake();
        }
    }

    fn poll_read_ahead(&self, cx: &mut Context<'_>, limit: usize) -> Poll<()> {
        while self.is_coming() && self.ahead.borrow_mut().reserve(limit) {
            self.reading_ahead.set(true);
            let next = self.poll_client(cx);
            self.reading_ahead.set(false);
            match ready!(next) {
                Some(Ok(piece)) => self.ahead.borrow_mut().append(&piece),
                _ => return Poll::Ready(()),
            }
        }
        Poll::Ready(())
    }

    /// Reads the body into `buffer` until it ends or the buffer is full. The result holds what is `reserved`, if given.
    pub async fn read_into(
        &self,
        mut buffer: BodyBuffer,
        reserved: Option<Reservation>,
    ) -> Result<Bytes, BodyError> {
        while let Some(piece) = poll_fn(|cx| self.poll_client(cx)).await {
            buffer.append(&piece?);
            if buffer.is_full() {
                break;
            }
        }
        Ok(buffer.finish(reserved))
    }

    /// Whether the last byte was received.
    pub fn is_complete(&self) -> bool {
        self.ended.get() == Some(Ok(()))
    }

    /// Whether all of it was received and passed on.
    pub fn is_passed_on(&self) -> bool {
        self.is_complete() && self.ahead.borrow().is_empty()
    }

    pub fn is_coming(&self) -> bool {
        self.ended.get().is_none()
    }

    /// Records that a part was passed on without being buffered.
    pub(super) fn mark_consumed(&self) {
        self.consumed.set(true);
    }

    /// The place for the piece that is being sent to an upstream.
    pub(super) fn slot(&self) -> &PieceSlot {
        &self.slot
    }

    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Whether the reader is waiting for the client to send more.
    pub fn is_waiting_for_client(&self) -> bool {
        self.pace.borrow().is_waiting()
    }

    /// Waits until the body has ended or failed, without reading it; another task reads it.
    pub async fn ended(&self) -> Result<(), BodyError> {
        loop {
            let changed = self.changed.notified();
            if let Some(how) = self.ended.get() {
                return how;
            }
            changed.await;
        }
    }

    /// Reads and discards the rest of the body, for at most [`DRAIN_TIMEOUT`].
    pub async fn drain(&self) {
        self.ahead.borrow_mut().clear();
        let rest = async { while let Some(Ok(_)) = poll_fn(|cx| self.poll_client(cx)).await {} };
        let _ = timeout(DRAIN_TIMEOUT, rest).await;
    }
}
