//! The list service over HTTP/1.1 (PROTOCOL, "Discovery"): `GET /api/targets` answers the whole list;
//! `GET /api/targets?stream=1&index=N` is a watch, a chunked answer with one JSON object a line and an
//! empty line every heartbeat while nothing changes. `GET /-/ready` answers 200 with the revision.
//!
//! Runs on a current-thread runtime inside a `LocalSet`: it reads the replicated state where it is, and each
//! change is announced on a `watch` channel of revisions that every watch follows. Every instance serves, the
//! leader and its followers alike: their state only ever moves forward, so no watch sees a revision go back.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::member::Message;
use super::store::Since;
use crate::calls::{self, LIMIT};
use crate::replica::host::Host;

/// Lines a slow watcher may have waiting; what changes meanwhile is told in one line once it reads on.
const QUEUED_LINES: usize = 4;

type Answer = Response<Either<Full<Bytes>, Lines>>;

/// The lines of one watch, as they are made.
pub struct Lines(mpsc::Receiver<Bytes>);

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

/// One list service: the state, the pace of heartbeats, and the watches.
pub struct ListService {
    host: Rc<Host>,
    heartbeat: Duration,
    /// The last line made, and from which revision: watches that are level get the same bytes.
    last: RefCell<(u64, u64, Bytes)>,
    watches: Cell<u64>,
}

/// One more watch, while it lives.
struct Watching(Rc<ListService>);

impl Watching {
    fn new(service: Rc<ListService>) -> Self {
        service.watches.set(service.watches.get() + 1);
        Self(service)
    }
}

impl Drop for Watching {
    fn drop(&mut self) {
        self.0.watches.set(self.0.watches.get() - 1);
    }
}

impl ListService {
    /// A service over this state; `heartbeat` is the gap between empty lines on a quiet watch.
    pub fn new(host: Rc<Host>, heartbeat: Duration) -> Rc<Self> {
        let (last, watches) = (RefCell::default(), Cell::new(0));
        Rc::new(Self { host, heartbeat, last, watches })
    }

    /// How many watches are open.
    pub fn watches(&self) -> u64 {
        self.watches.get()
    }

    /// Accepts connections until the task is dropped.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        calls::accept(listener, move |stream| {
            let this = self.clone();
            async move {
                let service = service_fn(|request| this.clone().answer(request));
                let connection =
                    calls::connection().serve_connection(TokioIo::new(stream), service);
                if let Err(cause) = connection.await {
                    tracing::debug!(%cause, "connection");
                }
            }
        })
        .await;
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Result<Answer, Infallible> {
        let (head, body) = request.into_parts();
        if Limited::new(body, LIMIT).collect().await.is_err() {
            return Ok(error(StatusCode::PAYLOAD_TOO_LARGE, "a body over 64 KiB"));
        }
        if head.method != Method::GET {
            return Ok(error(StatusCode::METHOD_NOT_ALLOWED, "only GET"));
        }
        match head.uri.path() {
            "/api/targets" => {}
            "/-/ready" => {
                let (ready, revision) =
                    (self.host.ready(), self.host.read(|m| m.list().revision()));
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                let said = serde_json::json!({"ready": ready, "revision": revision});
                return Ok(calls::say(status, &said).map(Either::Left));
            }
            _ => return Ok(error(StatusCode::NOT_FOUND, "no such path")),
        }
        if !self.host.ready() {
            return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "no list yet"));
        }
        match Query::parse(head.uri.query().unwrap_or("")) {
            Err(cause) => Ok(error(StatusCode::BAD_REQUEST, cause)),
            Ok(Query { stream: false, .. }) => {
                let line = self.host.read(|m| m.list().whole().line());
                Ok(calls::text(StatusCode::OK, "application/json", line).map(Either::Left))
            }
            Ok(Query { stream: true, index }) => Ok(self.watch(index)),
        }
    }

    /// What a watch that holds revision `from` is told now, and the revision it has then.
    fn line(&self, from: u64) -> Option<(u64, Bytes)> {
        let mut last = self.last.borrow_mut();
        let revision = self.host.read(|m| m.list().revision());
        if from < revision && (last.0, last.1) != (from, revision) {
            let line = |message: Message| Bytes::from(message.line());
            let made = self.host.read(|m| match m.list().since(from) {
                Since::Current | Since::Ahead => None,
                Since::Changes(message) | Since::Whole(message) => Some(line(message)),
            });
            *last = (from, revision, made?);
        }
        (from < revision).then(|| (revision, last.2.clone()))
    }

    fn watch(self: Rc<Self>, index: u64) -> Answer {
        let (lines, body) = mpsc::channel(QUEUED_LINES);
        let mut revisions = self.host.revisions();
        let watching = Watching::new(self);
        tokio::task::spawn_local(async move {
            let service = &watching.0;
            let mut told = index;
            loop {
                revisions.mark_unchanged();
                if let Some((revision, line)) = service.line(told) {
                    told = revision;
                    if lines.send(line).await.is_err() {
                        return;
                    }
                    continue;
                }
                tokio::select! {
                    changed = revisions.changed() => {
                        if changed.is_err() {
                            return;
                        }
                    }
                    () = tokio::time::sleep(service.heartbeat) => {
                        if lines.send(Bytes::from_static(b"\n")).await.is_err() {
                            return;
                        }
                    }
                    () = lines.closed() => return,
                }
            }
        });
        let mut answer = Response::new(Either::Right(Lines(body)));
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        answer
    }
}

/// The query of `/api/targets`.
#[derive(Debug, PartialEq)]
struct Query {
    stream: bool,
    index: u64,
}

impl Query {
    fn parse(query: &str) -> Result<Self, &'static str> {
        let mut parsed = Self { stream: false, index: 0 };
        for pair in query.split('&').filter(|p| !p.is_empty()) {
            match pair.split_once('=').unwrap_or((pair, "")) {
                ("stream", "1" | "true") => parsed.stream = true,
                ("stream", "0" | "false") => parsed.stream = false,
                ("stream", _) => return Err("stream is 1 or 0"),
                ("index", n) => parsed.index = n.parse().map_err(|_| "index is a revision")?,
                _ => {}
            }
        }
        Ok(parsed)
    }
}

fn error(status: StatusCode, cause: &str) -> Answer {
    calls::error(status, cause).map(Either::Left)
}

#[cfg(test)]
mod tests;
