//! The phase of the process: whether it accepts clients. Readiness, keep-alive and the accept loop read it here.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

/// How long idle connections stay open after a drain command, so that clients can close them first, or send one more
/// request and get `Connection: close` with its answer; neither loses a request. Callers of a drain expect all
/// connections to be closed after 4 s.
const QUIESCE_LINGER: Duration = Duration::from_millis(1500);
/// The same after SIGTERM; also how long new connections are still accepted then. The front tier needs
/// some time to notice the shutdown, and requests accepted much later would not finish before SIGKILL.
pub const LINGER: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    /// An operator's quiesce command sends clients away until a resume command.
    Quiesced,
    /// After SIGTERM; final.
    Stopping,
    /// As `Stopping`, while a newer process serves the same address.
    Replaced,
}

impl Phase {
    pub fn name(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Quiesced => "quiesced",
            Phase::Stopping => "stopping",
            Phase::Replaced => "replaced",
        }
    }
}

pub struct Lifecycle(watch::Sender<Phase>);

impl Lifecycle {
    pub fn new() -> Self {
        Self(watch::Sender::new(Phase::Serving))
    }

    pub fn phase(&self) -> Phase {
        *self.0.borrow()
    }

    pub fn serving(&self) -> bool {
        self.phase() == Phase::Serving
    }

    /// Whether the address is served, by this process or by the one that replaces it. A readiness probe may still
    /// reach the old process through its accept queue; a negative answer there made the front tier give
    /// up the address, and so both processes.
    pub fn address_served(&self) -> bool {
        matches!(self.phase(), Phase::Serving | Phase::Replaced)
    }

    /// Starts to send clients away; returns false if the process is stopping.
    pub fn quiesce(&self) -> bool {
        self.transition(Phase::Quiesced)
    }

    /// Accepts clients again; returns false if the process is stopping.
    pub fn resume(&self) -> bool {
        self.transition(Phase::Serving)
    }

    /// Starts the final shutdown; `replaced` if a newer process serves the address.
    pub fn stop(&self, replaced: bool) {
        self.transition(if replaced { Phase::Replaced } else { Phase::Stopping });
    }

    fn transition(&self, to: Phase) -> bool {
        let from = self.phase();
        if matches!(from, Phase::Stopping | Phase::Replaced) {
            return false;
        }
        if from != to {
            tracing::info!("phase changed to {}", to.name());
        }
        self.0.send_replace(to);
        true
    }

    /// Waits until a connection that is open now has to be closed as soon as it is idle.
    pub async fn wait_for_idle_close(&self) {
        let mut phase = self.0.subscribe();
        loop {
            let after = match *phase.borrow_and_update() {
                Phase::Serving => None,
                Phase::Quiesced => Some(QUIESCE_LINGER),
                Phase::Stopping | Phase::Replaced => Some(LINGER),
            };
            let wait = async {
                match after {
                    Some(after) => sleep(after).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = wait => return,
                // Cannot fail: `self` holds the sender.
                _ = phase.changed() => {}
            }
        }
    }
}
