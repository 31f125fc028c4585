//! Lookup of the route of a request.

mod common;

use common::{edited, parsed, route, valid_body};
use googletest::prelude::*;
use gradepaddle_config::{Configuration, Route};
use proptest::collection::{btree_set, vec};
use proptest::prelude::{Just, Strategy, prop_assert_eq, prop_oneof, proptest};
use serde_json::{Value, json};

#[gtest]
fn the_longest_prefix_of_the_host_wins() {
    let configuration = parsed(&valid_body());
    let cases = [
        ("one.example", "/a/", Some("first")),
        ("one.example", "/a/x", Some("first")),
        ("one.example", "/a/b", Some("first")),
        ("one.example", "/a/b/", Some("second")),
        ("one.example", "/a/b/c/d?e=/f/", Some("second")),
        ("two.example", "/a/b/c", Some("third")),
        ("ONE.Example", "/a/", Some("first")),
        ("one.example:8080", "/a/", Some("first")),
        ("One.example:", "/a/", Some("first")),
        ("one.example", "/A/", None),
        ("one.example", "/a", None),
        ("one.example", "/", None),
        ("one.example", "", None),
        ("one.example", "a/", None),
        ("three.example", "/a/", None),
        ("", "/a/", None),
        ("one.example:port", "/a/", None),
        ("one", "/a/", None),
    ];
    for (host, path, expected) in cases {
        let found = configuration.route(host, path).map(|route| &*route.name);
        expect_that!(found, eq(expected), "{host} {path}");
    }
}

#[gtest]
fn a_path_may_end_inside_a_character_of_a_prefix() {
    let body = edited(|body| {
        body["routes"] = json!([route("x", "one.example", "/\u{e9}/"), route("y", "one.example", "/e/")]);
    });
    let configuration = parsed(&body);
    expect_that!(configuration.route("one.example", "/\u{e9}/1").map(|route| &*route.name), some(eq("x")));
    expect_that!(configuration.route("one.example", "/\u{1f600}/"), none());
}

/// The reference implementation: among the routes of the host whose prefix matches the path, the one with the longest
/// prefix.
fn by_linear_search<'a>(configuration: &'a Configuration, host: &str, path: &str) -> Option<&'a Route> {
    let of_host = configuration.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
    of_host.filter(|route| path.starts_with(&*route.path_prefix)).max_by_key(|route| route.path_prefix.len())
}

fn host() -> impl Strategy<Value = String> {
    prop_oneof![Just("a.example"), Just("b.example"), Just("c")].prop_map(str::to_owned)
}

/// Prefixes made of a few distinct parts, so that many are prefixes of others; some don't end with a slash.
fn prefix() -> impl Strategy<Value = String> {
    (vec(prop_oneof![Just("a/"), Just("b/"), Just("ab/"), Just("\u{e9}/"), Just("a")], 0..5))
        .prop_map(|parts| format!("/{}", parts.concat()))
}

fn body_of(hosts_and_prefixes: impl IntoIterator<Item = (String, String)>) -> Value {
    let routes = hosts_and_prefixes.into_iter().enumerate();
    let routes: Vec<Value> =
        routes.map(|(index, (host, prefix))| route(&index.to_string(), &host, &prefix)).collect();
    edited(|body| body["routes"] = json!(routes))
}

proptest! {
    #[test]
    fn the_lookup_equals_a_linear_search(
        hosts_and_prefixes in btree_set((host(), prefix()), 0..60),
        requests in vec((host(), prefix(), ".{0,3}"), 1..40),
    ) {
        let configuration = parsed(&body_of(hosts_and_prefixes));
        for (host, prefix, rest) in requests {
            let path = format!("{prefix}{rest}");
            let expected = by_linear_search(&configuration, &host, &path);
            prop_assert_eq!(configuration.route(&host, &path), expected);
            prop_assert_eq!(configuration.route(&format!("{}:80", host.to_uppercase()), &path), expected);
        }
    }
}
