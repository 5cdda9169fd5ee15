//! Attempts at upstreams, and the connections kept for them.

mod connection;
mod streamed_response;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hollowpaddle::figures::Figures;
use hollowpaddle::interface::{Outcome, Report, ServerId};
use hollowpaddle::invariants::permit::Denial;
use hollowpaddle::invariants::violations::Violations;
use hollowpaddle::settings::Field;
use hollowpaddle::tasks::AbortOnDrop;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use rustc_hash::FxHashMap;
use tokio::net::TcpSocket;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::bodies::{BUFFER, Due, KEPT, Memory, Outgoing, Payload, Served};
use crate::config::Config;
use crate::guard::AttemptGuard;
use crate::succession::SOCKET_BUFFER;
use connection::{CountedIo, OpenConnectionGuard, UpstreamConnection, Written};
use hollowpaddle::socket::{Peer, Socket, Unread};
pub use streamed_response::StreamedResponse;

/// Idle connections are dropped at this share of the upstream's own limit: a request that crosses with its
/// close would end as a reset, which no unsafe request survives.
const IDLE_LIMIT_RATIO: f64 = 0.75;
/// How often idle connections are looked through.
const REAP_INTERVAL: Duration = Duration::from_millis(250);
/// How long a connection rests after an answer before it carries another request, at an upstream that was seen to
/// speak out of turn lately: it may answer twice, some milliseconds apart (STANDING), and nothing tells a second
/// answer from that to the next request. On a connection that rests it is seen, and ends the connection.
const UNSOLICITED_HOLD_OFF: Duration = Duration::from_millis(10);
const UNSOLICITED_WINDOW: Duration = Duration::from_secs(60);
/// How long a connection may take to be ready again once its answer is whole.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

/// How long an answer that does not tell its size is waited for to be whole or large, before what there is of
/// it is passed on: a large one is timed by its first bytes.
const COMPLETE_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// An upstream that neither takes nor gives a byte for so long, in the middle of a body, is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(8);
/// How often that is looked at.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A client's request as it goes on, the same for each of its attempts.
pub struct Forward {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Payload,
    /// When its client gives up; set anew once its body is whole.
    pub until: Cell<Instant>,
    /// Who waits for the answer.
    pub client: Peer,
}

impl Forward {
    /// The request's id, as its client gave it.
    pub fn id(&self) -> Option<&str> {
        self.headers.get("x-request-id")?.to_str().ok()
    }
}

/// How an attempt ended, and with what.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub report: Report,
    /// The answer, if it served.
    pub response: Option<Box<Response<Served>>>,
    /// Why it did not begin, where its guard said no.
    pub denial: Option<Denial>,
}

impl AttemptResult {
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, report: Report::default(), response: None, denial: None }
    }

    /// The guard did not let it begin.
    pub fn denied(denial: Denial) -> Self {
        Self { denial: Some(denial), ..Self::without_response(Outcome::NotSent) }
    }
}

/// What may change about an upstream while an attempt waits for its connection.
#[derive(Debug)]
pub struct Target {
    pub address: Cell<SocketAddr>,
    /// It drains or is gone. At once, and not with the grace of a drain: that began when discovery had the news,
    /// which may be earlier than they were heard here.
    pub closed: Cell<bool>,
}

/// The connections to all upstreams, and how to use them.
pub struct Pool {
    idle: RefCell<FxHashMap<ServerId, Vec<UpstreamConnection>>>,
    /// Upstreams that said something on a connection on which nothing was asked, and when.
    unsolicited: RefCell<FxHashMap<ServerId, Instant>>,
    open_count: Rc<Cell<usize>>,
    max_connections: usize,
    idle_limit: Duration,
    connect_timeout: Duration,
    fields: Vec<(String, Field)>,
    attempts_sent: Counter,
    violations: Violations,
    memory: Rc<Memory>,
}

impl Pool {
    /// Counts in these figures the attempts that were written whole, and the rules that they broke.
    pub fn new(
        max_connections: usize,
        config: &Config,
        figures: &Figures,
        memory: Rc<Memory>,
    ) -> Rc<Self> {
        let limits = &config.facts.policy_limits;
        let ms = |ms: f64, default: f64| {
            let ms = if ms > 0.0 && ms < 1e7 { ms } else { default };
            Duration::from_secs_f64(ms / 1000.0)
        };
        let names = &config.facts.stats.names;
        let pool = Rc::new(Self {
            idle: RefCell::default(),
            unsolicited: RefCell::default(),
            open_count: Rc::default(),
            max_connections,
            idle_limit: ms(limits.keepalive, 5000.0).mul_f64(IDLE_LIMIT_RATIO),
            connect_timeout: ms(limits.connect_timeout, 250.0),
            fields: names.iter().map(|n| (n.clone(), Field::named(n))).collect(),
            attempts_sent: figures.tries.clone(),
            violations: figures.violations.clone(),
            memory,
        });
        let weak = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            loop {
                sleep(REAP_INTERVAL).await;
                let Some(pool) = weak.upgrade() else { return };
                pool.reap();
            }
        });
        pool
    }

    /// Drops what has idled for too long or was closed from the other side.
    fn reap(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| self.usable(c));
            !connections.is_empty()
        });
    }

    fn usable(&self, connection: &UpstreamConnection) -> bool {
        !connection.sender.is_closed() && connection.idle_since.elapsed() < self.idle_limit
    }

    /// Drops the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    fn record_unsolicited(&self, server: ServerId, address: SocketAddr) {
        tracing::info!(%address, "an upstream spoke out of turn");
        self.unsolicited.borrow_mut().insert(server, Instant::now());
    }

    fn recently_unsolicited(&self, server: ServerId) -> bool {
        self.unsolicited
            .borrow()
            .get(&server)
            .is_some_and(|seen| seen.elapsed() < UNSOLICITED_WINDOW)
    }

    /// Of those that have rested the one used last: the others can age out.
    fn take_idle(&self, server: ServerId, address: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        let rest =
            if self.recently_unsolicited(server) { UNSOLICITED_HOLD_OFF } else { Duration::ZERO };
        while let Some(at) = connections.iter().rposition(|c| c.idle_since.elapsed() >= rest) {
            let connection = connections.remove(at);
            if !self.usable(&connection) || connection.address != address {
                continue;
            }
            match connection.unread_input() {
                Unread::Nothing => return Some(connection),
                Unread::Bytes => self.record_unsolicited(server, address),
                Unread::End => {}
            }
        }
        None
    }

    fn put_idle(&self, server: ServerId, connection: UpstreamConnection) {
        self.idle.borrow_mut().entry(server).or_default().push(connection);
    }

    /// Makes room for one more connection at the cost of the one that has idled longest.
    fn make_room(&self) -> bool {
        if self.open_count.get() < self.max_connections {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        // Each stack is in order of age, the oldest first.
        let oldest = idle
            .iter()
            .filter_map(|(server, connections)| {
                connections.first().map(|c| (c.idle_since, *server))
            })
            .min_by_key(|(since, _)| *since);
        let Some((_, server)) = oldest else { return false };
        if let Some(connections) = idle.get_mut(&server) {
            drop(connections.remove(0));
        }
        true
    }

    async fn connect(
        self: &Rc<Self>,
        server: ServerId,
        address: SocketAddr,
    ) -> Option<UpstreamConnection> {
        if !self.make_room() {
            tracing::warn!("no descriptor left for an upstream");
            return None;
        }
        let open = OpenConnectionGuard::new(&self.open_count);
        let socket =
            if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.ok()?;
        socket.set_send_buffer_size(SOCKET_BUFFER).ok()?;
        socket.set_recv_buffer_size(SOCKET_BUFFER).ok()?;
        let stream = timeout(self.connect_timeout, socket.connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (attempts_sent, violations) = (self.attempts_sent.clone(), self.violations.clone());
        let written = Written { attempts_sent, violations, ..Written::default() };
        let socket = Socket::new(stream);
        let peer = socket.peer();
        let io = CountedIo { inner: TokioIo::new(socket), written: written.clone() };
        let (sender, connection) =
            http1::Builder::new().max_buf_size(BUFFER).handshake(io).await.ok()?;
        let pool = Rc::downgrade(self);
        let task = tokio::task::spawn_local(async move {
            let _open = open;
            let ended = connection.await;
            // More than an answer, or none: hyper tells the one only in words. A failure of the socket has a source.
            let unsolicited = ended.is_err_and(|e| {
                std::error::Error::source(&e).is_none()
                    && !e.is_incomplete_message()
                    && !e.is_canceled()
            });
            if let (true, Some(pool)) = (unsolicited, pool.upgrade()) {
                pool.record_unsolicited(server, address);
            }
        });
        let idle_since = Instant::now();
        let _connection = AbortOnDrop(task);
        Some(UpstreamConnection { sender, written, peer, address, idle_since, _connection })
    }

    /// Keeps a connection whose answer has been read, once it can take another request.
    async fn recycle(&self, server: ServerId, mut connection: UpstreamConnection) {
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
            connection.idle_since = Instant::now();
            connection.written.permitted.set(false);
            self.put_idle(server, connection);
        }
    }

    /// One attempt: at most one request reaches the wire. Its guard is asked right before its first byte does.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        guard: &Rc<AttemptGuard>,
        until: Instant,
    ) -> AttemptResult {
        let progress = SendProgress::default();
        let ended = tokio::select! {
            biased;
            ended = self.exchange(server, guard, until, &progress) => Some(ended),
            () = attempt_timeout(guard.forward(), until, &progress) => None,
        };
        ended.unwrap_or_else(|| {
            // Time ran out before all of it was handed over: it cannot have run.
            AttemptResult::without_response(if progress.certainly_incomplete() {
                Outcome::ConnectFailed
            } else {
                Outcome::Timeout
            })
        })
    }

    async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        guard: &Rc<AttemptGuard>,
        until: Instant,
        progress: &SendProgress,
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
            // The wait for a connection may outlast the request, or the upstream's service.
            match guard.check() {
                Ok(()) => {}
                // Another upstream may listen where it was.
                Err(Denial::UpstreamMoved) => continue,
                Err(denial) => {
                    self.put_idle(server, connection);
                    return AttemptResult::denied(denial);
                }
            }
            let Some(request) = forward.request(until, progress, &connection.written, guard) else {
                return AttemptResult::without_response(Outcome::NotSent);
            };
            let can_resend = || reused && progress.nothing_written() && !forward.body.is_spent();
            let answer = connection.sender.send_request(request).await;
            match guard.denial() {
                None => {}
                // On another connection it is told what holds by then.
                Some(Denial::UpstreamMoved | Denial::DeadlineStale) => continue,
                Some(denial) => return AttemptResult::denied(denial),
            }
            let answer = match answer {
                Ok(answer) => answer,
                // A kept connection that closed before a byte went out is no attempt yet.
                Err(_) if can_resend() => continue,
                Err(_) if progress.certainly_incomplete() => {
                    return AttemptResult::without_response(Outcome::ConnectFailed);
                }
                Err(_) => return AttemptResult::without_response(Outcome::Reset),
            };
            return self.answer(forward, server, connection, answer).await;
        }
    }

    /// Reads an answer to its end, or, where it is large, its first part; only then is it one.
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
        // Nobody is shown the body of an answer that did not serve.
        let serves = outcome == Outcome::Ok;
        let length = body.size_hint().exact();
        let room = length.map_or(KEPT, |n| usize::try_from(n).unwrap_or(usize::MAX));
        let hold = (room <= KEPT && serves).then(|| self.memory.hold(room)).flatten();
        let most = if hold.is_some() || !serves { KEPT } else { 0 };
        let Ok((kept, complete)) = first_part(&mut body, most, length).await else {
            // Cut short: it ran, and there is nothing to pass on.
            return AttemptResult { report, ..AttemptResult::without_response(Outcome::Reset) };
        };
        let rest = if complete {
            self.recycle(server, connection).await;
            None
        } else {
            let return_to = (self.clone(), server, connection);
            Some(StreamedResponse::new(forward, body, kept.len(), length, return_to))
        };
        let response =
            serves.then(|| Box::new(Response::from_parts(head, Served { kept, rest, hold })));
        AttemptResult { outcome, report, response, denial: None }
    }
}

/// Reads a body until it ends, or until there is more of it than `most`; one of unknown size not for long.
/// Tells whether that is all of it.
async fn first_part(
    body: &mut Incoming,
    most: usize,
    length: Option<u64>,
) -> Result<(Bytes, bool), hyper::Error> {
    if most == 0 || length.is_some_and(|n| n > most as u64) {
        return Ok((Bytes::new(), body.is_end_stream()));
    }
    let by = Instant::now() + COMPLETE_BODY_TIMEOUT;
    let mut buffered = BytesMut::with_capacity(length.map_or(0, |n| n as usize));
    loop {
        let frame = match length {
            Some(_) => Ok(body.frame().await),
            None => timeout_at(by, body.frame()).await,
        };
        match frame {
            Ok(None) => return Ok((buffered.freeze(), true)),
            Ok(Some(frame)) => {
                if let Ok(data) = frame?.into_data() {
                    buffered.extend_from_slice(&data);
                }
            }
            // Slow; with nothing to pass on yet, it is still waited for.
            Err(_) if buffered.is_empty() => {
                let Some(frame) = body.frame().await else { return Ok((buffered.freeze(), true)) };
                if let Ok(data) = frame?.into_data() {
                    buffered.extend_from_slice(&data);
                }
            }
            Err(_) => return Ok((buffered.freeze(), false)),
        }
        if buffered.len() > most {
            return Ok((buffered.freeze(), body.is_end_stream()));
        }
    }
}

/// Waits until the time of an attempt is over. While a body is passed on, that is when its upstream has
/// stopped taking it.
async fn attempt_timeout(forward: &Forward, until: Instant, progress: &SendProgress) {
    let Some(rest) = &forward.body.rest else { return sleep_until(until).await };
    let allowed = until.saturating_duration_since(Instant::now());
    let stalled = async {
        let (mut seen, mut since) = (progress.bytes(), Instant::now());
        while since.elapsed() < STALL_TIMEOUT {
            sleep(STALL_CHECK_INTERVAL).await;
            if rest.waits() || progress.bytes() != seen {
                (seen, since) = (progress.bytes(), Instant::now());
            }
        }
    };
    tokio::select! {
        how = rest.ended() => match how {
            Ok(()) => sleep(allowed).await,
            // The exchange ends by itself.
            Err(_) => std::future::pending().await,
        },
        () = stalled => {}
    }
}

/// `X-Load: TEXT name=value, name=value`; what is not understood is left out.
fn parse_load_report(fields: &[(String, Field)], headers: &HeaderMap) -> Report {
    let mut report = Report::default();
    let text = headers.get("x-load").and_then(|v| v.to_str().ok());
    let Some(text) = text.and_then(|t| t.trim().strip_prefix("TEXT")) else { return report };
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        let known = fields.iter().find(|(n, _)| n == name.trim());
        if let Some((_, field)) = known.filter(|_| value.is_finite()) {
            field.set(&mut report, value);
        }
    }
    report
}

/// How much of a request was handed to the kernel.
#[derive(Default)]
struct SendProgress {
    written: RefCell<Option<(Written, u64)>>,
    due: RefCell<Due>,
}

impl SendProgress {
    fn start(&self, written: &Written, due: Due) {
        let from = written.bytes.get();
        // Where more may come, it is set once all of it was given.
        written.complete_at.set(due.all.get().then(|| from + due.bytes.get()));
        self.written.replace(Some((written.clone(), from)));
        self.due.replace(due);
    }
    fn bytes(&self) -> u64 {
        self.written.borrow().as_ref().map_or(0, |(w, from)| w.bytes.get() - from)
    }
    fn nothing_written(&self) -> bool {
        self.bytes() == 0
    }
    /// Its last byte is certainly not out; in doubt it is.
    fn certainly_incomplete(&self) -> bool {
        let due = self.due.borrow();
        !due.all.get() || self.bytes() < due.bytes.get().max(1)
    }
}

impl Forward {
    fn request(
        &self,
        until: Instant,
        progress: &SendProgress,
        written: &Written,
        guard: &Rc<AttemptGuard>,
    ) -> Option<Request<Outgoing>> {
        let due = Due::default();
        let (from, of, all) = (written.bytes.get(), written.clone(), due.clone());
        let given = move || of.complete_at.set(Some(from + all.bytes.get()));
        let mut request = Request::new(Outgoing::new(&self.body, due.clone(), Box::new(given)));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = until.saturating_duration_since(Instant::now());
        guard.set_sent_deadline(left);
        written.guard.replace(Some(guard.clone()));
        let left = HeaderValue::from_str(&left.as_millis().to_string()).ok()?;
        request.headers_mut().insert("x-deadline-ms", left);
        // Every name and value goes out with at least this much around it.
        let head: usize =
            request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
        due.bytes.set(due.bytes.get() + head as u64);
        progress.start(written, due);
        Some(request)
    }
}

#[cfg(test)]
mod tests;
