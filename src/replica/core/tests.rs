use std::convert::Infallible;

use super::*;
use crate::replica::storage::RETAINED_ENTRIES;

/// A single instance that has elected itself leader.
fn single_leader() -> Replica {
    let (storage, proposal_retry) = (RaftStorage::new(vec![1]), Duration::from_secs(1));
    let mut replica =
        Replica::new::<Infallible>(1, storage, 64, 1, proposal_retry).expect("starts");
    replica.campaign();
    replica.process_ready(Duration::ZERO, persist).expect("processed");
    replica
}

fn persist(_: &[Record]) -> Result<(), Infallible> {
    Ok(())
}

#[test]
fn undecodable_entry_stops_the_instance() {
    let mut replica = single_leader();
    let seed = Command::Seed { revision: 40, members: vec![] };
    replica.propose(&seed).expect("leads");
    // An entry as a later version may write it.
    replica.raft.propose(vec![], vec![0x63, 1, 2]).expect("leads");
    let grant = LeaseCommand::Acquire { duty: "d".into(), holder: "h".into(), ttl_ms: 1000 };
    replica.propose(&Command::Lease(grant.clone())).expect("leads");
    let ready_set = replica.process_ready(Duration::ZERO, persist);
    assert!(matches!(ready_set, Err(ReplicaError::Decode(_))), "{ready_set:?}");
    for _ in 0..3 {
        replica.tick(Duration::ZERO);
        assert_eq!(replica.propose(&Command::Lease(grant.clone())), Err(ProposalRejected::Busy));
        assert!(matches!(
            replica.process_ready(Duration::ZERO, persist),
            Err(ReplicaError::Stopped)
        ));
    }
    assert_eq!(replica.machine().list().revision(), 40, "earlier entries are applied");
    assert!(replica.machine().leases().duties().is_empty(), "later entries are not applied");
}

/// Three instances, the first of which leads.
fn three_instances() -> Vec<Replica> {
    let one = |id| {
        let (storage, proposal_retry) = (RaftStorage::new(vec![1, 2, 3]), Duration::from_secs(1));
        Replica::new::<Infallible>(id, storage, 64, id, proposal_retry).expect("starts")
    };
    let mut all: Vec<Replica> = (1..=3).map(one).collect();
    all[0].campaign();
    deliver(&mut all, |_| true);
    assert!(all[0].leads());
    let seed = Command::Seed { revision: 40, members: vec![] };
    all[0].propose(&seed).expect("leads");
    deliver(&mut all, |_| true);
    all
}

/// Delivers the messages for which `delivered` returns true, until no instance sends any more.
fn deliver(all: &mut [Replica], mut delivered: impl FnMut(&Message) -> bool) {
    loop {
        let process_ready =
            |r: &mut Replica| r.process_ready(Duration::ZERO, persist).expect("processed").messages;
        let sent: Vec<Message> = all.iter_mut().flat_map(process_ready).collect();
        if sent.is_empty() {
            return;
        }
        for message in sent.into_iter().filter(|m| delivered(m)) {
            let _ = all[message.to as usize - 1].step(message);
        }
    }
}

/// Advances all clocks by one tick and delivers the resulting messages.
fn tick(all: &mut [Replica], delivered: impl FnMut(&Message) -> bool) {
    all.iter_mut().for_each(|r| r.tick(Duration::ZERO));
    deliver(all, delivered);
}

/// Commits more entries than are retained before a snapshot while the third instance receives none, then
/// compacts the log.
fn third_falls_behind(all: &mut [Replica]) {
    for i in 0..2 * RETAINED_ENTRIES {
        let duty = format!("d-{i}");
        let grant = LeaseCommand::Acquire { duty, holder: "h".into(), ttl_ms: 60_000 };
        all[0].propose(&Command::Lease(grant)).expect("leads");
        deliver(all, |m| m.to != 3 && m.from != 3);
    }
    all[0].compact().expect("compacts");
}

fn third_caught_up(all: &[Replica]) -> bool {
    let duties = |r: &Replica| r.machine().leases().duties().len();
    duties(&all[2]) == duties(&all[0]) && duties(&all[0]) > 0
}

/// Guards against a lost snapshot that nobody reported to Raft: the receiver then got nothing but heartbeats
/// until the leader changed.
#[test]
fn lost_snapshot_is_sent_again() {
    let mut all = three_instances();
    third_falls_behind(&mut all);
    let mut lost = 0;
    for _ in 0..4 * HEARTBEAT_TICKS {
        tick(&mut all, |m| {
            let snapshot = m.get_msg_type() == MessageType::MsgSnapshot;
            lost += usize::from(snapshot);
            !snapshot
        });
    }
    assert!(lost > 0 && !third_caught_up(&all), "{lost} lost");
    all[0].unreachable(3);
    (0..2 * HEARTBEAT_TICKS).for_each(|_| tick(&mut all, |_| true));
    assert!(third_caught_up(&all));
}

/// Guards against a lost response to a snapshot: without a report of its delivery, the receiver gets nothing
/// but heartbeats.
#[test]
fn entries_follow_a_snapshot_whose_response_was_lost() {
    let mut all = three_instances();
    third_falls_behind(&mut all);
    let mut snapshots = 0;
    for _ in 0..4 * HEARTBEAT_TICKS {
        tick(&mut all, |m| {
            snapshots += usize::from(m.get_msg_type() == MessageType::MsgSnapshot);
            snapshots == 0 || m.from != 3 || m.get_msg_type() != MessageType::MsgAppendResponse
        });
    }
    assert!(snapshots > 0 && third_caught_up(&all), "{snapshots} snapshots");
    let grant = LeaseCommand::Acquire { duty: "e".into(), holder: "h".into(), ttl_ms: 60_000 };
    all[0].propose(&Command::Lease(grant)).expect("leads");
    deliver(&mut all, |_| true);
    all[0].snapshot_delivered(3);
    (0..2 * HEARTBEAT_TICKS).for_each(|_| tick(&mut all, |_| true));
    assert!(third_caught_up(&all));
}

#[test]
fn rejoining_instance_does_not_disrupt_the_leader() {
    let mut all = three_instances();
    let terms = |all: &[Replica]| all.iter().map(|r| (r.term(), r.leader())).collect::<Vec<_>>();
    let before = terms(&all);
    // Long enough for many election timeouts.
    for _ in 0..10 * ELECTION_TICKS {
        tick(&mut all, |m| m.to != 3 && m.from != 3);
    }
    (0..4 * ELECTION_TICKS).for_each(|_| tick(&mut all, |_| true));
    assert_eq!(terms(&all), before);
}
