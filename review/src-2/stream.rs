//! A class whose answers are streams: is a stream that has started passed on to its end, also past the client's deadline?

#[path = "lab.rs"]
mod lab;

use std::io::Write;
use std::sync::{Arc, Mutex};

use lab::*;

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 6;
const ROUNDS: usize = 3;
const DEADLINE_MS: u64 = 1000;
/// A piece of a stream, and the time between two of them: well under the 2 s in which a balancer has to pass on what it has.
const PIECE: &str = "the next stock figure of this depot\n";
const PIECES: usize = 12;
const SLOW_EVERY_MS: u64 = 250;
const QUICK_EVERY_MS: u64 = 10;

fn main() {
    open_record();
    let every = if trouble() { SLOW_EVERY_MS } else { QUICK_EVERY_MS };
    let mut entries = Vec::new();
    for n in 0..UPSTREAMS {
        let name = format!("s-{n}");
        let upstream = Upstream::start(&name.clone(), move |received, stream| {
            let begun = since_start();
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            for piece in 0..PIECES {
                if let Err(cause) = stream.write_all(format!("{:x}\r\n{PIECE}\r\n", PIECE.len()).as_bytes()) {
                    record(&format!("{name}: {}: cut off at piece {piece}, after {:.0} ms: {cause}", received.id(), since_start() - begun));
                    return Err(cause);
                }
                pause(every);
            }
            stream.write_all(b"0\r\n\r\n")?;
            record(&format!("{name}: {}: whole after {:.0} ms", received.id(), since_start() - begun));
            Ok(true)
        });
        entries.push(Entry::serving(&upstream.name, upstream.address));
    }
    let agent = Agent::start(41, &entries);
    // The class `stock-check` is one with streams.
    let settings = settings(1, 0, "automatic").replacen("\"Streaming\":false", "\"Streaming\":true", 1);
    let proxy = Proxy::start(&Setup {
        name: "n0",
        listen: free_address(),
        management: free_address(),
        discovery: agent.address,
        known: list_json(41, true, &entries),
        settings,
        memory_mb: 48,
        sockets: 384,
        tmpdir: temp().join("n0"),
    });
    proxy.wait_ready();
    let ends = Arc::new(Mutex::new(Vec::new()));
    for round in 0..ROUNDS {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (to, ends) = (proxy.listen, ends.clone());
                std::thread::spawn(move || {
                    pause(50 * n as u64);
                    let id = format!("r{round}-{n}");
                    let sent = since_start();
                    let answer = Client::connect(to).and_then(|mut client| {
                        client.send(get_request(&id, "stock-check", DEADLINE_MS).as_bytes())?;
                        client.answer(ms(20_000))
                    });
                    let after = since_start() - sent;
                    let end = match answer {
                        Ok(answer) if answer.status == 200 && answer.body == PIECE.repeat(PIECES) => "whole",
                        Ok(answer) if answer.status == 200 => "wrong",
                        Ok(_) => "refused",
                        Err(_) => "cut off",
                    };
                    record(&format!("client: {id}: {end} after {after:.0} ms"));
                    ends.lock().expect("not poisoned").push((id, end));
                })
            })
            .collect();
        clients.into_iter().for_each(|t| drop(t.join()));
    }
    proxy.record_log();
    if proxy.ended() {
        finish(BROKEN, "broken: the balancer ended");
    }
    let ends = ends.lock().expect("not poisoned");
    let count = |what: &str| ends.iter().filter(|(_, end)| *end == what).count();
    say(&format!("{} streams: {} whole, {} refused, {} cut off, {} wrong", ends.len(), count("whole"), count("refused"), count("cut off"), count("wrong")));
    if ends.len() == count("refused") {
        cannot_run("no stream began");
    }
    match ends.iter().find(|(_, end)| ["cut off", "wrong"].contains(end)) {
        None => finish(HELD, "held: each stream that began was passed on to its end"),
        Some((id, _)) => finish(BROKEN, &format!("broken: {} streams were cut off while their upstream went on, {id} first", count("cut off") + count("wrong"))),
    }
}
