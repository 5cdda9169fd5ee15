//! The list service over HTTP/1.1 (PROTOCOL, "Discovery"): `GET /api/targets` answers the whole list;
//! `GET /api/targets?stream=1&index=N` is a watch, a chunked answer with one JSON object a line and an
//! empty line every heartbeat while nothing changes. `GET /-/ready` answers 200 with the revision.
//!
//! Runs on a current-thread runtime inside a `LocalSet`: the store is shared by `Rc<RefCell<_>>`, and each
//! change is announced on a `watch` channel of revisions that every watch follows.

use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::member::Member;
use super::store::{Since, Store};

/// PROTOCOL: no body exceeds 64 KiB; nor does a head here.
const LIMIT: usize = 64 << 10;
/// Lines a slow watcher may have waiting before it is told the whole list instead, on a new watch.
const QUEUED_LINES: usize = 16;

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

/// One list service: the store, the announcement of its revisions, and the pace of heartbeats.
pub struct ListService {
    store: RefCell<Store>,
    revisions: watch::Sender<u64>,
    heartbeat: Duration,
}

impl ListService {
    /// A service over this store; `heartbeat` is the gap between empty lines on a quiet watch.
    pub fn new(store: Store, heartbeat: Duration) -> Rc<Self> {
        let (revisions, _) = watch::channel(store.revision());
        Rc::new(Self { store: RefCell::new(store), revisions, heartbeat })
    }

    /// Puts an entry in (or takes it out, `DELETED`) and wakes every watch where the list changed.
    pub fn apply(&self, member: Member) -> Option<u64> {
        let revision = self.store.borrow_mut().apply(member)?;
        self.revisions.send_replace(revision);
        Some(revision)
    }

    /// Accepts connections until the task is dropped; a failed accept is logged and tried again.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(cause) => {
                    tracing::warn!(%cause, "accept");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let this = self.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| this.clone().answer(request));
                let connection = http1::Builder::new()
                    .max_buf_size(LIMIT)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(cause) = connection.await {
                    tracing::debug!(%cause, "connection");
                }
            });
        }
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Result<Answer, Infallible> {
        let (head, body) = request.into_parts();
        if Limited::new(body, LIMIT).collect().await.is_err() {
            return Ok(say(StatusCode::PAYLOAD_TOO_LARGE, "a body over 64 KiB"));
        }
        if head.method != Method::GET {
            return Ok(say(StatusCode::METHOD_NOT_ALLOWED, "only GET"));
        }
        match head.uri.path() {
            "/api/targets" => {}
            "/-/ready" => {
                let revision = self.store.borrow().revision();
                return Ok(json(
                    StatusCode::OK,
                    format!("{{\"ready\":true,\"revision\":{revision}}}\n"),
                ));
            }
            _ => return Ok(say(StatusCode::NOT_FOUND, "no such path")),
        }
        match Query::parse(head.uri.query().unwrap_or("")) {
            Err(cause) => Ok(say(StatusCode::BAD_REQUEST, cause)),
            Ok(Query { stream: false, .. }) => {
                let line = self.store.borrow().whole().line();
                Ok(json_bytes(StatusCode::OK, line))
            }
            Ok(Query { stream: true, index }) => Ok(self.watch(index)),
        }
    }

    fn watch(self: Rc<Self>, index: u64) -> Answer {
        let (lines, body) = mpsc::channel(QUEUED_LINES);
        let mut revisions = self.revisions.subscribe();
        tokio::task::spawn_local(async move {
            let mut told = index;
            loop {
                let first = self.store.borrow().since(told);
                let line = match first {
                    Since::Current => None,
                    Since::Changes(message) | Since::Whole(message) => {
                        told = message.revision;
                        Some(message.line())
                    }
                };
                revisions.mark_unchanged();
                if let Some(line) = line
                    && lines.send(Bytes::from(line)).await.is_err()
                {
                    return;
                }
                loop {
                    match tokio::time::timeout(self.heartbeat, revisions.changed()).await {
                        Ok(Ok(())) => break,
                        Ok(Err(_)) => return,
                        Err(_) => {
                            if lines.send(Bytes::from_static(b"\n")).await.is_err() {
                                return;
                            }
                        }
                    }
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

fn json_bytes(status: StatusCode, body: Vec<u8>) -> Answer {
    let mut answer = Response::new(Either::Left(Full::from(body)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn json(status: StatusCode, body: String) -> Answer {
    json_bytes(status, body.into_bytes())
}

fn say(status: StatusCode, error: &str) -> Answer {
    json(status, format!("{}\n", serde_json::json!({ "error": error })))
}

#[cfg(test)]
mod tests {
    use super::Query;

    #[test]
    fn a_query_is_read_or_refused() {
        assert_eq!(Query::parse("stream=1&index=41"), Ok(Query { stream: true, index: 41 }));
        assert_eq!(Query::parse(""), Ok(Query { stream: false, index: 0 }));
        assert!(Query::parse("stream=1&index=-1").is_err());
        assert!(Query::parse("stream=yes").is_err());
    }
}
