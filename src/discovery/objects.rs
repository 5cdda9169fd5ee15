//! Splits a byte stream into JSON objects, whatever their layout: one per line, indented over several lines, several in
//! one chunk or one across many chunks. White space between objects serves as a heartbeat (FLEET, "Lists may come
//! indented"). Each byte is scanned once.

use bytes::{Buf, BytesMut};

/// The data of a watch is not a sequence of objects of acceptable size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ObjectError {
    /// A byte other than `{` or white space where an object has to begin.
    #[error("unexpected byte {0:#04x} instead of the start of an object")]
    UnexpectedByte(u8),
    /// The object exceeds this number of bytes without an end.
    #[error("object longer than {0} bytes")]
    TooLong(usize),
}

/// Incremental splitter; buffers the bytes of incomplete objects.
#[derive(Debug)]
pub struct Objects {
    buffer: BytesMut,
    max_bytes: usize,
    /// Number of bytes of `buffer` that were scanned.
    scanned: usize,
    /// Open braces up to there, outside of strings.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Objects {
    /// Creates an empty splitter for objects of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        let (buffer, in_string) = (BytesMut::new(), false);
        Self { buffer, max_bytes, scanned: 0, depth: 0, in_string, escaped: false }
    }

    /// Appends received bytes.
    pub fn add(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Takes the next complete object; `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`ObjectError`]; the stream can't be used any further.
    pub fn take(&mut self) -> Result<Option<BytesMut>, ObjectError> {
        if self.depth == 0 {
            let blank = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
            self.buffer.advance(blank);
            match self.buffer.first() {
                None => return Ok(None),
                Some(b'{') => {}
                Some(byte) => return Err(ObjectError::UnexpectedByte(*byte)),
            }
        }
        for (at, byte) in self.buffer.iter().enumerate().skip(self.scanned) {
            match (self.in_string, byte) {
                (true, _) if self.escaped => self.escaped = false,
                (true, b'\\') => self.escaped = true,
                (_, b'"') => self.in_string = !self.in_string,
                (false, b'{') => self.depth += 1,
                (false, b'}') => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                self.scanned = 0;
                return Ok(Some(self.buffer.split_to(at + 1)));
            }
        }
        self.scanned = self.buffer.len();
        if self.scanned > self.max_bytes {
            Err(ObjectError::TooLong(self.max_bytes))
        } else {
            Ok(None)
        }
    }
}

#[cfg(test)]
mod tests;
