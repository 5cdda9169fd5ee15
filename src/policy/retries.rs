//! Attempts: which upstreams are eligible, how outcomes are processed, and when a request is retried.

use super::*;

/// Pause of an upstream that rejected a request or can't be reached, as a share of the mean service time.
const PAUSE_SHARE_OF_TS: f64 = 0.5;
/// Maximum number of doublings of that pause: about thirty service times between attempts at a dead upstream.
const MAX_PAUSE_DOUBLINGS: u32 = 6;
/// Maximum number of doublings of the pause for one class. Higher, as each attempt at such an upstream costs
/// a request, and a doubling pause is never much longer than the fault has lasted.
const MAX_CLASS_PAUSE_DOUBLINGS: u32 = 10;
/// An attempt is overdue this many mean deviations after its class's mean latency.
const OVERDUE_DEVIATIONS: f64 = 3.0;
/// A second copy is sent after at least this many times the class's mean latency.
const MIN_SECOND_COPY_MEANS: f64 = 1.5;
/// A second copy is sent only where more than this share of such late attempts were never answered: a slow
/// fleet must not get more load.
const MIN_UNANSWERED_SHARE: f64 = 0.4;
/// Relative change of the overcommit limit per answer.
const OVERCOMMIT_GAIN: f64 = 0.02;
/// An answer that took more than this many times the baseline shows congestion: a single request ahead of it
/// makes the ratio two.
const CROWDED_LATENCY_RATIO: f64 = 1.5;
/// The limit falls this many times faster than it rises, since the excess belongs to other proxies.
const OVERCOMMIT_DECREASE: f64 = 1.5;
/// It falls this many times faster again after a rejection by an upstream.
const REJECTION_DECREASE: f64 = 6.0;
/// A proxy whose even share is more upstreams than this needs less overcommit, as bursts average out.
const FEW_UPSTREAMS: f64 = 3.0;
/// Weight of a new answer in the baseline TS when the current TS is higher.
const BASELINE_TS_GAIN: f64 = 1.0 / 1024.0;

impl Balancer {
    /// Whether a request may be sent (again) to this upstream now. All sends are checked here.
    pub(super) fn may_send(
        &self,
        now: Time,
        id: RequestId,
        e: &RequestState,
        server: usize,
    ) -> bool {
        self.is_eligible(now, e, server)
            && self.is_next_for_key(now, id, e)
            && self.slow_start_allows(now, &self.servers[server])
    }

    /// Whether the zones and kinds that the class is bound to include this upstream; always for no class.
    pub(super) fn open_to(&self, class: Option<usize>, s: &Server) -> bool {
        let Some(c) = class.map(|c| &self.settings.classes[c]) else { return true };
        c.zones.as_ref().is_none_or(|z| z.contains(&s.zone))
            && c.kinds.as_ref().is_none_or(|k| k.contains(&s.kind))
    }

    /// Conditions that waiting does not change: drain, placement, effect, group, number of attempts.
    pub(super) fn is_eligible(&self, now: Time, e: &RequestState, server: usize) -> bool {
        let limits = &self.settings.limits;
        let s = &self.servers[server];
        let class = &self.settings.classes[e.class];
        let shut = s.status != Status::Live || !self.open_to(Some(e.class), s);
        let over = e.ended || e.body_consumed || now >= e.latest_begin(class);
        if shut || over || e.attempts.len() >= limits.max_attempts {
            return false;
        }
        let there = |a: &Attempt| a.state == AttemptState::InFlight && a.server == server;
        if e.has_in_flight() && (!limits.second_copies || e.coming || e.attempts.iter().any(there))
        {
            return false;
        }
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => e.all_never_ran(),
            Effect::Keyed => {
                e.may_have_run().all(|a| self.same_group(class.group, a.server, server))
            }
        }
    }

    pub(super) fn same_group(&self, group: Group, a: usize, b: usize) -> bool {
        let (a, b) = (&self.servers[a], &self.servers[b]);
        match group {
            Group::All => true,
            Group::Zone => a.zone == b.zone,
            Group::Cell => a.zone == b.zone && a.cell == b.cell,
        }
    }

    /// Whether a request may be refused, that is, can safely be sent again by its client. All refusals of
    /// requests that were sent are checked here.
    pub(super) fn may_refuse(&self, e: &RequestState) -> bool {
        let class = &self.settings.classes[e.class];
        let dropped = class.effect == Effect::Keyed && class.group == Group::All;
        class.effect == Effect::Safe || dropped || e.all_never_ran()
    }

    pub(super) fn handle_outcome(&mut self, now: Time, a: Answer, actions: &mut Vec<Action>) {
        let Some(e) = self.requests.get_mut(&a.request) else { return };
        let Some(attempt) =
            e.attempts.get_mut(a.attempt).filter(|t| t.state == AttemptState::InFlight)
        else {
            return;
        };
        attempt.state =
            if a.outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let (attempt, server) = (*attempt, attempt.server);
        e.body_consumed |= a.spent;
        let (class, order_key) = (e.class, e.order_key);
        let may_run = matches!(a.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if let Some(key_queue) =
            order_key.filter(|_| may_run).and_then(|k| self.key_queues.get_mut(&k))
        {
            key_queue.blocked_until = now.plus(self.settings.rules.turn_gap);
        }
        self.learn(now, class, attempt, &a);
        self.close_idle(now, server, actions);
        if a.last || a.outcome == Outcome::Ok {
            self.end(a.request);
        } else {
            self.requeue_or_give_up(now, a.request, actions);
        }
        self.dispatch(now, actions);
    }

    /// The body is complete: the upstream starts work, and the attempt takes a slot from now on.
    pub(super) fn handle_body_complete(&mut self, now: Time, id: RequestId) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        (e.coming, e.body_consumed) = (false, e.has_in_flight());
        let Some(a) = e.attempts.iter_mut().find(|a| a.state == AttemptState::InFlight) else {
            return;
        };
        (a.sent, a.slot_freed) = (now, false);
        let server = a.server;
        self.count_in_flight(server, 1);
    }

    pub(super) fn learn(&mut self, now: Time, class: usize, attempt: Attempt, a: &Answer) {
        let server = attempt.server;
        // Clamped, as a single absurd latency would distort the mean of its class for good.
        let latency = a.latency.f().clamp(1.0, self.settings.classes[class].deadline.f());
        self.count_level(now, server, (a.outcome == Outcome::Ok).then_some(class));
        // Latencies on trial are not learned: they would make the upstream look slow.
        let on_trial = self.servers[server].in_flight > self.k(&self.servers[server], 0);
        if a.outcome == Outcome::Ok && !on_trial {
            self.learn_class_mean(class, latency);
        }
        if a.outcome == Outcome::Ok {
            self.count_served(now, server);
        }
        if let Some(n) = a.report.inflight.filter(|n| *n >= 0.0) {
            let load = self.fleet.load.get_or_insert(n);
            *load += (n - *load) * TS_GAIN;
            // A hung upstream may report dozens, but counts as no more than its own N_i against the fleet's
            // free capacity.
            let fits = self.n_rate(&self.servers[server]) * (self.fleet.ts + self.fleet.max_wait);
            let (free, report_weight) = self.fleet.free;
            let decay = 1.0 - MEAN_GAIN;
            self.fleet.free =
                (free * decay + (1.0 - n / fits).max(0.0), report_weight * decay + 1.0);
            let s = &mut self.servers[server];
            s.others_in_flight +=
                ((n + 1.0 - f64::from(s.in_flight)).max(0.0) - s.others_in_flight) * TS_GAIN;
        }
        let mean = self.fleet.mean[class];
        let mean = if mean > 0.0 { mean } else { self.fleet.ts };
        self.learn_overcommit(latency / mean, a);
        let s = &mut self.servers[server];
        if attempt.second_copy_due && a.outcome != Outcome::Cancelled {
            let unanswered_share = &mut self.fleet.unanswered_share[class];
            *unanswered_share +=
                (f64::from(a.outcome != Outcome::Ok) - *unanswered_share) * TS_GAIN;
        }
        let already_learned = attempt.overdue && a.outcome == Outcome::Timeout;
        if !already_learned && (a.outcome != Outcome::Ok || !on_trial) {
            s.estimate.learn(a.outcome, latency, mean);
        }
        match a.outcome {
            Outcome::Full | Outcome::ConnectFailed => {
                s.breaker.trip(now, self.fleet.ts * PAUSE_SHARE_OF_TS, MAX_PAUSE_DOUBLINGS);
            }
            Outcome::Ok => {
                s.last_answered_sent = s.last_answered_sent.max(attempt.sent);
                s.breaker.faults = 0;
                s.by_class[class] = Breaker::default();
            }
            Outcome::Error | Outcome::Timeout | Outcome::Reset if !attempt.overdue => {
                s.by_class[class].trip(now, mean, MAX_CLASS_PAUSE_DOUBLINGS);
            }
            _ => {}
        }
        if !attempt.slot_freed {
            self.count_in_flight(server, -1);
        }
    }

    /// Adjusts the overcommit limit by whether an answer shows congestion. The remaining
    /// proxies need more than their shares when others are lost.
    pub(super) fn learn_overcommit(&mut self, latency: f64, a: &Answer) {
        let (f, outcome) = (&mut self.fleet, a.outcome);
        let latency = match outcome {
            Outcome::Ok => latency.min(SLOWNESS_MAX),
            // A rejection with an empty queue is of the class and shows no congestion.
            Outcome::Full if a.report.queue.is_none_or(|q| q >= 1.0) => SLOWNESS_MAX,
            _ => return,
        };
        f.baseline_ts += if f.ts < f.baseline_ts {
            f.ts - f.baseline_ts
        } else {
            (f.ts - f.baseline_ts) * BASELINE_TS_GAIN
        };
        // Below the even share, latencies show heavy requests rather than congestion.
        let idle = self.partitions[0].in_flight as f64 + 1.0 < self.partitions[0].even;
        if idle && outcome == Outcome::Ok {
            return;
        }
        let crowded = latency * f.ts / f.baseline_ts > CROWDED_LATENCY_RATIO;
        let even = self.preference.len() as f64 / f64::from(self.settings.balancers);
        let full = if outcome == Outcome::Ok { 1.0 } else { REJECTION_DECREASE };
        let fall = OVERCOMMIT_DECREASE * (even / FEW_UPSTREAMS).max(1.0) * full;
        f.overcommit *= 1.0 + OVERCOMMIT_GAIN * if crowded { -fall } else { 1.0 };
        f.overcommit = f
            .overcommit
            .clamp(BASE_OVERCOMMIT, BASE_OVERCOMMIT.max(f64::from(self.settings.balancers)));
    }

    /// When an attempt is overdue, well past its class's usual latency; and when a second copy must be sent
    /// to be answered in time.
    pub(super) fn overdue_at(&self, e: &RequestState, a: &Attempt) -> (Time, Time) {
        let class = &self.settings.classes[e.class];
        let (mean, dev) = (self.fleet.mean[e.class], self.fleet.dev[e.class]);
        if mean == 0.0 {
            return (a.sent.plus(class.aim), a.sent.plus(class.aim));
        }
        let overdue_after = mean + OVERDUE_DEVIATIONS * dev;
        let left = e.queue_until.since(a.sent).f() - mean;
        let again = overdue_after.min(left).max(mean * MIN_SECOND_COPY_MEANS);
        (a.sent.plus(Span::of(overdue_after)), a.sent.plus(Span::of(again)))
    }

    /// Checks the attempts in flight. An overdue attempt counts as a fault of its upstream for its class.
    /// When a second copy is due, it is queued for another upstream if it is allowed, likely to help and
    /// within budget. Guards against hung and vanished upstreams, lost answers, process stalls, a class that
    /// goes unanswered, and dead connections. Drawback: where requests of one class differ widely, a heavy
    /// one looks lost.
    pub(super) fn check_overdue(&mut self, now: Time) {
        for (id, n) in std::mem::take(&mut self.in_flight_attempts) {
            let Some(e) = self.requests.get(&id) else { continue };
            let Some(a) = e.attempts.get(n).filter(|a| a.state == AttemptState::InFlight).copied()
            else {
                continue;
            };
            self.in_flight_attempts.push((id, n));
            let (late_at, again_at) = self.overdue_at(e, &a);
            let past = |at| !e.coming && now >= at;
            let (late, second_copy_due) =
                (a.overdue || past(late_at), a.second_copy_due || past(again_at));
            let partition = &self.partitions[self.partition_of[e.class]];
            let idle = partition.queued == 0 && (partition.in_flight as f64) < partition.slots;
            let likely = self.fleet.unanswered_share[e.class] > MIN_UNANSWERED_SHARE;
            let again = second_copy_due
                && !a.second_copy_due
                && likely
                && idle
                && self.second_copy_budget >= 1.0;
            let again = again && !e.ended && !e.in_queue && now < e.queue_until;
            let again = again && self.preference.iter().any(|&i| self.is_eligible(now, e, i));
            let (class, s) = (e.class, &mut self.servers[a.server]);
            // An upstream that answered a later attempt has lost this one, which frees its slot.
            let lost = late && !a.slot_freed && s.last_answered_sent > a.sent;
            if late && !a.overdue {
                let mean = self.fleet.mean[class].max(1.0);
                s.estimate.learn(Outcome::Timeout, now.since(a.sent).f(), mean);
                s.by_class[class].trip(now, mean, MAX_CLASS_PAUSE_DOUBLINGS);
            }
            if again {
                self.second_copy_budget -= 1.0;
                self.enqueue(id, true);
            }
            if lost {
                self.count_level(now, a.server, None);
                self.count_in_flight(a.server, -1);
            }
            if let Some(a) = self.requests.get_mut(&id).and_then(|e| e.attempts.get_mut(n)) {
                (a.overdue, a.second_copy_due, a.slot_freed) =
                    (late, second_copy_due, a.slot_freed || lost);
            }
        }
    }

    /// After an unsuccessful attempt: queues the request again if it may still be sent, else ends it.
    pub(super) fn requeue_or_give_up(
        &mut self,
        now: Time,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(e) = self.requests.get(&id) else { return };
        if e.ended {
            return self.end(id);
        }
        if e.in_queue || e.has_in_flight() {
            return;
        }
        let again = self.preference.iter().any(|&i| self.is_eligible(now, e, i));
        if again && now < e.queue_until {
            self.enqueue(id, true);
        } else {
            self.refuse_or_fail(id, actions);
        }
    }

    pub(super) fn refuse_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(e) = self.requests.get(&id) else { return };
        if self.may_refuse(e) {
            self.refuse(id, actions);
        } else {
            actions.push(Action::Fail { request: id });
            self.end(id);
        }
    }

    /// Removes requests that have exceeded their queueing time.
    pub(super) fn expire_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        let late = |id: &&RequestId| {
            self.requests.get(id).is_some_and(|e| e.in_queue && now >= e.queue_until)
        };
        let late: Vec<RequestId> = self.queue.iter().filter(late).copied().collect();
        for id in late {
            // A request with an attempt in flight was queued for a second copy; the first may still be
            // answered.
            if let Some(e) = self.requests.get_mut(&id).filter(|e| e.has_in_flight()) {
                e.in_queue = false;
                let class = e.class;
                self.count_queued(class, -1);
            } else {
                self.refuse_or_fail(id, actions);
            }
        }
    }
}
