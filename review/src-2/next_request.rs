//! A client uploads slowly, in pieces, and is refused early. The piece with the end of that body carries the beginning of its
//! next request too. Is the next request answered?

#[path = "lab.rs"]
mod lab;

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use lab::*;

const UPSTREAMS: usize = 6;
const CLIENTS: usize = 4;
const ROUNDS: usize = 3;
/// The pace of a slow body: 64 kB/s.
const PIECE_BYTES: usize = 4096;
const PIECE_EVERY_MS: u64 = 64;
const UPLOAD_BYTES: usize = 96 << 10;
const NEXT_BYTES: usize = 48 << 10;
/// The work of an ordinary request, and of a heavy one: 12 times as much.
const WORK_MS: u64 = 170;
const HEAVY_MS: u64 = 12 * WORK_MS;
/// What the client waits for its answer, as half to three fifths of the class's deadline.
const DEADLINE_MS: u64 = 3000;
const LATE_MS: u64 = 500;
const SLACK_MS: u64 = 50;

/// Writes in pieces at the pace of a slow client.
fn write_slowly(client: &mut Client, bytes: &[u8]) -> io::Result<()> {
    for piece in bytes.chunks(PIECE_BYTES) {
        pause(PIECE_EVERY_MS);
        client.send(piece)?;
    }
    Ok(())
}

/// What became of the second request of a connection.
enum End {
    Answered,
    NoAnswer(String),
    /// The first request was not refused early, so that nothing is tested.
    NoTest(String),
}

fn one(to: SocketAddr, name: &str) -> io::Result<End> {
    let mut client = Client::connect(to)?;
    let first = post_request(&format!("full-{name}"), "delivery-book", DEADLINE_MS, &"a".repeat(UPLOAD_BYTES));
    let next = post_request(&format!("heavy-{name}"), "delivery-book", DEADLINE_MS, &"b".repeat(NEXT_BYTES));
    let (first, next) = (first.as_bytes(), next.as_bytes());
    // All but the last piece of the first request.
    let last = first.len() - PIECE_BYTES / 2;
    write_slowly(&mut client, &first[..last])?;
    let refused = match client.answer(ms(DEADLINE_MS)) {
        Ok(answer) => answer,
        Err(cause) => return Ok(End::NoTest(format!("the first request: {cause}"))),
    };
    record(&format!("client: full-{name} was answered {} before its last piece", refused.status));
    if refused.closes || refused.status != 503 {
        return Ok(End::NoTest(format!("the first request: {refused:?}")));
    }
    // The client has the answer to its first request, and has one request at a time on its way.
    let cut = next.len() - NEXT_BYTES + PIECE_BYTES / 2;
    pause(PIECE_EVERY_MS);
    if trouble() {
        let mut piece = first[last..].to_vec();
        piece.extend_from_slice(&next[..cut]);
        client.send(&piece)?;
    } else {
        client.send(&first[last..])?;
        pause(PIECE_EVERY_MS);
        client.send(&next[..cut])?;
    }
    if let Err(cause) = write_slowly(&mut client, &next[cut..]) {
        return Ok(End::NoAnswer(format!("the connection ended under its body: {cause}")));
    }
    record(&format!("client: heavy-{name}: last byte written"));
    let sent = Instant::now();
    let answer = client.answer(ms(DEADLINE_MS + LATE_MS + SLACK_MS));
    let after = sent.elapsed().as_millis();
    Ok(match answer {
        Ok(answer) => {
            record(&format!("client: heavy-{name}: {} after {after} ms", answer.status));
            End::Answered
        }
        Err(cause) => End::NoAnswer(format!("{cause:?} {after} ms after its last byte")),
    })
}

fn main() {
    open_record();
    let mut entries = Vec::new();
    for n in 0..UPSTREAMS {
        let turned_away = |head: &Head| {
            let id = head.get("x-request-id").unwrap_or_default();
            id.starts_with("full-").then(|| "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned())
        };
        let upstream = Upstream::start_with(&format!("s-{n}"), turned_away, |received, stream| {
            pause(if received.id().starts_with("heavy-") { HEAVY_MS } else { WORK_MS });
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
        sockets: 384,
        tmpdir: temp().join("n0"),
    });
    proxy.wait_ready();
    // The other requests of the class.
    let (stop, others) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let background: Vec<_> = (0..4)
        .map(|c| {
            let (stop, others, to) = (stop.clone(), others.clone(), proxy.listen);
            std::thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let request = post_request(&format!("other-{c}-{n:04}"), "delivery-book", DEADLINE_MS, "one lorry");
                    let answer = Client::connect(to).and_then(|mut client| {
                        client.send(request.as_bytes())?;
                        client.answer(ms(DEADLINE_MS + LATE_MS))
                    });
                    if answer.is_ok_and(|a| a.status == 200) {
                        others.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    pause(2000);
    let ends = Arc::new(Mutex::new(Vec::new()));
    for round in 0..ROUNDS {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (to, ends) = (proxy.listen, ends.clone());
                std::thread::spawn(move || {
                    let name = format!("{round}-{n}");
                    let end = one(to, &name).unwrap_or_else(|cause| End::NoTest(format!("{cause}")));
                    ends.lock().expect("not poisoned").push((name, end));
                })
            })
            .collect();
        clients.into_iter().for_each(|t| drop(t.join()));
    }
    pause(1000);
    stop.store(true, Ordering::SeqCst);
    background.into_iter().for_each(|t| drop(t.join()));
    proxy.record_log();
    if proxy.ended() {
        finish(BROKEN, "broken: the balancer ended");
    }
    let (mut answered, mut lost, mut untested) = (0, Vec::new(), 0);
    for (name, end) in ends.lock().expect("not poisoned").iter() {
        match end {
            End::Answered => answered += 1,
            End::NoAnswer(how) => {
                record(&format!("client: heavy-{name}: no answer: {how}"));
                lost.push(format!("heavy-{name}: {how}"));
            }
            End::NoTest(why) => {
                record(&format!("client: {name}: not tested: {why}"));
                untested += 1;
            }
        }
    }
    let others = others.load(Ordering::SeqCst);
    say(&format!("{answered} next requests were answered, {} were not, {untested} not tested; {others} other requests were served", lost.len()));
    if answered + lost.len() < CLIENTS {
        cannot_run("too few connections came to a next request");
    }
    match lost.first() {
        None => finish(HELD, "held: each next request was answered"),
        Some(first) => finish(BROKEN, &format!("broken: {} requests were read and their connections closed unanswered; {first}", lost.len())),
    }
}
