//! Bodies on their way through.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::figures::Taken;

/// The body of an answer to a client, and with it the request's place in the figures.
#[derive(Default)]
pub struct AnswerBody {
    kept: Bytes,
    taken: Option<Taken>,
}

impl AnswerBody {
    pub fn whole(kept: Bytes) -> Self {
        Self { kept, taken: None }
    }

    /// The request counts as ended once this body is done with.
    pub fn of(mut self, taken: Taken) -> Self {
        self.taken = Some(taken);
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let kept = std::mem::take(&mut self.kept);
        Poll::Ready((!kept.is_empty()).then(|| Ok(Frame::data(kept))))
    }

    fn is_end_stream(&self) -> bool {
        self.kept.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.kept.len() as u64)
    }
}
