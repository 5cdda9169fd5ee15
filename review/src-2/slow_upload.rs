//! An upstream reads large bodies slowly. Does a client that has written its whole request get an answer in its time?

#[path = "lab.rs"]
mod lab;

use std::io::{self, BufReader, Read, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use lab::*;

const UPSTREAMS: usize = 3;
const CLIENTS: usize = 3;
const ROUNDS: usize = 2;
const BODY_BYTES: usize = 1 << 20;
/// The pace of a slow reader: 64 kB/s.
const PIECE_BYTES: usize = 4096;
const PIECE_EVERY_MS: u64 = 64;
/// What the client waits for its answer, as half of the class's deadline; an answer up to half a second later earns nothing.
const DEADLINE_MS: u64 = 3000;
const LATE_MS: u64 = 500;
const SLACK_MS: u64 = 50;
/// How long the test goes on to look for an answer that is too late.
const LOOK_MS: u64 = 17_000;

fn main() {
    open_record();
    let mut entries = Vec::new();
    for n in 0..UPSTREAMS {
        let name = format!("s-{n}");
        let upstream = Upstream::start_raw(&name.clone(), move |_, stream| {
            stream.set_nodelay(true)?;
            let mut reader = BufReader::with_capacity(PIECE_BYTES, stream.try_clone()?);
            let mut stream = stream;
            while let Some(head) = read_head(&mut reader)? {
                let id = head.get("x-request-id").unwrap_or("?").to_owned();
                let begun = since_start();
                let mut left: usize = head.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
                let mut piece = [0; PIECE_BYTES];
                while left > 0 {
                    let size = left.min(PIECE_BYTES);
                    if let Err(cause) = reader.read_exact(&mut piece[..size]) {
                        record(&format!("{name}: {id}: its body ended with {left} bytes missing: {cause}"));
                        return Err(cause);
                    }
                    left -= size;
                    if trouble() {
                        pause(PIECE_EVERY_MS);
                    }
                }
                record(&format!("{name}: {id}: body whole {:.0} ms after the head", since_start() - begun));
                pause(100);
                stream.write_all(ok(&format!("made for {id}")).as_bytes())?;
            }
            Ok(())
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
    let ends = Arc::new(Mutex::new(Vec::new()));
    for round in 0..ROUNDS {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (to, ends) = (proxy.listen, ends.clone());
                std::thread::spawn(move || {
                    let id = format!("u{round}-{n}");
                    let request = post_request(&id, "place-order", DEADLINE_MS, &"x".repeat(BODY_BYTES));
                    let asked = (|| -> io::Result<(f64, Client)> {
                        let mut client = Client::connect(to)?;
                        let begun = since_start();
                        client.send(request.as_bytes())?;
                        record(&format!("client: {id}: last byte written {:.0} ms after the first", since_start() - begun));
                        Ok((since_start(), client))
                    })();
                    let (sent, mut client) = match asked {
                        Ok(asked) => asked,
                        Err(cause) => {
                            record(&format!("client: {id}: not written whole: {cause}"));
                            return;
                        }
                    };
                    let wait = Instant::now();
                    let answer = client.answer(ms(LOOK_MS));
                    let after = since_start() - sent;
                    record(&format!("client: {id}: {:?} after {after:.0} ms", answer.as_ref().map(|a| a.status)));
                    let in_time = wait.elapsed() <= ms(DEADLINE_MS + LATE_MS + SLACK_MS);
                    ends.lock().expect("not poisoned").push((id, answer.is_ok() && in_time, after));
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
    let lost: Vec<_> = ends.iter().filter(|(_, in_time, _)| !in_time).collect();
    say(&format!("{} requests were written whole; {} were answered in time or refused", ends.len(), ends.len() - lost.len()));
    if ends.is_empty() {
        cannot_run("no request was written whole");
    }
    match lost.first() {
        None => finish(HELD, "held: each request that was written whole had an answer in its time"),
        Some((id, _, after)) => finish(BROKEN, &format!("broken: {} requests had no answer {LATE_MS} ms after their time, {id} first: {after:.0} ms", lost.len())),
    }
}
