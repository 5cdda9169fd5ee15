//! Drives one balancer on simulated time and checks the protocol rules on every action. The checks are
//! independent of the code under test: they keep their own record of list updates and sends.
#![allow(dead_code)] // each test target uses a part of this module

use std::collections::BTreeMap;

use hollowpaddle::interface::*;
use hollowpaddle::policy::Balancer;

pub const MS: i64 = 1000;

pub fn class(effect: Effect) -> Class {
    Class {
        aim: Span(200 * MS),
        deadline: Span(600 * MS),
        worth: 1.0,
        late_worth: 0.0,
        effect,
        group: Group::Zone,
        window: Span(300 * MS),
        aim_stretch: 0.0,
        streaming: false,
        in_order: false,
        zones: None,
        kinds: None,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Unsafe)],
        tenants: vec![],
        balancers: 1,
        position: 0,
        zones: 2,
        zone: 0,
        tick: Span(MS),
        must_ask: false,
        limits: Limits {
            max_attempts: 3,
            second_copies: true,
            cancel: true,
            probes: false,
            retry_after: true,
            max_retry_after: Span(300 * MS),
            connect_timeout: Span(100 * MS),
            keepalive: Span(5000 * MS),
            streams_per_conn: 1,
        },
        rules: Rules {
            cold_from: 0.2,
            cold: Span(10_000 * MS),
            fall_multiple: 3.0,
            tip_after: Span(1000 * MS),
            drain_grace: Span(1000 * MS),
            answer_slack: Span(20 * MS),
            ask_every: Span(10_000 * MS),
            drain_close: Span(0),
            turn_gap: Span(0),
        },
        prices: Prices::default(),
        mix: ScoringMix { whole: 1.0, ..ScoringMix::default() },
        over_share_worth: 0.1,
        by_work: false,
        marks_retry: false,
        reports: Reports::None,
    }
}

pub fn member(id: u32, zone: u32) -> Member {
    Member {
        id: ServerId(id),
        identity: u64::from(id) * 7919,
        zone,
        kind: 0,
        cell: id / 2,
        status: Status::Live,
        weight: 1.0,
        started: None,
    }
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub server: ServerId,
    pub sent: Time,
    pub ended: Option<Outcome>,
    pub ended_at: Time,
}

#[derive(Clone, Debug)]
pub struct TrackedRequest {
    pub class: usize,
    pub key: Option<u64>,
    /// Position in the order of arrival.
    pub arrival: usize,
    pub drop_dead: Time,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
}

pub struct Simulation {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now: Time,
    pub members: BTreeMap<u32, Member>,
    pub requests: BTreeMap<u64, TrackedRequest>,
    pub timers: Vec<(u64, Time)>,
    pub log: Vec<Action>,
    /// For each upstream that is not live: when it stopped being live or was last used, whichever is later, and
    /// when its idle connections were last closed.
    pub leaving: BTreeMap<u32, (Time, Option<Time>)>,
    actions: Vec<Action>,
}

impl Simulation {
    pub fn new(settings: Settings) -> Self {
        let now = Time(1_000_000 * MS);
        let balancer = Balancer::new(settings.clone(), 7, now).expect("settings are valid");
        let mut simulation = Self {
            settings,
            balancer,
            now,
            members: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: vec![],
            log: vec![],
            leaving: BTreeMap::new(),
            actions: vec![],
        };
        simulation.update_list(ListKind::Restored, &[]);
        simulation
    }

    fn handle(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
        self.run_actions();
    }

    pub fn with_servers(settings: Settings, n: u32) -> Self {
        let mut simulation = Self::new(settings);
        let list: Vec<_> = (0..n).map(|i| member(i, i % 2)).collect();
        simulation.update_list(ListKind::Restored, &list);
        simulation
    }

    pub fn update_list(&mut self, kind: ListKind, list: &[Member]) {
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            self.members.values_mut().for_each(|m| m.status = Status::Gone);
        }
        if kind != ListKind::Unavailable {
            self.members.extend(list.iter().map(|m| (m.id.0, *m)));
        }
        for (id, m) in &self.members {
            if m.status == Status::Live {
                self.leaving.remove(id);
            } else if kind != ListKind::Restored {
                self.leaving.entry(*id).or_insert((self.now, None));
            }
        }
        self.handle(Event::Members { kind, list });
    }

    pub fn request(&mut self, id: u64, class: usize) {
        let wait = self.settings.classes[class].deadline;
        self.request_until(id, class, self.now.plus(wait));
    }

    pub fn request_until(&mut self, id: u64, class: usize, drop_dead: Time) {
        self.request_from_tenant(0, id, class, drop_dead);
    }

    pub fn request_from_tenant(&mut self, tenant: usize, id: u64, class: usize, drop_dead: Time) {
        self.request_with(tenant, id, class, drop_dead, Some(id % 5));
    }

    pub fn request_with(
        &mut self,
        tenant: usize,
        id: u64,
        class: usize,
        drop_dead: Time,
        key: Option<u64>,
    ) {
        let arrival = self.requests.len();
        let request =
            TrackedRequest { class, key, arrival, drop_dead, attempts: vec![], finished: false };
        assert!(self.requests.insert(id, request).is_none(), "request ids are unique");
        self.handle(Event::Request(Request {
            id: RequestId(id),
            class,
            tenant,
            key,
            drop_dead,
            cost_guess: None,
            resent: false,
            write: false,
            coming: false,
        }));
    }

    /// Ends an attempt that is in flight; does nothing if it is not.
    pub fn outcome(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        self.outcome_with(id, attempt, outcome, Report::default());
    }

    /// Like `outcome`, with a load report from the upstream.
    pub fn outcome_with(&mut self, id: u64, attempt: usize, outcome: Outcome, report: Report) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(t) = request.attempts.get_mut(attempt).filter(|t| t.ended.is_none()) else {
            return;
        };
        (t.ended, t.ended_at) = (Some(outcome), self.now);
        if let Some(l) = self.leaving.get_mut(&t.server.0) {
            l.0 = self.now;
        }
        request.finished |= outcome == Outcome::Ok;
        let answer = Answer {
            request: RequestId(id),
            attempt,
            server: t.server,
            outcome,
            latency: self.now.since(t.sent),
            last: request.finished,
            spent: false,
            report,
        };
        self.handle(Event::Answered(answer));
    }

    pub fn client_left(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.finished = true;
        }
        self.handle(Event::Left(RequestId(id)));
    }

    /// Advances the clock and fires timers that are due; attempts time out at their request's deadline.
    pub fn advance(&mut self, span: Span) {
        let end = self.now.plus(span);
        while let Some(i) = (0..self.timers.len()).min_by_key(|&i| self.timers[i].1) {
            if self.timers[i].1 > end {
                break;
            }
            let (token, at) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            self.check_idle_connections_closed();
            self.expire_attempts();
            self.handle(Event::Timer(token));
        }
        self.now = end;
        self.check_idle_connections_closed();
        self.expire_attempts();
    }

    /// Rule 7: idle connections to a draining upstream are closed within `drain_close`.
    fn check_idle_connections_closed(&self) {
        let within = self.settings.rules.drain_close;
        for (id, (used, closed)) in &self.leaving {
            let overdue = within.0 > 0 && self.now > used.plus(within);
            let missed = closed.is_none_or(|c| c < *used);
            assert!(!(overdue && missed), "idle connections to {id} still open since {used:?}");
        }
    }

    /// Rules 5 and 6: key order, zones and kinds.
    fn check_key_order_and_placement(&self, id: u64, server: ServerId) {
        let request = &self.requests[&id];
        let class = &self.settings.classes[request.class];
        let m = &self.members[&server.0];
        assert!(
            class.zones.as_ref().is_none_or(|z| z.contains(&m.zone)),
            "{id} sent outside its zones"
        );
        assert!(
            class.kinds.as_ref().is_none_or(|k| k.contains(&m.kind)),
            "{id} sent outside its kinds"
        );
        if !class.in_order || request.key.is_none() || !request.attempts.is_empty() {
            return;
        }
        let earlier_of_key = |a: &&TrackedRequest| {
            self.settings.classes[a.class].in_order
                && a.key == request.key
                && a.arrival < request.arrival
        };
        for earlier in self.requests.values().filter(earlier_of_key) {
            let done = earlier.finished && earlier.attempts.iter().all(|t| t.ended.is_some());
            assert!(done, "{id} sent before an earlier request with its key has finished");
            for t in &earlier.attempts {
                let may_still_run = [Outcome::Timeout, Outcome::Reset, Outcome::Cancelled];
                let may_still_run = t.ended.is_some_and(|o| may_still_run.contains(&o));
                let gap_passed = self.now.since(t.ended_at) >= self.settings.rules.turn_gap;
                assert!(
                    !may_still_run || gap_passed,
                    "{id} sent before turn_gap has passed for its key"
                );
            }
        }
    }

    fn expire_attempts(&mut self) {
        let due = |a: &TrackedRequest| a.drop_dead <= self.now;
        let expired: Vec<u64> =
            self.requests.iter().filter(|(_, a)| due(a)).map(|(id, _)| *id).collect();
        for id in expired {
            for attempt in 0..self.requests[&id].attempts.len() {
                self.outcome(id, attempt, Outcome::Timeout);
            }
        }
    }

    fn run_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.log.push(action);
            match action {
                Action::Send { request, server, timeout, before } => {
                    self.check_send(request.0, server, timeout, before);
                }
                Action::Refuse { request, .. } => {
                    let class = &self.settings.classes[self.requests[&request.0].class];
                    let ran = self.requests[&request.0].attempts.iter().any(may_have_run);
                    let harmless = class.effect == Effect::Safe
                        || (class.effect == Effect::Keyed && class.group == Group::All);
                    assert!(harmless || !ran, "refused {request:?} although it may have run");
                    self.finish(request.0);
                }
                Action::Fail { request } => self.finish(request.0),
                Action::Arm { token, at } => self.timers.push((token, at)),
                Action::Cancel { request, attempt } => {
                    assert!(
                        attempt < self.requests[&request.0].attempts.len(),
                        "cancelled an attempt that was never sent"
                    );
                }
                Action::CloseIdle { server } => {
                    if let Some(l) = self.leaving.get_mut(&server.0) {
                        l.1 = Some(self.now);
                    }
                }
                Action::Probe { .. } | Action::Subscribe => {}
            }
        }
    }

    fn finish(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("request is known");
        assert!(!request.finished, "second final answer for {id}");
        request.finished = true;
    }

    fn check_send(&mut self, id: u64, server: ServerId, timeout: Span, begins_before: Time) {
        let request = &self.requests[&id];
        assert!(!request.finished, "{id} sent after its final answer");
        assert!(self.now < request.drop_dead && timeout.0 > 0);
        assert!(
            self.now.plus(timeout) <= request.drop_dead,
            "time-out later than the client's deadline"
        );
        assert_eq!(
            self.members[&server.0].status,
            Status::Live,
            "sent to an upstream that is not live"
        );
        assert!(request.attempts.len() < self.settings.limits.max_attempts);
        if !self.settings.limits.second_copies {
            assert!(request.attempts.iter().all(|t| t.ended.is_some()), "two copies in flight");
        }
        let class = &self.settings.classes[request.class];
        for before in request.attempts.iter().filter(|t| may_have_run(t)) {
            let same_group = match class.group {
                Group::All => true,
                Group::Zone => self.zone(before.server) == self.zone(server),
                Group::Cell => self.members[&before.server.0].cell == self.members[&server.0].cell,
            };
            let window = before.sent.plus(class.window);
            let within_window =
                self.now < window && (class.effect != Effect::Keyed || begins_before <= window);
            let allowed = match class.effect {
                Effect::Safe => true,
                Effect::Keyed => same_group && within_window,
                Effect::Unsafe => false,
            };
            assert!(allowed, "{id} may take effect twice");
        }
        self.check_key_order_and_placement(id, server);
        let sent = Attempt { server, sent: self.now, ended: None, ended_at: self.now };
        self.requests.get_mut(&id).expect("request is known").attempts.push(sent);
    }

    fn zone(&self, id: ServerId) -> u32 {
        self.members[&id.0].zone
    }

    pub fn in_flight_at(&self, id: u64) -> Option<ServerId> {
        self.requests[&id].attempts.iter().rev().find(|t| t.ended.is_none()).map(|t| t.server)
    }

    pub fn refused(&self, id: u64) -> bool {
        self.log.iter().any(|a| matches!(a, Action::Refuse { request, .. } if request.0 == id))
    }

    pub fn failed(&self, id: u64) -> bool {
        self.log.contains(&Action::Fail { request: RequestId(id) })
    }

    pub fn sends_to(&self, server: u32) -> usize {
        let to = |a: &&Action| matches!(a, Action::Send { server: s, .. } if s.0 == server);
        self.log.iter().filter(to).count()
    }
}

fn may_have_run(t: &Attempt) -> bool {
    !t.ended.is_some_and(Outcome::never_ran)
}
