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
