//! Clients that close their connection while the process is stopped (SIGSTOP). When it resumes, it finds the close
//! together with the event that lets it send the request.

use super::*;

/// How long the process stays stopped after the close: longer than the 0.1 s in which an attempt may still begin.
const STALL_MS: u64 = 250;
/// How long to wait for an attempt once the process has resumed.
const SETTLE_MS: u64 = 200;

/// The state of a request when its client closes.
#[derive(Clone, Copy, Debug)]
enum CloseAt {
    /// It waits for a slot for its first attempt.
    Queue,
    /// An upstream refuses it, so that a further attempt is due.
    Retry,
    /// It is pipelined behind another request, which is answered now.
    Pipeline,
    /// Its connection has not been accepted yet.
    Backlog,
}

/// Counts the attempts that began more than [`STALL_MS`] after the client closed; `behind` is the number of
/// extra bytes sent behind the request.
fn attempts_after_close(at: CloseAt, how: &str, behind: usize) -> usize {
    let (upstream, second, release) = gated_upstreams();
    let both = [&upstream, &second];
    // A single upstream gives a single slot and no alternative for a retry.
    let known = if matches!(at, CloseAt::Retry) { &both[..] } else { &both[..1] };
    let node = Node::start(&config(members(known)));
    let mut first = node.client();
    if matches!(at, CloseAt::Queue) {
        first.send(&read("w1", 6000));
        upstream.request();
    }
    if matches!(at, CloseAt::Backlog) {
        node.signal("STOP");
    }
    let mut leaving = connect_with_large_buffer(node.address);
    match at {
        CloseAt::Queue => leaving.write_all(alarm("r2", 6000, "x").as_bytes()).expect("written"),
        CloseAt::Retry => leaving.write_all(alarm("n2", 6000, "x").as_bytes()).expect("written"),
        CloseAt::Pipeline => {
            let text = format!("{}{}", alarm("w1", 6000, "x"), alarm("r2", 6000, "x"));
            leaving.write_all(text.as_bytes()).expect("written");
        }
        CloseAt::Backlog => leaving.write_all(alarm("r2", 6000, "x").as_bytes()).expect("written"),
    }
    match at {
        CloseAt::Retry => wait_for_first_request(known),
        CloseAt::Pipeline => drop(upstream.request()),
        CloseAt::Queue | CloseAt::Backlog => {}
    }
    pause(20);
    leaving.write_all(&vec![b'P'; behind]).expect("written");
    pause(20);
    node.signal("STOP");
    let _ = release.send(());
    pause(20);
    let _half_closed = leave(leaving, how);
    pause(STALL_MS);
    node.signal("CONT");
    pause(SETTLE_MS);
    upstream.requests_so_far() + second.requests_so_far()
}

/// Waits until one of the upstreams has received a request.
fn wait_for_first_request(upstreams: &[&Upstream]) {
    let from = Instant::now();
    while upstreams.iter().all(|upstream| upstream.requests_so_far() == 0) {
        assert!(from.elapsed() < SOON, "no upstream received a request");
        pause(1);
    }
}

/// Two upstreams that hold requests whose id begins with `w` or `n` until released. The first `n` request is refused
/// with 503; all others are served.
fn gated_upstreams() -> (Upstream, Upstream, Sender<()>) {
    let (release, gate) = channel();
    let gate: Arc<Mutex<Receiver<()>>> = Arc::new(Mutex::new(gate));
    let refusals = Arc::new(AtomicUsize::new(0));
    let start = || {
        let (gate, refusals) = (gate.clone(), refusals.clone());
        Upstream::start(move |message| {
            let id = message.header("x-request-id");
            if id.starts_with(['w', 'n']) {
                let _ = gate.lock().expect("not poisoned").recv_timeout(SOON);
            }
            if id.starts_with('n') && refusals.fetch_add(1, Ordering::SeqCst) == 0 {
                return answers("503 Service Unavailable", "X-Not-Run: 1\r\n");
            }
            ok("ok")
        })
    };
    (start(), start(), release)
}

#[test]
fn request_is_not_sent_after_client_closed_during_stall() {
    let mut sent = Vec::new();
    for at in [CloseAt::Queue, CloseAt::Retry, CloseAt::Pipeline, CloseAt::Backlog] {
        for (how, behind) in LEAVES {
            let attempts = attempts_after_close(at, how, behind);
            if attempts > 0 {
                sent.push(format!("{at:?}: {how}, {behind} extra bytes: {attempts} attempts"));
            }
        }
    }
    assert!(sent.is_empty(), "attempts more than 0.1 s after the close:\n{}", sent.join("\n"));
}

#[test]
fn partial_body_is_not_sent_after_client_closed_during_stall() {
    for how in ["close", "half-close", "reset"] {
        let (address, heads, release) = head_reporter();
        let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
        let mut first = node.client();
        first.send(&read("w1", 6000));
        assert_eq!(heads.recv_timeout(SOON).expect("a head"), "w1");
        // Larger than the buffer of the proxy: it stays partly read until an upstream accepts it.
        let text = alarm("r2", 6000, &"x".repeat(400_000));
        let mut leaving = connect_with_large_buffer(node.address);
        leaving.write_all(&text.as_bytes()[..150_000]).expect("written");
        pause(50);
        node.signal("STOP");
        release.send(()).expect("upstream is waiting");
        pause(20);
        let _half_closed = leave(leaving, how);
        pause(STALL_MS);
        node.signal("CONT");
        assert_eq!(first.answer().expect("an answer").status(), 200);
        assert_eq!(node.client().ask(&read("r3", 5000)).status(), 200);
        assert_eq!(heads.recv_timeout(SOON).expect("a head"), "r3", "{how}");
    }
}
