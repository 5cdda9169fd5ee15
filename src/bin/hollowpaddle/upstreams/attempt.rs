//! Runs attempts: sends one request to one upstream and reads the beginning of its response.

use std::rc::Rc;

use hollowpaddle::interface::{Outcome, ServerId};
use hollowpaddle::invariants::permit::Denial;
use hyper::body::{Body, Incoming};
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::attempt_progress::AttemptProgress;
use super::attempt_timeout::attempt_timeout;
use super::connection::UpstreamConnection;
use super::first_part::{FirstPart, discard, discard_promptly, read_first_part};
use super::load_report::parse_load_report;
use super::{AttemptResult, Forward, Pool, StreamedResponse};
use crate::bodies::{MAX_BUFFERED_BYTES, UpstreamResponse};
use crate::guard::AttemptGuard;
use crate::memory::Reservation;

impl Pool {
    /// Runs one attempt: at most one request is written. The guard is checked right before its first byte. The policy's
    /// time `until` ends an attempt that has not begun to be answered.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        guard: &Rc<AttemptGuard>,
        until: Instant,
    ) -> AttemptResult {
        let progress = AttemptProgress::default();
        let ended = tokio::select! {
            biased;
            ended = self.exchange(server, guard, until, &progress) => Some(ended),
            () = attempt_timeout(guard, until, &progress) => None,
        };
        ended.unwrap_or_else(|| {
            self.record_timeout(guard, &progress);
            // The request timed out before all of it was handed to the kernel, so the upstream cannot have run it.
            AttemptResult::without_response(if progress.certainly_incomplete() {
                Outcome::ConnectFailed
            } else {
                Outcome::Timeout
            })
        })
    }

    /// Logs and counts an attempt that timed out although its response had begun.
    fn record_timeout(&self, guard: &AttemptGuard, progress: &AttemptProgress) {
        let received = progress.response_bytes();
        if received == 0 {
            return;
        }
        self.responses_timed_out.inc();
        let left = guard.forward().deadlines.client().saturating_duration_since(Instant::now());
        tracing::info!(
            request = guard.forward().id(),
            address = %guard.target().address.get(),
            received,
            left_ms = left.as_millis() as u64,
            "attempt timed out although its response had begun"
        );
    }

    async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        guard: &Rc<AttemptGuard>,
        until: Instant,
        progress: &AttemptProgress,
    ) -> AttemptResult {
        let forward = guard.forward();
        loop {
            let address = guard.target().address.get();
            let pooled = self.take_idle(server, address);
            let reused = pooled.is_some();
            let connection = match pooled {
                Some(connection) => Some(connection),
                None => self.connect(server, address).await,
            };
            let Some(mut connection) = connection else {
                return AttemptResult::without_response(Outcome::ConnectFailed);
            };
            guard.set_address(connection.address);
            // While waiting for a connection, the request may have ended or the upstream may have been closed.
            match guard.check() {
                Ok(()) => {}
                // Another upstream may listen at the old address.
                Err(Denial::UpstreamMoved) => continue,
                Err(denial) => {
                    self.put_idle(server, connection);
                    return AttemptResult::denied(denial);
                }
            }
            let short_head_bytes = self.memory.budget.short_head_bytes;
            let request =
                forward.request(until, progress, &connection.written, guard, short_head_bytes);
            let Some(request) = request else {
                return AttemptResult::without_response(Outcome::NotSent);
            };
            let can_resend = || reused && progress.nothing_written() && !forward.body.is_consumed();
            let answer = connection.sender.send_request(request).await;
            connection.written.awaits_head.set(false);
            match guard.denial() {
                None => {}
                // A new exchange uses the current address and deadline.
                Some(Denial::UpstreamMoved | Denial::DeadlineStale) => continue,
                Some(denial) => return AttemptResult::denied(denial),
            }
            let answer = match answer {
                Ok(answer) => answer,
                // A pooled connection that closed before any byte was written does not count as an attempt.
                Err(_) if can_resend() => continue,
                Err(_) if progress.certainly_incomplete() => {
                    return AttemptResult::without_response(Outcome::ConnectFailed);
                }
                Err(_) => return AttemptResult::without_response(Outcome::Reset),
            };
            return self.answer(forward, server, connection, answer).await;
        }
    }

    /// Reads a response completely, or the first part of a large one. The attempt counts as answered only then.
    async fn answer(
        self: &Rc<Self>,
        forward: &Forward,
        server: ServerId,
        connection: UpstreamConnection,
        answer: Response<Incoming>,
    ) -> AttemptResult {
        let (head, mut body) = answer.into_parts();
        let report = parse_load_report(&self.fields, &head.headers);
        let not_run = head.headers.get("x-not-run").is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
                Outcome::Full
            }
            _ => Outcome::Error,
        };
        let length = body.size_hint().exact();
        let first = match outcome {
            Outcome::Ok => {
                read_first_part(&mut body, length, || self.reserve_for_response(length)).await
            }
            Outcome::Full => discard(&mut body).await,
            // An error is one whatever its body; the connection is used again if all of it is here.
            _ => discard_promptly(&mut body).await,
        };
        // A rejection that is not whole proves nothing.
        let first = first.ok().filter(|first| first.complete || outcome != Outcome::Full);
        let Some(FirstPart { kept, unbuffered, complete }) = first else {
            // The response was cut short: the request may have run, and there is nothing to forward.
            return AttemptResult { report, ..AttemptResult::without_response(Outcome::Reset) };
        };
        let rest = if complete {
            self.recycle(server, connection).await;
            None
        } else {
            let return_to = (self.clone(), server, connection);
            let rest = StreamedResponse::new(forward, body, kept.len(), length, return_to);
            Some(rest.beginning_with(unbuffered))
        };
        // The body of an unsuccessful response is not forwarded.
        let response = (outcome == Outcome::Ok)
            .then(|| Box::new(Response::from_parts(head, UpstreamResponse { kept, rest })));
        AttemptResult { outcome, report, response, denial: None }
    }

    /// Memory to buffer a response of this size, if it is small enough and memory is left.
    fn reserve_for_response(&self, length: Option<u64>) -> Option<Reservation> {
        match length {
            Some(length) if length > MAX_BUFFERED_BYTES as u64 => None,
            Some(length) => self.memory.buffers.reserve(usize::try_from(length).ok()?),
            None => {
                self.memory.buffers.reserve(MAX_BUFFERED_BYTES + self.memory.budget.piece_bytes)
            }
        }
    }
}
