use super::*;

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3600 * SECOND;
const NOW: Time = Time(100 * HOUR);

fn clock_with_step(step: i64) -> WallClock {
    let mut clock = WallClock::default();
    clock.record(Time(NOW.0 - 60 * SECOND), Time(NOW.0 - 60 * SECOND));
    clock.record(Time(NOW.0 + step), NOW);
    clock
}

#[test]
fn a_clock_step_does_not_make_an_upstream_look_older() {
    for step in [HOUR, -HOUR] {
        let clock = clock_with_step(step);
        // The upstream started 5 s ago and read the wall clock either before or after the step.
        for by_wall_clock in [NOW.0 - 5 * SECOND, NOW.0 - 5 * SECOND + step] {
            let age = NOW.since(clock.start_time(Time(by_wall_clock)));
            assert!(age.0 <= 5 * SECOND, "step of {step}: {age:?} old");
        }
        let future = clock.start_time(Time(NOW.0 + 2 * HOUR));
        assert!(
            future <= NOW,
            "no later than now, so cold no longer than an upstream that starts now"
        );
    }
}

#[test]
fn without_a_step_the_listed_start_is_used() {
    let mut clock = WallClock::default();
    assert_eq!(clock.start_time(Time(7)), Time(7));
    clock.record(Time(NOW.0 + SECOND / 2), NOW);
    assert_eq!(
        clock.start_time(Time(NOW.0 - HOUR)),
        Time(NOW.0 - HOUR),
        "half a second is adjustment, not a step"
    );
}
