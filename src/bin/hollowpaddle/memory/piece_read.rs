//! Reads from a connection in pieces of limited size.

use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hollowpaddle::socket::Socket;
use hyper::rt::ReadBufCursor;
use tokio::io::{AsyncRead, ReadBuf};

use super::budget::MAX_PIECE_BYTES;

/// Reads at most `piece_bytes`, and returns how many were read. hyper doubles its read buffer whenever a read fills it, so
/// that limiting each read limits the buffer.
pub fn poll_read_piece(
    socket: &mut Socket,
    cx: &mut Context<'_>,
    buffer: &mut ReadBufCursor<'_>,
    piece_bytes: usize,
) -> Poll<std::io::Result<usize>> {
    let mut piece = [MaybeUninit::uninit(); MAX_PIECE_BYTES];
    let most = piece_bytes.min(buffer.remaining()).min(MAX_PIECE_BYTES);
    let mut read = ReadBuf::uninit(&mut piece[..most]);
    ready!(Pin::new(socket).poll_read(cx, &mut read))?;
    buffer.put_slice(read.filled());
    Poll::Ready(Ok(read.filled().len()))
}
