//! The client-facing HTTP server: reads requests, passes them to the engine, and sends one response to each.

mod request_head;
mod responses;

use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle::invariants::permit::{self, CloseFacts};
use hollowpaddle::invariants::violations::{Rule, Violations};
use hollowpaddle::services::{Service, ServiceId};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{unconstrained, yield_now};
use tokio::time::{Instant, sleep, timeout};

use crate::bodies::{
    BodyBuffer, BodyError, MAX_BUFFERED_BYTES, MAX_REQUEST_BODY_BYTES, Payload, RequestBody,
};
use crate::client_connection::{
    ClientConnection, ObservedStream, RequestGuard, Room, lingering_close,
};
use crate::deadlines::Deadlines;
use crate::engine::Handle;
use crate::lifecycle::{LINGER, Lifecycle};
use crate::memory::MessageMemory;
use crate::succession::{OtherProcesses, ProcessRegistration};
use crate::upstreams::{Forward, header_bytes};
use hollowpaddle::figures::Figures;
use hollowpaddle::socket::{Peer, Socket, Unread, after_failed_accept};
use hollowpaddle::tasks::AbortOnDrop;
use request_head::{arrival, detach_head, host, origin_form, upstream_headers};
use responses::{
    ClientResponse, body_error_response, empty_response, malformed_response, no_route_response,
    reply_response,
};

/// Maximum size of a request head; a longer one is answered 431.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// How long open connections may take to finish after the listener is closed. Requests are bounded by their
/// deadlines and bodies by their minimum rate; the platform kills the process if it takes longer than allowed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// SIGKILL may follow SIGTERM after this delay plus the longest deadline of any class, of which at most
/// [`MAX_DEADLINE_AT_SHUTDOWN`] is counted (PROTOCOL, "Figures").
const KILL_DELAY: Duration = Duration::from_millis(700);
const MAX_DEADLINE_AT_SHUTDOWN: Duration = Duration::from_secs(3);
/// The last responses are sent this long before SIGKILL, since a process may be stalled for 0.15 s (STANDING).
const KILL_MARGIN: Duration = Duration::from_millis(200);
/// Interval of checks for a free place while the connection table is full, and of retries of a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Interval of looks at the memory of other processes at the address.
const OTHERS_INTERVAL: Duration = Duration::from_millis(100);

/// Why a client connection ended.
#[derive(Debug)]
enum ConnectionEnd {
    /// Closed by either side after a recent response.
    Served,
    /// Closed by either side after being idle for some time.
    Idle,
    /// The client exceeded a timeout.
    Lost,
    /// The client closed the connection while its request was in flight.
    Left,
}

/// Accepts client connections and serves their requests.
pub struct ClientServer {
    engine: Handle,
    memory: MessageMemory,
    figures: Rc<Figures>,
    open_connections: Cell<usize>,
    /// Notified when the connection table is full or the backlog fills, so that idle connections recheck their
    /// timeouts at once.
    table_full: Notify,
    /// Since when connections may have been waiting in the backlog; `None` once it was found empty.
    backlog_since: Cell<Option<Instant>>,
    lifecycle: Rc<Lifecycle>,
    /// The private memory of other processes at the address, in bytes: all share one limit.
    others_memory: Cell<usize>,
}

impl ClientServer {
    pub fn new(
        engine: Handle,
        lifecycle: Rc<Lifecycle>,
        figures: Rc<Figures>,
        memory: MessageMemory,
    ) -> Self {
        Self {
            engine,
            figures,
            memory,
            open_connections: Cell::new(0),
            table_full: Notify::new(),
            backlog_since: Cell::new(None),
            lifecycle,
            others_memory: Cell::new(0),
        }
    }

    /// Serves until `stop` completes, then finishes the accepted connections.
    pub async fn serve(
        self: Rc<Self>,
        listener: TcpListener,
        registration: ProcessRegistration,
        stop: impl Future<Output = ()>,
    ) {
        let others = self.clone().follow_others(registration.other_processes());
        let _others = AbortOnDrop(tokio::task::spawn_local(others));
        tokio::select! {
            () = self.accept(&listener) => {}
            () = stop => {}
        }
        self.engine.shut_down_by(self.engine.earliest_arrival() + self.shutdown_time());
        // New connections may still arrive for a short time; if another process serves the address, they are
        // redirected to it. From here on each response carries `Connection: close`.
        let mut handover = registration.begin_handover();
        let has_successor = handover.has_successor();
        self.lifecycle.stop(has_successor);
        let turn = if has_successor {
            tokio::select! {
                () = self.accept(&listener) => None,
                turn = handover.redirect(&listener) => turn,
            }
        } else {
            let _ = timeout(LINGER, self.accept(&listener)).await;
            None
        };
        self.accept_backlog(listener).await;
        drop((handover, turn));
        let finished = async {
            while self.open_connections.get() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let _ = timeout(DRAIN_TIMEOUT, finished).await;
    }

    /// Follows how much memory other processes at the address hold.
    async fn follow_others(self: Rc<Self>, others: OtherProcesses) {
        loop {
            self.others_memory.set(others.private_memory());
            sleep(OTHERS_INTERVAL).await;
        }
    }

    /// Time after SIGTERM by which the last response must be sent.
    fn shutdown_time(&self) -> Duration {
        let routing = self.engine.routing();
        let classes = routing.catalog.services.iter().flat_map(|s| &s.facts.classes);
        let longest = classes.map(|c| c.deadline.max(0.0)).fold(0.0, f64::max);
        let longest = Duration::try_from_secs_f64(longest / 1000.0).unwrap_or(Duration::MAX);
        longest.min(MAX_DEADLINE_AT_SHUTDOWN) + KILL_DELAY - KILL_MARGIN
    }

    /// Accepts all connections in the backlog before closing the listener, since closing it resets queued connections.
    /// While the table is full they wait; places become free, as each connection now closes after its response.
    async fn accept_backlog(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        let until = Instant::now() + LINGER;
        while Instant::now() < until {
            if self.open_connections.get() >= self.max_connections() {
                self.mark_backlog_waiting();
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
            // Calls accept directly, because the runtime's readiness state may be stale.
            match listener.accept() {
                Ok((stream, _)) => {
                    match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                        Ok(stream) => self.spawn_connection(stream),
                        Err(cause) => {
                            tracing::warn!(%cause, "cannot register an accepted connection; closing it")
                        }
                    }
                }
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => return,
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        self.open_connections.set(self.open_connections.get() + 1);
        tokio::task::spawn_local(self.clone().serve_connection(stream, self.backlog_since.get()));
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            // A client in the backlog waits until a place is free; accepting it without a spare descriptor would fail.
            if self.open_connections.get() >= self.max_connections() {
                self.mark_backlog_waiting();
                self.table_full.notify_waiters();
                while self.open_connections.get() >= self.max_connections() {
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
            match self.accept_next(listener).await {
                Ok((stream, _)) => self.spawn_connection(stream),
                // EMFILE and aborted connections are transient and must not end the server.
                Err(cause) => {
                    self.mark_backlog_waiting();
                    tracing::warn!(%cause, "accept failed");
                    after_failed_accept(&cause).await;
                }
            }
        }
    }

    /// Records that connections may be waiting in the backlog, since the beginning of a stall that ended just now, and makes
    /// idle connections recheck their timeouts.
    fn mark_backlog_waiting(&self) {
        if self.backlog_since.get().is_none() {
            self.backlog_since.set(Some(self.engine.earliest_arrival()));
            self.table_full.notify_waiters();
        }
    }

    /// Accepts the next connection; clears `backlog_since` when the backlog is empty.
    async fn accept_next(
        &self,
        listener: &TcpListener,
    ) -> std::io::Result<(TcpStream, SocketAddr)> {
        // With tokio's cooperative budget exhausted, accept would return pending as if the backlog were empty.
        let mut accept = pin!(unconstrained(listener.accept()));
        tokio::select! {
            biased;
            accepted = &mut accept => return accepted,
            () = std::future::ready(()) => self.backlog_since.set(None),
        }
        accept.await
    }

    /// Serves all requests of one connection.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream, backlog_since: Option<Instant>) {
        let _ = stream.set_nodelay(true);
        let socket = Socket::new(stream);
        let waited = backlog_since.filter(|_| socket.unread() == Unread::Bytes);
        let over = self.run_connection(&socket, waited).await;
        tracing::debug!(reason = ?over, "client connection ended");
        if matches!(over, ConnectionEnd::Served) {
            lingering_close(socket, self.is_crowded()).await;
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }

    async fn run_connection(&self, socket: &Socket, waited: Option<Instant>) -> ConnectionEnd {
        let client = Rc::new(ClientConnection::new(waited, self.memory.large_pieces.clone()));
        let service = service_fn(|request| self.respond(request, socket, &client));
        let stream = ObservedStream {
            inner: TokioIo::new(socket.clone()),
            connection: client.clone(),
            reader: self.memory.reader(),
            head_gate: self.memory.request_head_gate(),
            gated_behind: None,
            engine: self.engine.clone(),
        };
        let connection =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(stream, service);
        tokio::pin!(connection);
        let timed_out = client.timed_out(socket, || self.room(), &self.table_full);
        let abandoned = client.abandoned(socket);
        let time_to_close = self.lifecycle.wait_for_idle_close();
        tokio::pin!(timed_out, abandoned, time_to_close);
        let mut closing = false;
        loop {
            // Received data is processed first, so that a request that arrives as a timeout fires is served.
            tokio::select! {
                biased;
                _ = &mut connection => {
                    return if client.answered_lately() {
                        ConnectionEnd::Served
                    } else {
                        ConnectionEnd::Idle
                    };
                }
                () = &mut timed_out => return ConnectionEnd::Lost,
                () = &mut abandoned => return ConnectionEnd::Left,
                () = &mut time_to_close, if !closing => {
                    if permit::close(&client.close_facts(socket)).is_err() {
                        // A request is unread or unanswered: its response will carry `Connection: close`. On a
                        // shutdown now, hyper would discard the part of the request that was received.
                        time_to_close.set(self.lifecycle.wait_for_idle_close());
                    } else {
                        connection.as_mut().graceful_shutdown();
                        closing = true;
                    }
                }
            }
        }
    }

    /// The size of the connection table.
    fn max_connections(&self) -> usize {
        let upstreams = self.engine.listed_upstreams();
        self.memory.budget.connections_beside(upstreams, self.others_memory.get())
    }

    fn is_crowded(&self) -> bool {
        self.room() != Room::Plenty
    }

    fn room(&self) -> Room {
        match self.open_connections.get() {
            open if open >= self.max_connections() => Room::Full,
            open if 2 * open > self.max_connections() => Room::Scarce,
            _ => Room::Plenty,
        }
    }

    async fn respond(
        &self,
        mut request: Request<Incoming>,
        socket: &Socket,
        connection: &Rc<ClientConnection>,
    ) -> Result<ClientResponse, Infallible> {
        detach_head(&mut request);
        let guard = Rc::new(connection.begin_request());
        let routing = self.engine.routing();
        let unanswered = UnansweredRequest {
            request: request.headers().get("x-request-id").cloned(),
            client: socket.peer(),
            violations: self.figures.violations.clone(),
            answered: false,
        };
        let path = request.uri().path();
        let mut answer = if path == "/-/ready" {
            let ready = self.engine.ready() && self.lifecycle.address_served();
            empty_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        } else if routing.catalog.is_single() && path != "/api" && !path.starts_with("/api/") {
            empty_response(StatusCode::NOT_FOUND)
        } else if let Some(matched) = routing.find(host(&request), path) {
            self.serve_one(request, matched, socket.peer(), &guard).await
        } else {
            no_route_response(host(&request), path)
        };
        if !guard.is_submitted() {
            // Nothing was waited for: a client that sends such requests at full speed would keep others from their turn.
            yield_now().await;
        }
        unanswered.answered();
        // Near the limit, connections are closed after their response to make room for clients in the backlog; and those
        // that hold much memory for a long head, to free it.
        if !self.lifecycle.serving()
            || connection.holds_long_head()
            || header_bytes(answer.headers()) > self.memory.budget.short_head_bytes
            || self.open_connections.get() + self.max_connections() / 8 >= self.max_connections()
        {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer.map(|body| body.with_guard(guard)))
    }

    /// Buffers a request body, or the beginning of a large one, if memory for it is free; else its first piece alone.
    async fn buffer_body(
        &self,
        body: &RequestBody,
        length: Option<u64>,
    ) -> Result<Bytes, BodyError> {
        let most = MAX_BUFFERED_BYTES + self.memory.budget.piece_bytes;
        let room = length.map_or(most, |n| usize::try_from(n).unwrap_or(most).min(most));
        let reserved = self.memory.buffers.reserve(room);
        let buffer = match &reserved {
            Some(_) => BodyBuffer::new(MAX_BUFFERED_BYTES, length.map_or(0, |_| room)),
            None => BodyBuffer::new(0, 0),
        };
        body.read_into(buffer, reserved).await
    }

    /// Serves one request of a service.
    async fn serve_one(
        &self,
        request: Request<Incoming>,
        (service_id, service): (ServiceId, &Service),
        client: Peer,
        guard: &Rc<RequestGuard>,
    ) -> ClientResponse {
        let (head, body) = request.into_parts();
        let id = head.headers.get("x-request-id").cloned();
        let length = body.size_hint().exact();
        if length.is_some_and(|n| n > MAX_REQUEST_BODY_BYTES) {
            return body_error_response(BodyError::TooLarge, &id);
        }
        let client = guard.input(client);
        let start = self.engine.earliest_arrival();
        let body = RequestBody::new(body, client.clone(), start, guard.body_start_timeout());
        let kept = match self.buffer_body(&body, length).await {
            Ok(kept) => kept,
            Err(why) => return body_error_response(why, &id),
        };
        if body.is_complete() {
            guard.record_received();
        }
        if let Err(denial) = permit::start(client.has_closed()) {
            let request = id.as_ref().and_then(|id| id.to_str().ok());
            tracing::debug!(request, %denial, "request rejected: client has already closed");
            return empty_response(StatusCode::BAD_REQUEST);
        }
        // The deadline runs from the request's last byte. If that is still to come, time in the backlog does not count.
        let read = self.engine.earliest_arrival();
        let arrived = if body.is_complete() { guard.arrived(read) } else { body.arrived_at() };
        let arrival = match arrival(service_id, service, &head, &kept, arrived) {
            Ok(arrival) => arrival,
            Err(what) => {
                drain(body, guard);
                return malformed_response(what);
            }
        };
        let rest = (!body.is_complete()).then(|| body.clone());
        let class = arrival.class;
        let active_request = OnceCell::new();
        let count_active = || {
            active_request.get_or_init(|| self.figures.start_request(&service.name, class));
        };
        if rest.is_none() {
            count_active();
        }
        let length = if rest.is_some() { length } else { Some(kept.len() as u64) };
        let forward = Forward {
            method: head.method,
            uri: origin_form(head.uri),
            headers: upstream_headers(head.headers, length),
            body: Payload { kept, rest, length },
            deadlines: Deadlines::new(arrival.until, read),
            client,
        };
        guard.record_submitted();
        let reply = match self.engine.submit(arrival, forward, &count_active).await {
            Ok(reply) => reply,
            Err(why) => return body_error_response(why, &id),
        };
        drain(body, guard);
        let (end, answer) = reply_response(reply);
        count_active();
        let Some(active_request) = active_request.into_inner() else { return answer };
        answer.map(|body| body.counted_as(active_request, end))
    }
}

/// A request that was read and is unanswered. If its connection ends first, the request is logged by its
/// `X-Request-Id` and counted as a rule violation, unless the client has closed the connection.
struct UnansweredRequest {
    request: Option<HeaderValue>,
    client: Peer,
    violations: Violations,
    answered: bool,
}

impl UnansweredRequest {
    fn id(&self) -> Option<&str> {
        self.request.as_ref().and_then(|id| id.to_str().ok())
    }

    fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        tracing::info!(request = self.id(), "connection ended before the response was sent");
        let closing =
            CloseFacts { client_closed: self.client.has_closed(), unanswered: true, unread: false };
        if permit::close(&closing).is_err() {
            self.violations.count(Rule::ClosedUnanswered, self.id());
        }
    }
}

/// Reads the rest of the body of a request that is already answered. A client may read the response only after it
/// has sent its whole body; without this, slow clients that were refused while sending were reset and never saw the
/// response.
fn drain(body: Rc<RequestBody>, guard: &Rc<RequestGuard>) {
    if body.is_coming() {
        let guard = guard.clone();
        guard.record_draining();
        tokio::task::spawn_local(async move {
            body.drain().await;
            drop(guard);
        });
    }
}
