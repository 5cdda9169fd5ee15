//! Runs several processes of the program on loopback, with each role started as an operator would start it.

#[allow(dead_code)] // Each test file uses part of the harness.
mod harness;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

use harness::{ASK, Cluster, Fleet, PROGRAM, Watch, get, until};
use serde_json::json;

const SOON: Duration = Duration::from_secs(2);

fn list_file(upstream: SocketAddr, extra: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\nstart_revision = 40\n{extra}\n[[members]]\nid = \"s-1\"\n\
         host_port = \"{upstream}\"\nlocality = \"a\"\nphase = \"SERVING\"\n"
    )
}

/// Starts a stand-in upstream, a list service that lists it, and `proxies` proxies that use this list. Returns the
/// indices of the list service and of the proxies.
fn start_serving(fleet: &mut Fleet, proxies: usize) -> (usize, Vec<usize>) {
    let upstream = fleet.start("s-1", &["stand-in", "--name", "s-1"], &[]);
    let list = fleet.file(&format!("list-{proxies}.toml"), &list_file(fleet.address(upstream), ""));
    let list = fleet.start("list", &["discovery", "--config", list.to_str().expect("UTF-8")], &[]);
    let at = fleet.address(list).to_string();
    (list, (0..proxies).map(|i| fleet.proxy(&format!("p-{i}"), &at, &[]).0).collect())
}

#[test]
fn five_processes_start_serve_and_stop_within_five_seconds() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    let (_, proxies) = start_serving(&mut fleet, 3);
    for &proxy in &proxies {
        fleet.ready(proxy);
        let answer = get(fleet.address(proxy), "/api/stock", &ASK);
        assert_eq!(answer, Some((200, "s-1\n".to_owned())), "through {proxy}");
    }
    drop(fleet);
    assert!(start.elapsed() < Duration::from_secs(5), "took {:?}", start.elapsed());
}

#[test]
fn proxy_serves_from_its_last_list_without_a_list_service() {
    let mut fleet = Fleet::default();
    let (list, proxies) = start_serving(&mut fleet, 1);
    let proxy = proxies[0];
    fleet.ready(proxy);
    fleet.pause(list);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(get(fleet.address(proxy), "/api/stock", &ASK).map(|a| a.0), Some(200));
    fleet.kill(list);
    assert_eq!(get(fleet.address(proxy), "/api/stock", &ASK).map(|a| a.0), Some(200));
}

#[test]
fn list_service_answers_lists_watches_and_bad_requests() {
    let mut fleet = Fleet::default();
    let file =
        fleet.file("list.toml", &list_file("127.0.0.1:9".parse().expect("valid address"), ""));
    let list = fleet.start("list", &["discovery", "--config", file.to_str().expect("UTF-8")], &[]);
    let at = fleet.address(list);
    let (status, body) = get(at, "/api/targets", &[]).expect("no answer");
    assert_eq!(status, 200);
    assert!(body.starts_with("{\"revision\":41,\"complete\":true,"), "{body}");
    // A watch from a revision older than the history, or from none, gets the full list, marked complete.
    let update = Watch::open(at, 3).next(SOON).expect("no list update");
    assert_eq!((&update["revision"], &update["complete"]), (&json!(41), &json!(true)));
    // A watch from the current revision, or from one ahead of this instance, gets only heartbeats until an update.
    for index in [41, 99] {
        assert_eq!(Watch::open(at, index).next(Duration::from_millis(300)), None);
    }
    for (path, status) in [
        ("/api/targets?stream=1&index=x", 400),
        ("/api/targets?stream=2", 400),
        ("/elsewhere", 404),
    ] {
        assert_eq!(get(at, path, &[]).map(|a| a.0), Some(status), "{path}");
    }
    let big = format!("Content-Length: {}", 70 << 10);
    let mut stream = TcpStream::connect(at).expect("connect");
    let head = format!("POST /api/targets HTTP/1.1\r\nHost: a\r\n{big}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("send request");
    let _ = stream.write_all(&vec![b'x'; 70 << 10]);
    let mut answer = [0; 12];
    let _ = stream.read_exact(&mut answer);
    assert_eq!(&answer, b"HTTP/1.1 413");
    assert_eq!(
        get(at, "/-/ready", &[]).map(|a| a.0),
        Some(200),
        "the list service must still answer"
    );
}

#[test]
fn each_role_names_the_bad_key_and_exits_with_code_2() {
    let mut fleet = Fleet::default();
    let list = fleet.file(
        "bad-list.toml",
        &list_file("127.0.0.1:9".parse().expect("valid address"), "beat = 1"),
    );
    let plan = fleet.file(
        "bad-plan.toml",
        "name = \"r\"\nmanagement = \"127.0.0.1:0\"\nstate_dir = \"x\"\nstages = [50, 10, 100]\n",
    );
    let proxy = fleet
        .file("bad-proxy.json", "{\"listen\": \"127.0.0.1:0\", \"settings\": {\"Tick\": \"x\"}}");
    let (list, plan, proxy) = (list.to_str(), plan.to_str(), proxy.to_str());
    let (list, plan, proxy) = (list.expect("UTF-8"), plan.expect("UTF-8"), proxy.expect("UTF-8"));
    let runs: [(&[&str], &str); 7] = [
        (&["discovery", "--config", list], "`beat`"),
        (&["release", "start", "--config", plan], "`stages`"),
        (&["release", "halt", "--config", plan], "`stages`"),
        (&["proxy"], "`settings"),
        (&["check", "--role", "discovery", "--config", list], "`beat`"),
        (&["check", "--role", "release", "--config", plan], "`stages`"),
        (&["check", "--role", "proxy", "--config", proxy], "`settings"),
    ];
    for (args, key) in runs {
        let output = Command::new(PROGRAM)
            .args(args)
            .env("LB_CONFIG", proxy)
            .output()
            .expect("run the program");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {stderr}");
        assert!(stderr.contains(key) && !stderr.contains("panicked"), "{args:?}: {stderr}");
    }
    let good = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/release.toml");
    let output = Command::new(PROGRAM).args(["check", "--role", "release", "-c", good]).output();
    assert_eq!(output.expect("run the program").status.code(), Some(0));
    let help = Command::new(PROGRAM).arg("--help").output().expect("run the program");
    let help = String::from_utf8_lossy(&help.stdout);
    for role in ["proxy", "discovery", "release", "sweep", "check", "stand-in"] {
        assert!(help.contains(&format!("  {role} ")), "{role} in {help}");
    }
}

/// Waits for a JSON log line that contains `what`.
fn json_line(fleet: &Fleet, i: usize, what: &str) -> serde_json::Value {
    let mut line = None;
    until(what, SOON, || {
        line = fleet.line(i, what);
        line.is_some()
    });
    serde_json::from_str(&line.expect("no such line")).expect("log line is not a JSON object")
}

#[test]
fn json_log_lines_name_process_role_and_request_or_lease() {
    let mut fleet = Fleet::default();
    let cluster = Cluster::start(&mut fleet, 1, "");
    let json = [("LB_LOG_FORMAT", "json")];
    let services = cluster.services();
    let args = ["sweep", "--services", &services, "--holder", "h", "--ttl-ms", "500"];
    let sweep = fleet.start("sweeper", &args, &json);
    let held = json_line(&fleet, sweep, "duty held");
    assert_eq!(
        (&held["span"]["process"], &held["span"]["role"]),
        (&json!("sweeper"), &json!("sweep"))
    );
    assert!(held["lease"].is_u64(), "{held}");

    let upstream = fleet.start("s-1", &["stand-in", "--name", "s-1"], &[]);
    cluster.register("s-1", fleet.address(upstream));
    let (proxy, _) = fleet.proxy("p", &cluster.lists[0].to_string(), &json);
    fleet.ready(proxy);
    let mut stream = TcpStream::connect(fleet.address(proxy)).expect("connect");
    let head = "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: cut-short\r\nX-Class: alarm\r\n\
                X-Deadline-Ms: 2000\r\nContent-Length: 10\r\n\r\nabc";
    stream.write_all(head.as_bytes()).expect("send request");
    stream.shutdown(std::net::Shutdown::Write).expect("shut down the write side");
    let line = json_line(&fleet, proxy, "the body of a request");
    assert_eq!((&line["request"], &line["span"]["role"]), (&json!("cut-short"), &json!("proxy")));
}
