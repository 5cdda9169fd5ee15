//! Clients that close their connection while the process stands still (SIGSTOP), so that it finds their close and its
//! next reason to send in the same moment.

use super::*;

/// How long the process stands still after the close: more than the 0.1 s in which an attempt may still begin.
const HELD: u64 = 250;
/// How long an attempt has to show up once the process goes on.
const GOES_ON: u64 = 200;

/// Where a request is when its client closes.
#[derive(Clone, Copy, Debug)]
enum At {
    /// It waits for a slot: its first attempt is due.
    Queue,
    /// An upstream turns it away: a further attempt is due.
    Retry,
    /// It was sent behind another on the same connection, which is answered now.
    Pipeline,
    /// Its connection has not been accepted yet.
    Backlog,
}

/// Attempts at a request that began while its client had been gone for longer than [`HELD`].
fn attempts_after_the_close(at: At, how: &str, behind: usize) -> usize {
    let (upstream, second, go) = turns_away_first();
    let both = [&upstream, &second];
    // With one upstream alone there is one slot, and nowhere else to go.
    let known = if matches!(at, At::Retry) { &both[..] } else { &both[..1] };
    let node = Node::start(&config(members(known)));
    let mut first = node.client();
    if matches!(at, At::Queue) {
        first.send(&read("w1", 6000));
        upstream.request();
    }
    if matches!(at, At::Backlog) {
        node.signal("STOP");
    }
    let mut leaves = TcpStream::connect(node.address).expect("it accepts");
    match at {
        At::Queue => leaves.write_all(alarm("r2", 6000, "x").as_bytes()).expect("written"),
        At::Retry => leaves.write_all(alarm("n2", 6000, "x").as_bytes()).expect("written"),
        At::Pipeline => {
            let text = format!("{}{}", alarm("w1", 6000, "x"), alarm("r2", 6000, "x"));
            leaves.write_all(text.as_bytes()).expect("written");
        }
        At::Backlog => leaves.write_all(alarm("r2", 6000, "x").as_bytes()).expect("written"),
    }
    match at {
        At::Retry => first_of(known),
        At::Pipeline => drop(upstream.request()),
        At::Queue | At::Backlog => {}
    }
    pause(20);
    leaves.write_all(&vec![b'P'; behind]).expect("written");
    pause(20);
    node.signal("STOP");
    let _ = go.send(());
    pause(20);
    let _half = leave(leaves, how);
    pause(HELD);
    node.signal("CONT");
    pause(GOES_ON);
    upstream.requests_so_far() + second.requests_so_far()
}

/// Waits until one of these is asked.
fn first_of(upstreams: &[&Upstream]) {
    let from = Instant::now();
    while upstreams.iter().all(|upstream| upstream.requests_so_far() == 0) {
        assert!(from.elapsed() < SOON, "nothing is sent");
        pause(1);
    }
}

/// A pair of upstreams that wait for a word with requests whose id begins with `w` or `n`, serve the former, and turn
/// the first of the latter away.
fn turns_away_first() -> (Upstream, Upstream, Sender<()>) {
    let (go, waits) = channel();
    let waits: Arc<Mutex<Receiver<()>>> = Arc::new(Mutex::new(waits));
    let turned_away = Arc::new(AtomicUsize::new(0));
    let start = || {
        let (waits, turned_away) = (waits.clone(), turned_away.clone());
        Upstream::start(move |message| {
            let id = message.header("x-request-id");
            if id.starts_with(['w', 'n']) {
                let _ = waits.lock().expect("not poisoned").recv_timeout(SOON);
            }
            if id.starts_with('n') && turned_away.fetch_add(1, Ordering::SeqCst) == 0 {
                return answers("503 Service Unavailable", "X-Not-Run: 1\r\n");
            }
            ok("ok")
        })
    };
    (start(), start(), go)
}

#[test]
fn a_request_is_not_sent_on_for_a_client_that_closed_while_the_process_stood_still() {
    let mut sent = Vec::new();
    for at in [At::Queue, At::Retry, At::Pipeline, At::Backlog] {
        for (how, behind) in LEAVES {
            let attempts = attempts_after_the_close(at, how, behind);
            if attempts > 0 {
                sent.push(format!("{at:?}: {how}, {behind} bytes behind: {attempts}"));
            }
        }
    }
    assert!(sent.is_empty(), "attempts over 0.1 s after the close:\n{}", sent.join("\n"));
}

#[test]
fn a_body_that_still_comes_is_not_sent_on_for_a_client_that_closed_while_the_process_stood_still() {
    for how in ["close", "half-close", "reset"] {
        let (address, heads, go) = tells_heads();
        let node = Node::start(&config(vec![member("s-0", address, "SERVING")]));
        let mut first = node.client();
        first.send(&read("w1", 6000));
        assert_eq!(heads.recv_timeout(SOON).expect("a head"), "w1");
        // Larger than what is kept: it waits, half read, for an upstream to take it.
        let text = alarm("r2", 6000, &"x".repeat(400_000));
        let mut leaves = TcpStream::connect(node.address).expect("it accepts");
        leaves.write_all(&text.as_bytes()[..150_000]).expect("written");
        pause(50);
        node.signal("STOP");
        go.send(()).expect("it waits");
        pause(20);
        let _half = leave(leaves, how);
        pause(HELD);
        node.signal("CONT");
        assert_eq!(first.answer().expect("an answer").status(), 200);
        assert_eq!(node.client().ask(&read("r3", 5000)).status(), 200);
        assert_eq!(heads.recv_timeout(SOON).expect("a head"), "r3", "{how}");
    }
}
