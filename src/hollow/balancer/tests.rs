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

fn balancer_with_services(services: usize) -> HollowBalancer {
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

fn single_service_balancer() -> HollowBalancer {
    balancer_with_services(1)
}

fn notify(balancer: &mut HollowBalancer, complete: bool, members: Vec<Entry>) -> usize {
    let list = Message { revision: 1, complete, members };
    balancer.apply_message(&list);
    balancer.notify_services(
        Time(0),
        &list,
        if complete { ListKind::Full } else { ListKind::Update },
    )
}

#[test]
fn full_lists_and_updates_give_the_same_members_and_digest() {
    use Phase::{Deleted, Draining, Serving};
    let mut balancer = single_service_balancer();
    notify(
        &mut balancer,
        true,
        vec![entry("x", Serving), entry("y", Serving), entry("z", Serving)],
    );
    assert_eq!(balancer.members(), 3);
    notify(
        &mut balancer,
        false,
        vec![entry("y", Draining), entry("z", Deleted), entry("w", Serving)],
    );
    let list = [entry("w", Serving), entry("y", Draining), entry("x", Serving)];
    assert_eq!((balancer.members(), balancer.digest()), (3, digest(&list)));
    // A full list removes the members that it does not contain.
    notify(&mut balancer, true, vec![entry("z", Serving)]);
    assert_eq!((balancer.members(), balancer.digest()), (1, digest(&[entry("z", Serving)])));
    notify(&mut balancer, true, vec![]);
    assert_eq!((balancer.members(), balancer.digest()), (0, digest(&[])));
}

#[test]
fn digest_depends_on_members_and_phases_but_not_on_order() {
    use Phase::{Draining, Serving};
    let [x, y] = [entry("x", Serving), entry("y", Serving)];
    let both = digest(&[x.clone(), y.clone()]);
    assert_eq!(both, digest(&[y.clone(), x.clone()]));
    assert_ne!(both, digest(std::slice::from_ref(&x)));
    assert_ne!(both, digest(&[x.clone(), entry("y", Draining)]));
    assert_ne!(both, digest(&[x, Entry { up_since_ms: 5.0, ..y }]));
}

#[test]
fn timers_fire_in_order_of_their_due_time() {
    let mut balancer = single_service_balancer();
    balancer.timers.push(Reverse((Time(900_000_000), ServiceId(0), 3)));
    balancer.timers.push(Reverse((Time(800_000_000), ServiceId(0), 4)));
    assert_eq!(balancer.due(), balancer.timers.peek().map(|Reverse((due, ..))| *due));
    balancer.fire_due_timers(Time(800_000_000));
    assert!(balancer.due().is_some_and(|due| due > Time(800_000_000)));
    balancer.fire_due_timers(Time(950_000_000));
    assert!(balancer.due().is_none_or(|due| due > Time(950_000_000)));
}

#[test]
fn updates_notify_only_named_services_and_idle_services_arm_no_timers() {
    for services in [3, 210] {
        let mut balancer = balancer_with_services(services);
        let all = |phase: Phase| -> Vec<Entry> {
            let of = |i| entry_of(&format!("u-{i}"), &format!("service-{}", i % services), phase);
            (0..2 * services).map(of).collect()
        };
        assert_eq!(notify(&mut balancer, true, all(Phase::Serving)), services);
        // The first service requests the list for all services, so it is notified of every update.
        let change =
            |i: usize| entry_of(&format!("u-{i}"), &format!("service-{i}"), Phase::Draining);
        assert_eq!(notify(&mut balancer, false, vec![change(1)]), 2);
        assert_eq!(notify(&mut balancer, false, vec![change(0), change(2)]), 2);
        balancer.fire_due_timers(Time(60_000_000));
        assert_eq!(balancer.due(), None, "no timer is armed while all services are idle");
    }
}
