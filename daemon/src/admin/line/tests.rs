use proptest::prelude::*;

use super::*;

/// Guards against a command that depends on how the network has split it, and against a truncated command that is executed.
#[test]
fn a_line_is_the_same_however_it_is_split() {
    let byte = prop_oneof![Just(b'a'), Just(b' '), Just(b'\r'), Just(0xc3), Just(0xbc)];
    let text = prop::collection::vec(byte, 0..MAX_LINE + 9);
    proptest!(gradepaddle_http::testing::deterministic_config(), |(text in text, ended: bool, piece_length in 1..40usize)| {
        let mut sent = text.clone();
        if ended {
            sent.push(b'\n');
        }
        let mut reader = LineReader::default();
        let got = sent.chunks(piece_length).find_map(|piece| reader.take(piece));
        let fits = text.len() < MAX_LINE;
        let bare = text.strip_suffix(b"\r").unwrap_or(&text);
        let expected = match std::str::from_utf8(bare) {
            _ if !fits => Some(Err(InvalidLine::TooLong)),
            _ if !ended => None,
            Err(_) => Some(Err(InvalidLine::NotUtf8)),
            Ok(text) if text.contains('\r') => Some(Err(InvalidLine::ControlCharacter)),
            Ok(text) => Some(Ok(text.to_owned())),
        };
        prop_assert_eq!(got, expected);
    });
    for sent in ["drain\nresume\n", "drain\r\nresume", "drain\n\n"] {
        assert_eq!(LineReader::default().take(sent.as_bytes()), Some(Err(InvalidLine::TrailingData)));
    }
    assert_eq!(LineReader::default().take(b"drain\r\n"), Some(Ok("drain".to_owned())));
}
