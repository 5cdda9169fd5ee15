use std::sync::Arc;

use super::*;

/// Logs an event exactly as the registration module does.
fn log_as_registration(level: Level, id: &str) {
    match level {
        Level::INFO => tracing::info!(target: TARGET, id, "registered"),
        _ => tracing::warn!(target: TARGET, id, cause = "x", "not in the list"),
    }
}

#[test]
fn failures_before_and_after_registration_are_counted_apart() {
    let tally = Arc::new(Tally::new());
    tracing::dispatcher::with_default(&Dispatch::new(tally.clone()), || {
        log_as_registration(Level::WARN, "a");
        log_as_registration(Level::INFO, "a");
        log_as_registration(Level::INFO, "b");
        log_as_registration(Level::WARN, "a");
        log_as_registration(Level::WARN, "a");
        // Registered again after the list service had lost the member.
        log_as_registration(Level::INFO, "a");
        tracing::info!(id = "c", "event of another module");
    });
    let counts = tally.counts();
    assert_eq!((counts.registered, counts.registrations), (2, 3));
    assert_eq!((counts.failed_registrations, counts.failed_renewals), (1, 2));
    tally.remove_registered("a");
    assert_eq!(tally.counts().registered, 1);
}

#[test]
fn repeated_lines_are_logged_at_powers_of_two_only() {
    let tally = Tally::new();
    let written = (0..1000).filter(|i| tally.count(Level::WARN, format!("u-{i}"))).count();
    assert_eq!(written, 10);
}
