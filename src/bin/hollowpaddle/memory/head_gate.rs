//! Lets a connection read a long head only with memory reserved for it.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use super::budget::LONG_HEAD_RESERVATION_BYTES;
use super::{BufferMemory, Reservation};

/// The memory for long heads of one side.
#[derive(Clone)]
pub struct HeadMemory {
    shared: BufferMemory,
    own: Option<BufferMemory>,
}

impl HeadMemory {
    /// For heads of requests, which wait for a part of the shared memory.
    pub fn for_requests(shared: BufferMemory) -> Self {
        Self { shared, own: None }
    }

    /// For heads of responses, which use `own` where nothing of the shared memory is free: all of that may be reserved for
    /// requests that wait for these responses.
    pub fn for_responses(shared: BufferMemory, own: BufferMemory) -> Self {
        Self { shared, own: Some(own) }
    }

    async fn wait(&self) -> Option<Reservation> {
        match &self.own {
            None => self.shared.wait_for(LONG_HEAD_RESERVATION_BYTES).await,
            Some(own) => match self.shared.reserve(LONG_HEAD_RESERVATION_BYTES) {
                Some(reservation) => Some(reservation),
                None => own.wait_for(LONG_HEAD_RESERVATION_BYTES).await,
            },
        }
    }
}

/// Counts what a connection reads of a head. Up to a limit it needs no reservation, since the connection's share of the
/// memory covers it.
///
/// hyper keeps the buffers that a long head needs for as long as the connection is open: those that it was read into, and
/// those that it was written from to the peer. So the reservation ends with the connection, which should be closed soon.
pub struct HeadGate {
    memory: HeadMemory,
    /// In bytes.
    limit: usize,
    read: usize,
    state: State,
}

enum State {
    Unreserved,
    Waiting(Pin<Box<dyn Future<Output = Option<Reservation>>>>),
    Reserved {
        /// `None` if the memory is never handed out again.
        _reservation: Option<Reservation>,
    },
}

impl HeadGate {
    /// A gate for heads of more than `limit` bytes.
    pub fn new(memory: HeadMemory, limit: usize) -> Self {
        Self { memory, limit, read: 0, state: State::Unreserved }
    }

    /// The bytes read from now on belong to another head.
    pub fn restart(&mut self) {
        self.read = 0;
    }

    /// Records that `bytes` of the head were read.
    pub fn record(&mut self, bytes: usize) {
        self.read += bytes;
    }

    /// Waits until more of the head may be read.
    pub fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            match &mut self.state {
                State::Unreserved if self.read < self.limit => return Poll::Ready(()),
                State::Unreserved => {
                    let memory = self.memory.clone();
                    self.state = State::Waiting(Box::pin(async move { memory.wait().await }));
                }
                State::Waiting(reservation) => {
                    let _reservation = ready!(reservation.as_mut().poll(cx));
                    self.state = State::Reserved { _reservation };
                }
                State::Reserved { .. } => return Poll::Ready(()),
            }
        }
    }

    /// Whether a long head was read on the connection.
    pub fn is_reserved(&self) -> bool {
        matches!(self.state, State::Reserved { .. })
    }
}

#[cfg(test)]
mod tests;
