//! Counters of rule violations, for operators and tests. All should stay 0.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// A rule whose violation the proxy itself can detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An attempt began more than 0.1 s after its client had closed the connection.
    AttemptAfterClose,
    /// An attempt began at an upstream that is draining or no longer on the list.
    AttemptAtClosedUpstream,
    /// An attempt began after the latest time at which it may.
    AttemptAfterWindow,
    /// The deadline sent to an upstream exceeded the client's remaining time.
    DeadlineTooLong,
    /// An attempt was written without a permit check.
    UnguardedAttempt,
    /// The proxy closed a client's connection with an unanswered request on it.
    ClosedUnanswered,
}

impl Rule {
    /// Every rule, in order of declaration.
    pub const ALL: [Rule; 6] = [
        Rule::AttemptAfterClose,
        Rule::AttemptAtClosedUpstream,
        Rule::AttemptAfterWindow,
        Rule::DeadlineTooLong,
        Rule::UnguardedAttempt,
        Rule::ClosedUnanswered,
    ];

    /// Its label in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Rule::AttemptAfterClose => "attempt_after_close",
            Rule::AttemptAtClosedUpstream => "attempt_at_closed_upstream",
            Rule::AttemptAfterWindow => "attempt_after_window",
            Rule::DeadlineTooLong => "deadline_too_long",
            Rule::UnguardedAttempt => "unguarded_attempt",
            Rule::ClosedUnanswered => "closed_unanswered",
        }
    }
}

/// Number of violations of each rule since the process started.
#[derive(Clone, Debug, Default)]
pub struct Violations(Family<Vec<(String, String)>, Counter>);

impl Violations {
    /// Creates all counters at 0 and registers them as `violations_total`.
    pub fn registered(registry: &mut Registry) -> Self {
        let violations = Self::default();
        for rule in Rule::ALL {
            violations.counter(rule);
        }
        registry.register("violations", "Rules broken, by rule", violations.0.clone());
        violations
    }

    fn counter(&self, rule: Rule) -> Counter {
        let labels = vec![("rule".to_owned(), rule.name().to_owned())];
        self.0.get_or_create(&labels).clone()
    }

    /// Logs and counts a violation; `request` is the id that the client gave the request.
    pub fn count(&self, rule: Rule, request: Option<&str>) {
        tracing::error!(request, rule = rule.name(), "violation");
        self.counter(rule).inc();
    }

    /// Number of violations of this rule.
    pub fn of(&self, rule: Rule) -> u64 {
        self.counter(rule).get()
    }
}
