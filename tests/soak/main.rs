//! Random, overlapping faults over a few dozen processes, judged by the rules that hold whatever happens.
//!
//! `SOAK_SEEDS=100-149 cargo test --test soak` plays these seeds in place of those of CI.

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

/// The seeds that CI plays.
const SEEDS: RangeInclusive<u64> = 1..=4;

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let seed = |text: &str| text.parse().expect("SOAK_SEEDS is FIRST-LAST or one seed");
    seed(first)..=seed(last)
}

#[test]
fn no_rule_breaks_under_random_overlapping_faults() {
    let mut broken = Vec::new();
    for seed in seeds() {
        let outcome = run::run(seed);
        println!("seed {seed}: {}", outcome.summary);
        broken.extend(outcome.broken.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(broken.is_empty(), "{} broken:\n{}", broken.len(), broken.join("\n"));
}
