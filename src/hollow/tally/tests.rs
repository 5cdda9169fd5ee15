use std::sync::Arc;

use super::*;

/// What registration says, word for word.
fn say(level: Level, id: &str) {
    match level {
        Level::INFO => tracing::info!(target: TARGET, id, "registered"),
        _ => tracing::warn!(target: TARGET, id, cause = "x", "not in the list"),
    }
}

#[test]
fn registrations_and_failures_are_counted_by_who_was_known() {
    let tally = Arc::new(Tally::new());
    tracing::dispatcher::with_default(&Dispatch::new(tally.clone()), || {
        say(Level::WARN, "a");
        say(Level::INFO, "a");
        say(Level::INFO, "b");
        say(Level::WARN, "a");
        say(Level::WARN, "a");
        // Lost by the list, and back.
        say(Level::INFO, "a");
        tracing::info!(id = "c", "of another part of the program");
    });
    let counts = tally.counts();
    assert_eq!((counts.registered, counts.registrations), (2, 3));
    assert_eq!((counts.failed_registrations, counts.failed_renewals), (1, 2));
    tally.ended("a");
    assert_eq!(tally.counts().registered, 1);
}

#[test]
fn of_many_lines_of_a_kind_few_are_worth_writing() {
    let tally = Tally::new();
    let written = (0..1000).filter(|i| tally.count(Level::WARN, format!("u-{i}"))).count();
    assert_eq!(written, 10);
}
