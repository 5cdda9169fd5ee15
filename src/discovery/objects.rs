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
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn all(objects: &mut Objects) -> Vec<String> {
        let mut found = Vec::new();
        while let Ok(Some(object)) = objects.take() {
            found.push(String::from_utf8(object.to_vec()).expect("UTF-8"));
        }
        found
    }

    /// A text with what ends or begins an object outside of one.
    const IDS: [&str; 5] = ["s-1", "}{", "\\\"}", "\\\\", "a\\u007db"];

    proptest! {
        #[test]
        fn objects_are_found_however_they_are_laid_out_and_cut(
            ids in proptest::collection::vec(0..IDS.len(), 1..6),
            indented in any::<bool>(),
            cuts in proptest::collection::vec(any::<proptest::sample::Index>(), 0..12),
        ) {
            let (nl, tab) = if indented { ("\n", "\r\n\t ") } else { ("", "") };
            let objects: Vec<String> = ids
                .iter()
                .map(|i| format!("{{{tab}\"m\":[{nl}{{\"id\":{tab}\"{}\"}}]{nl}}}", IDS[*i]))
                .collect();
            let stream = format!("\n{}\n\n", objects.join("\n\n"));
            let mut at: Vec<usize> = cuts.iter().map(|c| c.index(stream.len())).collect();
            at.extend([0, stream.len()]);
            at.sort_unstable();
            let mut reader = Objects::new(stream.len());
            let mut found = Vec::new();
            for piece in at.windows(2) {
                reader.add(&stream.as_bytes()[piece[0]..piece[1]]);
                found.extend(all(&mut reader));
            }
            prop_assert_eq!(found, objects);
        }
    }

    #[test]
    fn what_is_no_object_or_has_no_end_is_told_apart() {
        let mut reader = Objects::new(8);
        reader.add(b"\n [1]");
        assert_eq!(reader.take(), Err(ObjectError::Stray(b'[')));
        let mut reader = Objects::new(8);
        reader.add(b"{\"a\":1}\n{\"a\":1}{\"b\":");
        assert_eq!(all(&mut reader).len(), 2, "each is within the bound");
        assert_eq!(reader.take(), Ok(None));
        reader.add(b"1234");
        assert_eq!(reader.take(), Err(ObjectError::Endless(8)));
    }
}
