use super::*;

const PIECE_BYTES: usize = 4096;
const LARGE: usize = PIECES_PER_PAIR * (MAX_PIECE_BYTES - PIECE_BYTES);

#[test]
fn large_messages_are_read_in_large_pieces_while_memory_is_left() {
    let memory = BufferMemory::new(LARGE);
    let [mut first, mut second] = [(); 2].map(|()| PieceReader::new(PIECE_BYTES, memory.clone()));
    // A piece that is not full ends a message, or its sender is slow.
    for full in [true, true, true, false, true, true, true] {
        first.record(full);
        assert_eq!(first.max_piece_bytes(), PIECE_BYTES);
    }
    for reader in [&mut first, &mut second] {
        (0..LARGE_MESSAGE_PIECES).for_each(|_| reader.record(true));
    }
    let sizes = [first.max_piece_bytes(), second.max_piece_bytes()];
    assert_eq!(sizes, [MAX_PIECE_BYTES, PIECE_BYTES]);
    drop(first);
    (0..LARGE_MESSAGE_PIECES).for_each(|_| second.record(true));
    assert_eq!(second.max_piece_bytes(), MAX_PIECE_BYTES);
}

#[test]
fn pieces_that_are_large_already_need_no_memory() {
    let memory = BufferMemory::new(LARGE);
    let mut reader = PieceReader::new(MAX_PIECE_BYTES, memory.clone());
    (0..100).for_each(|_| reader.record(true));
    assert!(memory.reserve(LARGE).is_some());
}
