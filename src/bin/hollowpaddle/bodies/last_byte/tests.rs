use super::*;

const SECOND: Duration = Duration::from_secs(1);
const TIME: Duration = Duration::from_secs(2);

#[test]
fn time_runs_from_the_arrival_of_the_last_byte_however_late_it_is_read() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(Some(700_000), start);
    arrival.record((500_000, 0), true, start + SECOND);
    assert_eq!(arrival.due(TIME), Some(start + 3 * SECOND), "nothing moves");
    arrival.record((500_000, 100_000), true, start + Duration::from_millis(1500));
    assert_eq!(arrival.due(TIME), Some(start + Duration::from_millis(3500)), "it moves");
    arrival.record((700_000, 0), true, start + 2 * SECOND);
    arrival.record((700_000, 200_000), true, start + 9 * SECOND);
    let written = start + 2 * SECOND - UNSEEN_TIME;
    assert_eq!(arrival.due(TIME), Some(written + TIME), "all has arrived");
    assert_eq!(arrival.arrived_at(TIME), written);
}

#[test]
fn end_that_the_clients_kernel_may_hold_counts_as_written() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(Some(700_000), start);
    arrival.record((650_000, 0), true, start + SECOND);
    arrival.record((660_000, 0), true, start + 2 * SECOND);
    assert_eq!(arrival.due(TIME), Some(start + 3 * SECOND + HIDDEN_END_TIME));
    arrival.record((700_000, 0), true, start + 3 * SECOND);
    assert_eq!(arrival.arrived_at(TIME), start + SECOND + HIDDEN_END_TIME);
}

#[test]
fn end_that_the_proxy_waits_for_is_not_written_before_it_arrives() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(Some(700_000), start);
    arrival.record((650_000, 0), true, start + SECOND);
    arrival.record((650_000, 0), false, start + 2 * SECOND);
    arrival.record((700_000, 0), false, start + 3 * SECOND);
    assert_eq!(arrival.arrived_at(TIME), start + 3 * SECOND);
}

#[test]
fn body_of_unknown_size_has_arrived_once_it_ends_as_such_bodies_do() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(None, start);
    let short = Duration::from_secs(1);
    arrival.record((500_000, 0), true, start + SECOND);
    assert_eq!(arrival.due(short), Some(start + SECOND + MIN_STALL_TIME));
    arrival.record_end(true);
    assert_eq!(arrival.due(short), Some(start + 2 * SECOND - short / UNSEEN_DIVISOR));
    arrival.record((500_001, 0), false, start + 2 * SECOND);
    arrival.record_end(true);
    assert_eq!(arrival.due(short), Some(start + 3 * SECOND), "the proxy waited for it");
    // What looked like the end was a part of it.
    arrival.record((600_000, 0), true, start + 3 * SECOND);
    assert_eq!(arrival.due(short), Some(start + 3 * SECOND + MIN_STALL_TIME));
}

/// Guards against the end of a chunked body counting from when the upstream made room for it: its client wrote it as the
/// bytes before it left its kernel.
#[test]
fn end_of_a_body_of_unknown_size_was_written_when_the_clients_kernel_had_room_for_it() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(None, start);
    arrival.record((212_860, 32_768), true, start + Duration::from_millis(500));
    arrival.record((278_396, 65_536), true, start + Duration::from_millis(600));
    arrival.record((294_780, 65_536), true, start + Duration::from_millis(680));
    arrival.record((294_780, 98_304), true, start + Duration::from_millis(840));
    arrival.record((303_896, 131_072), true, start + Duration::from_millis(1470));
    arrival.record_end(true);
    let written = start + Duration::from_millis(600) + HIDDEN_END_TIME;
    assert_eq!(arrival.arrived_at(TIME), written);
    assert_eq!(arrival.due(TIME), Some(written + TIME));
    arrival.record((400_000, 131_072), true, start + 2 * SECOND);
    assert_eq!(arrival.due(TIME), Some(start + 4 * SECOND), "it was not the end");
}

#[test]
fn stalled_body_is_not_due_while_its_client_cannot_have_written_all_of_it() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(Some(32 << 20), start);
    arrival.record((500_000, 0), true, start + SECOND);
    assert_eq!(arrival.due(TIME), None);
    arrival.record((30 << 20, 0), true, start + 9 * SECOND);
    assert_eq!(arrival.due(TIME), Some(start + 11 * SECOND));
}
