use super::*;

const SHARE: usize = 16;
const LIMIT: usize = 8 * MAX_PIECE_BYTES;

/// Memory of which one queue may take `n` blocks.
fn memory_for(n: usize) -> BufferMemory {
    BufferMemory::new(n * SHARE * MAX_PIECE_BYTES)
}

#[test]
fn pieces_come_back_in_order_and_their_memory_is_free_again() {
    let memory = memory_for(3);
    let mut queue = BlockQueue::new(memory.clone(), SHARE);
    let mut written = Vec::new();
    for (n, size) in [1, MAX_PIECE_BYTES, 20_000, 7].into_iter().enumerate() {
        assert!(queue.reserve(LIMIT));
        let piece = vec![n as u8; size];
        queue.append(&piece);
        written.extend(piece);
    }
    queue.release_spare();
    assert_eq!(queue.len(), written.len());
    let mut read = Vec::new();
    while let Some(block) = queue.pop() {
        read.extend_from_slice(&block);
    }
    assert_eq!(read, written);
    assert!(memory.reserve(memory.total()).is_some());
}

#[test]
fn small_pieces_share_a_block_and_no_more_is_read_than_its_share() {
    let mut queue = BlockQueue::new(memory_for(2), SHARE);
    let mut pieces = 0;
    while queue.reserve(LIMIT) {
        queue.append(b"x");
        pieces += 1;
    }
    assert!(pieces > MAX_PIECE_BYTES && pieces <= 2 * MAX_PIECE_BYTES, "{pieces}");
}

#[test]
fn no_more_is_read_than_the_limit() {
    let mut queue = BlockQueue::new(memory_for(32), SHARE);
    let mut read = 0;
    while queue.reserve(LIMIT) {
        queue.append(&[0; MAX_PIECE_BYTES]);
        read += MAX_PIECE_BYTES;
    }
    assert_eq!(read, LIMIT);
}
