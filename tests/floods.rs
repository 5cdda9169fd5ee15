//! Clients that send requests at full speed. A file of its own, and one test after the other, since they take all processors
//! from what runs beside them.

#[allow(dead_code)] // Each test file uses a part of the helpers.
mod load;
#[allow(dead_code)] // Each test file uses a part of the stubs.
mod stubs;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use load::*;
use stubs::read;

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// Requests that one client sends at full speed; `{n}` is a new number for each.
const FLOODS: [&str; 5] = [
    "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: f{n}\r\nX-Class: read\r\nX-Deadline-Ms: 500\r\n\r\n",
    "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: f{n}\r\nX-Class: log\r\nIdempotency-Key: k{n}\r\nX-Deadline-Ms: 500\r\nContent-Length: 3\r\n\r\nabc",
    "GET /api HTTP/1.1\r\nHost: h{n}\r\nX-Request-Id: f{n}\r\nX-Class: class-{n}\r\nX-Deadline-Ms: 500\r\n\r\n",
    "GET /elsewhere-{n} HTTP/1.1\r\nHost: a\r\n\r\n",
    "no request {n}\r\n\r\n",
];

/// Sends `flood` as fast as it can, on one connection at a time, and reads the answers or not.
fn flood(address: SocketAddr, flood: &str, reads: bool, stop: &AtomicBool) {
    let mut n = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut stream = connect(address, 64 << 10);
        let mut answers = stream.try_clone().expect("a second handle");
        stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a time");
        let reading = std::thread::spawn(move || {
            while reads && answers.read(&mut [0; 32 << 10]).is_ok_and(|n| n > 0) {}
        });
        while !stop.load(Ordering::Relaxed) {
            let next = |_| {
                n += 1;
                flood.replace("{n}", &n.to_string())
            };
            let text: String = (0..100).map(next).collect();
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        reading.join().expect("a reader");
    }
}

/// Guards against one client at full speed keeping others from their answers, or taking ever more memory.
#[test]
fn client_at_full_speed_delays_nobody_and_takes_no_more_memory() {
    let _running = RUNNING.lock();
    let limits = limits(32, 256);
    for (text, reads) in FLOODS.into_iter().flat_map(|text| [(text, true), (text, false)]) {
        let node = limits.start(start_upstream(answer_each));
        let address = node.address;
        let flooding = Clients::start(1, move |_, stop| flood(address, text, reads, stop));
        let (start, mut client, mut delayed) = (Instant::now(), node.client(), Vec::new());
        let (mut asked, mut most) = (0, 0);
        while start.elapsed() < Duration::from_millis(1500) {
            let sent = Instant::now();
            let answer = client.ask(&read(&format!("r{asked}"), 1000));
            asked += 1;
            if answer.status() != 200 {
                delayed.push((answer.first.clone(), sent.elapsed()));
            }
            if answer.header("connection") == "close" {
                client = node.client();
            }
            most = most.max(private_memory(&node));
            std::thread::sleep(Duration::from_millis(10));
        }
        drop(flooding);
        assert!(asked > 20 && delayed.is_empty(), "{text:?}, {reads}: {asked} asked, {delayed:?}");
        assert_within(most, limits, &format!("{text:?}, {reads}"));
    }
}

/// Guards against what is read behind requests in flight adding up.
#[test]
fn pipelined_requests_on_all_connections_stay_within_the_memory_limit() {
    let _running = RUNNING.lock();
    for limits in [limits(32, 256), limits(32, 1024)] {
        let upstream = start_upstream(|mut stream| {
            while read_whole_message(&mut stream).is_some() {
                std::thread::sleep(Duration::from_millis(100));
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        });
        let node = limits.start(upstream);
        let address = node.address;
        let (post, clients) = (FLOODS[1], limits.clients());
        let clients = Clients::start(clients, move |_, stop| flood(address, post, true, stop));
        let most = clients.most_memory(&node, Duration::from_secs(2));
        assert_within(most, limits, "pipelined requests");
    }
}
