//! The load balancing policy: a deterministic state machine without clock, I/O or threads.
//! Its interface (settings, events, actions) is in `src/interface.rs`, its plain records in `src/state.rs`.
//! The base algorithm is that of Ould Deye et al.: a FIFO queue, at most `K_i = 2*TP_i/TS_i + 1` requests in
//! flight per upstream, and refusal once queued plus in-flight requests reach the sum of
//! `N_i = T_QoS / (2*TP_i + TS_i)`.

mod admission;
mod breaker;
mod choice;
mod estimates;
mod membership;
mod retries;
mod slow_start;
mod tenants;

use std::collections::VecDeque;

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use crate::interface::*;
use crate::state::*;

/// Weight of a new answer in a moving average: about the last eight answers count.
const TS_GAIN: f64 = 0.125;
/// Weight of a new answer in the fleet-wide mean latency of its class.
const MEAN_GAIN: f64 = 0.02;
/// Upper bound of one answer's slowness: a single heavy request must not mark its upstream as slow.
const SLOWNESS_MAX: f64 = 10.0;
/// Upstreams within this ring distance, half a fair share to either side, are this proxy's own.
const OWN_DISTANCE: f64 = 0.5;
/// Maximum random delay of a list call, as a share of `ask_every`: restarts of many proxies at once must not
/// overload the list service.
const LIST_CALL_JITTER_SHARE: f64 = 0.05;
/// Maximum delay of the first list call and of the call after a failed one. A proxy is deemed notified 6 s
/// after an update was available (STANDING), and the call itself may have to wait in a queue as well.
const MAX_LIST_CALL_DELAY: Span = Span(2_000_000);
/// A list call that is unanswered for this share of `ask_every` is repeated.
const LIST_CALL_RETRY_SHARE: f64 = 0.5;

/// The load balancing policy of one proxy in the fleet.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    t_qos: f64,
    rng: Rand64,
    started: bool,
    servers: Vec<Server>,
    /// Live upstreams in ascending order of cost: near and fast ones first.
    preference: Vec<usize>,
    by_id: FxHashMap<ServerId, usize>,
    requests: FxHashMap<RequestId, RequestState>,
    queue: VecDeque<RequestId>,
    key_queues: FxHashMap<u64, KeyQueue>,
    partitions: Vec<CapacityPartition>,
    /// Index into `partitions` by class.
    partition_of: Vec<usize>,
    /// Attempts without an outcome, as request and attempt index; and the budget of second copies.
    in_flight_attempts: Vec<(RequestId, usize)>,
    second_copy_budget: f64,
    /// By class: so many upstreams are paused for the class that its pauses are ignored (panic mode).
    panic: Vec<bool>,
    fleet: Fleet,
    /// Token bucket of each tenant's share.
    quotas: Vec<Quota>,
    list_calls: ListCalls,
}

const SWEEP_TIMER: u64 = 1;

impl Balancer {
    /// Creates a balancer without upstreams. The first event starts its timers, so the caller should deliver
    /// the available list at once, even if it is only an empty [`ListKind::Restored`].
    ///
    /// # Errors
    /// The settings name no class, or a class with an aim or deadline that is not above zero.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let settings = settings.checked()?;
        let t_qos = settings.t_qos();
        let (partitions, partition_of) = settings.partitions();
        let classes = settings.classes.len();
        Ok(Self {
            t_qos,
            rng: Rand64::new(u128::from(seed)),
            started: false,
            servers: Vec::new(),
            preference: Vec::new(),
            by_id: FxHashMap::default(),
            requests: FxHashMap::default(),
            queue: VecDeque::new(),
            key_queues: FxHashMap::default(),
            partitions,
            partition_of,
            in_flight_attempts: Vec::new(),
            second_copy_budget: 1.0,
            panic: vec![false; classes],
            fleet: Fleet::new(t_qos, classes, now),
            quotas: settings.tenants.iter().map(|_| Quota { tokens: 1.0, counted: now }).collect(),
            list_calls: ListCalls { subscribed: false, next: now, failures: 0 },
            settings,
        })
    }

    /// Processes an event and appends the resulting actions in the order in which they must be carried out.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) {
            self.list_calls.next =
                now.plus(self.jitter(LIST_CALL_JITTER_SHARE).min(MAX_LIST_CALL_DELAY));
            self.arm_sweep_timer(now, actions);
        }
        match event {
            Event::Members { kind, list } => self.handle_members(now, kind, list, actions),
            Event::Request(r) => self.handle_request(now, r, actions),
            Event::Answered(a) => self.handle_outcome(now, a, actions),
            Event::BodyComplete(id) => self.handle_body_complete(now, id),
            Event::Started(id) | Event::Left(id) => self.end(id),
            Event::Timer(SWEEP_TIMER) => self.handle_timer(now, actions),
            Event::Timer(_) | Event::Probed { .. } => {}
        }
    }

    fn jitter(&mut self, of_every: f64) -> Span {
        Span::of(self.rng.rand_float() * of_every * self.settings.rules.ask_every.f())
    }

    fn arm_sweep_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        actions.push(Action::Arm { token: SWEEP_TIMER, at: now.plus(self.settings.sweep_every()) });
    }

    fn handle_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.check_overdue(now);
        self.refresh_warm(now);
        self.refresh_concurrency(now);
        self.refresh_fleet(now);
        self.expire_queued(now, actions);
        self.dispatch(now, actions);
        self.key_queues.retain(|_, l| !l.waiting.is_empty() || now < l.blocked_until);
        for i in 0..self.servers.len() {
            if now <= self.servers[i].close_until {
                self.close_idle(now, i, actions);
            }
        }
        self.ask_for_list(now, actions);
        self.arm_sweep_timer(now, actions);
    }

    fn ask_for_list(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.settings.must_ask || self.list_calls.subscribed || now < self.list_calls.next {
            return;
        }
        actions.push(Action::Subscribe);
        let again = Span::of(self.settings.rules.ask_every.f() * LIST_CALL_RETRY_SHARE);
        self.list_calls.next = now.plus(again).plus(self.jitter(LIST_CALL_JITTER_SHARE));
    }
}
