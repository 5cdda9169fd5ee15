//! What the proxies' figures show, added up over all of them since some moment.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use prometheus_parse::{Scrape, Value};

use super::gates::{Observation, TrafficStats};
use crate::calls::ask;

/// How long one proxy may take to answer.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(1);

/// One proxy's counts as scraped: by name and labels, and by bucket of a histogram.
pub type Counts = BTreeMap<(String, String, u64), u64>;

/// A label's value, or nothing.
fn label<'a>(sample: &'a prometheus_parse::Sample, name: &str) -> &'a str {
    sample.labels.get(name).unwrap_or("")
}

/// Reads a scrape. Metrics that are not ours are left aside.
///
/// # Errors
/// What is no Prometheus text.
pub fn parse_metrics(text: &str) -> std::io::Result<Counts> {
    let scrape = Scrape::parse(text.lines().map(|l| Ok(l.to_owned())))?;
    let mut counts = Counts::new();
    for sample in scrape.samples {
        let end = label(&sample, "end").to_owned();
        match (sample.metric.as_str(), &sample.value) {
            ("requests_total", Value::Counter(n) | Value::Untyped(n)) => {
                *counts.entry(("requests".into(), end, 0)).or_default() += *n as u64;
            }
            ("upstream_attempts_total", Value::Counter(n) | Value::Untyped(n)) => {
                let key = (format!("upstream:{}", label(&sample, "upstream")), end, 0);
                counts.insert(key, *n as u64);
            }
            ("upstream_latency_seconds", Value::Histogram(buckets)) => {
                for bucket in buckets.iter().filter(|b| b.less_than.is_finite()) {
                    let us = (bucket.less_than * 1e6).round() as u64;
                    let upstream = format!("upstream:{}", label(&sample, "upstream"));
                    counts.insert((upstream, "latency".into(), us), bucket.count as u64);
                }
            }
            _ => {}
        }
    }
    Ok(counts)
}

/// Counts added up since it was made.
#[derive(Debug, Default)]
pub struct Window {
    last: BTreeMap<SocketAddr, Counts>,
    sums: BTreeMap<SocketAddr, Counts>,
}

impl Window {
    /// Takes a proxy's counts in. What it counted before its first word here does not count; after a restart it
    /// counts from nothing.
    pub fn record(&mut self, proxy: SocketAddr, counts: Counts) {
        let sums = self.sums.entry(proxy).or_default();
        if let Some(last) = self.last.get(&proxy) {
            for (key, &now) in &counts {
                let previous = last.get(key).copied().unwrap_or(0);
                // Lower than before: the process is another one.
                let increase = now.checked_sub(previous).unwrap_or(now);
                *sums.entry(key.clone()).or_default() += increase;
            }
        }
        self.last.insert(proxy, counts);
    }

    /// Counts from now on, from what the proxies said last.
    pub fn restart(&mut self) {
        self.sums.clear();
    }

    /// Asks each proxy and takes in what it says; the number that said nothing.
    pub async fn scrape(&mut self, proxies: &[SocketAddr]) -> usize {
        let mut unavailable = 0;
        for &proxy in proxies {
            match ask(proxy, Method::GET, "/metrics", "", SCRAPE_TIMEOUT).await {
                Ok((StatusCode::OK, body)) => {
                    match parse_metrics(&String::from_utf8_lossy(&body)) {
                        Ok(counts) => self.record(proxy, counts),
                        Err(cause) => {
                            unavailable += 1;
                            tracing::warn!(%proxy, %cause, "figures that can't be read");
                        }
                    }
                }
                Ok((status, _)) => {
                    unavailable += 1;
                    tracing::warn!(%proxy, %status, "no figures");
                }
                Err(cause) => {
                    unavailable += 1;
                    tracing::debug!(%cause, "no figures");
                }
            }
        }
        unavailable
    }

    fn upstream_stats(&self, ids: &HashSet<&str>) -> TrafficStats {
        let mut stats = TrafficStats::default();
        for ((name, end, bound), &n) in self.sums.values().flatten() {
            if !name.strip_prefix("upstream:").is_some_and(|id| ids.contains(id)) {
                continue;
            }
            match end.as_str() {
                "latency" => *stats.latencies.0.entry(*bound).or_default() += n,
                // Turned away unseen: the proxy tries elsewhere, and it tells of load, not of the version.
                "refused" => {}
                _ => {
                    stats.attempts += n;
                    stats.errors += if end == "served" { 0 } else { n };
                }
            }
        }
        stats
    }

    fn request_counts(&self, proxies: &[SocketAddr]) -> (u64, u64, u64) {
        let mut totals = [0; 3];
        for counts in proxies.iter().filter_map(|p| self.sums.get(p)) {
            for (index, end) in ["ok", "shed", "errors"].iter().enumerate() {
                let key = ("requests".to_owned(), (*end).to_owned(), 0);
                totals[index] += counts.get(&key).copied().unwrap_or(0);
            }
        }
        (totals[0], totals[1], totals[2])
    }

    /// What was seen of upstreams: the new ones, and those they take the place of.
    pub fn upstream_observation(&self, new: &HashSet<&str>, old: &HashSet<&str>) -> Observation {
        let proxies: Vec<SocketAddr> = self.sums.keys().copied().collect();
        let (ok, refused, errors) = self.request_counts(&proxies);
        Observation {
            new: self.upstream_stats(new),
            old: self.upstream_stats(old),
            requests: ok + refused + errors,
            refused,
        }
    }

    /// What was seen of balancers: their requests count, refusals apart; the time is that of their attempts.
    pub fn balancer_observation(&self, new: &[SocketAddr], old: &[SocketAddr]) -> Observation {
        let stats_of = |proxies: &[SocketAddr]| {
            let (ok, _, errors) = self.request_counts(proxies);
            let mut stats =
                TrafficStats { attempts: ok + errors, errors, ..TrafficStats::default() };
            for counts in proxies.iter().filter_map(|p| self.sums.get(p)) {
                for ((_, _, bound), n) in counts.iter().filter(|((_, end, _), _)| end == "latency")
                {
                    *stats.latencies.0.entry(*bound).or_default() += n;
                }
            }
            stats
        };
        let (ok, refused, errors) = self.request_counts(new);
        Observation {
            new: stats_of(new),
            old: stats_of(old),
            requests: ok + refused + errors,
            refused,
        }
    }
}

#[cfg(test)]
mod tests;
