use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::*;

/// A process that serves the address, or would be one: the kernel and the marks tell sockets and locks apart, not
/// whose they are.
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

fn anywhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

const CLIENTS: usize = 64;

/// How many of the clients that come now each of these listeners finds in its queue.
async fn comers(address: SocketAddr, listeners: &[&TcpListener]) -> Vec<usize> {
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
async fn clients_that_come_are_led_to_the_process_that_stays_whichever_ends() {
    for older_ends in [true, false] {
        let older = Node::start(anywhere());
        let at = older.address();
        let newer = Node::start(at);
        let (ends, stays) = if older_ends { (older, newer) } else { (newer, older) };
        let mut ending = ends.registration.begin_handover();
        assert!(ending.has_successor());
        let _turn = ending.redirect(&ends.listener).await;
        assert_eq!(comers(at, &[&ends.listener, &stays.listener]).await, [0, CLIENTS]);
        drop(ends.listener);
        assert_eq!(comers(at, &[&stays.listener]).await, [CLIENTS]);
    }
}

#[tokio::test]
async fn of_three_two_that_end_at_once_lead_all_to_the_third() {
    for (stays, older_first) in (0..3).flat_map(|n| [(n, true), (n, false)]) {
        let first = Node::start(anywhere());
        let at = first.address();
        let mut group = vec![first, Node::start(at), Node::start(at)];
        let stays = group.remove(stays);
        let mut endings: Vec<(TcpListener, Handover)> =
            group.into_iter().map(|node| (node.listener, node.registration.begin_handover())).collect();
        if older_first {
            endings.reverse();
        }
        while let Some((listener, mut ending)) = endings.pop() {
            assert!(ending.has_successor());
            let turn = ending.redirect(&listener).await;
            let counts = comers(at, &[&listener, &stays.listener]).await;
            assert_eq!(counts, [0, CLIENTS], "{} more end", endings.len());
            drop((listener, ending, turn));
        }
        assert_eq!(comers(at, &[&stays.listener]).await, [CLIENTS]);
    }
}

#[tokio::test]
async fn one_waits_for_its_turn_while_another_ends() {
    let first = Node::start(anywhere());
    let at = first.address();
    let (second, _stays) = (Node::start(at), Node::start(at));
    let (mut one, mut other) = (first.registration.begin_handover(), second.registration.begin_handover());
    let turn = one.redirect(&first.listener).await.expect("nobody else ends");
    assert!(timeout(REDIRECT_SETTLE_TIME, other.redirect(&second.listener)).await.is_err(), "it waits");
    drop((first.listener, one, turn));
    assert!(other.redirect(&second.listener).await.is_some());
}

#[tokio::test]
async fn who_comes_after_a_takeover_gets_its_part_again() {
    let older = Node::start(anywhere());
    let at = older.address();
    let newer = Node::start(at);
    let mut ending = older.registration.begin_handover();
    let turn = ending.redirect(&older.listener).await;
    drop((older.listener, ending, turn));
    let newest = Node::start(at);
    let counts = comers(at, &[&newer.listener, &newest.listener]).await;
    assert_eq!(counts.iter().sum::<usize>(), CLIENTS);
    assert!(counts.iter().all(|&n| n > 0), "{counts:?}");
}

#[tokio::test]
async fn a_killed_process_or_one_that_ends_succeeds_nobody() {
    let older = Node::start(anywhere());
    let at = older.address();
    let killed = Node::start(at);
    // What a SIGKILL leaves: the file without its lock.
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
fn a_clock_that_was_set_back_between_two_starts_swaps_no_processes() {
    let by_wall_clock =
        format!("{:024}", std::time::UNIX_EPOCH.elapsed().expect("after it").as_nanos());
    let (first, second) = (start_time(), start_time());
    assert!(by_wall_clock < first && first <= second, "{by_wall_clock}, {first}, {second}");
}
