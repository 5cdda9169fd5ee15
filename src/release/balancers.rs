//! Replaces a balancer by another process at the same client addresses. The new process is started beside the old one;
//! once it reports ready, the old one gets SIGTERM (docs/on-call.md, "Replace it"). At every moment at least one
//! process listens.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use hyper::{Method, StatusCode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::plan::Version;
use crate::calls::ask;

/// Time limit for a new process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait for an old process to exit. If it takes longer, it still exits by itself.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit of one health call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between health calls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The processes that this controller has started. They keep running when it exits.
#[derive(Debug, Default)]
pub struct Children(Vec<Child>);

impl Children {
    /// Reaps the processes that have exited.
    fn reap(&mut self) {
        self.0.retain_mut(|child| !matches!(child.try_wait(), Ok(Some(_))));
    }
}

/// Whether the process at this management address is ready, and its process id; `None` if there is no answer.
async fn health(management: SocketAddr) -> Option<(bool, Option<Pid>)> {
    let (status, body) =
        ask(management, Method::GET, "/admin/health", "", CALL_TIMEOUT).await.ok()?;
    let health: Value = serde_json::from_slice(&body).ok()?;
    let pid = health["pid"].as_i64().and_then(|p| i32::try_from(p).ok()).and_then(Pid::from_raw);
    Some((status == StatusCode::OK, pid))
}

fn start(name: &str, version: &Version, log_dir: &Path) -> Result<Child, String> {
    let log = log_dir.join(format!("{name}.log"));
    let file = OpenOptions::new().create(true).append(true).open(&log);
    let file = file.map_err(|e| format!("{}: {e}", log.display()))?;
    Command::new(&version.program)
        // Everything except the variables set below comes from the new process's file, not from this environment.
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env_remove("LB_STATE_DIR")
        .env("LB_NAME", name)
        .env("LB_CONFIG", &version.config)
        .env("LB_MANAGEMENT", version.management.to_string())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(file)
        // In its own process group, so that a signal to the controller's group does not end it.
        .process_group(0)
        .spawn()
        .map_err(|e| format!("{}: {e}", version.program.display()))
}

/// Replaces the process `from` by `to`. Safe to repeat after an interruption at any point.
///
/// # Errors
/// The reason why `to` did not start or become ready, in which case it has ended and `from` keeps serving; or why
/// `from` could not be stopped.
pub async fn replace(
    name: &str,
    from: &Version,
    to: &Version,
    log_dir: &Path,
    children: &mut Children,
) -> Result<(), String> {
    children.reap();
    if health(to.management).await.is_none() {
        let mut child = start(name, to, log_dir)?;
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            if matches!(health(to.management).await, Some((true, _))) {
                break;
            }
            if let Ok(Some(status)) = child.try_wait() {
                return Err(format!("{name}: the new process ended before it was ready: {status}"));
            }
            if Instant::now() >= deadline {
                let _ = child.kill();
                let _ = child.wait();
                return Err(format!("{name}: the new process was not ready in {READY_TIMEOUT:?}"));
            }
            sleep(POLL_INTERVAL).await;
        }
        tracing::info!(name, pid = child.id(), "the new process is ready");
        children.0.push(child);
    }
    // No answer: the old process has already exited.
    let Some((_, pid)) = health(from.management).await else { return Ok(()) };
    let Some(pid) = pid else { return Err(format!("{name}: the old process tells no id")) };
    kill_process(pid, Signal::TERM).map_err(|e| format!("{name}: SIGTERM: {e}"))?;
    let deadline = Instant::now() + EXIT_TIMEOUT;
    while Instant::now() < deadline {
        children.reap();
        if health(from.management).await.is_none() {
            tracing::info!(name, "the old process has exited");
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    tracing::warn!(name, "the old process is still finishing its requests");
    Ok(())
}
