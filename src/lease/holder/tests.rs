use super::*;

const TTL: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn renews_at_a_third_of_the_ttl_and_stops_before_its_end() {
    let mut holder = Holder::new(TTL);
    assert_eq!(holder.step(ms(0)), Step::Acquire);
    holder.granted(7, ms(0));
    assert_eq!(holder.step(ms(10)), Step::Wait(TTL / 3));
    assert_eq!(holder.step(ms(334)), Step::Renew(7));
    holder.renewed(ms(334));
    assert_eq!(holder.until(), Some(ms(334 + 950)), "counted from when the renewal was sent");
    assert_eq!(holder.step(ms(700)), Step::Renew(7));
    holder.unanswered(ms(1000));
    assert!(matches!(holder.step(ms(1100)), Step::Renew(7)), "retried while the lease lasts");
    assert_eq!(holder.token(ms(1283)), Some(7));
    assert_eq!(holder.token(ms(1284)), None);
    assert_eq!(holder.step(ms(1284)), Step::Stop(7));
    assert_eq!(holder.lost, 1);
}

#[test]
fn answer_to_an_older_request_is_ignored() {
    let mut holder = Holder::new(TTL);
    assert_eq!(holder.step(ms(0)), Step::Acquire);
    holder.unanswered(ms(400));
    assert_eq!(holder.step(ms(600)), Step::Acquire);
    holder.granted(3, ms(0));
    assert_eq!(holder.token(ms(600)), None);
    holder.granted(4, ms(600));
    assert_eq!(holder.token(ms(601)), Some(4));
    assert_eq!(holder.refused(ms(700)), Some(4));
    assert_eq!(holder.step(ms(701)), Step::Wait(ms(700) + TTL / 6));
}
