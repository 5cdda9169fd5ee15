//! The encoding of one record, and the reading of consecutive records. Pure: no I/O.
//!
//! A record is a header of 20 bytes and the payload, with integers in little-endian order:
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | length of the payload in bytes, at most [`MAX_PAYLOAD_BYTES`] |
//! | 8 | sequence number, one more than that of the record before |
//! | 4 | CRC32C of the 12 bytes before it |
//! | 4 | CRC32C of the payload |
//!
//! The header has its own checksum so that its length can be trusted: a record that extends past the end of the
//! file was being written when power was lost (*torn*), and no flipped bit can make one look torn.

/// Size of the header before the payload, in bytes.
pub const HEADER_BYTES: usize = 20;
/// Maximum size of a payload, in bytes. A longer one is a bug and is refused before it is written.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;
/// Disks write complete sectors: after a power loss a file may have its new length while its last sectors were
/// never written and read as zeros.
const SECTOR_BYTES: usize = 512;

/// What is found at an offset.
#[derive(Debug, PartialEq, Eq)]
pub enum Read<'a> {
    /// A complete record.
    Complete {
        /// Its sequence number.
        sequence: u64,
        /// Its payload.
        payload: &'a [u8],
        /// The offset of the next record.
        next: usize,
    },
    /// The end of the data.
    End,
    /// A record that was not completely written; nothing follows it.
    Torn,
    /// A record that differs from what was written; says which part.
    Corrupt(&'static str),
}

/// Appends an encoded record to `to`.
pub fn encode(sequence: u64, payload: &[u8], to: &mut Vec<u8>) {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    header[4..12].copy_from_slice(&sequence.to_le_bytes());
    let checksum = crc32c::crc32c(&header[..12]);
    header[12..16].copy_from_slice(&checksum.to_le_bytes());
    header[16..].copy_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    to.extend_from_slice(&header);
    to.extend_from_slice(payload);
}

fn u32_at(data: &[u8], at: usize) -> u32 {
    data.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes).unwrap_or_default()
}

/// Whether the last sectors of `data` were never written, starting at some sector after `from`.
fn unwritten_tail(data: &[u8], from: usize) -> bool {
    let written = data.iter().rposition(|b| *b != 0).map_or(0, |last| last + 1);
    let sector = written.max(from).next_multiple_of(SECTOR_BYTES);
    written <= from || sector < data.len()
}

/// Reads the record at `offset`. Accepts arbitrary bytes and never panics.
pub fn read(data: &[u8], offset: usize) -> Read<'_> {
    let rest = data.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return Read::End;
    }
    if rest.len() < HEADER_BYTES {
        return Read::Torn;
    }
    let defect = |what| if unwritten_tail(data, offset) { Read::Torn } else { Read::Corrupt(what) };
    if crc32c::crc32c(&rest[..12]) != u32_at(rest, 12) {
        return defect("its head");
    }
    let length = u32_at(rest, 0) as usize;
    if length > MAX_PAYLOAD_BYTES {
        return Read::Corrupt("its length");
    }
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else { return Read::Torn };
    if crc32c::crc32c(payload) != u32_at(rest, 16) {
        return defect("its payload");
    }
    let sequence = u64::from(u32_at(rest, 4)) | u64::from(u32_at(rest, 8)) << 32;
    Read::Complete { sequence, payload, next: offset + HEADER_BYTES + length }
}

#[cfg(test)]
mod tests;
