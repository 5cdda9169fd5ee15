//! Reads from a connection in pieces of limited size.

use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hollowpaddle::socket::{Socket, Tail};
use hyper::rt::ReadBufCursor;
use tokio::io::{AsyncRead, ReadBuf};

use super::budget::{MAX_PIECE_BYTES, PIECES_PER_PAIR};
use super::{BufferMemory, Reservation};

/// After so many full pieces in a row a connection carries a large message.
const LARGE_MESSAGE_PIECES: u32 = 4;

/// Reads from a connection a piece at a time. hyper doubles its read buffer whenever a read fills it, so that limiting each
/// read limits the buffer.
///
/// A large message costs less processor time in large pieces. They are read once memory is reserved for them, which stays
/// reserved until the connection ends, as hyper's buffer does.
pub struct PieceReader {
    piece_bytes: usize,
    memory: BufferMemory,
    full_pieces: u32,
    reserved: Option<Reservation>,
    tail: Tail,
}

impl PieceReader {
    /// Reads pieces of up to `piece_bytes`, and larger ones where `memory` has room for them.
    pub fn new(piece_bytes: usize, memory: BufferMemory) -> Self {
        Self { piece_bytes, memory, full_pieces: 0, reserved: None, tail: Tail::default() }
    }

    /// Reads the next piece, and returns its size in bytes.
    pub fn poll_read(
        &mut self,
        socket: &mut Socket,
        cx: &mut Context<'_>,
        buffer: &mut ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<usize>> {
        let mut piece = [MaybeUninit::uninit(); MAX_PIECE_BYTES];
        let most = self.max_piece_bytes().min(buffer.remaining());
        let mut read = ReadBuf::uninit(&mut piece[..most]);
        ready!(Pin::new(socket).poll_read(cx, &mut read))?;
        buffer.put_slice(read.filled());
        self.tail.append(read.filled());
        let bytes = read.filled().len();
        self.record(bytes == most);
        Poll::Ready(Ok(bytes))
    }

    /// The last bytes read.
    pub fn tail(&self) -> Tail {
        self.tail
    }

    /// Records bytes that were read in another way.
    pub fn record_read(&mut self, bytes: &[u8]) {
        self.tail.append(bytes);
    }

    /// How much may be read at a time now.
    pub fn max_piece_bytes(&self) -> usize {
        if self.reserved.is_some() { MAX_PIECE_BYTES } else { self.piece_bytes }
    }

    /// Records whether a piece was full.
    fn record(&mut self, full: bool) {
        self.full_pieces = if full { self.full_pieces.saturating_add(1) } else { 0 };
        let more = MAX_PIECE_BYTES - self.piece_bytes;
        if more > 0 && self.reserved.is_none() && self.full_pieces >= LARGE_MESSAGE_PIECES {
            self.full_pieces = 0;
            self.reserved = self.memory.reserve(PIECES_PER_PAIR * more);
        }
    }
}

#[cfg(test)]
mod tests;
