//! Counts of broken rules, for operators and tests: each should stay 0.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// A rule of the protocol that the proxy itself can tell to be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An attempt began over 0.1 s after its client had closed.
    AttemptAfterClose,
    /// An attempt began at an upstream that drains or is gone.
    AttemptAtClosedUpstream,
    /// An attempt began after the last moment at which it may.
    AttemptAfterWindow,
    /// An upstream was told more time than its client had left.
    DeadlineTooLong,
    /// An attempt was written that no guard had permitted.
    UnguardedAttempt,
    /// A client's connection ended here with a request on it unanswered.
    ClosedUnanswered,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 6] = [
        Rule::AttemptAfterClose,
        Rule::AttemptAtClosedUpstream,
        Rule::AttemptAfterWindow,
        Rule::DeadlineTooLong,
        Rule::UnguardedAttempt,
        Rule::ClosedUnanswered,
    ];

    /// Its label in figures and logs.
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

/// How often each rule was broken since the process began.
#[derive(Clone, Debug, Default)]
pub struct Violations(Family<Vec<(String, String)>, Counter>);

impl Violations {
    /// All at 0, and told under `violations_total` by this registry.
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

    /// This rule was broken for this request, by the id that its client gave it.
    pub fn count(&self, rule: Rule, request: Option<&str>) {
        tracing::error!(request, rule = rule.name(), "violation");
        self.counter(rule).inc();
    }

    /// How often this rule was broken.
    pub fn of(&self, rule: Rule) -> u64 {
        self.counter(rule).get()
    }
}
