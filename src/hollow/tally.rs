//! Counts what [`crate::discovery::registration`] logs: it has no other word of its successes and failures, and as many
//! lines as a process of hollow upstreams would write serve nobody.

use std::collections::HashSet;
use std::fmt::Debug;
use std::sync::Mutex;

use serde::Serialize;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::span::{Attributes, Id, Record};
use tracing::subscriber::Interest;
use tracing::{Dispatch, Event, Level, Metadata, Subscriber};

/// Where registration logs from.
const TARGET: &str = "hollowpaddle::discovery::registration";

/// What came of the calls of the upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Upstreams that know themselves to be in the list.
    pub registered: u64,
    /// Registrations that succeeded, again after the list had lost them too.
    pub registrations: u64,
    /// Registrations that failed, and were made again.
    pub failed_registrations: u64,
    /// Calls of registered ones that failed: renewals, and leaves.
    pub failed_renewals: u64,
}

#[derive(Debug, Default)]
struct State {
    registered: HashSet<String>,
    counts: Counts,
}

/// A subscriber of the upstreams' tasks that counts, and hands a bounded part on to the one of the process.
#[derive(Debug)]
pub struct Tally {
    inner: Dispatch,
    state: Mutex<State>,
}

/// The `id` of an event.
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
    /// Hands on to the subscriber that is in force here.
    pub fn new() -> Self {
        let inner = tracing::dispatcher::get_default(Dispatch::clone);
        Self { inner, state: Mutex::default() }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        // Nothing panics while it is held.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// What has been counted.
    pub fn counts(&self) -> Counts {
        let state = self.state();
        Counts { registered: state.registered.len() as u64, ..state.counts }
    }

    /// This one does not renew any more.
    pub fn remove_registered(&self, id: &str) {
        self.state().registered.remove(id);
    }

    /// Counts one line; whether it is worth writing: the first, second, fourth and so on of its kind.
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
