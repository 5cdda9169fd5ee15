//! The rest of an upstream response, streamed as fast as the client reads it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle::interface::ServerId;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, Sleep, sleep};

use super::connection::UpstreamConnection;
use super::{Forward, Pool, STALL_TIMEOUT};
use crate::bodies::{BodyError, MAX_BUFFERED_BYTES};

/// A response that may be small has to end at the latest this long after the client's deadline (STANDING: half a
/// second).
const END_GRACE: Duration = Duration::from_millis(300);
/// A response of unknown size that arrives at this rate or faster counts as large, however little has arrived so far.
const LARGE_RATE_BYTES_PER_S: f64 = 24_000.0;

/// The rest of a response from an upstream. Closes the connection if dropped before its end.
pub struct StreamedResponse {
    /// The `X-Request-Id` of the request.
    request: Option<String>,
    body: Incoming,
    return_to: Option<(Rc<Pool>, ServerId, UpstreamConnection)>,
    waiting_since: Option<Instant>,
    started_at: Instant,
    /// When the response has to end, unless it is large.
    end_by: Instant,
    /// The total size in bytes if `size_known`, else the number of bytes received so far.
    size: u64,
    size_known: bool,
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
        Self {
            request: forward.id().map(str::to_owned),
            body,
            return_to: Some(return_to),
            waiting_since: None,
            started_at: Instant::now(),
            end_by: forward.until.get() + END_GRACE,
            size: length.unwrap_or(received as u64),
            size_known: length.is_some(),
            timer: Box::pin(sleep(STALL_TIMEOUT)),
            finished: false,
        }
    }

    /// When to stop waiting for the next piece. The latency of a large response is measured at its first bytes, so
    /// only a stall ends it; any other has to end, or be reported as cut off, soon after the client's deadline.
    fn next_piece_deadline(&self, now: Instant) -> Instant {
        let stalled = now + STALL_TIMEOUT;
        if self.size > MAX_BUFFERED_BYTES as u64 {
            return stalled;
        }
        let pace = if self.size_known { 0.0 } else { self.size as f64 / LARGE_RATE_BYTES_PER_S };
        stalled.min(self.end_by.max(self.started_at + Duration::from_secs_f64(pace)))
    }

    /// The number of remaining bytes, if known.
    pub fn left(&self) -> Option<u64> {
        self.body.size_hint().exact()
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

    /// The next piece; `None` at the end.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.waiting_since = None;
                    // Trailers are not forwarded.
                    let Ok(data) = frame.into_data() else { continue };
                    if !self.size_known {
                        self.size += data.len() as u64;
                    }
                    if self.body.is_end_stream() {
                        self.end();
                    }
                    return Poll::Ready(Some(Ok(data)));
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
                    if self.waiting_since.is_none() {
                        let now = Instant::now();
                        self.waiting_since = Some(now);
                        let until = self.next_piece_deadline(now);
                        self.timer.as_mut().reset(until);
                    }
                    ready!(self.timer.as_mut().poll(cx));
                    tracing::info!(
                        request = self.request,
                        "upstream response timed out while being forwarded"
                    );
                    return Poll::Ready(Some(Err(BodyError::Slow)));
                }
            }
        }
    }
}
