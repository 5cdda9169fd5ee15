//! The list service over HTTP/1.1 (PROTOCOL, "Discovery"): `GET /api/targets` answers the full list;
//! `GET /api/targets?stream=1&index=N` opens a watch, a chunked response with one JSON object per line and an empty
//! line as a heartbeat while nothing changes. `GET /-/ready` answers 200 with the revision once the list can be read.
//!
//! `service=NAME`, repeatable and percent-encoded, filters either by service ([`Filter`]). The revision stays that of
//! the full list. A watch is not sent other services' changes; once they have advanced the revision, its next
//! heartbeat is `{"revision":N,"complete":false,"members":[]}`, so that the client can continue from there at another
//! instance. A filtered watch from index 0 is sent the full list of its services first.
//!
//! Runs on a current-thread runtime inside a `LocalSet`, so it reads the replicated state in place. Each change is
//! announced on a `watch` channel of revisions that every watch receives. The leader and its followers all serve: their
//! state only ever moves forward, so no watch sees a revision go back.

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
use rustc_hash::FxHashMap;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::filter::Filter;
use super::member::Message;
use super::store::{ChangesSince, Store};
use crate::calls::{self, MAX_BODY_BYTES};
use crate::replica::host::Host;
use crate::socket::Socket;

/// Maximum number of lines queued for a slow reader; later changes are merged into one line once it reads again.
const MAX_QUEUED_LINES: usize = 4;

type ListResponse = Response<Either<Full<Bytes>, Lines>>;

/// Response body of one watch: a stream of lines.
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

/// The list service of one instance.
pub struct ListService {
    host: Rc<Host>,
    heartbeat: Duration,
    /// Shared state of the watches of each filter, while at least one of them is open.
    filters: RefCell<FxHashMap<Filter, Rc<FilterState>>>,
    watches: Cell<u64>,
    lines_built: Cell<u64>,
}

/// State shared by the watches of one filter.
#[derive(Debug)]
struct FilterState {
    filter: Filter,
    /// Cached result of [`Store::last_change`]: the list revision it is for, and the revision it returned.
    last_change_at: Cell<(u64, u64)>,
    /// The last line built; watches at the same position share its bytes.
    line: RefCell<Option<Line>>,
}

/// One line of a watch, and the range of changes that it covers.
#[derive(Clone, Debug)]
struct Line {
    /// The change it starts after; `None` for a full list.
    from: Option<u64>,
    /// The last change it includes.
    to: u64,
    /// The revision it carries.
    revision: u64,
    bytes: Bytes,
}

impl FilterState {
    fn new(filter: Filter) -> Rc<Self> {
        Rc::new(Self { filter, last_change_at: Cell::default(), line: RefCell::default() })
    }

    /// The last revision in which a member that matches the filter changed.
    fn last_change(&self, list: &Store) -> u64 {
        if self.last_change_at.get().0 != list.revision() {
            self.last_change_at
                .set((list.revision(), list.last_change(list.revision(), &self.filter)));
        }
        self.last_change_at.get().1
    }
}

/// Counts one open watch and holds the state of its filter until dropped.
struct WatchGuard {
    service: Rc<ListService>,
    shared: Rc<FilterState>,
}

impl WatchGuard {
    fn new(service: Rc<ListService>, filter: Filter) -> Self {
        service.watches.set(service.watches.get() + 1);
        let mut filters = service.filters.borrow_mut();
        let shared =
            filters.entry(filter).or_insert_with_key(|f| FilterState::new(f.clone())).clone();
        drop(filters);
        Self { service, shared }
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.service.watches.set(self.service.watches.get() - 1);
        // The references in the map and in this guard: no other watch has this filter.
        if Rc::strong_count(&self.shared) == 2 {
            self.service.filters.borrow_mut().remove(&self.shared.filter);
        }
    }
}

impl ListService {
    /// Creates a service over this state; `heartbeat` is the interval between heartbeats of an idle watch.
    pub fn new(host: Rc<Host>, heartbeat: Duration) -> Rc<Self> {
        let (filters, watches, lines_built) = Default::default();
        Rc::new(Self { host, heartbeat, filters, watches, lines_built })
    }

    /// Number of lines built for watches so far; a shared line counts once.
    pub fn lines_built(&self) -> u64 {
        self.lines_built.get()
    }

    /// Number of open watches.
    pub fn watches(&self) -> u64 {
        self.watches.get()
    }

    /// Accepts connections until the task is dropped.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        calls::accept(listener, move |stream| {
            let this = self.clone();
            async move {
                let service = service_fn(|request| this.clone().answer(request));
                let connection = calls::connection()
                    .serve_connection(TokioIo::new(Socket::new(stream)), service);
                if let Err(cause) = connection.await {
                    tracing::debug!(%cause, "connection");
                }
            }
        })
        .await;
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<ListResponse, Infallible> {
        let (head, body) = request.into_parts();
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
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
                let body = serde_json::json!({"ready": ready, "revision": revision});
                return Ok(calls::json_reply(status, &body).map(Either::Left));
            }
            _ => return Ok(error(StatusCode::NOT_FOUND, "no such path")),
        }
        if !self.host.ready() {
            return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "no list yet"));
        }
        match Query::parse(head.uri.query().unwrap_or("")) {
            Err(cause) => Ok(error(StatusCode::BAD_REQUEST, cause)),
            Ok(Query { stream: false, filter, .. }) => {
                let line = self.host.read(|m| m.list().full_list(&filter).line());
                Ok(calls::reply_with_type(StatusCode::OK, "application/json", line)
                    .map(Either::Left))
            }
            Ok(Query { stream: true, index, filter }) => Ok(self.watch(index, filter)),
        }
    }

    /// The next line for a watch at revision `held`, or with the full list if `held` is `None`. Returns `None` if
    /// nothing that matches the filter has changed.
    fn line(&self, shared: &FilterState, held: Option<u64>) -> Option<Line> {
        self.host.read(|m| {
            let (list, filter) = (m.list(), &shared.filter);
            let now = list.revision();
            let to = shared.last_change(list);
            if held.is_some_and(|held| held >= to) {
                return None;
            }
            // All revisions between two changes that match the filter are equivalent.
            let covered = held.filter(|held| *held >= list.oldest());
            let from = covered.map(|held| list.last_change(held, filter));
            let mut last = shared.line.borrow_mut();
            // A client that needs the full list may already be at the current revision, so the line must be as new.
            let reusable = |line: &&Line| {
                (line.from, line.to) == (from, to) && (from.is_some() || line.revision == now)
            };
            if let Some(line) = last.as_ref().filter(reusable) {
                return Some(line.clone());
            }
            let message = match covered.map(|held| list.changes_since(held, filter)) {
                None => list.full_list(filter),
                Some(ChangesSince::Changes(message) | ChangesSince::FullList(message)) => message,
                Some(ChangesSince::Current | ChangesSince::Ahead) => return None,
            };
            self.lines_built.set(self.lines_built.get() + 1);
            let (revision, bytes) = (message.revision, Bytes::from(message.line()));
            *last = Some(Line { from, to, revision, bytes });
            last.clone()
        })
    }

    fn watch(self: Rc<Self>, index: u64, filter: Filter) -> ListResponse {
        let (lines, body) = mpsc::channel(MAX_QUEUED_LINES);
        let mut revisions = self.host.revisions();
        // A list of other services, sent earlier, is of no use to the client.
        let needs_full_list = index == 0 && filter != Filter::all();
        let guard = WatchGuard::new(self, filter);
        tokio::task::spawn_local(async move {
            let WatchGuard { service, shared } = &guard;
            // `sent` is the revision sent last; up to `held`, no change is left to send.
            let (mut sent, mut held) = (index, (!needs_full_list).then_some(index));
            let mut next_heartbeat = Instant::now() + service.heartbeat;
            loop {
                revisions.mark_unchanged();
                let mut line = service.line(shared, held).map(|line| (line.revision, line.bytes));
                if line.is_none() {
                    held = held.max(Some(service.host.read(|m| m.list().revision())));
                    tokio::select! {
                        changed = revisions.changed() => {
                            if changed.is_err() {
                                return;
                            }
                        }
                        () = sleep_until(next_heartbeat) => line = Some(heartbeat_line(sent, held)),
                        () = lines.closed() => return,
                    }
                }
                if let Some((revision, line)) = line {
                    (sent, held) = (revision, held.max(Some(revision)));
                    if lines.send(line).await.is_err() {
                        return;
                    }
                    next_heartbeat = Instant::now() + service.heartbeat;
                }
            }
        });
        let mut answer = Response::new(Either::Right(Lines(body)));
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        answer
    }
}

/// The heartbeat of an idle watch and the revision the client has after it: an empty line, or a message without members
/// if changes of other services have advanced the revision.
fn heartbeat_line(sent: u64, held: Option<u64>) -> (u64, Bytes) {
    match held {
        Some(held) if held > sent => {
            let message = Message { revision: held, ..Message::default() };
            (held, Bytes::from(message.line()))
        }
        _ => (sent, Bytes::from_static(b"\n")),
    }
}

/// Parsed query of `/api/targets`.
#[derive(Debug, PartialEq)]
struct Query {
    stream: bool,
    index: u64,
    filter: Filter,
}

impl Query {
    fn parse(query: &str) -> Result<Self, &'static str> {
        let mut parsed = Self { stream: false, index: 0, filter: Filter::all() };
        for pair in query.split('&').filter(|p| !p.is_empty()) {
            match pair.split_once('=').unwrap_or((pair, "")) {
                ("stream", "1" | "true") => parsed.stream = true,
                ("stream", "0" | "false") => parsed.stream = false,
                ("stream", _) => return Err("stream is 1 or 0"),
                ("index", n) => parsed.index = n.parse().map_err(|_| "index is a revision")?,
                ("service", name) => parsed.filter.add(name)?,
                _ => {}
            }
        }
        Ok(parsed)
    }
}

fn error(status: StatusCode, cause: &str) -> ListResponse {
    calls::error(status, cause).map(Either::Left)
}

#[cfg(test)]
mod tests;
