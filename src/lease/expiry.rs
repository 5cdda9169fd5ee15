//! The leader's watch on TTLs: which leases and members were not renewed in time. Pure: told the time.
//!
//! Only the leader keeps one, in memory. A new leader starts every TTL anew, which lengthens a lease and never
//! shortens one.

use std::collections::BTreeMap;
use std::time::Duration;

/// When each key lapses, on the leader's own monotonic clock.
#[derive(Debug, Default)]
pub struct Expiry<K: Ord + Clone> {
    deadlines: BTreeMap<K, Duration>,
}

impl<K: Ord + Clone> Expiry<K> {
    /// Nothing watched yet.
    pub fn new() -> Self {
        Self { deadlines: BTreeMap::new() }
    }

    /// The key was granted or renewed at `now`.
    pub fn renewed(&mut self, key: K, now: Duration, ttl: Duration) {
        self.deadlines.insert(key, now + ttl);
    }

    /// The key is not watched any more.
    pub fn remove(&mut self, key: &K) {
        self.deadlines.remove(key);
    }

    /// The keys whose TTL has passed by `now`. Each is told again `again` later, should it still be watched:
    /// what was proposed of it may have been lost.
    pub fn expired(&mut self, now: Duration, retry_after: Duration) -> Vec<K> {
        let expired: Vec<K> =
            self.deadlines.iter().filter(|(_, at)| **at <= now).map(|(key, _)| key.clone()).collect();
        for key in &expired {
            self.deadlines.insert(key.clone(), now + retry_after);
        }
        expired
    }
}
