use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn engine_answers_before_the_client_deadline_and_by_the_shutdown() {
    let now = Instant::now();
    let deadlines = Deadlines::new(now + ms(2000), now);
    assert_eq!(deadlines.policy(), now + ms(1985));
    assert_eq!(deadlines.backstop(), now + ms(1995));
    deadlines.set_shutdown(now + ms(2100));
    assert_eq!(deadlines.backstop(), now + ms(1995));
    deadlines.set_client(now + ms(4000), now);
    assert_eq!(deadlines.client(), now + ms(4000));
    assert_eq!(deadlines.backstop(), now + ms(2100));
}
