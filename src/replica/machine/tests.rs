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

/// The state as versions without services keep it.
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

/// A state whose list was changed like this, and its other parts besides.
fn changed(seeded: bool, members: &[Member]) -> Machine {
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
fn a_state_kept_before_there_were_services_is_read_and_one_without_is_written_the_same() {
    for seeded in [false, true] {
        let machine = changed(seeded, &[new("b", ""), new("a", "")]);
        let list = OldStore {
            revision: 702,
            members: ["a", "b"].map(|id| (id.to_owned(), old(id))).into(),
            history: [(701, old("b")), (702, old("a"))].into(),
            keep: 300,
        };
        let (sessions, leases) = (machine.sessions.clone(), machine.leases.clone());
        let kept = OldMachine { seeded, history: 300, list, sessions, leases };
        let kept = postcard::to_stdvec(&kept).expect("kept");
        assert_eq!(postcard::from_bytes(&kept), Ok(machine.clone()));
        assert_eq!(postcard::to_stdvec(&machine), Ok(kept));
    }
}

#[test]
fn a_state_with_services_is_read_back_and_refused_by_the_versions_without() {
    // The last has left its service, and the history says so.
    for members in [vec![new("a", ""), new("b", "s")], vec![new("a", "s"), new("a", "")]] {
        for seeded in [false, true] {
            let machine = changed(seeded, &members);
            let kept = postcard::to_stdvec(&machine).expect("kept");
            assert_eq!(postcard::from_bytes(&kept), Ok(machine));
            assert!(postcard::from_bytes::<OldMachine>(&kept).is_err(), "refused, not misread");
        }
    }
}

#[test]
fn a_state_that_has_forgotten_its_services_is_written_without() {
    let mut machine = changed(true, &[new("a", "s")]);
    machine.list = Store::new(700, 1);
    machine.list.apply(new("a", "s"));
    machine.list.apply(new("a", ""));
    let kept = postcard::to_stdvec(&machine).expect("kept");
    assert!(postcard::from_bytes::<OldMachine>(&kept).is_err(), "it was moved within the history");
    machine.list.apply(new("b", ""));
    let kept = postcard::to_stdvec(&machine).expect("kept");
    assert!(postcard::from_bytes::<OldMachine>(&kept).is_ok());
}
