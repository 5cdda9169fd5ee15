//! The state and the timeouts of a client connection.

mod input;
mod observed_stream;
mod read_behind;

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker, ready};
use std::time::Duration;

use crate::memory::BufferMemory;
use hollowpaddle::invariants::permit::{self, CloseFacts};
use hollowpaddle::socket::{Peer, Socket, Tail, Unread};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

pub use input::ClientInput;
pub use observed_stream::ObservedStream;
use read_behind::ReadBehind;
pub use read_behind::ReadOn;

/// How long a connection may be idle between two requests: with ample room in the connection table, and with little.
/// Without these limits, peers that sent nothing or only part of a request filled the table, and other clients waited
/// in the backlog past their deadlines.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT_CROWDED: Duration = Duration::from_millis(2200);
/// How long a new connection may send nothing while the table is full. Without this limit, many silent connections
/// kept other clients in the backlog past their deadlines.
const SILENT_TIMEOUT_FULL: Duration = Duration::from_millis(200);
/// Time for a complete request head, from the connection or the head's first byte. Slow clients must be given 2 s;
/// connections of peers that never complete a request must be closed within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long a head may wait for memory. Deadlines of requests are a few seconds.
const MEMORY_WAIT_TIMEOUT: Duration = Duration::from_secs(6);
/// Time by which the body must have started, counted as for the head; and the minimum and maximum wait for it after
/// the head.
const BODY_START_LIMIT: Duration = Duration::from_millis(2800);
const BODY_START_TIMEOUT_RANGE: [Duration; 2] =
    [Duration::from_millis(1000), Duration::from_millis(2000)];
/// A client that reads nothing of its response for this long is treated as gone.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest interval between two checks of a connection's timeouts.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of checks for the peer's close while hyper does not read: no attempt may be sent for a client more than
/// 0.1 s after it has closed.
const PEER_CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Delay for the runtime to read bytes that are already in the socket before a connection is closed by a timeout, and
/// the maximum number of such delays, so that a peer that sends one byte at a time cannot hold the connection.
const RECHECK_DELAY: Duration = Duration::from_millis(1);
const MAX_RECHECKS: u32 = 20;
/// How long a connection is read after its write side was shut down: with ample room in the table, and with little.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_TIMEOUT_CROWDED: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
enum State {
    /// Connected at this time; nothing was received yet.
    Silent(Instant),
    /// No request since this time.
    Idle(Instant),
    /// Receiving a request head since this time.
    Asking(Instant),
    /// A request is in flight.
    Served,
}

/// How much room the connection table has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// At most half of it is used.
    Plenty,
    /// More than half of it is used.
    Scarce,
    /// No place is free; new connections wait in the backlog.
    Full,
}

/// The state of one client connection.
pub struct ClientConnection {
    state: Cell<State>,
    /// Since when pending output could not be written because the peer does not read.
    write_stalled_since: Cell<Option<Instant>>,
    /// Whether a request was received on it.
    has_served: Cell<bool>,
    /// Whether hyper waits for data, so that it would see the peer's close. hyper stops reading once it has buffered
    /// bytes beyond the current request, or of a body that is not consumed.
    reading: Cell<bool>,
    /// The number of bytes that hyper has read, and the last of them.
    bytes_read: Cell<u64>,
    tail: Cell<Tail>,
    /// The number of requests that have begun on the connection. The newest alone may change the connection's state when it
    /// ends: hyper may begin the next request before the task that reads the rest of the one before.
    requests_begun: Cell<u64>,
    /// Whether all of the request in flight was received, so that what arrives now belongs to further ones.
    request_received: Cell<bool>,
    /// Whether the request in flight is answered and the rest of its body still comes.
    draining: Cell<bool>,
    /// Whether hyper has read a part of the next request's head, behind the request in flight.
    next_head_begun: Cell<bool>,
    read_behind: RefCell<ReadBehind>,
    /// The task that waits for input, while hyper reads.
    reader: RefCell<Option<Waker>>,
    /// Since when the connection may have waited in the backlog, or the head of its request for memory; applies to its next
    /// request.
    waited_since: Cell<Option<Instant>>,
    /// Since when the head of a request waits for memory.
    memory_wait_since: Cell<Option<Instant>>,
    /// Whether the head of a request took reserved memory.
    long_head: Cell<bool>,
}

impl ClientConnection {
    /// A newly accepted connection; it may have waited in the backlog since `backlog_since`. What is read before it is needed
    /// is reserved from `memory`.
    pub fn new(backlog_since: Option<Instant>, memory: BufferMemory) -> Self {
        Self {
            waited_since: Cell::new(backlog_since),
            memory_wait_since: Cell::new(None),
            long_head: Cell::new(false),
            state: Cell::new(State::Silent(Instant::now())),
            write_stalled_since: Cell::new(None),
            has_served: Cell::new(false),
            reading: Cell::new(true),
            bytes_read: Cell::new(0),
            tail: Cell::default(),
            requests_begun: Cell::new(0),
            request_received: Cell::new(false),
            draining: Cell::new(false),
            next_head_begun: Cell::new(false),
            read_behind: RefCell::new(ReadBehind::new(memory)),
            reader: RefCell::default(),
        }
    }

    /// Marks a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.has_served.set(true);
        self.request_received.set(false);
        self.draining.set(false);
        self.next_head_begun.set(false);
        self.requests_begun.set(self.requests_begun.get() + 1);
        let began = match self.state.replace(State::Served) {
            State::Silent(since) | State::Asking(since) => since,
            // Pipelined: its head was read together with the request before.
            State::Idle(_) | State::Served => Instant::now(),
        };
        RequestGuard {
            connection: self.clone(),
            number: self.requests_begun.get(),
            began,
            waited_since: self.waited_since.take(),
            submitted: Cell::new(false),
        }
    }

    /// Ends the request in flight: the connection waits for the next one, or receives its head already.
    fn end_request(&self) {
        self.draining.set(false);
        let now = Instant::now();
        let next = if self.next_head_begun.take() { State::Asking(now) } else { State::Idle(now) };
        self.state.set(next);
    }

    /// Whether this is the number of the newest request.
    fn is_newest(&self, request: u64) -> bool {
        self.requests_begun.get() == request
    }

    /// Whether the connection holds memory for a long head, and should be closed after the response.
    pub fn holds_long_head(&self) -> bool {
        self.long_head.get()
    }

    /// Records whether the head of a request waits for memory, and since when it may have been here. That time counts as time in
    /// the backlog.
    fn record_memory_wait(&self, arrived: Option<Instant>) {
        let Some(arrived) = arrived else {
            if let Some(since) = self.memory_wait_since.take() {
                self.state.set(match self.state.get() {
                    State::Asking(began) => State::Asking(began + since.elapsed()),
                    other => other,
                });
            }
            return;
        };
        if self.memory_wait_since.get().is_none() {
            self.memory_wait_since.set(Some(Instant::now()));
            self.waited_since.set(Some(self.waited_since.get().unwrap_or(arrived)));
        }
    }

    /// Waits until the connection times out. `room` gives the room in the connection table; `table_full` is notified
    /// when it runs out, and the timeout is then evaluated again.
    pub async fn timed_out(&self, socket: &Socket, room: impl Fn() -> Room, table_full: &Notify) {
        let mut rechecks = 0;
        loop {
            let now = Instant::now();
            let at = self.expires_at(room()).unwrap_or(now + CHECK_INTERVAL);
            if at <= now {
                // Bytes that have already arrived are read first, since they may extend the timeout.
                let unread = CloseFacts {
                    client_closed: socket.peer_closed(),
                    unanswered: false,
                    unread: self.has_unread_bytes(socket),
                };
                if rechecks < MAX_RECHECKS && permit::close(&unread).is_err() {
                    rechecks += 1;
                    sleep(RECHECK_DELAY).await;
                    continue;
                }
                if !matches!(self.state.get(), State::Idle(_))
                    || self.write_stalled_since.get().is_some()
                {
                    tracing::info!(state = ?self.state.get(), "client connection timed out");
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

    /// Whether the last response is so recent that the peer may not have received all of it. On a connection that was
    /// idle for longer, a request that crosses with the close is better reset: the reset tells the client that it was
    /// not read.
    pub fn answered_lately(&self) -> bool {
        !matches!(self.state.get(), State::Idle(since) if since.elapsed() >= LINGER_TIMEOUT / 2)
    }

    /// The facts that decide whether the connection may be closed, apart from a request in flight: part of another
    /// request may have arrived, read or unread.
    pub fn close_facts(&self, socket: &Socket) -> CloseFacts {
        let has_served = self.has_served.get();
        // The answer to a request whose body is drained may have promised that the connection stays open.
        let next_may_have_begun =
            matches!(self.state.get(), State::Asking(_)) || self.draining.get();
        CloseFacts {
            client_closed: socket.peer_closed(),
            unanswered: has_served && next_may_have_begun,
            unread: has_served
                && matches!(self.state.get(), State::Idle(_))
                && self.has_unread_bytes(socket),
        }
    }

    /// Whether hyper has not taken all received bytes. Without this check, a connection was closed on a request that arrived
    /// just as its idle timeout expired or during a process stall.
    fn has_unread_bytes(&self, socket: &Socket) -> bool {
        self.has_unread_input(socket.unread())
    }

    /// The same, given what is pending on the socket.
    fn has_unread_input(&self, pending: Unread) -> bool {
        !self.read_behind.borrow().is_empty() || pending == Unread::Bytes
    }

    /// Waits until the peer has closed its end while a request is in flight and hyper does not read. Must be polled by
    /// the task that serves the connection, after the connection itself.
    pub async fn abandoned(&self, socket: &Socket) {
        let peer = socket.peer();
        let mut check = pin!(sleep(PEER_CLOSE_CHECK_INTERVAL));
        let mut closed = false;
        poll_fn(|cx| {
            loop {
                if self.reading.get() || !matches!(self.state.get(), State::Served) {
                    closed = false;
                    return Poll::Pending;
                }
                ready!(check.as_mut().poll(cx));
                self.read_behind(&peer);
                check.as_mut().reset(Instant::now() + PEER_CLOSE_CHECK_INTERVAL);
                // Requires two checks in a row: if hyper has read the end, as of a truncated body, it has answered by
                // the second.
                if std::mem::replace(&mut closed, socket.peer_closed()) && closed {
                    return Poll::Ready(());
                }
            }
        })
        .await;
    }

    /// Reads what arrived behind the request in flight, so that a close after it is seen.
    fn read_behind(&self, peer: &Peer) {
        let in_flight = matches!(self.state.get(), State::Served) && self.request_received.get();
        if in_flight && self.read_behind.borrow_mut().read(peer) {
            self.wake_reader();
        }
    }

    /// Reads one piece of what the client has written.
    fn read_on(&self, peer: &Peer) -> ReadOn {
        let read = self.read_behind.borrow_mut().read_on(peer);
        if read == ReadOn::Piece {
            self.wake_reader();
        }
        read
    }

    /// Wakes the task that waits for input: some was read past the runtime.
    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// When the connection times out in its current state. Pending output takes precedence: a request is finished here
    /// before a slow client has read the end of its response. Without that, the ends of long responses that were still
    /// in the write buffer were cut off as idle.
    fn expires_at(&self, room: Room) -> Option<Instant> {
        match (self.write_stalled_since.get(), self.state.get()) {
            (Some(since), _) => Some(since + RESPONSE_STALL_TIMEOUT),
            (None, State::Idle(since)) => {
                Some(since + if room == Room::Plenty { IDLE_TIMEOUT } else { IDLE_TIMEOUT_CROWDED })
            }
            (None, State::Silent(since)) if room == Room::Full => Some(since + SILENT_TIMEOUT_FULL),
            (None, State::Asking(_)) if self.memory_wait_since.get().is_some() => {
                self.memory_wait_since.get().map(|since| since + MEMORY_WAIT_TIMEOUT)
            }
            (None, State::Silent(since) | State::Asking(since)) => Some(since + HEAD_TIMEOUT),
            (None, State::Served) => None,
        }
    }

    fn record_read(&self, bytes: usize, tail: Tail) {
        self.bytes_read.set(self.bytes_read.get() + bytes as u64);
        self.tail.set(tail);
    }

    /// Records the result of a write; `stalled` if nothing could be written.
    fn record_write(&self, stalled: bool) {
        let now = Instant::now();
        self.write_stalled_since
            .set(stalled.then(|| self.write_stalled_since.get().unwrap_or(now)));
        if let (false, State::Idle(_)) = (stalled, self.state.get()) {
            self.state.set(State::Idle(now));
        }
    }
}

/// Marks a request as in flight on its connection until dropped.
pub struct RequestGuard {
    connection: Rc<ClientConnection>,
    /// The request's number on its connection.
    number: u64,
    began: Instant,
    waited_since: Option<Instant>,
    submitted: Cell<bool>,
}

impl RequestGuard {
    /// Records that the request is passed to the engine, which another task runs.
    pub fn record_submitted(&self) {
        self.submitted.set(true);
    }

    /// Whether the request was passed to the engine.
    pub fn is_submitted(&self) -> bool {
        self.submitted.get()
    }

    /// The earliest time at which the request may have arrived, given when it was read.
    pub fn arrived(&self, read: Instant) -> Instant {
        self.waited_since.map_or(read, |since| since.min(read))
    }

    /// Records that all of the request was received.
    pub fn record_received(&self) {
        if self.connection.is_newest(self.number) {
            self.connection.request_received.set(true);
        }
    }

    /// Records that the request is answered and the rest of its body is read only to be discarded.
    pub fn record_draining(&self) {
        if self.connection.is_newest(self.number) {
            self.connection.draining.set(true);
        }
    }

    /// The input of the request's connection, whose peer is `peer`.
    pub fn input(&self, peer: Peer) -> ClientInput {
        ClientInput::new(self.connection.clone(), self.number, peer)
    }

    /// How long the client may take to start sending its body.
    pub fn body_start_timeout(&self) -> Duration {
        let [min, max] = BODY_START_TIMEOUT_RANGE;
        BODY_START_LIMIT.saturating_sub(self.began.elapsed()).clamp(min, max)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.connection.is_newest(self.number) {
            self.connection.end_request();
        }
    }
}

/// Shuts down the write side and reads for a short time before the close (RFC 9112, 9.6). Closing a connection with
/// unread bytes resets it, and the peer loses what it has not yet read of the last response.
pub async fn lingering_close(mut socket: Socket, is_crowded: bool) {
    let read_on = async {
        let _ = socket.shutdown().await;
        let mut unread = vec![0; 4096];
        while socket.read(&mut unread).await.is_ok_and(|n| n > 0) {}
    };
    let _ =
        timeout(if is_crowded { LINGER_TIMEOUT_CROWDED } else { LINGER_TIMEOUT }, read_on).await;
}

#[cfg(test)]
mod tests;
