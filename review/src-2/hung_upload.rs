//! An upstream hangs in the middle of a body that its client has written whole: when does the client get its answer?

mod harness;
use harness::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The body, and what its client waits for the answer, in ms.
const BODY: usize = 1_000_000;
const DEADLINE: u64 = 480;
/// The work of a request at its upstream, in ms.
const WORK: u64 = 20;
/// Half a second after its time a request is lost (STANDING); sockets extend each limit by 50 ms (PROTOCOL).
const LOST_AFTER: Duration = Duration::from_millis(DEADLINE + 500 + 50);

/// An upstream that reads each request whole and answers it; once `hangs` is set, it reads 100 kB of the next one and then
/// does nothing more.
fn hanging(name: &'static str, hangs: Arc<AtomicBool>, served: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an upstream's port");
    let at = listener.local_addr().expect("an address");
    serve(listener, move |mut stream| {
        loop {
            let (mut read, mut piece, mut whole) = (0, [0; 16384], Vec::new());
            // The head and the beginning of the body first.
            while read < 100_000 {
                match stream.read(&mut piece) {
                    Ok(n @ 1..) => {
                        read += n;
                        whole.extend_from_slice(&piece[..n]);
                    }
                    _ => return,
                }
            }
            if hangs.load(Ordering::Relaxed) {
                note(format!("{name} hangs after {read} bytes of a request"));
                sleep(20_000);
                return;
            }
            let text = String::from_utf8_lossy(&whole).into_owned();
            let end = text.find("\r\n\r\n").map_or(0, |at| at + 4);
            let header = |key: &str| {
                let line = text[..end].lines().find(|line| line.to_lowercase().starts_with(key));
                line.and_then(|line| line.split_once(':')).map(|(_, v)| v.trim().to_owned()).unwrap_or_default()
            };
            let size = end + header("content-length").parse::<usize>().unwrap_or(0);
            while read < size {
                match stream.read(&mut piece) {
                    Ok(n @ 1..) => read += n,
                    _ => return,
                }
            }
            let id = header("x-request-id");
            note(format!("{name} runs {id}"));
            served.fetch_add(1, Ordering::Relaxed);
            sleep(WORK);
            if stream.write_all(answer(&id).as_bytes()).is_err() {
                return;
            }
        }
    });
    at
}

fn main() {
    let mut run = Run::begin();
    let upstreams: Vec<(&str, Arc<AtomicBool>, Arc<AtomicU64>)> =
        ["s-1", "s-2", "s-3", "s-4"].into_iter().map(|name| (name, Arc::default(), Arc::default())).collect();
    let members: Vec<String> = upstreams
        .iter()
        .map(|(name, hangs, served)| member(name, hanging(name, hangs.clone(), served.clone()), "taipei", "SERVING"))
        .collect();
    let agent = Agent::start("discovery", Held { revision: 41, members: members.clone() }, 0);
    let proxy = free();
    let text = config(proxy, &agent.address.to_string(), "", &list(41, true, &members), "automatic", TRADE_COUNTER);
    // The limits of a day of the site.
    let text = text.replace("\"memory_mb\":192", "\"memory_mb\":48").replace("\"sockets\":1024", "\"sockets\":640");
    let file = run.file("proxy.json", &text);
    run.proxy("n0", &file);
    ready(&mut run, proxy);
    let results: Arc<Mutex<Vec<(String, Option<u16>, Duration)>>> = Arc::default();
    let ask = {
        let results = results.clone();
        move |id: String| {
            let Ok(mut stream) = connect(proxy) else { return };
            let _ = stream.set_read_timeout(Some(ms(6_000)));
            let head = format!(
                "POST /api HTTP/1.1\r\nHost: api.internal\r\n{}Content-Length: {BODY}\r\n\r\n",
                headers(&id, "place-order", DEADLINE)
            );
            let began = Instant::now();
            let body = vec![b'x'; BODY];
            if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_err() {
                note(format!("client: {id} could not be written"));
                return;
            }
            // The request's time is counted from its last byte.
            let (last_byte, took) = (Instant::now(), began.elapsed());
            let answer = Reader::new(&stream).message();
            let after = last_byte.elapsed();
            let status = answer.as_ref().map(Message::status);
            note(format!("client: {id} was written in {} ms, and is answered {status:?} {} ms after its last byte", took.as_millis(), after.as_millis()));
            results.lock().unwrap().push((id, status, after));
        }
    };
    // Eight clients, one request after another each.
    let play = |from: u32, to: u32| {
        let clients: Vec<_> = (0..8)
            .map(|client| {
                let ask = ask.clone();
                std::thread::spawn(move || {
                    for n in from..to {
                        ask(format!("{client:08x}{n:08x}"));
                        sleep(100);
                    }
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
    };
    play(0, 6);
    if run.trouble {
        // Two upstreams of four hang, those that were sent most so far.
        let mut by_use: Vec<_> = upstreams.iter().collect();
        by_use.sort_by_key(|(_, _, served)| std::cmp::Reverse(served.load(Ordering::Relaxed)));
        for (name, hangs, _) in by_use.into_iter().take(2) {
            note(format!("{name} hangs from now on"));
            hangs.store(true, Ordering::Relaxed);
        }
    }
    play(6, 16);
    run.note_log("n0", &["not passed on in time"]);
    let results = results.lock().unwrap().clone();
    let served = results.iter().filter(|(_, status, _)| *status == Some(200)).count();
    let lost: Vec<_> = results.iter().filter(|(_, status, after)| status.is_none() || *after > LOST_AFTER).collect();
    for (id, status, after) in &lost {
        note(format!("LOST: {id}: {status:?}, {} ms after its time", after.as_millis() as i64 - DEADLINE as i64));
    }
    if results.len() < 12 || served < 4 {
        run.give_up(&format!("{} requests, {served} served", results.len()));
    }
    let latest = results.iter().map(|(_, _, after)| after.as_millis() as u64).max().unwrap_or(0).saturating_sub(DEADLINE);
    run.finish(
        !lost.is_empty(),
        &format!("{} of {} requests were answered more than 550 ms after their time, the latest {latest} ms after it", lost.len(), results.len()),
    );
}
