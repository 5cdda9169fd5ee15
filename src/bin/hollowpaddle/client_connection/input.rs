//! What a client has sent, as far as it can be known here.

use std::rc::Rc;

use hollowpaddle::socket::Peer;

use super::ClientConnection;

/// What a client has sent on its connection, as far as this machine has received it.
pub struct ClientInput {
    connection: Rc<ClientConnection>,
    peer: Peer,
}

impl ClientInput {
    pub(super) fn new(connection: Rc<ClientConnection>, peer: Peer) -> Self {
        Self { connection, peer }
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
