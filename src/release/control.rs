//! How operators talk to a release: calls at the controller's management address, and the commands that make them.
//!
//! `GET /admin/release` tells its status; `POST /admin/release/halt`, `/resume` and `/rollback` are answered 200 once
//! the word is on disk, 409 where it can't be carried out any more.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use super::controller::Word;
use super::driver::{Release, status};
use super::plan::Plan;
use super::state;
use crate::calls::{self, Call, MAX_BODY_BYTES, Reply, ask, error, json_reply};

/// How long a call to the controller may take.
const WITHIN: Duration = Duration::from_secs(2);

/// Answers calls until the task is dropped.
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
    let word = match call.path.as_str() {
        "/admin/release" => None,
        "/admin/release/halt" => Some(Word::Halt),
        "/admin/release/resume" => Some(Word::Resume),
        "/admin/release/rollback" => Some(Word::Rollback),
        _ => return error(StatusCode::NOT_FOUND, "no such call"),
    };
    let method = if word.is_some() { Method::POST } else { Method::GET };
    if call.method != method {
        return error(StatusCode::METHOD_NOT_ALLOWED, "the method");
    }
    match word.map_or(Ok(()), |word| release.told(word)) {
        Ok(()) => json_reply(StatusCode::OK, &release.status()),
        Err(cause) => error(StatusCode::CONFLICT, cause),
    }
}

/// A status as lines for people: one for the release, one for each stage.
pub fn lines(status: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let mut lines = format!("{}: {}", text(&status["name"]), text(&status["step"]));
    for (key, word) in [("why", "because"), ("held", "held")] {
        if let Some(cause) = status[key].as_str() {
            lines += &format!(" ({word}: {cause})");
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

/// The status from the controller, or from what it kept where none runs.
///
/// # Errors
/// What stands in the way of both.
pub async fn look(plan: &Plan) -> Result<Value, String> {
    if let Ok((StatusCode::OK, body)) =
        ask(plan.management, Method::GET, "/admin/release", "", WITHIN).await
    {
        return serde_json::from_slice(&body).map_err(|e| e.to_string());
    }
    let kept = state::read(&plan.state_dir, &plan.name).map_err(|e| e.to_string())?;
    let mut status = status(plan, kept.as_ref());
    status["held"] = json!("no controller runs; this is what it kept");
    Ok(status)
}

/// Gives the controller a word, and tells the status after it.
///
/// # Errors
/// Why it was not taken.
pub async fn tell(plan: &Plan, word: &str) -> Result<Value, String> {
    let path = format!("/admin/release/{word}");
    let answer = ask(plan.management, Method::POST, &path, "", WITHIN).await;
    let (status, body) = answer.map_err(|e| format!("no controller runs: {e}"))?;
    let value: Value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    match status {
        StatusCode::OK => Ok(value),
        _ => Err(value["error"].as_str().unwrap_or("refused").to_owned()),
    }
}
