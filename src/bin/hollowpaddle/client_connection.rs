//! How far a client's connection has come, and when its peer has kept it waiting for too long.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hollowpaddle::invariants::permit::{self, CloseFacts};
use hollowpaddle::socket::{Socket, Unread};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long a connection may idle between two requests while there is room for others; and while the table of
/// clients fills up.
/// Failure: peers that sent nothing, or never all of it, kept their connections until the table of clients was
/// full, and proper clients waited in the backlog until their time was up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT_CROWDED: Duration = Duration::from_millis(2200);
/// How long a client that has connected may send nothing while others find the table full.
/// Failure: a table_full of silent connections kept proper clients in the backlog until after their deadline.
const SILENT_TIMEOUT_FULL: Duration = Duration::from_millis(200);
/// How long a head may take, from connecting or from its first byte on. Slow clients are owed 2 s; peers that
/// never send a whole request are owed an end within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// By when a client that stalls at the start of its body is given up, counted as for the head; and the least and
/// the most time it has for that.
const BODY_START_LIMIT: Duration = Duration::from_millis(2800);
const BODY_START_TIMEOUT_RANGE: [Duration; 2] = [Duration::from_millis(1000), Duration::from_millis(2000)];
/// A client that reads nothing of its answer for so long is gone.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a connection that has a request is looked at.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The same while nobody reads on it, for its peer's close: nothing may be sent on for a client 0.1 s after it
/// has gone.
const PEER_CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// A moment in which the runtime hears of what has come, and how many of them a connection is given: a peer that sends
/// a byte at a time can't hold on.
const RECHECK_DELAY: Duration = Duration::from_millis(1);
const MAX_RECHECKS: u32 = 20;
/// How long a connection is read on after our end of it is closed, and while others want its place.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_TIMEOUT_CROWDED: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
enum State {
    /// It has connected then, and sent nothing yet.
    Silent(Instant),
    /// Nothing, since then.
    Idle(Instant),
    /// It sends the head of a request, since then.
    Asking(Instant),
    /// A request is being served.
    Served,
}

/// How much room the table of clients has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// For as many again.
    Plenty,
    /// For some.
    Scarce,
    /// For none: others wait to be accepted.
    Full,
}

/// One connection with a client.
pub struct ClientConnection {
    state: Cell<State>,
    /// Since when its peer has taken none of what is to be written.
    write_stalled_since: Cell<Option<Instant>>,
    /// Whether a request was served on it.
    has_served: Cell<bool>,
    /// Whether it is read on, and its peer's close would be seen there. hyper stops reading once it holds bytes
    /// that are not of the request it serves, or of a body that nobody takes.
    reading: Cell<bool>,
    /// Since when its first request may have waited to be accepted.
    backlog_since: Cell<Option<Instant>>,
}

impl ClientConnection {
    /// A peer that has just been accepted, after a wait since then.
    pub fn new(backlog_since: Option<Instant>) -> Self {
        Self {
            backlog_since: Cell::new(backlog_since),
            state: Cell::new(State::Silent(Instant::now())),
            write_stalled_since: Cell::new(None),
            has_served: Cell::new(false),
            reading: Cell::new(true),
        }
    }

    /// A request is served from now on, until what this returns is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.has_served.set(true);
        let began = match self.state.replace(State::Served) {
            State::Silent(since) | State::Asking(since) => since,
            // It was read together with the one before.
            State::Idle(_) | State::Served => Instant::now(),
        };
        RequestGuard { connection: self.clone(), began, backlog_since: self.backlog_since.take() }
    }

    /// Waits until its peer has had all the time it gets. `room` tells whether others want its place, and `table_full`
    /// when they all of a sudden do.
    pub async fn timed_out(&self, socket: &Socket, room: impl Fn() -> Room, table_full: &Notify) {
        let mut rechecks = 0;
        loop {
            let now = Instant::now();
            let at = self.expires_at(room()).unwrap_or(now + CHECK_INTERVAL);
            if at <= now {
                // What has come by now is read first; that tells whether there is more time.
                let unread = CloseFacts {
                    client_closed: socket.peer_closed(),
                    unanswered: false,
                    unread: has_unread_bytes(socket),
                };
                if rechecks < MAX_RECHECKS && permit::close(&unread).is_err() {
                    rechecks += 1;
                    sleep(RECHECK_DELAY).await;
                    continue;
                }
                if !matches!(self.state.get(), State::Idle(_)) || self.write_stalled_since.get().is_some() {
                    tracing::info!(state = ?self.state.get(), "a client had all its time");
                }
                return;
            }
            rechecks = 0;
            tokio::select! {
                () = sleep_until(at.min(now + CHECK_INTERVAL)) => {}
                () = table_full.notified() => {}
            }
        }
    }

    /// Whether it was answered so lately that its peer may not have all of that yet. A request that crosses with the
    /// close of one that idled is better reset: that tells its client that nobody read it.
    pub fn answered_lately(&self) -> bool {
        !matches!(self.state.get(), State::Idle(since) if since.elapsed() >= LINGER_TIMEOUT / 2)
    }

    /// What is owed on it beside a request that is served: part of a further one may have come, read or not.
    pub fn close_facts(&self, socket: &Socket) -> CloseFacts {
        let has_served = self.has_served.get();
        CloseFacts {
            client_closed: socket.peer_closed(),
            unanswered: has_served && matches!(self.state.get(), State::Asking(_)),
            unread: has_served && matches!(self.state.get(), State::Idle(_)) && has_unread_bytes(socket),
        }
    }

    /// Waits until the peer has closed its end while a request of it is served and nobody reads. Has to be polled
    /// by the task that serves the connection, after it.
    pub async fn abandoned(&self, socket: &Socket) {
        let mut check = pin!(sleep(PEER_CLOSE_CHECK_INTERVAL));
        let mut closed = false;
        poll_fn(|cx| {
            loop {
                if self.reading.get() || !matches!(self.state.get(), State::Served) {
                    closed = false;
                    return Poll::Pending;
                }
                ready!(check.as_mut().poll(cx));
                check.as_mut().reset(Instant::now() + PEER_CLOSE_CHECK_INTERVAL);
                // Seen twice: an end that was read, as of a body cut short, is answered by then.
                if std::mem::replace(&mut closed, socket.peer_closed()) && closed {
                    return Poll::Ready(());
                }
            }
        })
        .await;
    }

    /// When its peer has had all its time, as things stand. What is still to be written comes first: a request
    /// is done with here before a slow client has read the last of its answer.
    /// Failure: the ends of long answers, handed over but not yet taken, were cut off as idle.
    fn expires_at(&self, room: Room) -> Option<Instant> {
        match (self.write_stalled_since.get(), self.state.get()) {
            (Some(since), _) => Some(since + RESPONSE_STALL_TIMEOUT),
            (None, State::Idle(since)) => {
                Some(since + if room == Room::Plenty { IDLE_TIMEOUT } else { IDLE_TIMEOUT_CROWDED })
            }
            (None, State::Silent(since)) if room == Room::Full => {
                Some(since + SILENT_TIMEOUT_FULL)
            }
            (None, State::Silent(since) | State::Asking(since)) => Some(since + HEAD_TIMEOUT),
            (None, State::Served) => None,
        }
    }

    /// Something was written, or could not be.
    fn record_write(&self, stalled: bool) {
        let now = Instant::now();
        self.write_stalled_since.set(stalled.then(|| self.write_stalled_since.get().unwrap_or(now)));
        if let (false, State::Idle(_)) = (stalled, self.state.get()) {
            self.state.set(State::Idle(now));
        }
    }
}

/// A request's time on a connection.
pub struct RequestGuard {
    connection: Rc<ClientConnection>,
    began: Instant,
    backlog_since: Option<Instant>,
}

impl RequestGuard {
    /// When the request may have come at the earliest, where it was read at a moment as late as this.
    pub fn arrived(&self, read: Instant) -> Instant {
        self.backlog_since.map_or(read, |since| since.min(read))
    }

    /// How long the client may keep us waiting for the start of its body.
    pub fn body_start_timeout(&self) -> Duration {
        let [min, max] = BODY_START_TIMEOUT_RANGE;
        BODY_START_LIMIT.saturating_sub(self.began.elapsed()).clamp(min, max)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.state.set(State::Idle(Instant::now()));
    }
}

/// Whether bytes of the peer wait to be read.
/// Failure: a request that came in the very moment in which its connection had idled for too long, or in which the
/// process stood still, was closed upon.
fn has_unread_bytes(socket: &Socket) -> bool {
    socket.unread() == Unread::Bytes
}

/// Closes our end and reads on for a moment (RFC 9112, 9.6): closed over bytes that nobody read, a connection is
/// reset, and the reset takes with it what its peer has not read of the last answer.
pub async fn lingering_close(mut socket: Socket, is_crowded: bool) {
    let read_on = async {
        let _ = socket.shutdown().await;
        let mut unread = vec![0; 4096];
        while socket.read(&mut unread).await.is_ok_and(|n| n > 0) {}
    };
    let _ = timeout(if is_crowded { LINGER_TIMEOUT_CROWDED } else { LINGER_TIMEOUT }, read_on).await;
}

/// A stream that tells what its peer does.
pub struct ObservedStream {
    pub inner: TokioIo<Socket>,
    pub connection: Rc<ClientConnection>,
}

impl Read for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.connection.reading.set(read.is_pending());
        match (self.connection.state.get(), &read) {
            (State::Idle(_), Poll::Ready(Ok(()))) => {
                self.connection.state.set(State::Asking(Instant::now()));
            }
            (State::Silent(since), Poll::Ready(Ok(()))) => {
                self.connection.state.set(State::Asking(since));
            }
            _ => {}
        }
        read
    }
}

impl Write for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.connection.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.connection.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
