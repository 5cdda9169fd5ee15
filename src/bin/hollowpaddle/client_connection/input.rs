//! What a client has sent, as far as it can be known here.

use std::rc::Rc;

use hollowpaddle::socket::Peer;

use super::{ClientConnection, ReadOn};

/// What a client has sent on its connection, as far as this machine has received it.
#[derive(Clone)]
pub struct ClientInput {
    connection: Rc<ClientConnection>,
    /// The number of the request on its connection.
    request: u64,
    peer: Peer,
}

impl ClientInput {
    /// The input of the connection's request with this number; its peer is `peer`.
    pub fn new(connection: Rc<ClientConnection>, request: u64, peer: Peer) -> Self {
        Self { connection, request, peer }
    }

    /// Whether the client has closed its write side or the connection, or the connection is closed on this side. What arrived
    /// behind the request in flight is read first, since it may hide the close.
    pub fn has_closed(&self) -> bool {
        self.connection.read_behind(&self.peer);
        self.peer.has_closed()
    }

    /// The number of bytes that hyper has read.
    pub fn read(&self) -> u64 {
        self.connection.bytes_read.get()
    }

    /// The number of bytes received, read or not.
    pub fn received(&self) -> u64 {
        let behind = self.connection.read_behind.borrow().len();
        self.read() + behind as u64 + self.peer.unread_bytes()
    }

    /// Reads one piece of what the client has written, if there is memory for it.
    pub fn read_on(&self) -> ReadOn {
        self.connection.read_on(&self.peer)
    }

    /// The number of bytes that were read on and not yet used.
    pub fn read_ahead(&self) -> usize {
        self.connection.read_behind.borrow().len()
    }

    /// Whether all that was received has been read.
    pub fn is_read(&self) -> bool {
        !self.connection.has_unread_input(self.peer.unread())
    }

    /// Records that the request's last byte was read, and whether hyper has read more than that. It belongs to the head of the
    /// next request, which has not begun as long as this one is the newest.
    pub fn record_end(&self, more_was_read: bool) {
        if self.connection.is_newest(self.request) {
            self.connection.next_head_begun.set(more_was_read);
        }
    }

    /// Whether the last bytes that hyper has read are an empty line.
    pub fn read_ends_with_empty_line(&self) -> bool {
        self.connection.tail.get().is_empty_line()
    }

    /// Whether the last bytes received are an empty line, with which chunked bodies end.
    pub fn ends_with_empty_line(&self) -> bool {
        let read = self.connection.read_behind.borrow().tail();
        let read = read.unwrap_or(self.connection.tail.get());
        self.peer.received_tail(read).is_empty_line()
    }
}
