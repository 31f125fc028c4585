use proptest::prelude::*;
use proptest::test_runner::TestRunner;

use super::*;

fn seqs(decoder: &mut ListDecoder, text: &[u8]) -> Vec<u64> {
    decoder.decode(text).expect("lists").iter().map(|list| list.seq).collect()
}

/// Guards against lists that depend on their layout or on how they are split: indented or on one line, with empty lines
/// between them or none, in pieces of any length, the same lists are decoded in the same order.
#[test]
fn lists_are_decoded_whatever_their_layout_and_however_they_are_split() {
    let one = (any::<bool>(), 0..3usize, 0..4usize);
    let lists = (prop::collection::vec(one, 1..6), 1..40usize);
    let check = |(lists, piece): (Vec<(bool, usize, usize)>, usize)| {
        let mut text = String::new();
        for (seq, (indented, hosts, lines)) in lists.iter().enumerate() {
            let hosts = vec![serde_json::json!({"host": "a}{", "health": "up"}); *hosts];
            let list = serde_json::json!({"seq": seq, "whole": seq == 0, "hosts": hosts});
            text += &if *indented { format!("{list:#}") } else { list.to_string() };
            text += &"\r\n".repeat(*lines);
        }
        let mut decoder = ListDecoder::default();
        let decoded: Vec<u64> =
            text.as_bytes().chunks(piece).flat_map(|piece| seqs(&mut decoder, piece)).collect();
        prop_assert_eq!(decoded, (0..lists.len() as u64).collect::<Vec<_>>());
        prop_assert!(!decoder.has_partial_list());
        Ok(())
    };
    TestRunner::new(gradepaddle_http::testing::deterministic_config()).run(&lists, check).expect("all cases");
}

/// Guards the process against input that is not a list, and its memory against a list without end.
#[test]
fn invalid_lists_are_rejected_and_a_partial_list_waits() {
    for invalid in ["nonsense", "{\"seq\":x}", "{\"seq\":1}]", "[]", "{\"seq\":\"1\"}"] {
        assert!(ListDecoder::default().decode(invalid.as_bytes()).is_err(), "{invalid}");
    }
    let mut decoder = ListDecoder::default();
    assert!(seqs(&mut decoder, b"{\"seq\":4,\n").is_empty());
    assert!(decoder.has_partial_list());
    assert_eq!(seqs(&mut decoder, b"\"whole\":true}\n\n{"), [4]);
    assert!(decoder.has_partial_list());
    assert!(decoder.decode(&[b' '; MAX_LIST]).is_err());
}
