//! Plain records of the policy on requests and sets of upstreams. Decisions are made in [`crate::policy`].

use std::collections::VecDeque;

use crate::interface::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) sent: Time,
    pub(crate) state: AttemptState,
    /// Unanswered well past the usual latency of its class.
    pub(crate) overdue: bool,
    /// Still in flight when a second copy had to be sent to be answered in time.
    pub(crate) second_copy_due: bool,
    /// It takes no slot: the request body is incomplete, or the slot was freed before the outcome.
    pub(crate) slot_freed: bool,
}

impl Attempt {
    pub(crate) fn new(server: usize, sent: Time) -> Self {
        let (overdue, second_copy_due, slot_freed) = (false, false, false);
        Self { server, sent, state: AttemptState::InFlight, overdue, second_copy_due, slot_freed }
    }
}

#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) class: usize,
    pub(crate) drop_dead: Time,
    /// When an answer loses its worth.
    pub(crate) worth_until: Time,
    /// When a queued request must be given up.
    pub(crate) queue_until: Time,
    pub(crate) in_queue: bool,
    pub(crate) ended: bool,
    /// The request body is incomplete; and: it was consumed by an attempt and may no longer be resent.
    pub(crate) coming: bool,
    pub(crate) body_consumed: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// The key by which requests of an ordered class are serialised.
    pub(crate) order_key: Option<u64>,
}

/// The queue of requests serialised by one key, and until when the key is blocked.
#[derive(Debug)]
pub(crate) struct KeyQueue {
    pub(crate) waiting: VecDeque<RequestId>,
    pub(crate) blocked_until: Time,
}

/// Load and capacity of the upstreams that a set of classes may be sent to. The first partition is the whole fleet;
/// classes bound to the same zones and kinds share one of their own. Failure: with admission by the fleet's sums, a
/// bound class was queued for slots that it could never use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CapacityPartition {
    /// A class with this binding; `None` for the whole fleet.
    pub(crate) class: Option<usize>,
    pub(crate) queued: usize,
    pub(crate) in_flight: usize,
    /// Requests of other proxies in flight there, if load reports are available.
    pub(crate) others_in_flight: Option<f64>,
    /// This proxy's even share of the slots, the slots that it may use, and the sum of N_i per microsecond over live
    /// upstreams.
    pub(crate) even: f64,
    pub(crate) slots: f64,
    pub(crate) n_per_time: f64,
}

/// Throughput of a kind of upstream with a given number of own requests in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Level {
    /// This round: microseconds at the level, and work done there in mean answers.
    pub(crate) time: f64,
    pub(crate) done: f64,
    /// Of all rounds: work done, and the work that the level in use would have done in that time. Their ratio is not
    /// affected when the fleet slows down as a whole.
    pub(crate) total: f64,
    pub(crate) expected: f64,
}

/// A tenant's share at this proxy, as a token bucket of requests.
#[derive(Debug)]
pub(crate) struct Quota {
    pub(crate) tokens: f64,
    pub(crate) counted: Time,
}

/// State of the list calls where the list is sent only on request: the next call, and consecutive failures.
#[derive(Debug)]
pub(crate) struct ListCalls {
    pub(crate) subscribed: bool,
    pub(crate) next: Time,
    pub(crate) failures: i32,
}

impl RequestState {
    pub(crate) fn new(
        r: &Request,
        worth_until: Time,
        queue_until: Time,
        order_key: Option<u64>,
    ) -> Self {
        Self {
            class: r.class,
            drop_dead: r.drop_dead,
            worth_until,
            queue_until,
            in_queue: false,
            ended: false,
            coming: r.coming,
            body_consumed: false,
            attempts: Vec::new(),
            order_key,
        }
    }
    pub(crate) fn has_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.state == AttemptState::InFlight)
    }
    /// Until when an attempt may begin: the request's deadline and, if it is keyed, the end of the deduplication window
    /// of each attempt that may have run.
    pub(crate) fn latest_begin(&self, class: &Class) -> Time {
        let keyed = self.may_have_run().filter(|_| class.effect == Effect::Keyed);
        keyed.map(|a| a.sent.plus(class.window)).fold(self.drop_dead, Time::min)
    }
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.state != AttemptState::NeverRan)
    }
    pub(crate) fn all_never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.state == AttemptState::NeverRan)
    }
}

impl Settings {
    /// One partition for the whole fleet and one for each set of upstreams that some class is bound to; and the index
    /// of each class's partition.
    pub(crate) fn partitions(&self) -> (Vec<CapacityPartition>, Vec<usize>) {
        let (mut partitions, mut partition_of) = (vec![CapacityPartition::default()], Vec::new());
        for (i, c) in self.classes.iter().enumerate() {
            let like = |r: &CapacityPartition| {
                let of = r.class.map(|o| &self.classes[o]);
                of.map(|o| (&o.zones, &o.kinds)).unwrap_or((&None, &None)) == (&c.zones, &c.kinds)
            };
            partition_of.push(partitions.iter().position(like).unwrap_or_else(|| {
                partitions
                    .push(CapacityPartition { class: Some(i), ..CapacityPartition::default() });
                partitions.len() - 1
            }));
        }
        (partitions, partition_of)
    }
}
