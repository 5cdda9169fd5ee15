//! The roles other than the proxy, each run to its end on a current-thread runtime: the binary parses the
//! command line and calls one of these.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::discovery::config::DiscoveryConfig;
use crate::discovery::server::ListService;
use crate::discovery::store::Store;
use crate::release::ReleasePlan;

/// Why a role ended before it was told to.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// The runtime or the signal handlers could not be set up.
    #[error("start: {0}")]
    Start(std::io::Error),
    /// The address was refused.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
}

/// Binds `address`, logs `listening on ADDRESS` (the address bound, which tells the port where 0 was asked
/// for), and runs `serve` on it until SIGTERM or SIGINT.
fn serve_until_stopped<F, S>(address: SocketAddr, serve: S) -> Result<(), RoleError>
where
    S: FnOnce(TcpListener) -> F,
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RoleError::Start)?;
    LocalSet::new().block_on(&runtime, async move {
        let mut term = signal(SignalKind::terminate()).map_err(RoleError::Start)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(RoleError::Start)?;
        let listen = |source| RoleError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen)?;
        let bound = listener.local_addr().map_err(listen)?;
        tracing::info!("listening on {bound}");
        let serving = tokio::task::spawn_local(serve(listener));
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        serving.abort();
        tracing::info!("stopped");
        Ok(())
    })
}

/// `discovery`: the list service of this file.
///
/// # Errors
/// [`RoleError`] where it can't start.
pub fn discovery(config: DiscoveryConfig) -> Result<(), RoleError> {
    let mut store = Store::new(config.start_revision, config.history);
    for member in config.members {
        store.apply(member);
    }
    tracing::info!(members = store.len(), revision = store.revision(), "list loaded");
    let service = ListService::new(store, Duration::from_millis(config.heartbeat_ms));
    serve_until_stopped(config.listen, move |listener| service.serve(listener))
}

/// `stand-in`: answers every request with its name.
///
/// # Errors
/// [`RoleError`] where it can't start.
pub fn stand_in(address: SocketAddr, name: String) -> Result<(), RoleError> {
    serve_until_stopped(address, move |listener| crate::stand_in::serve(listener, name))
}

/// `release`: prints the plan's stages to standard output, one JSON object a line:
/// `{"stage":1,"upto_percent":10,"members":["s-1"]}`.
pub fn release(plan: &ReleasePlan) {
    for (i, (wave, upto)) in plan.waves().into_iter().zip(&plan.stages).enumerate() {
        let line = serde_json::json!({"stage": i + 1, "upto_percent": upto, "members": wave});
        println!("{line}");
    }
}
