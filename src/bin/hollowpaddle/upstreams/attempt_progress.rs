//! How far an attempt has come, and its timeout.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::STALL_TIMEOUT;
use super::connection::Written;
use super::forward::Forward;
use crate::bodies::BodyProgress;

/// How often an upload is checked for a stall.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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

/// Waits until an attempt has timed out. While a request body is being forwarded, that is when the upstream has
/// stopped reading it.
pub(super) async fn attempt_timeout(forward: &Forward, until: Instant, progress: &AttemptProgress) {
    let Some(rest) = &forward.body.rest else { return sleep_until(until).await };
    let allowed = until.saturating_duration_since(Instant::now());
    let stalled = async {
        let (mut seen, mut since) = (progress.bytes(), Instant::now());
        while since.elapsed() < STALL_TIMEOUT {
            sleep(STALL_CHECK_INTERVAL).await;
            if rest.is_waiting_for_client() || progress.bytes() != seen {
                (seen, since) = (progress.bytes(), Instant::now());
            }
        }
    };
    tokio::select! {
        how = rest.ended() => match how {
            Ok(()) => sleep(allowed).await,
            // The exchange itself fails in this case.
            Err(_) => std::future::pending().await,
        },
        () = stalled => {}
    }
}
