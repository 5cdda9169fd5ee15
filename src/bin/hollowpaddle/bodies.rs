//! Bodies on their way through: what is kept whole, and what is passed on as fast as the other side takes it.

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep, timeout};

use crate::upstreams::StreamedResponse;
use hollowpaddle::figures::{End, Taken};

/// A body or an answer up to this size is kept whole; of a larger one, no more than its first part.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The largest body of a request.
pub const MAX_REQUEST_BODY_BYTES: u64 = 32 << 20;
/// What one connection buffers on the way, on either side.
pub const CONNECTION_BUFFER_BYTES: usize = 32 << 10;
/// Bytes a second that a client has to send of a body. Slow ones are owed 64 kB/s; the rest is for pieces that
/// come unevenly.
const MIN_BYTES_PER_SECOND: f64 = 48_000.0;
/// Most of the time earned by sending faster that may be used up in one wait.
const MAX_WAIT: Duration = Duration::from_millis(2500);
/// How long the rest of a body is still read after its request was answered, as long as it comes on.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a body ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    #[error("it comes too slowly")]
    Slow,
    #[error("it is too large")]
    TooLarge,
    #[error("it was cut off or is malformed")]
    Cut,
}

/// Memory that kept bodies may use, for the whole process. When it is used up, more is passed on and less is
/// kept: that costs second attempts, not the process.
pub struct BodyMemory {
    most: usize,
    used: Cell<usize>,
}

/// A part of it, given back when dropped.
pub struct MemoryReservation {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl BodyMemory {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self { most, used: Cell::new(0) })
    }

    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let used = self.used.get() + bytes;
        (used <= self.most).then(|| {
            self.used.set(used);
            MemoryReservation { memory: self.clone(), bytes }
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.bytes);
    }
}

/// How long a client may still keep us waiting for its body. Only time spent waiting for it counts: a body
/// that is not read yet, since no upstream takes it, is not late.
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

/// The body of a request, as its client sends it.
pub struct RequestBody {
    body: RefCell<Incoming>,
    pace: RefCell<Pace>,
    read: Cell<u64>,
    ended: Cell<Option<Result<(), BodyError>>>,
    changed: Notify,
    /// Some of it went to an upstream and is not kept: it can't be sent a second time.
    consumed: Cell<bool>,
}

impl RequestBody {
    /// Its client may keep us waiting for so long before it sends any of it.
    pub fn new(body: Incoming, patience: Duration) -> Rc<Self> {
        let timer = Box::pin(sleep(patience));
        Rc::new(Self {
            ended: Cell::new(body.is_end_stream().then_some(Ok(()))),
            body: RefCell::new(body),
            pace: RefCell::new(Pace { left: patience, since: None, timer }),
            read: Cell::new(0),
            changed: Notify::new(),
            consumed: Cell::new(false),
        })
    }

    fn end(&self, how: Result<(), BodyError>) {
        self.ended.set(Some(how));
        self.changed.notify_waiters();
    }

    /// The next piece; `None` at its end.
    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(how) = self.ended.get() {
            return Poll::Ready(how.err().map(Err));
        }
        let mut body = self.body.borrow_mut();
        let next = loop {
            match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => break Ok(data),
                    // Trailers concern nobody here.
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
            if self.read.get() > MAX_REQUEST_BODY_BYTES { Err(BodyError::TooLarge) } else { Ok(data) }
        });
        match next {
            Err(why) => self.end(Err(why)),
            Ok(_) if body.is_end_stream() => self.end(Ok(())),
            Ok(_) => {}
        }
        Poll::Ready(Some(next))
    }

    /// Reads it to its end, or until more than `most` was read.
    pub async fn buffer(&self, most: usize, declared: Option<u64>) -> Result<Bytes, BodyError> {
        let room = declared.map_or(0, |n| usize::try_from(n).unwrap_or(most).min(most));
        let mut kept = BytesMut::with_capacity(room);
        while let Some(piece) = poll_fn(|cx| self.poll(cx)).await {
            kept.extend_from_slice(&piece?);
            if kept.len() > most {
                break;
            }
        }
        Ok(kept.freeze())
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

    /// Whether its client keeps us waiting.
    pub fn is_waiting_for_client(&self) -> bool {
        self.pace.borrow().since.is_some()
    }

    /// Waits for its end, whatever that is; others read it meanwhile.
    pub async fn ended(&self) -> Result<(), BodyError> {
        loop {
            let changed = self.changed.notified();
            if let Some(how) = self.ended.get() {
                return how;
            }
            changed.await;
        }
    }

    /// Reads and forgets what still comes, for a while.
    pub async fn drain(&self) {
        let rest = async { while let Some(Ok(_)) = poll_fn(|cx| self.poll(cx)).await {} };
        let _ = timeout(DRAIN_TIMEOUT, rest).await;
    }
}

/// What an attempt has to hand over for its request to be whole; the least that it can be.
#[derive(Clone, Default)]
pub struct BodyProgress {
    pub bytes: Rc<Cell<u64>>,
    /// Whether that is all, or more of the body may come.
    pub all: Rc<Cell<bool>>,
}

/// The body of one attempt at an upstream.
pub struct UpstreamRequestBody {
    kept: Bytes,
    rest: Option<Rc<RequestBody>>,
    /// Where the whole body's size is known from the start, what is left of it.
    left: Option<u64>,
    due: BodyProgress,
    /// Told once the last byte was given.
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
                // With a known size nobody asks for the end that follows.
                if rest.is_complete() {
                    self.mark_complete();
                }
                self.emit(data)
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

/// The body of a request, the same for each of its attempts.
#[derive(Default)]
pub struct Payload {
    /// All of it, or its first part.
    pub kept: Bytes,
    /// Where more follows.
    pub rest: Option<Rc<RequestBody>>,
    /// Its whole size, if the client said so.
    pub length: Option<u64>,
    pub _hold: Option<MemoryReservation>,
}

impl Payload {
    /// Whether it can't be sent another time.
    pub fn is_consumed(&self) -> bool {
        self.rest.as_ref().is_some_and(|r| r.is_consumed())
    }
}

/// An answer from an upstream: whole, or its first part and where the rest comes from.
pub struct UpstreamResponse {
    pub kept: Bytes,
    pub rest: Option<StreamedResponse>,
    pub hold: Option<MemoryReservation>,
}

/// The body of an answer to a client, and with it the request's place in the figures and on its connection.
#[derive(Default)]
pub struct ResponseBody {
    kept: Bytes,
    rest: Option<StreamedResponse>,
    taken: Option<Taken>,
    _hold: Option<MemoryReservation>,
    _guard: Option<CompletionGuard>,
}

/// Dropped when an answer is done with.
pub type CompletionGuard = Rc<dyn std::any::Any>;

impl ResponseBody {
    pub fn complete(kept: Bytes) -> Self {
        Self { kept, ..Self::default() }
    }

    pub fn from_upstream(served: UpstreamResponse) -> Self {
        Self { kept: served.kept, rest: served.rest, _hold: served.hold, ..Self::default() }
    }

    /// The request counts as ended once this body is done with: as `end`, or, where the rest is still to come,
    /// by what becomes of it.
    pub fn counted_as(mut self, taken: Taken, end: End) -> Self {
        if self.rest.is_none() {
            taken.ends(end);
        }
        self.taken = Some(taken);
        self
    }

    /// Keeps this until the body is done with.
    pub fn with_guard(mut self, done: CompletionGuard) -> Self {
        self._guard = Some(done);
        self
    }

    fn ends(&self, end: End) {
        if let Some(taken) = &self.taken {
            taken.ends(end);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.kept.is_empty() {
            let kept = std::mem::take(&mut self.kept);
            return Poll::Ready(Some(Ok(Frame::data(kept))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let piece = ready!(rest.poll(cx));
        if rest.is_over() {
            self.rest = None;
            self.ends(End::Served);
        }
        if let Some(Err(_)) = piece {
            self.rest = None;
            self.ends(End::Failed);
        }
        Poll::Ready(piece.map(|p| p.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.kept.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let kept = self.kept.len() as u64;
        let rest = self.rest.as_ref().map_or(Some(0), StreamedResponse::left);
        rest.map_or(SizeHint::default(), |rest| SizeHint::with_exact(kept + rest))
    }
}
