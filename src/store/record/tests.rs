use proptest::prelude::*;

use super::*;

fn three_records() -> (Vec<u8>, Vec<usize>) {
    let (mut data, mut at) = (Vec::new(), Vec::new());
    for (i, payload) in [&b"one"[..], b"", b"the third record"].iter().enumerate() {
        at.push(data.len());
        encode(i as u64 + 1, payload, &mut data);
    }
    (data, at)
}

#[test]
fn truncated_record_is_torn_and_never_corrupt() {
    let (data, at) = three_records();
    for cut in at[2] + 1..data.len() {
        assert_eq!(read(&data[..cut], at[2]), Read::Torn, "cut at {cut}");
    }
    assert_eq!(read(&data, data.len()), Read::End);
}

#[test]
fn flipped_bit_is_corrupt_and_never_torn() {
    let (data, at) = three_records();
    for byte in at[0]..at[1] {
        for bit in 0..8 {
            let mut corrupted = data.clone();
            corrupted[byte] ^= 1 << bit;
            assert!(matches!(read(&corrupted, 0), Read::Corrupt(_)), "byte {byte} bit {bit}");
        }
    }
}

#[test]
fn unwritten_sectors_are_torn() {
    let (mut data, mut at) = (Vec::new(), 0);
    for sequence in 1..=2 {
        at = data.len();
        encode(sequence, &[7; 2000], &mut data);
    }
    let mut corrupted = data.clone();
    corrupted[at + HEADER_BYTES + 1000..].fill(0);
    assert_eq!(read(&corrupted, at), Read::Torn, "the end of its payload");
    corrupted[at..].fill(0);
    assert_eq!(read(&corrupted, at), Read::Torn, "the complete record");
    let mut corrupted = data;
    corrupted[at - 3] = 0;
    assert!(matches!(read(&corrupted, 0), Read::Corrupt(_)), "a single zero byte is not torn");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]
    #[test]
    fn arbitrary_bytes_never_panic(data in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..220) {
        let _ = read(&data, at);
    }

    #[test]
    fn written_records_are_read_back(payloads in proptest::collection::vec(
        proptest::collection::vec(any::<u8>(), 0..80), 0..8)) {
        let mut data = Vec::new();
        for (i, payload) in payloads.iter().enumerate() {
            encode(i as u64, payload, &mut data);
        }
        let mut at = 0;
        for (i, payload) in payloads.iter().enumerate() {
            let Read::Complete { sequence, payload: read, next } = read(&data, at) else {
                return Err(TestCaseError::fail("incomplete record"));
            };
            prop_assert_eq!((sequence, read), (i as u64, &payload[..]));
            at = next;
        }
        prop_assert_eq!(read(&data, at), Read::End);
    }
}
