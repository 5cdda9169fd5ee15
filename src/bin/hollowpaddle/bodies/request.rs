//! Request bodies as they are received from a client.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

use super::last_byte::{BodyArrival, CatchUp, UnfinishedSightings};
use super::pace::Pace;
use super::{BodyBuffer, BodyError, MAX_REQUEST_BODY_BYTES};
use crate::client_connection::{ClientInput, ReadOn};
use crate::memory::{PieceSlot, Reservation};

/// How long the rest of a body is read after its request was answered, if it keeps the minimum rate.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// How often the arrival of a body is observed.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(25);
/// How much is read on before the client's kernel gets time to send.
const PIECES_PER_TURN: usize = 2;
/// No more is read ahead while so much is.
const MAX_READ_AHEAD: usize = 32 << 10;
/// A client that was waited for so long has no more in its kernel.
const MIN_WAIT: Duration = Duration::from_millis(10);

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
    read: Cell<u64>,
    ended: Cell<Option<Result<(), BodyError>>>,
    changed: Notify,
    /// Part of it was passed to an upstream without being buffered, so that it cannot be sent again.
    consumed: Cell<bool>,
    /// The piece that is being sent to an upstream.
    slot: PieceSlot,
}

impl RequestBody {
    /// A body whose first byte was not written before `start`; its client has `patience` to send it.
    pub fn new(body: Incoming, input: ClientInput, start: Instant, patience: Duration) -> Rc<Self> {
        let size = body.size_hint().exact();
        let body = Rc::new(Self {
            input_start: input.read(),
            read_with_head: Cell::new(0),
            input,
            size,
            arrival: RefCell::new(BodyArrival::new(size, start)),
            ended: Cell::new(body.is_end_stream().then_some(Ok(()))),
            body: RefCell::new(body),
            pace: RefCell::new(Pace::new(patience)),
            read: Cell::new(0),
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
        // A copy, because a piece may share the larger read buffer that it arrived in.
        let next = self.poll_client(cx);
        next.map(|next| next.map(|piece| piece.map(|p| Bytes::copy_from_slice(&p))))
    }

    /// Observes the arrival of a body that is read as fast as it comes.
    async fn observe_waiting(&self) -> Infallible {
        loop {
            sleep(OBSERVE_INTERVAL).await;
            self.record_arrival();
        }
    }

    /// Observes the arrival of the body until it has ended.
    pub async fn observe_arrival(&self) {
        let mut sightings = UnfinishedSightings::default();
        while self.is_coming() {
            self.record_arrival();
            if !self.was_waited_for() && self.input.read_ahead() < MAX_READ_AHEAD {
                let start = Instant::now();
                let seen = self.catch_up().await;
                if let Some(unfinished) = sightings.record(start, seen) {
                    self.arrival.borrow_mut().record_unfinished(unfinished);
                }
            }
            sleep(OBSERVE_INTERVAL).await;
        }
    }

    /// Reads all that the client has written, as far as there is memory.
    async fn catch_up(&self) -> CatchUp {
        let mut pieces = 0;
        loop {
            match self.input.read_on() {
                ReadOn::Piece => pieces += 1,
                ReadOn::Nothing if self.may_be_received(self.bytes_received()) => {
                    return CatchUp::Unknown;
                }
                ReadOn::Nothing => return CatchUp::ClientHasMore,
                ReadOn::Unable if pieces == 0 => return CatchUp::Unknown,
                ReadOn::Unable => return CatchUp::MoreIsHidden,
            }
            // Meanwhile the client's kernel sends on. A client that waits for room writes less in this time than is read here.
            if pieces % PIECES_PER_TURN == 0 {
                yield_now().await;
            }
        }
    }

    /// The number of bytes that this machine has received: of the body, or, if its size is unknown, with its framing.
    fn bytes_received(&self) -> u64 {
        let since_head = self.input.received().saturating_sub(self.input_start);
        let received = since_head + self.read_with_head.get();
        self.size.map_or(received, |size| size.min(received))
    }

    /// Whether this machine may have received all of the body, of which it has `received` bytes.
    fn may_be_received(&self, received: u64) -> bool {
        self.size.map_or_else(|| self.input.ends_with_empty_line(), |size| received >= size)
    }

    /// Whether the client has been waited for so long that its kernel holds nothing.
    fn was_waited_for(&self) -> bool {
        self.pace.borrow().waiting_time().is_some_and(|waiting| waiting >= MIN_WAIT)
    }

    /// Records what has arrived by now, and whether its client has more to write.
    fn record_arrival(&self) {
        if !self.is_coming() {
            return;
        }
        let now = Instant::now();
        let received = self.bytes_received();
        let mut arrival = self.arrival.borrow_mut();
        arrival.record_received(received, now);
        if self.was_waited_for() && self.input.is_read() && !self.may_be_received(received) {
            arrival.record_unfinished(now);
        }
    }

    /// The earliest time at which the last byte may have been written.
    pub fn arrived_at(&self) -> Instant {
        self.record_arrival();
        self.arrival.borrow().arrived_at()
    }

    /// By when the request must be answered if its client is not seen to write more, with `time` after its last byte; `None`
    /// while its last byte is certainly to come.
    pub fn due(&self, time: Duration) -> Option<Instant> {
        self.record_arrival();
        self.arrival.borrow().due(time)
    }

    /// Reads the body into `buffer` until it ends or the buffer is full. The result holds what is `reserved`, if given.
    pub async fn read_into(
        &self,
        mut buffer: BodyBuffer,
        reserved: Option<Reservation>,
    ) -> Result<Bytes, BodyError> {
        let read = async {
            while let Some(piece) = poll_fn(|cx| self.poll_client(cx)).await {
                buffer.append(&piece?);
                if buffer.is_full() {
                    break;
                }
            }
            Ok(())
        };
        tokio::select! {
            biased;
            read = read => read?,
            never = self.observe_waiting() => match never {},
        }
        Ok(buffer.finish(reserved))
    }

    /// Whether the last byte was received.
    pub fn is_complete(&self) -> bool {
        self.ended.get() == Some(Ok(()))
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
        let rest = async { while let Some(Ok(_)) = poll_fn(|cx| self.poll_client(cx)).await {} };
        let _ = timeout(DRAIN_TIMEOUT, rest).await;
    }
}
