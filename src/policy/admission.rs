//! Admission control: requests are refused once the load reaches the capacity of the upstreams.

use super::*;

/// Share of the aim for mean queueing and service time; the rest allows for their variance.
const WAIT_SHARE_OF_AIM: f64 = 0.7;
/// Share of the maximum wait that is open to the class with the least worth per unit of work.
const MIN_WAIT_SHARE: f64 = 0.2;

impl Balancer {
    /// Sends, queues or refuses a request that has arrived.
    pub(super) fn handle_request(&mut self, now: Time, r: Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(r.class) else {
            actions.push(Action::Refuse { request: r.id, retry_after: Span(0) });
            return;
        };
        if self.requests.contains_key(&r.id) {
            return;
        }
        // A request stays queued only while its aim can be met, even where a late answer has some worth:
        // otherwise every queued request is served late under sustained overload.
        let aim_at = r.drop_dead.min(now.plus(class.aim));
        let worth_until = if class.late_worth > 0.0 { r.drop_dead } else { aim_at };
        // Two sweeps early, so that the refusal is sent before the aim has passed.
        let queue_until = aim_at.plus(Span(-2 * self.settings.sweep_every().0));
        let order_key = r.key.filter(|_| class.in_order);
        let entry = RequestState::new(&r, worth_until, queue_until, order_key);
        let ahead =
            entry.order_key.and_then(|k| self.key_queues.get(&k)).map_or(0, |l| l.waiting.len());
        self.requests.insert(r.id, entry);
        let in_share = self.in_share(now, r.tenant);
        let starts = now.plus(Span::of(ahead as f64 * self.fleet.mean[r.class]));
        // A request that can be sent at once needs no queueing time.
        let latest = if ahead > 0 { queue_until } else { aim_at };
        if !self.admits(r.class, in_share) || starts >= latest {
            self.refuse(r.id, actions);
            return;
        }
        if in_share && let Some(q) = self.quotas.get_mut(r.tenant) {
            q.tokens -= 1.0;
        }
        self.join_key_queue(now, r.id);
        self.enqueue(r.id, false);
        self.dispatch(now, actions);
    }

    /// The paper's admission check: queued plus in-flight requests stay below the sum of N_i. All classes
    /// share one T_QoS, derived from the maximum wait of the class with the tightest aim; otherwise classes
    /// with long aims would fill the queue and starve those with short ones. Classes with less worth per unit
    /// of work get a smaller share of the maximum wait, and requests beyond their tenant's share get none of
    /// it.
    pub(super) fn admits(&self, class: usize, in_share: bool) -> bool {
        // A tenant beyond its share must not displace others' requests.
        let wait_share = if in_share { self.fleet.wait_share[class] } else { 0.0 };
        let partition = &self.partitions[self.partition_of[class]];
        let n = partition.n_per_time * (self.fleet.ts + self.fleet.max_wait * wait_share);
        // Without live upstreams N is 0: requests are queued until one appears or their time limit passes.
        n == 0.0
            || ((partition.queued + partition.in_flight) as f64)
                < self.share(partition, n, n).max(1.0)
    }

    /// This proxy's share of slots: its share of `even` plus an allowance for random variation, or, if
    /// greater, what other proxies leave free of `n` according to load reports.
    /// The allowance is the binomial standard deviation of its share of the free slots.
    pub(super) fn share(&self, partition: &CapacityPartition, even: f64, n: f64) -> f64 {
        let (p, (free, report_weight)) = (self.proxy_share(), self.fleet.free);
        let chance = (n * free / report_weight.max(1.0) * p * (1.0 - p)).sqrt();
        (even * p + chance)
            .max(partition.others_in_flight.map_or(0.0, |others_in_flight| n - others_in_flight))
    }

    pub(super) fn refresh_admission(&mut self) {
        let f = &mut self.fleet;
        let classes = &self.settings.classes;
        let bear = |(c, m): (&Class, &f64)| c.aim.f() * WAIT_SHARE_OF_AIM - m;
        f.max_wait = classes.iter().zip(&f.mean).map(bear).fold(f64::MAX, f64::min).max(0.0);
        let value = |c: usize, m: &[f64]| classes[c].worth / m[c].max(1.0);
        for c in 0..classes.len() {
            let mine = value(c, &f.mean);
            let below = (0..classes.len()).filter(|&o| value(o, &f.mean) < mine).count();
            let rank =
                if classes.len() == 1 { 1.0 } else { below as f64 / (classes.len() - 1) as f64 };
            f.wait_share[c] = MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * rank;
        }
    }

    pub(super) fn refuse(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        // The current queue will have drained by then; an earlier retry would meet the same queue.
        let most = self.settings.limits.max_retry_after;
        let retry_after = Span::of(self.fleet.ts + self.fleet.max_wait).min(most);
        actions.push(Action::Refuse { request, retry_after });
        self.end(request);
    }

    pub(super) fn end(&mut self, id: RequestId) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        e.ended = true;
        let class = e.class;
        let (was_in_queue, in_flight, order_key) =
            (std::mem::take(&mut e.in_queue), e.has_in_flight(), e.order_key);
        if was_in_queue {
            self.count_queued(class, -1);
        }
        if in_flight {
            return;
        }
        self.requests.remove(&id);
        if let Some(key_queue) = order_key.and_then(|k| self.key_queues.get_mut(&k)) {
            key_queue.waiting.retain(|w| *w != id);
        }
    }
}
