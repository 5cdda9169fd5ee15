//! Whether clients are wanted here: the one word on it, read by readiness, keep-alive and the accept loop.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

/// After a drain was asked for, how long idle connections are still kept: clients that close them first, or
/// ask once more and are told to go, lose nothing. Callers of a drain expect none to be left after 4 s.
const QUIESCE_LINGER: Duration = Duration::from_millis(1500);
/// The same after SIGTERM, and how long connections are still accepted then: the front needs a moment to hear
/// of it, and what is taken much later would not be finished before SIGKILL.
pub const LINGER: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    /// Operators sent clients away; taken up again by a resume.
    Quiesced,
    /// SIGTERM; for good.
    Stopping,
    /// The same, while a newer process serves the address.
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

    /// Whether the address is served, by this process or by the one that replaces it.
    /// Failure: asked through the old process's queue, the front heard no, and turned from both.
    pub fn address_served(&self) -> bool {
        matches!(self.phase(), Phase::Serving | Phase::Replaced)
    }

    /// Sends clients away; false once the process is stopping.
    pub fn quiesce(&self) -> bool {
        self.transition(Phase::Quiesced)
    }

    /// Takes clients again; false once the process is stopping.
    pub fn resume(&self) -> bool {
        self.transition(Phase::Serving)
    }

    /// Ends the service here, for good.
    pub fn stop(&self, replaced: bool) {
        self.transition(if replaced { Phase::Replaced } else { Phase::Stopping });
    }

    fn transition(&self, to: Phase) -> bool {
        let from = self.phase();
        if matches!(from, Phase::Stopping | Phase::Replaced) {
            return false;
        }
        if from != to {
            tracing::info!("{} from now on", to.name());
        }
        self.0.send_replace(to);
        true
    }

    /// Waits until a connection that is open now has to close as soon as it idles.
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
                // The sender lives as long as we are borrowed from it.
                _ = phase.changed() => {}
            }
        }
    }
}
