//! One balancer replaced by another process at the same addresses: the new one is started beside the old and, once
//! it says that it is ready, the old one is told to stop (docs/on-call.md, "Replace it"). At no moment does nobody
//! listen.

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

/// How long a new process may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an old one is waited for; it ends by itself even if that takes longer.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
/// How long one call may take, and how often it is made.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The processes that this controller has started; they outlive it.
#[derive(Debug, Default)]
pub struct Children(Vec<Child>);

impl Children {
    /// Takes note of those that have ended.
    fn reap(&mut self) {
        self.0.retain_mut(|child| !matches!(child.try_wait(), Ok(Some(_))));
    }
}

/// Whether the process at this management address is ready, and its id; `None` where nobody answers.
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
        // All but these it reads from its file, whatever this process was told.
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .env_remove("LB_STATE_DIR")
        .env("LB_NAME", name)
        .env("LB_CONFIG", &version.config)
        .env("LB_MANAGEMENT", version.management.to_string())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(file)
        // Not ended by what ends the controller.
        .process_group(0)
        .spawn()
        .map_err(|e| format!("{}: {e}", version.program.display()))
}

/// Puts `to` in the place of `from`. May be done again after it was broken off anywhere.
///
/// # Errors
/// Why `to` did not get ready; then it has been stopped, and `from` serves as before.
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
    // Nobody there: it has gone before.
    let Some((_, pid)) = health(from.management).await else { return Ok(()) };
    let Some(pid) = pid else { return Err(format!("{name}: the old process tells no id")) };
    kill_process(pid, Signal::TERM).map_err(|e| format!("{name}: SIGTERM: {e}"))?;
    let deadline = Instant::now() + EXIT_TIMEOUT;
    while Instant::now() < deadline {
        children.reap();
        if health(from.management).await.is_none() {
            tracing::info!(name, "the old process has gone");
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    tracing::warn!(name, "the old process still finishes what it has taken");
    Ok(())
}
