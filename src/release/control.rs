//! Operator interface of a release: the calls at the controller's management address, and the client side of the
//! commands that make them.
//!
//! `GET /admin/release` returns the status. `POST /admin/release/halt`, `/resume` and `/rollback` are answered 200 once
//! the command is stored on disk, and 409 if the release has already ended or the command can't be stored.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use super::controller::OperatorCommand;
use super::driver::{Release, status};
use super::plan::Plan;
use super::state;
use crate::calls::{self, Call, MAX_BODY_BYTES, Reply, ask, error, json_reply};

/// Time limit of a call to the controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers operators' calls until the task is dropped.
pub async fn serve(listener: TcpListener, release: Rc<Release>) {
    calls::serve(
        listener,
        |_| MAX_BODY_BYTES,
        move |call| {
            let answer = answer(&release, &call);
            async move { answer }
        },
    )
    .await;
}

fn answer(release: &Release, call: &Call) -> Reply {
    let command = match call.path.as_str() {
        "/admin/release" => None,
        "/admin/release/halt" => Some(OperatorCommand::Halt),
        "/admin/release/resume" => Some(OperatorCommand::Resume),
        "/admin/release/rollback" => Some(OperatorCommand::Rollback),
        _ => return error(StatusCode::NOT_FOUND, "no such call"),
    };
    let method = if command.is_some() { Method::POST } else { Method::GET };
    if call.method != method {
        return error(StatusCode::METHOD_NOT_ALLOWED, "the method");
    }
    match command.map_or(Ok(()), |command| release.apply_command(command)) {
        Ok(()) => json_reply(StatusCode::OK, &release.status()),
        Err(cause) => error(StatusCode::CONFLICT, cause),
    }
}

/// Formats a status as text: one line for the release and one for each stage.
pub fn format_status(status: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let mut lines = format!("{}: {}", text(&status["name"]), text(&status["step"]));
    for (key, label) in [("why", "because"), ("held", "held")] {
        if let Some(cause) = status[key].as_str() {
            lines += &format!(" ({label}: {cause})");
        }
    }
    lines.push('\n');
    let stages = status["stages"].as_array().map(Vec::as_slice).unwrap_or_default();
    for stage in stages {
        lines += &format!(
            "stage {}/{}  up to {:>3}%  {:>4} targets  {}\n",
            stage["stage"],
            stages.len(),
            stage["upto_percent"].as_u64().unwrap_or_default(),
            stage["targets"].as_u64().unwrap_or_default(),
            text(&stage["state"]),
        );
    }
    lines
}

/// The status from the controller or, if none answers, from the stored state.
///
/// # Errors
/// The reason why the answer or the stored state can't be read.
pub async fn fetch_status(plan: &Plan) -> Result<Value, String> {
    if let Ok((StatusCode::OK, body)) =
        ask(plan.management, Method::GET, "/admin/release", "", CALL_TIMEOUT).await
    {
        return serde_json::from_slice(&body).map_err(|e| e.to_string());
    }
    let stored = state::read(&plan.state_dir, &plan.name).map_err(|e| e.to_string())?;
    let mut status = status(plan, stored.as_ref());
    status["held"] = json!("no controller runs; this is what it kept");
    Ok(status)
}

/// Sends the controller a command (`halt`, `resume` or `rollback`) and returns the status after it.
///
/// # Errors
/// The reason why the controller could not be reached or refused the command.
pub async fn send_command(plan: &Plan, command: &str) -> Result<Value, String> {
    let path = format!("/admin/release/{command}");
    let answer = ask(plan.management, Method::POST, &path, "", CALL_TIMEOUT).await;
    let (status, body) = answer.map_err(|e| format!("no controller runs: {e}"))?;
    let value: Value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    match status {
        StatusCode::OK => Ok(value),
        _ => Err(value["error"].as_str().unwrap_or("refused").to_owned()),
    }
}
