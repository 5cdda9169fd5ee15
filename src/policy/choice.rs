//! The request queue, and the selection of an upstream for the request at its head.

use super::*;

/// Second copies of overdue requests per first attempt; more would be a retry storm on a slow fleet.
const SECOND_COPIES_PER_REQUEST: f64 = 0.3;

impl Balancer {
    pub(super) fn enqueue(&mut self, id: RequestId, at_head: bool) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        e.in_queue = true;
        let class = e.class;
        self.count_queued(class, 1);
        if at_head {
            self.queue.push_front(id);
        } else {
            self.queue.push_back(id);
        }
    }

    pub(super) fn count_queued(&mut self, class: usize, change: isize) {
        let own = self.partition_of[class];
        for (r, partition) in self.partitions.iter_mut().enumerate() {
            if r == 0 || r == own {
                partition.queued = partition.queued.saturating_add_signed(change);
            }
        }
    }

    /// Takes (positive) or frees (negative) slots of an upstream, in every partition that it belongs to.
    pub(super) fn count_in_flight(&mut self, server: usize, change: i32) {
        let s = &mut self.servers[server];
        s.in_flight = s.in_flight.saturating_add_signed(change);
        for r in 0..self.partitions.len() {
            if self.open_to(self.partitions[r].class, &self.servers[server]) {
                let n = &mut self.partitions[r].in_flight;
                *n = n.saturating_add_signed(change as isize);
            }
        }
    }

    /// Appends a request of an ordered class to the queue of its key.
    pub(super) fn join_key_queue(&mut self, now: Time, id: RequestId) {
        let Some(key) = self.requests.get(&id).and_then(|e| e.order_key) else { return };
        let new = || KeyQueue { waiting: VecDeque::new(), blocked_until: now };
        self.key_queues.entry(key).or_insert_with(new).waiting.push_back(id);
    }

    /// Whether the request is at the head of its key's queue and the key is not blocked. Always true for
    /// further attempts.
    pub(super) fn is_next_for_key(&self, now: Time, id: RequestId, e: &RequestState) -> bool {
        let Some(key_queue) = e.order_key.and_then(|k| self.key_queues.get(&k)) else {
            return true;
        };
        !e.attempts.is_empty()
            || (key_queue.waiting.front() == Some(&id) && now >= key_queue.blocked_until)
    }

    /// Sends queued requests in FIFO order while some upstream has a free slot. A request that waits for an
    /// earlier one with its key blocks only that key; one whose class is bound to upstreams without a free
    /// slot blocks only classes with the same binding.
    pub(super) fn dispatch(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut i = 0;
        let mut shut = vec![false; self.partitions.len()];
        while let Some(&id) = self.queue.get(i) {
            let Some(e) = self.requests.get(&id).filter(|e| e.in_queue) else {
                self.queue.remove(i);
                continue;
            };
            let fresh = e.attempts.is_empty();
            let r = self.partition_of[e.class];
            if (fresh && shut[r]) || !self.is_next_for_key(now, id, e) {
                i += 1;
                continue;
            }
            let full = self.partitions[r].in_flight as f64 >= self.partitions[r].slots.max(1.0);
            if let Some(server) = self.pick(now, id, full) {
                self.queue.remove(i);
                self.send(now, id, server, actions);
                continue;
            }
            // No slot is free. A further attempt may be limited to fewer upstreams than the partition has, so
            // requests behind it are still considered.
            shut[r] |= fresh;
            if shut.iter().all(|s| *s) {
                break;
            }
            i += 1;
        }
    }

    /// The upstream of least cost that has a free slot. Upstreams with an earlier attempt of this request
    /// come last. Slots on trial are used only once all regular slots are taken.
    pub(super) fn pick(&self, now: Time, id: RequestId, full: bool) -> Option<usize> {
        let e = self.requests.get(&id)?;
        let mut last = None;
        for &i in &self.preference {
            let s = &self.servers[i];
            let trial = if full { s.trial } else { s.trial.min(0) };
            // At the limit, trials must not go to upstreams that are idle for being slow.
            if s.in_flight >= self.k(s, trial) || (full && s.in_flight < self.k(s, 0)) {
                continue;
            }
            let shut = now < s.by_class[e.class].until && !self.panic[e.class];
            if shut || now < s.breaker.until || !self.may_send(now, id, e, i) {
                continue;
            }
            if e.attempts.iter().all(|a| a.server != i) {
                return Some(i);
            }
            last = last.or(Some(i));
        }
        last
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        server: usize,
        actions: &mut Vec<Action>,
    ) {
        self.count_send(now, server);
        self.count_level(now, server, None);
        let Some(e) = self.requests.get_mut(&id) else { return };
        e.in_queue = false;
        let first = e.attempts.is_empty();
        let before = e.latest_begin(&self.settings.classes[e.class]);
        self.in_flight_attempts.push((id, e.attempts.len()));
        // The upstream does no work until the body is complete, so no slot is taken before that.
        e.attempts.push(Attempt { slot_freed: e.coming, ..Attempt::new(server, now) });
        let (class, timeout, slots) = (e.class, e.worth_until.since(now), i32::from(!e.coming));
        self.count_queued(class, -1);
        self.count_in_flight(server, slots);
        if first {
            self.second_copy_budget = (self.second_copy_budget + SECOND_COPIES_PER_REQUEST)
                .min(self.partitions[0].slots.max(1.0));
        }
        actions.push(Action::Send {
            request: id,
            server: self.servers[server].id,
            timeout,
            before,
        });
    }
}
