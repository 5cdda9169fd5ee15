//! The rest of an answer, passed on as fast as its client takes it.

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
use crate::bodies::{Broken, KEPT};

/// An answer that may be small has to end this long after its client's time at the latest (STANDING: half a second).
const END_GRACE: Duration = Duration::from_millis(300);
/// Bytes a second from which on an answer of unknown size passes for a large one, however little of it came yet.
const LARGE_RATE_BYTES_PER_S: f64 = 24_000.0;

/// The rest of an answer, on its way from an upstream. Dropped before its end, it closes the connection.
pub struct StreamedResponse {
    /// The id of the request that it answers.
    request: Option<String>,
    body: Incoming,
    return_to: Option<(Rc<Pool>, ServerId, UpstreamConnection)>,
    waiting_since: Option<Instant>,
    started_at: Instant,
    /// By when it has to be over, unless it is large.
    end_by: Instant,
    /// Its whole size, or what has come so far; and whether it is the size.
    size: u64,
    size_known: bool,
    timer: Pin<Box<Sleep>>,
    finished: bool,
}

impl StreamedResponse {
    /// Of an answer of which so much is passed on already, and its whole size where that is known.
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

    /// How long its next piece is waited for, from now on. Of a large answer its first bytes are what is timed;
    /// any other has to end, or be seen to be cut, soon after its client's time.
    fn next_piece_deadline(&self, now: Instant) -> Instant {
        let stalled = now + STALL_TIMEOUT;
        if self.size > KEPT as u64 {
            return stalled;
        }
        let pace = if self.size_known { 0.0 } else { self.size as f64 / LARGE_RATE_BYTES_PER_S };
        stalled.min(self.end_by.max(self.started_at + Duration::from_secs_f64(pace)))
    }

    /// What is left of it, where that is known.
    pub fn left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Whether all of it was passed on.
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
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.waiting_since = None;
                    // Trailers concern nobody here.
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
                    tracing::info!(request = self.request, %cause, "an answer broke off on its way");
                    return Poll::Ready(Some(Err(Broken::Cut)));
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
                    tracing::info!(request = self.request, "an answer stalled on its way");
                    return Poll::Ready(Some(Err(Broken::Slow)));
                }
            }
        }
    }
}
