//! The release's decisions: advance, hold, halt, roll back. Pure: told what was done and seen, by the time since it
//! was told last; it answers what to do. Each change of [`State`] is to be on disk before what it calls for is done,
//! and everything it calls for may be done twice: so a controller that was killed goes on where it stood.

use std::ops::Range;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::gates::{GateVerdict, Gates, Observation, evaluate};
use super::plan::{OnFailure, Plan};

/// Where a release stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// The old version is measured before anything is touched.
    Measuring,
    /// The targets of the stage are being moved to the new version.
    Moving,
    /// The stage is watched.
    Baking,
    /// Nothing happens until a word.
    Halted {
        /// Why.
        why: String,
        /// What a resume goes back to.
        then: Box<Step>,
    },
    /// All targets touched so far are being moved back.
    Reverting {
        /// Why.
        why: String,
    },
    /// All is on the new version.
    Done,
    /// All is on the old version again.
    RolledBack {
        /// Why.
        why: String,
    },
}

impl Step {
    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        matches!(self, Step::Done | Step::RolledBack { .. })
    }
}

/// What is kept of a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The plan's name: a state is of one release only.
    pub name: String,
    /// The stage under way, from 0.
    pub stage: usize,
    /// Where it stands.
    pub step: Step,
    /// The p99 of the stage before, in microseconds.
    pub p99: Option<f64>,
}

/// What an operator may say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Stop where it is.
    Halt,
    /// Go on.
    Resume,
    /// Go back.
    Rollback,
}

/// What is to be done now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Move these targets to the new version, and tell when it is done.
    Upgrade(Range<usize>),
    /// Move these back to the old one, and tell when it is done.
    Revert(Range<usize>),
    /// Look at the figures, and tell what they show.
    Observe,
    /// Wait for a word.
    Wait,
    /// It is over.
    Finish,
}

/// One release.
#[derive(Debug)]
pub struct Controller {
    stage_targets: Vec<Range<usize>>,
    gates: Gates,
    bake: Duration,
    on_failure: OnFailure,
    state: State,
    /// How long the present step has been watched by this process.
    observed_for: Duration,
    /// Why a stage that has baked is held.
    hold_reason: Option<String>,
}

impl Controller {
    /// A release of this plan from the start, or from where `state` stands.
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

    /// Where it stands.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Why a stage that has baked is not done yet.
    pub fn hold_reason(&self) -> Option<&str> {
        self.hold_reason.as_deref()
    }

    /// The targets of a stage, as a range of the plan's order.
    pub fn targets_of_stage(&self, stage: usize) -> Range<usize> {
        self.stage_targets.get(stage).cloned().unwrap_or(0..0)
    }

    /// All targets that have been touched.
    fn started_targets(&self) -> Range<usize> {
        0..self.targets_of_stage(self.state.stage).end
    }

    /// What to do now.
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

    /// What `action` asked to move has been moved. Of no effect where a word has changed what is to be done.
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

    /// It could not be moved.
    pub fn move_failed(&mut self, action: &Action, why: String) {
        if self.action() != *action {
            return;
        }
        match &self.state.step {
            Step::Moving => self.stage_failed(why),
            // There is no way but back: it is tried again when told so.
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

    /// What was seen since the present step began, `after` the look before.
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

    /// An operator's word. A word that changes nothing is no error; one that can't be carried out any more is.
    ///
    /// # Errors
    /// Why it can't.
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
