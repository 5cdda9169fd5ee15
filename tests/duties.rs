//! Duties held by one process at a time, with faults between holders and lease peers (issue 13). Random schedules of
//! the same are in `tests/schedules.rs`.

#[allow(dead_code)] // Each test file uses part of the harness.
mod harness;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use harness::{Cluster, Fleet, free, get, look, until};
use serde_json::Value;

const SOON: Duration = Duration::from_secs(5);
const TTL: Duration = Duration::from_millis(1000);

/// A process that offers to sweep; its index.
fn sweeper(fleet: &mut Fleet, cluster: &Cluster, name: &str) -> usize {
    sweeper_of(fleet, cluster, name, TTL)
}

fn sweeper_of(fleet: &mut Fleet, cluster: &Cluster, name: &str, ttl: Duration) -> usize {
    let services = cluster.services();
    let ttl = ttl.as_millis().to_string();
    let args =
        ["sweep", "--services", &services, "--holder", name, "--ttl-ms", &ttl, "--after-ms", "100"];
    fleet.start(name, &args, &[])
}

/// The token that this process holds the duty under, as it says itself.
fn token(at: SocketAddr) -> Option<u64> {
    look(at, "/admin/health")["token"].as_u64()
}

/// The duty as an instance has it.
fn duty(at: SocketAddr) -> Value {
    look(at, "/admin/leases")["duties"]["sweep"].clone()
}

/// Two sweepers of which the first holds the duty; their indices.
fn two(fleet: &mut Fleet, cluster: &Cluster) -> (usize, usize) {
    let first = sweeper(fleet, cluster, "first");
    until("the first holds it", SOON, || token(fleet.address(first)).is_some());
    (first, sweeper(fleet, cluster, "second"))
}

#[test]
fn a_killed_holder_is_followed_within_its_ttl_and_a_renewal_period() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let (first, second) = two(&mut fleet, &cluster);
    let (a, b) = (fleet.address(first), fleet.address(second));
    let mine = token(a).expect("held");
    let from = Instant::now();
    while from.elapsed() < 2 * TTL {
        assert_eq!((token(a), token(b)), (Some(mine), None), "one holds it, and goes on");
    }
    fleet.kill(first);
    let took = until("the second holds it", 2 * TTL, || token(b).is_some());
    eprintln!("handed over {took:?} after the kill");
    assert!(took <= TTL + TTL / 3 + Duration::from_millis(300), "{took:?}");
    assert!(token(b) > Some(mine), "a higher token");
    let text = get(b, "/metrics", &[]).expect("figures").1;
    assert!(text.contains("duty_grants_total{duty=\"sweep\"} 1"), "{text}");
    assert!(fleet.logged(second, "duty held"));
    assert!(fleet.logged(cluster.at[cluster.leader(None)], "duty expired"), "a loss is told too");
}

#[test]
fn a_holder_that_was_paused_past_its_ttl_is_refused_by_its_token_and_steps_down() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let (first, second) = two(&mut fleet, &cluster);
    let (a, b) = (fleet.address(first), fleet.address(second));
    let stale = token(a).expect("held");
    cluster.register("m", free());
    fleet.pause(first);
    until("the second holds it", 3 * TTL, || token(b).is_some());
    // The write that it might have been about to make.
    let write = |token: u64| {
        let fence = format!(r#"{{"duty":"sweep","token":{token}}}"#);
        let body = format!(r#"{{"id":"m","phase":"DRAINING","fence":{fence}}}"#);
        cluster.write("/admin/members/phase", &body)
    };
    let (status, answer) = write(stale);
    assert_eq!(status, 409, "{answer}");
    assert!(answer["error"].as_str().is_some_and(|e| e.contains("stale")), "{answer}");
    let (status, answer) =
        cluster.write("/admin/leases/renew", &format!(r#"{{"duty":"sweep","token":{stale}}}"#));
    assert_eq!(status, 409, "{answer}");
    fleet.resume(first);
    until("it steps down", SOON, || fleet.logged(first, "duty lost"));
    for _ in 0..50 {
        assert_eq!((token(a), token(b).is_some()), (None, true));
    }
    // The new holder's own write goes through: it sweeps what drains.
    let fresh = token(b).expect("held");
    assert_eq!(write(fresh).0, 200);
    until("swept", SOON, || fleet.logged(second, "swept"));
    assert!(!fleet.logged(first, "swept"));
}

#[test]
fn a_minority_of_peers_may_die_and_a_majority_ends_the_duty_at_its_ttl() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let (first, second) = two(&mut fleet, &cluster);
    let (a, b) = (fleet.address(first), fleet.address(second));
    let mine = token(a);
    let leader = cluster.leader(None);
    let follower = (leader + 1) % 3;
    fleet.kill(cluster.at[follower]);
    let from = Instant::now();
    while from.elapsed() < 2 * TTL {
        assert_eq!((token(a), token(b)), (mine, None), "the duty goes on");
        thread::sleep(Duration::from_millis(10));
    }
    fleet.kill(cluster.at[leader]);
    let took = until("the holder stops", TTL + TTL / 2, || token(a).is_none());
    eprintln!("stopped {took:?} after the majority was gone");
    let from = Instant::now();
    while from.elapsed() < 2 * TTL {
        assert_eq!((token(a), token(b)), (None, None), "nobody can grant");
        thread::sleep(Duration::from_millis(10));
    }
    fleet.restart(cluster.at[follower]);
    until("a majority grants again", SOON, || {
        token(a).max(token(b)) > mine && !(token(a).is_some() && token(b).is_some())
    });
}

#[test]
fn tokens_never_go_back_through_a_restart_of_every_peer() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "snapshot_bytes = 2048");
    let mut highest = 0;
    for round in 0..3 {
        for i in 0..20 {
            let body = format!(r#"{{"duty":"d-{i}","holder":"h-{round}-{i}","ttl_ms":60000}}"#);
            let (status, answer) = cluster.write("/admin/leases/acquire", &body);
            assert_eq!(status, 200, "{answer}");
            let token = answer["grant"]["token"].as_u64().expect("a token");
            assert!(token > highest, "{token} after {highest}");
            highest = token;
            let body = format!(r#"{{"duty":"d-{i}","token":{token}}}"#);
            assert_eq!(cluster.write("/admin/leases/release", &body).0, 200);
        }
        cluster.at.iter().for_each(|i| fleet.kill(*i));
        cluster.at.iter().for_each(|i| fleet.restart(*i));
        cluster.leader(None);
    }
    let kept = |i: &SocketAddr| look(*i, "/admin/leases")["duties"]["d-19"]["highest"].as_u64();
    until("all have it", SOON, || cluster.calls.iter().all(|i| kept(i) == Some(highest)));
    assert!(duty(cluster.calls[0]).is_null(), "nobody asked for that one");
}

#[test]
fn a_leader_that_falls_silent_costs_no_lease_that_outlasts_an_election() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let holder = sweeper_of(&mut fleet, &cluster, "holder", 4 * TTL);
    let at = fleet.address(holder);
    until("held", SOON, || token(at).is_some());
    let (mine, leader) = (token(at), cluster.leader(None));
    fleet.pause(cluster.at[leader]);
    let from = Instant::now();
    while from.elapsed() < 6 * TTL {
        assert_eq!(token(at), mine, "lost after {:?}", from.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    fleet.resume(cluster.at[leader]);
    thread::sleep(TTL);
    assert_eq!(token(at), mine);
}
