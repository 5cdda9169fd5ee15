//! Responses that upstreams write slowly, late or not to the end: on real processes, by real clocks.

#[allow(dead_code)] // Each test file uses a part of the helpers.
mod load;
mod paced;
#[allow(dead_code)] // Each test file uses a part of the stubs.
mod stubs;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

use paced::*;
use stubs::chunk;

const DEADLINE_MS: u64 = 2000;
const AIMS_MS: [u64; 3] = [200, 400, 1000];
const SMALL: usize = 20_000;
const LARGE: usize = 180_000;

/// Lets one test run at a time: each has up to a hundred clients, and judges by clocks.
fn alone() -> MutexGuard<'static, ()> {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A body of this size in pieces, the first at `first_at_ms` and the others 64 kB/s after it.
fn body(bytes: usize, first_at_ms: u64) -> Vec<Piece> {
    let piece = 16_000;
    let count = bytes.div_ceil(piece);
    let at = |n: usize| first_at_ms + (n * 250) as u64;
    (0..count).map(|n| Piece { at_ms: at(n), bytes: piece.min(bytes - n * piece) }).collect()
}

/// Requests of both kinds of classes, with each of these aims.
fn requests(aims_ms: &[u64], schedule: &Schedule) -> Vec<Exchange> {
    let of_aim = |aim_ms: &u64| {
        [true, false].map(|safe| Exchange {
            safe,
            aim_ms: *aim_ms,
            deadline_ms: DEADLINE_MS,
            schedule: schedule.clone(),
            retried: None,
        })
    };
    aims_ms.iter().flat_map(of_aim).collect()
}

/// Fails with the exchanges that did not end as `is_right` says, and what came of them.
fn assert_each(
    what: &str,
    exchanges: &[Exchange],
    got: &[Got],
    is_right: impl Fn(&Exchange, &Got) -> bool,
) {
    let pairs = exchanges.iter().zip(got).filter(|(exchange, got)| !is_right(exchange, got));
    let wrong: Vec<String> =
        pairs.map(|(exchange, got)| format!("{}: {got:?}", exchange.summary())).collect();
    assert!(wrong.is_empty(), "{what}: {} of {}: {wrong:#?}", wrong.len(), exchanges.len());
}

fn is_whole(exchange: &Exchange, got: &Got) -> bool {
    got.is_all_of(&exchange.schedule)
}

/// Guards against a response that has begun being ended at its class's aim, while its client still waits: by framing, size,
/// method and aim.
#[test]
fn response_that_has_begun_is_not_ended_at_its_class_aim() {
    let _alone = alone();
    let mut exchanges = Vec::new();
    for framing in FRAMINGS {
        for bytes in [SMALL, LARGE] {
            let whole = Schedule::whole(framing, body(bytes, 1300));
            let head_in_two = Schedule { head_at_ms: [0, 1200], ..whole.clone() };
            exchanges.extend(requests(&AIMS_MS, &whole));
            exchanges.extend(requests(&AIMS_MS, &head_in_two));
        }
    }
    let fleet = PacedFleet::start(&exchanges, AMPLE);
    let got = fleet.play(&exchanges);
    assert_each("whole", &exchanges, &got, is_whole);
}

/// A response that is declared to be large is ended once its upstream has been silent for this long.
const STALL_TIMEOUT: Duration = Duration::from_secs(8);

/// By when a response that stops for good has to be ended. Of a large one only the first bytes are timed (DAYS), and its
/// head is passed on as it comes.
fn end_limit(exchange: &Exchange) -> Duration {
    let Schedule { framing, declared, head_at_ms, pieces, .. } = &exchange.schedule;
    let in_time = Duration::from_millis(exchange.deadline_ms) + ANSWER_GRACE;
    let declared_large = *framing == Framing::Length && *declared == LARGE;
    if !declared_large || head_at_ms[1] > exchange.deadline_ms {
        return in_time;
    }
    let last = pieces.last().map_or(0, |piece| piece.at_ms);
    Duration::from_millis(last) + STALL_TIMEOUT + ANSWER_GRACE
}

/// Guards against a response that stops for good, in its head or its body, being waited for past its time: by framing, size,
/// method, and an aim under, at and over the deadline.
#[test]
fn response_that_stops_for_good_is_answered_once_in_its_time() {
    let _alone = alone();
    let deadline_ms = 1000;
    let mut exchanges = Vec::new();
    for framing in FRAMINGS {
        for declared in [SMALL, LARGE] {
            let piece = |bytes| vec![Piece { at_ms: 300, bytes }];
            let before_body = Schedule::unfinished(framing, Vec::new(), declared);
            let in_head = Schedule { head_at_ms: [0, 60_000], ..before_body.clone() };
            let in_body = Schedule::unfinished(framing, piece(SMALL - 1), declared);
            for schedule in [before_body, in_head, in_body] {
                exchanges.extend(requests(&[300, deadline_ms, 3000], &schedule));
            }
        }
    }
    exchanges.iter_mut().for_each(|exchange| exchange.deadline_ms = deadline_ms);
    let fleet = PacedFleet::start(&exchanges, AMPLE);
    let got = fleet.play(&exchanges);
    let is_right = |exchange: &Exchange, got: &Got| {
        got.ended_after <= end_limit(exchange)
            && (got.status >= 500 || got.status == 200 && !got.whole)
    };
    assert_each("answered", &exchanges, &got, is_right);
}

/// Whether a part of this response can be passed on before its request's deadline.
fn is_passed_on_in_time(exchange: &Exchange) -> bool {
    let Schedule { framing, declared, pieces, .. } = &exchange.schedule;
    match framing {
        Framing::Length => *declared >= LARGE,
        _ => pieces[0].at_ms < exchange.deadline_ms,
    }
}

/// Guards against a response being cut off in a gap that begins before its deadline and ends soon after it, once a part of it
/// was passed on; and against being waited for past the deadline before that.
#[test]
fn response_with_a_gap_over_its_deadline_is_whole_if_it_was_passed_on_before() {
    let _alone = alone();
    let deadline_ms = 1000;
    let mut exchanges = Vec::new();
    for framing in FRAMINGS {
        for bytes in [SMALL, LARGE] {
            let piece = |n: usize, bytes| Piece { at_ms: deadline_ms + 50 + 500 * n as u64, bytes };
            // A small one has to end soon after its deadline; a large one goes on at 64 kB/s.
            let late: Vec<Piece> = match bytes > SMALL {
                true => (0..5).map(|n| piece(n, bytes / 5)).collect(),
                false => vec![piece(0, bytes)],
            };
            let mut gap = late.clone();
            gap.insert(0, Piece { at_ms: 200, bytes: 1 });
            exchanges.extend(requests(&[300, 3000], &Schedule::whole(framing, late)));
            exchanges.extend(requests(&[300, 3000], &Schedule::whole(framing, gap)));
        }
    }
    exchanges.iter_mut().for_each(|exchange| exchange.deadline_ms = deadline_ms);
    let fleet = PacedFleet::start(&exchanges, AMPLE);
    let got = fleet.play(&exchanges);
    let is_right = |exchange: &Exchange, got: &Got| match is_passed_on_in_time(exchange) {
        true => got.is_all_of(&exchange.schedule),
        false => got.status >= 500 && got.ended_after <= end_limit(exchange),
    };
    assert_each("answered", &exchanges, &got, is_right);
}

/// Guards against a response that begins late being ended where there is no memory to buffer its first part.
#[test]
fn response_that_begins_late_is_whole_where_memory_is_scarce() {
    let _alone = alone();
    let mut exchanges = Vec::new();
    for framing in FRAMINGS {
        for (bytes, first_at_ms) in [(SMALL, 1300), (LARGE, 1300), (LARGE, 1850)] {
            let whole = Schedule::whole(framing, body(bytes, first_at_ms));
            for _ in 0..8 {
                exchanges.extend(requests(&[400], &whole));
            }
        }
    }
    let fleet = PacedFleet::start(&exchanges, SCARCE);
    let got = fleet.play(&exchanges);
    assert_each("whole", &exchanges, &got, is_whole);
}

/// A small response, at once.
fn prompt() -> Schedule {
    Schedule::whole(Framing::Length, vec![Piece { at_ms: 0, bytes: SMALL }])
}

/// Guards against an error whose body comes late, or never, keeping a request from being sent elsewhere in its aim, or from
/// its answer.
#[test]
fn error_with_a_late_body_does_not_hold_its_request() {
    let _alone = alone();
    let mut exchanges = Vec::new();
    for framing in FRAMINGS {
        let late = Schedule::whole(framing, vec![Piece { at_ms: 1300, bytes: SMALL }]);
        let never = Schedule::unfinished(framing, Vec::new(), SMALL);
        for failed in [late, never] {
            let failed = Schedule { status: "500 Internal Server Error", ..failed };
            exchanges.extend(requests(&[1000], &failed));
        }
    }
    exchanges.iter_mut().for_each(|exchange| exchange.retried = Some(prompt()));
    let fleet = PacedFleet::start(&exchanges, AMPLE);
    let got = fleet.play(&exchanges);
    let is_right = |exchange: &Exchange, got: &Got| {
        let status = if exchange.safe { 200 } else { 502 };
        got.status == status && got.whole && got.ended_after < Duration::from_millis(1000)
    };
    assert_each("answered", &exchanges, &got, is_right);
}

/// Guards against a request that must not run twice being sent again on a rejection that is broken, which proves nothing.
#[test]
fn rejection_counts_once_all_of_it_has_come() {
    let _alone = alone();
    let mut exchanges = Vec::new();
    for framing in FRAMINGS {
        let whole = Schedule::whole(framing, body(SMALL, 200));
        let piece = |bytes| vec![Piece { at_ms: 0, bytes }];
        let broken = Schedule::unfinished(framing, piece(100), SMALL);
        let large = Schedule::unfinished(framing, piece(LARGE - 1), LARGE);
        for rejected in [whole, broken, large] {
            let rejected = Schedule { status: "503 Unavailable\r\nX-Not-Run: 1", ..rejected };
            exchanges.extend(requests(&[1000], &rejected));
        }
    }
    exchanges.iter_mut().for_each(|exchange| exchange.retried = Some(prompt()));
    let fleet = PacedFleet::start(&exchanges, AMPLE);
    let got = fleet.play(&exchanges);
    let is_right = |exchange: &Exchange, got: &Got| match exchange.schedule.ends {
        true => got.status == 200 && got.whole,
        false => {
            let served_elsewhere = exchange.safe && got.status == 200 && got.whole;
            (got.status >= 500 || served_elsewhere) && got.ended_after <= end_limit(exchange)
        }
    };
    assert_each("answered", &exchanges, &got, is_right);
    let sent_again = |n: &usize| {
        let Exchange { safe, schedule, .. } = &exchanges[*n];
        !safe && !schedule.ends && fleet.attempts(*n) > 1
    };
    let sent_again: Vec<usize> = (0..exchanges.len()).filter(sent_again).collect();
    assert_eq!(sent_again, Vec::<usize>::new(), "sent again on a broken rejection");
}

/// Responses that have begun, and bring their first piece after their class's aim.
fn late_responses() -> Vec<Exchange> {
    let of = |(framing, bytes)| requests(&[400], &Schedule::whole(framing, body(bytes, 1300)));
    let sizes = |framing| [(framing, SMALL), (framing, LARGE)];
    FRAMINGS.into_iter().flat_map(sizes).flat_map(of).collect()
}

/// What happens to a proxy while it waits for responses.
#[derive(Clone, Copy, Debug)]
enum Event {
    Shutdown,
    Reload,
    Drain,
    Removal,
}

impl Event {
    fn happen(self, fleet: &PacedFleet) {
        let update = |list: Value| {
            let (_, mut watch) = fleet.node.discovery.watch();
            chunk(&mut watch, &format!("{list}\n"));
        };
        let list = |complete: bool, members: Vec<Value>| json!({"revision": 42, "complete": complete, "members": members});
        match self {
            Event::Shutdown => {
                for name in ["TERM", "HUP", "TERM"] {
                    fleet.node.signal(name);
                }
            }
            Event::Reload => fleet.node.signal("HUP"),
            Event::Drain => update(list(false, fleet.listed("DRAINING"))),
            Event::Removal => update(list(true, Vec::new())),
        }
    }
}

/// Guards against a response that has begun being ended by what happens to the process or to the list meanwhile.
#[test]
fn response_that_has_begun_outlives_a_shutdown_a_reload_and_a_drain() {
    let _alone = alone();
    let exchanges = late_responses();
    for event in [Event::Shutdown, Event::Reload, Event::Drain, Event::Removal] {
        let fleet = PacedFleet::start(&exchanges, AMPLE);
        let got = fleet.play_with(&exchanges, || {
            std::thread::sleep(Duration::from_millis(700));
            event.happen(&fleet);
        });
        assert_each(&format!("{event:?}"), &exchanges, &got, is_whole);
    }
}

/// Guards against a response that stops for good being waited for until the process is killed, where its request came after
/// SIGTERM: by then the longest deadline and 0.7 s have passed.
#[test]
fn response_that_stops_for_good_during_a_shutdown_ends_before_the_kill() {
    let _alone = alone();
    let of = |framing| {
        let begun = vec![Piece { at_ms: 0, bytes: 1000 }];
        requests(&[400, 6000], &Schedule::unfinished(framing, begun, SMALL))
    };
    let mut exchanges: Vec<Exchange> = FRAMINGS.into_iter().flat_map(of).collect();
    exchanges.iter_mut().for_each(|exchange| exchange.deadline_ms = 6000);
    let fleet = PacedFleet::start(&exchanges, AMPLE);
    fleet.node.signal("TERM");
    std::thread::sleep(Duration::from_millis(250));
    let got = fleet.play(&exchanges);
    let kill_after = Duration::from_millis(3000 + 700 - 250);
    let is_right = |_: &Exchange, got: &Got| {
        let answered = got.status >= 500 || got.status == 200 && !got.whole;
        answered && got.ended_after < kill_after
    };
    assert_each("answered", &exchanges, &got, is_right);
}
