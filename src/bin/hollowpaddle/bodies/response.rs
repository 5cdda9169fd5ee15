//! Response bodies, from an upstream or of the proxy itself, on their way to a client.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hollowpaddle::figures::{ActiveRequest, End};
use hyper::body::{Body, Frame, SizeHint};

use super::BodyError;
use crate::upstreams::StreamedResponse;

/// The body of an upstream's response: complete, or its buffered beginning and the stream of the rest.
pub struct UpstreamResponse {
    pub kept: Bytes,
    pub rest: Option<StreamedResponse>,
}

/// The body of a response to a client. Holds the request's metrics guard and the connection's in-flight guard.
#[derive(Default)]
pub struct ResponseBody {
    kept: Bytes,
    rest: Option<StreamedResponse>,
    active_request: Option<ActiveRequest>,
    _guard: Option<CompletionGuard>,
}

/// Dropped when a response body was sent or abandoned.
pub type CompletionGuard = Rc<dyn std::any::Any>;

impl ResponseBody {
    pub fn complete(kept: Bytes) -> Self {
        Self { kept, ..Self::default() }
    }

    pub fn from_upstream(served: UpstreamResponse) -> Self {
        Self { kept: served.kept, rest: served.rest, ..Self::default() }
    }

    /// Counts the request in the metrics: as `end`, or, if the body is streamed, by whether the stream completes.
    pub fn counted_as(mut self, active_request: ActiveRequest, end: End) -> Self {
        if self.rest.is_none() {
            active_request.set_end(end);
        }
        self.active_request = Some(active_request);
        self
    }

    /// Holds `done` until the body is dropped.
    pub fn with_guard(mut self, done: CompletionGuard) -> Self {
        self._guard = Some(done);
        self
    }

    fn ends(&self, end: End) {
        if let Some(active_request) = &self.active_request {
            active_request.set_end(end);
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
