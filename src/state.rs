//! Plain records of the policy on requests, upstreams and the fleet. Decisions are made in [`crate::policy`].

use std::collections::VecDeque;

use crate::interface::*;

/// Period of the sweep timer as a share of the shortest aim; short, so that queued requests are refused close
/// to their time limit.
const SWEEP_PERIOD_SHARE_OF_AIM: f64 = 1.0 / 32.0;
/// Maximum concurrency of an upstream that is tried.
pub(crate) const MAX_CONCURRENCY: usize = 32;
/// Initial and least overcommit: a proxy's limit as a multiple of its even share of the fleet's slots. Above
/// 1 because clients never spread evenly over the proxies.
pub(crate) const BASE_OVERCOMMIT: f64 = 1.2;
/// Initial TS before the first answer from any upstream, as a share of T_QoS.
pub(crate) const INITIAL_TS_SHARE_OF_QOS: f64 = 0.25;

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
/// classes bound to the same zones and kinds share one of their own, so that none is queued for slots that it cannot
/// use.
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

/// Concurrency of one kind of upstream: how many requests it processes in parallel. The paper assumes one,
/// and upstreams do not report it. It is learned from the rate of answers at each level, that is, number of
/// own requests in flight at an upstream.
///
/// The latency at each level does not tell it: the attempts that finish before a concurrent one are the short ones.
#[derive(Clone, Debug)]
pub(crate) struct Concurrency {
    pub(crate) count: usize,
    pub(crate) level: Vec<Level>,
}

/// Estimates for one upstream: the round trip is split into 2*TP + TS. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// 2*TP, twice the propagation time: the least round trip of any answer. Known once the upstream has
    /// rejected a request, as a rejection involves no work.
    pub(crate) tp2: Option<f64>,
    pub(crate) min_round_trip: f64,
    /// Service time, including queueing at the upstream, relative to the fleet's mean for the same class.
    /// TS_i is this times the fleet's TS, so it does not depend on the mix of classes that it received.
    pub(crate) slowness: f64,
}

/// A circuit breaker that pauses an upstream after a fault; the pause doubles with each consecutive fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Breaker {
    pub(crate) until: Time,
    pub(crate) faults: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        Self { until: Time(i64::MIN), faults: 0 }
    }
}

/// An upstream as this proxy sees it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) zone: u32,
    pub(crate) kind: u32,
    pub(crate) cell: u32,
    pub(crate) status: Status,
    pub(crate) weight: f64,
    pub(crate) started: Option<Time>,
    pub(crate) identity: u64,
    pub(crate) in_flight: u32,
    /// When `in_flight` last changed.
    pub(crate) in_flight_changed: Time,
    /// Tripped by rejections and failed connections; `by_class` by errors, resets, time-outs and overdue
    /// attempts of one class.
    pub(crate) breaker: Breaker,
    pub(crate) by_class: Vec<Breaker>,
    /// Send time of the most recently sent attempt that was answered.
    pub(crate) last_answered_sent: Time,
    pub(crate) estimate: Estimate,
    /// Slow start: token bucket of sends to a recently started upstream, and when it was last refilled.
    pub(crate) tokens: f64,
    pub(crate) refilled: Time,
    /// Trial offset to the concurrency of its kind.
    pub(crate) trial: i32,
    /// Mean number of requests that other proxies have in flight there, from load reports; 1 before any
    /// report.
    pub(crate) others_in_flight: f64,
    /// Ring distance from this proxy's position, in units of one proxy's share of the fleet.
    pub(crate) distance: f64,
    /// Until when idle connections to it are closed on every sweep, where `drain_close` is set.
    pub(crate) close_until: Time,
}

/// Fleet-wide estimates of this proxy. Times are in microseconds.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) ts: f64,
    /// Mean latency of each class (0 before the first answer), and its mean deviation.
    pub(crate) mean: Vec<f64>,
    pub(crate) dev: Vec<f64>,
    /// By class: share of the attempts still in flight when a second copy was due that were never served.
    pub(crate) unanswered_share: Vec<f64>,
    /// The longest wait that still meets the aim of every class, and the share of it that each class may use.
    pub(crate) max_wait: f64,
    pub(crate) wait_share: Vec<f64>,
    pub(crate) tp2: f64,
    /// By kind of upstream; and when the last trials began.
    pub(crate) concurrency: Vec<Concurrency>,
    pub(crate) last_trial: Time,
    /// This proxy's limit as a multiple of its even share of the fleet's slots; and TS without congestion,
    /// the baseline for it: where all proxies congest the fleet, its current TS shows no congestion.
    pub(crate) overcommit: f64,
    pub(crate) baseline_ts: f64,
    /// Answers of warm upstreams, as a decaying count by kind; and their highest recent rate per microsecond
    /// and unit of weight, by kind and overall.
    pub(crate) warm_served: Vec<f64>,
    pub(crate) warm_rate: Vec<f64>,
    pub(crate) overall_warm_rate: f64,
    pub(crate) counted: Time,
    /// Mean number of requests of all proxies at one upstream, from load reports.
    pub(crate) load: Option<f64>,
    /// Free share of the upstreams' N_i, from load reports: a decaying sum, and its weight.
    pub(crate) free: (f64, f64),
}

impl Concurrency {
    pub(crate) fn new() -> Self {
        Self { count: 1, level: vec![Level::default(); MAX_CONCURRENCY + 1] }
    }
}

impl Estimate {
    /// Before any answer: the fleet's mean.
    pub(crate) const NONE: Self = Self { tp2: None, min_round_trip: f64::INFINITY, slowness: 1.0 };
}

impl Fleet {
    pub(crate) fn new(t_qos: f64, classes: usize, now: Time) -> Self {
        Self {
            ts: t_qos * INITIAL_TS_SHARE_OF_QOS,
            mean: vec![0.0; classes],
            dev: vec![0.0; classes],
            unanswered_share: vec![0.0; classes],
            max_wait: t_qos * INITIAL_TS_SHARE_OF_QOS,
            wait_share: vec![1.0; classes],
            concurrency: vec![Concurrency::new()],
            last_trial: now,
            overcommit: BASE_OVERCOMMIT,
            baseline_ts: t_qos,
            counted: now,
            ..Self::default()
        }
    }
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
    /// T_QoS in microseconds: the mean of the class aims, one target for all classes.
    pub(crate) fn t_qos(&self) -> f64 {
        self.classes.iter().map(|c| c.aim.f()).sum::<f64>() / self.classes.len() as f64
    }

    pub(crate) fn sweep_every(&self) -> Span {
        let aim = self.classes.iter().map(|c| c.aim.0).min().unwrap_or(0);
        Span(((aim as f64 * SWEEP_PERIOD_SHARE_OF_AIM) as i64).max(self.tick.0))
    }

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
