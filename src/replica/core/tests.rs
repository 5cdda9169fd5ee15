use std::convert::Infallible;

use super::*;

/// An instance that is alone and leads.
fn alone() -> Replica {
    let (kept, again) = (Kept::new(vec![1]), Duration::from_secs(1));
    let mut replica = Replica::new::<Infallible>(1, kept, 64, 1, again).expect("starts");
    replica.campaign();
    replica.turn(Duration::ZERO, keep).expect("goes on");
    replica
}

fn keep(_: &[Record]) -> Result<(), Infallible> {
    Ok(())
}

#[test]
fn an_entry_that_this_version_cannot_read_is_not_passed_over() {
    let mut replica = alone();
    let seed = Command::Seed { revision: 40, members: vec![] };
    replica.propose(&seed).expect("leads");
    // What a later version may have written.
    replica.raft.propose(vec![], vec![0x63, 1, 2]).expect("leads");
    let grant = LeaseCommand::Acquire { duty: "d".into(), holder: "h".into(), ttl_ms: 1000 };
    replica.propose(&Command::Lease(grant.clone())).expect("leads");
    let turn = replica.turn(Duration::ZERO, keep);
    assert!(matches!(turn, Err(ReplicaError::Decode(_))), "{turn:?}");
    for _ in 0..3 {
        replica.tick(Duration::ZERO);
        assert_eq!(replica.propose(&Command::Lease(grant.clone())), Err(NotTaken::Busy));
        assert!(matches!(replica.turn(Duration::ZERO, keep), Err(ReplicaError::Stopped)));
    }
    assert_eq!(replica.machine().list().revision(), 40, "what came before it was carried out");
    assert!(replica.machine().leases().duties().is_empty(), "and nothing after it");
}
