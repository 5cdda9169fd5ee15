use super::*;

const DEADLINE: Duration = Duration::from_millis(1000);
/// Rates in bytes per second at which a response counts as large; the last is the slowest.
const LARGE_PACES: [f64; 4] = [200_000.0, 64_000.0, 40_000.0, 25_000.0];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A response of unknown size whose first bytes arrive `first_after` the request.
fn begin(start: Instant, first_after: Duration, bytes: u64) -> ResponseProgress {
    ResponseProgress::new(start + DEADLINE, Size::Unknown, bytes, start + first_after)
}

#[test]
fn small_response_has_to_end_soon_after_the_deadline() {
    let start = Instant::now();
    let mut progress =
        ResponseProgress::new(start + DEADLINE, Size::Declared(64 << 10), 0, start + ms(10));
    for at in [20, 900, 1200] {
        assert_eq!(progress.give_up_at(start + ms(at)), start + DEADLINE + SMALL_GRACE);
        progress.record(20_000, start + ms(at));
    }
}

#[test]
fn large_response_ends_by_a_stall_alone() {
    let start = Instant::now();
    let declared = Size::Declared((64 << 10) + 1);
    let declared = ResponseProgress::new(start + DEADLINE, declared, 0, start);
    let mut grown = begin(start, ms(10), 10);
    grown.record(64 << 10, start + ms(1400));
    for progress in [declared, grown] {
        for at in [1400, 5000] {
            let since = start + ms(at);
            assert_eq!(progress.give_up_at(since), since + STALL_TIMEOUT);
        }
    }
}

#[test]
fn stalled_response_of_unknown_size_ends_in_time_however_much_of_it_arrived() {
    let start = Instant::now();
    for first_after in [0, 100, 300] {
        for bytes in [1, 1_000, 30_000, 60_000, 64 << 10] {
            let since = start + ms(first_after);
            let progress = begin(start, ms(first_after), bytes);
            let end = progress.give_up_at(since);
            assert_eq!(end, start + DEADLINE + UNKNOWN_SIZE_GRACE, "{bytes} at {first_after} ms");
        }
    }
}

#[test]
fn trickled_response_of_unknown_size_ends_in_time() {
    let start = Instant::now();
    let mut progress = begin(start, ms(0), 1);
    for n in 1..140 {
        let at = start + ms(n * 10);
        progress.record(200, at);
        assert_eq!(progress.give_up_at(at), start + DEADLINE + UNKNOWN_SIZE_GRACE);
    }
}

#[test]
fn large_response_is_never_given_up_between_pieces_that_keep_their_pace() {
    let start = Instant::now();
    let by_deadline = DEADLINE + UNKNOWN_SIZE_GRACE;
    for pace in LARGE_PACES {
        for gap in [20, 100, 300, 700, 1100].map(ms) {
            for (first_after, first) in [(50, 1), (50, 1_000), (250, 1_000), (300, 30_000)] {
                let mut at = ms(first_after);
                let mut progress = begin(start, at, first);
                // A second piece that comes after the end of a small response cannot be foreseen.
                if at + gap > by_deadline {
                    continue;
                }
                while !progress.is_large() {
                    let next = at + gap;
                    let given_up = progress.give_up_at(start + at);
                    assert!(
                        given_up > start + next,
                        "given up at {:?}, next piece at {next:?}: {pace} bytes/s, gap {gap:?}, {first} bytes first",
                        given_up - start
                    );
                    at = next;
                    // A piece arrives in parts, which are read as they come.
                    let bytes = (pace * gap.as_secs_f64()) as usize;
                    progress.record(bytes.min(1_000), start + at);
                    assert!(progress.give_up_at(start + at) > start + at + ms(10));
                    progress.record(bytes.saturating_sub(1_000), start + at + ms(2));
                }
            }
        }
    }
}

#[test]
fn little_more_of_a_small_response_does_not_prolong_it() {
    let start = Instant::now();
    let mut progress = begin(start, ms(0), 1_000);
    let end = start + DEADLINE + UNKNOWN_SIZE_GRACE;
    progress.record(10, start + ms(1200));
    assert_eq!(progress.give_up_at(start + ms(1200)), end);
    // Its last bytes may just be arriving; that is waited for once.
    for n in 0..10 {
        let at = end - ms(5) + ms(10) * n;
        progress.record(10, at);
        assert_eq!(progress.give_up_at(at), end - ms(5) + PIECE_TIME);
    }
}

#[test]
fn first_piece_lets_the_next_be_expected_by_its_size() {
    let start = Instant::now();
    let progress = ResponseProgress::new(start + ms(300), Size::Unknown, 60_000, start + ms(250));
    let next_at_slow_pace = start + ms(250) + Duration::from_secs_f64(60_000.0 / 64_000.0);
    assert!(progress.give_up_at(start + ms(250)) > next_at_slow_pace);
}
