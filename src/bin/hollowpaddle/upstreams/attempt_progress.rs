//! How far an attempt has come.

use std::cell::RefCell;

use hollowpaddle::socket::Unread;

use super::connection::Written;
use crate::bodies::BodyProgress;

/// Tracks how much of a request was handed to the kernel, and how much of its response has come.
#[derive(Default)]
pub(super) struct AttemptProgress {
    written: RefCell<Option<(Written, u64)>>,
    due: RefCell<BodyProgress>,
}

impl AttemptProgress {
    /// Begins to track a request on this connection, of which `due` is to be sent.
    pub(super) fn start(&self, written: &Written, due: BodyProgress) {
        let from = written.bytes.get();
        // For an incomplete body, `complete_at` is set once its last byte was handed over.
        written.complete_at.set(due.all.get().then(|| from + due.bytes.get()));
        self.written.replace(Some((written.clone(), from)));
        self.due.replace(due);
    }

    /// The number of bytes handed to the kernel.
    pub(super) fn bytes(&self) -> u64 {
        self.written.borrow().as_ref().map_or(0, |(w, from)| w.bytes.get() - from)
    }

    /// The number of bytes that have come of the response.
    pub(super) fn response_bytes(&self) -> u64 {
        self.written.borrow().as_ref().map_or(0, |(written, _)| written.response_bytes.get())
    }

    /// Whether any byte of the response has come, read or unread.
    pub(super) fn response_has_begun(&self) -> bool {
        self.response_bytes() > 0
            || self.written.borrow().as_ref().is_some_and(|(w, _)| w.peer.unread() == Unread::Bytes)
    }

    /// Whether no byte was handed to the kernel.
    pub(super) fn nothing_written(&self) -> bool {
        self.bytes() == 0
    }

    /// Whether the request's last byte was certainly not written; false in doubt.
    pub(super) fn certainly_incomplete(&self) -> bool {
        let due = self.due.borrow();
        !due.all.get() || self.bytes() < due.bytes.get().max(1)
    }
}
