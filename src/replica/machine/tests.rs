use super::*;
use crate::lease::table::LeaseCommand;

fn member(id: &str) -> Member {
    serde_json::from_value(
        serde_json::json!({"id": id, "host_port": "127.0.0.1:9", "phase": "SERVING"}),
    )
    .expect("a member")
}

fn phase(machine: &Machine, id: &str) -> Option<Phase> {
    machine.list().member(id).map(|m| m.phase)
}

#[test]
fn a_member_that_stops_renewing_drains_then_goes_and_one_renewed_serves_again() {
    let mut machine = Machine::new(8);
    let register = Command::Register { member: member("a"), ttl_ms: Some(1000), fence: None };
    machine.apply(register);
    machine.apply(Command::Lapse { id: "a".into() });
    assert_eq!(phase(&machine, "a"), Some(Phase::Draining));
    machine.apply(Command::Revive { id: "a".into() });
    assert_eq!(phase(&machine, "a"), Some(Phase::Serving));
    let drain = Command::SetPhase { id: "a".into(), phase: Phase::Draining, fence: None };
    machine.apply(drain);
    machine.apply(Command::Revive { id: "a".into() });
    assert_eq!(phase(&machine, "a"), Some(Phase::Draining), "an operator's word stands");
    machine.apply(Command::Lapse { id: "a".into() });
    assert_eq!(phase(&machine, "a"), None);
    assert!(machine.sessions().is_empty());
    assert_eq!(machine.apply(Command::Lapse { id: "a".into() }), Outcome::Unknown);
}

#[test]
fn a_write_under_a_token_that_is_not_live_is_refused_and_changes_nothing() {
    let mut machine = Machine::new(8);
    let duty = || "release".to_owned();
    for holder in ["a", "a"] {
        let holder = holder.into();
        machine.apply(Command::Lease(LeaseCommand::Acquire { duty: duty(), holder, ttl_ms: 1000 }));
    }
    let write = |token| Command::Register {
        member: member("m"),
        ttl_ms: None,
        fence: Some(Fence { duty: duty(), token }),
    };
    let stale = Refusal::Stale { token: 1, highest: 2 };
    assert_eq!(machine.apply(write(1)), Outcome::Refused(stale));
    assert_eq!((machine.list().revision(), phase(&machine, "m")), (0, None));
    assert_eq!(machine.apply(write(2)), Outcome::Revision(1));
}

#[test]
fn the_first_list_is_seeded_once() {
    let mut machine = Machine::new(8);
    let seed = Command::Seed { revision: 40, members: vec![member("a")] };
    assert_eq!(machine.apply(seed.clone()), Outcome::Revision(41));
    assert_eq!(machine.apply(seed), Outcome::Revision(41));
}
