//! The body of a request on its way to an upstream.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::{BodyError, RequestBody};

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
        ready!(rest.slot().poll_free(cx));
        let piece = ready!(rest.poll_next(cx));
        rest.mark_consumed();
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
                self.emit(rest.slot().hold(data))
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
