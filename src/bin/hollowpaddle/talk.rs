//! How far a client's connection has come, and when its peer has kept it waiting for too long.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// How long a connection may idle between two requests.
/// Failure: peers that sent nothing, or never all of it, kept their connections until the table of clients was
/// full, and proper clients waited in the backlog until their time was up.
const IDLE: Duration = Duration::from_millis(2200);
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

#[derive(Clone, Copy)]
enum Doing {
    /// Nothing, since then.
    Idle(Instant),
    /// It sends the head of a request, since then.
    Asking(Instant),
    /// A request is being served.
    Served,
}

/// One connection with a client.
pub struct Talk {
    doing: Cell<Doing>,
    /// Since when its peer has taken none of what is to be written.
    unread: Cell<Option<Instant>>,
}

impl Talk {
    /// A peer that has just connected is asking already: it came to.
    pub fn new() -> Self {
        Self { doing: Cell::new(Doing::Asking(Instant::now())), unread: Cell::new(None) }
    }

    /// A request is served from now on, until what this returns is dropped.
    pub fn turn(self: &Rc<Self>) -> Turn {
        let began = match self.doing.replace(Doing::Served) {
            Doing::Asking(since) => since,
            // It was read together with the one before.
            Doing::Idle(_) | Doing::Served => Instant::now(),
        };
        Turn { talk: self.clone(), began }
    }

    /// Waits until its peer has had all the time it gets.
    pub async fn lost(&self) {
        loop {
            let now = Instant::now();
            let at = match (self.doing.get(), self.unread.get()) {
                (Doing::Idle(since), _) => since + IDLE,
                (Doing::Asking(since), _) => since + HEAD_WITHIN,
                (Doing::Served, Some(since)) => since + UNREAD,
                (Doing::Served, None) => now + LOOK,
            };
            if at <= now {
                return;
            }
            sleep_until(at.min(now + LOOK)).await;
        }
    }
}

/// A request's time on a connection.
pub struct Turn {
    talk: Rc<Talk>,
    began: Instant,
}

impl Turn {
    /// How long the client may keep us waiting for the start of its body.
    pub fn patience(&self) -> Duration {
        let [least, most] = PATIENCE;
        STALLED_BY.saturating_sub(self.began.elapsed()).clamp(least, most)
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.talk.doing.set(Doing::Idle(Instant::now()));
    }
}

/// A stream that tells what its peer does.
pub struct Watched {
    pub inner: TokioIo<TcpStream>,
    pub talk: Rc<Talk>,
}

impl Watched {
    fn wrote<T>(&self, written: Poll<T>) -> Poll<T> {
        let since = self.talk.unread.get().unwrap_or_else(Instant::now);
        self.talk.unread.set(written.is_pending().then_some(since));
        written
    }
}

impl Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let (Doing::Idle(_), Poll::Ready(Ok(()))) = (self.talk.doing.get(), &read) {
            self.talk.doing.set(Doing::Asking(Instant::now()));
        }
        read
    }
}

impl Write for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.wrote(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.wrote(written)
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
