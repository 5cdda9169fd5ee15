//! The rest of an answer, passed on as fast as its client takes it.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle::interface::ServerId;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, Sleep, sleep};

use super::connection::Link;
use super::{Forward, Pool, STALL};
use crate::bodies::{BodyError, MAX_BUFFERED_BYTES};

/// An answer that may be small has to end this long after its client's time at the latest (STANDING: half a second).
const END_WITHIN: Duration = Duration::from_millis(300);
/// Bytes a second from which on an answer of unknown size passes for a large one, however little of it came yet.
const LARGE_RATE: f64 = 24_000.0;

/// The rest of an answer, on its way from an upstream. Dropped before its end, it closes the connection.
pub struct StreamedResponse {
    /// The id of the request that it answers.
    request: Option<String>,
    body: Incoming,
    back: Option<(Rc<Pool>, ServerId, Link)>,
    since: Option<Instant>,
    began: Instant,
    /// By when it has to be over, unless it is large.
    end_by: Instant,
    /// Its whole size, or what has come so far; and whether it is the size.
    size: u64,
    sized: bool,
    timer: Pin<Box<Sleep>>,
    over: bool,
}

impl StreamedResponse {
    /// Of an answer of which so much is passed on already, and its whole size where that is known.
    pub(super) fn new(
        forward: &Forward,
        body: Incoming,
        kept: usize,
        length: Option<u64>,
        back: (Rc<Pool>, ServerId, Link),
    ) -> Self {
        Self {
            request: forward.id().map(str::to_owned),
            body,
            back: Some(back),
            since: None,
            began: Instant::now(),
            end_by: forward.until.get() + END_WITHIN,
            size: length.unwrap_or(kept as u64),
            sized: length.is_some(),
            timer: Box::pin(sleep(STALL)),
            over: false,
        }
    }

    /// How long its next piece is waited for, from now on. Of a large answer its first bytes are what is timed;
    /// any other has to end, or be seen to be cut, soon after its client's time.
    fn patience(&self, now: Instant) -> Instant {
        let stalled = now + STALL;
        if self.size > MAX_BUFFERED_BYTES as u64 {
            return stalled;
        }
        let pace = if self.sized { 0.0 } else { self.size as f64 / LARGE_RATE };
        stalled.min(self.end_by.max(self.began + Duration::from_secs_f64(pace)))
    }

    /// What is left of it, where that is known.
    pub fn left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Whether all of it was passed on.
    pub fn is_over(&self) -> bool {
        self.over
    }

    fn end(&mut self) {
        self.over = true;
        if let Some((pool, server, link)) = self.back.take() {
            tokio::task::spawn_local(async move { pool.give_back(server, link).await });
        }
    }

    /// The next piece; `None` at the end.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.since = None;
                    // Trailers concern nobody here.
                    let Ok(data) = frame.into_data() else { continue };
                    if !self.sized {
                        self.size += data.len() as u64;
                    }
                    if self.body.is_end_stream() {
                        self.end();
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Poll::Ready(Some(Err(cause))) => {
                    tracing::info!(request = self.request, %cause, "an answer broke off on its way");
                    return Poll::Ready(Some(Err(BodyError::Cut)));
                }
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    if self.since.is_none() {
                        let now = Instant::now();
                        self.since = Some(now);
                        let until = self.patience(now);
                        self.timer.as_mut().reset(until);
                    }
                    ready!(self.timer.as_mut().poll(cx));
                    tracing::info!(request = self.request, "an answer stalled on its way");
                    return Poll::Ready(Some(Err(BodyError::Slow)));
                }
            }
        }
    }
}
