//! The first part of a response, which is read before any of it is forwarded.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use crate::bodies::{BodyBuffer, MAX_BUFFERED_BYTES};
use crate::memory::Reservation;

/// How long to wait for a response of unknown size to be complete or to exceed the buffer limit, before its first
/// part is forwarded: the latency of a large response is measured at its first bytes. And for the body of an error.
const COMPLETE_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// What is read of a response before any of it is forwarded.
#[derive(Default)]
pub(super) struct FirstPart {
    /// The buffered part: the complete body, or its beginning.
    pub(super) kept: Bytes,
    /// The first piece of a body that there was no memory to buffer.
    pub(super) unbuffered: Option<Bytes>,
    /// Whether the body is complete.
    pub(super) complete: bool,
}

impl FirstPart {
    /// An empty body, or one of which nothing is kept.
    fn whole() -> Self {
        Self { complete: true, ..Self::default() }
    }
}

/// Reads the first part of a response that is to be forwarded, into memory from `reserve`. The head of a response that is
/// declared to be large is not held back for it. Any other is waited for until a piece of its body has come: its pace is
/// counted from there.
pub(super) async fn read_first_part(
    body: &mut Incoming,
    length: Option<u64>,
    reserve: impl FnOnce() -> Option<Reservation>,
) -> Result<FirstPart, hyper::Error> {
    if length.is_some_and(|n| n > MAX_BUFFERED_BYTES as u64) {
        return Ok(FirstPart::default());
    }
    let by = Instant::now() + COMPLETE_BODY_TIMEOUT;
    let Some(piece) = next_piece(body).await? else {
        return Ok(FirstPart::whole());
    };
    let Some(reserved) = reserve() else {
        // A copy, because the piece may share the larger read buffer that it arrived in.
        let unbuffered = Some(Bytes::copy_from_slice(&piece));
        return Ok(FirstPart { unbuffered, ..FirstPart::default() });
    };
    let expected = length.map_or(0, |length| usize::try_from(length).unwrap_or(0));
    let mut buffer = BodyBuffer::new(MAX_BUFFERED_BYTES, expected.min(MAX_BUFFERED_BYTES));
    buffer.append(&piece);
    let complete = match length {
        Some(_) => read_on(body, &mut buffer).await?,
        None => match timeout_at(by, read_on(body, &mut buffer)).await {
            Ok(complete) => complete?,
            Err(_) => false,
        },
    };
    Ok(FirstPart { kept: buffer.finish(Some(reserved)), unbuffered: None, complete })
}

/// Reads and drops a body until it ends or exceeds the buffer limit.
pub(super) async fn discard(body: &mut Incoming) -> Result<FirstPart, hyper::Error> {
    let mut read = 0;
    while read <= MAX_BUFFERED_BYTES {
        let Some(piece) = next_piece(body).await? else { return Ok(FirstPart::whole()) };
        read += piece.len();
    }
    Ok(FirstPart { complete: body.is_end_stream(), ..FirstPart::default() })
}

/// Does the same for a limited time.
pub(super) async fn discard_promptly(body: &mut Incoming) -> Result<FirstPart, hyper::Error> {
    timeout(COMPLETE_BODY_TIMEOUT, discard(body)).await.unwrap_or(Ok(FirstPart::default()))
}

/// Reads a body until it ends or the buffer is full. Returns whether it is complete.
async fn read_on(body: &mut Incoming, buffer: &mut BodyBuffer) -> Result<bool, hyper::Error> {
    while !buffer.is_full() {
        let Some(piece) = next_piece(body).await? else { return Ok(true) };
        buffer.append(&piece);
    }
    Ok(body.is_end_stream())
}

/// The next piece of a body; `None` at its end. Trailers are skipped.
async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(piece) = frame?.into_data() {
            return Ok(Some(piece));
        }
    }
    Ok(None)
}
