//! An upstream sends the answer to one request twice, some milliseconds apart. Nobody else may get the second, and no order
//! may run twice for it.

mod rig;

use rig::{free_addresses, json_number, member_toml, operate, proxy_json, request, wait_until};
use rig::{Connection, Rig, Upstream, Verdict};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time of an upstream's work for a request.
const WORK: Duration = Duration::from_millis(15);
/// How much later the second answer comes.
const LATE: Duration = Duration::from_millis(5);
/// Which request of each upstream is answered twice.
const TWICE: u64 = 60;
/// Time that an upstream takes to turn a request away.
const TURN_AWAY: Duration = Duration::from_millis(5);
/// How many requests later on that connection the upstream has no room for one.
const FULL_AFTER: u64 = 3;
const CLIENTS: usize = 8;
const LENGTH: Duration = Duration::from_secs(6);

thread_local! {
    static SINCE: Cell<Option<u64>> = const { Cell::new(None) };
}

fn main() {
    rig::main(case);
}

fn case(rig: &mut Rig) -> Verdict {
    let record = rig.record.clone();
    let trouble = rig.trouble;
    let ran: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let upstreams: Vec<Upstream> = (1..=3)
        .map(|i| {
            // s-1 and s-2 have no room for one request later on, with and without the second answers.
            let full = i < 3;
            let (log, name, ran) = (record.clone(), format!("s-{i}"), ran.clone());
            Upstream::start(&format!("s-{i}"), &record, move |seen, stream| {
                // Of this connection: how many requests ago an answer was given twice.
                let since = SINCE.with(|s| s.replace(s.get().map(|n| n + 1)));
                if full && since == Some(FULL_AFTER) {
                    thread::sleep(TURN_AWAY);
                    log.line(format!("{name} is full: turned away {}", seen.id));
                    let full = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
                    let _ = stream.write_all(full.as_bytes());
                    return;
                }
                ran.lock().unwrap().push((name.clone(), seen.id.clone()));
                log.line(format!("{name} runs {}", seen.id));
                thread::sleep(WORK);
                let _ = stream.write_all(&rig::ok(&seen.id));
                if seen.number == TWICE {
                    SINCE.with(|s| s.set(Some(0)));
                    if trouble {
                        thread::sleep(LATE);
                        let _ = stream.write_all(&rig::ok(&seen.id));
                        log.line(format!("{name} sent the answer to {} a second time", seen.id));
                    }
                }
            })
        })
        .collect();
    let at = free_addresses(4);
    let mut list = format!("listen = \"{}\"\nmanagement = \"{}\"\n", at[0], at[1]);
    for (i, upstream) in upstreams.iter().enumerate() {
        list += &member_toml(&format!("s-{}", i + 1), upstream.address);
    }
    let list = rig.write("list.toml", &list);
    rig.start("list", &format!("discovery --config {}", list.display()), &[]);
    let config = rig.write("proxy.json", &proxy_json("n1", at[2], at[3], &at[..1]));
    rig.start("n1", "", &[("LB_CONFIG", &config)]);
    let health = || operate(at[3], "GET", "/admin/health", "").0 == 200;
    if !wait_until(Duration::from_secs(10), health) {
        return Err("the proxy did not become ready".into());
    }
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(Mutex::new(0_u64));
    let until = Instant::now() + LENGTH;
    let front = at[2];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (record, foreign, served) = (record.clone(), foreign.clone(), served.clone());
            thread::spawn(move || {
                let mut connection = None;
                let mut n = 0;
                while Instant::now() < until {
                    n += 1;
                    let id = format!("c{c}-{n}");
                    let mut open = match connection.take() {
                        Some(open) => open,
                        None => match Connection::open(front, Duration::from_secs(4)) {
                            Ok(open) => open,
                            Err(_) => continue,
                        },
                    };
                    if open.stream.write_all(&request(&id, "place-order", 3000)).is_err() {
                        continue;
                    }
                    let Ok(Some(answer)) = open.message() else { continue };
                    let text = answer.text();
                    record.line(format!(
                        "client {c}: {id} was answered {} {text:?}",
                        answer.status()
                    ));
                    if answer.status() == 200 {
                        *served.lock().unwrap() += 1;
                        if text != format!("answer to {id}") {
                            foreign.lock().unwrap().push(format!("{id} got {text:?}"));
                        }
                    } else {
                        // Refused or failed: the client waits a little, as clients do.
                        thread::sleep(Duration::from_millis(25));
                    }
                    if answer.header("connection") != "close" {
                        connection = Some(open);
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let stats = operate(at[3], "GET", "/admin/stats", "").1;
    record.line(format!("figures of n1: {stats}"));
    let served = *served.lock().unwrap();
    record.line(format!("{served} served, {:?} attempts", json_number(&stats, "tries")));
    if served < 500 || upstreams.iter().any(|u| u.seen.lock().unwrap().len() < TWICE as usize) {
        return Err(format!("too little traffic: {served} served"));
    }
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (upstream, id) in ran.lock().unwrap().iter() {
        runs.entry(id.clone()).or_default().push(upstream.clone());
    }
    let twice: Vec<_> = runs.into_iter().filter(|(_, at)| at.len() > 1).collect();
    record.line(format!("orders that ran more than once: {twice:?}"));
    let foreign = foreign.lock().unwrap();
    record.line(format!("answers of another request: {}: {foreign:?}", foreign.len()));
    Ok((!twice.is_empty() || !foreign.is_empty()).then(|| {
        let (n, first) = (foreign.len(), &foreign[..foreign.len().min(3)]);
        format!("orders that ran twice: {twice:?}; {n} of {served} answers were another request's, such as {first:?}")
    }))
}
