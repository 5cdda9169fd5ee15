//! Request and response bodies: small ones are buffered completely, larger ones are streamed at the receiver's pace.

mod last_byte;
mod pace;
mod request;
mod response;
mod upstream_request;

use bytes::Bytes;

use crate::memory::Reservation;
pub use request::RequestBody;
pub use response::{ResponseBody, UpstreamResponse};
pub use upstream_request::{BodyProgress, Payload, UpstreamRequestBody};

/// A request or response body up to this size is buffered completely; of a larger one, only its first part.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Maximum size of a request body; a larger one is answered 413.
pub const MAX_REQUEST_BODY_BYTES: u64 = 32 << 20;

/// Why a body could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    #[error("body arrives too slowly")]
    Slow,
    #[error("body is too large")]
    TooLarge,
    #[error("body is truncated or malformed")]
    Cut,
}

/// A body, or the beginning of a large one, as it is read.
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// In bytes; once more were read, the rest of the body is streamed.
    limit: usize,
}

impl BodyBuffer {
    /// A buffer that is full with more than `limit` bytes. `expected` bytes are allocated at once, since memory is fragmented
    /// by buffers that grow.
    pub fn new(limit: usize, expected: usize) -> Self {
        Self { bytes: Vec::with_capacity(expected), limit }
    }

    /// Appends a piece. The buffer grows in steps, and never to twice what it may hold.
    pub fn append(&mut self, piece: &Bytes) {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).min(self.limit);
            self.bytes.reserve_exact(needed.max(doubled) - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }

    /// Whether the rest of the body is to be streamed.
    pub fn is_full(&self) -> bool {
        self.bytes.len() > self.limit
    }

    /// What was read, with the memory reserved for it.
    pub fn finish(mut self, reserved: Option<Reservation>) -> Bytes {
        self.bytes.shrink_to_fit();
        let bytes = Bytes::from(self.bytes);
        match reserved {
            Some(reserved) => reserved.attach(bytes),
            None => bytes,
        }
    }
}
