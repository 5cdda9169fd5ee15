//! Request and response bodies: small ones are buffered completely, larger ones are streamed at the receiver's pace.

mod request;
mod response;

use bytes::Bytes;

pub use request::{BodyProgress, Payload, RequestBody, UpstreamRequestBody};
pub use response::{ResponseBody, UpstreamResponse};

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

/// Appends a piece to a buffer for `most` bytes and one piece more. The buffer grows in steps, and never to twice what it
/// may hold.
pub fn append(buffer: &mut Vec<u8>, piece: &Bytes, most: usize) {
    let needed = buffer.len() + piece.len();
    if needed > buffer.capacity() {
        let doubled = (2 * buffer.capacity()).min(most);
        buffer.reserve_exact(needed.max(doubled) - buffer.len());
    }
    buffer.extend_from_slice(piece);
}
