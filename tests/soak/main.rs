//! Soak test: random, overlapping faults in a few dozen processes, checked against invariants that must always hold.
//!
//! `SOAK_SEEDS=100-149 cargo test --test soak` runs these seeds instead of the default ones.

mod clients;
#[path = "../harness/mod.rs"]
#[allow(dead_code)]
mod harness;
mod judge;
mod kernel;
mod record;
mod run;
mod schedule;
#[path = "../shim/mod.rs"]
mod shim;
mod upstreams;

use std::ops::RangeInclusive;

/// The seeds that CI runs.
const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=4;

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let seed = |text: &str| text.parse().expect("SOAK_SEEDS is FIRST-LAST or one seed");
    seed(first)..=seed(last)
}

#[test]
fn no_rule_breaks_under_random_overlapping_faults() {
    let mut violations = Vec::new();
    for seed in seeds() {
        let outcome = run::run(seed);
        println!("seed {seed}: {}", outcome.summary);
        violations.extend(
            outcome.violations.into_iter().map(|violation| format!("seed {seed}: {violation}")),
        );
    }
    assert!(
        violations.is_empty(),
        "{} invariant violations:\n{}",
        violations.len(),
        violations.join("\n")
    );
}
