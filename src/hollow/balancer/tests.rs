use super::*;
use crate::hollow::config::HollowConfig;

fn entry_of(id: &str, service: &str, phase: Phase) -> Entry {
    serde_json::from_value(serde_json::json!({
        "id": id, "host_port": "10.0.0.1:8081", "locality": "b", "phase": phase, "service": service,
    }))
    .expect("an entry")
}

fn entry(id: &str, phase: Phase) -> Entry {
    entry_of(id, "service-0", phase)
}

fn of_services(services: usize) -> HollowBalancer {
    let text = format!(
        "management = \"127.0.0.1:0\"\nbalancers = 1\nzones = [\"a\", \"b\"]\nservices = {services}\n\
         [lists]\nlisten = [\"127.0.0.1:1\"]\n"
    );
    let config: HollowConfig = toml::from_str(&text).expect("sound");
    let mut facts = config.facts().expect("sound");
    (facts.safety.cold, facts.safety.cold_from) = (5000.0, 0.2);
    let catalog = Rc::new(config.catalog(&facts, 0).expect("sound"));
    HollowBalancer::new(catalog, 7, Time(0)).expect("sound settings")
}

fn balancer() -> HollowBalancer {
    of_services(1)
}

fn told(balancer: &mut HollowBalancer, complete: bool, members: Vec<Entry>) -> usize {
    let list = Message { revision: 1, complete, members };
    balancer.take(&list);
    balancer.tell(Time(0), &list, if complete { ListKind::Full } else { ListKind::Update })
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
    at.timers.push(Reverse((Time(900_000_000), ServiceId(0), 3)));
    at.timers.push(Reverse((Time(800_000_000), ServiceId(0), 4)));
    assert_eq!(at.due(), at.timers.peek().map(|Reverse((due, ..))| *due));
    at.pass(Time(800_000_000));
    assert!(at.due().is_some_and(|due| due > Time(800_000_000)));
    at.pass(Time(950_000_000));
    assert!(at.due().is_none_or(|due| due > Time(950_000_000)));
}

#[test]
fn a_change_is_told_to_the_services_that_it_names_and_services_without_requests_rest() {
    for services in [3, 210] {
        let mut at = of_services(services);
        let all = |phase: Phase| -> Vec<Entry> {
            let of = |i| entry_of(&format!("u-{i}"), &format!("service-{}", i % services), phase);
            (0..2 * services).map(of).collect()
        };
        assert_eq!(told(&mut at, true, all(Phase::Serving)), services);
        // The first service asks for all, and hears of each change.
        let change =
            |i: usize| entry_of(&format!("u-{i}"), &format!("service-{i}"), Phase::Draining);
        assert_eq!(told(&mut at, false, vec![change(1)]), 2);
        assert_eq!(told(&mut at, false, vec![change(0), change(2)]), 2);
        at.pass(Time(60_000_000));
        assert_eq!(at.due(), None, "all rest");
    }
}
