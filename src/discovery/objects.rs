//! Cuts a stream of bytes into the JSON objects on it, however they are laid out: one to a line, indented over
//! many, several in one piece, one in many pieces. Between them is white space, which is a sign of life (FLEET,
//! "Lists may come indented"). Each byte is looked at once.

use bytes::{Buf, BytesMut};

/// What can't be a list on a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ObjectError {
    /// A byte where an object has to begin.
    #[error("byte {0:#04x} where an object begins")]
    Stray(u8),
    /// More bytes than an object may have, and no end.
    #[error("an object of over {0} bytes")]
    Endless(usize),
}

/// The bytes of a watch that no whole object was made of yet.
#[derive(Debug)]
pub struct Objects {
    held: BytesMut,
    most: usize,
    /// Bytes of `held` looked at.
    seen: usize,
    /// Braces open there, outside of texts.
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl Objects {
    /// None so far; each may have `most` bytes.
    pub fn new(most: usize) -> Self {
        let (held, in_text) = (BytesMut::new(), false);
        Self { held, most, seen: 0, depth: 0, in_text, escaped: false }
    }

    /// Takes in the next piece.
    pub fn add(&mut self, piece: &[u8]) {
        self.held.extend_from_slice(piece);
    }

    /// The next whole object, if there is one by now.
    ///
    /// # Errors
    /// [`ObjectError`]; the stream is of no more use.
    pub fn take(&mut self) -> Result<Option<BytesMut>, ObjectError> {
        if self.depth == 0 {
            let blank = self.held.iter().take_while(|b| b.is_ascii_whitespace()).count();
            self.held.advance(blank);
            match self.held.first() {
                None => return Ok(None),
                Some(b'{') => {}
                Some(stray) => return Err(ObjectError::Stray(*stray)),
            }
        }
        for (at, byte) in self.held.iter().enumerate().skip(self.seen) {
            match (self.in_text, byte) {
                (true, _) if self.escaped => self.escaped = false,
                (true, b'\\') => self.escaped = true,
                (_, b'"') => self.in_text = !self.in_text,
                (false, b'{') => self.depth += 1,
                (false, b'}') => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                self.seen = 0;
                return Ok(Some(self.held.split_to(at + 1)));
            }
        }
        self.seen = self.held.len();
        if self.seen > self.most { Err(ObjectError::Endless(self.most)) } else { Ok(None) }
    }
}

#[cfg(test)]
mod tests;
