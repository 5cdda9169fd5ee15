//! Clients send bodies in the coding `gzip, chunked`. Does an upstream get the body that its client sent, or the client an
//! error?

#[path = "lab.rs"]
mod lab;

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use lab::*;

const UPSTREAMS: usize = 3;
const REQUESTS: usize = 60;

/// A gzip member (RFC 1952) with one stored block (RFC 1951).
fn gzip(data: &[u8]) -> Vec<u8> {
    let mut crc = !0u32;
    for byte in data {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = if crc & 1 == 1 { (crc >> 1) ^ 0xEDB8_8320 } else { crc >> 1 };
        }
    }
    let length = data.len() as u16;
    let mut out = vec![0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 255, 1];
    out.extend(length.to_le_bytes());
    out.extend((!length).to_le_bytes());
    out.extend(data);
    out.extend((!crc).to_le_bytes());
    out.extend((data.len() as u32).to_le_bytes());
    out
}

/// The data of such a member.
fn gunzip(member: &[u8]) -> Option<Vec<u8>> {
    (member.len() >= 23 && member.starts_with(&[0x1f, 0x8b])).then(|| member[15..member.len() - 8].to_vec())
}

fn main() {
    open_record();
    // What each request's body was at its upstream, after the codings that the request names.
    let bodies = Arc::new(Mutex::new(BTreeMap::new()));
    let mut entries = Vec::new();
    for n in 0..UPSTREAMS {
        let bodies = bodies.clone();
        let upstream = Upstream::start(&format!("s-{n}"), move |received, stream| {
            let codings = received.head.get("transfer-encoding").unwrap_or_default().to_owned();
            let body = match codings.contains("gzip") {
                true => gunzip(&received.body).unwrap_or_default(),
                false => received.body.clone(),
            };
            record(&format!("{}: codings {codings:?}, body {:?}", received.id(), String::from_utf8_lossy(&body)));
            bodies.lock().expect("not poisoned").insert(received.id().to_owned(), body);
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
        sockets: 384,
        tmpdir: temp().join("n0"),
    });
    proxy.wait_ready();
    let (mut served, mut wrong) = (0, Vec::new());
    for n in 0..REQUESTS {
        let id = format!("r{n:02}");
        let order = format!("order {n} of this client");
        let (codings, body) = match trouble() {
            true => ("gzip, chunked", gzip(order.as_bytes())),
            false => ("chunked", order.clone().into_bytes()),
        };
        let answer = Client::connect(proxy.listen).and_then(|mut client| -> io::Result<Answer> {
            let mut request = format!(
                "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: place-order\r\nX-Deadline-Ms: 3000\r\n\
                 Transfer-Encoding: {codings}\r\n\r\n{:x}\r\n",
                body.len()
            )
            .into_bytes();
            request.extend(&body);
            request.extend(b"\r\n0\r\n\r\n");
            client.send(&request)?;
            client.answer(ms(3500))
        });
        match answer {
            Ok(answer) if answer.status == 200 => served += 1,
            other => {
                record(&format!("client: {id}: {other:?}"));
                continue;
            }
        }
        let got = bodies.lock().expect("not poisoned").get(&id).cloned().unwrap_or_default();
        if got != order.as_bytes() {
            wrong.push(format!("{id}: sent {order:?}, the upstream got {:?}", String::from_utf8_lossy(&got)));
        }
    }
    proxy.record_log();
    if proxy.ended() {
        finish(BROKEN, "broken: the balancer ended");
    }
    say(&format!("{REQUESTS} requests: {served} served, {} with another body at the upstream", wrong.len()));
    match wrong.first() {
        None => finish(HELD, "held: each upstream got the body that the client sent, or the client an error"),
        Some(first) => finish(BROKEN, &format!("broken: {} bodies were changed on the way: {first}", wrong.len())),
    }
}
