//! A balancer starts while discovery is slow. Does it learn in time of an upstream that drains?

#[path = "lab.rs"]
mod lab;

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use lab::*;

const UPSTREAMS: usize = 4;
const CLIENTS: usize = 8;
const LENGTH_S: u64 = 25;
/// How long a call waits for its answer.
const SLOW_MS: u64 = 3500;
/// When a change counts as told at the latest; the grace of a drain; the slack on sockets; and one second for this test.
const TOLD_MS: f64 = 6000.0;
const GRACE_MS: f64 = 1000.0;
const SLACK_MS: f64 = 50.0;
const MARGIN_MS: f64 = 1000.0;

fn main() {
    open_record();
    let slow = std::env::var("SLOW_MS").ok().and_then(|v| v.parse().ok()).unwrap_or(SLOW_MS);
    let mode = std::env::var("MODE").unwrap_or_else(|_| "subscribe".into());
    let sends = Arc::new(Mutex::new(Vec::new()));
    let mut entries = Vec::new();
    for n in 0..UPSTREAMS {
        let sends = sends.clone();
        let upstream = Upstream::start(&format!("s-{n}"), move |received, stream| {
            sends.lock().expect("not poisoned").push((n, received.id().to_owned(), since_start()));
            pause(40);
            stream.write_all(ok(&format!("made for {}", received.id())).as_bytes())?;
            Ok(true)
        });
        entries.push(Entry::serving(&upstream.name, upstream.address));
    }
    let agent = Agent::start(41, &entries);
    // The list that the balancer had last is older than this change.
    agent.change(&[Entry { phase: "DRAINING", ..entries[0].clone() }]);
    if trouble() {
        agent.answer_after(ms(slow));
    }
    let proxy = Proxy::start(&Setup {
        name: "n0",
        listen: free_address(),
        management: free_address(),
        discovery: agent.address,
        known: list_json(41, true, &entries),
        settings: settings(1, 0, &mode),
        memory_mb: 48,
        sockets: 384,
        tmpdir: temp().join("n0"),
    });
    proxy.wait_ready();
    let (ready, until) = (since_start(), Instant::now() + ms(LENGTH_S * 1000));
    let (asked, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (asked, served, to) = (asked.clone(), served.clone(), proxy.listen);
            std::thread::spawn(move || {
                while Instant::now() < until {
                    let id = format!("c{c}-{:05}", asked.fetch_add(1, Ordering::SeqCst));
                    let answer = Client::connect(to).and_then(|mut client| {
                        client.send(get_request(&id, "stock-check", 1000).as_bytes())?;
                        client.answer(ms(1600))
                    });
                    match answer {
                        Ok(answer) if answer.status == 200 => drop(served.fetch_add(1, Ordering::SeqCst)),
                        other => record(&format!("client: {id}: {other:?}")),
                    }
                    pause(20);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|t| drop(t.join()));
    let (n, served) = (asked.load(Ordering::SeqCst), served.load(Ordering::SeqCst));
    proxy.record_log();
    if proxy.ended() {
        finish(BROKEN, "broken: the balancer ended");
    }
    if served < 100 {
        cannot_run("too few requests were served");
    }
    let from = ready + TOLD_MS + GRACE_MS + SLACK_MS + MARGIN_MS;
    let sends = sends.lock().expect("not poisoned");
    let late: Vec<_> = sends.iter().filter(|(n, _, at)| *n == 0 && *at > from).collect();
    say(&format!("{served} of {n} requests were served; the balancer was ready at {ready:.0} ms; sends to s-0 count from {from:.0} ms"));
    match late.last() {
        None => finish(HELD, "held: nothing was sent to the draining upstream after the time"),
        Some((_, id, at)) => finish(
            BROKEN,
            &format!(
                "broken: {} requests were sent to the draining upstream after the time, the last ({id}) {:.1} s after the start",
                late.len(),
                (at - ready) / 1000.0
            ),
        ),
    }
}
