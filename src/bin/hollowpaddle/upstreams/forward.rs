//! A client's request as it is sent to upstreams.

use std::rc::Rc;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use tokio::time::Instant;

use super::attempt_progress::AttemptProgress;
use super::connection::Written;
use crate::bodies::{BodyProgress, Payload, UpstreamRequestBody};
use crate::client_connection::ClientInput;
use crate::deadlines::Deadlines;
use crate::guard::AttemptGuard;

/// A client's request as it is forwarded, shared by all of its attempts.
pub struct Forward {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Payload,
    pub deadlines: Deadlines,
    /// The connection of the client that waits for the answer.
    pub client: ClientInput,
}

impl Forward {
    /// The client's `X-Request-Id`.
    pub fn id(&self) -> Option<&str> {
        self.headers.get("x-request-id")?.to_str().ok()
    }

    /// The number of body bytes received.
    pub fn received(&self) -> u64 {
        self.body.rest.as_ref().map_or(self.body.kept.len() as u64, |rest| rest.received())
    }

    /// The request for one attempt, on the connection that `written` belongs to; `None` if a header can't be written. Heads
    /// of more than `short_head_bytes` mark the connection.
    pub(super) fn request(
        &self,
        until: Instant,
        progress: &AttemptProgress,
        written: &Written,
        guard: &Rc<AttemptGuard>,
        short_head_bytes: usize,
    ) -> Option<Request<Box<UpstreamRequestBody>>> {
        let due = BodyProgress::default();
        let (from, of, all) = (written.bytes.get(), written.clone(), due.clone());
        let given = move || of.complete_at.set(Some(from + all.bytes.get()));
        let mut request = Request::new(Box::new(UpstreamRequestBody::new(
            &self.body,
            due.clone(),
            Box::new(given),
        )));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = until.saturating_duration_since(Instant::now());
        guard.set_sent_deadline(left);
        written.guard.replace(Some(guard.clone()));
        let left = HeaderValue::from_str(&left.as_millis().to_string()).ok()?;
        request.headers_mut().insert("x-deadline-ms", left);
        let head = header_bytes(request.headers());
        due.bytes.set(due.bytes.get() + head as u64);
        written.awaits_head.set(true);
        written.response_bytes.set(0);
        if head > short_head_bytes {
            written.long_head.set(true);
        }
        progress.start(written, due);
        Some(request)
    }
}

/// The least size of these headers on a connection, in bytes: each line has at least four besides name and value, `: ` and
/// CRLF.
pub fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}
