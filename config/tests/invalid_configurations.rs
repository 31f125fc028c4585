//! Every kind of invalid configuration, alone and in combination, and the paths of the findings.

mod common;

use common::{
    duplicate_key, edited, findings, parse, parsed, push, remove, route, store_in_route, unknown_service,
    valid_body,
};
use googletest::prelude::*;
use gradepaddle_config::{Configuration, Finding, Problem, WHOLE_DOCUMENT};
use serde_json::{Value, json};

type Edit = fn(&mut Value);

#[gtest]
fn each_problem_alone_has_its_path() {
    let cases: Vec<(&str, Edit, &str, Problem)> = vec![
        (
            "unknown single service",
            |body| body["routes"][1]["backend"] = json!("gamma"),
            "routes[1].backend",
            unknown_service("gamma"),
        ),
        (
            "empty service",
            |body| body["routes"][1]["backend"] = json!(""),
            "routes[1].backend",
            unknown_service(""),
        ),
        (
            "name in other case",
            |body| body["routes"][1]["backend"] = json!("Alpha"),
            "routes[1].backend",
            unknown_service("Alpha"),
        ),
        (
            "unknown service in a split",
            |body| body["routes"][2]["trafficSplit"][1]["backend"] = json!("gamma"),
            "routes[2].trafficSplit[1].backend",
            unknown_service("gamma"),
        ),
        (
            "unknown service with weight 0",
            |body| push(&mut body["routes"][2]["trafficSplit"], json!({"backend": "gamma", "weight": 0})),
            "routes[2].trafficSplit[2].backend",
            unknown_service("gamma"),
        ),
        (
            "unknown single service beside a split",
            |body| body["routes"][2]["backend"] = json!("gamma"),
            "routes[2].backend",
            unknown_service("gamma"),
        ),
        (
            "store as single service",
            |body| body["routes"][0]["backend"] = json!("depot"),
            "routes[0].backend",
            store_in_route("depot"),
        ),
        (
            "store in a split",
            |body| body["routes"][2]["trafficSplit"][0]["backend"] = json!("depot"),
            "routes[2].trafficSplit[0].backend",
            store_in_route("depot"),
        ),
        (
            "same host and prefix",
            |body| push(&mut body["routes"], route("fourth", "two.example", "/a/")),
            "routes[3]",
            Problem::DuplicateRoute { first: 2 },
        ),
        (
            "same host in other case",
            |body| push(&mut body["routes"], route("fourth", "Two.EXAMPLE", "/a/")),
            "routes[3]",
            Problem::DuplicateRoute { first: 2 },
        ),
        (
            "weights all 0",
            |body| {
                body["routes"][2]["trafficSplit"] =
                    json!([{"backend": "alpha", "weight": 0}, {"backend": "beta", "weight": 0.0}]);
            },
            "routes[2].trafficSplit",
            Problem::ZeroWeight,
        ),
        (
            "empty split",
            |body| body["routes"][2]["trafficSplit"] = json!([]),
            "routes[2].trafficSplit",
            Problem::ZeroWeight,
        ),
        (
            "neither service nor split",
            |body| remove(&mut body["routes"][0], "backend"),
            "routes[0].backend",
            Problem::Missing,
        ),
        (
            "time-out of 0",
            |body| body["routes"][0]["timeoutMs"] = json!(0),
            "routes[0].timeoutMs",
            Problem::ZeroTimeout,
        ),
        (
            "time-out of 0.0",
            |body| body["routes"][1]["timeoutMs"] = json!(0.0),
            "routes[1].timeoutMs",
            Problem::ZeroTimeout,
        ),
        (
            "key of two tenants",
            |body| push(&mut body["customers"][1]["apiKeys"], json!("key-2")),
            "customers[1].apiKeys[1]",
            duplicate_key(0, "red"),
        ),
    ];
    for (name, edit, path, problem) in cases {
        expect_that!(findings(&edited(edit)), eq(&[Finding::new(path, problem)]), "{name}");
    }
}

#[gtest]
fn all_problems_are_found_together() {
    let body = edited(|body| {
        body["routes"][0]["timeoutMs"] = json!(0);
        body["routes"][0]["backend"] = json!("gamma");
        body["routes"][1]["pathPrefix"] = json!("/a/");
        body["routes"][2]["trafficSplit"] = json!([{"backend": "depot", "weight": 0}]);
        body["routes"][2]["timeoutMs"] = json!(0);
        push(&mut body["customers"], json!({"name": "green", "apiKeys": ["key-3", "key-4", "key-1"]}));
    });
    let found = findings(&body);
    expect_that!(
        found,
        eq(&[
            Finding::new("routes[0].backend", unknown_service("gamma")),
            Finding::new("routes[0].timeoutMs", Problem::ZeroTimeout),
            Finding::new("routes[2].trafficSplit[0].backend", store_in_route("depot")),
            Finding::new("routes[2].trafficSplit", Problem::ZeroWeight),
            Finding::new("routes[2].timeoutMs", Problem::ZeroTimeout),
            Finding::new("routes[1]", Problem::DuplicateRoute { first: 0 }),
            Finding::new("customers[2].apiKeys[0]", duplicate_key(1, "blue")),
            Finding::new("customers[2].apiKeys[2]", duplicate_key(0, "red")),
        ])
    );
    let text = parse(&body).expect_err("it is invalid").to_string();
    let lines: Vec<&str> = text.lines().collect();
    expect_that!(lines, len(eq(8)));
    expect_that!(lines[1], eq("routes[0].timeoutMs: is a time-out of 0"));
    expect_that!(text, not(contains_substring("key-")), "keys are secrets");
}

#[gtest]
fn three_routes_with_the_same_host_and_prefix_are_two_findings() {
    let body = edited(|body| {
        push(&mut body["routes"], route("fourth", "one.example", "/a/"));
        push(&mut body["routes"], route("fifth", "one.example", "/a/"));
    });
    let problem = || Problem::DuplicateRoute { first: 0 };
    expect_that!(
        findings(&body),
        eq(&[Finding::new("routes[3]", problem()), Finding::new("routes[4]", problem())])
    );
}

#[gtest]
fn values_that_cant_be_parsed_are_unreadable_at_their_path() {
    let cases: Vec<(&str, Edit, &str)> = vec![
        ("no version", |body| remove(body, "version"), WHOLE_DOCUMENT),
        ("no routes", |body| remove(body, "routes"), WHOLE_DOCUMENT),
        ("no services", |body| remove(body, "backends"), WHOLE_DOCUMENT),
        ("negative version", |body| body["version"] = json!(-1), "version"),
        ("version with a fraction", |body| body["version"] = json!(7.5), "version"),
        ("version as a text", |body| body["version"] = json!("7"), "version"),
        ("routes as an object", |body| body["routes"] = json!({}), "routes"),
        (
            "route as a list",
            |body| body["routes"][1] = json!(["first", "one.example", "/z/", "safe", 5]),
            "routes[1]",
        ),
        ("route without host", |body| remove(&mut body["routes"][1], "host"), "routes[1]"),
        ("route without prefix", |body| remove(&mut body["routes"][1], "pathPrefix"), "routes[1]"),
        ("route without time-out", |body| remove(&mut body["routes"][1], "timeoutMs"), "routes[1]"),
        ("unknown kind", |body| body["routes"][2]["kind"] = json!("hasty"), "routes[2].kind"),
        ("negative time-out", |body| body["routes"][2]["timeoutMs"] = json!(-1), "routes[2].timeoutMs"),
        ("time-out as a text", |body| body["routes"][2]["timeoutMs"] = json!("9"), "routes[2].timeoutMs"),
        (
            "negative weight",
            |body| body["routes"][2]["trafficSplit"][1]["weight"] = json!(-30),
            "routes[2].trafficSplit[1].weight",
        ),
        (
            "store address without port",
            |body| body["backends"][2]["cacheStore"] = json!("10.0.0.1"),
            "backends[2].cacheStore",
        ),
        ("key as a number", |body| body["customers"][0]["apiKeys"][1] = json!(4), "customers[0].apiKeys[1]"),
        ("limits as a list", |body| body["limits"] = json!([1, 2, 3, 4]), "limits"),
        ("body as a list", |body| *body = json!([1, [], []]), WHOLE_DOCUMENT),
        ("body as a number", |body| *body = json!(5), WHOLE_DOCUMENT),
    ];
    for (name, edit, path) in cases {
        let found = findings(&edited(edit));
        expect_that!(found.len(), eq(1), "{name}");
        expect_that!(found[0].path, eq(path), "{name}");
        expect_that!(found[0].problem, matches_pattern!(Problem::Unreadable { .. }), "{name}");
    }
}

#[gtest]
fn documents_that_arent_one_json_value_are_unreadable() {
    let valid = valid_body().to_string();
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("nothing", Vec::new()),
        ("white space", b" \n".to_vec()),
        ("without its last byte", valid.as_bytes()[..valid.len() - 1].to_vec()),
        ("truncated in the middle", valid.as_bytes()[..valid.len() / 2].to_vec()),
        ("an extra brace", format!("{valid}}}").into_bytes()),
        ("a second value", format!("{valid} {valid}").into_bytes()),
        ("half a surrogate pair", valid.replace("first", "\\ud800").into_bytes()),
        ("truncated UTF-8", [&valid.as_bytes()[..valid.len() - 1], b",\"x\":\"\xc3\"}"].concat()),
        ("a trailing comma", format!("{},}}", &valid[..valid.len() - 1]).into_bytes()),
        ("100,000 levels of nesting", [b"{\"x\":".to_vec(), vec![b'['; 100_000]].concat()),
    ];
    for (name, body) in cases {
        let found = Configuration::parse(&body).expect_err(name);
        let first = &found.as_slice()[0];
        expect_that!(first.path, eq(WHOLE_DOCUMENT), "{name}");
        expect_that!(first.problem, matches_pattern!(Problem::Unreadable { .. }), "{name}");
    }
}

#[gtest]
fn duplicate_fields_are_found_at_every_depth() {
    let valid = valid_body().to_string();
    let inner = &valid[1..];
    let cases = [
        ("known", format!("{{\"version\":5,{inner}"), vec!["version"]),
        ("escaped", format!("{{\"vers\\u0069on\":5,{inner}"), vec!["version"]),
        ("unknown", format!("{{\"x\":1,\"x\":2,{inner}"), vec!["x"]),
        (
            "nested in an unknown one",
            format!("{{\"x\":[0,{{\"y\":{{\"z\":1,\"z\":1}}}}],{inner}"),
            vec!["x[1].y.z"],
        ),
        (
            "in a route",
            valid.replacen("\"name\":\"first\"", "\"name\":\"first\",\"name\":\"first\"", 1),
            vec!["routes[0].name"],
        ),
        ("two", format!("{{\"x\":{{\"a\":1,\"a\":1}},\"x\":2,{inner}"), vec!["x.a", "x"]),
    ];
    for (name, body, paths) in cases {
        let found = Configuration::parse(body.as_bytes()).expect_err(name);
        let expected: Vec<Finding> =
            paths.into_iter().map(|path| Finding::new(path, Problem::DuplicateField)).collect();
        expect_that!(found.as_slice(), eq(&expected), "{name}");
    }
}

#[gtest]
fn a_successor_has_a_higher_version() {
    let configuration = parsed(&valid_body());
    for current in [0, 1, 4] {
        expect_that!(configuration.check_successor(current), ok(eq(&())), "after {current}");
    }
    for current in [5, 6, u64::MAX] {
        let expected = Finding::new("version", Problem::VersionNotAbove { current, given: 5 });
        expect_that!(configuration.check_successor(current), err(eq(&expected)), "after {current}");
    }
}
