use super::*;

const SECOND: Duration = Duration::from_secs(1);
const TIME: Duration = Duration::from_secs(2);

/// Guards against the time of a request starting anew with whatever moves: all of it may be written from the start (review/8).
#[test]
fn time_runs_from_the_start_however_the_body_moves() {
    for size in [Some(1 << 20), None] {
        let start = Instant::now();
        let mut arrival = BodyArrival::new(size, start);
        for step in 1..=16 {
            arrival.record_received(step * (64 << 10), start + step as u32 * SECOND);
            assert_eq!(arrival.due(TIME), Some(start + TIME), "{size:?}, {step}");
        }
        assert_eq!(arrival.arrived_at(), start);
    }
}

#[test]
fn time_runs_from_when_the_client_was_last_seen_to_have_more() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(Some(700_000), start);
    arrival.record_received(500_000, start + SECOND);
    arrival.record_unfinished(start + 3 * SECOND);
    arrival.record_unfinished(start + 2 * SECOND);
    arrival.record_received(700_000, start + 9 * SECOND);
    assert_eq!(arrival.arrived_at(), start + 3 * SECOND);
    assert_eq!(arrival.due(TIME), Some(start + 5 * SECOND));
}

#[test]
fn body_is_not_due_while_its_client_cannot_have_written_all_of_it() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(Some(32 << 20), start);
    arrival.record_received(500_000, start + SECOND);
    assert_eq!(arrival.due(TIME), None);
    arrival.record_received(20 << 20, start + 8 * SECOND);
    assert_eq!(arrival.due(TIME), None);
    arrival.record_received(30 << 20, start + 9 * SECOND);
    assert_eq!(arrival.due(TIME), Some(start + 10 * SECOND), "it may have been written since 8 s");
}

/// Guards against a body of unknown size counting as written from the start, however much of it comes.
#[test]
fn body_of_unknown_size_was_not_written_long_before_it_came() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(None, start);
    for second in 1..=10 {
        arrival.record_received(u64::from(second) * (1 << 20), start + second * SECOND);
    }
    // Of the tenth MiB, 4 MiB at the most were hidden: at 5 s, 5 MiB had come.
    assert_eq!(arrival.arrived_at(), start + 5 * SECOND);
}

#[test]
fn arrivals_are_remembered_in_steps() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(None, start);
    for received in 0..100_000 {
        arrival.record_received(received * 100, start);
    }
    let most = MAX_SEND_BUFFER_BYTES / ARRIVAL_STEP_BYTES + 2;
    assert!(arrival.arrivals.len() as u64 <= most, "{}", arrival.arrivals.len());
}

/// Guards against one late delivery by the client's kernel passing for a client that has more to write.
#[test]
fn client_has_more_to_write_if_it_was_seen_so_twice_in_a_row() {
    let start = Instant::now();
    let at = |second| start + second * SECOND;
    let mut sightings = UnfinishedSightings::default();
    assert_eq!(sightings.record(at(1), CatchUp::ClientHasMore), None);
    assert_eq!(sightings.record(at(2), CatchUp::MoreIsHidden), None);
    assert_eq!(sightings.record(at(3), CatchUp::ClientHasMore), None);
    assert_eq!(sightings.record(at(4), CatchUp::Unknown), None);
    assert_eq!(sightings.record(at(5), CatchUp::ClientHasMore), Some(at(3)));
    assert_eq!(sightings.record(at(6), CatchUp::ClientHasMore), Some(at(5)));
    assert_eq!(sightings.record(at(7), CatchUp::MoreIsHidden), None);
    assert_eq!(sightings.record(at(8), CatchUp::ClientHasMore), None);
}
