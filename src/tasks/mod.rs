//! Helpers for tasks on a single-threaded runtime: abort on drop, and yielding to other tasks.

use tokio::task::{JoinHandle, yield_now};

/// Maximum number of yields of [`yield_until`]: data from a socket passes through several tasks before it is processed,
/// and a long message arrives in several pieces.
const MAX_YIELDS: usize = 16;

/// Yields to the other tasks of this thread several times, until `enough` returns true. Called after a stall of the
/// process, which a late timer reveals, so that data that arrived during the stall is read first.
pub async fn yield_until(enough: impl Fn() -> bool) {
    for _ in 0..MAX_YIELDS {
        yield_now().await;
        if enough() {
            return;
        }
    }
}

/// A task that is aborted when this handle is dropped; its resources are released then.
#[derive(Debug)]
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
