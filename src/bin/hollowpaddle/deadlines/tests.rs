use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn response_that_has_begun_may_end_after_the_client_deadline_but_not_after_the_shutdown() {
    let now = Instant::now();
    let deadlines = Deadlines::new(now + ms(2000), now);
    assert_eq!(deadlines.policy(), now + ms(1985));
    assert_eq!(deadlines.begun_response(), now + ms(2290));
    assert_eq!(deadlines.begun_response_backstop(), now + ms(2300));
    deadlines.set_shutdown(now + ms(2100));
    assert_eq!(deadlines.backstop(), now + ms(1995));
    assert_eq!(deadlines.begun_response_backstop(), now + ms(2100));
    deadlines.set_client(now + ms(4000), now);
    assert_eq!(deadlines.backstop(), now + ms(2100));
    assert_eq!(deadlines.begun_response(), now + ms(2090));
}
