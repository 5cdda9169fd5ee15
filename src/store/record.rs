//! The form of one record, and the reading of a run of them. Pure: no I/O.
//!
//! A record is 20 bytes of head and its payload, integers little-endian:
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | length of the payload in bytes, at most [`LONGEST`] |
//! | 8 | sequence number, one more than that of the record before |
//! | 4 | CRC32C of the 12 bytes before it |
//! | 4 | CRC32C of the payload |
//!
//! The head has a checksum of its own so that its length can be trusted: a record that the file ends inside
//! of was being written when power was lost (*torn*), and no flipped bit can make one look so.

/// Bytes before the payload.
pub const HEAD: usize = 20;
/// The longest payload, in bytes; a longer one is a mistake and is refused before it is written.
pub const LONGEST: usize = 64 << 20;
/// Disks write whole sectors: after a power loss a file may have its new length while its last sectors were
/// never written and read as zeros.
const SECTOR: usize = 512;

/// What stands at some offset.
#[derive(Debug, PartialEq, Eq)]
pub enum Read<'a> {
    /// A whole record, and the offset after it.
    Whole {
        /// Its sequence number.
        sequence: u64,
        /// Its payload.
        payload: &'a [u8],
        /// Where the next one starts.
        next: usize,
    },
    /// The end of the data.
    End,
    /// A record whose writing was never finished; nothing follows it.
    Torn,
    /// A record that was written and is not what was written.
    Corrupt(&'static str),
}

/// Appends the record to `to`.
pub fn encode(sequence: u64, payload: &[u8], to: &mut Vec<u8>) {
    let mut head = [0; HEAD];
    head[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    head[4..12].copy_from_slice(&sequence.to_le_bytes());
    let check = crc32c::crc32c(&head[..12]);
    head[12..16].copy_from_slice(&check.to_le_bytes());
    head[16..].copy_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    to.extend_from_slice(&head);
    to.extend_from_slice(payload);
}

fn u32_at(data: &[u8], at: usize) -> u32 {
    data.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes).unwrap_or_default()
}

/// Whether the sectors at the end of `data` were never written, from some sector after `from` on.
fn unwritten_end(data: &[u8], from: usize) -> bool {
    let written = data.iter().rposition(|b| *b != 0).map_or(0, |last| last + 1);
    let sector = written.max(from).next_multiple_of(SECTOR);
    written <= from || sector < data.len()
}

/// Reads the record at `offset`. Any bytes are taken; none make it panic.
pub fn read(data: &[u8], offset: usize) -> Read<'_> {
    let rest = data.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return Read::End;
    }
    if rest.len() < HEAD {
        return Read::Torn;
    }
    let spoilt = |what| if unwritten_end(data, offset) { Read::Torn } else { Read::Corrupt(what) };
    if crc32c::crc32c(&rest[..12]) != u32_at(rest, 12) {
        return spoilt("its head");
    }
    let length = u32_at(rest, 0) as usize;
    if length > LONGEST {
        return Read::Corrupt("its length");
    }
    let Some(payload) = rest.get(HEAD..HEAD + length) else { return Read::Torn };
    if crc32c::crc32c(payload) != u32_at(rest, 16) {
        return spoilt("its payload");
    }
    let sequence = u64::from(u32_at(rest, 4)) | u64::from(u32_at(rest, 8)) << 32;
    Read::Whole { sequence, payload, next: offset + HEAD + length }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn three() -> (Vec<u8>, Vec<usize>) {
        let (mut data, mut at) = (Vec::new(), Vec::new());
        for (i, payload) in [&b"one"[..], b"", b"the third record"].iter().enumerate() {
            at.push(data.len());
            encode(i as u64 + 1, payload, &mut data);
        }
        (data, at)
    }

    #[test]
    fn a_cut_at_any_byte_of_the_last_record_is_torn_and_never_corrupt() {
        let (data, at) = three();
        for cut in at[2] + 1..data.len() {
            assert_eq!(read(&data[..cut], at[2]), Read::Torn, "cut at {cut}");
        }
        assert_eq!(read(&data, data.len()), Read::End);
    }

    #[test]
    fn a_flipped_bit_anywhere_is_corrupt_and_never_torn() {
        let (data, at) = three();
        for byte in at[0]..at[1] {
            for bit in 0..8 {
                let mut spoilt = data.clone();
                spoilt[byte] ^= 1 << bit;
                assert!(matches!(read(&spoilt, 0), Read::Corrupt(_)), "byte {byte} bit {bit}");
            }
        }
    }

    #[test]
    fn sectors_that_were_never_written_are_torn() {
        let (mut data, mut at) = (Vec::new(), 0);
        for sequence in 1..=2 {
            at = data.len();
            encode(sequence, &[7; 2000], &mut data);
        }
        let mut spoilt = data.clone();
        spoilt[at + HEAD + 1000..].fill(0);
        assert_eq!(read(&spoilt, at), Read::Torn, "the end of its payload");
        spoilt[at..].fill(0);
        assert_eq!(read(&spoilt, at), Read::Torn, "all of it");
        let mut spoilt = data;
        spoilt[at - 3] = 0;
        assert!(matches!(read(&spoilt, 0), Read::Corrupt(_)), "one zero in the middle is no tear");
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(2000))]
        #[test]
        fn arbitrary_bytes_never_panic(data in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..220) {
            let _ = read(&data, at);
        }

        #[test]
        fn what_was_written_is_read(payloads in proptest::collection::vec(
            proptest::collection::vec(any::<u8>(), 0..80), 0..8)) {
            let mut data = Vec::new();
            for (i, payload) in payloads.iter().enumerate() {
                encode(i as u64, payload, &mut data);
            }
            let mut at = 0;
            for (i, payload) in payloads.iter().enumerate() {
                let Read::Whole { sequence, payload: read, next } = read(&data, at) else {
                    return Err(TestCaseError::fail("not whole"));
                };
                prop_assert_eq!((sequence, read), (i as u64, &payload[..]));
                at = next;
            }
            prop_assert_eq!(read(&data, at), Read::End);
        }
    }
}
