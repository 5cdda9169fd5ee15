//! The health gates of a stage, and their evaluation against what was observed of it. Performs no I/O.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The health gates, the same for every stage.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Gates {
    /// Maximum share of attempts at the new version that may fail, 0 to 1.
    pub error_share: f64,
    /// Maximum ratio of the new version's p99 latency to that of the previous stage (for the first stage, to that of
    /// the old version).
    pub p99_ratio: f64,
    /// Maximum share of requests that the proxies may refuse, 0 to 1.
    pub refused_share: f64,
    /// Minimum number of attempts before a stage is evaluated; the p99 needs five times as many.
    pub min_requests: u64,
}

impl Default for Gates {
    fn default() -> Self {
        Self { error_share: 0.02, p99_ratio: 2.0, refused_share: 0.05, min_requests: 20 }
    }
}

impl Gates {
    /// The key of the first value that is out of range, and the allowed range.
    pub fn fault(&self) -> Option<(&'static str, &'static str)> {
        let share = |s: f64| (0.0..=1.0).contains(&s);
        if !share(self.error_share) {
            return Some(("error_share", "must be a share from 0 to 1"));
        }
        if !share(self.refused_share) {
            return Some(("refused_share", "must be a share from 0 to 1"));
        }
        if self.p99_ratio.is_nan() || self.p99_ratio < 1.0 {
            return Some(("p99_ratio", "must be at least 1"));
        }
        (self.min_requests == 0).then_some(("min_requests", "must be at least 1"))
    }
}

/// A cumulative latency histogram as in Prometheus: upper bound in microseconds, to the count at or below it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Latencies(pub BTreeMap<u64, u64>);

impl Latencies {
    /// The 99th percentile in microseconds, interpolated linearly within its bucket; `None` if nothing was counted.
    /// Latencies above the last finite bound are not in the histogram and do not count.
    pub fn p99(&self) -> Option<f64> {
        let total = *self.0.values().last()?;
        if total == 0 {
            return None;
        }
        let rank = 0.99 * total as f64;
        let (mut below, mut from) = (0.0, 0.0);
        for (&bound, &count) in &self.0 {
            let (bound, count) = (bound as f64, count as f64);
            if count >= rank {
                return Some(
                    from + (bound - from) * ((rank - below) / (count - below)).clamp(0.0, 1.0),
                );
            }
            (below, from) = (count, bound);
        }
        Some(from)
    }
}

/// Counts of the attempts at a set of upstreams, or of the requests at a set of balancers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficStats {
    /// Those that ended, except refusals: a refusal says something about load, not about the version.
    pub attempts: u64,
    /// Of those, the ones that failed or could not reach the target.
    pub errors: u64,
    /// Latencies of those that were served or timed out.
    pub latencies: Latencies,
}

/// What was observed since the current step of a release began.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Traffic of the targets on the new version.
    pub new: TrafficStats,
    /// Traffic of the targets still on the old version.
    pub old: TrafficStats,
    /// Requests that ended at the proxies.
    pub requests: u64,
    /// Of those, the ones that the proxies refused.
    pub refused: u64,
}

/// Verdict of the gates on a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum GateVerdict {
    /// Too few attempts were observed; states how many are needed.
    Inconclusive(String),
    /// All gates hold; the measured p99 in microseconds, if any.
    Passed(Option<f64>),
    /// A gate does not hold; states which and by how much.
    Failed(String),
}

/// After the bake time, this many attempts are enough to fail a stage if more than half of them failed. Proxies soon
/// stop sending to an upstream that can't be reached, so it may never get `min_requests` attempts.
const MIN_ATTEMPTS_AFTER_BAKE: u64 = 3;

/// Evaluates a stage. `baseline_p99` is the p99 of the previous stage in microseconds; if unknown, the old version's
/// p99 in the same observation is used. `baked`: the bake time has passed, so no further attempts are expected.
pub fn evaluate(
    gates: &Gates,
    observation: &Observation,
    baseline_p99: Option<f64>,
    baked: bool,
) -> GateVerdict {
    let share = |part: u64, of: u64| if of == 0 { 0.0 } else { part as f64 / of as f64 };
    let (new, min_requests) = (&observation.new, gates.min_requests);
    let errors = share(new.errors, new.attempts);
    let few_but_failing =
        baked && new.attempts >= MIN_ATTEMPTS_AFTER_BAKE.min(min_requests) && errors > 0.5;
    if (new.attempts >= min_requests || few_but_failing) && errors > gates.error_share {
        return GateVerdict::Failed(format!(
            "errors: {} of {} attempts ({errors:.3} over {:.3})",
            new.errors, new.attempts, gates.error_share
        ));
    }
    let refused = share(observation.refused, observation.requests);
    if observation.requests >= min_requests && refused > gates.refused_share {
        return GateVerdict::Failed(format!(
            "refusals: {} of {} requests ({refused:.3} over {:.3})",
            observation.refused, observation.requests, gates.refused_share
        ));
    }
    let p99 = new.latencies.p99();
    if let (Some(p99), Some(baseline_p99)) = (p99, baseline_p99.or(observation.old.latencies.p99()))
        && new.attempts >= 5 * min_requests
        && p99 > baseline_p99 * gates.p99_ratio
    {
        return GateVerdict::Failed(format!(
            "latency: p99 {:.1} ms over {:.1} times {:.1} ms",
            p99 / 1e3,
            gates.p99_ratio,
            baseline_p99 / 1e3
        ));
    }
    // Without a measured p99, only errors and refusals are evaluated.
    let needed = if p99.is_some() { 5 * min_requests } else { min_requests };
    if new.attempts < needed {
        return GateVerdict::Inconclusive(format!("{} of {needed} attempts seen", new.attempts));
    }
    GateVerdict::Passed(p99)
}

#[cfg(test)]
mod tests;
