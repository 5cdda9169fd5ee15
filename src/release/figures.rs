//! Reads the proxies' metrics and sums their increase since the start of a window.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use prometheus_parse::{Scrape, Value};

use super::gates::{Observation, TrafficStats};
use crate::calls::ask;

/// Time limit for one proxy to answer.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(1);

/// One proxy's counts from a scrape, by name, by `end` label (`latency` for a histogram), and by the bucket's upper
/// bound in microseconds (0 for a counter).
pub type Counts = BTreeMap<(String, String, u64), u64>;

/// A label's value, or an empty string if there is none.
fn label<'a>(sample: &'a prometheus_parse::Sample, name: &str) -> &'a str {
    sample.labels.get(name).unwrap_or("")
}

/// Parses a scrape in the Prometheus text format. Metrics that a release does not use are ignored.
///
/// # Errors
/// An error of the parser.
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

/// Increase of each proxy's counts since the window was created or restarted.
#[derive(Debug, Default)]
pub struct Window {
    last: BTreeMap<SocketAddr, Counts>,
    sums: BTreeMap<SocketAddr, Counts>,
}

impl Window {
    /// Adds the increase of a proxy's counts since its previous scrape. The first scrape of a proxy only sets the
    /// baseline; after a restart of the proxy, its counts start from zero.
    pub fn record(&mut self, proxy: SocketAddr, counts: Counts) {
        let sums = self.sums.entry(proxy).or_default();
        if let Some(last) = self.last.get(&proxy) {
            for (key, &now) in &counts {
                let previous = last.get(key).copied().unwrap_or(0);
                // Lower than before: the proxy was restarted.
                let increase = now.checked_sub(previous).unwrap_or(now);
                *sums.entry(key.clone()).or_default() += increase;
            }
        }
        self.last.insert(proxy, counts);
    }

    /// Starts a new window at each proxy's last scrape.
    pub fn restart(&mut self) {
        self.sums.clear();
    }

    /// Scrapes each proxy and records its counts. Returns the number of proxies without a usable answer.
    pub async fn scrape(&mut self, proxies: &[SocketAddr]) -> usize {
        let mut unavailable = 0;
        for &proxy in proxies {
            match ask(proxy, Method::GET, "/metrics", "", SCRAPE_TIMEOUT).await {
                Ok((StatusCode::OK, body)) => {
                    match parse_metrics(&String::from_utf8_lossy(&body)) {
                        Ok(counts) => self.record(proxy, counts),
                        Err(cause) => {
                            unavailable += 1;
                            tracing::warn!(%proxy, %cause, "metrics could not be parsed");
                        }
                    }
                }
                Ok((status, _)) => {
                    unavailable += 1;
                    tracing::warn!(%proxy, %status, "metrics request was not answered with 200");
                }
                Err(cause) => {
                    unavailable += 1;
                    tracing::debug!(%cause, "metrics request failed");
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
                // Refused before processing: the proxy tries another upstream, and a refusal says something about
                // load, not about the version.
                "refused" => {}
                _ => {
                    stats.attempts += n;
                    stats.errors += if end == "served" { 0 } else { n };
                }
            }
        }
        stats
    }

    /// Requests that ended `ok`, `shed` and in `errors`, summed over `proxies`.
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

    /// Observation of a release of upstreams, from the ids of the new members and of the old ones still to be
    /// replaced.
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

    /// Observation of a release of balancers, from their management addresses. Counts their requests, without
    /// refusals; the latencies are those of their attempts at upstreams.
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
