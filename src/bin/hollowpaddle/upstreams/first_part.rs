//! The first part of a response, which is read before any of it is forwarded.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::bodies::{BodyBuffer, MAX_BUFFERED_BYTES};
use crate::memory::Reservation;

/// How long to wait for a response of unknown size to be complete or to exceed the buffer limit, before its first
/// part is forwarded: the latency of a large response is measured at its first bytes.
const COMPLETE_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Buffers the first part of a body in reserved memory. Also returns whether the body is complete.
pub(super) async fn buffer_first_part(
    body: &mut Incoming,
    length: Option<u64>,
    reserved: Reservation,
) -> Result<(Bytes, bool), hyper::Error> {
    let expected = length.map_or(0, |length| usize::try_from(length).unwrap_or(0));
    let mut buffer = BodyBuffer::new(MAX_BUFFERED_BYTES, expected.min(MAX_BUFFERED_BYTES));
    let complete = read_first_part(body, length, |piece| buffer.append(piece)).await?;
    Ok((buffer.finish(Some(reserved)), complete))
}

/// Reads a body until it ends or exceeds the buffer limit; if its size is unknown, for a limited time. Returns whether the
/// body is complete.
pub(super) async fn read_first_part(
    body: &mut Incoming,
    length: Option<u64>,
    mut on_piece: impl FnMut(&Bytes),
) -> Result<bool, hyper::Error> {
    if length.is_some_and(|n| n > MAX_BUFFERED_BYTES as u64) {
        return Ok(body.is_end_stream());
    }
    let by = Instant::now() + COMPLETE_BODY_TIMEOUT;
    let mut read = 0;
    loop {
        let frame = match length {
            Some(_) => Ok(body.frame().await),
            None => timeout_at(by, body.frame()).await,
        };
        let frame = match frame {
            Ok(frame) => frame,
            // Timed out with nothing to forward yet: waits for the first frame.
            Err(_) if read == 0 => body.frame().await,
            Err(_) => return Ok(false),
        };
        let Some(frame) = frame else { return Ok(true) };
        if let Ok(piece) = frame?.into_data() {
            on_piece(&piece);
            read += piece.len();
        }
        if read > MAX_BUFFERED_BYTES {
            return Ok(body.is_end_stream());
        }
    }
}
