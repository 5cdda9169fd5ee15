//! Duties held by one process at a time, with faults between holders and lease peers (issue 13). Tests with random
//! schedules are in `tests/schedules.rs`.

#[allow(dead_code)] // Each test file uses part of the harness.
mod harness;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use harness::{Cluster, Fleet, free, get, look, until};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(5);
const TTL: Duration = Duration::from_millis(1000);

/// Starts a sweep process and returns its index.
fn start_sweeper(fleet: &mut Fleet, cluster: &Cluster, name: &str) -> usize {
    start_sweeper_with_ttl(fleet, cluster, name, TTL)
}

fn start_sweeper_with_ttl(
    fleet: &mut Fleet,
    cluster: &Cluster,
    name: &str,
    ttl: Duration,
) -> usize {
    let services = cluster.services();
    let ttl = ttl.as_millis().to_string();
    let args =
        ["sweep", "--services", &services, "--holder", name, "--ttl-ms", &ttl, "--after-ms", "100"];
    fleet.start(name, &args, &[])
}

/// The token of the duty that the process at this address reports to hold.
fn token(at: SocketAddr) -> Option<u64> {
    look(at, "/admin/health")["token"].as_u64()
}

/// The state of the duty at one instance.
fn duty(at: SocketAddr) -> Value {
    look(at, "/admin/leases")["duties"]["sweep"].clone()
}

/// Starts a pair of sweep processes, of which the first holds the duty, and returns their indices.
fn start_two_sweepers(fleet: &mut Fleet, cluster: &Cluster) -> (usize, usize) {
    let first = start_sweeper(fleet, cluster, "first");
    until("the first holds the duty", TIMEOUT, || token(fleet.address(first)).is_some());
    (first, start_sweeper(fleet, cluster, "second"))
}

#[test]
fn a_killed_holder_is_replaced_within_its_ttl_and_a_renewal_period() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let (first, second) = start_two_sweepers(&mut fleet, &cluster);
    let (a, b) = (fleet.address(first), fleet.address(second));
    let held_token = token(a).expect("held");
    let from = Instant::now();
    while from.elapsed() < 2 * TTL {
        assert_eq!(
            (token(a), token(b)),
            (Some(held_token), None),
            "only the first holds the duty, and keeps it"
        );
    }
    fleet.kill(first);
    let took = until("the second holds the duty", 2 * TTL, || token(b).is_some());
    eprintln!("handed over {took:?} after the kill");
    assert!(took <= TTL + TTL / 3 + Duration::from_millis(300), "{took:?}");
    assert!(token(b) > Some(held_token), "the new token must be higher");
    let text = get(b, "/metrics", &[]).expect("figures").1;
    assert!(text.contains("duty_grants_total{duty=\"sweep\"} 1"), "{text}");
    assert!(fleet.logged(second, "duty held"));
    assert!(fleet.logged(cluster.at[cluster.leader(None)], "duty expired"), "the expiry is logged");
}

#[test]
fn a_holder_paused_past_its_ttl_is_refused_and_steps_down() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let (first, second) = start_two_sweepers(&mut fleet, &cluster);
    let (a, b) = (fleet.address(first), fleet.address(second));
    let stale = token(a).expect("held");
    cluster.register("m", free());
    fleet.pause(first);
    until("the second holds the duty", 3 * TTL, || token(b).is_some());
    // A write that the paused holder might have been about to make.
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
    until("the old holder steps down", TIMEOUT, || fleet.logged(first, "duty lost"));
    for _ in 0..50 {
        assert_eq!((token(a), token(b).is_some()), (None, true));
    }
    // The new holder's write succeeds, and it sweeps the draining member.
    let fresh = token(b).expect("held");
    assert_eq!(write(fresh).0, 200);
    until("swept", TIMEOUT, || fleet.logged(second, "swept"));
    assert!(!fleet.logged(first, "swept"));
}

#[test]
fn a_duty_survives_loss_of_a_minority_and_expires_without_a_majority() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let (first, second) = start_two_sweepers(&mut fleet, &cluster);
    let (a, b) = (fleet.address(first), fleet.address(second));
    let held_token = token(a);
    let leader = cluster.leader(None);
    let follower = (leader + 1) % 3;
    fleet.kill(cluster.at[follower]);
    let from = Instant::now();
    while from.elapsed() < 2 * TTL {
        assert_eq!((token(a), token(b)), (held_token, None), "the duty is kept");
        thread::sleep(Duration::from_millis(10));
    }
    fleet.kill(cluster.at[leader]);
    let took = until("the holder stops", TTL + TTL / 2, || token(a).is_none());
    eprintln!("stopped {took:?} after the majority was lost");
    let from = Instant::now();
    while from.elapsed() < 2 * TTL {
        assert_eq!((token(a), token(b)), (None, None), "no duty without a majority");
        thread::sleep(Duration::from_millis(10));
    }
    fleet.restart(cluster.at[follower]);
    until("a majority grants again", TIMEOUT, || {
        token(a).max(token(b)) > held_token && !(token(a).is_some() && token(b).is_some())
    });
}

#[test]
fn tokens_increase_across_restarts_of_every_peer() {
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
    let highest_at =
        |i: &SocketAddr| look(*i, "/admin/leases")["duties"]["d-19"]["highest"].as_u64();
    until("all instances have the highest token", TIMEOUT, || {
        cluster.calls.iter().all(|i| highest_at(i) == Some(highest))
    });
    assert!(duty(cluster.calls[0]).is_null(), "the sweep duty was never requested");
}

#[test]
fn an_unresponsive_leader_does_not_end_a_lease_longer_than_an_election() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 3, "");
    let holder = start_sweeper_with_ttl(&mut fleet, &cluster, "holder", 4 * TTL);
    let at = fleet.address(holder);
    until("held", TIMEOUT, || token(at).is_some());
    let (held_token, leader) = (token(at), cluster.leader(None));
    fleet.pause(cluster.at[leader]);
    let from = Instant::now();
    while from.elapsed() < 6 * TTL {
        assert_eq!(token(at), held_token, "lost after {:?}", from.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    fleet.resume(cluster.at[leader]);
    thread::sleep(TTL);
    assert_eq!(token(at), held_token);
}
