//! Idle clients fill the descriptors. Does a client with a request get its answer, or its connection shut?

#[path = "lab.rs"]
mod lab;

use std::io::{ErrorKind, Write};
use std::sync::{Arc, Mutex};

use lab::*;

const UPSTREAMS: usize = 3;
const SOCKETS: u32 = 256;
const ROUNDS: usize = 6;
/// Idle clients of a round: as many as the balancer may hold descriptors.
const IDLE: usize = SOCKETS as usize;
/// So many of them had a request answered before they rest.
const RESTING: usize = 128;
const ASKING: usize = 8;
const DEADLINE_MS: u64 = 1000;
/// An answer up to half a second after its time earns nothing; and the slack on sockets.
const LATE_MS: u64 = 500;
const SLACK_MS: u64 = 50;

fn main() {
    open_record();
    let mut entries = Vec::new();
    for n in 0..UPSTREAMS {
        let upstream = Upstream::start(&format!("s-{n}"), move |received, stream| {
            pause(10);
            stream.write_all(ok(&format!("made for {}", received.id())).as_bytes())?;
            Ok(true)
        });
        entries.push(Entry::serving(&upstream.name, upstream.address));
    }
    let agent = Agent::start(41, &entries);
    let proxy = Proxy::start(&Setup {
        name: "n0",
        listen: free_address(),
        management: free_address(),
        discovery: agent.address,
        known: list_json(41, true, &entries),
        settings: settings(1, 0, "automatic"),
        memory_mb: 48,
        sockets: SOCKETS,
        tmpdir: temp().join("n0"),
    });
    proxy.wait_ready();
    let (mut answered, mut shut) = (0, 0);
    let lost = Arc::new(Mutex::new(Vec::new()));
    for round in 0..ROUNDS {
        let mut idle = Vec::new();
        if trouble() {
            let rested: Vec<_> = (0..RESTING)
                .map(|n| {
                    let to = proxy.listen;
                    std::thread::spawn(move || {
                        let id = format!("rest-{round}-{n:03}");
                        let asked = Client::connect(to).and_then(|mut client| {
                            client.send(get_request(&id, "stock-check", 1000).as_bytes())?;
                            Ok((client.answer(ms(1500))?, client))
                        });
                        match asked {
                            Ok((answer, client)) => (!answer.closes).then_some(client),
                            Err(cause) => {
                                record(&format!("idle client: {id}: {cause}"));
                                None
                            }
                        }
                    })
                })
                .collect();
            idle.extend(rested.into_iter().filter_map(|t| t.join().ok().flatten()));
            record(&format!("{} idle clients rest after a request", idle.len()));
            while idle.len() < IDLE {
                match Client::connect(proxy.listen) {
                    Ok(client) => idle.push(client),
                    Err(cause) => cannot_run(&format!("connect: {cause}")),
                }
            }
            record(&format!("{} idle clients are connected", idle.len()));
        }
        let threads: Vec<_> = (0..ASKING)
            .map(|n| {
                let (to, lost) = (proxy.listen, lost.clone());
                std::thread::spawn(move || {
                    let id = format!("ask-{round}-{n}");
                    let client = Client::connect(to).and_then(|mut client| {
                        client.send(get_request(&id, "stock-check", DEADLINE_MS).as_bytes())?;
                        Ok(client)
                    });
                    let sent = since_start();
                    let mut client = match client {
                        Ok(client) => client,
                        Err(cause) => {
                            record(&format!("client: {id}: turned back: {cause}"));
                            return (0, 1);
                        }
                    };
                    let answer = client.answer(ms(DEADLINE_MS + LATE_MS + SLACK_MS));
                    let after = since_start() - sent;
                    match answer {
                        Ok(answer) => {
                            record(&format!("client: {id}: {} after {after:.0} ms", answer.status));
                            (1, 0)
                        }
                        Err(cause) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&cause.kind()) => {
                            record(&format!("client: {id}: nothing after {after:.0} ms"));
                            lost.lock().expect("not poisoned").push(id.clone());
                            // What comes later is recorded alone.
                            let later = client.answer(ms(4000)).map(|a| a.status);
                            record(&format!("client: {id}: then {later:?} after {:.0} ms", since_start() - sent));
                            (0, 0)
                        }
                        Err(cause) => {
                            record(&format!("client: {id}: shut after {after:.0} ms: {cause}"));
                            (0, 1)
                        }
                    }
                })
            })
            .collect();
        for thread in threads {
            let (a, s) = thread.join().unwrap_or_default();
            (answered, shut) = (answered + a, shut + s);
        }
        drop(idle);
        pause(1000);
    }
    proxy.record_log();
    if proxy.ended() {
        finish(BROKEN, "broken: the balancer ended");
    }
    let lost = lost.lock().expect("not poisoned");
    say(&format!("{} requests: {answered} answered in time, {shut} connections shut, {} neither", ROUNDS * ASKING, lost.len()));
    match lost.first() {
        None => finish(HELD, "held: each request was answered, or its connection shut"),
        Some(id) => finish(
            BROKEN,
            &format!("broken: {} requests had no answer {LATE_MS} ms after their time, {id} first", lost.len()),
        ),
    }
}
