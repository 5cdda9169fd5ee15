//! Discovery that is asked answers each call after 4 s: is its list ever used?

mod harness;
use harness::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a call waits for its turn, in ms.
const TURN: u64 = 4_000;
/// A change counts as told so many seconds after discovery had it and could be reached; then `DrainGrace`, and what every
/// time limit is extended by on sockets.
const TOLD: f64 = 6.0;
const GRACE: f64 = 1.0 + 0.05;

fn main() {
    let mut run = Run::begin();
    let arrived: Arc<Mutex<Vec<Arrived>>> = Arc::default();
    let at: Vec<_> = ["s-1", "s-2", "s-3"].iter().map(|name| (*name, upstream(name, 20, &arrived))).collect();
    let phases = |first: &str| -> Vec<String> {
        let phase = |name: &str| if name == "s-1" { first.to_owned() } else { "SERVING".to_owned() };
        at.iter().map(|(name, at)| member(name, *at, "taipei", &phase(name))).collect()
    };
    // The balancer starts with the list as it had it last; s-1 has begun to drain since, and discovery has that.
    let turn = if run.trouble { TURN } else { 0 };
    let discovery = Agent::start("discovery", Held { revision: 42, members: phases("DRAINING") }, turn);
    let proxy = free();
    let known = list(41, true, &phases("SERVING"));
    let file = run.file("proxy.json", &config(proxy, &discovery.address.to_string(), "", &known, "subscribe", TOOL_HIRE));
    note("s-1 drains, and discovery has it; the balancer starts");
    let started = now();
    run.proxy("n0", &file);
    ready(&mut run, proxy);
    let clients: Vec<_> = (0..4)
        .map(|client| {
            std::thread::spawn(move || {
                let (end, mut n) = (Instant::now() + Duration::from_millis(25_000), 0);
                while Instant::now() < end {
                    let id = format!("{client:08x}{n:08x}");
                    n += 1;
                    let answer = call(proxy, "GET", "/api", &headers(&id, "availability", 1000), "", 3000);
                    note(match &answer {
                        Ok(a) => format!("client: {id} is answered {}", a.status()),
                        Err(why) => format!("client: {id}: {why}"),
                    });
                    sleep(25);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    run.note_log("n0", &["list", "watch"]);
    let told = started + TOLD;
    note(match discovery.told.lock().unwrap().get(&42) {
        Some(at) => format!("discovery told revision 42 at {at:.3}"),
        None => "discovery never got to tell revision 42: the balancer left each of its calls before".to_owned(),
    });
    let late: Vec<Arrived> = arrived.lock().unwrap().iter().filter(|a| a.upstream == "s-1" && a.at > told + GRACE).cloned().collect();
    let served = arrived.lock().unwrap().len();
    if served < 200 {
        run.give_up(&format!("only {served} requests were run"));
    }
    for request in late.iter().take(20) {
        note(format!("BREAK: s-1 got {} {:.3} s after its drain counts as told", request.id, request.at - told));
    }
    run.finish(!late.is_empty(), &format!("{} requests at s-1 more than 1.05 s after its drain counts as told, of {served}", late.len()));
}
