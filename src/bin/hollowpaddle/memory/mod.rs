//! Memory of the messages in transit. [`MemoryBudget`] divides the limit of the process between connections and buffers;
//! [`BufferMemory`] hands out the part for buffers, of which a [`HeadGate`] takes some for a long head; [`PieceSlot`] limits
//! what a stream holds to one piece.

mod budget;
mod buffers;
mod head_gate;
mod piece_read;
mod piece_slot;

pub use budget::MemoryBudget;
pub use buffers::{BufferMemory, Reservation};
pub use head_gate::{HeadGate, HeadMemory};
pub use piece_read::poll_read_piece;
pub use piece_slot::PieceSlot;
