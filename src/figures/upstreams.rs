//! Metrics of the attempts at each upstream. They are encoded a page at a time, since thousands of upstreams have more text
//! than the proxy has memory for.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Bound;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::Duration;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::prometheus_text::encode;
use prometheus_client::encoding::{DescriptorEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::interface::Outcome;

/// Number of latency buckets with an upper bound; one more has none.
const BOUNDED_BUCKETS: usize = 36;
/// How many upstreams have their series of a family in one page, of some 50 KB.
const ATTEMPTS_PER_PAGE: usize = 128;
const LATENCIES_PER_PAGE: usize = 16;
/// The ends of attempts that are counted, in the order of their series.
const ENDS: [&str; 4] = ["served", "errors", "refused", "unreachable"];

/// Upper bounds of the latency buckets in seconds, from 1 ms to about 20 s, each a third above the previous one.
static LATENCY_BOUNDS: LazyLock<[f64; BOUNDED_BUCKETS]> = LazyLock::new(|| {
    let mut bounds = [0.0; BOUNDED_BUCKETS];
    let values = exponential_buckets(0.001, 4.0 / 3.0, BOUNDED_BUCKETS as u16);
    bounds.iter_mut().zip(values).for_each(|(bound, value)| *bound = value);
    bounds
});

/// Metrics of the attempts sent to one upstream, as this proxy observed them.
#[derive(Default)]
pub struct Upstream {
    served: Cell<u64>,
    errors: Cell<u64>,
    refused: Cell<u64>,
    unreachable: Cell<u64>,
    /// Not allocated before the first latency: most proxies of a large fleet use few of its upstreams.
    latencies: OnceCell<Box<RefCell<Latencies>>>,
}

impl Upstream {
    /// Records the outcome of an attempt and its latency. Cancelled attempts and attempts that were not sent are not
    /// counted, because they say nothing about the upstream.
    pub fn record_attempt(&self, outcome: Outcome, latency: Duration) {
        let counter = match outcome {
            Outcome::Ok => &self.served,
            Outcome::Timeout | Outcome::Error | Outcome::Reset => &self.errors,
            Outcome::Full => &self.refused,
            Outcome::ConnectFailed => &self.unreachable,
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        counter.set(counter.get() + 1);
        // For a timeout, the time waited is a lower bound of the latency.
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.latencies.get_or_init(Box::default).borrow_mut().observe(latency.as_secs_f64());
        }
    }

    /// The counts in the order of [`ENDS`].
    fn counts(&self) -> [u64; ENDS.len()] {
        [&self.served, &self.errors, &self.refused, &self.unreachable].map(Cell::get)
    }

    fn latencies(&self) -> Latencies {
        self.latencies.get().map(|latencies| latencies.borrow().clone()).unwrap_or_default()
    }
}

/// A histogram of latencies in seconds.
#[derive(Clone, Debug)]
struct Latencies {
    /// By bucket; the last has no upper bound.
    counts: [u64; BOUNDED_BUCKETS + 1],
    sum: f64,
}

impl Default for Latencies {
    fn default() -> Self {
        Self { counts: [0; BOUNDED_BUCKETS + 1], sum: 0.0 }
    }
}

impl Latencies {
    fn observe(&mut self, seconds: f64) {
        let bucket = LATENCY_BOUNDS.partition_point(|bound| *bound < seconds);
        self.counts[bucket] += 1;
        self.sum += seconds;
    }

    fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// The upper bound and count of each bucket, as the encoder takes them.
    fn buckets(&self) -> Vec<(f64, u64)> {
        let bounds = LATENCY_BOUNDS.iter().copied().chain([f64::INFINITY]);
        bounds.zip(self.counts).collect()
    }
}

/// Metrics of all upstreams, by id.
#[derive(Default)]
pub(super) struct Upstreams {
    by_id: RefCell<BTreeMap<Rc<str>, Rc<Upstream>>>,
}

impl Upstreams {
    /// The metrics of this upstream, which are 0 if it has none yet.
    pub(super) fn upstream(&self, id: &str) -> Rc<Upstream> {
        let mut by_id = self.by_id.borrow_mut();
        by_id.entry(Rc::from(id)).or_default().clone()
    }

    pub(super) fn remove(&self, id: &str) {
        self.by_id.borrow_mut().remove(id);
    }

    /// Encodes the metrics of the upstreams that follow `page`; `None` after the last.
    pub(super) fn encode_page(&self, page: &mut Page) -> Option<Result<String, fmt::Error>> {
        loop {
            let family = page.family?;
            let upstreams = self.upstreams_after(page.last.as_deref(), family.upstreams_per_page());
            let Some((last, _)) = upstreams.last() else {
                *page = Page { family: family.next(), last: None };
                continue;
            };
            let is_first = page.last.replace(last.clone()).is_none();
            return Some(encode_samples(family.collector(&upstreams), is_first));
        }
    }

    /// Up to `count` upstreams that follow this id.
    fn upstreams_after(&self, id: Option<&str>, count: usize) -> Vec<(Rc<str>, Rc<Upstream>)> {
        let after = id.map_or(Bound::Unbounded, Bound::Excluded);
        let by_id = self.by_id.borrow();
        let next = by_id.range::<str, _>((after, Bound::Unbounded)).take(count);
        next.map(|(id, upstream)| (id.clone(), upstream.clone())).collect()
    }
}

/// How far the metrics of all upstreams are encoded.
pub(super) struct Page {
    /// `None` after the last.
    family: Option<MetricFamily>,
    /// The last upstream whose metrics of this family are encoded. One that is removed meanwhile still marks the place.
    last: Option<Rc<str>>,
}

impl Page {
    /// Before the first upstream.
    pub(super) fn start() -> Self {
        Self { family: Some(MetricFamily::Attempts), last: None }
    }
}

/// A metric that each upstream has. The text format wants all series of one together.
#[derive(Clone, Copy)]
enum MetricFamily {
    Attempts,
    Latency,
}

impl MetricFamily {
    fn next(self) -> Option<Self> {
        match self {
            Self::Attempts => Some(Self::Latency),
            Self::Latency => None,
        }
    }

    fn upstreams_per_page(self) -> usize {
        match self {
            Self::Attempts => ATTEMPTS_PER_PAGE,
            Self::Latency => LATENCIES_PER_PAGE,
        }
    }

    fn collector(self, upstreams: &[(Rc<str>, Rc<Upstream>)]) -> Box<dyn Collector> {
        let upstreams = upstreams.iter();
        match self {
            Self::Attempts => Box::new(AttemptCollector(
                upstreams.map(|(id, u)| (id.to_string(), u.counts())).collect(),
            )),
            Self::Latency => Box::new(LatencyCollector(
                upstreams.map(|(id, u)| (id.to_string(), u.latencies())).collect(),
            )),
        }
    }
}

/// The counted attempts of some upstreams, by id.
#[derive(Debug)]
struct AttemptCollector(Vec<(String, [u64; ENDS.len()])>);

impl Collector for AttemptCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> fmt::Result {
        let help = "Attempts ended, by upstream and how.";
        let mut metric =
            encoder.encode_descriptor("upstream_attempts", help, None, MetricType::Counter)?;
        for (id, counts) in &self.0 {
            for (end, count) in ENDS.into_iter().zip(counts) {
                let labels = [("upstream", id.as_str()), ("end", end)];
                metric.encode_family(&labels)?.encode_counter::<NoLabelSet, _, u64>(count, None)?;
            }
        }
        Ok(())
    }
}

/// The latencies of some upstreams, by id.
#[derive(Debug)]
struct LatencyCollector(Vec<(String, Latencies)>);

impl Collector for LatencyCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> fmt::Result {
        let help = "Time of attempts that were served or timed out, by upstream.";
        let mut metric = encoder.encode_descriptor(
            "upstream_latency_seconds",
            help,
            None,
            MetricType::Histogram,
        )?;
        for (id, latencies) in &self.0 {
            let labels = [("upstream", id.as_str())];
            metric.encode_family(&labels)?.encode_histogram::<NoLabelSet>(
                latencies.sum,
                latencies.count(),
                &latencies.buckets(),
                None,
            )?;
        }
        Ok(())
    }
}

/// Encodes what `collector` gives, with the metric's description only if `is_first`.
fn encode_samples(collector: Box<dyn Collector>, is_first: bool) -> Result<String, fmt::Error> {
    let mut registry = Registry::default();
    registry.register_collector(collector);
    let mut text = String::new();
    encode(&mut text, &registry)?;
    if is_first {
        return Ok(text);
    }
    let start =
        text.lines().take_while(|line| line.starts_with('#')).map(|line| line.len() + 1).sum();
    Ok(text.split_off(start))
}

#[cfg(test)]
mod tests;
