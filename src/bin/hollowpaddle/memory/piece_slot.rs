//! Limits what a stream holds of a message that it passes on.

use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;

/// The place for the one piece that a stream may hold: the next one is taken only once the peer has the last one. Without
/// it, each connection would fill the write buffer of its HTTP implementation while its peer does not read.
#[derive(Clone, Default)]
pub struct PieceSlot(Arc<Mutex<SlotState>>);

#[derive(Default)]
struct SlotState {
    taken: bool,
    waiting: Option<Waker>,
}

impl PieceSlot {
    /// Waits until the slot is free.
    pub fn poll_free(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.taken {
            return Poll::Ready(());
        }
        state.waiting = Some(cx.waker().clone());
        Poll::Pending
    }

    /// `data`, which takes the slot until it is dropped. It should not share a larger buffer.
    pub fn hold(&self, data: Bytes) -> Bytes {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).taken = true;
        let slot = HeldSlot(self.0.clone());
        Bytes::from_owner(HeldPiece { data, _slot: slot })
    }
}

struct HeldPiece {
    data: Bytes,
    _slot: HeldSlot,
}

impl AsRef<[u8]> for HeldPiece {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Frees the slot when dropped.
struct HeldSlot(Arc<Mutex<SlotState>>);

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let waiting = {
            let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            state.taken = false;
            state.waiting.take()
        };
        if let Some(waiting) = waiting {
            waiting.wake();
        }
    }
}

#[cfg(test)]
mod tests;
