use super::*;
use crate::discovery::stored_format::tests::{OldMember, new, old};
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
fn unrenewed_member_drains_then_is_removed() {
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
    assert_eq!(phase(&machine, "a"), Some(Phase::Draining), "the operator's phase is unchanged");
    machine.apply(Command::Lapse { id: "a".into() });
    assert_eq!(phase(&machine, "a"), None);
    assert!(machine.sessions().is_empty());
    assert_eq!(machine.apply(Command::Lapse { id: "a".into() }), Outcome::Unknown);
}

#[test]
fn write_with_a_stale_token_is_refused() {
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
fn initial_list_is_applied_once() {
    let mut machine = Machine::new(8);
    let seed = Command::Seed { revision: 40, members: vec![member("a")] };
    assert_eq!(machine.apply(seed.clone()), Outcome::Revision(41));
    assert_eq!(machine.apply(seed), Outcome::Revision(41));
}

/// The state as versions without services encode it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldMachine {
    seeded: bool,
    history: usize,
    list: OldStore,
    sessions: BTreeMap<String, Session>,
    leases: Table,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldStore {
    revision: u64,
    members: BTreeMap<String, OldMember>,
    history: std::collections::VecDeque<(u64, OldMember)>,
    keep: usize,
}

/// A state with these members registered, one grant, and a start revision of 700.
fn state_with_members(seeded: bool, members: &[Member]) -> Machine {
    let mut machine = Machine::new(300);
    machine.seeded = seeded;
    machine.list = Store::new(700, 300);
    for member in members {
        let register =
            Command::Register { member: member.clone(), ttl_ms: Some(1000), fence: None };
        machine.apply(register);
    }
    let (duty, holder) = ("d".to_owned(), "h".to_owned());
    machine.apply(Command::Lease(LeaseCommand::Acquire { duty, holder, ttl_ms: 1000 }));
    machine
}

#[test]
fn state_without_services_keeps_the_old_encoding() {
    for seeded in [false, true] {
        let machine = state_with_members(seeded, &[new("b", ""), new("a", "")]);
        let list = OldStore {
            revision: 702,
            members: ["a", "b"].map(|id| (id.to_owned(), old(id))).into(),
            history: [(701, old("b")), (702, old("a"))].into(),
            keep: 300,
        };
        let (sessions, leases) = (machine.sessions.clone(), machine.leases.clone());
        let encoded = OldMachine { seeded, history: 300, list, sessions, leases };
        let encoded = postcard::to_stdvec(&encoded).expect("encoded");
        assert_eq!(postcard::from_bytes(&encoded), Ok(machine.clone()));
        assert_eq!(postcard::to_stdvec(&machine), Ok(encoded));
    }
}

#[test]
fn old_versions_refuse_a_state_with_services() {
    // In the second list the member has left its service, but the history still holds the entry with it.
    for members in [vec![new("a", ""), new("b", "s")], vec![new("a", "s"), new("a", "")]] {
        for seeded in [false, true] {
            let machine = state_with_members(seeded, &members);
            let encoded = postcard::to_stdvec(&machine).expect("encoded");
            assert_eq!(postcard::from_bytes(&encoded), Ok(machine));
            assert!(postcard::from_bytes::<OldMachine>(&encoded).is_err(), "refused, not misread");
        }
    }
}

#[test]
fn state_without_services_in_its_history_keeps_the_old_encoding() {
    let mut machine = state_with_members(true, &[new("a", "s")]);
    machine.list = Store::new(700, 1);
    machine.list.apply(new("a", "s"));
    machine.list.apply(new("a", ""));
    let encoded = postcard::to_stdvec(&machine).expect("encoded");
    assert!(postcard::from_bytes::<OldMachine>(&encoded).is_err(), "its service is in the history");
    machine.list.apply(new("b", ""));
    let encoded = postcard::to_stdvec(&machine).expect("encoded");
    assert!(postcard::from_bytes::<OldMachine>(&encoded).is_ok());
}
