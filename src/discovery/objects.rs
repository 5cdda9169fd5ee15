//! Cuts a stream of bytes into the JSON objects on it, however they are laid out: one to a line, indented over
//! many, several in one piece, one in many pieces. Between them is white space, which is a sign of life (FLEET,
//! "Lists may come indented"). Each byte is looked at once.

use bytes::{Buf, BytesMut};

/// What can't be a list on a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ObjectError {
    /// A byte where an object has to begin.
    #[error("unexpected byte {0:#04x} instead of the start of an object")]
    UnexpectedByte(u8),
    /// More bytes than an object may have, and no end.
    #[error("object longer than {0} bytes")]
    TooLong(usize),
}

/// The bytes of a watch that no whole object was made of yet.
#[derive(Debug)]
pub struct Objects {
    buffer: BytesMut,
    max_bytes: usize,
    /// Bytes of `buffer` looked at.
    scanned: usize,
    /// Braces open there, outside of texts.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Objects {
    /// None so far; each may have `most` bytes.
    pub fn new(max_bytes: usize) -> Self {
        let (buffer, in_string) = (BytesMut::new(), false);
        Self { buffer, max_bytes, scanned: 0, depth: 0, in_string, escaped: false }
    }

    /// Takes in the next piece.
    pub fn add(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// The next whole object, if there is one by now.
    ///
    /// # Errors
    /// [`ObjectError`]; the stream is of no more use.
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
