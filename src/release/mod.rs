//! Staged releases: a plan that names the members to replace and the stages to do it in. Pure: this module
//! only works out which members each stage takes; carrying a plan out is the controller's.

use std::path::Path;

use serde::Deserialize;

use crate::configuration::{self, ConfigError};

/// `release --config FILE`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleasePlan {
    /// Name in logs.
    #[serde(default = "name")]
    pub name: String,
    /// Ids of the members to release, in the order they are taken.
    pub members: Vec<String>,
    /// Share of `members` done by the end of each stage, in percent, rising, the last 100.
    pub stages: Vec<u32>,
    /// Milliseconds each stage is watched before the next begins.
    #[serde(default = "hold_ms")]
    pub hold_ms: u64,
}

fn name() -> String {
    "release".into()
}
fn hold_ms() -> u64 {
    30_000
}

impl ReleasePlan {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// What [`configuration::load`] refuses, and [`ConfigError::Invalid`] for stages that are empty, do not
    /// rise, or do not end at 100.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let plan: Self = configuration::load(path)?;
        let rising = plan.stages.windows(2).all(|w| w[0] < w[1]);
        if plan.stages.last() != Some(&100) || !rising || plan.stages.first() == Some(&0) {
            let cause = "rising percentages above 0 that end at 100";
            return Err(ConfigError::invalid(path, "stages", cause));
        }
        Ok(plan)
    }

    /// The members each stage adds, in order: stage `i` brings the total to `stages[i]` percent, rounded up
    /// so that no stage is empty while members are left.
    pub fn waves(&self) -> Vec<&[String]> {
        let total = self.members.len();
        let mut done = 0;
        let mut waves = Vec::with_capacity(self.stages.len());
        for &share in &self.stages {
            let upto = (total * share as usize).div_ceil(100).max(done.min(total)).min(total);
            let upto = if upto == done && done < total { done + 1 } else { upto };
            waves.push(&self.members[done..upto]);
            done = upto;
        }
        waves
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_member_is_in_one_wave_and_no_wave_is_empty_while_some_are_left() {
        let members: Vec<String> = (0..7).map(|i| format!("s-{i}")).collect();
        let plan = ReleasePlan { name: name(), members, stages: vec![1, 10, 50, 100], hold_ms: 0 };
        let sizes: Vec<usize> = plan.waves().iter().map(|w| w.len()).collect();
        assert_eq!(sizes, [1, 1, 2, 3]);
    }
}
