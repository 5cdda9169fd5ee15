//! Carries a release out: moves targets, looks at figures, and keeps the state before every step of it.

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
use super::controller::{Action, Controller, State, Step, Word};
use super::figures::Window;
use super::gates::Observation;
use super::plan::Plan;
use super::state::{Kept, StateError};
use crate::calls::instances::Instances;
use crate::discovery::member::Member;
use crate::lease::client::Duty;

/// How long a write to the list service may take before it is tried again.
const WRITE_WITHIN: Duration = Duration::from_secs(5);
/// Wait before going on after a write that could not be made.
const AGAIN: Duration = Duration::from_millis(200);

/// Why targets were not moved.
enum Unmoved {
    /// Nobody decided, the duty is another's, or a word came in between: to be tried again, if still asked for.
    Later(String),
    /// It will not be: the release has failed.
    Never(String),
}

/// One release under way.
pub struct Release {
    /// Its plan.
    pub plan: Plan,
    controller: RefCell<Controller>,
    kept: RefCell<Kept>,
    last: RefCell<Option<State>>,
    changed: Notify,
    instances: Option<Rc<Instances>>,
    duty: Option<Rc<Duty>>,
}

impl Release {
    /// Opens the plan's state directory: a release that was under way goes on where it stood.
    ///
    /// # Errors
    /// [`StateError`].
    pub fn open(plan: Plan) -> Result<Rc<Self>, StateError> {
        let (kept, state) = Kept::open(&plan.state_dir, &plan.name)?;
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
            kept: RefCell::new(kept),
            last: RefCell::new(state),
            changed: Notify::new(),
            instances,
            duty,
        }))
    }

    /// Carries it out to its end, and says where that is.
    ///
    /// # Errors
    /// [`StateError`]: what can't be kept is not done.
    pub async fn run(self: Rc<Self>) -> Result<Step, StateError> {
        let holding = self
            .duty
            .clone()
            .map(|duty| crate::tasks::AbortOnDrop(tokio::task::spawn_local(duty.run())));
        let mut window = Window::default();
        let mut children = Children::default();
        let mut step = None;
        let mut looked = Instant::now();
        loop {
            self.keep()?;
            let state = self.controller.borrow().state().clone();
            if step.as_ref() != Some(&state.step) {
                tracing::info!(stage = state.stage + 1, step = ?state.step, "release");
                window.restart();
                looked = Instant::now();
                step = Some(state.step.clone());
            }
            let action = self.controller.borrow().action();
            if action == Action::Finish {
                if let Some(duty) = &self.duty {
                    duty.release().await;
                }
                drop(holding);
                return Ok(state.step);
            }
            if self.duty.as_ref().is_some_and(|d| d.token().is_none()) {
                // Another controller's, or not granted yet.
                sleep(AGAIN / 4).await;
                continue;
            }
            match &action {
                Action::Finish => {}
                Action::Wait => self.changed.notified().await,
                Action::Look => {
                    tokio::select! {
                        () = sleep(Duration::from_millis(self.plan.poll_ms)) => {}
                        () = self.changed.notified() => continue,
                    }
                    let balancers = self.look(&mut window, &state).await;
                    let after = looked.elapsed();
                    looked = Instant::now();
                    self.controller.borrow_mut().seen(&balancers, after);
                }
                Action::Forward(wave) | Action::Back(wave) => {
                    let forward = matches!(action, Action::Forward(_));
                    let moved = self.shift(wave.clone(), forward, &action, &mut children).await;
                    let mut controller = self.controller.borrow_mut();
                    match moved {
                        Ok(()) => controller.moved(&action),
                        Err(Unmoved::Never(why)) => controller.failed(&action, why),
                        Err(Unmoved::Later(why)) => {
                            drop(controller);
                            tracing::warn!(why, "not moved yet");
                            sleep(AGAIN).await;
                        }
                    }
                }
            }
        }
    }

    /// Has the state on disk, if it has changed since it was last.
    fn keep(&self) -> Result<(), StateError> {
        let state = self.controller.borrow().state().clone();
        let mut last = self.last.borrow_mut();
        if last.as_ref() != Some(&state) {
            self.kept.borrow_mut().keep(&state)?;
            *last = Some(state);
        }
        Ok(())
    }

    /// An operator's word, kept before it is answered.
    ///
    /// # Errors
    /// Why it can't be carried out, or kept.
    pub fn told(&self, word: Word) -> Result<(), String> {
        self.controller.borrow_mut().told(word)?;
        self.keep().map_err(|e| e.to_string())?;
        self.changed.notify_one();
        Ok(())
    }

    /// The release as operators read it.
    pub fn status(&self) -> Value {
        let controller = self.controller.borrow();
        let mut status = status(&self.plan, Some(controller.state()));
        status["held"] = json!(controller.held());
        status["duty"] = json!(self.duty.as_ref().map(|d| d.token()));
        status
    }

    async fn look(&self, window: &mut Window, state: &State) -> Observation {
        let touched = match state.step {
            Step::Measuring => 0,
            _ => self.controller.borrow().wave(state.stage).end,
        };
        if self.plan.balancers.is_empty() {
            window.look(&self.plan.proxies).await;
            let (done, rest) = self.plan.upstreams.split_at(touched);
            let new: HashSet<&str> = done.iter().map(|u| u.new.id.as_str()).collect();
            let old: HashSet<&str> = rest.iter().map(|u| u.old.as_str()).collect();
            return window.of_upstreams(&new, &old);
        }
        let (done, rest) = self.plan.balancers.split_at(touched);
        let new: Vec<_> = done.iter().map(|b| b.new.management).collect();
        let old: Vec<_> = rest.iter().map(|b| b.old.management).collect();
        window.look(&new).await;
        window.look(&old).await;
        window.of_balancers(&new, &old)
    }

    async fn shift(
        &self,
        wave: Range<usize>,
        forward: bool,
        asked: &Action,
        children: &mut Children,
    ) -> Result<(), Unmoved> {
        for i in wave {
            if self.controller.borrow().action() != *asked {
                return Err(Unmoved::Later("a word came in between".into()));
            }
            if let Some(upstream) = self.plan.upstreams.get(i) {
                // First the one that serves from now on: capacity is never missing.
                if forward {
                    self.register(&upstream.new).await?;
                    self.phase(&upstream.old, "DRAINING").await?;
                } else {
                    self.phase(&upstream.old, "SERVING").await?;
                    self.phase(&upstream.new.id, "DRAINING").await?;
                }
            }
            if let Some(balancer) = self.plan.balancers.get(i) {
                let (from, to) = match forward {
                    true => (&balancer.old, &balancer.new),
                    false => (&balancer.new, &balancer.old),
                };
                let logs = &self.plan.state_dir;
                let replaced = replace(&balancer.name, from, to, logs, children).await;
                replaced.map_err(Unmoved::Never)?;
            }
        }
        Ok(())
    }

    async fn register(&self, member: &Member) -> Result<(), Unmoved> {
        let mut member = member.clone();
        if member.up_since_ms == 0.0 {
            // It has just started: the bank must not push it over while it is cold.
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            member.up_since_ms = now.as_millis() as f64;
        }
        self.write("/admin/members", json!({"member": member})).await.map(drop)
    }

    async fn phase(&self, id: &str, phase: &str) -> Result<(), Unmoved> {
        let body = json!({"id": id, "phase": phase});
        if !self.write("/admin/members/phase", body).await? {
            tracing::warn!(id, phase, "no such member: left aside");
        }
        Ok(())
    }

    /// One write under the duty's token; false where there is no such member.
    async fn write(&self, path: &str, mut body: Value) -> Result<bool, Unmoved> {
        let (Some(duty), Some(instances)) = (&self.duty, &self.instances) else {
            return Err(Unmoved::Never("no list service".into()));
        };
        let Some(token) = duty.token() else {
            return Err(Unmoved::Later("the duty is lost".into()));
        };
        body["fence"] = json!({"duty": format!("release/{}", self.plan.name), "token": token});
        match instances.post(path, &body, WRITE_WITHIN).await {
            Ok((StatusCode::OK, _)) => Ok(true),
            Ok((StatusCode::NOT_FOUND, _)) => Ok(false),
            Ok((StatusCode::CONFLICT | StatusCode::INSUFFICIENT_STORAGE, value)) => {
                Err(Unmoved::Later(value.to_string()))
            }
            Ok((status, value)) => Err(Unmoved::Never(format!("{path}: {status}: {value}"))),
            Err(undecided) => Err(Unmoved::Later(undecided.to_string())),
        }
    }
}

/// The release as its state tells it: of each stage its number, share, targets and state.
pub fn status(plan: &Plan, state: Option<&State>) -> Value {
    let at = state.map_or(0, |s| s.stage);
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
        .waves()
        .into_iter()
        .zip(&plan.stages)
        .enumerate()
        .map(|(i, (wave, upto))| {
            let of = match () {
                () if i > at || step == "not started" => "waiting",
                () if i < at && !step.starts_with("roll") => "done",
                () => step,
            };
            json!({"stage": i + 1, "upto_percent": upto, "targets": wave.len(), "state": of})
        })
        .collect();
    json!({"name": plan.name, "stage": at + 1, "step": step, "why": why, "stages": stages})
}
