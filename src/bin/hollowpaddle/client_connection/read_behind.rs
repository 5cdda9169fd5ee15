//! Reads on past hyper: behind a request in flight, and of a body that its upstream reads slowly. A client's close, and whether
//! it has more to write, are seen only once everything that it sent before is received, and the kernel receives no more than its
//! buffer holds.

use std::io::ErrorKind;

use bytes::{Buf, Bytes};
use hollowpaddle::socket::{Peer, Tail, Unread};

use crate::memory::{BlockQueue, BufferMemory, MAX_PIECE_BYTES};

/// Fewer unread bytes than this leave room in every receive buffer, so that a close behind them is seen.
const HIDING_BYTES: u64 = 16 << 10;
/// Size of the kernel's receive buffer once so much is unread.
const RECEIVE_BUFFER_BYTES: usize = 256 << 10;
/// How much is read on at a time: a part of the receive buffer, so that the rest lasts until more has come.
const TURN_PIECE_BYTES: usize = 16 << 10;
/// How much is read at most to catch up with a client: more than the buffers of both kernels hold, if they are small.
const CATCH_UP_BYTES: usize = 256 << 10;
/// One connection may take this part of the memory.
const SHARE_DIVISOR: usize = 4;

/// The result of reading on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOn {
    /// A piece was read; there may be more.
    Piece,
    /// Nothing is there.
    Nothing,
    /// There is no memory, or the connection has ended.
    Unable,
}

/// The bytes of one connection that were read behind a request in flight and not yet given to hyper.
pub(super) struct ReadBehind {
    queue: BlockQueue,
    /// The rest of the oldest block.
    front: Bytes,
    tail: Tail,
    enlarged: bool,
}

impl ReadBehind {
    /// Nothing is read yet; what is read will be reserved from `memory`.
    pub(super) fn new(memory: BufferMemory) -> Self {
        Self {
            queue: BlockQueue::new(memory, SHARE_DIVISOR),
            front: Bytes::new(),
            tail: Tail::default(),
            enlarged: false,
        }
    }

    /// Reads what may hide a close, as far as there is memory; returns whether there was anything.
    pub(super) fn read(&mut self, peer: &Peer) -> bool {
        let before = self.len();
        while peer.unread_bytes() >= HIDING_BYTES && self.queue.reserve(usize::MAX) {
            if !std::mem::replace(&mut self.enlarged, true) {
                peer.set_receive_buffer(RECEIVE_BUFFER_BYTES);
            }
            // hyper meets the end or the error of the connection itself.
            if self.read_piece::<MAX_PIECE_BYTES>(peer).is_err() {
                break;
            }
        }
        self.queue.release_spare();
        self.len() > before
    }

    /// Reads one piece of what the client has written, if there is memory for it.
    pub(super) fn read_on(&mut self, peer: &Peer) -> ReadOn {
        let read = match self.queue.reserve(CATCH_UP_BYTES) {
            true => self.read_piece::<TURN_PIECE_BYTES>(peer),
            false if peer.unread() == Unread::Nothing => Err(ErrorKind::WouldBlock.into()),
            false => Err(ErrorKind::OutOfMemory.into()),
        };
        self.queue.release_spare();
        match read {
            Ok(()) => ReadOn::Piece,
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => ReadOn::Nothing,
            Err(_) => ReadOn::Unable,
        }
    }

    /// Reads one piece of up to `BYTES` bytes, for which there is room.
    fn read_piece<const BYTES: usize>(&mut self, peer: &Peer) -> std::io::Result<()> {
        let mut piece = [0; BYTES];
        let read = peer.read_now(&mut piece)?;
        if read == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.tail.append(&piece[..read]);
        self.queue.append(&piece[..read]);
        Ok(())
    }

    /// Takes the oldest bytes, up to `most`; none if nothing was read behind a request.
    pub(super) fn take(&mut self, most: usize) -> Bytes {
        if self.front.is_empty() {
            self.front = self.queue.pop().unwrap_or_default();
        }
        self.front.split_to(most.min(self.front.remaining()))
    }

    /// The number of bytes that hyper has not taken.
    pub(super) fn len(&self) -> usize {
        self.front.len() + self.queue.len()
    }

    /// Whether hyper has taken all of it.
    pub(super) fn is_empty(&self) -> bool {
        self.front.is_empty() && self.queue.is_empty()
    }

    /// The last bytes read, if hyper has not taken them.
    pub(super) fn tail(&self) -> Option<Tail> {
        (!self.is_empty()).then_some(self.tail)
    }
}
