//! Counts the log events of [`crate::discovery::registration`], which reports its successes and failures in no other
//! way, and limits how many of them are written: thousands of simulated upstreams would flood the log.

use std::collections::HashSet;
use std::fmt::Debug;
use std::sync::Mutex;

use serde::Serialize;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::span::{Attributes, Id, Record};
use tracing::subscriber::Interest;
use tracing::{Dispatch, Event, Level, Metadata, Subscriber};

/// Log target of the registration module.
const TARGET: &str = "hollowpaddle::discovery::registration";

/// Results of the registration calls of all upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Upstreams that are registered now.
    pub registered: u64,
    /// Successful registrations, including repeated ones after the list service had lost the member.
    pub registrations: u64,
    /// Failed registrations; each is retried.
    pub failed_registrations: u64,
    /// Failed calls of registered upstreams: renewals and leaves.
    pub failed_renewals: u64,
}

#[derive(Debug, Default)]
struct State {
    registered: HashSet<String>,
    counts: Counts,
}

/// A tracing subscriber for the tasks of the upstreams: counts registration events and forwards a bounded part of them
/// to the subscriber of the process.
#[derive(Debug)]
pub struct Tally {
    inner: Dispatch,
    state: Mutex<State>,
}

/// Reads the field `id` of an event.
#[derive(Default)]
struct IdVisitor(Option<String>);

impl Visit for IdVisitor {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == "id" {
            self.0 = Some(value.to_owned());
        }
    }
    fn record_debug(&mut self, _: &Field, _: &dyn Debug) {}
}

impl Tally {
    /// Creates a subscriber that forwards to the current default subscriber.
    pub fn new() -> Self {
        let inner = tracing::dispatcher::get_default(Dispatch::clone);
        Self { inner, state: Mutex::default() }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        // No code panics while holding the lock, so it is never poisoned.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The current counts.
    pub fn counts(&self) -> Counts {
        let state = self.state();
        Counts { registered: state.registered.len() as u64, ..state.counts }
    }

    /// Removes an upstream that no longer renews from the registered ones.
    pub fn remove_registered(&self, id: &str) {
        self.state().registered.remove(id);
    }

    /// Counts one event. Returns whether to write it: the first, second, fourth, eighth and so on of each kind.
    fn count(&self, level: Level, id: String) -> bool {
        let mut state = self.state();
        let already_registered = state.registered.contains(&id);
        let counts = &mut state.counts;
        let count = match (level, already_registered) {
            (Level::INFO, _) => &mut counts.registrations,
            (_, false) => &mut counts.failed_registrations,
            (_, true) => &mut counts.failed_renewals,
        };
        *count += 1;
        let write = count.is_power_of_two();
        if level == Level::INFO {
            state.registered.insert(id);
        }
        write
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

impl Subscriber for Tally {
    fn register_callsite(&self, _: &'static Metadata<'static>) -> Interest {
        Interest::sometimes()
    }
    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::INFO)
    }
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == TARGET || self.inner.enabled(metadata)
    }
    fn new_span(&self, span: &Attributes<'_>) -> Id {
        self.inner.new_span(span)
    }
    fn record(&self, span: &Id, values: &Record<'_>) {
        self.inner.record(span, values);
    }
    fn record_follows_from(&self, span: &Id, follows: &Id) {
        self.inner.record_follows_from(span, follows);
    }
    fn event(&self, event: &Event<'_>) {
        if event.metadata().target() == TARGET {
            let mut visitor = IdVisitor::default();
            event.record(&mut visitor);
            if !visitor.0.is_none_or(|id| self.count(*event.metadata().level(), id)) {
                return;
            }
        }
        if self.inner.enabled(event.metadata()) {
            self.inner.event(event);
        }
    }
    fn enter(&self, span: &Id) {
        self.inner.enter(span);
    }
    fn exit(&self, span: &Id) {
        self.inner.exit(span);
    }
    fn clone_span(&self, id: &Id) -> Id {
        self.inner.clone_span(id)
    }
    fn try_close(&self, id: Id) -> bool {
        self.inner.try_close(id)
    }
}

#[cfg(test)]
mod tests;
