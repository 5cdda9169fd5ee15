//! What a stage must keep to, and the judgement of what was seen of it. Pure.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The health gates, the same for every stage.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Gates {
    /// The largest share of attempts at the new version that may fail.
    pub error_share: f64,
    /// The most that the new version's p99 latency may be of that of the stage before (for the first stage, of the
    /// old version's).
    pub p99_ratio: f64,
    /// The largest share of requests that the proxies may refuse.
    pub refused_share: f64,
    /// Attempts that must have been seen before anything is judged; p99 needs five times as many.
    pub min_requests: u64,
}

impl Default for Gates {
    fn default() -> Self {
        Self { error_share: 0.02, p99_ratio: 2.0, refused_share: 0.05, min_requests: 20 }
    }
}

impl Gates {
    /// A figure that can't be one, by its key.
    pub fn fault(&self) -> Option<(&'static str, &'static str)> {
        let share = |s: f64| (0.0..=1.0).contains(&s);
        if !share(self.error_share) {
            return Some(("error_share", "a share, 0 to 1"));
        }
        if !share(self.refused_share) {
            return Some(("refused_share", "a share, 0 to 1"));
        }
        if self.p99_ratio.is_nan() || self.p99_ratio < 1.0 {
            return Some(("p99_ratio", "at least 1"));
        }
        (self.min_requests == 0).then_some(("min_requests", "must be at least 1"))
    }
}

/// Latencies as counts below upper bounds in microseconds, cumulative as Prometheus has them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Latencies(pub BTreeMap<u64, u64>);

impl Latencies {
    /// The 99th percentile in microseconds, within its bucket by proportion; `None` with nothing counted. What
    /// lies beyond the last bound is taken as that bound.
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

/// Attempts at one set of upstreams, or requests at one set of balancers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficStats {
    /// That ended in any way that tells of them.
    pub attempts: u64,
    /// Of those, that failed or found nobody there.
    pub errors: u64,
    /// Of those that were served or timed out.
    pub latencies: Latencies,
}

/// What was seen since a stage began to bake.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// The new version.
    pub new: TrafficStats,
    /// What it takes the place of.
    pub old: TrafficStats,
    /// Requests that ended at the proxies.
    pub requests: u64,
    /// Of those, refused.
    pub refused: u64,
}

/// What a look at the figures says.
#[derive(Clone, Debug, PartialEq)]
pub enum GateVerdict {
    /// Too little was seen.
    Inconclusive(String),
    /// It keeps to all gates; with the p99 it shows, in microseconds.
    Passed(Option<f64>),
    /// It does not.
    Failed(String),
}

/// So few attempts say something once a stage has baked: proxies soon leave an upstream alone that nobody reaches.
const MIN_ATTEMPTS_AFTER_BAKE: u64 = 3;

/// Judges a stage against the p99 of the stage before, in microseconds, where that is known. `baked`: no more is to be
/// expected.
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
    // Without a p99 to compare, errors and refusals are all there is.
    let needed = if p99.is_some() { 5 * min_requests } else { min_requests };
    if new.attempts < needed {
        return GateVerdict::Inconclusive(format!("{} of {needed} attempts seen", new.attempts));
    }
    GateVerdict::Passed(p99)
}

#[cfg(test)]
mod tests;
