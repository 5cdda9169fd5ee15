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
use std::sync::{Mutex, PoisonError};

/// The seeds that CI runs.
const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=4;

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let seed = |text: &str| text.parse().expect("SOAK_SEEDS is FIRST-LAST or one seed");
    seed(first)..=seed(last)
}

/// Lets one test run at a time: each has a few dozen processes.
static RUNNING: Mutex<()> = Mutex::new(());

/// Plays these seeds, one after the other, and fails if any breaks an invariant.
fn assert_no_rule_breaks(seeds: RangeInclusive<u64>) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut violations = Vec::new();
    for seed in seeds {
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

#[test]
fn no_rule_breaks_under_random_overlapping_faults() {
    assert_no_rule_breaks(seeds());
}

/// Guards against an attempt that starts after its client's close.
#[test]
fn no_rule_breaks_at_seed_1026() {
    assert_no_rule_breaks(1026..=1026);
}
