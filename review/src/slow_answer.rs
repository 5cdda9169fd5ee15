//! An upstream writes a large answer of unknown length slowly. What it gives has to reach the client.

mod rig;

use rig::{free_addresses, member_toml, operate, proxy_json, request, wait_until};
use rig::{Connection, Rig, Upstream, Verdict};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// The whole answer: far more than 64 KiB.
const SIZE: usize = FIRST + 4 * PIECE;
/// When its first bytes come, and how many.
const FIRST_AFTER: Duration = Duration::from_millis(250);
const FIRST: usize = 1_000;
/// A piece of the rest, and the time for it at 64 kB a second.
const PIECE: usize = 72_000;
const PIECE_TIME: Duration = Duration::from_millis(1125);
const DEADLINE_MS: u64 = 1000;

fn main() {
    rig::main(case);
}

fn case(rig: &mut Rig) -> Verdict {
    let record = rig.record.clone();
    let trouble = rig.trouble;
    let log = record.clone();
    let upstream = Upstream::start("s-1", &record, move |seen, stream| {
        thread::sleep(FIRST_AFTER);
        let body: Vec<u8> = (0..SIZE).map(|i| b'a' + (i % 26) as u8).collect();
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut at = 0;
        while at < SIZE {
            let n = if at == 0 { FIRST } else { PIECE.min(SIZE - at) };
            if at > 0 && trouble {
                thread::sleep(PIECE_TIME);
            }
            let chunk = [format!("{n:x}\r\n").as_bytes(), &body[at..at + n], b"\r\n"].concat();
            if let Err(cause) = stream.write_all(&chunk) {
                log.line(format!("s-1: {}: write at byte {at}: {cause}", seen.id));
                return;
            }
            at += n;
            log.line(format!("s-1: {}: {at} bytes given", seen.id));
        }
        let _ = stream.write_all(b"0\r\n\r\n");
    });
    let at = free_addresses(4);
    let list = format!(
        "listen = \"{}\"\nmanagement = \"{}\"\n{}",
        at[0],
        at[1],
        member_toml("s-1", upstream.address)
    );
    let list = rig.write("list.toml", &list);
    rig.start("list", &format!("discovery --config {}", list.display()), &[]);
    let config = rig.write("proxy.json", &proxy_json("n1", at[2], at[3], &at[..1]));
    rig.start("n1", "", &[("LB_CONFIG", &config)]);
    let health = || operate(at[3], "GET", "/admin/health", "").0 == 200;
    if !wait_until(Duration::from_secs(10), health) {
        return Err("the proxy did not become ready".into());
    }
    let mut client = Connection::open(at[2], Duration::from_secs(20)).map_err(|e| e.to_string())?;
    let sent = Instant::now();
    let _ = client.stream.write_all(&request("big-1", "stock-check", DEADLINE_MS));
    let answer = client.message();
    let after = sent.elapsed().as_millis();
    match answer {
        Ok(Some(answer)) if answer.status() == 200 && answer.body.len() == SIZE => {
            record.line(format!("big-1: 200 and {SIZE} bytes after {after} ms"));
            Ok(None)
        }
        Ok(Some(answer)) => Err(format!("answered {} with {} bytes", answer.status(), answer.body.len())),
        other => Ok(Some(format!(
            "the answer was cut off after {after} ms, which s-1 was still giving at 64 kB a second: {:?}",
            other.err().map(|e| e.to_string())
        ))),
    }
}
