use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn module_and_engine_are_done_before_the_client_gives_up() {
    let now = Instant::now();
    // Microseconds that the client waits, and when the module and the engine are done.
    let table = [
        (1_500_000, 1_485_000, 1_495_000),
        (60_000, 45_000, 55_000),
        (24_000, 18_000, 22_000),
        (12, 9, 11),
    ];
    for (left, module, engine) in table.map(|(a, b, c)| {
        let at = |us| now + Duration::from_micros(us);
        (at(a), at(b), at(c))
    }) {
        let room = headroom(left, now);
        assert_eq!((left - room, backstop(left, room)), (module, engine));
    }
    assert_eq!(headroom(now, now + MS), Duration::ZERO, "its time was up before it came");
}
