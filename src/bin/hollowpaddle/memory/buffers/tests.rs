use std::task::Poll;

use super::*;

#[test]
fn memory_is_free_again_once_the_last_copy_is_dropped() {
    let memory = BufferMemory::new(100);
    let reserved = memory.reserve(80).expect("all is free");
    assert!(memory.reserve(30).is_none());
    // What the data does not need is free at once.
    let bytes = reserved.attach(Bytes::from_static(b"0123456789"));
    let copy = bytes.slice(2..4);
    drop(bytes);
    assert!(memory.reserve(91).is_none(), "a copy exists");
    assert!(memory.reserve(90).is_some());
    assert_eq!(&copy[..], b"23");
    drop(copy);
    assert!(memory.reserve(100).is_some());
}

#[test]
fn who_waits_for_memory_is_served_before_others() {
    let memory = BufferMemory::new(100);
    let reserved = memory.reserve(60);
    let mut waiting = std::pin::pin!(memory.wait_for(1000));
    let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
    assert!(waiting.as_mut().poll(&mut cx).is_pending(), "60 of 100 are reserved");
    assert!(memory.reserve(1).is_none(), "what is free is kept for the one that waits");
    drop(reserved);
    let Poll::Ready(Some(all)) = waiting.as_mut().poll(&mut cx) else { panic!("all is free") };
    assert!(memory.reserve(1).is_none());
    drop(all);
    assert!(memory.reserve(100).is_some());
}
