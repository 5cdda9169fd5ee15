//! Reads on behind a request in flight. A client's close is seen only once everything that it sent before is received, and
//! the kernel receives no more than its buffer holds.

use bytes::{Buf, Bytes};
use hollowpaddle::socket::{Peer, Tail};

use crate::memory::{BlockQueue, BufferMemory, MAX_PIECE_BYTES};

/// Fewer unread bytes than this leave room in every receive buffer, so that a close behind them is seen.
const HIDING_BYTES: u64 = 16 << 10;
/// Size of the kernel's receive buffer once so much is unread.
const RECEIVE_BUFFER_BYTES: usize = 256 << 10;
/// One connection may take this part of the memory.
const SHARE_DIVISOR: usize = 4;

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
            let mut piece = [0; MAX_PIECE_BYTES];
            // hyper meets the end or the error of the connection itself.
            let Ok(read @ 1..) = peer.read_now(&mut piece) else { break };
            self.tail.append(&piece[..read]);
            self.queue.append(&piece[..read]);
        }
        self.queue.release_spare();
        self.len() > before
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
