//! Plain records that the policy keeps of requests and of sets of upstreams. No decision is made here;
//! see [`crate::policy`].

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
    /// Unanswered for too long.
    pub(crate) overdue: bool,
    /// Out at the time when a second copy had to go to be in time.
    pub(crate) second_copy_due: bool,
    /// Its slot was given back before its outcome came.
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
    /// When an answer stops being worth anything.
    pub(crate) worth_until: Time,
    /// When a held request must be given up.
    pub(crate) queue_until: Time,
    pub(crate) in_queue: bool,
    pub(crate) ended: bool,
    /// Its body is still coming; and: is of no further use.
    pub(crate) coming: bool,
    pub(crate) body_consumed: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// The key whose turn it waits for.
    pub(crate) order_key: Option<u64>,
}

/// The requests of one key that are to run in turn, and until when the key rests.
#[derive(Debug)]
pub(crate) struct KeyQueue {
    pub(crate) waiting: VecDeque<RequestId>,
    pub(crate) blocked_until: Time,
}

/// What the upstreams that one set of classes may be sent to hold and can hold. The first room is the whole
/// fleet; a class bound to zones or kinds has a room of its own. Failure: refused and held by the sums of the
/// whole fleet, a bound class queued behind slots it could never have.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CapacityPartition {
    /// A class that is bound so; `None` for the whole fleet.
    pub(crate) class: Option<usize>,
    pub(crate) queued: usize,
    pub(crate) in_flight: usize,
    /// What other proxies have out there, where reports tell it.
    pub(crate) others_in_flight: Option<f64>,
    /// This proxy's even part of the slots, the slots it has, and the sum of 1 / (2*TP_i + TS_i) over live
    /// upstreams.
    pub(crate) even: f64,
    pub(crate) slots: f64,
    pub(crate) n_per_time: f64,
}

/// What was seen of a kind of upstream while so many own requests were out there.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Level {
    /// This round: time spent at the level, and work done there.
    pub(crate) time: f64,
    pub(crate) done: f64,
    /// Of all rounds: work done, and what the level in use would have done in that time. A fleet that slows
    /// down as a whole changes neither against the other.
    pub(crate) total: f64,
    pub(crate) expected: f64,
}

/// A tenant's share at this proxy, as a bucket of requests.
#[derive(Debug)]
pub(crate) struct Quota {
    pub(crate) tokens: f64,
    pub(crate) counted: Time,
}

/// Where the list must be asked: when to ask next.
#[derive(Debug)]
pub(crate) struct ListCalls {
    pub(crate) subscribed: bool,
    pub(crate) next: Time,
    pub(crate) failures: i32,
}

impl RequestState {
    pub(crate) fn new(r: &Request, worth_until: Time, queue_until: Time, order_key: Option<u64>) -> Self {
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
    /// Until when an attempt may begin: the request's own time, and where it is keyed the window of each that may
    /// have run.
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
    /// One room for the whole fleet, and one for each set of upstreams that some class is bound to.
    pub(crate) fn partitions(&self) -> (Vec<CapacityPartition>, Vec<usize>) {
        let (mut partitions, mut partition_of) = (vec![CapacityPartition::default()], Vec::new());
        for (i, c) in self.classes.iter().enumerate() {
            let like = |r: &CapacityPartition| {
                let of = r.class.map(|o| &self.classes[o]);
                of.map(|o| (&o.zones, &o.kinds)).unwrap_or((&None, &None)) == (&c.zones, &c.kinds)
            };
            partition_of.push(partitions.iter().position(like).unwrap_or_else(|| {
                partitions.push(CapacityPartition { class: Some(i), ..CapacityPartition::default() });
                partitions.len() - 1
            }));
        }
        (partitions, partition_of)
    }
}
