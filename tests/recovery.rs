//! What is kept on disk through crashes, power losses and full disks (issue 14). The same at every byte of a record
//! is in `src/store/`.

#[allow(dead_code)] // Each test file uses part of the harness.
mod harness;
mod shim;

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::{ASK, Cluster, Fleet, PROGRAM, free, get, look, member, post, until};
use serde_json::{Value, json};

const SOON: Duration = Duration::from_secs(5);

/// The log file of the newest generation.
fn log_of(dir: &Path) -> PathBuf {
    let mut logs: Vec<PathBuf> = fs::read_dir(dir)
        .expect("a state directory")
        .map(|e| e.expect("an entry").path())
        .filter(|p| p.file_name().is_some_and(|n| n.to_string_lossy().starts_with("log-")))
        .collect();
    logs.sort();
    logs.pop().expect("a log")
}

fn check(role: &str, dir: &Path) -> Output {
    let dir = dir.to_str().expect("UTF-8");
    Command::new(PROGRAM)
        .args(["check", "--role", role, "--state-dir", dir])
        .output()
        .expect("it runs")
}

fn said(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[test]
fn no_acknowledged_write_is_missing_after_a_hundred_kills_amid_a_burst() {
    let mut fleet = Fleet::default();
    // Small enough that snapshots are written amid the bursts too.
    let cluster = Cluster::start(&mut fleet, 1, "snapshot_bytes = 20000");
    let (at, calls) = (cluster.at[0], cluster.calls[0]);
    let acknowledged = Arc::new(Mutex::new(BTreeSet::new()));
    let mut random: u64 = 0x9e37_79b9_7f4a_7c15;
    for round in 0..100 {
        let writers: Vec<_> = (0..3)
            .map(|w| {
                let acknowledged = acknowledged.clone();
                thread::spawn(move || {
                    for i in 0.. {
                        let id = format!("m-{w}-{}", (round * 7 + i) % 40);
                        // An address of its own each time: every write changes the list.
                        match post(calls, "/admin/members", &member(&id, free())) {
                            Some((200, answer)) => {
                                let answer: serde_json::Value =
                                    serde_json::from_str(&answer).unwrap_or_default();
                                let Some(revision) = answer["revision"].as_u64() else { return };
                                acknowledged.lock().expect("a set").insert((id, revision));
                            }
                            _ => return,
                        }
                    }
                })
            })
            .collect();
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        thread::sleep(Duration::from_millis(5 + random % 40));
        fleet.kill(at);
        writers.into_iter().for_each(|w| w.join().expect("a writer"));
        fleet.restart(at);
        let list = look(cluster.lists[0], "/api/targets");
        let held = list["revision"].as_u64().expect("a revision");
        let ids: BTreeSet<&str> = list["members"]
            .as_array()
            .expect("members")
            .iter()
            .filter_map(|m| m["id"].as_str())
            .collect();
        let acknowledged = acknowledged.lock().expect("a set");
        for (id, revision) in acknowledged.iter() {
            assert!(ids.contains(id.as_str()), "round {round}: {id} is missing");
            assert!(
                held >= *revision,
                "round {round}: revision {revision} is missing, {held} held"
            );
        }
    }
    let count = acknowledged.lock().expect("a set").len();
    assert!(count > 100, "only {count} writes were acknowledged");
    let output = check("discovery", &cluster.dirs[0]);
    assert!(output.status.success(), "{}", said(&output));
}

#[test]
fn a_torn_end_is_cut_off_and_a_flipped_byte_is_refused_with_its_offset() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 1, "");
    for i in 0..20 {
        cluster.register(&format!("m-{i}"), free());
    }
    fleet.kill(cluster.at[0]);
    let log = log_of(&cluster.dirs[0]);
    let whole = fs::read(&log).expect("readable");
    let output = check("discovery", &cluster.dirs[0]);
    assert!(
        output.status.success() && said(&output).contains("0 of them torn"),
        "{}",
        said(&output)
    );

    fs::write(&log, &whole[..whole.len() - 7]).expect("cut");
    let output = check("discovery", &cluster.dirs[0]);
    assert!(
        output.status.success() && !said(&output).contains(" 0 of them torn"),
        "{}",
        said(&output)
    );
    fleet.restart(cluster.at[0]);
    assert!(fleet.logged(cluster.at[0], "a torn last record is cut off"));
    // The record that was cut held the last write; all before it stand.
    let list = look(cluster.lists[0], "/api/targets");
    assert_eq!(list["members"].as_array().map(Vec::len), Some(19));
    fleet.kill(cluster.at[0]);

    let mut spoilt = fs::read(&log).expect("readable");
    let middle = spoilt.len() / 2;
    spoilt[middle] ^= 0x20;
    fs::write(&log, &spoilt).expect("spoilt");
    let output = check("discovery", &cluster.dirs[0]);
    assert_eq!(output.status.code(), Some(2), "{}", said(&output));
    assert!(said(&output).contains("corrupt record at offset"), "{}", said(&output));
    let config = fleet.processes[cluster.at[0]].args();
    let refused = Command::new(PROGRAM).args(&config).output().expect("it runs");
    assert!(!refused.status.success());
    assert!(said(&refused).contains("corrupt record at offset"), "{}", said(&refused));
    assert!(!said(&refused).contains("panicked"), "{}", said(&refused));
    // On an operator's word it serves what was good before.
    let mut args: Vec<&str> = config.iter().map(String::as_str).collect();
    args.push("--restore-last-good");
    let restored = fleet.start("restored", &args, &[]);
    fleet.ready(restored);
    let list = look(cluster.lists[0], "/api/targets");
    let left = list["members"].as_array().map_or(0, Vec::len);
    assert!(left > 0 && left < 20, "{left}");
}

#[test]
fn a_full_disk_refuses_writes_and_serves_reads_and_loses_nothing_acknowledged() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 1, "max_log_bytes = 40000");
    let mut acknowledged = 0;
    let (status, answer) = loop {
        let body = member(&format!("m-{acknowledged}"), free());
        let (status, answer) = post(cluster.calls[0], "/admin/members", &body).expect("an answer");
        if status != 200 {
            break (status, answer);
        }
        acknowledged += 1;
        assert!(acknowledged < 2000, "never full");
    };
    assert_eq!(status, 507, "{answer}");
    assert!(answer.contains("full"), "{answer}");
    let members = || look(cluster.lists[0], "/api/targets")["members"].as_array().map(Vec::len);
    assert_eq!(members(), Some(acknowledged), "reads go on");
    assert_eq!(get(cluster.lists[0], "/-/ready", &[]).map(|a| a.0), Some(200));
    fleet.kill(cluster.at[0]);
    fleet.restart(cluster.at[0]);
    assert_eq!(members(), Some(acknowledged));
}

#[test]
fn a_disk_whose_writes_and_syncs_fail_takes_back_nothing_acknowledged() {
    for seed in 1..=4 {
        let mut fleet = Fleet::default();
        let mut failing = shim::faults("disk", 12, seed).to_vec();
        failing.push(("FAULT_AFTER", "1200".to_owned()));
        fleet.environments.push(("list-1", failing));
        // Small enough that snapshots are written amid the failures too.
        let cluster = Cluster::start(&mut fleet, 3, "snapshot_bytes = 4000");
        let mut failed = 0;
        for round in 0..4 {
            // By now its calls fail.
            thread::sleep(Duration::from_millis(1300));
            for number in 0..15 {
                let body = member(&format!("m-{round}-{number}"), free());
                let taken = |at: &SocketAddr| {
                    post(*at, "/admin/members", &body).is_some_and(|(status, _)| status == 200)
                };
                until("one that leads and can write", SOON, || cluster.calls.iter().any(taken));
            }
            failed += usize::from(fleet.logged(cluster.at[0], "nothing can be kept"));
            // It may take no further part: it is started anew, on what its disk holds.
            fleet.kill(cluster.at[0]);
            fleet.restart(cluster.at[0]);
        }
        assert!(failed > 0, "seed {seed}: its disk never failed");
        for list in &cluster.lists {
            let members = || look(*list, "/api/targets")["members"].as_array().map(Vec::len);
            until(&format!("seed {seed}: all members at {list}"), SOON, || members() == Some(60));
        }
    }
}

#[test]
fn what_a_failed_sync_left_in_the_cache_is_not_believed_after_a_restart() {
    let mut fleet = Fleet::default();
    let mut failing = shim::faults("sync", 1, 1).to_vec();
    failing.push(("FAULT_AFTER", "2000".to_owned()));
    fleet.environments.push(("list-1", failing));
    let from = Instant::now();
    let cluster = Cluster::start(&mut fleet, 1, "");
    cluster.register("kept", free());
    thread::sleep(Duration::from_millis(2100).saturating_sub(from.elapsed()));
    let answer = post(cluster.calls[0], "/admin/members", &member("refused", free()));
    assert_ne!(answer.map(|(status, _)| status), Some(200), "its sync fails");
    fleet.kill(cluster.at[0]);
    fleet.restart(cluster.at[0]);
    fleet.ready(cluster.at[0]);
    let list = look(cluster.lists[0], "/api/targets");
    let ids: Vec<_> = list["members"].as_array().into_iter().flatten().map(|m| &m["id"]).collect();
    assert_eq!(ids, ["kept"]);
}

#[test]
fn a_proxy_that_starts_while_no_list_service_is_up_serves_from_its_last_list() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 1, "");
    let upstream = fleet.start("s-1", &["stand-in", "--name", "s-1"], &[]);
    cluster.register("s-1", fleet.address(upstream));
    let dir = fleet.folder("proxy");
    let kept = [("LB_STATE_DIR", dir.to_str().expect("UTF-8"))];
    let (proxy, _) = fleet.proxy("p", &cluster.lists[0].to_string(), &kept);
    fleet.ready(proxy);
    until("the list is kept", SOON, || {
        let output = check("proxy", &dir);
        output.status.success() && said(&output).contains("a list of 1 members")
    });
    fleet.kill(cluster.at[0]);
    fleet.kill(proxy);
    let from = Instant::now();
    fleet.restart(proxy);
    until("it serves", SOON, || {
        get(fleet.address(proxy), "/api/stock", &ASK) == Some((200, "s-1\n".into()))
    });
    assert!(from.elapsed() < Duration::from_secs(1), "took {:?}", from.elapsed());
    // A newer one that it is started with is what changes are kept to.
    fleet.kill(proxy);
    let text = fs::read_to_string("examples/proxy.json").expect("an example");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    let entry = |id| json!({"id": id, "host_port": "127.0.0.1:9", "phase": "SERVING"});
    config["known"] =
        json!({"revision": u32::MAX, "complete": true, "members": [entry("a"), entry("b")]});
    let newer = fleet.file("newer.json", &config.to_string());
    let more = [kept[0], ("LB_CONFIG", newer.to_str().expect("UTF-8"))];
    let (newer, _) = fleet.proxy("newer", &cluster.lists[0].to_string(), &more);
    until("it is kept", SOON, || said(&check("proxy", &dir)).contains("a list of 2 members"));
    fleet.kill(newer);
    // A kept list that is spoilt costs a warning, not the start.
    fs::write(dir.join("last-list"), b"no list at all, and longer than a head").expect("spoilt");
    fleet.restart(proxy);
    assert!(fleet.logged(proxy, "the list kept is not used"));
    assert_eq!(get(fleet.address(proxy), "/-/ready", &[]).map(|a| a.0), Some(503));
    fleet.restart(cluster.at[0]);
    fleet.ready(proxy);
}
