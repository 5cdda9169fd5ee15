//! Attempts at upstreams, and the pool of upstream connections.

mod attempt_progress;
mod attempt_timeout;
mod connection;
mod first_part;
mod forward;
mod response_progress;
mod streamed_response;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle::figures::Figures;
use hollowpaddle::interface::{Outcome, Report, ServerId};
use hollowpaddle::invariants::permit::Denial;
use hollowpaddle::invariants::violations::Violations;
use hollowpaddle::settings::Field;
use hollowpaddle::tasks::AbortOnDrop;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use rustc_hash::FxHashMap;
use tokio::net::TcpSocket;
use tokio::time::{Instant, sleep, timeout};

use crate::bodies::{MAX_BUFFERED_BYTES, UpstreamResponse};
use crate::config::Config;
use crate::guard::AttemptGuard;
use crate::memory::{MessageMemory, Reservation};
use crate::succession::SOCKET_BUFFER_BYTES;
pub use attempt_progress::AttemptProgress;
use attempt_timeout::attempt_timeout;
use connection::{CountedIo, OpenConnectionGuard, UpstreamConnection, Written};
use first_part::{FirstPart, discard, discard_promptly, read_first_part};
pub use forward::{Forward, header_bytes};
use hollowpaddle::socket::{Socket, Unread};
pub use streamed_response::StreamedResponse;

/// Idle connections are closed at this fraction of the upstream's keep-alive limit. A request sent while the
/// upstream closes the connection would end in a reset, and an unsafe request cannot be retried after that.
const IDLE_LIMIT_RATIO: f64 = 0.75;
/// How often expired idle connections are removed.
const REAP_INTERVAL: Duration = Duration::from_millis(250);
/// How long a connection stays unused after a response, for an upstream that recently sent unsolicited bytes. Such
/// an upstream may send a second response some milliseconds after the first (STANDING), which cannot be told from
/// the response to the next request. On an idle connection it is detected, and the connection is closed.
const UNSOLICITED_HOLD_OFF: Duration = Duration::from_millis(10);
const UNSOLICITED_WINDOW: Duration = Duration::from_secs(60);
/// How long a connection may take to be ready for reuse after a complete response.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

/// Size of the kernel's send buffer of a connection to an upstream. A request's time runs while its end waits there, and
/// progress is visible in steps of a third of it.
const UPSTREAM_SEND_BUFFER_BYTES: u32 = 32 << 10;

/// Maximum size of a response head.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 << 10;
/// An exchange is aborted when the upstream neither reads nor sends a byte for this long in the middle of a body.
const STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// The outcome of an attempt, with its response if it succeeded.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub report: Report,
    /// The response to forward, if the outcome is `Ok`.
    pub response: Option<Box<Response<UpstreamResponse>>>,
    /// Why the guard did not let the attempt start.
    pub denial: Option<Denial>,
}

impl AttemptResult {
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, report: Report::default(), response: None, denial: None }
    }

    /// The result of an attempt that the guard did not let start.
    pub fn denied(denial: Denial) -> Self {
        Self { denial: Some(denial), ..Self::without_response(Outcome::NotSent) }
    }
}

/// The properties of an upstream that may change while an attempt waits for a connection.
#[derive(Debug)]
pub struct Target {
    pub address: Cell<SocketAddr>,
    /// The upstream drains or is gone. Takes effect immediately, without the drain grace: the grace began when
    /// discovery got the update, which may be earlier than its arrival here.
    pub closed: Cell<bool>,
}

/// The pool of connections to all upstreams; runs the attempts on them.
pub struct Pool {
    idle: RefCell<FxHashMap<ServerId, Vec<UpstreamConnection>>>,
    /// Upstreams that sent bytes on a connection without a request in flight, and when they last did.
    unsolicited: RefCell<FxHashMap<ServerId, Instant>>,
    open_count: Rc<Cell<usize>>,
    idle_limit: Duration,
    connect_timeout: Duration,
    fields: Vec<(String, Field)>,
    attempts_sent: Counter,
    responses_timed_out: Counter,
    violations: Violations,
    memory: MessageMemory,
}

impl Pool {
    /// Creates a pool with as many connections as the budget has for clients. Counts in `figures` the attempts that were
    /// written completely, and the rules that they broke.
    pub fn new(config: &Config, figures: &Figures, memory: MessageMemory) -> Rc<Self> {
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
            idle_limit: ms(limits.keepalive, 5000.0).mul_f64(IDLE_LIMIT_RATIO),
            connect_timeout: ms(limits.connect_timeout, 250.0),
            fields: names.iter().map(|n| (n.clone(), Field::named(n))).collect(),
            attempts_sent: figures.tries.clone(),
            responses_timed_out: figures.responses_timed_out.clone(),
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

    /// Drops connections that were idle for too long or that the upstream has closed.
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
        tracing::info!(%address, "upstream sent bytes without a request in flight");
        self.unsolicited.borrow_mut().insert(server, Instant::now());
    }

    fn recently_unsolicited(&self, server: ServerId) -> bool {
        self.unsolicited
            .borrow()
            .get(&server)
            .is_some_and(|seen| seen.elapsed() < UNSOLICITED_WINDOW)
    }

    /// Takes the most recently used idle connection that is past the hold-off, so that the others can expire.
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

    /// Keeps an idle connection; closes the one that has been idle longest if there are too many.
    fn put_idle(&self, server: ServerId, connection: UpstreamConnection) {
        self.idle.borrow_mut().entry(server).or_default().push(connection);
        let count = self.idle.borrow().values().map(Vec::len).sum::<usize>();
        if count > self.memory.budget.idle_connections {
            self.close_longest_idle();
        }
    }

    /// Makes room for one more connection, if necessary by closing the one that has been idle longest.
    fn make_room(&self) -> bool {
        self.open_count.get() < self.memory.budget.connections || self.close_longest_idle()
    }

    /// Closes the connection that has been idle longest; returns false if none is idle.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        // Each list is ordered by idle time, longest first.
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
            tracing::warn!("connection limit reached with no idle upstream connection to close");
            return None;
        }
        let open = OpenConnectionGuard::new(&self.open_count);
        let socket =
            if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.ok()?;
        socket.set_send_buffer_size(UPSTREAM_SEND_BUFFER_BYTES).ok()?;
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES).ok()?;
        let stream = timeout(self.connect_timeout, socket.connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (attempts_sent, violations) = (self.attempts_sent.clone(), self.violations.clone());
        let socket = Socket::new(stream);
        let peer = socket.peer();
        let written =
            Written { attempts_sent, violations, peer: peer.clone(), ..Written::default() };
        let io = CountedIo {
            inner: TokioIo::new(socket),
            written: written.clone(),
            reader: self.memory.reader(),
            head_gate: self.memory.response_head_gate(),
        };
        let (sender, connection) =
            http1::Builder::new().max_buf_size(MAX_RESPONSE_HEAD_BYTES).handshake(io).await.ok()?;
        let pool = Rc::downgrade(self);
        // Boxed, since the task would have room for it twice: for what it captures, and for what it waits for.
        let connection = Box::pin(connection);
        let task = tokio::task::spawn_local(async move {
            let _open = open;
            let ended = connection.await;
            // Detects unsolicited bytes, for which hyper has no error kind of its own: socket errors have a source, and
            // the other errors without one are excluded here.
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

    /// Returns a connection to the pool after its response was read, once it can take another request.
    async fn recycle(&self, server: ServerId, mut connection: UpstreamConnection) {
        if connection.written.long_head.get() {
            return;
        }
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
            connection.idle_since = Instant::now();
            connection.written.permitted.set(false);
            self.put_idle(server, connection);
        }
    }

    /// Runs one attempt: at most one request is written. The guard is checked right before its first byte. The policy's
    /// time `until` ends an attempt that has not begun to be answered.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        guard: &Rc<AttemptGuard>,
        until: Instant,
        progress: &AttemptProgress,
    ) -> AttemptResult {
        let ended = tokio::select! {
            biased;
            ended = self.exchange(server, guard, until, progress) => Some(ended),
            () = attempt_timeout(guard, until, progress) => None,
        };
        ended.unwrap_or_else(|| {
            self.record_timeout(guard, progress);
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
        // The body of an unsuccessful response is not forwarded.
        let serves = outcome == Outcome::Ok;
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
        let response =
            serves.then(|| Box::new(Response::from_parts(head, UpstreamResponse { kept, rest })));
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

/// Parses `X-Load: TEXT name=value, name=value`; unknown names and malformed values are ignored.
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

#[cfg(test)]
mod tests;
