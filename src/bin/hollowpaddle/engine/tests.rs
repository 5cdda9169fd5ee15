use std::net::{SocketAddr, TcpListener};

use bytes::Bytes;
use hollowpaddle::settings::Facts;
use hyper::{HeaderMap, Method, Uri};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::*;
use crate::bodies::Payload;
use crate::client_connection::{ClientConnection, ClientInput};
use crate::deadlines::Deadlines;
use crate::memory::{BufferMemory, MessageMemory};
use hollowpaddle::socket::Socket;

const MS: Duration = Duration::from_millis(1);

#[test]
fn policy_and_engine_deadlines_precede_the_client_deadline() {
    let now = Instant::now();
    // In microseconds: the client's deadline, the policy's, and the engine's.
    let table = [
        (1_500_000, 1_485_000, 1_495_000),
        (60_000, 45_000, 55_000),
        (24_000, 18_000, 22_000),
        (12, 9, 11),
    ];
    for (left, policy, engine) in table.map(|(a, b, c)| {
        let at = |us| now + Duration::from_micros(us);
        (at(a), at(b), at(c))
    }) {
        let room = headroom(left, now);
        assert_eq!((left - room, backstop(left, room)), (policy, engine));
    }
    assert_eq!(headroom(now, now + MS), Duration::ZERO, "its time was up before it came");
}

/// An engine with one upstream at this address and the settings of `examples/proxy.json`, without a list service.
fn engine(upstream: SocketAddr) -> (Engine, Handle) {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/proxy.json");
    let file = std::fs::read_to_string(file).expect("the example");
    let mut file: Value = serde_json::from_str(&file).expect("JSON");
    let facts: Facts = serde_json::from_value(file["settings"].take()).expect("settings");
    let known = json!({"revision": 41, "complete": true, "members": [{"id": "s-0",
        "host_port": upstream, "locality": "a", "flavor": "m", "phase": "SERVING"}]});
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let config = Config {
        name: String::new(),
        listen: nobody,
        discovery: vec![nobody],
        management: None,
        state_dir: None,
        seed: 1,
        sockets: 1024,
        memory: 1 << 20,
        known: serde_json::from_value(known).expect("a list"),
        catalog: Rc::new(Catalog::single(&facts).expect("a catalog")),
        facts,
    };
    let figures = Figures::new(false);
    let pool = Pool::new(&config, &figures, MessageMemory::new(config.budget()));
    Engine::new(&config, config.known.clone(), pool, figures, None).expect("an engine")
}

/// A client connection and the client's end of it.
fn connected() -> (Socket, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = std::net::TcpStream::connect(address).expect("it listens");
    let (stream, _) = listener.accept().expect("it has connected");
    stream.set_nonblocking(true).expect("a socket");
    (Socket::new(TcpStream::from_std(stream).expect("a runtime")), client)
}

/// Runs in virtual time, which advances only when all tasks are idle, so machine load has no influence.
/// `tests/node.rs` tests the same with real sockets and a client.
#[test]
fn request_to_a_silent_upstream_fails_at_the_policy_deadline() {
    // The kernel accepts connections into the backlog, and nothing reads from them.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = silent.local_addr().expect("an address");
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (client, _peer) = connected();
        // The aim of 2 s is later than each deadline, so only the deadline can end the request.
        for (deadline, policy) in [(1500, 1485), (900, 885)] {
            let (engine, handle) = engine(address);
            let _engine = AbortOnDrop(tokio::task::spawn_local(engine.run()));
            let alarm = handle.routing().catalog.services[0].class("alarm").expect("a class");
            let until = Instant::now() + deadline * MS;
            let arrival = Arrival {
                service: ServiceId(0),
                class: alarm,
                tenant: 0,
                key: None,
                time: deadline * MS,
                until,
                cost_guess: None,
                resent: false,
            };
            let kept = Bytes::from_static(b"x");
            let connection = Rc::new(ClientConnection::new(None, BufferMemory::new(0)));
            let forward = Forward {
                method: Method::POST,
                uri: Uri::from_static("/api"),
                headers: HeaderMap::new(),
                body: Payload { kept, length: Some(1), ..Payload::default() },
                deadlines: Deadlines::new(until, Instant::now()),
                client: ClientInput::new(connection, 0, client.peer()),
            };
            let from = Instant::now();
            let reply = timeout(deadline * MS, handle.submit(arrival, forward, || ())).await;
            let took = from.elapsed();
            let kind = match reply.expect("before its client gives up") {
                Ok(Reply::Failed { late: true }) => "late",
                Ok(Reply::Failed { late: false }) => "failed",
                Ok(Reply::Refused { .. }) => "refused",
                Ok(Reply::Served(_)) => "served",
                Err(_) => "broken",
            };
            // Timers have a resolution of 1 ms.
            let by = policy * MS..=(policy + 1) * MS;
            assert_eq!((kind, by.contains(&took)), ("late", true), "of {deadline} ms: {took:?}");
        }
    });
}
