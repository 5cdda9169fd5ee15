//! What a client has sent, as far as it can be known here.

use std::rc::Rc;

use hollowpaddle::socket::Peer;

use super::ClientConnection;

/// What a client has sent on its connection, as far as this machine has received it.
#[derive(Clone)]
pub struct ClientInput {
    connection: Rc<ClientConnection>,
    peer: Peer,
}

impl ClientInput {
    /// The input of a connection, whose peer is `peer`.
    pub fn new(connection: Rc<ClientConnection>, peer: Peer) -> Self {
        Self { connection, peer }
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

    /// Whether the last bytes received are an empty line, with which chunked bodies end.
    pub fn ends_with_empty_line(&self) -> bool {
        let read = self.connection.read_behind.borrow().tail();
        let read = read.unwrap_or(self.connection.tail.get());
        self.peer.received_tail(read).is_empty_line()
    }
}
