use super::*;

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3600 * SECOND;
const NOW: Time = Time(100 * HOUR);

fn stepped_by(step: i64) -> WallClock {
    let mut clock = WallClock::default();
    clock.read(Time(NOW.0 - 60 * SECOND), Time(NOW.0 - 60 * SECOND));
    clock.read(Time(NOW.0 + step), NOW);
    clock
}

#[test]
fn a_stepped_clock_makes_no_cold_upstream_pass_for_a_warm_one() {
    for step in [HOUR, -HOUR] {
        let clock = stepped_by(step);
        // It started 5 s ago, and read the clock before the step or after it.
        for by_wall in [NOW.0 - 5 * SECOND, NOW.0 - 5 * SECOND + step] {
            let age = NOW.since(clock.started(Time(by_wall)));
            assert!(age.0 <= 5 * SECOND, "step of {step}: {age:?} old");
        }
        let ahead = clock.started(Time(NOW.0 + 2 * HOUR));
        assert!(ahead <= NOW, "it stays cold no longer than one that starts now");
    }
}

#[test]
fn without_a_step_a_start_is_what_the_list_says() {
    let mut clock = WallClock::default();
    assert_eq!(clock.started(Time(7)), Time(7));
    clock.read(Time(NOW.0 + SECOND / 2), NOW);
    assert_eq!(clock.started(Time(NOW.0 - HOUR)), Time(NOW.0 - HOUR), "adjusted by half a second");
}
