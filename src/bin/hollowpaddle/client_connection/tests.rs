use super::*;

#[test]
fn a_client_that_still_reads_its_response_is_not_idle() {
    let connection = Rc::new(ClientConnection::new(None, BufferMemory::new(0)));
    drop(connection.begin_request());
    let idle = connection.expires_at(Room::Scarce).expect("it idles");
    assert!(idle <= Instant::now() + IDLE_TIMEOUT_CROWDED);
    assert!(connection.expires_at(Room::Plenty) > Some(idle), "while there is room it may stay");
    connection.record_write(true);
    let reading = connection.expires_at(Room::Scarce).expect("there is a limit");
    assert!(
        reading > Instant::now() + RESPONSE_STALL_TIMEOUT - CHECK_INTERVAL,
        "the end of its answer is not taken yet"
    );
    std::thread::sleep(Duration::from_millis(20));
    connection.record_write(true);
    assert_eq!(connection.expires_at(Room::Scarce), Some(reading), "waiting again is no progress");
    connection.record_write(false);
    let idle_again = connection.expires_at(Room::Scarce).expect("it idles");
    assert!(idle_again >= idle + Duration::from_millis(20), "it idles from here");
}

#[test]
fn silent_connections_time_out_early_when_the_table_is_full() {
    let connection = ClientConnection::new(None, BufferMemory::new(0));
    let by = |room| connection.expires_at(room).expect("it has a limit");
    assert_eq!(by(Room::Scarce), by(Room::Plenty), "there is room");
    assert!(by(Room::Full) <= Instant::now() + SILENT_TIMEOUT_FULL);
    // Slow clients keep their full timeout.
    connection.state.set(State::Asking(Instant::now()));
    assert_eq!(by(Room::Full), by(Room::Plenty));
}

/// Guards against a head that waits for memory after a stall counting from the stall's end.
#[test]
fn request_whose_head_waited_for_memory_arrived_before_it_waited() {
    let connection = Rc::new(ClientConnection::new(None, BufferMemory::new(0)));
    let now = Instant::now();
    let arrived =
        now.checked_sub(Duration::from_millis(300)).expect("the machine is up for longer");
    connection.record_memory_wait(Some(arrived));
    connection.record_memory_wait(Some(now));
    connection.record_memory_wait(None);
    assert_eq!(connection.begin_request().arrived(now), arrived);
    assert_eq!(connection.begin_request().arrived(now), now, "the next one did not wait");
}

/// Guards against a request that ends late, because its body is still drained, changing the state of the next one.
#[test]
fn request_that_ends_late_leaves_the_next_one_in_flight() {
    let connection = Rc::new(ClientConnection::new(None, BufferMemory::new(0)));
    let drained = connection.begin_request();
    let input = drained.input(Peer::default());
    let next = connection.begin_request();
    input.record_end(true);
    drained.record_received();
    drained.record_draining();
    drop(drained);
    assert_eq!(connection.expires_at(Room::Full), None, "the next request is in flight");
    assert!(!connection.request_received.get(), "its body is still to come");
    assert!(!connection.draining.get(), "it is not answered");
    assert!(!connection.next_head_begun.get(), "nothing came behind it");
    drop(next);
    assert!(matches!(connection.state.get(), State::Idle(_)));
}

/// Guards against a connection counting as idle whose next request has begun in the piece that ended the last one.
#[test]
fn connection_with_a_part_of_the_next_head_is_not_idle() {
    let connection = Rc::new(ClientConnection::new(None, BufferMemory::new(0)));
    let request = connection.begin_request();
    request.input(Peer::default()).record_end(true);
    drop(request);
    assert!(matches!(connection.state.get(), State::Asking(_)));
    drop(connection.begin_request());
    assert!(matches!(connection.state.get(), State::Idle(_)), "nothing came behind the next one");
}
