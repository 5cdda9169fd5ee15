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

use crate::bodies::{
    BodyMemory, BodyProgress, CONNECTION_BUFFER_BYTES, MAX_BUFFERED_BYTES, Payload,
    UpstreamRequestBody, UpstreamResponse,
};
use crate::config::Config;
use crate::guard::AttemptGuard;
use crate::succession::SOCKET_BUFFER_BYTES;
use connection::{Counted, Link, Open, Written};
use hollowpaddle::socket::{Peer, Socket, Unread};
pub use streamed_response::StreamedResponse;

/// Idle connections are dropped at this share of the upstream's own limit: a request that crosses with its
/// close would end as a reset, which no unsafe request survives.
const IDLE_OF_KEEPALIVE: f64 = 0.75;
/// How often idle connections are looked through.
const REAP_EVERY: Duration = Duration::from_millis(250);
/// How long a connection rests after an answer before it carries another request, at an upstream that was seen to
/// speak out of turn lately: it may answer twice, some milliseconds apart (STANDING), and nothing tells a second
/// answer from that to the next request. On a connection that rests it is seen, and ends the connection.
const REST: Duration = Duration::from_millis(10);
const LATELY: Duration = Duration::from_secs(60);
/// How long a connection may take to be ready again once its answer is whole.
const READY: Duration = Duration::from_millis(10);

/// How long an answer that does not tell its size is waited for to be whole or large, before what there is of
/// it is passed on: a large one is timed by its first bytes.
const WHOLE_WITHIN: Duration = Duration::from_millis(20);
/// An upstream that neither takes nor gives a byte for so long, in the middle of a body, is given up.
const STALL: Duration = Duration::from_secs(8);
/// How often that is looked at.
const STALL_STEP: Duration = Duration::from_secs(1);

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
pub struct Ended {
    pub outcome: Outcome,
    pub report: Report,
    /// The answer, if it served.
    pub response: Option<Box<Response<UpstreamResponse>>>,
    /// Why it did not begin, where its guard said no.
    pub denial: Option<Denial>,
}

impl Ended {
    pub fn bare(outcome: Outcome) -> Self {
        Self { outcome, report: Report::default(), response: None, denial: None }
    }

    /// The guard did not let it begin.
    pub fn denied(denial: Denial) -> Self {
        Self { denial: Some(denial), ..Self::bare(Outcome::NotSent) }
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
    idle: RefCell<FxHashMap<ServerId, Vec<Link>>>,
    /// Upstreams that said something on a connection on which nothing was asked, and when.
    out_of_turn: RefCell<FxHashMap<ServerId, Instant>>,
    open: Rc<Cell<usize>>,
    most: usize,
    idle_limit: Duration,
    connect_timeout: Duration,
    fields: Vec<(String, Field)>,
    tries: Counter,
    violations: Violations,
    memory: Rc<BodyMemory>,
}

impl Pool {
    /// Counts in these figures the attempts that were written whole, and the rules that they broke.
    pub fn new(
        most: usize,
        config: &Config,
        figures: &Figures,
        memory: Rc<BodyMemory>,
    ) -> Rc<Self> {
        let limits = &config.facts.policy_limits;
        let ms = |ms: f64, default: f64| {
            let ms = if ms > 0.0 && ms < 1e7 { ms } else { default };
            Duration::from_secs_f64(ms / 1000.0)
        };
        let names = &config.facts.stats.names;
        let pool = Rc::new(Self {
            idle: RefCell::default(),
            out_of_turn: RefCell::default(),
            open: Rc::default(),
            most,
            idle_limit: ms(limits.keepalive, 5000.0).mul_f64(IDLE_OF_KEEPALIVE),
            connect_timeout: ms(limits.connect_timeout, 250.0),
            fields: names.iter().map(|n| (n.clone(), Field::named(n))).collect(),
            tries: figures.tries.clone(),
            violations: figures.violations.clone(),
            memory,
        });
        let weak = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            loop {
                sleep(REAP_EVERY).await;
                let Some(pool) = weak.upgrade() else { return };
                pool.reap();
            }
        });
        pool
    }

    /// Drops what has idled for too long or was closed from the other side.
    fn reap(&self) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|l| self.usable(l));
            !links.is_empty()
        });
    }

    fn usable(&self, link: &Link) -> bool {
        !link.sender.is_closed() && link.idle_since.elapsed() < self.idle_limit
    }

    /// Drops the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    fn spoke_out_of_turn(&self, server: ServerId, address: SocketAddr) {
        tracing::info!(%address, "an upstream spoke out of turn");
        self.out_of_turn.borrow_mut().insert(server, Instant::now());
    }

    fn speaks_out_of_turn(&self, server: ServerId) -> bool {
        self.out_of_turn.borrow().get(&server).is_some_and(|seen| seen.elapsed() < LATELY)
    }

    /// Of those that have rested the one used last: the others can age out.
    fn take(&self, server: ServerId, address: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&server)?;
        let rest = if self.speaks_out_of_turn(server) { REST } else { Duration::ZERO };
        while let Some(at) = links.iter().rposition(|l| l.idle_since.elapsed() >= rest) {
            let link = links.remove(at);
            if !self.usable(&link) || link.address != address {
                continue;
            }
            match link.at_rest() {
                Unread::Nothing => return Some(link),
                Unread::Bytes => self.spoke_out_of_turn(server, address),
                Unread::End => {}
            }
        }
        None
    }

    fn put(&self, server: ServerId, link: Link) {
        self.idle.borrow_mut().entry(server).or_default().push(link);
    }

    /// Makes room for one more connection at the cost of the one that has idled longest.
    fn make_room(&self) -> bool {
        if self.open.get() < self.most {
            return true;
        }
        let mut idle = self.idle.borrow_mut();
        // Each stack is in order of age, the oldest first.
        let oldest = idle
            .iter()
            .filter_map(|(server, links)| links.first().map(|l| (l.idle_since, *server)))
            .min_by_key(|(since, _)| *since);
        let Some((_, server)) = oldest else { return false };
        if let Some(links) = idle.get_mut(&server) {
            drop(links.remove(0));
        }
        true
    }

    async fn connect(self: &Rc<Self>, server: ServerId, address: SocketAddr) -> Option<Link> {
        if !self.make_room() {
            tracing::warn!("no descriptor left for an upstream");
            return None;
        }
        let open = Open::new(&self.open);
        let socket =
            if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.ok()?;
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES).ok()?;
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES).ok()?;
        let stream = timeout(self.connect_timeout, socket.connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (tries, violations) = (self.tries.clone(), self.violations.clone());
        let written = Written { tries, violations, ..Written::default() };
        let socket = Socket::new(stream);
        let peer = socket.peer();
        let io = Counted { inner: TokioIo::new(socket), written: written.clone() };
        let (sender, connection) =
            http1::Builder::new().max_buf_size(CONNECTION_BUFFER_BYTES).handshake(io).await.ok()?;
        let pool = Rc::downgrade(self);
        let task = tokio::task::spawn_local(async move {
            let _open = open;
            let ended = connection.await;
            // More than an answer, or none: hyper tells the one only in words. A failure of the socket has a source.
            let spoke = ended.is_err_and(|e| {
                std::error::Error::source(&e).is_none()
                    && !e.is_incomplete_message()
                    && !e.is_canceled()
            });
            if let (true, Some(pool)) = (spoke, pool.upgrade()) {
                pool.spoke_out_of_turn(server, address);
            }
        });
        let idle_since = Instant::now();
        let _connection = AbortOnDrop(task);
        Some(Link { sender, written, peer, address, idle_since, _connection })
    }

    /// Keeps a connection whose answer has been read, once it can take another request.
    async fn give_back(&self, server: ServerId, mut link: Link) {
        if let Ok(Ok(())) = timeout(READY, link.sender.ready()).await {
            link.idle_since = Instant::now();
            link.written.permitted.set(false);
            self.put(server, link);
        }
    }

    /// One attempt: at most one request reaches the wire. Its guard is asked right before its first byte does.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        guard: &Rc<AttemptGuard>,
        until: Instant,
    ) -> Ended {
        let sent = Sent::default();
        let ended = tokio::select! {
            biased;
            ended = self.exchange(server, guard, until, &sent) => Some(ended),
            () = overdue(guard.forward(), until, &sent) => None,
        };
        ended.unwrap_or_else(|| {
            // Time ran out before all of it was handed over: it cannot have run.
            Ended::bare(if sent.never_whole() { Outcome::ConnectFailed } else { Outcome::Timeout })
        })
    }

    async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        guard: &Rc<AttemptGuard>,
        until: Instant,
        sent: &Sent,
    ) -> Ended {
        let forward = guard.forward();
        loop {
            let address = guard.target().address.get();
            let pooled = self.take(server, address);
            let reused = pooled.is_some();
            let link = match pooled {
                Some(link) => Some(link),
                None => self.connect(server, address).await,
            };
            let Some(mut link) = link else { return Ended::bare(Outcome::ConnectFailed) };
            guard.connected(link.address);
            // The wait for a connection may outlast the request, or the upstream's service.
            match guard.check() {
                Ok(()) => {}
                // Another upstream may listen where it was.
                Err(Denial::UpstreamMoved) => continue,
                Err(denial) => {
                    self.put(server, link);
                    return Ended::denied(denial);
                }
            }
            let Some(request) = forward.request(until, sent, &link.written, guard) else {
                return Ended::bare(Outcome::NotSent);
            };
            let again = || reused && sent.untouched() && !forward.body.is_consumed();
            let answer = link.sender.send_request(request).await;
            match guard.denial() {
                None => {}
                // On another connection it is told what holds by then.
                Some(Denial::UpstreamMoved | Denial::DeadlineStale) => continue,
                Some(denial) => return Ended::denied(denial),
            }
            let answer = match answer {
                Ok(answer) => answer,
                // A kept connection that closed before a byte went out is no attempt yet.
                Err(_) if again() => continue,
                Err(_) if sent.never_whole() => return Ended::bare(Outcome::ConnectFailed),
                Err(_) => return Ended::bare(Outcome::Reset),
            };
            return self.answer(forward, server, link, answer).await;
        }
    }

    /// Reads an answer to its end, or, where it is large, its first part; only then is it one.
    async fn answer(
        self: &Rc<Self>,
        forward: &Forward,
        server: ServerId,
        link: Link,
        answer: Response<Incoming>,
    ) -> Ended {
        let (head, mut body) = answer.into_parts();
        let report = report(&self.fields, &head.headers);
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
        let room = length.map_or(MAX_BUFFERED_BYTES, |n| usize::try_from(n).unwrap_or(usize::MAX));
        let hold =
            (room <= MAX_BUFFERED_BYTES && serves).then(|| self.memory.reserve(room)).flatten();
        let most = if hold.is_some() || !serves { MAX_BUFFERED_BYTES } else { 0 };
        let Ok((kept, whole)) = first_part(&mut body, most, length).await else {
            // Cut short: it ran, and there is nothing to pass on.
            return Ended { report, ..Ended::bare(Outcome::Reset) };
        };
        let rest = if whole {
            self.give_back(server, link).await;
            None
        } else {
            let back = (self.clone(), server, link);
            Some(StreamedResponse::new(forward, body, kept.len(), length, back))
        };
        let response = serves
            .then(|| Box::new(Response::from_parts(head, UpstreamResponse { kept, rest, hold })));
        Ended { outcome, report, response, denial: None }
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
    let by = Instant::now() + WHOLE_WITHIN;
    let mut kept = BytesMut::with_capacity(length.map_or(0, |n| n as usize));
    loop {
        let frame = match length {
            Some(_) => Ok(body.frame().await),
            None => timeout_at(by, body.frame()).await,
        };
        match frame {
            Ok(None) => return Ok((kept.freeze(), true)),
            Ok(Some(frame)) => {
                if let Ok(data) = frame?.into_data() {
                    kept.extend_from_slice(&data);
                }
            }
            // Slow; with nothing to pass on yet, it is still waited for.
            Err(_) if kept.is_empty() => {
                let Some(frame) = body.frame().await else { return Ok((kept.freeze(), true)) };
                if let Ok(data) = frame?.into_data() {
                    kept.extend_from_slice(&data);
                }
            }
            Err(_) => return Ok((kept.freeze(), false)),
        }
        if kept.len() > most {
            return Ok((kept.freeze(), body.is_end_stream()));
        }
    }
}

/// Waits until the time of an attempt is over. While a body is passed on, that is when its upstream has
/// stopped taking it.
async fn overdue(forward: &Forward, until: Instant, sent: &Sent) {
    let Some(rest) = &forward.body.rest else { return sleep_until(until).await };
    let allowed = until.saturating_duration_since(Instant::now());
    let stalled = async {
        let (mut seen, mut since) = (sent.bytes(), Instant::now());
        while since.elapsed() < STALL {
            sleep(STALL_STEP).await;
            if rest.is_waiting_for_client() || sent.bytes() != seen {
                (seen, since) = (sent.bytes(), Instant::now());
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
fn report(fields: &[(String, Field)], headers: &HeaderMap) -> Report {
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
struct Sent {
    written: RefCell<Option<(Written, u64)>>,
    due: RefCell<BodyProgress>,
}

impl Sent {
    fn start(&self, written: &Written, due: BodyProgress) {
        let from = written.bytes.get();
        // Where more may come, it is set once all of it was given.
        written.whole_at.set(due.all.get().then(|| from + due.bytes.get()));
        self.written.replace(Some((written.clone(), from)));
        self.due.replace(due);
    }
    fn bytes(&self) -> u64 {
        self.written.borrow().as_ref().map_or(0, |(w, from)| w.bytes.get() - from)
    }
    fn untouched(&self) -> bool {
        self.bytes() == 0
    }
    /// Its last byte is certainly not out; in doubt it is.
    fn never_whole(&self) -> bool {
        let due = self.due.borrow();
        !due.all.get() || self.bytes() < due.bytes.get().max(1)
    }
}

impl Forward {
    fn request(
        &self,
        until: Instant,
        sent: &Sent,
        written: &Written,
        guard: &Rc<AttemptGuard>,
    ) -> Option<Request<UpstreamRequestBody>> {
        let due = BodyProgress::default();
        let (from, of, all) = (written.bytes.get(), written.clone(), due.clone());
        let given = move || of.whole_at.set(Some(from + all.bytes.get()));
        let mut request =
            Request::new(UpstreamRequestBody::new(&self.body, due.clone(), Box::new(given)));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = until.saturating_duration_since(Instant::now());
        guard.tells(left);
        written.guard.replace(Some(guard.clone()));
        let left = HeaderValue::from_str(&left.as_millis().to_string()).ok()?;
        request.headers_mut().insert("x-deadline-ms", left);
        // Every name and value goes out with at least this much around it.
        let head: usize =
            request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
        due.bytes.set(due.bytes.get() + head as u64);
        sent.start(written, due);
        Some(request)
    }
}

#[cfg(test)]
mod tests;
