//! Request bodies: received from a client at a minimum rate, and sent to upstreams.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep, timeout};

use super::{BodyBuffer, BodyError, MAX_REQUEST_BODY_BYTES};
use crate::memory::{PieceSlot, Reservation};

/// Minimum rate at which a client must send a body. Clients at 64 kB/s must be served; the lower limit allows for
/// uneven arrival.
const MIN_BYTES_PER_SECOND: f64 = 48_000.0;
/// Upper limit of the waiting time that a client earns by sending faster than the minimum rate.
const MAX_WAIT: Duration = Duration::from_millis(2500);
/// How long the rest of a body is read after its request was answered, if it keeps the minimum rate.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Enforces the minimum rate of a request body. Only time spent waiting for the client counts: a body that is not
/// read because no upstream takes it is not late.
struct Pace {
    left: Duration,
    since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl Pace {
    fn record_received(&mut self, bytes: usize) {
        if let Some(since) = self.since.take() {
            self.left = self.left.saturating_sub(since.elapsed());
        }
        let earned = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND);
        self.left = (self.left + earned).min(MAX_WAIT);
    }

    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.since.is_none() {
            let now = Instant::now();
            self.since = Some(now);
            self.timer.as_mut().reset(now + self.left);
        }
        self.timer.as_mut().poll(cx)
    }
}

/// The body of a request as received from its client.
pub struct RequestBody {
    body: RefCell<Incoming>,
    pace: RefCell<Pace>,
    read: Cell<u64>,
    ended: Cell<Option<Result<(), BodyError>>>,
    changed: Notify,
    /// Part of it was passed to an upstream without being buffered, so that it cannot be sent again.
    consumed: Cell<bool>,
    /// The piece that is being sent to an upstream.
    slot: PieceSlot,
}

impl RequestBody {
    /// The client has `patience` to send the first bytes.
    pub fn new(body: Incoming, patience: Duration) -> Rc<Self> {
        let timer = Box::pin(sleep(patience));
        Rc::new(Self {
            ended: Cell::new(body.is_end_stream().then_some(Ok(()))),
            body: RefCell::new(body),
            pace: RefCell::new(Pace { left: patience, since: None, timer }),
            read: Cell::new(0),
            changed: Notify::new(),
            consumed: Cell::new(false),
            slot: PieceSlot::default(),
        })
    }

    fn end(&self, how: Result<(), BodyError>) {
        self.ended.set(Some(how));
        self.changed.notify_waiters();
    }

    /// The next chunk; `None` at the end of the body.
    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
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

    /// Reads the body into `buffer` until it ends or the buffer is full. The result holds what is `reserved`, if given.
    pub async fn read_into(
        &self,
        mut buffer: BodyBuffer,
        reserved: Option<Reservation>,
    ) -> Result<Bytes, BodyError> {
        while let Some(piece) = poll_fn(|cx| self.poll(cx)).await {
            buffer.append(&piece?);
            if buffer.is_full() {
                break;
            }
        }
        Ok(buffer.finish(reserved))
    }

    pub fn is_complete(&self) -> bool {
        self.ended.get() == Some(Ok(()))
    }

    pub fn is_coming(&self) -> bool {
        self.ended.get().is_none()
    }

    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Whether the reader is waiting for the client to send more.
    pub fn is_waiting_for_client(&self) -> bool {
        self.pace.borrow().since.is_some()
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
        let rest = async { while let Some(Ok(_)) = poll_fn(|cx| self.poll(cx)).await {} };
        let _ = timeout(DRAIN_TIMEOUT, rest).await;
    }
}

/// How many bytes an attempt must send for its request to be complete; a lower bound while the body is streamed.
#[derive(Clone, Default)]
pub struct BodyProgress {
    pub bytes: Rc<Cell<u64>>,
    /// Whether `bytes` is final; otherwise more of the body may follow.
    pub all: Rc<Cell<bool>>,
}

/// The request body of one attempt.
pub struct UpstreamRequestBody {
    kept: Bytes,
    rest: Option<Rc<RequestBody>>,
    /// The number of bytes left to send, if the complete body's size is known.
    left: Option<u64>,
    due: BodyProgress,
    /// Called once the last byte of a streamed body was handed to hyper.
    on_complete: Box<dyn Fn()>,
}

impl UpstreamRequestBody {
    pub fn new(payload: &Payload, due: BodyProgress, on_complete: Box<dyn Fn()>) -> Self {
        due.bytes.set(due.bytes.get() + payload.kept.len() as u64);
        due.all.set(payload.rest.is_none());
        let left =
            if payload.rest.is_some() { payload.length } else { Some(payload.kept.len() as u64) };
        Self { kept: payload.kept.clone(), rest: payload.rest.clone(), left, due, on_complete }
    }

    fn emit(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(data.len() as u64);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn mark_complete(&self) {
        if !self.due.all.replace(true) {
            (self.on_complete)();
        }
    }
}

impl Body for UpstreamRequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.kept.is_empty() {
            let kept = std::mem::take(&mut self.kept);
            return self.emit(kept);
        }
        let Some(rest) = self.rest.clone() else { return Poll::Ready(None) };
        ready!(rest.slot.poll_free(cx));
        let piece = ready!(rest.poll(cx));
        rest.consumed.set(true);
        match piece {
            None => {
                self.mark_complete();
                Poll::Ready(None)
            }
            Some(Err(why)) => Poll::Ready(Some(Err(why))),
            Some(Ok(data)) => {
                self.due.bytes.set(self.due.bytes.get() + data.len() as u64);
                // With a known size hyper does not poll again for the end of the body.
                if rest.is_complete() {
                    self.mark_complete();
                }
                self.emit(rest.slot.hold(&data))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.kept.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or(SizeHint::default(), SizeHint::with_exact)
    }
}

/// The body of a request, shared by its attempts.
#[derive(Default)]
pub struct Payload {
    /// The buffered part: the complete body, or its beginning.
    pub kept: Bytes,
    /// The part that is streamed, if any.
    pub rest: Option<Rc<RequestBody>>,
    /// The size of the complete body, if known.
    pub length: Option<u64>,
}

impl Payload {
    /// Whether part of it was streamed, so that another attempt cannot send it.
    pub fn is_consumed(&self) -> bool {
        self.rest.as_ref().is_some_and(|r| r.is_consumed())
    }
}
