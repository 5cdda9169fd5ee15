use proptest::prelude::*;

use super::*;

fn all(objects: &mut Objects) -> Vec<String> {
    let mut found = Vec::new();
    while let Ok(Some(object)) = objects.take() {
        found.push(String::from_utf8(object.to_vec()).expect("UTF-8"));
    }
    found
}

/// Strings with characters that would begin or end an object or a string.
const IDS: [&str; 5] = ["s-1", "}{", "\\\"}", "\\\\", "a\\u007db"];

proptest! {
    #[test]
    fn objects_are_found_in_any_layout_and_split(
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
fn unexpected_byte_and_overlong_object_are_errors() {
    let mut reader = Objects::new(8);
    reader.add(b"\n [1]");
    assert_eq!(reader.take(), Err(ObjectError::UnexpectedByte(b'[')));
    let mut reader = Objects::new(8);
    reader.add(b"{\"a\":1}\n{\"a\":1}{\"b\":");
    assert_eq!(all(&mut reader).len(), 2, "each is within the bound");
    assert_eq!(reader.take(), Ok(None));
    reader.add(b"1234");
    assert_eq!(reader.take(), Err(ObjectError::TooLong(8)));
}
