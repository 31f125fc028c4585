use super::*;

/// Checks that ranges and lists of values are parsed exactly, and that malformed ones are rejected.
#[test]
fn ranges_and_lists_are_read_and_nonsense_is_named() {
    assert_eq!(parse_values("1..2:0.5").expect("a range"), vec![1.0, 1.5, 2.0]);
    assert_eq!(parse_values("3,1").expect("a list"), vec![3.0, 1.0]);
    for bad in ["1..2", "2..1:1", "1..2:0", "a,b", "0..1e9:1"] {
        assert!(parse_values(bad).is_err(), "{bad}");
    }
}
