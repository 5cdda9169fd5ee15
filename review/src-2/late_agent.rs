//! A new configuration names another agent of discovery, which hears of a drain later than the one before: is the drain
//! that was told forgotten?

mod harness;
use harness::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// When the two agents hear of the drain, in ms after it began (`notice_s` of the site: 1.1 to 4.7 s).
const FIRST_HEARS: u64 = 1_200;
const SECOND_HEARS: u64 = 4_600;
/// The new configuration comes so many ms after the drain began.
const NEW_CONFIGURATION: u64 = 2_700;
/// `DrainGrace`, and what every time limit is extended by on sockets, in seconds.
const GRACE: f64 = 1.0 + 0.05;

fn main() {
    let mut run = Run::begin();
    let arrived: Arc<Mutex<Vec<Arrived>>> = Arc::default();
    let at: Vec<_> = ["s-1", "s-2", "s-3"].iter().map(|name| (*name, upstream(name, 20, &arrived))).collect();
    let phases = |first: &str| -> Vec<String> {
        let phase = |name: &str| if name == "s-1" { first.to_owned() } else { "SERVING".to_owned() };
        at.iter().map(|(name, at)| member(name, *at, "taipei", &phase(name))).collect()
    };
    let (before, after) = (phases("SERVING"), phases("DRAINING"));
    let first = Agent::start("first agent", Held { revision: 41, members: before.clone() }, 0);
    let second = Agent::start("second agent", Held { revision: 41, members: before.clone() }, 0);
    let proxy = free();
    let text = |discovery: &Agent| {
        config(proxy, &discovery.address.to_string(), "", &list(41, true, &before), "automatic", TRADE_COUNTER)
    };
    let file = run.file("proxy.json", &text(&first));
    let pid = run.proxy("n0", &file);
    ready(&mut run, proxy);
    let clients: Vec<_> = (0..4)
        .map(|client| {
            std::thread::spawn(move || {
                let (end, mut n) = (Instant::now() + Duration::from_millis(9_500), 0);
                while Instant::now() < end {
                    let id = format!("{client:08x}{n:08x}");
                    n += 1;
                    let answer = call(proxy, "GET", "/api", &headers(&id, "stock-check", 1000), "", 3000);
                    note(match &answer {
                        Ok(a) => format!("client: {id} is answered {}", a.status()),
                        Err(why) => format!("client: {id}: {why}"),
                    });
                    sleep(15);
                }
            })
        })
        .collect();
    sleep(2_000);
    note("s-1 begins to drain");
    let drain = Instant::now();
    let wait_for = |after: u64| std::thread::sleep(Duration::from_millis(after).saturating_sub(drain.elapsed()));
    wait_for(FIRST_HEARS);
    *first.held.lock().unwrap() = Held { revision: 42, members: after.clone() };
    // Without the trouble the second agent hears of it as early as the first.
    let hears = || *second.held.lock().unwrap() = Held { revision: 42, members: after.clone() };
    if !run.trouble {
        hears();
    }
    wait_for(NEW_CONFIGURATION);
    run.file("proxy.json", &text(&second));
    *first.closed.lock().unwrap() = Some(Instant::now() + ms(1_500));
    note("a new configuration names the second agent: SIGHUP");
    signal(pid, SIGHUP);
    wait_for(SECOND_HEARS);
    if run.trouble {
        hears();
    }
    for client in clients {
        let _ = client.join();
    }
    run.note_log("n0", &["reloaded", "list", "rejected"]);
    let Some(told) = first.told.lock().unwrap().get(&42).copied() else { run.give_up("the drain was not told") };
    let late: Vec<Arrived> = arrived.lock().unwrap().iter().filter(|a| a.upstream == "s-1" && a.at > told + GRACE).cloned().collect();
    let served = arrived.lock().unwrap().len();
    if served < 200 {
        run.give_up(&format!("only {served} requests were run"));
    }
    for request in late.iter().take(20) {
        note(format!("BREAK: s-1 got {} {:.3} s after the balancer was told that it drains", request.id, request.at - told));
    }
    let ends = late.last().map_or(0.0, |a| a.at - told);
    run.finish(!late.is_empty(), &format!("{} requests at s-1 more than 1.05 s after its drain was told, the last after {ends:.2} s", late.len()));
}
