//! What answers tell: TP, TS and lanes of each upstream, and from them K_i and N_i.

use super::*;

/// An attempt that failed counts as this many mean service times at least.
const FAULT_SLOWNESS: f64 = 5.0;
/// With so much of the fleet shut to a class it is the fleet that is slow, and none is shut.
const PANIC_THRESHOLD: f64 = 0.75;
/// An upstream this many times slower than the mean is a suspect.
const OUTLIER_SLOWNESS: f64 = 2.0;
/// Least reach in the cost of an upstream, so that slowness tells also in the middle of one's part.
const MIN_DISTANCE: f64 = 0.1;
/// Most requests that an upstream is tried with side by side.
const MAX_CONCURRENCY: usize = 32;
/// An unseen level weighs as so many answers that no more gets done than one below, as the paper has it.
const LEVEL_PRIOR_ANSWERS: f64 = 16.0;
/// Answers that what is known of a level reaches back over.
const LEVEL_MEMORY_ANSWERS: f64 = 128.0;
/// Answers at the level in use that others are measured against, each round.
const MIN_ROUND_ANSWERS: f64 = 8.0;
/// A longer wait for the next answer, in service times, tells of a fault, not of the level.
const MAX_GAP_SERVICE_TIMES: f64 = 5.0;
/// The fewest lanes that reach this share of the best throughput are taken: more is bought with latency.
const SUFFICIENT_THROUGHPUT_SHARE: f64 = 0.75;
/// How long a trial runs, in service times: a few answers at each level.
const TRIAL_SERVICE_TIMES: f64 = 4.0;
/// Share of the upstreams that are tried with more lanes once enough is known of them.
const TRIAL_SHARE: f64 = 1.0 / 96.0;

/// What the answers of one upstream told: the round trip is split into 2*TP + TS.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Twice the propagation time, known once an answer did no work: the least round trip of any answer.
    pub(super) tp2: Option<f64>,
    pub(super) min_round_trip: f64,
    /// Slowness: service time, waiting at the upstream included, over the fleet's mean for the same class.
    /// TS_i is this times the fleet's mean, whatever mix of classes it drew.
    pub(super) slowness: f64,
}

impl Estimate {
    /// Before any answer: as fast as the fleet's mean.
    pub(super) const NONE: Self = Self { tp2: None, min_round_trip: f64::INFINITY, slowness: 1.0 };

    /// Takes in an answer of this latency, where the fleet's mean for its class is `mean`.
    pub(super) fn learn(&mut self, outcome: Outcome, latency: f64, mean: f64) {
        // Failure: an upstream that stood still turned away late; as propagation, that left no N_i.
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            self.min_round_trip = self.min_round_trip.min(latency);
            self.tp2 = (outcome == Outcome::Full || self.tp2.is_some()).then_some(self.min_round_trip);
        }
        let service = (latency - self.tp2.unwrap_or(0.0)).max(1.0) / mean;
        let service = match outcome {
            Outcome::Ok => service,
            // A quick error must not look like a fast upstream (it would earn slots).
            Outcome::Error | Outcome::Timeout | Outcome::Reset => service.max(FAULT_SLOWNESS),
            _ => return,
        };
        self.slowness += (service.min(SLOWNESS_MAX) - self.slowness) * TS_GAIN;
    }
}

/// How many requests an upstream of one kind runs side by side. The paper's run one; nobody tells. Learned
/// from how often answers come while so many own requests are out at an upstream.
///
/// Failure: judged by how long answers take at each level, one core looked like two: attempts that end before
/// their neighbour does are the short ones.
#[derive(Clone, Debug)]
pub(super) struct Concurrency {
    pub(super) count: usize,
    pub(super) level: Vec<Level>,
}

impl Concurrency {
    pub(super) fn new() -> Self {
        Self { count: 1, level: vec![Level::default(); MAX_CONCURRENCY + 1] }
    }

    /// Ends a round, if enough was seen, and takes the fewest lanes that get enough done.
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
        let enough = (1..=top).find(|&n| gain[n] >= SUFFICIENT_THROUGHPUT_SHARE * best).unwrap_or(1);
        if enough != self.count {
            self.count = enough;
            self.level.iter_mut().for_each(|l| l.expected *= gain[enough]);
        }
    }

    /// The level to try next, and whether enough is known of it. Twice the count, a step that wins more than
    /// LANES_ENOUGH asks. Failure: tried with one more, six cores stuck at three lanes for good.
    pub(super) fn next(&self) -> (usize, bool) {
        let next = (2 * self.count).min(MAX_CONCURRENCY);
        (next, self.level[next].expected >= LEVEL_PRIOR_ANSWERS)
    }
}

/// What the fleet as a whole sustains for this proxy.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    pub(super) ts: f64,
    /// Mean latency of each class, and its mean deviation.
    pub(super) mean: Vec<f64>,
    pub(super) dev: Vec<f64>,
    /// Share of the attempts for which the time of a second copy came and that were never answered.
    pub(super) unanswered_share: Vec<f64>,
    /// The longest wait that each class can bear, and the part of it that a class may use.
    pub(super) max_wait: f64,
    pub(super) wait_share: Vec<f64>,
    pub(super) tp2: f64,
    /// By kind of upstream.
    pub(super) concurrency: Vec<Concurrency>,
    pub(super) last_trial: Time,
    /// This proxy's limit in even parts of the bank, and TS as it was in good times. Failure: judged by the
    /// TS of the moment, a whole bank that crowds itself never looks crowded.
    pub(super) overcommit: f64,
    pub(super) baseline_ts: f64,
    /// Answers of warm upstreams, a decaying count by kind; and the highest rate of them per unit of weight
    /// that was seen lately, by kind and over all.
    pub(super) warm_served: Vec<f64>,
    pub(super) warm_rate: Vec<f64>,
    pub(super) overall_warm_rate: f64,
    pub(super) counted: Time,
    /// Requests of the whole bank at one upstream, as reports tell.
    pub(super) load: Option<f64>,
    /// Share of their N_i that upstreams have free by their reports: a decaying sum, and its weight.
    pub(super) free: (f64, f64),
}

impl Balancer {
    pub(super) fn ts(&self, s: &Server) -> f64 {
        self.fleet.ts * s.estimate.slowness
    }

    pub(super) fn tp2(&self, s: &Server) -> f64 {
        s.estimate.tp2.unwrap_or(self.fleet.tp2)
    }

    /// Requests that upstreams of its kind run side by side.
    pub(super) fn concurrency(&self, s: &Server) -> f64 {
        self.fleet.concurrency[s.kind as usize].count as f64
    }

    /// K_i = 2*TP_i / TS_i + 1 for an upstream that runs one request at a time, and one more for each further
    /// lane; N_i at most.
    pub(super) fn k_exact(&self, s: &Server, tp2: f64) -> f64 {
        (tp2 / self.ts(s) + self.concurrency(s)).min(self.n_rate(s) * self.t_qos)
    }

    /// K_i in whole requests, with lanes on trial; at least one, or the upstream would never update. Fewer
    /// than K_i go there from the whole bank, by what reports tell and the least round trip. Failure: alone
    /// after a drain, a proxy left upstreams idle between two requests.
    pub(super) fn k(&self, s: &Server, trial: i32) -> u32 {
        let tp2 = self.tp2(s);
        let bank = self.k_exact(s, if s.estimate.min_round_trip.is_finite() { s.estimate.min_round_trip } else { tp2 });
        let k = self.k_exact(s, tp2).max((bank - s.others_in_flight).ceil());
        (k as i32 + trial).max(1) as u32
    }

    /// N_i per unit of time: 1 / (2*TP_i + TS_i) for each lane.
    pub(super) fn n_rate(&self, s: &Server) -> f64 {
        self.concurrency(s) / (self.tp2(s) + self.ts(s))
    }

    pub(super) fn refresh_concurrency(&mut self, now: Time) {
        if now.since(self.fleet.last_trial).f() < self.fleet.ts * TRIAL_SERVICE_TIMES {
            return;
        }
        self.fleet.last_trial = now;
        self.fleet.concurrency.iter_mut().for_each(Concurrency::choose);
        // One own upstream at a time, or half of them while nothing is known of more lanes (failure: at six
        // cores, learned one by one, a quarter was refused for the first minute of a quiet day). Not beyond
        // one's own part: there the trials of a bank would meet.
        self.servers.iter_mut().for_each(|s| s.trial = 0);
        let own = |&i: &usize| self.servers[i].distance <= OWN_DISTANCE && self.is_representative(now, &self.servers[i]);
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

    /// The part of the bank's work that falls to this proxy. The paper's one balancer sees all.
    pub(super) fn proxy_share(&self) -> f64 {
        (self.fleet.overcommit / f64::from(self.settings.balancers)).min(1.0)
    }

    /// Young upstreams and outliers say nothing of their kind.
    pub(super) fn is_representative(&self, now: Time, s: &Server) -> bool {
        s.estimate.slowness <= OUTLIER_SLOWNESS && self.cold_share(now, s).is_none()
    }

    /// Books the time since the last change of an upstream's in-flight, and the work of an answer that ends
    /// it.
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

    /// Requests out at an upstream, its K_i, and its N_i within the time `t`; for gauges.
    pub fn upstream(&self, id: ServerId, t: Span) -> Option<(u32, u32, f64)> {
        let s = &self.servers[*self.by_id.get(&id)?];
        Some((s.in_flight, self.k(s, 0), self.n_rate(s) * t.f()))
    }

    /// How many upstreams the list names, and how many of them get no request now; for gauges.
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
            let (all, shut) = self.preference.iter().filter(open).fold((0.0, 0.0), |(all, shut), &i| {
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
            let others_in_flight = |load: f64| (load * u - self.partitions[r].in_flight as f64).max(0.0);
            let partition = CapacityPartition { others_in_flight: self.fleet.load.map(others_in_flight), n_per_time: n, ..self.partitions[r] };
            let slots = self.share(&partition, k, n * (self.fleet.ts + self.fleet.max_wait));
            self.partitions[r] = CapacityPartition { slots, even: k * self.proxy_share(), ..partition };
        }
        let (preference, servers) = (&mut self.preference, &self.servers);
        let cost = |i: usize| (MIN_DISTANCE + servers[i].distance) * servers[i].estimate.slowness * servers[i].estimate.slowness;
        preference.sort_by(|&a, &b| cost(a).total_cmp(&cost(b)));
        self.refresh_admission();
    }
}
