//! The decisions of a release: advance, hold, halt, roll back. Performs no I/O and reads no clock: the caller reports
//! completed moves, observations with the time elapsed between them, and operator commands, and asks for the next
//! [`Action`].
//!
//! The caller must store every change of [`State`] on disk before it carries out the action that follows from it.
//! Every action may be carried out twice. A controller that was killed can therefore resume from the stored state.

use std::ops::Range;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::gates::{GateVerdict, Gates, Observation, evaluate};
use super::plan::{OnFailure, Plan};

/// The current step of a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// The old version is measured before any target is moved.
    Measuring,
    /// The targets of the stage are being moved to the new version.
    Moving,
    /// The targets of the stage have been moved and are checked against the gates for the bake time.
    Baking,
    /// Suspended until an operator command.
    Halted {
        /// Reason for the halt.
        why: String,
        /// The step that a resume returns to.
        then: Box<Step>,
    },
    /// The targets of all stages started so far are being moved back to the old version.
    Reverting {
        /// Reason for the rollback.
        why: String,
    },
    /// All targets run the new version.
    Done,
    /// All targets run the old version again.
    RolledBack {
        /// Reason for the rollback.
        why: String,
    },
}

impl Step {
    /// Whether the release has ended.
    pub fn is_over(&self) -> bool {
        matches!(self, Step::Done | Step::RolledBack { .. })
    }
}

/// The stored state of a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The plan's name. A state is valid for this release only.
    pub name: String,
    /// Index of the current stage, from 0.
    pub stage: usize,
    /// The current step.
    pub step: Step,
    /// Baseline p99 latency in microseconds, from the previous stage or, for the first, from the old version.
    pub p99: Option<f64>,
}

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Suspend the release at its current step.
    Halt,
    /// Continue a halted release.
    Resume,
    /// Move all targets back to the old version.
    Rollback,
}

/// The next thing for the caller of the controller to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Move these targets to the new version and report the result.
    Upgrade(Range<usize>),
    /// Move these targets back to the old version and report the result.
    Revert(Range<usize>),
    /// Read the metrics and report an observation.
    Observe,
    /// Wait for an operator command.
    Wait,
    /// End: the release is done or rolled back.
    Finish,
}

/// State machine of one release.
#[derive(Debug)]
pub struct Controller {
    stage_targets: Vec<Range<usize>>,
    gates: Gates,
    bake: Duration,
    on_failure: OnFailure,
    state: State,
    /// How long this process has observed the current step.
    observed_for: Duration,
    /// Why the stage is held although its bake time has passed.
    hold_reason: Option<String>,
}

impl Controller {
    /// A release of `plan`, resumed from `state`. Starts from the beginning if there is no state or its stage is not
    /// in the plan.
    pub fn new(plan: &Plan, state: Option<State>) -> Self {
        let initial =
            || State { name: plan.name.clone(), stage: 0, step: Step::Measuring, p99: None };
        Self {
            stage_targets: plan.stage_targets(),
            gates: plan.gates,
            bake: plan.bake(),
            on_failure: plan.on_failure,
            state: state.filter(|s| s.stage < plan.stages.len()).unwrap_or_else(initial),
            observed_for: Duration::ZERO,
            hold_reason: None,
        }
    }

    /// The current state, to be stored before the next action.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Why the stage is held although its bake time has passed; `None` if it is not held.
    pub fn hold_reason(&self) -> Option<&str> {
        self.hold_reason.as_deref()
    }

    /// The targets that `stage` adds, as indices in plan order; empty for an unknown stage.
    pub fn targets_of_stage(&self, stage: usize) -> Range<usize> {
        self.stage_targets.get(stage).cloned().unwrap_or(0..0)
    }

    /// The targets of the current and all earlier stages: those that may have been moved.
    fn started_targets(&self) -> Range<usize> {
        0..self.targets_of_stage(self.state.stage).end
    }

    /// The action for the current step.
    pub fn action(&self) -> Action {
        match &self.state.step {
            Step::Moving => Action::Upgrade(self.targets_of_stage(self.state.stage)),
            Step::Reverting { .. } => Action::Revert(self.started_targets()),
            Step::Measuring | Step::Baking => Action::Observe,
            Step::Halted { .. } => Action::Wait,
            Step::Done | Step::RolledBack { .. } => Action::Finish,
        }
    }

    fn enter(&mut self, step: Step) {
        (self.state.step, self.observed_for, self.hold_reason) = (step, Duration::ZERO, None);
    }

    /// Reports that the targets of `action` have been moved. Ignored if an operator command has changed the action
    /// since.
    pub fn move_completed(&mut self, action: &Action) {
        if self.action() != *action {
            return;
        }
        match &self.state.step {
            Step::Moving => self.enter(Step::Baking),
            Step::Reverting { why } => {
                let why = why.clone();
                self.enter(Step::RolledBack { why });
            }
            _ => {}
        }
    }

    /// Reports that the targets of `action` could not be moved, and why. Ignored if an operator command has changed
    /// the action since.
    pub fn move_failed(&mut self, action: &Action, why: String) {
        if self.action() != *action {
            return;
        }
        match &self.state.step {
            Step::Moving => self.stage_failed(why),
            // A failed rollback can only be retried, and is on the next resume or rollback command.
            Step::Reverting { why: rollback_reason } => {
                let then = Box::new(Step::Reverting { why: rollback_reason.clone() });
                self.enter(Step::Halted { why, then });
            }
            _ => {}
        }
    }

    fn stage_failed(&mut self, why: String) {
        match self.on_failure {
            OnFailure::Rollback => self.enter(Step::Reverting { why }),
            OnFailure::Halt => {
                let then = Box::new(self.state.step.clone());
                self.enter(Step::Halted { why, then });
            }
        }
    }

    /// Evaluates what was observed since the current step began; `elapsed` is the time since the previous observation.
    pub fn observe(&mut self, observation: &Observation, elapsed: Duration) {
        self.observed_for += elapsed;
        let baked = self.observed_for >= self.bake;
        match self.state.step {
            Step::Measuring if baked => {
                self.state.p99 = observation.old.latencies.p99();
                self.enter(Step::Moving);
            }
            Step::Baking => match evaluate(&self.gates, observation, self.state.p99, baked) {
                GateVerdict::Failed(why) => self.stage_failed(why),
                GateVerdict::Passed(p99) if baked => {
                    self.state.p99 = p99.or(self.state.p99);
                    if self.state.stage + 1 == self.stage_targets.len() {
                        self.enter(Step::Done);
                    } else {
                        self.state.stage += 1;
                        self.enter(Step::Moving);
                    }
                }
                GateVerdict::Inconclusive(why) if baked => self.hold_reason = Some(why),
                _ => {}
            },
            _ => {}
        }
    }

    /// Applies an operator command. A command that changes nothing is not an error.
    ///
    /// # Errors
    /// The reason, if the release has already ended.
    pub fn apply_command(&mut self, command: OperatorCommand) -> Result<(), &'static str> {
        let step = self.state.step.clone();
        match (command, step) {
            (_, step) if step.is_over() => return Err("the release is over"),
            (OperatorCommand::Halt, Step::Halted { .. }) => {}
            (OperatorCommand::Halt, step) => {
                let why = "by an operator".to_owned();
                self.enter(Step::Halted { why, then: Box::new(step) });
            }
            (OperatorCommand::Resume, Step::Halted { then, .. }) => self.enter(*then),
            (OperatorCommand::Resume, _) => {}
            (OperatorCommand::Rollback, Step::Reverting { .. }) => {}
            (OperatorCommand::Rollback, Step::Halted { then, .. })
                if matches!(*then, Step::Reverting { .. }) =>
            {
                self.enter(*then);
            }
            (OperatorCommand::Rollback, Step::Measuring) => {
                self.enter(Step::RolledBack { why: "by an operator".into() });
            }
            (OperatorCommand::Rollback, _) => {
                self.enter(Step::Reverting { why: "by an operator".into() })
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
