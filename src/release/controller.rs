//! The release's decisions: advance, hold, halt, roll back. Pure: told what was done and seen, by the time since it
//! was told last; it answers what to do. Each change of [`State`] is to be on disk before what it calls for is done,
//! and everything it calls for may be done twice: so a controller that was killed goes on where it stood.

use std::ops::Range;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::gates::{Gates, Judgement, Observation, judge};
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
pub enum Word {
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
    Forward(Range<usize>),
    /// Move these back to the old one, and tell when it is done.
    Back(Range<usize>),
    /// Look at the figures, and tell what they show.
    Look,
    /// Wait for a word.
    Wait,
    /// It is over.
    Finish,
}

/// One release.
#[derive(Debug)]
pub struct Controller {
    waves: Vec<Range<usize>>,
    gates: Gates,
    bake: Duration,
    on_failure: OnFailure,
    state: State,
    /// How long the present step has been watched by this process.
    watched: Duration,
    /// Why a stage that has baked is held.
    held: Option<String>,
}

impl Controller {
    /// A release of this plan from the start, or from where `state` stands.
    pub fn new(plan: &Plan, state: Option<State>) -> Self {
        let fresh =
            || State { name: plan.name.clone(), stage: 0, step: Step::Measuring, p99: None };
        Self {
            waves: plan.waves(),
            gates: plan.gates,
            bake: plan.bake(),
            on_failure: plan.on_failure,
            state: state.filter(|s| s.stage < plan.stages.len()).unwrap_or_else(fresh),
            watched: Duration::ZERO,
            held: None,
        }
    }

    /// Where it stands.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Why a stage that has baked is not done yet.
    pub fn held(&self) -> Option<&str> {
        self.held.as_deref()
    }

    /// The targets of a stage, as a range of the plan's order.
    pub fn wave(&self, stage: usize) -> Range<usize> {
        self.waves.get(stage).cloned().unwrap_or(0..0)
    }

    /// All targets that have been touched.
    fn touched(&self) -> Range<usize> {
        0..self.wave(self.state.stage).end
    }

    /// What to do now.
    pub fn action(&self) -> Action {
        match &self.state.step {
            Step::Moving => Action::Forward(self.wave(self.state.stage)),
            Step::Reverting { .. } => Action::Back(self.touched()),
            Step::Measuring | Step::Baking => Action::Look,
            Step::Halted { .. } => Action::Wait,
            Step::Done | Step::RolledBack { .. } => Action::Finish,
        }
    }

    fn to(&mut self, step: Step) {
        (self.state.step, self.watched, self.held) = (step, Duration::ZERO, None);
    }

    /// What `action` asked to move has been moved. Of no effect where a word has changed what is to be done.
    pub fn moved(&mut self, action: &Action) {
        if self.action() != *action {
            return;
        }
        match &self.state.step {
            Step::Moving => self.to(Step::Baking),
            Step::Reverting { why } => {
                let why = why.clone();
                self.to(Step::RolledBack { why });
            }
            _ => {}
        }
    }

    /// It could not be moved.
    pub fn failed(&mut self, action: &Action, why: String) {
        if self.action() != *action {
            return;
        }
        match &self.state.step {
            Step::Moving => self.broken(why),
            // There is no way but back: it is tried again when told so.
            Step::Reverting { why: before } => {
                let then = Box::new(Step::Reverting { why: before.clone() });
                self.to(Step::Halted { why, then });
            }
            _ => {}
        }
    }

    fn broken(&mut self, why: String) {
        match self.on_failure {
            OnFailure::Rollback => self.to(Step::Reverting { why }),
            OnFailure::Halt => {
                let then = Box::new(self.state.step.clone());
                self.to(Step::Halted { why, then });
            }
        }
    }

    /// What was seen since the present step began, `after` the look before.
    pub fn seen(&mut self, seen: &Observation, after: Duration) {
        self.watched += after;
        let baked = self.watched >= self.bake;
        match self.state.step {
            Step::Measuring if baked => {
                self.state.p99 = seen.old.latencies.p99();
                self.to(Step::Moving);
            }
            Step::Baking => match judge(&self.gates, seen, self.state.p99, baked) {
                Judgement::Broken(why) => self.broken(why),
                Judgement::Sound(p99) if baked => {
                    self.state.p99 = p99.or(self.state.p99);
                    if self.state.stage + 1 == self.waves.len() {
                        self.to(Step::Done);
                    } else {
                        self.state.stage += 1;
                        self.to(Step::Moving);
                    }
                }
                Judgement::Unknown(why) if baked => self.held = Some(why),
                _ => {}
            },
            _ => {}
        }
    }

    /// An operator's word. A word that changes nothing is no error; one that can't be carried out any more is.
    ///
    /// # Errors
    /// Why it can't.
    pub fn told(&mut self, word: Word) -> Result<(), &'static str> {
        let step = self.state.step.clone();
        match (word, step) {
            (_, step) if step.is_over() => return Err("the release is over"),
            (Word::Halt, Step::Halted { .. }) => {}
            (Word::Halt, step) => {
                let why = "by an operator".to_owned();
                self.to(Step::Halted { why, then: Box::new(step) });
            }
            (Word::Resume, Step::Halted { then, .. }) => self.to(*then),
            (Word::Resume, _) => {}
            (Word::Rollback, Step::Reverting { .. }) => {}
            (Word::Rollback, Step::Halted { then, .. })
                if matches!(*then, Step::Reverting { .. }) =>
            {
                self.to(*then);
            }
            (Word::Rollback, Step::Measuring) => {
                self.to(Step::RolledBack { why: "by an operator".into() });
            }
            (Word::Rollback, _) => self.to(Step::Reverting { why: "by an operator".into() }),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
