//! What is counted of each hollow balancer, and the bounded sum of it that operators read.

use std::cell::Cell;

use serde::Serialize;
use serde_json::{Value, json};

use crate::figures::MetricsText;

/// Counted where it happens; lives as long as the process, however often the balancer ends and returns.
#[derive(Debug, Default)]
pub struct BalancerFigures {
    /// Whether it runs.
    pub running: Cell<bool>,
    /// Revision of the list held.
    pub revision: Cell<u64>,
    /// Lists taken that were older than the one held; must stay 0.
    pub went_back: Cell<u64>,
    /// Messages taken.
    pub messages: Cell<u64>,
    /// Of them, whole lists.
    pub whole_lists: Cell<u64>,
    /// Entries in them.
    pub entries: Cell<u64>,
    /// Bytes read from list services, heads and heartbeats too.
    pub bytes: Cell<u64>,
    /// Services that were told of a list or a change, once for each.
    pub services_told: Cell<u64>,
    /// Processor time spent in the services and their modules, in nanoseconds.
    pub module_ns: Cell<u64>,
    /// Times that they were told something.
    pub module_calls: Cell<u64>,
    /// Longest processor time of one of them, in nanoseconds.
    pub module_longest_ns: Cell<u64>,
    /// Members of the list held.
    pub members: Cell<u64>,
    /// The digest of the list held.
    pub digest: Cell<u64>,
}

/// Adds to a count.
pub fn add(to: &Cell<u64>, n: u64) {
    to.set(to.get() + n);
}

impl BalancerFigures {
    /// The module was told something, which took so long.
    pub fn record_policy_call(&self, ns: u64) {
        add(&self.module_ns, ns);
        add(&self.module_calls, 1);
        self.module_longest_ns.set(self.module_longest_ns.get().max(ns));
    }

    /// A list of this revision is taken.
    pub fn record_message(&self, revision: u64, entries: usize, whole: bool) {
        add(&self.went_back, u64::from(revision < self.revision.get()));
        add(&self.messages, 1);
        add(&self.whole_lists, u64::from(whole));
        add(&self.entries, entries as u64);
        self.revision.set(revision);
    }

    /// As operators read it.
    pub fn to_json(&self, id: &str, zone: &str) -> Value {
        json!({
            "id": id, "zone": zone, "running": self.running.get(),
            "revision": self.revision.get(), "went_back": self.went_back.get(),
            "messages": self.messages.get(), "whole_lists": self.whole_lists.get(),
            "entries": self.entries.get(), "bytes": self.bytes.get(),
            "services_told": self.services_told.get(),
            "module_us": self.module_ns.get() / 1000, "module_calls": self.module_calls.get(),
            "module_longest_us": self.module_longest_ns.get() / 1000,
            "members": self.members.get(), "digest": format!("{:016x}", self.digest.get()),
        })
    }
}

/// One figure over all balancers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MeanAndLargest {
    /// Sum over all, rounded down to the mean.
    pub mean: u64,
    /// The largest.
    pub largest: u64,
}

impl MeanAndLargest {
    /// Over these values.
    pub fn over(values: impl Iterator<Item = u64>) -> Self {
        let (mut sum, mut count, mut largest) = (0, 0, 0);
        for value in values {
            (sum, count, largest) = (sum + value, count + 1, value.max(largest));
        }
        Self { mean: sum / u64::max(count, 1), largest }
    }
}

/// The balancers of one process, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Balancers {
    /// How many run.
    pub running: u64,
    /// Lowest revision held by one that runs; 0 without any.
    pub lowest_revision: u64,
    /// Highest.
    pub highest_revision: u64,
    /// Lists taken that were older than the one held.
    pub went_back: u64,
    /// Messages taken.
    pub messages: MeanAndLargest,
    /// Whole lists among them.
    pub whole_lists: MeanAndLargest,
    /// Entries in them.
    pub entries: MeanAndLargest,
    /// Bytes read.
    pub bytes: MeanAndLargest,
    /// Services that were told of a list or a change.
    pub services_told: MeanAndLargest,
    /// Microseconds of processor time in the module.
    pub module_us: MeanAndLargest,
}

impl Balancers {
    /// Over these balancers.
    pub fn over<'a>(all: impl Iterator<Item = &'a BalancerFigures> + Clone) -> Self {
        let running = all.clone().filter(|b| b.running.get());
        let revisions = running.clone().map(|b| b.revision.get());
        let spread = |of: fn(&BalancerFigures) -> u64| MeanAndLargest::over(all.clone().map(of));
        Self {
            running: running.count() as u64,
            lowest_revision: revisions.clone().min().unwrap_or(0),
            highest_revision: revisions.max().unwrap_or(0),
            went_back: all.clone().map(|b| b.went_back.get()).sum(),
            messages: spread(|b| b.messages.get()),
            whole_lists: spread(|b| b.whole_lists.get()),
            entries: spread(|b| b.entries.get()),
            bytes: spread(|b| b.bytes.get()),
            services_told: spread(|b| b.services_told.get()),
            module_us: spread(|b| b.module_ns.get() / 1000),
        }
    }

    /// For a scrape.
    pub fn write(&self, text: &mut MetricsText) {
        text.gauge("hollow_balancers", "Balancers that run", &[], self.running);
        let help = "Revision of the list held, lowest and highest over the balancers";
        text.gauge("hollow_revision", help, &[("of", "lowest")], self.lowest_revision);
        text.gauge("hollow_revision", help, &[("of", "highest")], self.highest_revision);
        let help = "Lists taken that were older than the one held";
        text.counter("hollow_revisions_back", help, &[], self.went_back);
        let spreads = [
            ("hollow_messages", "Messages of the list taken", self.messages),
            ("hollow_whole_lists", "Whole lists among them", self.whole_lists),
            ("hollow_entries", "Entries in them", self.entries),
            ("hollow_received_bytes", "Bytes read from list services", self.bytes),
            ("hollow_services_told", "Services told of a list or a change", self.services_told),
            ("hollow_module_us", "Processor time in the module, microseconds", self.module_us),
        ];
        for (name, help, spread) in spreads {
            text.gauge(name, help, &[("of", "mean")], spread.mean);
            text.gauge(name, help, &[("of", "largest")], spread.largest);
        }
    }
}

#[cfg(test)]
mod tests;
