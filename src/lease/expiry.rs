//! Tracks the TTLs of leases and members on the leader and reports which have expired. Pure: the time is an
//! input.
//!
//! Only the leader tracks TTLs, in memory. A new leader restarts every TTL, which can lengthen a lease but
//! never shorten one.

use std::collections::BTreeMap;
use std::time::Duration;

/// When each key expires, on the leader's own monotonic clock.
#[derive(Debug, Default)]
pub struct Expiry<K: Ord + Clone> {
    deadlines: BTreeMap<K, Duration>,
}

impl<K: Ord + Clone> Expiry<K> {
    /// Tracks no keys yet.
    pub fn new() -> Self {
        Self { deadlines: BTreeMap::new() }
    }

    /// Restarts the TTL of a key that was granted or renewed at `now`.
    pub fn renewed(&mut self, key: K, now: Duration, ttl: Duration) {
        self.deadlines.insert(key, now + ttl);
    }

    /// Stops tracking the key.
    pub fn remove(&mut self, key: &K) {
        self.deadlines.remove(key);
    }

    /// The keys whose TTL has passed by `now`. A key that is still tracked is reported again after
    /// `retry_after`, because the proposal made for it may have been lost.
    pub fn expired(&mut self, now: Duration, retry_after: Duration) -> Vec<K> {
        let expired: Vec<K> = self
            .deadlines
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.deadlines.insert(key.clone(), now + retry_after);
        }
        expired
    }
}
