//! Estimates learned from answers: TP, TS and concurrency of the upstreams, and K_i and N_i derived from
//! them.

use super::*;

/// A failed attempt counts as at least this many mean service times.
const FAULT_SLOWNESS: f64 = 5.0;
/// Panic mode: when more than this share of the upstreams is paused for a class, the fleet as a whole is
/// slow, and the pauses for that class are ignored.
const PANIC_THRESHOLD: f64 = 0.75;
/// An upstream more than this many times slower than the mean is an outlier.
const OUTLIER_SLOWNESS: f64 = 2.0;
/// Added to the ring distance in an upstream's cost, so that slowness counts even at distance 0.
const MIN_DISTANCE: f64 = 0.1;
/// Weight in answers of the paper's assumption, that a level has no more throughput than the one below it.
const LEVEL_PRIOR_ANSWERS: f64 = 16.0;
/// Number of answers after which a level's history is halved.
const LEVEL_MEMORY_ANSWERS: f64 = 128.0;
/// A round ends after this many answers at the level in use, against which the other levels are measured.
const MIN_ROUND_ANSWERS: f64 = 8.0;
/// Cap on the time booked for one answer, in service times: a longer gap shows a fault.
const MAX_GAP_SERVICE_TIMES: f64 = 5.0;
/// The lowest concurrency with this share of the best throughput is used; more would cost latency.
const SUFFICIENT_THROUGHPUT_SHARE: f64 = 0.75;
/// Duration of a trial in service times: enough for a few answers at each level.
const TRIAL_SERVICE_TIMES: f64 = 4.0;
/// Share of the upstreams tried with higher concurrency once enough is known of that level.
const TRIAL_SHARE: f64 = 1.0 / 96.0;

impl Estimate {
    /// Updates the estimate from an outcome with this latency; `mean` is the fleet's mean for its class. Both
    /// are in microseconds.
    pub(super) fn learn(&mut self, outcome: Outcome, latency: f64, mean: f64) {
        // The least of all, since a rejection is late where the upstream's process stalls.
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            self.min_round_trip = self.min_round_trip.min(latency);
            self.tp2 =
                (outcome == Outcome::Full || self.tp2.is_some()).then_some(self.min_round_trip);
        }
        let service = (latency - self.tp2.unwrap_or(0.0)).max(1.0) / mean;
        let service = match outcome {
            Outcome::Ok => service,
            // A quick error must not look like a fast upstream, which would be given more slots.
            Outcome::Error | Outcome::Timeout | Outcome::Reset => service.max(FAULT_SLOWNESS),
            _ => return,
        };
        self.slowness += (service.min(SLOWNESS_MAX) - self.slowness) * TS_GAIN;
    }
}

impl Concurrency {
    /// Ends the round if enough answers were seen, and selects the lowest concurrency with sufficient
    /// throughput.
    pub(super) fn choose(&mut self) {
        let now = self.level[self.count];
        if now.done < MIN_ROUND_ANSWERS {
            return;
        }
        let rate = now.done / now.time.max(1.0);
        let mut gain = [0.0; MAX_CONCURRENCY + 1];
        let (mut top, mut best) = (1, 0.0);
        for n in 1..=MAX_CONCURRENCY {
            let l = &mut self.level[n];
            (l.total, l.expected) = (l.total + l.done, l.expected + l.time * rate);
            (l.time, l.done) = (0.0, 0.0);
            if l.total > LEVEL_MEMORY_ANSWERS {
                (l.total, l.expected) = (l.total / 2.0, l.expected / 2.0);
            }
            let below = if n == 1 { 1.0 } else { gain[n - 1] };
            gain[n] = (l.total + LEVEL_PRIOR_ANSWERS * below) / (l.expected + LEVEL_PRIOR_ANSWERS);
            if l.expected > 0.0 {
                (top, best) = (n, gain[n].max(best));
            }
        }
        let enough =
            (1..=top).find(|&n| gain[n] >= SUFFICIENT_THROUGHPUT_SHARE * best).unwrap_or(1);
        if enough != self.count {
            self.count = enough;
            self.level.iter_mut().for_each(|l| l.expected *= gain[enough]);
        }
    }

    /// The level to try next, and whether enough is known of it. The step is a doubling, as
    /// the gain of a step of one may be less than SUFFICIENT_THROUGHPUT_SHARE requires.
    pub(super) fn next(&self) -> (usize, bool) {
        let next = (2 * self.count).min(MAX_CONCURRENCY);
        (next, self.level[next].expected >= LEVEL_PRIOR_ANSWERS)
    }
}

impl Balancer {
    pub(super) fn ts(&self, s: &Server) -> f64 {
        self.fleet.ts * s.estimate.slowness
    }

    pub(super) fn tp2(&self, s: &Server) -> f64 {
        s.estimate.tp2.unwrap_or(self.fleet.tp2)
    }

    /// Number of requests that upstreams of its kind process in parallel.
    pub(super) fn concurrency(&self, s: &Server) -> f64 {
        self.fleet.concurrency[s.kind as usize].count as f64
    }

    /// K_i = 2*TP_i / TS_i + 1 for an upstream that processes one request at a time, plus one for each
    /// further parallel request; N_i at most.
    pub(super) fn k_exact(&self, s: &Server, tp2: f64) -> f64 {
        (tp2 / self.ts(s) + self.concurrency(s)).min(self.n_rate(s) * self.t_qos)
    }

    /// K_i in whole requests plus the trial offset; at least one, since an upstream without requests would
    /// never update its estimate. If load reports show that all proxies together have fewer than K_i (by the
    /// least round trip) in flight there, this proxy takes the rest.
    pub(super) fn k(&self, s: &Server, trial: i32) -> u32 {
        let tp2 = self.tp2(s);
        let bank = self.k_exact(
            s,
            if s.estimate.min_round_trip.is_finite() { s.estimate.min_round_trip } else { tp2 },
        );
        let k = self.k_exact(s, tp2).max((bank - s.others_in_flight).ceil());
        (k as i32 + trial).max(1) as u32
    }

    /// N_i per microsecond: 1 / (2*TP_i + TS_i) times the concurrency.
    pub(super) fn n_rate(&self, s: &Server) -> f64 {
        self.concurrency(s) / (self.tp2(s) + self.ts(s))
    }

    pub(super) fn refresh_concurrency(&mut self, now: Time) {
        if now.since(self.fleet.last_trial).f() < self.fleet.ts * TRIAL_SERVICE_TIMES {
            return;
        }
        self.fleet.last_trial = now;
        self.fleet.concurrency.iter_mut().for_each(Concurrency::choose);
        // Trials run on one own upstream at a time, or on half of them while nothing is known of the next
        // level; elsewhere the trials of several proxies would overlap.
        self.servers.iter_mut().for_each(|s| s.trial = 0);
        let own = |&i: &usize| {
            self.servers[i].distance <= OWN_DISTANCE
                && self.is_representative(now, &self.servers[i])
        };
        let own: Vec<usize> = self.preference.iter().copied().filter(own).collect();
        if own.is_empty() {
            return;
        }
        for &i in &own {
            let concurrency = &self.fleet.concurrency[self.servers[i].kind as usize];
            let (next, known) = concurrency.next();
            if !known && self.rng.rand_float() < 0.5 {
                self.servers[i].trial = (next - concurrency.count) as i32;
            }
        }
        let [more, fewer] =
            [(), ()].map(|()| own[self.rng.rand_range(0..own.len() as u64) as usize]);
        let concurrency = &self.fleet.concurrency[self.servers[more].kind as usize];
        let (next, known) = concurrency.next();
        if !known {
            return;
        }
        if self.rng.rand_float() < TRIAL_SHARE * own.len() as f64 {
            self.servers[more].trial = (next - concurrency.count) as i32;
        } else {
            let count = self.fleet.concurrency[self.servers[fewer].kind as usize].count;
            self.servers[fewer].trial = -((count - 1).min((count / 3).max(1)) as i32);
        }
    }

    /// The share of the fleet's capacity that this proxy may use. The paper has one balancer that sees all
    /// requests.
    pub(super) fn proxy_share(&self) -> f64 {
        (self.fleet.overcommit / f64::from(self.settings.balancers)).min(1.0)
    }

    /// Whether its answers are representative of its kind: not for upstreams in slow start and outliers.
    pub(super) fn is_representative(&self, now: Time, s: &Server) -> bool {
        s.estimate.slowness <= OUTLIER_SLOWNESS && self.cold_share(now, s).is_none()
    }

    /// Books the time since an upstream's number of requests in flight last changed, and the work of the
    /// answer that ends that period, if any (`answered` is its class).
    pub(super) fn count_level(&mut self, now: Time, server: usize, answered: Option<usize>) {
        let s = &self.servers[server];
        let time = now.since(s.in_flight_changed).f().min(self.ts(s) * MAX_GAP_SERVICE_TIMES);
        let (kind, level) = (s.kind as usize, s.in_flight as usize);
        if self.is_representative(now, s) && (1..=MAX_CONCURRENCY).contains(&level) {
            let l = &mut self.fleet.concurrency[kind].level[level];
            l.time += time;
            l.done += answered.map_or(0.0, |class| self.fleet.mean[class] / self.fleet.ts);
        }
        self.servers[server].in_flight_changed = now;
    }

    pub(super) fn learn_class_mean(&mut self, class: usize, latency: f64) {
        self.fleet.ts += (latency - self.fleet.ts) * MEAN_GAIN;
        let (mean, dev) = (&mut self.fleet.mean[class], &mut self.fleet.dev[class]);
        let (off, new) = ((latency - *mean).abs(), *mean == 0.0);
        *dev += (if new { latency / 2.0 } else { off } - *dev) * if new { 1.0 } else { MEAN_GAIN };
        *mean += (latency - *mean) * if new { 1.0 } else { MEAN_GAIN };
    }

    /// Requests in flight at an upstream, its K_i, and its N_i for the time `t`; for gauges. `None` for an
    /// unknown upstream.
    pub fn upstream(&self, id: ServerId, t: Span) -> Option<(u32, u32, f64)> {
        let s = &self.servers[*self.by_id.get(&id)?];
        Some((s.in_flight, self.k(s, 0), self.n_rate(s) * t.f()))
    }

    /// Number of upstreams on the list, and how many of them are paused for all classes; for gauges.
    pub fn pool(&self, now: Time) -> (usize, usize) {
        let listed = self.servers.iter().filter(|s| s.status != Status::Gone);
        let shut = |s: &&Server| now < s.breaker.until || s.by_class.iter().all(|b| now < b.until);
        (listed.clone().count(), listed.filter(shut).count())
    }

    pub(super) fn refresh_fleet(&mut self, now: Time) {
        let tp2 = self.servers.iter().filter_map(|s| s.estimate.tp2);
        let (sum, seen) = tp2.fold((0.0, 0.0), |(sum, seen), t| (sum + t, seen + 1.0));
        if seen > 0.0 {
            self.fleet.tp2 = sum / seen;
        }
        let shut = |c: usize| {
            let open = |i: &&usize| self.open_to(Some(c), &self.servers[**i]);
            let (all, shut) =
                self.preference.iter().filter(open).fold((0.0, 0.0), |(all, shut), &i| {
                    (all + 1.0, shut + f64::from(now < self.servers[i].by_class[c].until))
                });
            shut > all * PANIC_THRESHOLD
        };
        self.panic = (0..self.partition_of.len()).map(shut).collect();
        for r in 0..self.partitions.len() {
            let class = self.partitions[r].class;
            let live = |s: &&Server| s.status == Status::Live && self.open_to(class, s);
            let k = |s: &Server| self.k_exact(s, self.tp2(s));
            let sum = |(u, sum, n), s: &Server| (u + 1.0, sum + k(s), n + self.n_rate(s));
            let (u, k, n) = self.servers.iter().filter(live).fold((0.0, 0.0, 0.0), sum);
            let others_in_flight =
                |load: f64| (load * u - self.partitions[r].in_flight as f64).max(0.0);
            let partition = CapacityPartition {
                others_in_flight: self.fleet.load.map(others_in_flight),
                n_per_time: n,
                ..self.partitions[r]
            };
            let slots = self.share(&partition, k, n * (self.fleet.ts + self.fleet.max_wait));
            self.partitions[r] =
                CapacityPartition { slots, even: k * self.proxy_share(), ..partition };
        }
        let (preference, servers) = (&mut self.preference, &self.servers);
        let cost = |i: usize| {
            (MIN_DISTANCE + servers[i].distance)
                * servers[i].estimate.slowness
                * servers[i].estimate.slowness
        };
        preference.sort_by(|&a, &b| cost(a).total_cmp(&cost(b)));
        self.refresh_admission();
    }
}
