//! Memory of the messages in transit. [`MemoryBudget`] divides the limit of the process between connections and buffers;
//! [`BufferMemory`] hands out the part for buffers, of which a [`HeadGate`] takes some for a long head. A [`PieceReader`]
//! limits what is read of a message at a time, and a [`PieceSlot`] what a stream holds of it, to one piece. A [`BlockQueue`]
//! holds what is read before it is needed.

mod block_queue;
mod budget;
mod buffers;
mod head_gate;
mod message_memory;
mod piece_reader;
mod piece_slot;

pub use block_queue::BlockQueue;
pub use budget::{MAX_PIECE_BYTES, MemoryBudget};
pub use buffers::{BufferMemory, Reservation};
pub use head_gate::{HeadGate, HeadMemory};
pub use message_memory::MessageMemory;
pub use piece_reader::PieceReader;
pub use piece_slot::PieceSlot;
