use std::rc::Rc;

use bytes::Bytes;
use hollowpaddle::invariants::violations::Violations;
use hollowpaddle::settings::Field;
use hollowpaddle::socket::Peer;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::Instant;

use super::attempt_progress::AttemptProgress;
use super::connection::Written;
use super::load_report::parse_load_report;
use super::*;
use crate::bodies::Payload;
use crate::client_connection::{ClientConnection, ClientInput};
use crate::deadlines::Deadlines;
use crate::guard::AttemptGuard;
use crate::memory::BufferMemory;

#[test]
fn load_report_ignores_what_it_cannot_parse() {
    let fields = ["eps", "qps", "inflight"].map(|n| (n.to_string(), Field::named(n)));
    let read = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-load", text.parse().expect("a header"));
        let r = parse_load_report(&fields, &headers);
        (r.eps, r.qps, r.inflight)
    };
    assert_eq!(read("TEXT eps=0.5, qps=140, inflight=7"), (Some(0.5), Some(140.0), Some(7.0)));
    assert_eq!(read("TEXT inflight=7,queue=2, qps=NaN, eps=x,"), (None, None, Some(7.0)));
    assert_eq!(read("JSON {\"eps\": 1}"), (None, None, None));
}

#[test]
fn request_is_incomplete_until_its_last_byte_may_be_written() {
    let connection = Rc::new(ClientConnection::new(None, BufferMemory::new(0)));
    let forward = Rc::new(Forward {
        method: Method::POST,
        uri: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: Payload { kept: Bytes::from_static(b"0123456789"), ..Payload::default() },
        deadlines: Deadlines::new(Instant::now(), Instant::now()),
        client: ClientInput::new(connection, 0, Peer::default()),
    });
    let nowhere = Target {
        address: Cell::new(SocketAddr::from(([127, 0, 0, 1], 1))),
        closed: Cell::new(false),
    };
    let live = Rc::new(Cell::new(true));
    let (before, violations) = (Instant::now(), Violations::default());
    let guard = AttemptGuard::new(forward.clone(), live, Rc::new(nowhere), before, violations);
    let progress = AttemptProgress::default();
    assert!(progress.nothing_written() && progress.certainly_incomplete(), "no connection yet");
    let written = Written::default();
    written.bytes.set(1000); // An earlier request on the same connection.
    assert!(forward.request(Instant::now(), &progress, &written, &guard, 8192).is_some());
    assert!(progress.nothing_written() && progress.certainly_incomplete());
    written.add(10);
    assert!(
        !progress.nothing_written() && progress.certainly_incomplete(),
        "head and body are longer than the body"
    );
    assert_eq!(written.attempts_sent.get(), 0);
    // The smallest complete request: request line, X-Deadline-Ms and the body.
    let complete = "POST /api HTTP/1.1\r\nx-deadline-ms: 0\r\n\r\n0123456789".len();
    written.add(complete - 10);
    assert!(!progress.certainly_incomplete());
    assert_eq!(written.attempts_sent.get(), 1, "and it counts as a try, once");
}
