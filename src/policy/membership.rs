//! Membership: upstreams that join, drain and leave, and this proxy's share of them.

use super::*;

/// Fractional part of the golden ratio. Its multiples are the proxies' positions on the ring: any consecutive
/// run of them, and every n-th, is spread evenly.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Added to the ring distance in another zone where crossing zones has a price: one full share.
const CROSS_ZONE_DISTANCE: f64 = 1.0;

impl Balancer {
    pub(super) fn handle_members(
        &mut self,
        now: Time,
        kind: ListKind,
        list: &[Member],
        actions: &mut Vec<Action>,
    ) {
        if kind == ListKind::Unavailable {
            let lost = std::mem::take(&mut self.list_calls.subscribed);
            self.list_calls.failures = (self.list_calls.failures + 1).min(3);
            let wait =
                self.jitter(LIST_CALL_JITTER_SHARE * f64::from(1 << self.list_calls.failures));
            let most = if lost { self.settings.rules.drain_grace } else { MAX_LIST_CALL_DELAY };
            self.list_calls.next = now.plus(wait.min(most));
            return;
        }
        if kind != ListKind::Restored {
            (self.list_calls.subscribed, self.list_calls.failures) = (true, 0);
        }
        let before: Vec<Status> = self.servers.iter().map(|s| s.status).collect();
        if kind != ListKind::Update {
            self.servers.iter_mut().for_each(|s| s.status = Status::Gone);
        }
        for m in list {
            self.update_member(now, m);
        }
        for i in 0..self.servers.len() {
            if before.get(i).is_none_or(|was| *was != self.servers[i].status) {
                self.servers[i].close_until = now.plus(self.settings.rules.drain_close);
                self.close_idle(now, i, actions);
            }
        }
        for r in 0..self.partitions.len() {
            let open = self.servers.iter().filter(|s| self.open_to(self.partitions[r].class, s));
            self.partitions[r].in_flight = open.map(|s| s.in_flight as usize).sum();
        }
        self.assign_ring_distances();
        self.refresh_warm(now);
        self.refresh_fleet(now);
        self.dispatch(now, actions);
    }

    /// Places the upstreams of each zone on a ring and computes their distance from this proxy's position, a
    /// multiple of the golden ratio. Positions of consecutive proxies, or of every n-th, are spread evenly.
    pub(super) fn assign_ring_distances(&mut self) {
        let mut live: Vec<usize> = (0..self.servers.len()).collect();
        live.retain(|&i| self.servers[i].status == Status::Live);
        let priced = self.settings.prices.cross_zone > 0.0;
        let zone = |s: &Server| if priced { s.zone } else { 0 };
        live.sort_by_key(|&i| (zone(&self.servers[i]), self.servers[i].identity));
        let own = (f64::from(self.settings.position) * GOLDEN_RATIO_FRACTION).fract();
        let zones = if priced { f64::from(self.settings.zones.max(1)) } else { 1.0 };
        let banks = f64::from(self.settings.balancers) / zones;
        let mut at = 0;
        while at < live.len() {
            let z = zone(&self.servers[live[at]]);
            let n = live[at..].iter().take_while(|&&i| zone(&self.servers[i]) == z).count();
            for (j, &i) in live[at..at + n].iter().enumerate() {
                let d = ((j as f64 + 0.5) / n as f64 - own).abs();
                let far = if priced && z != self.settings.zone { CROSS_ZONE_DISTANCE } else { 0.0 };
                self.servers[i].distance = d.min(1.0 - d) * banks.max(1.0) + far;
            }
            at += n;
        }
        self.preference = live;
    }

    /// Closes idle connections to an upstream that drains or is gone, where `drain_close` is set: on the list
    /// update, after each outcome there, and on each sweep within the allowed time, since a connection may
    /// become idle shortly after the outcome of its attempt was reported.
    pub(super) fn close_idle(&mut self, now: Time, server: usize, actions: &mut Vec<Action>) {
        let s = &mut self.servers[server];
        let within = self.settings.rules.drain_close;
        if within.0 <= 0 || s.status == Status::Live {
            return;
        }
        actions.push(Action::CloseIdle { server: s.id });
        if s.in_flight > 0 {
            s.close_until = now.plus(within);
        }
    }

    pub(super) fn update_member(&mut self, now: Time, m: &Member) {
        let fresh = self.servers.len();
        let i = *self.by_id.entry(m.id).or_insert(fresh);
        if i == fresh {
            self.servers.push(Server {
                id: m.id,
                zone: m.zone,
                kind: m.kind.min(255),
                cell: m.cell,
                status: m.status,
                weight: 1.0,
                started: None,
                identity: m.identity,
                in_flight: 0,
                in_flight_changed: now,
                breaker: Breaker::default(),
                by_class: vec![Breaker::default(); self.settings.classes.len()],
                last_answered_sent: Time(i64::MIN),
                estimate: Estimate::NONE,
                tokens: 0.0,
                refilled: now,
                trial: 0,
                others_in_flight: 1.0,
                distance: 0.0,
                close_until: now,
            });
        }
        // Starts with a random fraction of a token, so that the fleet's first sends to it are spread over
        // time.
        let head_start = self.rng.rand_float();
        let kind = m.kind.min(255) as usize;
        let concurrency = &mut self.fleet.concurrency;
        concurrency.resize_with(concurrency.len().max(kind + 1), Concurrency::new);
        let s = &mut self.servers[i];
        if s.started != m.started && m.started.is_some() {
            (s.tokens, s.refilled) = (head_start, now);
            s.estimate.slowness = Estimate::NONE.slowness;
            s.breaker = Breaker::default();
            s.by_class.fill(Breaker::default());
        }
        (s.zone, s.kind, s.cell) = (m.zone, m.kind.min(255), m.cell);
        (s.status, s.started) = (m.status, m.started);
        s.weight = if m.weight > 0.0 && m.weight.is_finite() { m.weight } else { 1.0 };
    }
}
