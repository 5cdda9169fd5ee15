use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn data_read_after_a_stall_counts_from_its_start() {
    let (lateness, start) = (Lateness::default(), Instant::now());
    assert_eq!(lateness.earliest_arrival(start), start, "no timer tells");
    let due = start + 60 * MS;
    lateness.set_next_timer(Some(due));
    assert_eq!(lateness.earliest_arrival(start + 10 * MS), start + 10 * MS, "in time");
    assert_eq!(
        (lateness.record_wakeup(due + 40 * MS), lateness.earliest_arrival(due + 40 * MS)),
        (None, due + 40 * MS)
    );
    // Data read before the late timer has fired, and after.
    assert_eq!(lateness.earliest_arrival(due + 300 * MS), due);
    assert_eq!(lateness.record_wakeup(due + 300 * MS), Some(300 * MS));
    lateness.set_next_timer(Some(due + 360 * MS));
    assert_eq!(lateness.earliest_arrival(due + 340 * MS), due);
    assert_eq!(
        lateness.earliest_arrival(due + 350 * MS),
        due + 350 * MS,
        "all of it has been read"
    );
}
