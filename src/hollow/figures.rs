//! Metrics of each simulated balancer, and a summary whose size does not depend on the number of balancers.

use std::cell::Cell;

use serde::Serialize;
use serde_json::{Value, json};

use crate::figures::MetricsText;

/// Metrics of one balancer. They last as long as the process and are not reset when the balancer stops or restarts.
#[derive(Debug, Default)]
pub struct BalancerFigures {
    /// Whether the balancer is running.
    pub running: Cell<bool>,
    /// Revision of the current list.
    pub revision: Cell<u64>,
    /// List messages whose revision was lower than the current one; must stay 0.
    pub went_back: Cell<u64>,
    /// List messages received.
    pub messages: Cell<u64>,
    /// Messages with a full list.
    pub whole_lists: Cell<u64>,
    /// Entries in all messages.
    pub entries: Cell<u64>,
    /// Bytes read from list services, including response heads and heartbeats.
    pub bytes: Cell<u64>,
    /// Notifications of services: each message counts once for each service that it concerns.
    pub services_told: Cell<u64>,
    /// CPU time spent in the services and their policies, in nanoseconds.
    pub module_ns: Cell<u64>,
    /// Number of measured calls of the services.
    pub module_calls: Cell<u64>,
    /// Longest CPU time of one call, in nanoseconds.
    pub module_longest_ns: Cell<u64>,
    /// Members in the current list.
    pub members: Cell<u64>,
    /// Digest of the current list.
    pub digest: Cell<u64>,
}

/// Adds `n` to a counter.
pub fn add(to: &Cell<u64>, n: u64) {
    to.set(to.get() + n);
}

impl BalancerFigures {
    /// Records a call of the services and its CPU time.
    pub fn record_policy_call(&self, ns: u64) {
        add(&self.module_ns, ns);
        add(&self.module_calls, 1);
        self.module_longest_ns.set(self.module_longest_ns.get().max(ns));
    }

    /// Records a list message; `is_full` is whether it contains the full list.
    pub fn record_message(&self, revision: u64, entries: usize, is_full: bool) {
        add(&self.went_back, u64::from(revision < self.revision.get()));
        add(&self.messages, 1);
        add(&self.whole_lists, u64::from(is_full));
        add(&self.entries, entries as u64);
        self.revision.set(revision);
    }

    /// The metrics as JSON, for the management API.
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

/// Mean and largest value of one metric over all balancers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MeanAndLargest {
    /// The mean, rounded down.
    pub mean: u64,
    /// The largest value.
    pub largest: u64,
}

impl MeanAndLargest {
    /// Computes both over `values`; 0 if there are none.
    pub fn over(values: impl Iterator<Item = u64>) -> Self {
        let (mut sum, mut count, mut largest) = (0, 0, 0);
        for value in values {
            (sum, count, largest) = (sum + value, count + 1, value.max(largest));
        }
        Self { mean: sum / u64::max(count, 1), largest }
    }
}

/// Summary of the balancers of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Balancers {
    /// Number of running balancers.
    pub running: u64,
    /// Lowest list revision of the running balancers; 0 if none is running.
    pub lowest_revision: u64,
    /// Highest list revision of the running balancers; 0 if none is running.
    pub highest_revision: u64,
    /// List messages whose revision was lower than the current one, over all balancers.
    pub went_back: u64,
    /// List messages received.
    pub messages: MeanAndLargest,
    /// Messages with a full list.
    pub whole_lists: MeanAndLargest,
    /// Entries in all messages.
    pub entries: MeanAndLargest,
    /// Bytes read from list services.
    pub bytes: MeanAndLargest,
    /// Notifications of services.
    pub services_told: MeanAndLargest,
    /// CPU time spent in the services and their policies, in microseconds.
    pub module_us: MeanAndLargest,
}

impl Balancers {
    /// Summarizes these balancers, including stopped ones except in `running` and the revisions.
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

    /// Writes the summary as Prometheus metrics.
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
