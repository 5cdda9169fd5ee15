//! Responses that upstreams write slowly, late or not to the end: on real processes, by real clocks.

#[allow(dead_code)] // Each test file uses a part of the helpers.
mod load;
#[allow(dead_code)] // Used by the tests of the next commits.
mod paced;
#[allow(dead_code)] // Each test file uses a part of the stubs.
mod stubs;

use paced::*;

const DEADLINE_MS: u64 = 2000;
const AIMS_MS: [u64; 3] = [200, 400, 1000];
const SMALL: usize = 20_000;
const LARGE: usize = 180_000;

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
        })
    };
    aims_ms.iter().flat_map(of_aim).collect()
}

/// The exchanges that did not end as `is_right` says, with what came.
fn wrong(
    exchanges: &[Exchange],
    got: &[Got],
    is_right: impl Fn(&Exchange, &Got) -> bool,
) -> Vec<String> {
    let pairs = exchanges.iter().zip(got).filter(|(exchange, got)| !is_right(exchange, got));
    pairs.map(|(exchange, got)| format!("{}: {got:?}", exchange.summary())).collect()
}

/// Guards against a response that has begun being ended at its class's aim, while its client still waits: by framing, size,
/// method and aim.
#[test]
fn response_that_has_begun_is_not_ended_at_its_class_aim() {
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
    let is_right = |exchange: &Exchange, got: &Got| got.is_all_of(&exchange.schedule);
    let wrong = wrong(&exchanges, &got, is_right);
    assert!(wrong.is_empty(), "{} of {}: {wrong:#?}", wrong.len(), exchanges.len());
}
