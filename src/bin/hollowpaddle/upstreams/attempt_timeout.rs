//! Decides when an attempt has timed out.
//!
//! The policy's time, often its class's aim, ends an attempt that nothing has come of. One that its upstream may still be
//! reading, or whose response has begun, may use the client's time.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::STALL_TIMEOUT;
use super::attempt_progress::AttemptProgress;
use crate::bodies::RequestBody;
use crate::guard::AttemptGuard;

/// How often an upload is checked for a stall.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// An upstream has read a request of up to this size as soon as it was sent. Of a larger one it may still be reading what
/// its kernel holds, which can't be told from here.
const MAX_PROMPT_REQUEST_BYTES: u64 = 4 << 10;

/// Waits until an attempt has timed out, to which the policy gives time `until` then.
pub(super) async fn attempt_timeout(
    guard: &AttemptGuard,
    until: Instant,
    progress: &AttemptProgress,
) {
    match &guard.forward().body.rest {
        None => sleep_until(until).await,
        Some(body) => {
            let allowed = until.saturating_duration_since(Instant::now());
            tokio::select! {
                () = received(body) => sleep(allowed).await,
                () = stalled(body, progress) => return,
            }
        }
    }
    if guard.is_unanswered() && is_under_way(guard, progress) {
        sleep_until(guard.forward().deadlines.policy()).await;
    }
}

/// Waits until all of a body was received. Does not return if it fails, as the exchange itself fails then.
async fn received(body: &RequestBody) {
    if body.ended().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until the upstream has stopped reading a body that is being forwarded.
async fn stalled(body: &RequestBody, progress: &AttemptProgress) {
    let (mut seen, mut since) = (progress.bytes(), Instant::now());
    while since.elapsed() < STALL_TIMEOUT {
        sleep(STALL_CHECK_INTERVAL).await;
        if body.is_waiting_for_client() || progress.bytes() != seen {
            (seen, since) = (progress.bytes(), Instant::now());
        }
    }
}

/// Whether the response has begun, or the upstream may still be reading the request.
fn is_under_way(guard: &AttemptGuard, progress: &AttemptProgress) -> bool {
    let may_be_read =
        !progress.nothing_written() && guard.forward().received() > MAX_PROMPT_REQUEST_BYTES;
    may_be_read || progress.response_has_begun()
}
