use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Wake;

use super::*;

#[derive(Default)]
struct CountingWaker(AtomicUsize);

impl Wake for CountingWaker {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

#[test]
fn next_piece_waits_until_the_last_copy_of_the_one_before_is_dropped() {
    let (slot, woken) = (PieceSlot::default(), Arc::new(CountingWaker::default()));
    let waker = Waker::from(woken.clone());
    let mut cx = Context::from_waker(&waker);
    assert!(slot.poll_free(&mut cx).is_ready());
    let mut piece = slot.hold(Bytes::from_static(b"piece"));
    assert!(slot.poll_free(&mut cx).is_pending());
    let copy = piece.split_to(2);
    drop(piece);
    assert_eq!((&copy[..], woken.0.load(Ordering::Relaxed)), (&b"pi"[..], 0));
    drop(copy);
    assert_eq!(woken.0.load(Ordering::Relaxed), 1);
    assert!(slot.poll_free(&mut cx).is_ready());
}
