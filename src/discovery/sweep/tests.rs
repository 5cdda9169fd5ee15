use super::*;

#[test]
fn drain_time_restarts_when_a_member_serves_again() {
    let list = |phase: &str| -> Message {
        serde_json::from_value(json!({"members": [{"id": "a", "phase": phase}]})).expect("a list")
    };
    let (s, mut drains) = (Duration::from_secs(1), DrainTimes::default());
    drains.observe(&list("DRAINING"), s);
    drains.observe(&list("DRAINING"), 2 * s);
    assert!(drains.drained(2 * s, 2 * s).is_empty());
    assert_eq!(drains.drained(3 * s, 2 * s), ["a"]);
    drains.observe(&list("SERVING"), 3 * s);
    drains.observe(&list("DRAINING"), 4 * s);
    assert!(drains.drained(5 * s, 2 * s).is_empty());
}
