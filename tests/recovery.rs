//! Recovery of persisted data from crashes, power losses and full disks (issue 14). Tests of damage at every byte of a
//! record are in `src/store/`.

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

const TIMEOUT: Duration = Duration::from_secs(5);

/// The log file of the newest generation.
fn newest_log(dir: &Path) -> PathBuf {
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

fn output_text(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[test]
fn no_acknowledged_write_is_lost_in_100_kills_during_writes() {
    let mut fleet = Fleet::default();
    // Small enough that snapshots are written during the bursts of writes too.
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
                        // A new address each time, so that every write changes the list.
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
        let current = list["revision"].as_u64().expect("a revision");
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
                current >= *revision,
                "round {round}: revision {revision} is missing, only {current} is stored"
            );
        }
    }
    let count = acknowledged.lock().expect("a set").len();
    assert!(count > 100, "only {count} writes were acknowledged");
    let output = check("discovery", &cluster.dirs[0]);
    assert!(output.status.success(), "{}", output_text(&output));
}

#[test]
fn a_torn_record_is_truncated_and_a_flipped_byte_is_refused_with_its_offset() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 1, "");
    for i in 0..20 {
        cluster.register(&format!("m-{i}"), free());
    }
    fleet.kill(cluster.at[0]);
    let log = newest_log(&cluster.dirs[0]);
    let intact = fs::read(&log).expect("readable");
    let output = check("discovery", &cluster.dirs[0]);
    assert!(
        output.status.success() && output_text(&output).contains("0 of them torn"),
        "{}",
        output_text(&output)
    );

    fs::write(&log, &intact[..intact.len() - 7]).expect("truncated");
    let output = check("discovery", &cluster.dirs[0]);
    assert!(
        output.status.success() && !output_text(&output).contains(" 0 of them torn"),
        "{}",
        output_text(&output)
    );
    fleet.restart(cluster.at[0]);
    assert!(fleet.logged(cluster.at[0], "a torn last record is cut off"));
    // The truncated record was the last write; all writes before it are kept.
    let list = look(cluster.lists[0], "/api/targets");
    assert_eq!(list["members"].as_array().map(Vec::len), Some(19));
    fleet.kill(cluster.at[0]);

    let mut corrupted = fs::read(&log).expect("readable");
    let middle = corrupted.len() / 2;
    corrupted[middle] ^= 0x20;
    fs::write(&log, &corrupted).expect("overwritten");
    let output = check("discovery", &cluster.dirs[0]);
    assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
    assert!(output_text(&output).contains("corrupt record at offset"), "{}", output_text(&output));
    let config = fleet.processes[cluster.at[0]].args();
    let refused = Command::new(PROGRAM).args(&config).output().expect("it runs");
    assert!(!refused.status.success());
    assert!(
        output_text(&refused).contains("corrupt record at offset"),
        "{}",
        output_text(&refused)
    );
    assert!(!output_text(&refused).contains("panicked"), "{}", output_text(&refused));
    // With the operator's --restore-last-good it serves the records before the corrupted one.
    let mut args: Vec<&str> = config.iter().map(String::as_str).collect();
    args.push("--restore-last-good");
    let restored = fleet.start("restored", &args, &[]);
    fleet.ready(restored);
    let list = look(cluster.lists[0], "/api/targets");
    let remaining = list["members"].as_array().map_or(0, Vec::len);
    assert!(remaining > 0 && remaining < 20, "{remaining}");
}

#[test]
fn a_full_disk_refuses_writes_but_serves_reads() {
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
        assert!(acknowledged < 2000, "the log never became full");
    };
    assert_eq!(status, 507, "{answer}");
    assert!(answer.contains("full"), "{answer}");
    let members = || look(cluster.lists[0], "/api/targets")["members"].as_array().map(Vec::len);
    assert_eq!(members(), Some(acknowledged), "reads continue");
    assert_eq!(get(cluster.lists[0], "/-/ready", &[]).map(|a| a.0), Some(200));
    fleet.kill(cluster.at[0]);
    fleet.restart(cluster.at[0]);
    assert_eq!(members(), Some(acknowledged));
}

#[test]
fn failing_writes_and_syncs_lose_no_acknowledged_write() {
    for seed in 1..=4 {
        let mut fleet = Fleet::default();
        let mut fault_env = shim::faults("disk", 12, seed).to_vec();
        fault_env.push(("FAULT_AFTER", "1200".to_owned()));
        fleet.environments.push(("list-1", fault_env));
        // Small enough that snapshots are written amid the failures too.
        let cluster = Cluster::start(&mut fleet, 3, "snapshot_bytes = 4000");
        let mut failures = 0;
        for round in 0..4 {
            // The injected faults are active by now.
            thread::sleep(Duration::from_millis(1300));
            for number in 0..15 {
                let body = member(&format!("m-{round}-{number}"), free());
                let accepted = |at: &SocketAddr| {
                    post(*at, "/admin/members", &body).is_some_and(|(status, _)| status == 200)
                };
                until("a leader that can write", TIMEOUT, || cluster.calls.iter().any(accepted));
            }
            failures += usize::from(fleet.logged(cluster.at[0], "nothing can be kept"));
            // After a failed write it may take no further part, so it is restarted with the contents of its disk.
            fleet.kill(cluster.at[0]);
            fleet.restart(cluster.at[0]);
        }
        assert!(failures > 0, "seed {seed}: the disk never failed");
        for list in &cluster.lists {
            let members = || look(*list, "/api/targets")["members"].as_array().map(Vec::len);
            until(&format!("seed {seed}: all members at {list}"), TIMEOUT, || {
                members() == Some(60)
            });
        }
    }
}

#[test]
fn data_cached_by_a_failed_sync_is_not_loaded_after_a_restart() {
    let mut fleet = Fleet::default();
    let mut fault_env = shim::faults("sync", 1, 1).to_vec();
    fault_env.push(("FAULT_AFTER", "2000".to_owned()));
    fleet.environments.push(("list-1", fault_env));
    let from = Instant::now();
    let cluster = Cluster::start(&mut fleet, 1, "");
    cluster.register("kept", free());
    thread::sleep(Duration::from_millis(2100).saturating_sub(from.elapsed()));
    let answer = post(cluster.calls[0], "/admin/members", &member("refused", free()));
    assert_ne!(answer.map(|(status, _)| status), Some(200), "the sync fails");
    fleet.kill(cluster.at[0]);
    fleet.restart(cluster.at[0]);
    fleet.ready(cluster.at[0]);
    let list = look(cluster.lists[0], "/api/targets");
    let ids: Vec<_> = list["members"].as_array().into_iter().flatten().map(|m| &m["id"]).collect();
    assert_eq!(ids, ["kept"]);
}

#[test]
fn a_proxy_starting_without_a_list_service_serves_its_persisted_list() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 1, "");
    let upstream = fleet.start("s-1", &["stand-in", "--name", "s-1"], &[]);
    cluster.register("s-1", fleet.address(upstream));
    let dir = fleet.folder("proxy");
    let state_dir = [("LB_STATE_DIR", dir.to_str().expect("UTF-8"))];
    let (proxy, _) = fleet.proxy("p", &cluster.lists[0].to_string(), &state_dir);
    fleet.ready(proxy);
    until("the list is persisted", TIMEOUT, || {
        let output = check("proxy", &dir);
        output.status.success() && output_text(&output).contains("a list of 1 members")
    });
    fleet.kill(cluster.at[0]);
    fleet.kill(proxy);
    let from = Instant::now();
    fleet.restart(proxy);
    until("the proxy serves", TIMEOUT, || {
        get(fleet.address(proxy), "/api/stock", &ASK) == Some((200, "s-1\n".into()))
    });
    assert!(from.elapsed() < Duration::from_secs(1), "took {:?}", from.elapsed());
    // A newer list in the configuration replaces the persisted one, and later changes are stored on top of it.
    fleet.kill(proxy);
    let text = fs::read_to_string("examples/proxy.json").expect("an example");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    let entry = |id| json!({"id": id, "host_port": "127.0.0.1:9", "phase": "SERVING"});
    config["known"] =
        json!({"revision": u32::MAX, "complete": true, "members": [entry("a"), entry("b")]});
    let newer = fleet.file("newer.json", &config.to_string());
    let env = [state_dir[0], ("LB_CONFIG", newer.to_str().expect("UTF-8"))];
    let (newer, _) = fleet.proxy("newer", &cluster.lists[0].to_string(), &env);
    until("the newer list is persisted", TIMEOUT, || {
        output_text(&check("proxy", &dir)).contains("a list of 2 members")
    });
    fleet.kill(newer);
    // A corrupted persisted list causes a warning and does not prevent the start.
    fs::write(dir.join("last-list"), b"no list at all, and longer than a head")
        .expect("overwritten");
    fleet.restart(proxy);
    assert!(fleet.logged(proxy, "the list kept is not used"));
    assert_eq!(get(fleet.address(proxy), "/-/ready", &[]).map(|a| a.0), Some(503));
    fleet.restart(cluster.at[0]);
    fleet.ready(proxy);
}
