//! Private memory of a proxy and the process that replaces it, while both serve. A file of its own, since hundreds of clients
//! slow down what runs beside them.

#[allow(dead_code)] // Each test file uses a part of the helpers.
mod load;
#[allow(dead_code)] // Each test file uses a part of the stubs.
mod stubs;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use load::*;
use serde_json::Value;
use stubs::*;

/// The least memory and the most descriptors that the operators name, and fewer clients than a third of these.
const LIMITS: Limits = limits(32, 1024);
const CLIENTS: usize = 260;
const UPSTREAMS: usize = 15;
const BODY_BYTES: usize = 60 << 10;
const UPSTREAM_TIME: Duration = Duration::from_millis(100);
/// How long one process serves alone, and both do.
const ALONE: Duration = Duration::from_secs(3);
const OVERLAP: Duration = Duration::from_secs(4);

/// Sends one request after the other, each on a new connection, until it is told to stop; returns how many were served.
fn ask(address: SocketAddr, client: usize, stop: &AtomicBool) -> usize {
    let mut served = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut stream = connect(address, 64 << 10);
        let request = alarm(&format!("o{client}-{served}"), 3000, &"x".repeat(BODY_BYTES));
        let sent = stream.write_all(request.as_bytes());
        let answer = sent.ok().and_then(|()| read_whole_message(&mut stream));
        served += usize::from(answer.is_some_and(|head| head.starts_with("http/1.1 200")));
        std::thread::sleep(Duration::from_millis(20));
    }
    served
}

/// Guards against two processes of one proxy each taking the memory of one (review/7).
#[test]
fn process_and_its_successor_stay_within_the_memory_limit_together() {
    let start = |_| {
        start_upstream(|mut stream| {
            while read_whole_message(&mut stream).is_some() {
                std::thread::sleep(UPSTREAM_TIME);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        })
    };
    let upstreams: Vec<SocketAddr> = (0..UPSTREAMS).map(start).collect();
    let listed = upstreams.iter().enumerate();
    let listed = listed.map(|(i, at)| member(&format!("s-{i}"), *at, "SERVING")).collect();
    let mut file = config(listed);
    file["limits"]["memory_mb"] = Value::from(LIMITS.memory_mb);
    file["limits"]["sockets"] = Value::from(LIMITS.descriptors);
    let old = Node::managed(&file);
    let address = old.address;
    let clients = Clients::start(CLIENTS, move |n, stop| ask(address, n, stop));
    let alone = clients.most_memory(&old, ALONE);
    assert_within(alone, LIMITS, "one process alone");
    let new = Node::managed_at(&file, address);
    let (begun, mut most) = (Instant::now(), [0, 0]);
    while begun.elapsed() < OVERLAP {
        let each = [&old, &new].map(private_memory);
        most = std::cmp::max_by_key(most, each, |each| each.iter().sum::<usize>());
        std::thread::sleep(Duration::from_millis(10));
    }
    let served: usize = clients.join().into_iter().sum();
    assert!(served > CLIENTS, "{served} requests were served");
    let kib = most.map(|bytes| bytes >> 10);
    let what = format!("both processes, {kib:?}; {} KiB before", alone >> 10);
    assert_within(most.iter().sum(), LIMITS, &what);
}
