use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::*;

fn traffic(attempts: u64, errors: u64, ms: u64) -> TrafficStats {
    let bounds = [1000, 2000, 5000, 10_000, 50_000, 100_000];
    let count = |b| if b >= ms * 1000 { attempts - errors } else { 0 };
    TrafficStats { attempts, errors, latencies: Latencies(bounds.map(|b| (b, count(b))).into()) }
}

#[test]
fn errors_refusals_and_latency_fail_a_stage_and_too_few_attempts_are_inconclusive() {
    let gates = Gates::default();
    let verdict = |new: TrafficStats, before| {
        evaluate(&gates, &Observation { new, ..Observation::default() }, before, false)
    };
    assert!(matches!(verdict(traffic(19, 19, 1), None), GateVerdict::Inconclusive(_)));
    assert!(
        matches!(verdict(traffic(20, 4, 1), None), GateVerdict::Failed(why) if why.contains("errors"))
    );
    assert!(matches!(verdict(traffic(99, 0, 1), Some(900.0)), GateVerdict::Inconclusive(_)));
    assert!(matches!(verdict(traffic(100, 0, 1), Some(900.0)), GateVerdict::Passed(Some(_))));
    assert!(
        matches!(verdict(traffic(100, 0, 50), Some(10_000.0)), GateVerdict::Failed(why) if why.contains("p99"))
    );
    let refusing = Observation { requests: 100, refused: 6, ..Observation::default() };
    assert!(
        matches!(evaluate(&gates, &refusing, None, false), GateVerdict::Failed(why) if why.contains("refusals"))
    );
    let unreachable = Observation { new: traffic(4, 4, 1), ..Observation::default() };
    assert!(matches!(evaluate(&gates, &unreachable, None, false), GateVerdict::Inconclusive(_)));
    assert!(matches!(evaluate(&gates, &unreachable, None, true), GateVerdict::Failed(_)));
    // Without a baseline, the p99 is compared with that of the old version in the same observation.
    let slower =
        Observation { new: traffic(200, 0, 50), old: traffic(200, 0, 5), ..Observation::default() };
    assert!(matches!(evaluate(&gates, &slower, None, false), GateVerdict::Failed(_)));
}

#[test]
fn p99_is_interpolated_within_its_bucket() {
    assert_eq!(Latencies::default().p99(), None);
    let some = Latencies([(1000, 90), (2000, 100), (4000, 100)].into());
    assert_eq!(some.p99(), Some(1900.0));
}

/// Histogram of `count` random latencies: 10 ms plus `slower_ms`, plus an exponential part with a mean of 2 ms.
fn sample_latencies(rng: &mut StdRng, slower_ms: f64, count: u64) -> Latencies {
    // The same buckets as in the proxies' metrics: each bound is a third above the previous one.
    let mut bounds: BTreeMap<u64, u64> =
        (0..35).map(|i| ((1000.0 * f64::powi(4.0 / 3.0, i)) as u64, 0)).collect();
    for _ in 0..count {
        let rest: f64 = -2.0 * (1.0 - rng.gen_range(0.0..1.0_f64)).ln();
        let us = ((10.0 + slower_ms + rest) * 1000.0) as u64;
        bounds.range_mut(us..).for_each(|(_, n)| *n += 1);
    }
    Latencies(bounds)
}

#[test]
fn equal_latency_always_passes_and_a_slow_version_never_does() {
    let gates = Gates::default();
    // The fewest attempts that a p99 is evaluated with, in this stage and the previous one.
    let fewest = gates.min_requests * 5;
    let evaluated = |rng: &mut StdRng, slower_ms: f64| {
        let before = sample_latencies(rng, 0.0, fewest).p99();
        let latencies = sample_latencies(rng, slower_ms, fewest);
        let new = TrafficStats { attempts: fewest, errors: 0, latencies };
        evaluate(&gates, &Observation { new, ..Observation::default() }, before, false)
    };
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (same, slow) = (evaluated(&mut rng, 0.0), evaluated(&mut rng, 60.0));
        assert!(matches!(same, GateVerdict::Passed(Some(_))), "seed {seed}: {same:?}");
        assert!(
            matches!(&slow, GateVerdict::Failed(why) if why.contains("latency")),
            "seed {seed}: {slow:?}"
        );
    }
}
