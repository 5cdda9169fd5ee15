use super::*;

#[test]
fn a_client_that_still_reads_its_answer_is_not_idle() {
    let connection = Rc::new(ClientConnection::new(None));
    drop(connection.begin_request());
    let idle = connection.limit(Room::Scarce).expect("it idles");
    assert!(idle <= Instant::now() + IDLE_IN_A_CROWD);
    assert!(connection.limit(Room::Plenty) > Some(idle), "while there is room it may stay");
    connection.record_write(true);
    let reading = connection.limit(Room::Scarce).expect("there is a limit");
    assert!(reading > Instant::now() + UNREAD - LOOK, "the end of its answer is not taken yet");
    std::thread::sleep(Duration::from_millis(20));
    connection.record_write(true);
    assert_eq!(connection.limit(Room::Scarce), Some(reading), "waiting again is no progress");
    connection.record_write(false);
    let idle_again = connection.limit(Room::Scarce).expect("it idles");
    assert!(idle_again >= idle + Duration::from_millis(20), "it idles from here");
}

#[test]
fn a_silent_connection_keeps_nobody_waiting_for_a_full_table() {
    let connection = ClientConnection::new(None);
    let by = |room| connection.limit(room).expect("it has a limit");
    assert_eq!(by(Room::Scarce), by(Room::Plenty), "there is room");
    assert!(by(Room::Full) <= Instant::now() + SILENT_IN_A_FULL_TABLE);
    // Slow clients are owed their time also then.
    connection.state.set(State::Asking(Instant::now()));
    assert_eq!(by(Room::Full), by(Room::Plenty));
}
