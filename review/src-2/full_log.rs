//! The log of one instance of the list service is full: does a proxy that follows it hear of a drain?

mod harness;
use harness::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The limit of the first instance's log in bytes, and how often members are changed until it is full.
const LIMIT: u64 = 24 << 10;
const CHANGES: u32 = 400;
/// A change counts as told so many seconds after discovery had it and could be reached; then `DrainGrace`, and what every
/// time limit is extended by on sockets.
const TOLD: f64 = 6.0;
const GRACE: f64 = 1.0 + 0.05;

fn main() {
    let mut run = Run::begin();
    let arrived: Arc<Mutex<Vec<Arrived>>> = Arc::default();
    let at: Vec<_> = ["s-1", "s-2", "s-3"].iter().map(|name| (*name, upstream(name, 20, &arrived))).collect();
    let lists: Vec<SocketAddr> = (0..3).map(|_| free()).collect();
    let calls: Vec<SocketAddr> = (0..3).map(|_| free()).collect();
    let start = |run: &mut Run, i: usize| {
        let mut text = format!("name = \"list-{0}\"\nlisten = \"{1}\"\nmanagement = \"{2}\"\nid = {0}\nstate_dir = \"{3}\"\n",
            i + 1, lists[i], calls[i], run.folder.join(format!("list-{}", i + 1)).display());
        if i == 0 && run.trouble {
            text += &format!("max_log_bytes = {LIMIT}\n");
        }
        for (n, call) in calls.iter().enumerate() {
            text += &format!("[[peers]]\nid = {}\nmanagement = \"{call}\"\n", n + 1);
        }
        for (name, at) in &at {
            text += &format!("[[members]]\nid = \"{name}\"\nhost_port = \"{at}\"\nlocality = \"taipei\"\nflavor = \"std\"\nphase = \"SERVING\"\n");
        }
        let file = run.file(&format!("list-{}.toml", i + 1), &text).display().to_string();
        run.start(&format!("list-{}", i + 1), &format!("discovery --config {file}"), &[]);
    };
    let health = |i: usize| get(calls[i], "/admin/health").map(|a| a.text()).unwrap_or_default();
    // The second and the third first, so that one of them leads.
    start(&mut run, 1);
    start(&mut run, 2);
    let leads = |i: usize| health(i).contains("\"leads\":true");
    if !until(10_000, || leads(1) || leads(2)) {
        run.give_up("no instance leads");
    }
    start(&mut run, 0);
    let read = |at: SocketAddr| get(at, "/api/targets").map(|a| a.text()).unwrap_or_default();
    if !until(10_000, || read(lists[0]).contains("s-3")) {
        run.give_up("the first instance has no list");
    }
    let leader = || (0..3).find(|i| leads(*i)).unwrap_or(1);
    let write = |path: &str, body: &str| post(calls[leader()], path, body).map_or(0, |a| a.status());
    let proxy = free();
    let all: Vec<String> = lists.iter().map(SocketAddr::to_string).collect();
    let known = list(0, true, &[]);
    let file = run.file("proxy.json", &config(proxy, &all.join(","), "", &known, "automatic", TRADE_COUNTER));
    run.proxy("n0", &file);
    ready(&mut run, proxy);
    // Ordinary changes of the list, the same with and without the trouble.
    let mut refused = 0;
    for n in 0..CHANGES {
        let phase = if n % 2 == 0 { "DRAINING" } else { "SERVING" };
        refused += u32::from(write("/admin/members/phase", &format!("{{\"id\":\"s-3\",\"phase\":\"{phase}\"}}")) != 200);
    }
    note(format!("{CHANGES} changes, {refused} refused"));
    for i in 0..3 {
        note(format!("list-{}: {}", i + 1, health(i)));
    }
    if refused > 0 || run.trouble != health(0).contains("bytes") {
        run.give_up(&format!("{refused} changes refused; list-1 says {}", health(0)));
    }
    let clients: Vec<_> = (0..3)
        .map(|client| {
            std::thread::spawn(move || {
                let (end, mut n) = (Instant::now() + Duration::from_secs(15), 0);
                while Instant::now() < end {
                    let id = format!("{client:08x}{n:08x}");
                    n += 1;
                    let answer = call(proxy, "GET", "/api", &headers(&id, "stock-check", 1000), "", 3000);
                    note(match &answer {
                        Ok(a) => format!("client: {id} is answered {}", a.status()),
                        Err(why) => format!("client: {id}: {why}"),
                    });
                    sleep(25);
                }
            })
        })
        .collect();
    sleep(1_000);
    let status = write("/admin/members/phase", "{\"id\":\"s-1\",\"phase\":\"DRAINING\"}");
    let had = now();
    note(format!("s-1 is set DRAINING: {status}"));
    for client in clients {
        let _ = client.join();
    }
    for (i, at) in lists.iter().enumerate() {
        note(format!("list-{} tells: {}", i + 1, read(*at)));
    }
    run.note_log("list-1", &["WARN", "ERROR", "leader"]);
    run.note_log("n0", &["watch", "list"]);
    if status != 200 {
        run.give_up(&format!("the drain was answered {status}"));
    }
    let late: Vec<Arrived> =
        arrived.lock().unwrap().iter().filter(|a| a.upstream == "s-1" && a.at > had + TOLD + GRACE).cloned().collect();
    for request in late.iter().take(20) {
        note(format!("BREAK: s-1 got {} {:.3} s after its drain was acknowledged", request.id, request.at - had));
    }
    run.finish(!late.is_empty(), &format!("{} requests at s-1 more than 7.05 s after its drain was acknowledged", late.len()));
}
