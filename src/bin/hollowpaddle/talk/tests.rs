use super::*;

#[test]
fn a_client_that_still_reads_its_answer_is_not_idle() {
    let talk = Rc::new(Talk::new());
    drop(talk.turn());
    let idle = talk.limit(true).expect("it idles");
    assert!(idle <= Instant::now() + IDLE_IN_A_CROWD);
    assert!(talk.limit(false) > Some(idle), "while there is room it may stay");
    talk.wrote(true);
    let reading = talk.limit(true).expect("there is a limit");
    assert!(reading > Instant::now() + UNREAD - LOOK, "the end of its answer is not taken yet");
    std::thread::sleep(Duration::from_millis(20));
    talk.wrote(true);
    assert_eq!(talk.limit(true), Some(reading), "waiting again is no progress");
    talk.wrote(false);
    let idle_again = talk.limit(true).expect("it idles");
    assert!(idle_again >= idle + Duration::from_millis(20), "it idles from here");
}
