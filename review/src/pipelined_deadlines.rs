//! A client sends several requests at once on one connection. Each has its own time, from its own last byte.

mod rig;

use rig::{free_addresses, member_toml, operate, proxy_json, request, wait_until};
use rig::{Connection, Rig, Upstream, Verdict};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// An upstream's work for a request: within the aim of `stock-check`, 400 ms.
const WORK: Duration = Duration::from_millis(300);
/// What the client allows each of its requests: half of the class's give-up time.
const DEADLINE_MS: u64 = 1000;
const REQUESTS: usize = 8;
/// An answer later than this after the request's time is lost (STANDING).
const LOST_AFTER: Duration = Duration::from_millis(500);
/// How much more than the client's remaining time an attempt may tell its upstream (STANDING), and the 50 ms by which
/// every time limit is extended (PROTOCOL).
const TOLD_SLACK_MS: u64 = 150 + 50;

fn main() {
    rig::main(case);
}

fn case(rig: &mut Rig) -> Verdict {
    let record = rig.record.clone();
    let upstreams: Vec<Upstream> = (1..=4)
        .map(|i| {
            Upstream::start(&format!("s-{i}"), &record, |seen, stream| {
                thread::sleep(WORK);
                let _ = stream.write_all(&rig::ok(&seen.id));
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
    let ids: Vec<String> = (1..=REQUESTS).map(|n| format!("p-{n}")).collect();
    let open = || Connection::open(at[2], Duration::from_secs(20)).map_err(|e| e.to_string());
    let (sent, answers): (Instant, Vec<(Duration, u16, String)>) = if rig.trouble {
        let mut client = open()?;
        let all: Vec<u8> =
            ids.iter().flat_map(|id| request(id, "stock-check", DEADLINE_MS)).collect();
        let sent = Instant::now();
        client.stream.write_all(&all).map_err(|e| e.to_string())?;
        record.line(format!(
            "sent {REQUESTS} requests at once on one connection, {DEADLINE_MS} ms each"
        ));
        let mut answers = Vec::new();
        for id in &ids {
            let answer = client.message().ok().flatten();
            let Some(answer) = answer else {
                record.line(format!("{id}: the connection ended without an answer"));
                // A connection closed before a request is read is sent again by the client.
                break;
            };
            answers.push((sent.elapsed(), answer.status(), answer.text()));
        }
        (sent, answers)
    } else {
        let clients = ids.iter().map(|_| open()).collect::<Result<Vec<_>, _>>()?;
        let sent = Instant::now();
        let threads: Vec<_> = ids
            .iter()
            .cloned()
            .zip(clients)
            .map(|(id, mut client)| {
                thread::spawn(move || {
                    let _ = client.stream.write_all(&request(&id, "stock-check", DEADLINE_MS));
                    let answer = client.message().ok().flatten().unwrap_or_default();
                    (sent.elapsed(), answer.status(), answer.text())
                })
            })
            .collect();
        record.line(format!("sent {REQUESTS} requests at once, each on a connection of its own"));
        (sent, threads.into_iter().map(|t| t.join().expect("a client")).collect())
    };
    let limit = Duration::from_millis(DEADLINE_MS) + LOST_AFTER;
    let mut broken = Vec::new();
    for (id, (after, status, text)) in ids.iter().zip(&answers) {
        record.line(format!("{id} was answered {status} {text:?} after {} ms", after.as_millis()));
        if *after > limit + Duration::from_millis(50) {
            broken.push(format!("{id} was answered after {} ms", after.as_millis()));
        }
    }
    for seen in upstreams.iter().flat_map(|u| u.seen.lock().unwrap().clone()) {
        let since = seen.at.saturating_duration_since(sent).as_millis() as u64;
        let left = DEADLINE_MS.saturating_sub(since);
        if seen.deadline_ms > left + TOLD_SLACK_MS {
            record.line(format!(
                "{}: told {} ms when {left} ms were left",
                seen.id, seen.deadline_ms
            ));
            broken.push(format!("{}: told {} ms of {left}", seen.id, seen.deadline_ms));
        }
    }
    if answers.is_empty() {
        return Err("no answer at all".into());
    }
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}
