use proptest::prelude::*;
use proptest::test_runner::TestRunner;

use super::*;
use crate::buffers::Pool;
use crate::testing::deterministic_config;

fn runner() -> TestRunner {
    TestRunner::new(deterministic_config())
}

/// Guards against a panic on any input, and against an end of a head that depends on how the input was split.
#[test]
fn any_head_is_parsed_or_rejected() {
    let line = prop_oneof![
        Just("GET /a?b HTTP/1.1".to_owned()),
        Just("Content-Length: 5, 5".to_owned()),
        Just("Transfer-Encoding: chunked".to_owned()),
        "[ -~]{0,40}",
        "\\PC{0,20}",
    ];
    let lines = (prop::collection::vec(line, 1..8), any::<bool>(), 0..200usize);
    let check = |(lines, bare, cut): (Vec<String>, bool, usize)| {
        let lines: Vec<_> = lines.into_iter().filter(|line| !line.is_empty()).collect();
        let newline = if bare { "\n" } else { "\r\n" };
        let text = lines.join(newline) + newline + newline;
        let mut input = Pool::default().chain();
        input.push(text.as_bytes());
        prop_assume!(!lines.is_empty());
        let end = find_end(&input, 0);
        prop_assert_eq!(end, Some(text.len()));
        prop_assert_eq!(find_end(&input, cut.min(text.len() - 1)), end);
        if let Ok(head) = Head::parse(text.into_bytes()) {
            let request = head.check_request().is_ok();
            prop_assert!(!request || head.target().starts_with('/'));
            let framing = head.framing(Framing::Length(0));
            let both = head.get("content-length").is_some() && head.get("transfer-encoding").is_some();
            prop_assert!(!both || framing.is_err());
        }
        Ok(())
    };
    runner().run(&lines, check).expect("all cases");
}

/// Guards against a query that is taken for a part of the path when a request is routed.
#[test]
fn a_path_ends_at_its_query() {
    let path = |target: &str| {
        let head = Head::parse(format!("GET {target} HTTP/1.1\r\n\r\n").into_bytes()).expect("a head");
        head.path().to_owned()
    };
    for (target, expected) in [("/", "/"), ("/a/b", "/a/b"), ("/a?b", "/a"), ("/a?b=/c?d", "/a"), ("/?", "/")]
    {
        assert_eq!(path(target), expected);
    }
}
