use super::*;
use crate::interface::{Class, Span};

fn entry(id: &str, phase: Phase) -> Entry {
    serde_json::from_value(serde_json::json!({
        "id": id, "host_port": "10.0.0.1:8081", "locality": "b", "phase": phase,
    }))
    .expect("an entry")
}

fn balancer() -> HollowBalancer {
    let mut settings = Settings::basic(vec![Class::safe(Span(400_000), Span(2_000_000))]);
    settings.rules.cold = Span(5_000_000);
    settings.rules.cold_from = 0.2;
    let zones = vec!["a".to_owned(), "b".to_owned()];
    HollowBalancer::new(settings, zones, 7, Time(0)).expect("sound settings")
}

fn told(balancer: &mut HollowBalancer, complete: bool, members: Vec<Entry>) {
    balancer.take(&Message { revision: 1, complete, members });
    balancer.tell(Time(0), if complete { ListKind::Whole } else { ListKind::Update });
}

#[test]
fn what_it_holds_is_what_the_list_says_however_it_came_there() {
    use Phase::{Deleted, Draining, Serving};
    let mut at = balancer();
    told(&mut at, true, vec![entry("x", Serving), entry("y", Serving), entry("z", Serving)]);
    assert_eq!(at.members(), 3);
    told(&mut at, false, vec![entry("y", Draining), entry("z", Deleted), entry("w", Serving)]);
    let list = [entry("w", Serving), entry("y", Draining), entry("x", Serving)];
    assert_eq!((at.members(), at.digest()), (3, digest(&list)));
    // A whole list takes the place of all that it leaves out.
    told(&mut at, true, vec![entry("z", Serving)]);
    assert_eq!((at.members(), at.digest()), (1, digest(&[entry("z", Serving)])));
    told(&mut at, true, vec![]);
    assert_eq!((at.members(), at.digest()), (0, digest(&[])));
}

#[test]
fn a_digest_tells_lists_apart_by_who_is_in_them_and_in_which_phase() {
    use Phase::{Draining, Serving};
    let [x, y] = [entry("x", Serving), entry("y", Serving)];
    let both = digest(&[x.clone(), y.clone()]);
    assert_eq!(both, digest(&[y.clone(), x.clone()]));
    assert_ne!(both, digest(std::slice::from_ref(&x)));
    assert_ne!(both, digest(&[x.clone(), entry("y", Draining)]));
    assert_ne!(both, digest(&[x, Entry { up_since_ms: 5.0, ..y }]));
}

#[test]
fn the_modules_timers_are_due_and_told_in_order() {
    let mut at = balancer();
    at.timers.push(Reverse((Time(900_000_000), 3)));
    at.timers.push(Reverse((Time(800_000_000), 4)));
    assert_eq!(at.due(), at.timers.peek().map(|Reverse((due, _))| *due));
    at.pass(Time(800_000_000));
    assert!(at.due().is_some_and(|due| due > Time(800_000_000)));
    at.pass(Time(950_000_000));
    assert!(at.due().is_none_or(|due| due > Time(950_000_000)));
}
