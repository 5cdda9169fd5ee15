//! Carries out the actions of the [`Controller`]: moves targets, reads the metrics, and stores the state before each
//! step.

use std::cell::RefCell;
use std::collections::HashSet;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::balancers::{Children, replace};
use super::controller::{Action, Controller, OperatorCommand, State, Step};
use super::figures::Window;
use super::gates::Observation;
use super::plan::Plan;
use super::state::{StateError, StateStore};
use crate::calls::instances::Instances;
use crate::discovery::member::Member;
use crate::lease::client::Duty;

/// Time limit of one write to the list service, after which it is retried.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a move that could not be completed is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why a target was not moved.
enum MoveError {
    /// No list service instance decided, the duty is held by another controller, or an operator command arrived.
    /// Retried if the controller still requests it.
    Retry(String),
    /// A retry would not help; the stage or the rollback has failed.
    Permanent(String),
}

/// A release in progress.
pub struct Release {
    /// The plan that is carried out.
    pub plan: Plan,
    controller: RefCell<Controller>,
    store: RefCell<StateStore>,
    last_stored: RefCell<Option<State>>,
    command_received: Notify,
    instances: Option<Rc<Instances>>,
    duty: Option<Rc<Duty>>,
}

impl Release {
    /// Opens the plan's state directory and resumes the release from the state stored there, if any.
    ///
    /// # Errors
    /// [`StateError`] if the stored state can't be read or belongs to another release.
    pub fn open(plan: Plan) -> Result<Rc<Self>, StateError> {
        let (store, state) = StateStore::open(&plan.state_dir, &plan.name)?;
        if let Some(state) = &state {
            tracing::info!(stage = state.stage + 1, step = ?state.step, "the release goes on");
        }
        let controller = RefCell::new(Controller::new(&plan, state.clone()));
        let instances = Instances::new(plan.services.clone()).ok().map(Rc::new);
        let holder = format!("{}-{}", plan.name, std::process::id());
        let duty = instances.clone().map(|instances| {
            let ttl = Duration::from_millis(plan.ttl_ms);
            Duty::new(instances, &format!("release/{}", plan.name), &holder, ttl)
        });
        Ok(Rc::new(Self {
            plan,
            controller,
            store: RefCell::new(store),
            last_stored: RefCell::new(state),
            command_received: Notify::new(),
            instances,
            duty,
        }))
    }

    /// Runs the release to its end and returns the final step.
    ///
    /// # Errors
    /// [`StateError`] if a state can't be stored; the action that depends on it is not carried out.
    pub async fn run(self: Rc<Self>) -> Result<Step, StateError> {
        let lease_task = self
            .duty
            .clone()
            .map(|duty| crate::tasks::AbortOnDrop(tokio::task::spawn_local(duty.run())));
        let mut window = Window::default();
        let mut children = Children::default();
        let mut step = None;
        let mut observed_at = Instant::now();
        loop {
            self.store_state()?;
            let state = self.controller.borrow().state().clone();
            if step.as_ref() != Some(&state.step) {
                tracing::info!(stage = state.stage + 1, step = ?state.step, "release step entered");
                window.restart();
                observed_at = Instant::now();
                step = Some(state.step.clone());
            }
            let action = self.controller.borrow().action();
            if action == Action::Finish {
                if let Some(duty) = &self.duty {
                    duty.release().await;
                }
                drop(lease_task);
                return Ok(state.step);
            }
            if self.duty.as_ref().is_some_and(|d| d.token().is_none()) {
                // The duty is held by another controller or not granted yet.
                sleep(RETRY_DELAY / 4).await;
                continue;
            }
            match &action {
                Action::Finish => {}
                Action::Wait => self.command_received.notified().await,
                Action::Observe => {
                    tokio::select! {
                        () = sleep(Duration::from_millis(self.plan.poll_ms)) => {}
                        () = self.command_received.notified() => continue,
                    }
                    let observation = self.observe(&mut window, &state).await;
                    let elapsed = observed_at.elapsed();
                    observed_at = Instant::now();
                    self.controller.borrow_mut().observe(&observation, elapsed);
                }
                Action::Upgrade(targets) | Action::Revert(targets) => {
                    let forward = matches!(action, Action::Upgrade(_));
                    let moved =
                        self.move_targets(targets.clone(), forward, &action, &mut children).await;
                    let mut controller = self.controller.borrow_mut();
                    match moved {
                        Ok(()) => controller.move_completed(&action),
                        Err(MoveError::Permanent(why)) => controller.move_failed(&action, why),
                        Err(MoveError::Retry(why)) => {
                            drop(controller);
                            tracing::warn!(why, "targets not moved yet; will retry");
                            sleep(RETRY_DELAY).await;
                        }
                    }
                }
            }
        }
    }

    /// Stores the state on disk if it has changed since it was last stored.
    fn store_state(&self) -> Result<(), StateError> {
        let state = self.controller.borrow().state().clone();
        let mut last_stored = self.last_stored.borrow_mut();
        if last_stored.as_ref() != Some(&state) {
            self.store.borrow_mut().store(&state)?;
            *last_stored = Some(state);
        }
        Ok(())
    }

    /// Applies an operator command and stores the resulting state before returning.
    ///
    /// # Errors
    /// The reason, if the release has already ended or the state can't be stored.
    pub fn apply_command(&self, command: OperatorCommand) -> Result<(), String> {
        self.controller.borrow_mut().apply_command(command)?;
        self.store_state().map_err(|e| e.to_string())?;
        self.command_received.notify_one();
        Ok(())
    }

    /// The status that operators see: that of the state, with the reason for a hold and the duty's token.
    pub fn status(&self) -> Value {
        let controller = self.controller.borrow();
        let mut status = status(&self.plan, Some(controller.state()));
        status["held"] = json!(controller.hold_reason());
        status["duty"] = json!(self.duty.as_ref().map(|d| d.token()));
        status
    }

    async fn observe(&self, window: &mut Window, state: &State) -> Observation {
        let upgraded_count = match state.step {
            Step::Measuring => 0,
            _ => self.controller.borrow().targets_of_stage(state.stage).end,
        };
        if self.plan.balancers.is_empty() {
            window.scrape(&self.plan.proxies).await;
            let (upgraded, remaining) = self.plan.upstreams.split_at(upgraded_count);
            let new: HashSet<&str> = upgraded.iter().map(|u| u.new.id.as_str()).collect();
            let old: HashSet<&str> = remaining.iter().map(|u| u.old.as_str()).collect();
            return window.upstream_observation(&new, &old);
        }
        let (upgraded, remaining) = self.plan.balancers.split_at(upgraded_count);
        let new: Vec<_> = upgraded.iter().map(|b| b.new.management).collect();
        let old: Vec<_> = remaining.iter().map(|b| b.old.management).collect();
        window.scrape(&new).await;
        window.scrape(&old).await;
        window.balancer_observation(&new, &old)
    }

    async fn move_targets(
        &self,
        targets: Range<usize>,
        forward: bool,
        requested: &Action,
        children: &mut Children,
    ) -> Result<(), MoveError> {
        for i in targets {
            if self.controller.borrow().action() != *requested {
                return Err(MoveError::Retry("a word came in between".into()));
            }
            if let Some(upstream) = self.plan.upstreams.get(i) {
                // The member that is to serve is activated before the other drains, so that capacity never drops.
                if forward {
                    self.register(&upstream.new).await?;
                    self.set_phase(&upstream.old, "DRAINING").await?;
                } else {
                    self.set_phase(&upstream.old, "SERVING").await?;
                    self.set_phase(&upstream.new.id, "DRAINING").await?;
                }
            }
            if let Some(balancer) = self.plan.balancers.get(i) {
                let (from, to) = match forward {
                    true => (&balancer.old, &balancer.new),
                    false => (&balancer.new, &balancer.old),
                };
                let log_dir = &self.plan.state_dir;
                let replaced = replace(&balancer.name, from, to, log_dir, children).await;
                replaced.map_err(MoveError::Permanent)?;
            }
        }
        Ok(())
    }

    async fn register(&self, member: &Member) -> Result<(), MoveError> {
        let mut member = member.clone();
        if member.up_since_ms == 0.0 {
            // Marks the member as just started, so that the fleet does not overload it while it is cold.
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            member.up_since_ms = now.as_millis() as f64;
        }
        self.write("/admin/members", json!({"member": member})).await.map(drop)
    }

    async fn set_phase(&self, id: &str, phase: &str) -> Result<(), MoveError> {
        let body = json!({"id": id, "phase": phase});
        if !self.write("/admin/members/phase", body).await? {
            tracing::warn!(id, phase, "no such member; phase change ignored");
        }
        Ok(())
    }

    /// Makes one write to the list service, fenced with the duty's token; `false` if there is no such member.
    async fn write(&self, path: &str, mut body: Value) -> Result<bool, MoveError> {
        let (Some(duty), Some(instances)) = (&self.duty, &self.instances) else {
            return Err(MoveError::Permanent("no list service".into()));
        };
        let Some(token) = duty.token() else {
            return Err(MoveError::Retry("the duty is lost".into()));
        };
        body["fence"] = json!({"duty": format!("release/{}", self.plan.name), "token": token});
        match instances.post(path, &body, WRITE_TIMEOUT).await {
            Ok((StatusCode::OK, _)) => Ok(true),
            Ok((StatusCode::NOT_FOUND, _)) => Ok(false),
            Ok((StatusCode::CONFLICT | StatusCode::INSUFFICIENT_STORAGE, value)) => {
                Err(MoveError::Retry(value.to_string()))
            }
            Ok((status, value)) => Err(MoveError::Permanent(format!("{path}: {status}: {value}"))),
            Err(error) => Err(MoveError::Retry(error.to_string())),
        }
    }
}

/// The status of a release from its stored state; each stage with its number, cumulative percentage, number of targets
/// and state.
pub fn status(plan: &Plan, state: Option<&State>) -> Value {
    let current_stage = state.map_or(0, |s| s.stage);
    let (step, why) = match state.map(|s| &s.step) {
        None => ("not started", None),
        Some(Step::Measuring) => ("measuring", None),
        Some(Step::Moving) => ("moving", None),
        Some(Step::Baking) => ("baking", None),
        Some(Step::Halted { why, .. }) => ("halted", Some(why)),
        Some(Step::Reverting { why }) => ("rolling back", Some(why)),
        Some(Step::Done) => ("done", None),
        Some(Step::RolledBack { why }) => ("rolled back", Some(why)),
    };
    let stages: Vec<Value> = plan
        .stage_targets()
        .into_iter()
        .zip(&plan.stages)
        .enumerate()
        .map(|(i, (targets, upto))| {
            let stage_state = match () {
                () if i > current_stage || step == "not started" => "waiting",
                () if i < current_stage && !step.starts_with("roll") => "done",
                () => step,
            };
            json!({
                "stage": i + 1,
                "upto_percent": upto,
                "targets": targets.len(),
                "state": stage_state,
            })
        })
        .collect();
    json!({
        "name": plan.name,
        "stage": current_stage + 1,
        "step": step,
        "why": why,
        "stages": stages,
    })
}
