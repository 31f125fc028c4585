//! Truncated, mutated and random bodies are rejected or accepted, but never cause a panic.

mod common;

use common::valid_body;
use googletest::prelude::*;
use gradepaddle_config::{Configuration, Settings};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert, proptest};
use proptest::sample::Index;

const SETTINGS: &str = include_str!("../../examples/system/node.toml");

#[gtest]
fn every_truncated_body_is_rejected() {
    let body = valid_body().to_string().into_bytes();
    for end in 0..body.len() {
        let findings = Configuration::parse(&body[..end]).expect_err("a truncated body is incomplete");
        expect_that!(findings.as_slice(), not(is_empty()), "truncated at {end}");
    }
}

/// Guards against a body whose values are parsed into many times its own memory: 400,000 values are allowed, and no more,
/// also in a part of the body that is ignored.
#[gtest]
fn a_body_with_too_many_values_is_rejected() {
    for (items, too_many) in [(399_000, false), (400_000, true)] {
        let list = vec!["0"; items].join(",");
        let mut body = valid_body().to_string();
        body.insert_str(1, &format!("\"ignored\":[{list}],"));
        let parsed = Configuration::parse(body.as_bytes());
        expect_that!(parsed.is_err(), eq(too_many), "{items} values");
        if let Err(findings) = parsed {
            expect_that!(findings.to_string(), contains_substring("more than 400000 values"));
        }
    }
}

/// Guards against a response that is many times as long as the body, with a line for each of its findings.
#[gtest]
fn of_many_findings_the_first_are_displayed_and_the_others_counted() {
    let body = format!("{{\"version\":1{}}}", ",\"a\":0".repeat(1_501));
    let findings = Configuration::parse(body.as_bytes()).expect_err("the field is there many times");
    expect_that!(findings.as_slice().len(), eq(1_500));
    let text = findings.to_string();
    expect_that!(text.lines().count(), eq(1_001));
    expect_that!(text, ends_with("\nand 500 more"));
}

/// Replaces bytes of a text by arbitrary bytes or by bytes that are significant in JSON and TOML.
fn mutated(text: &[u8], edits: &[(Index, u8, bool)]) -> Vec<u8> {
    let significant = b"{}[]\",:\\0-.eE=\n\xff";
    let mut text = text.to_vec();
    for (position, byte, any_byte) in edits {
        let position = position.index(text.len());
        text[position] = if *any_byte { *byte } else { significant[usize::from(*byte) % significant.len()] };
    }
    text
}

proptest! {
    #[test]
    fn mutated_bodies_are_parsed_without_panic(edits in vec((any::<Index>(), any::<u8>(), any::<bool>()), 1..6)) {
        let body = mutated(valid_body().to_string().as_bytes(), &edits);
        if let Err(findings) = Configuration::parse(&body) {
            prop_assert!(!findings.to_string().is_empty());
        }
    }

    #[test]
    fn random_bytes_are_parsed_without_panic(body in vec(any::<u8>(), 0..200)) {
        prop_assert!(Configuration::parse(&body).is_err());
    }

    #[test]
    fn bodies_with_moved_parts_are_parsed_without_panic(from in any::<Index>(), to in any::<Index>(), length in 0_usize..200) {
        let mut body = valid_body().to_string().into_bytes();
        let from = from.index(body.len());
        let part = body[from..(from + length).min(body.len())].to_vec();
        let to = to.index(body.len());
        body.splice(to..to, part);
        let _ = Configuration::parse(&body);
    }

    #[test]
    fn mutated_settings_are_parsed_without_panic(edits in vec((any::<Index>(), any::<u8>(), any::<bool>()), 1..6)) {
        let text = mutated(SETTINGS.as_bytes(), &edits);
        if let Err(findings) = Settings::parse(&String::from_utf8_lossy(&text)) {
            prop_assert!(!findings.to_string().is_empty());
        }
    }
}
