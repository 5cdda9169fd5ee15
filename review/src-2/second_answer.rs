//! A second answer comes 5 ms after the first: whose answer do clients get, and how often does an order run?

mod harness;
use harness::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicU64, Ordering};

/// One answer in the whole run is spoilt, that of s-1 to its tenth request: it is sent a second time, so many ms after the
/// first.
const SPOILT: u64 = 10;
const LATER: u64 = 5;
/// One request in so many finds the upstream full, waits 10 ms for a place, and is turned away unseen.
const TURNED_AWAY: u64 = 25;
const PLACE: u64 = 10;

/// Which upstreams have run each request.
type Runs = Arc<Mutex<BTreeMap<String, Vec<&'static str>>>>;

/// An upstream that serves each request in 30 ms, with an answer that names it.
fn spoilt(name: &'static str, trouble: bool, runs: &Runs) -> SocketAddr {
    let runs = runs.clone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("an upstream's port");
    let at = listener.local_addr().expect("an address");
    let count = AtomicU64::new(0);
    serve(listener, move |mut stream| {
        let mut reader = Reader::new(&stream);
        while let Some(request) = reader.message() {
            let id = request.header("x-request-id").to_owned();
            let n = count.fetch_add(1, Ordering::Relaxed) + 1;
            let reply = if n % TURNED_AWAY == 0 {
                sleep(PLACE);
                note(format!("{name} turns {id} away: X-Not-Run"));
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else {
                note(format!("{name} runs {id}"));
                runs.lock().unwrap().entry(id.clone()).or_default().push(name);
                sleep(30);
                answer(&id)
            };
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
            if trouble && name == "s-1" && n == SPOILT {
                sleep(LATER);
                note(format!("{name} sends the answer to {id} a second time"));
                if stream.write_all(reply.as_bytes()).is_err() {
                    return;
                }
            }
        }
    });
    at
}

fn main() {
    let mut run = Run::begin();
    let runs = Runs::default();
    let members: Vec<String> = ["s-1", "s-2", "s-3"]
        .into_iter()
        .map(|name| member(name, spoilt(name, run.trouble, &runs), "taipei", "SERVING"))
        .collect();
    let agent = Agent::start("discovery", Held { revision: 41, members: members.clone() }, 0);
    let proxy = free();
    let text = config(proxy, &agent.address.to_string(), "", &list(41, true, &members), "automatic", TRADE_COUNTER);
    let file = run.file("proxy.json", &text);
    run.proxy("n0", &file);
    ready(&mut run, proxy);
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..3)
        .map(|client| {
            let (foreign, served) = (foreign.clone(), served.clone());
            std::thread::spawn(move || {
                let mut connection = None;
                for n in 0..150 {
                    let id = format!("{client:08x}{n:08x}");
                    // A client keeps its connection, and sends one request at a time.
                    let (stream, reader) = connection.get_or_insert_with(|| {
                        let stream = connect(proxy).expect("the proxy accepts");
                        let reader = Reader::new(&stream);
                        (stream, reader)
                    });
                    let text = match n % 3 {
                        0 => format!("GET /api HTTP/1.1\r\nHost: api.internal\r\n{}\r\n", headers(&id, "stock-check", 1000)),
                        _ => format!(
                            "POST /api HTTP/1.1\r\nHost: api.internal\r\n{}Content-Length: 5\r\n\r\norder",
                            headers(&id, "place-order", 3000)
                        ),
                    };
                    let answer = match stream.write_all(text.as_bytes()) {
                        Ok(()) => reader.message(),
                        Err(_) => None,
                    };
                    let Some(answer) = answer else {
                        note(format!("client: {id} has no whole answer"));
                        connection = None;
                        continue;
                    };
                    note(format!("client: {id} is answered {} {}", answer.status(), answer.text()));
                    if answer.status() == 200 {
                        served.fetch_add(1, Ordering::Relaxed);
                        if answer.text() != id {
                            let what = format!("{id} got the answer of {}", answer.text());
                            note(format!("FOREIGN: {what}"));
                            foreign.lock().unwrap().push(what);
                        }
                    }
                    if answer.header("connection").eq_ignore_ascii_case("close") {
                        connection = None;
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    run.note_log("n0", &["without a request in flight"]);
    let (foreign, served) = (foreign.lock().unwrap().clone(), served.load(Ordering::Relaxed));
    if served < 200 {
        run.give_up(&format!("only {served} requests were served"));
    }
    // The classes of the orders: all but each third request.
    let is_order = |id: &str| u32::from_str_radix(&id[8..], 16).is_ok_and(|n| n % 3 != 0);
    let twice: Vec<_> = runs.lock().unwrap().clone().into_iter().filter(|(id, by)| is_order(id) && by.len() > 1).collect();
    for (id, by) in &twice {
        note(format!("TWICE: the order {id} ran at {by:?}"));
    }
    run.finish(
        !foreign.is_empty() || !twice.is_empty(),
        &format!("{} of {served} served requests got a foreign answer, {} orders ran twice", foreign.len(), twice.len()),
    );
}
