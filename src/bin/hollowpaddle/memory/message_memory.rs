//! The memory for messages, by its uses.

use super::{BufferMemory, HeadGate, HeadMemory, MemoryBudget, PieceReader};

/// The memory for messages, shared by the connections to both sides.
#[derive(Clone)]
pub struct MessageMemory {
    pub budget: MemoryBudget,
    /// For messages that are kept, and long heads.
    pub buffers: BufferMemory,
    response_heads: BufferMemory,
    /// For large pieces, and for what is read from clients before it is needed.
    pub large_pieces: BufferMemory,
}

impl MessageMemory {
    pub fn new(budget: MemoryBudget) -> Self {
        Self {
            buffers: BufferMemory::new(budget.buffer_bytes),
            response_heads: BufferMemory::new(budget.response_head_bytes),
            large_pieces: BufferMemory::new(budget.large_piece_bytes),
            budget,
        }
    }

    /// The reader of one connection.
    pub fn reader(&self) -> PieceReader {
        PieceReader::new(self.budget.piece_bytes, self.large_pieces.clone())
    }

    /// The gate for heads that one client connection receives.
    pub fn request_head_gate(&self) -> HeadGate {
        let memory = HeadMemory::for_requests(self.buffers.clone());
        HeadGate::new(memory, self.budget.short_head_bytes)
    }

    /// The gate for heads that one upstream connection receives.
    pub fn response_head_gate(&self) -> HeadGate {
        let memory = HeadMemory::for_responses(self.buffers.clone(), self.response_heads.clone());
        HeadGate::new(memory, self.budget.short_head_bytes)
    }
}
