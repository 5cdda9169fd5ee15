use super::*;

const TIME: Duration = Duration::from_secs(2);
/// A body of which an upstream has taken 120 KiB and stopped for a moment.
const HELD_BACK: Movement = Movement {
    waits_for_client: false,
    was_taken: false,
    passed_on: 120 << 10,
    elapsed: Duration::from_millis(100),
    stalled: Duration::from_millis(50),
};

#[test]
fn nothing_is_read_ahead_while_the_body_moves_or_long_after() {
    assert_eq!(HELD_BACK.max_read_ahead(TIME), MAX_BYTES);
    let moving = [
        Movement { waits_for_client: true, ..HELD_BACK },
        Movement { was_taken: true, ..HELD_BACK },
        Movement { stalled: MAX_STALL + Duration::from_millis(1), ..HELD_BACK },
    ];
    for movement in moving {
        assert_eq!(movement.max_read_ahead(TIME), 0, "{movement:?}");
    }
}

#[test]
fn more_is_read_ahead_of_an_upstream_that_cannot_take_a_large_body_in_time() {
    // 20 KiB beyond the first 100 in a second are 40 KiB in the request's time.
    let slow = Movement { elapsed: Duration::from_secs(1), ..HELD_BACK };
    assert_eq!(slow.max_read_ahead(TIME), MAX_BYTES_SLOW);
    assert_eq!(slow.max_read_ahead(10 * TIME), MAX_BYTES, "it has more time");
    let quick = Movement { passed_on: 300 << 10, ..slow };
    assert_eq!(quick.max_read_ahead(TIME), MAX_BYTES);
    assert_eq!(HELD_BACK.max_read_ahead(TIME), MAX_BYTES, "too early to tell");
}

#[test]
fn body_is_held_back_until_its_client_is_waited_for() {
    assert!(HELD_BACK.is_held_back(false));
    let taken = Movement { was_taken: true, ..HELD_BACK };
    assert!(!taken.is_held_back(false) && taken.is_held_back(true));
    assert!(!Movement { waits_for_client: true, ..HELD_BACK }.is_held_back(true));
}
