//! An upstream sends some of its answers a second time, some milliseconds late: does each client get the answer to its own
//! request?

#[path = "lab.rs"]
mod lab;

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use lab::*;

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 12;
const LENGTH_S: u64 = 20;
/// One answer in so many comes twice.
const ONE_IN: usize = 97;
const LATE_MS: u64 = 4;
/// One request in so many is turned away: the queue is full.
const FULL_ONE_IN: usize = 19;
const AWAY_MS: u64 = 10;
const WORK_MS: u64 = 40;

fn main() {
    open_record();
    let twice = Arc::new(AtomicUsize::new(0));
    // How often each request was worked on.
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    let mut entries = Vec::new();
    for n in 0..UPSTREAMS {
        let (name, twice, runs) = (format!("s-{n}"), twice.clone(), runs.clone());
        let upstream = Upstream::start(&name.clone(), move |received, stream| {
            let answer = if received.number % FULL_ONE_IN == FULL_ONE_IN - 1 {
                pause(AWAY_MS);
                record(&format!("{name}: turned away {}", received.id()));
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else {
                pause(WORK_MS);
                *runs.lock().expect("not poisoned").entry(received.id().to_owned()).or_insert(0) += 1;
                ok(&format!("made for {}", received.id()))
            };
            stream.write_all(answer.as_bytes())?;
            if trouble() && received.number % ONE_IN == ONE_IN - 1 {
                pause(LATE_MS);
                record(&format!("{name}: second answer to {} on connection {}", received.id(), received.connection));
                twice.fetch_add(1, Ordering::SeqCst);
                stream.write_all(answer.as_bytes())?;
            }
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
        sockets: 384,
        tmpdir: temp().join("n0"),
    });
    proxy.wait_ready();
    let foreign = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(AtomicUsize::new(0));
    let until = Instant::now() + ms(LENGTH_S * 1000);
    let threads: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (foreign, served, to) = (foreign.clone(), served.clone(), proxy.listen);
            std::thread::spawn(move || {
                let mut client = None;
                let mut n = 0;
                while Instant::now() < until {
                    n += 1;
                    let id = format!("c{c:02}-{n:05}");
                    let request = post_request(&id, "place-order", 3500, "one order");
                    let mut connection = match client.take() {
                        Some(connection) => connection,
                        None => match Client::connect(to) {
                            Ok(connection) => connection,
                            Err(_) => continue,
                        },
                    };
                    if connection.send(request.as_bytes()).is_err() {
                        continue;
                    }
                    match connection.answer(ms(4100)) {
                        Ok(answer) => {
                            if answer.status == 200 {
                                served.fetch_add(1, Ordering::SeqCst);
                                if answer.body != format!("made for {id}") {
                                    record(&format!("client: {id} was answered 200 with: {}", answer.body));
                                    foreign.lock().expect("not poisoned").push((id, answer.body.clone()));
                                }
                            } else {
                                record(&format!("client: {id} was answered {}", answer.status));
                            }
                            if !answer.closes {
                                client = Some(connection);
                            }
                        }
                        Err(cause) => record(&format!("client: {id}: {cause}")),
                    }
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|t| drop(t.join()));
    proxy.record_log();
    if proxy.ended() {
        finish(BROKEN, "broken: the balancer ended");
    }
    let served = served.load(Ordering::SeqCst);
    let foreign = foreign.lock().expect("not poisoned");
    let twice = twice.load(Ordering::SeqCst);
    say(&format!("{served} requests were answered 200; {twice} answers were sent twice, {LATE_MS} ms late"));
    if served < 500 {
        cannot_run("too few requests were served");
    }
    let runs = runs.lock().expect("not poisoned");
    let again: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    for (id, n) in &again {
        record(&format!("{id} was worked on {n} times"));
    }
    say(&format!("{} clients got an answer to another request; {} requests ran twice", foreign.len(), again.len()));
    match (again.first(), foreign.first()) {
        (Some((id, _)), _) => finish(BROKEN, &format!("broken: {id}, an order that must never run twice, ran twice")),
        (None, Some((id, body))) => finish(BROKEN, &format!("broken: {id} got the answer {body:?}")),
        (None, None) => finish(HELD, "held: each client got the answer to its own request, and no request ran twice"),
    }
}
