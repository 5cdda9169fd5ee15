//! As many clients as the descriptors allow send large bodies. The balancer has to stay under its memory limit.

mod rig;

use rig::{free_addresses, member_toml, operate, proxy_json, wait_until};
use rig::{Connection, Rig, Verdict};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: usize = 640;
/// Clients may hold no more than a third of the descriptors for requests (TERMS).
const CLIENTS: usize = SOCKETS / 3;
const LARGE: usize = 32 << 20;
const SMALL: usize = 212;
/// The pace that DAYS names for a slow client.
const BYTES_PER_SECOND: usize = 64_000;
const PIECE: usize = 64_000;
const LENGTH: Duration = Duration::from_secs(8);

fn main() {
    rig::main(case);
}

/// The private memory of a process, in kB: what no file backs, so that its program's pages don't count.
fn anonymous_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn case(rig: &mut Rig) -> Verdict {
    let record = rig.record.clone();
    let size = if rig.trouble { LARGE } else { SMALL };
    let at = free_addresses(4);
    let upstreams: Vec<_> = (1..=4).map(|i| upload_upstream(rig, i)).collect();
    let mut list = format!("listen = \"{}\"\nmanagement = \"{}\"\n", at[0], at[1]);
    for (i, address) in upstreams.iter().enumerate() {
        list += &member_toml(&format!("s-{}", i + 1), *address);
    }
    let list = rig.write("list.toml", &list);
    rig.start("list", &format!("discovery --config {}", list.display()), &[]);
    let config = proxy_json("n1", at[2], at[3], &at[..1]).replace(
        "\"memory_mb\":192,\"sockets\":1024",
        &format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}"),
    );
    let config = rig.write("proxy.json", &config);
    rig.start("n1", "", &[("LB_CONFIG", &config)]);
    let health = || operate(at[3], "GET", "/admin/health", "").0 == 200;
    if !wait_until(Duration::from_secs(10), health) {
        return Err("the proxy did not become ready".into());
    }
    let pid = rig.pid("n1");
    record.line(format!("memory of n1 before: {:?} kB", anonymous_kb(pid)));
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    for c in 0..CLIENTS {
        let (counts, stop, front) = (counts.clone(), stop.clone(), at[2]);
        let record = record.clone();
        thread::spawn(move || {
            counts[0].fetch_add(1, Ordering::Relaxed);
            let answer = upload(front, c, size, &stop);
            record.line(format!("u-{c}, a body of {size} bytes: answered {answer:?}"));
            match answer {
                Some(status) => {
                    counts[1].fetch_add(1, Ordering::Relaxed);
                    counts[2].fetch_add(u64::from(status == 200), Ordering::Relaxed);
                }
                None => {}
            }
        });
    }
    record.line(format!("{CLIENTS} clients send {size} bytes each"));
    let (until, mut most) = (Instant::now() + LENGTH, 0);
    let mut noted = 0;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
        let Some(kb) = anonymous_kb(pid) else {
            return Ok(Some(format!("the balancer has ended by itself at {most} kB")));
        };
        most = most.max(kb);
        if most > noted + 4096 {
            noted = most;
            record.line(format!("memory of n1: {most} kB"));
        }
    }
    let at_end = anonymous_kb(pid);
    stop.store(true, Ordering::Relaxed);
    let counts: Vec<u64> = counts.iter().map(|c| c.load(Ordering::Relaxed)).collect();
    record.line(format!(
        "{} clients, {} answered by now, {} of them 200; memory of n1 at most {most} kB, at the end {at_end:?} kB; limit {} kB",
        counts[0], counts[1], counts[2], MEMORY_MB * 1024
    ));
    if counts[0] < CLIENTS as u64 {
        return Err(format!("only {} clients", counts[0]));
    }
    Ok((most > MEMORY_MB * 1024).then(|| {
        format!("the balancer held {most} kB of private memory, {} kB are allowed: the platform kills it", MEMORY_MB * 1024)
    }))
}

/// Sends one request with a body of `size` bytes and returns the status of the answer.
fn upload(front: std::net::SocketAddr, c: usize, size: usize, stop: &AtomicBool) -> Option<u16> {
    let mut client = Connection::open(front, Duration::from_secs(30)).ok()?;
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: u-{c}\r\nX-Class: place-order\r\nX-Deadline-Ms: 3000\r\nContent-Length: {size}\r\n\r\n"
    );
    client.stream.write_all(head.as_bytes()).ok()?;
    let (piece, start, mut sent) = ([b'x'; PIECE], Instant::now(), 0);
    while sent < size && !stop.load(Ordering::Relaxed) {
        let n = PIECE.min(size - sent);
        if client.stream.write_all(&piece[..n]).is_err() {
            break;
        }
        sent += n;
        let due = Duration::from_secs_f64(sent as f64 / BYTES_PER_SECOND as f64);
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    client.message().ok().flatten().map(|m| m.status())
}

/// An upstream that reads each body as it comes and answers once it has all of it.
fn upload_upstream(rig: &Rig, n: usize) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    rig.record.line(format!("s-{n} listens at {address}"));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve(mut stream: TcpStream) -> Option<()> {
    let mut read = Vec::new();
    let mut piece = vec![0; 64 << 10];
    loop {
        let end = loop {
            if let Some(at) = read.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            let n = stream.read(&mut piece).ok().filter(|n| *n > 0)?;
            read.extend_from_slice(&piece[..n]);
        };
        let head = String::from_utf8_lossy(&read[..end]).to_ascii_lowercase();
        let id = head
            .lines()
            .find_map(|l| l.strip_prefix("x-request-id:"))
            .unwrap_or("")
            .trim()
            .to_owned();
        let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
        let mut left: usize = length.and_then(|l| l.trim().parse().ok()).unwrap_or(0);
        left = left.saturating_sub(read.len() - end);
        read.clear();
        while left > 0 {
            let n = stream.read(&mut piece).ok().filter(|n| *n > 0)?;
            left = left.saturating_sub(n);
        }
        stream.write_all(&rig::ok(&id)).ok()?;
    }
}
