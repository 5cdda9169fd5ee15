//! The log of one instance of the list service is full: does the sweep remove a member that serves?

mod harness;
use harness::*;
use std::net::SocketAddr;

/// The limit of the first instance's log in bytes, and how often members are changed until it is full.
const LIMIT: u64 = 24 << 10;
const CHANGES: u32 = 400;

fn main() {
    let mut run = Run::begin();
    let names = ["s-1", "s-2", "s-3"];
    let at: Vec<SocketAddr> = names.iter().map(|_| free()).collect();
    for (name, at) in names.iter().zip(&at) {
        run.start(name, &format!("stand-in --listen {at} --name {name} --delay-ms 10"), &[]);
    }
    let lists: Vec<SocketAddr> = (0..3).map(|_| free()).collect();
    let calls: Vec<SocketAddr> = (0..3).map(|_| free()).collect();
    let start = |run: &mut Run, i: usize| {
        let mut text = format!(
            "name = \"list-{0}\"\nlisten = \"{1}\"\nmanagement = \"{2}\"\nid = {0}\nstate_dir = \"{3}\"\n",
            i + 1, lists[i], calls[i], run.folder.join(format!("list-{}", i + 1)).display()
        );
        if i == 0 && run.trouble {
            text += &format!("max_log_bytes = {LIMIT}\n");
        }
        for (n, call) in calls.iter().enumerate() {
            text += &format!("[[peers]]\nid = {}\nmanagement = \"{call}\"\n", n + 1);
        }
        for (name, at) in names.iter().zip(&at) {
            text += &format!("[[members]]\nid = \"{name}\"\nhost_port = \"{at}\"\nlocality = \"taipei\"\nflavor = \"std\"\nphase = \"SERVING\"\n");
        }
        let file = run.file(&format!("list-{}.toml", i + 1), &text).display().to_string();
        run.start(&format!("list-{}", i + 1), &format!("discovery --config {file}"), &[]);
    };
    let health = |i: usize| get(calls[i], "/admin/health").map(|a| a.text()).unwrap_or_default();
    let leads = |i: usize| health(i).contains("\"leads\":true");
    // The second and the third first, so that one of them leads.
    start(&mut run, 1);
    start(&mut run, 2);
    if !until(10_000, || leads(1) || leads(2)) {
        run.give_up("no instance leads");
    }
    start(&mut run, 0);
    let read = |i: usize| get(calls[i], "/admin/members").map(|a| a.text()).unwrap_or_default();
    if !until(10_000, || read(0).contains("s-3")) {
        run.give_up("the first instance has no list");
    }
    let leader = || (0..3).find(|i| leads(*i)).unwrap_or(1);
    let set = |id: &str, phase: &str| {
        let body = format!("{{\"id\":\"{id}\",\"phase\":\"{phase}\"}}");
        post(calls[leader()], "/admin/members/phase", &body).map_or(0, |a| a.status())
    };
    let services: Vec<String> = calls.iter().map(SocketAddr::to_string).collect();
    run.start("sweep", &format!("sweep --services {} --holder sweep-1", services.join(",")), &[]);
    let drained = now();
    note(format!("the operator sets s-1 DRAINING: {}", set("s-1", "DRAINING")));
    if !until(5_000, || read(0).contains("DRAINING")) {
        run.give_up("the first instance does not hear of the drain");
    }
    // Ordinary changes of another member, the same with and without the trouble.
    let refused: u32 = (0..CHANGES).map(|n| u32::from(set("s-3", if n % 2 == 0 { "DRAINING" } else { "SERVING" }) != 200)).sum();
    note(format!("{CHANGES} changes of s-3, {refused} refused"));
    for i in 0..3 {
        note(format!("list-{}: {}", i + 1, health(i)));
    }
    if refused > 0 || run.trouble != health(0).contains("bytes") {
        run.give_up(&format!("{refused} changes refused; list-1 says {}", health(0)));
    }
    sleep(5_000);
    // The operator takes s-1 back into service long before the minute is over.
    let status = set("s-1", "SERVING");
    let back = now();
    note(format!("the operator sets s-1 SERVING, {:.1} s after the drain: {status}", back - drained));
    if status != 200 {
        run.give_up(&format!("s-1 could not be set SERVING: {status}"));
    }
    let serving = |text: &str| text.contains("\"id\":\"s-1\"");
    let mut gone = None;
    while now() < drained + 72.0 {
        sleep(500);
        let text = read(leader());
        if text.is_empty() {
            continue;
        }
        if gone.is_none() && !serving(&text) {
            gone = Some(now());
            note(format!("s-1 is no longer in the list: {text}"));
        }
    }
    for i in 0..3 {
        note(format!("list-{} at the end: {}", i + 1, read(i)));
    }
    run.note_log("sweep", &["swept", "duty"]);
    run.note_log("list-1", &["WARN", "ERROR"]);
    let what = gone.map(|at| format!("{:.1} s after it was set SERVING", at - back));
    run.finish(gone.is_some(), &format!("s-1 was removed from the list: {}", what.unwrap_or_else(|| "never".to_owned())));
}
