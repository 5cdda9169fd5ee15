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
const IDLE: Duration = Duration::from_secs(10);
const IDLE_IN_A_CROWD: Duration = Duration::from_millis(2200);
/// How long a client that has connected may send nothing while others find the table full.
/// Failure: a crowd of silent connections kept proper clients in the backlog until after their deadline.
const SILENT_IN_A_FULL_TABLE: Duration = Duration::from_millis(200);
/// How long a head may take, from connecting or from its first byte on. Slow clients are owed 2 s; peers that
/// never send a whole request are owed an end within 3 s.
const HEAD_WITHIN: Duration = Duration::from_millis(2400);
/// By when a client that stalls at the start of its body is given up, counted as for the head; and the least and
/// the most time it has for that.
const STALLED_BY: Duration = Duration::from_millis(2800);
const PATIENCE: [Duration; 2] = [Duration::from_millis(1000), Duration::from_millis(2000)];
/// A client that reads nothing of its answer for so long is gone.
const UNREAD: Duration = Duration::from_secs(10);
/// How often a connection that has a request is looked at.
const LOOK: Duration = Duration::from_secs(1);
/// The same while nobody reads on it, for its peer's close: nothing may be sent on for a client 0.1 s after it
/// has gone.
const LOOK_FOR_CLOSE: Duration = Duration::from_millis(30);
/// A moment in which the runtime hears of what has come, and how many of them a connection is given: a peer that sends
/// a byte at a time can't hold on.
const LOOK_AGAIN: Duration = Duration::from_millis(1);
const LOOKS_BEFORE_CLOSE: u32 = 20;
/// How long a connection is read on after our end of it is closed, and while others want its place.
const READ_ON: Duration = Duration::from_millis(500);
const READ_ON_IN_A_CROWD: Duration = Duration::from_millis(50);

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
    unread: Cell<Option<Instant>>,
    /// Whether a request was served on it.
    kept: Cell<bool>,
    /// Whether it is read on, and its peer's close would be seen there. hyper stops reading once it holds bytes
    /// that are not of the request it serves, or of a body that nobody takes.
    read: Cell<bool>,
    /// Since when its first request may have waited to be accepted.
    waited: Cell<Option<Instant>>,
}

impl ClientConnection {
    /// A peer that has just been accepted, after a wait since then.
    pub fn new(waited: Option<Instant>) -> Self {
        Self {
            waited: Cell::new(waited),
            state: Cell::new(State::Silent(Instant::now())),
            unread: Cell::new(None),
            kept: Cell::new(false),
            read: Cell::new(true),
        }
    }

    /// A request is served from now on, until what this returns is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.kept.set(true);
        let began = match self.state.replace(State::Served) {
            State::Silent(since) | State::Asking(since) => since,
            // It was read together with the one before.
            State::Idle(_) | State::Served => Instant::now(),
        };
        RequestGuard { connection: self.clone(), began, waited: self.waited.take() }
    }

    /// Waits until its peer has had all the time it gets. `room` tells whether others want its place, and `crowd`
    /// when they all of a sudden do.
    pub async fn timed_out(&self, socket: &Socket, room: impl Fn() -> Room, crowd: &Notify) {
        let mut looks = 0;
        loop {
            let now = Instant::now();
            let at = self.limit(room()).unwrap_or(now + LOOK);
            if at <= now {
                // What has come by now is read first; that tells whether there is more time.
                let unread = CloseFacts {
                    client_closed: socket.peer_closed(),
                    unanswered: false,
                    unread: has_come(socket),
                };
                if looks < LOOKS_BEFORE_CLOSE && permit::close(&unread).is_err() {
                    looks += 1;
                    sleep(LOOK_AGAIN).await;
                    continue;
                }
                if !matches!(self.state.get(), State::Idle(_)) || self.unread.get().is_some() {
                    tracing::info!(state = ?self.state.get(), "a client had all its time");
                }
                return;
            }
            looks = 0;
            tokio::select! {
                () = sleep_until(at.min(now + LOOK)) => {}
                () = crowd.notified() => {}
            }
        }
    }

    /// Whether it was answered so lately that its peer may not have all of that yet. A request that crosses with the
    /// close of one that idled is better reset: that tells its client that nobody read it.
    pub fn answered_lately(&self) -> bool {
        !matches!(self.state.get(), State::Idle(since) if since.elapsed() >= READ_ON / 2)
    }

    /// What is owed on it beside a request that is served: part of a further one may have come, read or not.
    pub fn owed(&self, socket: &Socket) -> CloseFacts {
        let kept = self.kept.get();
        CloseFacts {
            client_closed: socket.peer_closed(),
            unanswered: kept && matches!(self.state.get(), State::Asking(_)),
            unread: kept && matches!(self.state.get(), State::Idle(_)) && has_come(socket),
        }
    }

    /// Waits until the peer has closed its end while a request of it is served and nobody reads. Has to be polled
    /// by the task that serves the connection, after it.
    pub async fn abandoned(&self, socket: &Socket) {
        let mut look = pin!(sleep(LOOK_FOR_CLOSE));
        let mut closed = false;
        poll_fn(|cx| {
            loop {
                if self.read.get() || !matches!(self.state.get(), State::Served) {
                    closed = false;
                    return Poll::Pending;
                }
                ready!(look.as_mut().poll(cx));
                look.as_mut().reset(Instant::now() + LOOK_FOR_CLOSE);
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
    fn limit(&self, room: Room) -> Option<Instant> {
        match (self.unread.get(), self.state.get()) {
            (Some(since), _) => Some(since + UNREAD),
            (None, State::Idle(since)) => {
                Some(since + if room == Room::Plenty { IDLE } else { IDLE_IN_A_CROWD })
            }
            (None, State::Silent(since)) if room == Room::Full => {
                Some(since + SILENT_IN_A_FULL_TABLE)
            }
            (None, State::Silent(since) | State::Asking(since)) => Some(since + HEAD_WITHIN),
            (None, State::Served) => None,
        }
    }

    /// Something was written, or could not be.
    fn record_write(&self, all_waits: bool) {
        let now = Instant::now();
        self.unread.set(all_waits.then(|| self.unread.get().unwrap_or(now)));
        if let (false, State::Idle(_)) = (all_waits, self.state.get()) {
            self.state.set(State::Idle(now));
        }
    }
}

/// A request's time on a connection.
pub struct RequestGuard {
    connection: Rc<ClientConnection>,
    began: Instant,
    waited: Option<Instant>,
}

impl RequestGuard {
    /// When the request may have come at the earliest, where it was read at a moment as late as this.
    pub fn arrived(&self, read: Instant) -> Instant {
        self.waited.map_or(read, |since| since.min(read))
    }

    /// How long the client may keep us waiting for the start of its body.
    pub fn patience(&self) -> Duration {
        let [least, most] = PATIENCE;
        STALLED_BY.saturating_sub(self.began.elapsed()).clamp(least, most)
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
fn has_come(socket: &Socket) -> bool {
    socket.unread() == Unread::Bytes
}

/// Closes our end and reads on for a moment (RFC 9112, 9.6): closed over bytes that nobody read, a connection is
/// reset, and the reset takes with it what its peer has not read of the last answer.
pub async fn close(mut socket: Socket, crowded: bool) {
    let read_on = async {
        let _ = socket.shutdown().await;
        let mut unread = vec![0; 4096];
        while socket.read(&mut unread).await.is_ok_and(|n| n > 0) {}
    };
    let _ = timeout(if crowded { READ_ON_IN_A_CROWD } else { READ_ON }, read_on).await;
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
        self.connection.read.set(read.is_pending());
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
