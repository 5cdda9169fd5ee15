//! The pool of connections to upstreams: opens them, keeps idle ones for reuse, and closes them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle::figures::Figures;
use hollowpaddle::interface::ServerId;
use hollowpaddle::invariants::violations::Violations;
use hollowpaddle::settings::Field;
use hollowpaddle::socket::{Socket, Unread};
use hollowpaddle::tasks::AbortOnDrop;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use rustc_hash::FxHashMap;
use tokio::net::TcpSocket;
use tokio::time::{Instant, sleep, timeout};

use super::connection::{CountedIo, OpenConnectionGuard, UpstreamConnection, Written};
use crate::config::Config;
use crate::memory::MessageMemory;
use crate::succession::SOCKET_BUFFER_BYTES;

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

/// The pool of connections to all upstreams.
pub struct Pool {
    idle: RefCell<FxHashMap<ServerId, Vec<UpstreamConnection>>>,
    /// Upstreams that sent bytes on a connection without a request in flight, and when they last did.
    unsolicited: RefCell<FxHashMap<ServerId, Instant>>,
    open_count: Rc<Cell<usize>>,
    idle_limit: Duration,
    connect_timeout: Duration,
    /// The names in load reports, with the fields that they set.
    pub(super) fields: Vec<(String, Field)>,
    attempts_sent: Counter,
    pub(super) responses_timed_out: Counter,
    violations: Violations,
    pub(super) memory: MessageMemory,
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
    pub(super) fn take_idle(
        &self,
        server: ServerId,
        address: SocketAddr,
    ) -> Option<UpstreamConnection> {
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
    pub(super) fn put_idle(&self, server: ServerId, connection: UpstreamConnection) {
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

    pub(super) async fn connect(
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
        let written =
            Written { attempts_sent, violations, peer: socket.peer(), ..Written::default() };
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
        Some(UpstreamConnection { sender, written, address, idle_since, _connection })
    }

    /// Returns a connection to the pool after its response was read, once it can take another request.
    pub(super) async fn recycle(&self, server: ServerId, mut connection: UpstreamConnection) {
        if connection.written.long_head.get() {
            return;
        }
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
            connection.idle_since = Instant::now();
            connection.written.permitted.set(false);
            self.put_idle(server, connection);
        }
    }
}
