use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::*;

/// Stands for a process that serves the address: listeners and file locks of one process behave like those of several.
struct Node {
    listener: TcpListener,
    registration: ProcessRegistration,
}

impl Node {
    fn start(at: SocketAddr) -> Self {
        let listener = listen(at).expect("an address");
        let registration =
            ProcessRegistration::register(listener.local_addr().expect("bound"), &listener);
        Self { listener, registration }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

const CLIENTS: usize = 64;

/// Opens connections to the address and counts how many each of these listeners accepts.
async fn count_accepted(address: SocketAddr, listeners: &[&TcpListener]) -> Vec<usize> {
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        clients.push(TcpStream::connect(address).await.expect("it listens"));
    }
    let mut counts = Vec::new();
    for listener in listeners {
        let mut count = 0;
        while timeout(Duration::from_millis(20), listener.accept()).await.is_ok() {
            count += 1;
        }
        counts.push(count);
    }
    counts
}

#[tokio::test]
async fn new_connections_are_redirected_to_the_process_that_stays() {
    for older_ends in [true, false] {
        let older = Node::start(any_port());
        let at = older.address();
        let newer = Node::start(at);
        let (ends, stays) = if older_ends { (older, newer) } else { (newer, older) };
        let mut ending = ends.registration.begin_handover();
        assert!(ending.has_successor());
        let _turn = ending.redirect(&ends.listener).await;
        assert_eq!(count_accepted(at, &[&ends.listener, &stays.listener]).await, [0, CLIENTS]);
        drop(ends.listener);
        assert_eq!(count_accepted(at, &[&stays.listener]).await, [CLIENTS]);
    }
}

#[tokio::test]
async fn two_of_three_that_end_at_once_redirect_to_the_third() {
    for (stays, older_first) in (0..3).flat_map(|n| [(n, true), (n, false)]) {
        let first = Node::start(any_port());
        let at = first.address();
        let mut group = vec![first, Node::start(at), Node::start(at)];
        let stays = group.remove(stays);
        let mut endings: Vec<(TcpListener, Handover)> = group
            .into_iter()
            .map(|node| (node.listener, node.registration.begin_handover()))
            .collect();
        if older_first {
            endings.reverse();
        }
        while let Some((listener, mut ending)) = endings.pop() {
            assert!(ending.has_successor());
            let turn = ending.redirect(&listener).await;
            let counts = count_accepted(at, &[&listener, &stays.listener]).await;
            assert_eq!(counts, [0, CLIENTS], "{} more end", endings.len());
            drop((listener, ending, turn));
        }
        assert_eq!(count_accepted(at, &[&stays.listener]).await, [CLIENTS]);
    }
}

#[tokio::test]
async fn a_process_waits_while_another_ends() {
    let first = Node::start(any_port());
    let at = first.address();
    let (second, _stays) = (Node::start(at), Node::start(at));
    let (mut one, mut other) =
        (first.registration.begin_handover(), second.registration.begin_handover());
    let turn = one.redirect(&first.listener).await.expect("nobody else ends");
    assert!(
        timeout(REDIRECT_SETTLE_TIME, other.redirect(&second.listener)).await.is_err(),
        "it waits"
    );
    drop((first.listener, one, turn));
    assert!(other.redirect(&second.listener).await.is_some());
}

#[tokio::test]
async fn a_process_started_after_a_takeover_gets_connections() {
    let older = Node::start(any_port());
    let at = older.address();
    let newer = Node::start(at);
    let mut ending = older.registration.begin_handover();
    let turn = ending.redirect(&older.listener).await;
    drop((older.listener, ending, turn));
    let newest = Node::start(at);
    let counts = count_accepted(at, &[&newer.listener, &newest.listener]).await;
    assert_eq!(counts.iter().sum::<usize>(), CLIENTS);
    assert!(counts.iter().all(|&n| n > 0), "{counts:?}");
}

#[tokio::test]
async fn killed_and_ending_processes_are_no_successors() {
    let older = Node::start(any_port());
    let at = older.address();
    let killed = Node::start(at);
    // SIGKILL leaves the file behind without its lock.
    let file = killed.registration.path(SERVING);
    drop((killed.listener, killed.registration));
    assert!(file.exists());
    let newer = Node::start(at);
    let (one, other) = (older.registration.begin_handover(), newer.registration.begin_handover());
    assert!(!file.exists(), "nobody's registration is removed");
    assert!(one.has_successor(), "the other served then");
    assert!(!other.has_successor());
}

#[test]
fn start_times_do_not_depend_on_the_wall_clock() {
    let by_wall_clock =
        format!("{:024}", std::time::UNIX_EPOCH.elapsed().expect("after it").as_nanos());
    let (first, second) = (start_time(), start_time());
    assert!(by_wall_clock < first && first <= second, "{by_wall_clock}, {first}, {second}");
}
