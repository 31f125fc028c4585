//! Patches of a configuration: their results, and the rejection of invalid ones.

mod common;

use common::{remove, route, valid_body};
use googletest::prelude::*;
use gradepaddle_config::{Configuration, Findings, Patch, Problem, WHOLE_DOCUMENT};
use serde_json::{Value, json};

/// The result of applying a patch to the valid body.
fn patched(patch: &Value) -> std::result::Result<Value, Findings> {
    let base = serde_json::to_vec(&valid_body()).expect("a body");
    let patch = serde_json::to_vec(patch).expect("a patch");
    let result = Patch::parse(&patch)?.apply(&base)?;
    Configuration::parse(&result)?;
    Ok(serde_json::from_slice(&result).expect("the result is JSON"))
}

fn expected(edit: impl FnOnce(&mut Value)) -> Value {
    let mut body = valid_body();
    body["version"] = json!(9);
    edit(&mut body);
    body
}

#[gtest]
fn items_are_added_replaced_and_removed_by_name() -> Result<()> {
    type Edit<'a> = Box<dyn FnOnce(&mut Value) + 'a>;
    let added = route("fourth", "three.example", "/c/");
    let replacing = route("first", "one.example", "/z/");
    let cases: Vec<(&str, Value, Edit<'_>)> = vec![
        ("a version alone", json!({"version": 9}), Box::new(|_| {})),
        ("empty lists", json!({"version": 9, "upsert": {"routes": []}, "remove": {}}), Box::new(|_| {})),
        (
            "a new route comes last",
            json!({"version": 9, "upsert": {"routes": [added]}}),
            Box::new(|body| body["routes"].as_array_mut().expect("routes").push(added.clone())),
        ),
        (
            "a replaced route keeps its position and nothing of its former fields",
            json!({"version": 9, "upsert": {"routes": [replacing]}}),
            Box::new(|body| body["routes"][0] = replacing.clone()),
        ),
        (
            "a route is removed",
            json!({"version": 9, "remove": {"routes": ["second"]}}),
            Box::new(|body| drop(body["routes"].as_array_mut().expect("routes").remove(1))),
        ),
        (
            "a tenant's keys",
            json!({"version": 9, "upsert": {"customers": [{"name": "blue", "apiKeys": []}]}}),
            Box::new(|body| body["customers"][1]["apiKeys"] = json!([])),
        ),
        (
            "all at once, and unknown fields",
            json!({
                "version": 9.0, "by": "somebody",
                "upsert": {"routes": [replacing], "customers": [{"name": "green", "odd": [1.50]}]},
                "remove": {"routes": ["second"], "customers": ["red"], "backends": ["depot"]},
            }),
            Box::new(|body| {
                body["routes"][0] = replacing.clone();
                body["routes"].as_array_mut().expect("routes").remove(1);
                body["backends"].as_array_mut().expect("services").remove(2);
                body["customers"] =
                    json!([{"name": "blue", "apiKeys": ["key-3"]}, {"name": "green", "odd": [1.50]}]);
            }),
        ),
    ];
    for (what, patch, edit) in cases {
        expect_that!(patched(&patch), ok(eq(&expected(edit))), "{what}");
    }
    Ok(())
}

/// Fields and items that a patch doesn't name keep their bytes.
#[gtest]
fn other_bytes_are_unchanged() -> Result<()> {
    let base = br#"{"version":5, "odd": {"n": 1.0e2},"routes":[{"name":"a" , "x":1.50}],"backends":[ ]}"#;
    let patch =
        Patch::parse(br#"{"version":7,"upsert":{"routes":[{"name":"b"}],"customers":[{"name":"t"}]}}"#)?;
    let result = String::from_utf8(patch.apply(base)?)?;
    let wanted = r#"{"version":7,"odd":{"n": 1.0e2},"routes":[{"name":"a" , "x":1.50},{"name":"b"}],"backends":[ ],"customers":[{"name":"t"}]}"#;
    verify_that!(result.as_str(), eq(wanted))
}

/// A description, the patch, and the expected findings with their paths.
type BadPatch = (&'static str, Value, Vec<(&'static str, Problem)>);

#[gtest]
fn invalid_patches_are_rejected_with_path_and_reason() {
    let named =
        |name: &str, first: &str| Problem::DuplicateName { name: name.to_owned(), first: first.to_owned() };
    let route = |name: &str| route(name, "three.example", &format!("/{name}/"));
    let cases: Vec<BadPatch> = vec![
        (
            "an unknown list",
            json!({"version": 9, "upsert": {"limits": []}, "remove": {"ways": ["x"]}}),
            vec![("upsert.limits", Problem::UnknownList), ("remove.ways", Problem::UnknownList)],
        ),
        (
            "an item without a name, items that aren't objects",
            json!({"version": 9, "upsert": {"routes": [{"host": "x"}, 3, ["name"]]}}),
            vec![
                ("upsert.routes[0].name", Problem::Missing),
                ("upsert.routes[1].name", Problem::Missing),
                ("upsert.routes[2].name", Problem::Missing),
            ],
        ),
        (
            "two items with the same name",
            json!({"version": 9, "upsert": {"routes": [route("x"), route("x")]}}),
            vec![("upsert.routes[1]", named("x", "upsert.routes[0]"))],
        ),
        (
            "a name to upsert and to remove, one to remove twice",
            json!({"version": 9, "upsert": {"routes": [route("first")]},
                "remove": {"routes": ["first", "second", "second"]}}),
            vec![
                ("remove.routes[0]", named("first", "upsert.routes[0]")),
                ("remove.routes[2]", named("second", "remove.routes[1]")),
            ],
        ),
        (
            "unknown names",
            json!({"version": 9, "remove": {"routes": ["first", "none"], "customers": ["nobody"]}}),
            vec![
                ("remove.routes[1]", Problem::UnknownItem { name: "none".to_owned() }),
                ("remove.customers[0]", Problem::UnknownItem { name: "nobody".to_owned() }),
            ],
        ),
    ];
    for (what, patch, wanted) in cases {
        let found = patched(&patch).expect_err(what);
        let found: Vec<(&str, &Problem)> =
            found.as_slice().iter().map(|finding| (finding.path.as_str(), &finding.problem)).collect();
        let wanted: Vec<(&str, &Problem)> = wanted.iter().map(|(path, problem)| (*path, problem)).collect();
        expect_that!(found, eq(&wanted), "{what}");
    }
}

/// The result of a patch is checked like a complete configuration.
#[gtest]
fn a_patch_that_results_in_an_invalid_configuration_is_rejected() {
    let zero_timeout = {
        let mut route = route("first", "one.example", "/a/");
        route["timeoutMs"] = json!(0);
        route
    };
    let no_service = {
        let mut route = route("fourth", "three.example", "/c/");
        remove(&mut route, "backend");
        route
    };
    let cases = [
        (
            "a time-out of 0",
            json!({"version": 9, "upsert": {"routes": [zero_timeout]}}),
            "routes[0].timeoutMs",
        ),
        (
            "a route without a service",
            json!({"version": 9, "upsert": {"routes": [no_service]}}),
            "routes[3].backend",
        ),
        (
            "a service in use",
            json!({"version": 9, "remove": {"backends": ["beta"]}}),
            "routes[2].trafficSplit[1].backend",
        ),
        (
            "a key that another tenant holds",
            json!({"version": 9, "upsert": {"customers": [{"name": "new", "apiKeys": ["key-2"]}]}}),
            "customers[2].apiKeys[0]",
        ),
    ];
    for (what, patch, path) in cases {
        let findings = patched(&patch).expect_err(what);
        expect_that!(findings.as_slice()[0].path, eq(path), "{what}");
    }
}

#[gtest]
fn unreadable_patches_are_rejected_with_one_finding() {
    let cases: [&[u8]; 9] = [
        b"",
        b"{",
        b"[]",
        b"[9]",
        br#"{"upsert":{}}"#,
        br#"{"version":-1}"#,
        br#"{"version":9,"upsert":[]}"#,
        br#"{"version":9,"upsert":null}"#,
        br#"{"version":9}x"#,
    ];
    for body in cases {
        let findings = Patch::parse(body).expect_err(&String::from_utf8_lossy(body));
        expect_that!(findings.as_slice()[0].path, eq(WHOLE_DOCUMENT), "{}", String::from_utf8_lossy(body));
    }
    let findings =
        Patch::parse(br#"{"version":9,"upsert":{"routes":[{"name":"a","name":"b"}]}}"#).expect_err("twice");
    expect_that!(findings.as_slice()[0].problem, eq(&Problem::DuplicateField));
    let findings = Patch::parse(br#"{"version":9,"remove":{"routes":[7]}}"#).expect_err("a number as a name");
    expect_that!(findings.as_slice()[0].path, eq("remove.routes"));
}

/// If two items of the base have the same name, it is undefined which of them a patch names.
#[gtest]
fn an_ambiguous_name_is_rejected() -> Result<()> {
    let base = br#"{"version":5,"routes":[{"name":"a"},{"name":"a"}],"backends":[]}"#;
    for patch in
        [r#"{"version":9,"upsert":{"routes":[{"name":"a"}]}}"#, r#"{"version":9,"remove":{"routes":["a"]}}"#]
    {
        let findings = Patch::parse(patch.as_bytes())?.apply(base).expect_err(patch);
        expect_that!(findings.as_slice()[0].problem, eq(&Problem::AmbiguousName { name: "a".to_owned() }));
    }
    Ok(())
}
