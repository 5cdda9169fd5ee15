//! Tasks that end with their owner, and a turn for all others.

use tokio::task::{JoinHandle, yield_now};

/// Turns that [`yield_until`] gives: what comes on a socket passes through a handful of tasks, and a long message comes in
/// several pieces.
const MAX_YIELDS: usize = 16;

/// Gives all tasks of this thread some turns. For a process that stood still (a timer that fires late tells of it): what
/// has come for it meanwhile is read before it goes on. Ends early once there is `enough`.
pub async fn yield_until(enough: impl Fn() -> bool) {
    for _ in 0..MAX_YIELDS {
        yield_now().await;
        if enough() {
            return;
        }
    }
}

/// A task that ends with its owner, and closes what it holds.
#[derive(Debug)]
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
