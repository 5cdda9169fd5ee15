//! An upstream sends the answer to one request twice, some milliseconds apart. Nobody else may get the second.

mod rig;

use rig::{free_addresses, json_number, member_toml, operate, proxy_json, request, wait_until};
use rig::{Connection, Rig, Upstream, Verdict};
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
const CLIENTS: usize = 8;
const LENGTH: Duration = Duration::from_secs(6);

fn main() {
    rig::main(case);
}

fn case(rig: &mut Rig) -> Verdict {
    let record = rig.record.clone();
    let trouble = rig.trouble;
    let upstreams: Vec<Upstream> = (1..=3)
        .map(|i| {
            let (log, name) = (record.clone(), format!("s-{i}"));
            Upstream::start(&format!("s-{i}"), &record, move |seen, stream| {
                thread::sleep(WORK);
                let _ = stream.write_all(&rig::ok(&seen.id));
                if trouble && seen.number == TWICE {
                    thread::sleep(LATE);
                    let _ = stream.write_all(&rig::ok(&seen.id));
                    log.line(format!("{name} sent the answer to {} a second time", seen.id));
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
                    record.line(format!("client {c}: {id} was answered {} {text:?}", answer.status()));
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
    let foreign = foreign.lock().unwrap().clone();
    Ok((!foreign.is_empty()).then(|| {
        let (n, first) = (foreign.len(), &foreign[..foreign.len().min(4)]);
        format!("{n} of {served} answers were another request's; the first: {first:?}")
    }))
}
