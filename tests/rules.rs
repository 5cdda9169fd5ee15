//! The protocol rules, checked for each effect and outcome and over random sequences of events.

mod common;

use common::{MS, Simulation, member, settings};
use hollowpaddle::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SAFE: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;

/// Returns whether a request whose first attempt had this outcome is sent again, refused or failed.
fn result_after(class: usize, outcome: Outcome) -> &'static str {
    let mut sim = Simulation::with_servers(settings(), 4);
    sim.request(1, class);
    sim.advance(Span(5 * MS));
    sim.outcome(1, 0, outcome);
    match (sim.in_flight_at(1).is_some(), sim.refused(1), sim.failed(1)) {
        (true, false, false) => "again",
        (false, true, false) => "refused",
        (false, false, true) => "failed",
        other => panic!("{other:?}"),
    }
}

#[test]
fn retries_depend_on_effect_and_outcome() {
    let may_run = [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled];
    let never_ran = [Outcome::Full, Outcome::ConnectFailed, Outcome::NotSent];
    for o in never_ran.into_iter().chain(may_run) {
        assert_eq!(result_after(SAFE, o), "again", "{o:?}");
        assert_eq!(result_after(KEYED, o), "again", "{o:?}");
    }
    never_ran.iter().for_each(|o| assert_eq!(result_after(UNSAFE, *o), "again", "{o:?}"));
    may_run.iter().for_each(|o| assert_eq!(result_after(UNSAFE, *o), "failed", "{o:?}"));
}

#[test]
fn a_keyed_retry_without_its_group_is_failed_not_refused() {
    let mut sim = Simulation::new(settings());
    sim.update_list(ListKind::Full, &[member(0, 0), member(1, 1)]);
    sim.request(1, KEYED);
    let first = sim.in_flight_at(1).unwrap();
    let other = member(1 - first.0, 1 - first.0);
    sim.update_list(ListKind::Full, &[other]);
    sim.outcome(1, 0, Outcome::Error);
    assert!(sim.failed(1), "no live upstream would recognise the retry as a duplicate");
}

#[test]
fn a_time_out_at_the_deadline_gets_an_answer_at_once() {
    let mut sim = Simulation::with_servers(settings(), 2);
    sim.request(1, UNSAFE);
    sim.request(2, SAFE);
    sim.advance(Span(601 * MS));
    assert!(sim.failed(1) && sim.requests[&2].finished);
}

#[test]
fn queued_requests_avoid_a_draining_upstream() {
    let mut sim = Simulation::with_servers(settings(), 2);
    for id in 0..30 {
        sim.request(id, SAFE);
    }
    let draining = Member { status: Status::Draining, ..member(0, 0) };
    sim.update_list(ListKind::Update, &[draining]);
    let before = sim.sends_to(0);
    for id in 0..30 {
        sim.advance(Span(MS));
        sim.outcome(id, 0, Outcome::Ok);
    }
    assert_eq!(sim.sends_to(0), before);
    assert!(sim.sends_to(1) > 0);
}

/// Settings with key order for the keyed class and a `turn_gap` of 30 ms.
fn key_order_settings() -> Settings {
    let mut s = settings();
    s.classes[KEYED].in_order = true;
    s.rules.turn_gap = Span(30 * MS);
    s
}

fn send_request(sim: &mut Simulation, id: u64, class: usize, key: u64) {
    let until = sim.now.plus(sim.settings.classes[class].deadline);
    sim.request_with(0, id, class, until, Some(key));
}

#[test]
fn requests_with_one_key_go_in_order_and_do_not_block_others() {
    // Failure: a request was sent while an earlier one with its key was still in flight.
    let mut sim = Simulation::with_servers(key_order_settings(), 6);
    send_request(&mut sim, 1, KEYED, 9);
    send_request(&mut sim, 2, KEYED, 9);
    send_request(&mut sim, 3, KEYED, 8);
    send_request(&mut sim, 4, SAFE, 9);
    assert!(
        sim.in_flight_at(2).is_none()
            && sim.in_flight_at(3).is_some()
            && sim.in_flight_at(4).is_some()
    );
    sim.advance(Span(10 * MS));
    sim.outcome(1, 0, Outcome::Ok);
    assert!(
        sim.in_flight_at(2).is_some(),
        "the second request is sent once the first has finished"
    );
}

#[test]
fn a_key_waits_after_an_attempt_that_may_still_run() {
    let mut sim = Simulation::with_servers(key_order_settings(), 6);
    send_request(&mut sim, 1, KEYED, 9);
    send_request(&mut sim, 2, KEYED, 9);
    sim.client_left(1);
    assert!(
        sim.in_flight_at(2).is_none(),
        "the client has left, but the attempt is still in flight"
    );
    sim.outcome(1, 0, Outcome::Reset);
    sim.advance(Span(20 * MS));
    assert!(sim.in_flight_at(2).is_none(), "turn_gap has not passed");
    sim.advance(Span(20 * MS));
    assert!(sim.in_flight_at(2).is_some());
}

#[test]
fn a_request_behind_too_many_of_its_key_is_refused_early() {
    let mut sim = Simulation::with_servers(key_order_settings(), 6);
    for id in 0..10 {
        send_request(&mut sim, id, KEYED, id);
        sim.advance(Span(50 * MS));
        sim.outcome(id, 0, Outcome::Ok);
    }
    (10..16).for_each(|id| send_request(&mut sim, id, KEYED, 1));
    assert!(
        !sim.refused(11) && sim.refused(15),
        "four requests of 50 ms ahead of it use up the aim of 200 ms"
    );
}

#[test]
fn a_zone_bound_class_stays_in_its_zones_and_does_not_block_others() {
    // Failure: a class limited to some zones was sent to any free upstream.
    let mut s = settings();
    s.classes[SAFE].zones = Some(vec![1]);
    let mut sim = Simulation::with_servers(s, 6);
    (0..20).for_each(|id| sim.request(id, SAFE));
    let at: Vec<_> = (0..20).filter_map(|id| sim.in_flight_at(id)).collect();
    assert!(!at.is_empty() && at.iter().all(|s| s.0 % 2 == 1), "{at:?}");
    assert!(sim.refused(19), "admission counts only the upstreams open to the class");
    sim.request(100, UNSAFE);
    assert!(
        sim.in_flight_at(100).is_some_and(|s| s.0 % 2 == 0),
        "other classes pass the requests that wait for zone 1"
    );
    for i in [1, 3, 5] {
        sim.update_list(ListKind::Update, &[Member { status: Status::Gone, ..member(i, 1) }]);
    }
    sim.request(200, SAFE);
    sim.advance(Span(600 * MS));
    assert!(sim.refused(200), "refused in time when no upstream is open to the class");
}

#[test]
fn idle_connections_to_a_draining_upstream_are_closed() {
    // Failure: idle connections to a draining upstream stayed open until their keep-alive expired.
    let mut s = settings();
    s.rules.drain_close = Span(50 * MS);
    let mut sim = Simulation::with_servers(s, 2);
    (0..4).for_each(|id| sim.request(id, SAFE));
    sim.update_list(ListKind::Full, &[member(1, 1)]);
    let closes = |sim: &Simulation| {
        sim.log.iter().filter(|a| matches!(a, Action::CloseIdle { server: ServerId(0) })).count()
    };
    assert_eq!(closes(&sim), 1, "an upstream missing from a full list is draining too");
    sim.advance(Span(150 * MS));
    let before = closes(&sim);
    let at = (0..4)
        .find(|&id| sim.in_flight_at(id) == Some(ServerId(0)))
        .expect("one request is in flight there");
    sim.outcome(at, 0, Outcome::Ok);
    assert!(closes(&sim) > before, "closed again after the last outcome there");
    sim.advance(Span(500 * MS));
}

#[derive(Clone, Debug)]
enum TestEvent {
    Request { class: usize, wait_ms: i64 },
    Outcome { id: u64, attempt: usize, outcome: Outcome },
    Advance { ms: i64 },
    ClientLeft { id: u64 },
    Status { id: u32, status: Status, cold: bool },
    FullList { count: u32 },
    Unavailable,
    StrayTimer { token: u64 },
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Ok),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Full),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
        1 => Just(Outcome::Cancelled),
        1 => Just(Outcome::NotSent),
    ]
}

fn events() -> impl Strategy<Value = TestEvent> {
    let status = prop_oneof![Just(Status::Live), Just(Status::Draining), Just(Status::Gone)];
    prop_oneof![
        8 => (0..3usize, 0..700i64).prop_map(|(class, wait_ms)| TestEvent::Request { class, wait_ms }),
        8 => (0..60u64, 0..3usize, outcomes())
            .prop_map(|(id, attempt, outcome)| TestEvent::Outcome { id, attempt, outcome }),
        6 => (0..80i64).prop_map(|ms| TestEvent::Advance { ms }),
        1 => (0..60u64).prop_map(|id| TestEvent::ClientLeft { id }),
        2 => (0..8u32, status, any::<bool>())
            .prop_map(|(id, status, cold)| TestEvent::Status { id, status, cold }),
        1 => (0..8u32).prop_map(|count| TestEvent::FullList { count }),
        1 => Just(TestEvent::Unavailable),
        1 => (0..9u64).prop_map(|token| TestEvent::StrayTimer { token }),
    ]
}

fn apply_events(sim: &mut Simulation, events: Vec<TestEvent>) {
    let mut next = 0;
    for event in events {
        match event {
            TestEvent::Request { class, wait_ms } => {
                sim.request_until(next, class, sim.now.plus(Span(wait_ms * MS)));
                next += 1;
            }
            TestEvent::Outcome { id, attempt, outcome } => sim.outcome(id, attempt, outcome),
            TestEvent::Advance { ms } => sim.advance(Span(ms * MS)),
            TestEvent::ClientLeft { id } => sim.client_left(id),
            TestEvent::Status { id, status, cold } => {
                let started = cold.then_some(sim.now);
                let kind = id / 6;
                sim.update_list(
                    ListKind::Update,
                    &[Member { status, started, kind, ..member(id, id % 2) }],
                );
            }
            TestEvent::FullList { count } => {
                let list: Vec<_> = (0..count).map(|i| member(i, i % 2)).collect();
                sim.update_list(ListKind::Full, &list);
            }
            TestEvent::Unavailable => sim.update_list(ListKind::Unavailable, &[]),
            TestEvent::StrayTimer { token } => {
                let mut actions = vec![];
                sim.balancer.handle(sim.now, Event::Timer(token + 1000), &mut actions);
                assert!(actions.is_empty());
            }
        }
    }
}

#[test]
fn the_rules_hold_over_random_event_sequences() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (any::<[bool; 5]>(), prop::collection::vec(events(), 1..250));
    let result = runner.run(&input, |([copies, must_ask, order, zones, kinds], events)| {
        let mut s = settings();
        (s.limits.second_copies, s.must_ask) = (copies, must_ask);
        (s.rules.turn_gap, s.rules.drain_close) = (Span(30 * MS), Span(50 * MS));
        (s.classes[SAFE].in_order, s.classes[KEYED].in_order) = (order, order);
        s.classes[UNSAFE].zones = zones.then(|| vec![1]);
        s.classes[SAFE].kinds = kinds.then(|| vec![0]);
        let mut sim = Simulation::with_servers(s, 4);
        apply_events(&mut sim, events);
        // Every client has exactly one answer once its deadline has passed.
        sim.advance(Span(2000 * MS));
        let unanswered: Vec<_> =
            sim.requests.iter().filter(|(_, a)| !a.finished).map(|(id, _)| id).collect();
        prop_assert!(unanswered.is_empty(), "no final answer for {:?}", unanswered);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_fleet_does_not_overload_a_cold_upstream() {
    // Six proxies under sustained load. Warm upstreams serve 50 requests a second; the cold one starts at a fifth
    // of that and must not receive more than three times its capacity within a second. It answers as quickly as the
    // others, so K_i alone would not limit the sends.
    let proxy = |position| {
        let mut s = Settings { balancers: 6, position, ..settings() };
        s.classes[SAFE].deadline = Span(60_000 * MS);
        let mut sim = Simulation::with_servers(s, 12);
        sim.update_list(ListKind::Update, &[Member { started: Some(sim.now), ..member(5, 1) }]);
        (sim, Vec::<(Time, u64)>::new())
    };
    let mut fleet: Vec<_> = (0..6).map(proxy).collect();
    let (mut id, mut sent) = (0, vec![]);
    let mut free_at = [Time(0); 12];
    for _ in 0..400 {
        for (sim, due) in &mut fleet {
            sim.advance(Span(5 * MS));
            let done: Vec<_> = due.iter().filter(|d| d.0 <= sim.now).map(|d| d.1).collect();
            due.retain(|d| d.0 > sim.now);
            done.into_iter().for_each(|i| sim.outcome(i, 0, Outcome::Ok));
            let known = sim.log.len();
            (0..3).for_each(|i| sim.request(id + i, SAFE));
            id += 3;
            let fresh: Vec<_> = sim.log[known.saturating_sub(40)..].to_vec();
            for action in fresh {
                let Action::Send { request, server, .. } = action else { continue };
                if due.iter().any(|d| d.1 == request.0) || sim.requests[&request.0].finished {
                    continue;
                }
                // A warm upstream runs one request at a time, whichever proxy sent it.
                let free = &mut free_at[server.0 as usize];
                *free =
                    if server.0 == 5 { sim.now } else { sim.now.max(*free) }.plus(Span(20 * MS));
                due.push((*free, request.0));
                if server.0 == 5 {
                    sent.push(sim.now);
                }
            }
        }
    }
    let start = fleet[0].0.now.plus(Span(-2000 * MS));
    for t in &sent {
        let within = sent.iter().filter(|s| (0..1000 * MS).contains(&s.since(*t).0)).count();
        let share = 0.2 + 0.8 * t.since(start).f() / (10_000.0 * MS as f64);
        let most = 3.0 * share * 50.0;
        assert!(within as f64 <= most, "{within} sends within a second, the limit is {most}");
    }
    assert!(sent.len() >= 4, "the cold upstream gets some requests: {}", sent.len());
}

#[test]
fn invalid_list_entries_are_corrected() {
    let mut sim = Simulation::with_servers(settings(), 2);
    for (id, weight) in [(0, 0.0), (1, f64::NAN), (2, f64::INFINITY), (3, -1.0)] {
        sim.update_list(ListKind::Update, &[Member { weight, ..member(id, 0) }]);
    }
    let future = Some(Time(sim.now.0 + 3_600_000 * MS));
    sim.update_list(
        ListKind::Update,
        &[Member { started: future, kind: u32::MAX, ..member(4, 0) }],
    );
    for id in 0..60 {
        sim.request(id, SAFE);
        sim.advance(Span(10 * MS));
        sim.outcome(id, 0, Outcome::Ok);
    }
    assert!((0..60).all(|id| !sim.refused(id)), "upstreams with an invalid weight serve");
    assert!(sim.sends_to(4) <= 15, "an upstream with a start time in the future counts as cold");
}

#[test]
fn a_deadline_in_the_past_is_refused_at_once() {
    let mut sim = Simulation::with_servers(settings(), 2);
    sim.request_until(1, UNSAFE, Time(sim.now.0 - MS));
    sim.request_until(2, KEYED, Time(i64::MIN));
    assert!(sim.refused(1) && sim.refused(2));
}

#[test]
fn an_extreme_latency_has_no_lasting_effect() {
    // Failure: one extreme latency raised the mean of its class so far that it never recovered.
    let mut sim = Simulation::with_servers(settings(), 2);
    let answer = |id: u64, latency| Answer {
        request: RequestId(id),
        attempt: 0,
        server: ServerId(0),
        outcome: Outcome::Ok,
        latency,
        last: true,
        spent: false,
        report: Report { inflight: Some(f64::NAN), qps: Some(-1.0), ..Report::default() },
    };
    for id in 0..40 {
        sim.request(id, SAFE);
        let extreme = if id % 2 == 0 { Span(i64::MAX) } else { Span(-5) };
        let latency = if id < 4 { extreme } else { Span(20 * MS) };
        sim.requests.get_mut(&id).expect("request is known").finished = true;
        sim.now = sim.now.plus(Span(20 * MS));
        sim.balancer.handle(sim.now, Event::Answered(answer(id, latency)), &mut vec![]);
    }
    let (_, k, n) = sim.balancer.upstream(ServerId(0), Span(200 * MS)).unwrap();
    assert!(k >= 1 && n > 0.1, "K {k}, N {n}");
    // Repeated, late and unknown events have no effect.
    let mut actions = vec![];
    sim.balancer.handle(sim.now, Event::Answered(answer(39, Span(MS))), &mut actions);
    sim.balancer.handle(sim.now, Event::Answered(answer(999, Span(MS))), &mut actions);
    sim.balancer.handle(sim.now, Event::Left(RequestId(999)), &mut actions);
    sim.balancer.handle(sim.now, Event::Started(RequestId(999)), &mut actions);
    assert!(actions.is_empty());
}
