//! Bytes that were read before their reader could take them.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{BufferMemory, MAX_PIECE_BYTES, Reservation};

/// A queue of bytes, in blocks with memory reserved for them. Small pieces share a block, since each would take more memory
/// by itself than it has bytes.
pub struct BlockQueue {
    memory: BufferMemory,
    /// In bytes; at least one block.
    max_bytes: usize,
    blocks: VecDeque<Block>,
    /// For the next block, so that a piece that was read always has room.
    spare: Option<Reservation>,
}

struct Block {
    bytes: Vec<u8>,
    reserved: Reservation,
}

impl Block {
    fn new(reserved: Reservation) -> Self {
        Self { bytes: Vec::with_capacity(MAX_PIECE_BYTES), reserved }
    }

    fn room(&self) -> usize {
        MAX_PIECE_BYTES.saturating_sub(self.bytes.len())
    }
}

impl BlockQueue {
    /// An empty queue, which may take one part in `share_divisor` of the memory, so that others have some.
    pub fn new(memory: BufferMemory, share_divisor: usize) -> Self {
        let max_bytes = (memory.total() / share_divisor).max(MAX_PIECE_BYTES);
        Self { memory, max_bytes, blocks: VecDeque::new(), spare: None }
    }

    /// Reserves room for one more piece; returns false if no memory is free, or if it would take more than `limit` bytes.
    pub fn reserve(&mut self, limit: usize) -> bool {
        if (self.blocks.len() + 1) * MAX_PIECE_BYTES > limit.min(self.max_bytes) {
            return false;
        }
        if self.spare.is_none() {
            self.spare = self.memory.reserve(MAX_PIECE_BYTES);
        }
        self.spare.is_some()
    }

    /// Gives back what [`reserve`](Self::reserve) took and no piece needed.
    pub fn release_spare(&mut self) {
        self.spare = None;
    }

    /// Appends a piece, for which [`reserve`](Self::reserve) has made room.
    pub fn append(&mut self, piece: &[u8]) {
        let room = self.blocks.back().map_or(0, Block::room);
        let (first, rest) = piece.split_at(piece.len().min(room));
        if let Some(block) = self.blocks.back_mut() {
            block.bytes.extend_from_slice(first);
        }
        if rest.is_empty() {
            return;
        }
        if let Some(reserved) = self.spare.take() {
            let mut block = Block::new(reserved);
            block.bytes.extend_from_slice(rest);
            self.blocks.push_back(block);
        }
    }

    /// Takes the oldest block. Its memory stays reserved until the returned bytes are dropped.
    pub fn pop(&mut self) -> Option<Bytes> {
        let Block { mut bytes, reserved } = self.blocks.pop_front()?;
        bytes.shrink_to_fit();
        Some(reserved.attach(Bytes::from(bytes)))
    }

    /// The number of bytes in it.
    pub fn len(&self) -> usize {
        self.blocks.iter().map(|block| block.bytes.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}

#[cfg(test)]
mod tests;
