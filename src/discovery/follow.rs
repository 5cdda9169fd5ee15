//! Where a client of the list watches, and what it believes. Pure: told what happened, answers what to do.
//!
//! The client keeps the last list it saw for as long as it runs, goes through its addresses while none answers,
//! asks from the revision it holds, and never takes a list that is older than that.

use std::net::SocketAddr;
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};

/// The wait before a watch is tried again where there is no other address: it is an agent on this machine, which
/// answers at no cost.
pub const REWATCH: Duration = Duration::from_millis(500);

/// The addresses and the revision of one client.
#[derive(Debug)]
pub struct Follow {
    addresses: Vec<SocketAddr>,
    at: usize,
    revision: u64,
    /// Whether the next list is taken whatever its revision.
    anew: bool,
    failures: usize,
    waits: ExponentialBackoff,
}

/// What to make of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Take it.
    Take,
    /// Older than what is held: leave it aside, and watch elsewhere.
    Older,
}

fn waits() -> ExponentialBackoff {
    ExponentialBuilder::default()
        .with_min_delay(Duration::from_millis(50))
        .with_max_delay(Duration::from_secs(2))
        .with_jitter()
        .without_max_times()
        .build()
}

impl Follow {
    /// A client that may watch at any of these addresses, in this order; there must be one.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let (at, revision, anew, failures) = (0, 0, false, 0);
        Self { addresses, at, revision, anew, failures, waits: waits() }
    }

    /// Where to watch now, and from which revision.
    pub fn target(&self) -> (Option<SocketAddr>, u64) {
        (self.addresses.get(self.at).copied(), self.revision)
    }

    /// The revision held.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The service is elsewhere from now on, and may count its revisions anew: what it tells first is believed.
    pub fn moved(&mut self, addresses: Vec<SocketAddr>) {
        let revision = self.revision;
        *self = Self { revision, anew: true, ..Self::new(addresses) };
    }

    /// A list was had from elsewhere: the configuration, or the disk.
    pub fn held(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// The watch told a message of this revision.
    pub fn told(&mut self, revision: u64) -> Verdict {
        if revision < self.revision && !self.anew {
            return Verdict::Older;
        }
        (self.anew, self.failures, self.waits) = (false, 0, waits());
        self.revision = revision;
        Verdict::Take
    }

    /// The watch ended, or could not be had. How long to wait before the next, at the address that
    /// [`Self::target`] names then: none before each of the others was tried, then longer each round, with
    /// jitter, so that a bank of proxies does not come back as one.
    pub fn ended(&mut self) -> Duration {
        let others = self.addresses.len().saturating_sub(1);
        if others == 0 {
            return REWATCH;
        }
        self.at = (self.at + 1) % self.addresses.len();
        self.failures += 1;
        if self.failures <= others {
            return Duration::ZERO;
        }
        self.failures = 0;
        self.waits.next().unwrap_or(REWATCH)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn follow(n: u16) -> Follow {
        Follow::new((1..=n).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect())
    }

    fn port(follow: &Follow) -> u16 {
        follow.target().0.map_or(0, |a| a.port())
    }

    #[test]
    fn it_goes_through_its_addresses_before_it_waits_and_waits_longer_each_round() {
        let mut follow = follow(3);
        let mut longest = Duration::ZERO;
        for _ in 0..8 {
            assert_eq!(follow.ended(), Duration::ZERO);
            assert_eq!(follow.ended(), Duration::ZERO);
            let wait = follow.ended();
            assert!(wait >= Duration::from_millis(50) && wait <= Duration::from_secs(4));
            longest = longest.max(wait);
        }
        assert!(longest >= Duration::from_secs(1), "{longest:?}");
        assert_eq!(port(&follow), 1);
        follow.told(3);
        assert_eq!((follow.ended(), port(&follow)), (Duration::ZERO, 2));
    }

    #[test]
    fn an_older_revision_is_never_taken() {
        let mut follow = follow(2);
        follow.held(40);
        assert_eq!(follow.told(39), Verdict::Older);
        assert_eq!(follow.told(42), Verdict::Take);
        assert_eq!(follow.told(41), Verdict::Older);
        assert_eq!(follow.target().1, 42);
        follow.moved(vec![SocketAddr::from(([127, 0, 0, 1], 9))]);
        assert_eq!(follow.target().1, 42, "it asks from what it holds");
        assert_eq!(follow.told(7), Verdict::Take, "another service counts for itself");
        assert_eq!(follow.told(6), Verdict::Older);
    }
}
