use super::*;

#[test]
fn long_head_waits_for_memory_and_holds_it() {
    let memory = HeadMemory::for_requests(BufferMemory::new(LONG_HEAD_RESERVATION_BYTES));
    let mut cx = Context::from_waker(std::task::Waker::noop());
    let [mut first, mut second] = [(); 2].map(|()| HeadGate::new(memory.clone(), 8192));
    for gate in [&mut first, &mut second] {
        assert!(gate.poll_open(&mut cx).is_ready());
        gate.record(8191);
        assert!(gate.poll_open(&mut cx).is_ready(), "a short head needs no memory");
        // The next head is another one.
        gate.restart();
        gate.record(8191);
        assert!(gate.poll_open(&mut cx).is_ready() && !gate.is_reserved());
        gate.record(1);
    }
    assert!(first.poll_open(&mut cx).is_ready() && first.is_reserved());
    assert!(second.poll_open(&mut cx).is_pending() && !second.is_reserved());
    first.restart();
    assert!(second.poll_open(&mut cx).is_pending(), "the buffers stay with the connection");
    drop(first);
    assert!(second.poll_open(&mut cx).is_ready() && second.is_reserved());
}

#[test]
fn heads_of_responses_do_not_wait_for_the_requests_that_wait_for_them() {
    let shared = BufferMemory::new(LONG_HEAD_RESERVATION_BYTES);
    let own = BufferMemory::new(LONG_HEAD_RESERVATION_BYTES);
    let requests = HeadMemory::for_requests(shared.clone());
    let responses = HeadMemory::for_responses(shared, own);
    let mut cx = Context::from_waker(std::task::Waker::noop());
    let [mut first, mut second] = [(); 2].map(|()| HeadGate::new(requests.clone(), 0));
    assert!(first.poll_open(&mut cx).is_ready());
    assert!(second.poll_open(&mut cx).is_pending());
    let mut response = HeadGate::new(responses, 0);
    assert!(response.poll_open(&mut cx).is_ready() && response.is_reserved());
}
