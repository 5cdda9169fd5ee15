use super::*;

#[test]
fn what_drains_is_due_after_its_time_unless_it_served_in_between() {
    let list = |phase: &str| -> Message {
        serde_json::from_value(json!({"members": [{"id": "a", "phase": phase}]})).expect("a list")
    };
    let (s, mut drains) = (Duration::from_secs(1), Drains::default());
    drains.seen(&list("DRAINING"), s);
    drains.seen(&list("DRAINING"), 2 * s);
    assert!(drains.due(2 * s, 2 * s).is_empty());
    assert_eq!(drains.due(3 * s, 2 * s), ["a"]);
    drains.seen(&list("SERVING"), 3 * s);
    drains.seen(&list("DRAINING"), 4 * s);
    assert!(drains.due(5 * s, 2 * s).is_empty());
}
