//! Runs a reduced fleet of hollow processes through faults and checks counts only: messages, entries, bytes and
//! revisions. `benches/scale.rs` runs the full size.

#[allow(dead_code)] // Each test target uses a part of the harness.
mod harness;
#[allow(dead_code)]
mod rehearsal;

use std::collections::HashSet;
use std::time::Duration;

use harness::{Cluster, Fleet, until};
use rehearsal::{Counts, Rehearsal, Size};

/// Time limit of each wait. Generous, because the machine may be busy and no check depends on timing.
const WITHIN: Duration = Duration::from_secs(60);
const SIZE: Size = Size {
    balancers: 20,
    balancer_processes: 2,
    upstreams: 300,
    upstream_processes: 2,
    services: 20,
    ttl_ms: 6000,
    spread_ms: 2000,
};
/// Number of upstreams in the first process.
const FEW: usize = 30;
/// Number of changes made one by one.
const CHANGES: usize = 20;
/// Upper bound for the bytes of a changed entry on a watch, including line framing and heartbeats in between.
const ENTRY_BYTES: u64 = 400;

/// Registers members one by one, each acknowledged, and returns their ids.
fn make_changes(rehearsal: &Rehearsal, from: usize) -> Vec<String> {
    let ids: Vec<String> = (from..from + CHANGES).map(|i| format!("x-{i}")).collect();
    for id in &ids {
        rehearsal.register(id, WITHIN);
    }
    ids
}

/// Returns what each balancer counted during `action`, once all have caught up with the list again.
fn counts_during(rehearsal: &mut Rehearsal, action: impl FnOnce(&mut Rehearsal)) -> Vec<Counts> {
    rehearsal.level(WITHIN);
    let before = rehearsal.counts();
    action(rehearsal);
    rehearsal.level(WITHIN);
    rehearsal.counts().iter().zip(&before).map(|(now, then)| now.since(then)).collect()
}

/// Asserts that a change costs a balancer at most one message and one entry (concurrent changes share a message) and
/// never a full list, and that no more services are notified than there are entries, apart from the one that follows
/// all services. Counts against each balancer's own revision: on a busy machine the list may change between two reads.
fn assert_bounded(what: &str, counts: &[Counts]) {
    for b in counts {
        assert_eq!(b.went_back, 0, "{what}: {b:?}");
        assert_eq!(b.whole_lists, 0, "{what}: {b:?}");
        assert!(b.messages <= b.revisions, "{what}: {b:?}");
        assert!(b.entries <= b.revisions, "{what}: {b:?}");
        assert!(b.services_told <= b.entries + b.messages, "{what}: {b:?}");
        assert!(b.services_told >= b.messages, "{what}: {b:?}");
    }
}

/// Mean bytes per entry over all balancers.
fn entry_bytes(counts: &[Counts]) -> u64 {
    let sum = |of: fn(&Counts) -> u64| counts.iter().map(of).sum::<u64>();
    sum(|b| b.bytes) / sum(|b| b.entries).max(1)
}

#[test]
fn a_fleet_follows_its_list_through_faults_at_bounded_cost() {
    let mut fleet = Fleet::default();
    // `history` is less than all changes together, so that a balancer without a list gets the full list, and more than
    // the changes of any one fault.
    let cluster = Cluster::start(&mut fleet, 3, "history = 256\nelection_ms = 1000");
    let mut rehearsal = Rehearsal::start(fleet, cluster, SIZE);
    rehearsal.more_upstreams(FEW);
    until("the first are in the list", WITHIN, || rehearsal.serving() == FEW);
    let mut acknowledged = Vec::new();

    // Changes one by one, with few members and with ten times as many.
    let few =
        counts_during(&mut rehearsal, |rehearsal| acknowledged.extend(make_changes(rehearsal, 0)));
    assert_bounded("changes with few members", &few);
    rehearsal.more_upstreams(SIZE.upstreams - FEW);
    until("all are in the list", WITHIN, || rehearsal.serving() == SIZE.upstreams + CHANGES);
    let many = counts_during(&mut rehearsal, |rehearsal| {
        acknowledged.extend(make_changes(rehearsal, 100))
    });
    assert_bounded("changes with many members", &many);
    let bytes = (entry_bytes(&few), entry_bytes(&many));
    eprintln!("bytes per change with {FEW} and {} members: {bytes:?}", SIZE.upstreams);
    assert!(bytes.0 <= ENTRY_BYTES && bytes.1 <= ENTRY_BYTES, "{bytes:?}");
    assert!(bytes.1 <= 2 * bytes.0, "bytes per change grow with the list: {bytes:?}");

    // The leader is killed while changes are made, and restarted.
    let leader_killed = counts_during(&mut rehearsal, |rehearsal| {
        let leader = rehearsal.leader(None, WITHIN);
        rehearsal.fleet.kill(rehearsal.cluster.at[leader]);
        rehearsal.leader(Some(leader), WITHIN);
        acknowledged.extend(make_changes(rehearsal, 200));
        rehearsal.fleet.restart(rehearsal.cluster.at[leader]);
        rehearsal.fleet.ready(rehearsal.cluster.at[leader]);
    });
    assert_bounded("the leader killed", &leader_killed);

    // A zone dies, is removed from the list, and returns at once.
    let zone_lost = counts_during(&mut rehearsal, |rehearsal| {
        let all = rehearsal.serving();
        let dead = rehearsal.order("upstreams", "{\"do\":\"die\",\"zone\":\"b\"}") as usize;
        assert_eq!(dead, SIZE.upstreams / 5);
        until("the zone is gone", WITHIN, || rehearsal.list().members.len() == all - dead);
        rehearsal.order("upstreams", "{\"do\":\"return\",\"zone\":\"b\"}");
        until("the zone is back", WITHIN, || rehearsal.serving() == all);
    });
    assert_bounded("a zone removed and returned", &zone_lost);
    // Each upstream of the zone is drained, deleted and registered again once.
    let changed = 3 * SIZE.upstreams as u64 / 5;
    assert!(zone_lost.iter().all(|b| b.revisions >= changed), "{zone_lost:?}");

    // A balancer process is paused while the list changes, then resumed.
    let paused = counts_during(&mut rehearsal, |rehearsal| {
        rehearsal.fleet.pause(rehearsal.balancers[0]);
        acknowledged.extend(make_changes(rehearsal, 300));
        let (newest, others) = (rehearsal.newest(), rehearsal.balancers[1..].to_vec());
        until("the others follow", WITHIN, || rehearsal.lowest(&others) >= newest);
        rehearsal.fleet.resume(rehearsal.balancers[0]);
    });
    assert_bounded("a process paused", &paused);

    // All balancers end and return at once: each gets one full list, which contains the changes it missed.
    let returned = counts_during(&mut rehearsal, |rehearsal| {
        assert_eq!(rehearsal.order("balancers", "{\"do\":\"drop\"}"), SIZE.balancers as u64);
        let running = |rehearsal: &Rehearsal| -> u64 {
            let of = |i: &usize| harness::look(rehearsal.fleet.address(*i), "/admin/stats");
            rehearsal
                .balancers
                .iter()
                .map(|i| of(i)["balancers"]["running"].as_u64().unwrap_or(0))
                .sum()
        };
        until("all have ended", WITHIN, || running(rehearsal) == 0);
        acknowledged.extend(make_changes(rehearsal, 400));
        assert_eq!(rehearsal.order("balancers", "{\"do\":\"return\"}"), SIZE.balancers as u64);
        until("all are back", WITHIN, || running(rehearsal) == SIZE.balancers as u64);
    });
    for b in &returned {
        assert_eq!((b.went_back, b.whole_lists), (0, 1), "{b:?}");
    }

    // Every acknowledged change is in the list, and every balancer has that list.
    let (list, _) = rehearsal.level(WITHIN);
    let ids: HashSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
    let missing: Vec<_> = acknowledged.iter().filter(|id| !ids.contains(id.as_str())).collect();
    assert!(missing.is_empty(), "acknowledged but not in the list: {missing:?}");
    let upstreams = ids.iter().filter(|id| id.starts_with("u-")).count();
    assert_eq!((upstreams, list.members.len()), (SIZE.upstreams, SIZE.upstreams + 5 * CHANGES));
}
