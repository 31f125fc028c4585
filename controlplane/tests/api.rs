//! Parsing of control API calls: well-formed calls, and the rejection of others.

use googletest::prelude::*;
use gradepaddle_controlplane::api::{Call, Response, fingerprint_number, parse, patch_fingerprint_number};
use gradepaddle_proto::ControlCall;
use serde_json::{Value, json};

/// One call and its expected result.
struct Case {
    description: &'static str,
    method: &'static str,
    path: &'static str,
    if_match: Option<&'static str>,
    body: String,
    expected: Expected,
}

#[derive(Debug, PartialEq)]
enum Expected {
    Heartbeat(&'static str, u64),
    Leave(&'static str),
    Put(u64, u64),
    Patch(u64, u64),
    Get,
    AnnounceVersion(&'static str, u64),
    Status,
    Rejected(&'static [u16]),
}

fn case(
    description: &'static str,
    call: (&'static str, &'static str),
    body: impl ToString,
    expected: Expected,
) -> Case {
    Case { description, method: call.0, path: call.1, if_match: None, body: body.to_string(), expected }
}

fn put(
    description: &'static str,
    if_match: Option<&'static str>,
    body: impl ToString,
    expected: Expected,
) -> Case {
    Case { if_match, ..case(description, ("PUT", "/v1/config"), body, expected) }
}

fn patch(
    description: &'static str,
    if_match: Option<&'static str>,
    body: impl ToString,
    expected: Expected,
) -> Case {
    Case { if_match, ..case(description, ("PATCH", "/v1/config"), body, expected) }
}

fn matches_expected(got: &std::result::Result<Call, Response>, expected: &Expected) -> bool {
    match (got, expected) {
        (Ok(Call::Heartbeat { id, heartbeat }), Expected::Heartbeat(name, count)) => {
            id == name && heartbeat.call_count == *count
        }
        (Ok(Call::Leave { id }), Expected::Leave(name)) => id == name,
        (
            Ok(Call::Control(ControlCall::PutConfiguration { if_match, version, .. })),
            Expected::Put(base, own),
        ) => if_match == base && version == own,
        (
            Ok(Call::Control(ControlCall::PatchConfiguration { if_match, version, .. })),
            Expected::Patch(base, own),
        ) => if_match == base && version == own,
        (Ok(Call::Control(ControlCall::GetConfiguration)), Expected::Get)
        | (Ok(Call::Status), Expected::Status) => true,
        (
            Ok(Call::Control(ControlCall::NameVersion { model, version })),
            Expected::AnnounceVersion(name, own),
        ) => &**model == *name && version == own,
        (Err(answer), Expected::Rejected(statuses)) => statuses.contains(&answer.status),
        _ => false,
    }
}

fn check(cases: Vec<Case>) -> Result<()> {
    for case in cases {
        let got = parse(case.method, case.path, case.if_match, case.body.as_bytes());
        expect_that!(
            matches_expected(&got, &case.expected),
            eq(true),
            "{}: {got:?} instead of {:?}",
            case.description,
            case.expected
        );
    }
    Ok(())
}

fn server() -> Value {
    json!({
        "backend": "advice", "address": "10.9.9.1:8000", "zone": "west", "version": "r3", "slots": 16,
        "state": "ready", "warmupLeftMs": 250.5, "stage": "both", "callCount": 7,
        "models": [{"name": "advisor", "version": 3, "adapters": []}],
    })
}

fn without(mut whole: Value, field: &str) -> Value {
    whole.as_object_mut().expect("an object").remove(field);
    whole
}

fn with(mut whole: Value, pointer: &str, value: Value) -> Value {
    *whole.pointer_mut(pointer).expect("the place is there") = value;
    whole
}

fn configuration() -> Value {
    let body = include_str!("../../examples/system/configuration.json");
    serde_json::from_str(body).expect("the example is JSON")
}

const BAD_REQUEST: Expected = Expected::Rejected(&[400]);
const NOT_FOUND: Expected = Expected::Rejected(&[404]);
const METHOD_NOT_ALLOWED: Expected = Expected::Rejected(&[405]);

#[gtest]
fn calls_of_servers() -> Result<()> {
    let heartbeat = ("PUT", "/v1/servers/i-1");
    check(vec![
        case("a heartbeat", heartbeat, server(), Expected::Heartbeat("i-1", 7)),
        case(
            "unknown fields",
            heartbeat,
            json!({"backend": "a", "address": "10.9.9.1:1", "state": "ready", "new": [1]}),
            Expected::Heartbeat("i-1", 0),
        ),
        case("no models", heartbeat, without(server(), "models"), Expected::Heartbeat("i-1", 7)),
        case("no body", heartbeat, "", BAD_REQUEST),
        case("a truncated body", heartbeat, "{\"backend\": \"advice\"", BAD_REQUEST),
        case("not an object", heartbeat, "[1, 2]", BAD_REQUEST),
        case("no service", heartbeat, without(server(), "backend"), BAD_REQUEST),
        case("no address", heartbeat, without(server(), "address"), BAD_REQUEST),
        case("no state", heartbeat, without(server(), "state"), BAD_REQUEST),
        case("a name as an address", heartbeat, with(server(), "/address", json!("host:80")), BAD_REQUEST),
        case("no port", heartbeat, with(server(), "/address", json!("10.9.9.1")), BAD_REQUEST),
        case("slots below 0", heartbeat, with(server(), "/slots", json!(-1)), BAD_REQUEST),
        case("a count below 0", heartbeat, with(server(), "/callCount", json!(-1)), BAD_REQUEST),
        case("a count as a string", heartbeat, with(server(), "/callCount", json!("7")), BAD_REQUEST),
        case("leaving", ("DELETE", "/v1/servers/i-1"), "", Expected::Leave("i-1")),
        case("leaving, with a body", ("DELETE", "/v1/servers/i-1"), "{}", Expected::Leave("i-1")),
        case("leaving without an id", ("DELETE", "/v1/servers/"), "", Expected::Rejected(&[400, 404, 405])),
        case(
            "a heartbeat without an id",
            ("PUT", "/v1/servers/"),
            server(),
            Expected::Rejected(&[400, 404, 405]),
        ),
        case("no id at all", ("PUT", "/v1/servers"), server(), Expected::Rejected(&[400, 404, 405])),
        case("a deeper path", ("PUT", "/v1/servers/i-1/x"), server(), Expected::Rejected(&[404, 405])),
        case("reading a server", ("GET", "/v1/servers/i-1"), "", METHOD_NOT_ALLOWED),
        case("posting a server", ("POST", "/v1/servers/i-1"), server(), METHOD_NOT_ALLOWED),
    ])
}

#[gtest]
fn calls_of_the_operator() -> Result<()> {
    let announce = ("POST", "/v1/version-put");
    check(vec![
        case("reading", ("GET", "/v1/config"), "", Expected::Get),
        case(
            "announcing a version",
            announce,
            json!({"model": "advisor", "version": 2}),
            Expected::AnnounceVersion("advisor", 2),
        ),
        case(
            "announcing a version, with an unknown field",
            announce,
            json!({"model": "advisor", "version": 2, "by": "x"}),
            Expected::AnnounceVersion("advisor", 2),
        ),
        case("announcing without a version", announce, json!({"model": "advisor"}), BAD_REQUEST),
        case("announcing without a model", announce, json!({"version": 2}), BAD_REQUEST),
        case("a version below 0", announce, json!({"model": "advisor", "version": -2}), BAD_REQUEST),
        case("a fractional version", announce, json!({"model": "advisor", "version": 2.5}), BAD_REQUEST),
        case("announcing without a body", announce, "", BAD_REQUEST),
        case("state", ("GET", "/v1/status"), "", Expected::Status),
        case("state, written", ("PUT", "/v1/status"), "{}", METHOD_NOT_ALLOWED),
        case("configuration, removed", ("DELETE", "/v1/config"), "", METHOD_NOT_ALLOWED),
        case("configuration, posted", ("POST", "/v1/config"), configuration(), METHOD_NOT_ALLOWED),
        case("announced version, read", ("GET", "/v1/version-put"), "", METHOD_NOT_ALLOWED),
        case("below the configuration", ("GET", "/v1/config/x"), "", Expected::Rejected(&[404, 405])),
        case("another version of the API", ("GET", "/v2/config"), "", NOT_FOUND),
        case("nothing", ("GET", "/"), "", NOT_FOUND),
        case("an empty path", ("GET", ""), "", NOT_FOUND),
        case("a star", ("OPTIONS", "*"), "", NOT_FOUND),
        case("unknown", ("GET", "/v1/other"), "", NOT_FOUND),
        case("only the version prefix", ("GET", "/v1"), "", NOT_FOUND),
        case("no slash", ("GET", "v1/config"), "", NOT_FOUND),
    ])
}

#[gtest]
fn if_match() -> Result<()> {
    let body = configuration();
    check(vec![
        put("the first", Some("0"), &body, Expected::Put(0, 12)),
        put("a later one", Some("11"), &body, Expected::Put(11, 12)),
        put("in quotes", Some("\"11\""), &body, Expected::Put(11, 12)),
        put("with spaces", Some("  11 "), &body, Expected::Put(11, 12)),
        put("missing", None, &body, BAD_REQUEST),
        put("empty", Some(""), &body, BAD_REQUEST),
        put("a word", Some("latest"), &body, BAD_REQUEST),
        put("any", Some("*"), &body, BAD_REQUEST),
        put("below 0", Some("-1"), &body, BAD_REQUEST),
        put("too large a number", Some("18446744073709551616"), &body, BAD_REQUEST),
    ])
}

#[gtest]
fn invalid_configurations_are_rejected() -> Result<()> {
    let whole = configuration().to_string();
    let same_prefix = with(configuration(), "/routes/1/pathPrefix", json!("/stock/"));
    let weightless = json!([{"backend": "stock-old", "weight": 0}, {"backend": "stock-new", "weight": 0}]);
    let shared_key = with(configuration(), "/customers/1/apiKeys/0", json!("example-key-1"));
    check(vec![
        put("no body", Some("11"), "", BAD_REQUEST),
        put("cut short", Some("11"), &whole[..whole.len() - 2], BAD_REQUEST),
        put("trailing bytes", Some("11"), format!("{whole}{{}}"), BAD_REQUEST),
        put("not an object", Some("11"), "12", BAD_REQUEST),
        put("without a version", Some("11"), without(configuration(), "version"), BAD_REQUEST),
        put("a version as a string", Some("11"), with(configuration(), "/version", json!("12")), BAD_REQUEST),
        put("without routes", Some("11"), without(configuration(), "routes"), BAD_REQUEST),
        put(
            "an unknown service",
            Some("11"),
            with(configuration(), "/routes/1/backend", json!("nobody")),
            BAD_REQUEST,
        ),
        put(
            "an unknown service in a traffic split",
            Some("11"),
            with(configuration(), "/routes/0/trafficSplit/1/backend", json!("nobody")),
            BAD_REQUEST,
        ),
        put("the same host and prefix", Some("11"), same_prefix, BAD_REQUEST),
        put(
            "weights of 0",
            Some("11"),
            with(configuration(), "/routes/0/trafficSplit", weightless),
            BAD_REQUEST,
        ),
        put(
            "a time-out of 0",
            Some("11"),
            with(configuration(), "/routes/2/timeoutMs", json!(0)),
            BAD_REQUEST,
        ),
        put("a shared key", Some("11"), shared_key, BAD_REQUEST),
    ])
}

#[gtest]
fn patches() -> Result<()> {
    let route = json!({"name": "r-1", "host": "a.example"});
    let upsert = json!({"version": 9, "upsert": {"routes": [route]}});
    check(vec![
        patch("an item to add", Some("7"), &upsert, Expected::Patch(7, 9)),
        patch("in quotes", Some("\"7\""), &upsert, Expected::Patch(7, 9)),
        patch(
            "a name to remove",
            Some("7"),
            json!({"version": 9, "remove": {"routes": ["r"]}}),
            Expected::Patch(7, 9),
        ),
        patch("a version alone", Some("7"), json!({"version": 9}), Expected::Patch(7, 9)),
        patch("no If-Match", None, &upsert, BAD_REQUEST),
        patch("a word as If-Match", Some("latest"), &upsert, BAD_REQUEST),
        patch("nothing", Some("7"), "", BAD_REQUEST),
        patch("no object", Some("7"), "[9]", BAD_REQUEST),
        patch("no version", Some("7"), json!({"upsert": {"routes": [route]}}), BAD_REQUEST),
        patch(
            "an item without a name",
            Some("7"),
            json!({"version": 9, "upsert": {"routes": [{}]}}),
            BAD_REQUEST,
        ),
        patch("an unknown list", Some("7"), json!({"version": 9, "upsert": {"ways": [route]}}), BAD_REQUEST),
        patch("truncated", Some("7"), &upsert.to_string()[..40], BAD_REQUEST),
    ])
}

#[gtest]
fn a_patch_is_the_same_change_only_on_the_same_base_version() {
    let sent = br#"{"version":9}"#;
    expect_that!(patch_fingerprint_number(7, sent), eq(patch_fingerprint_number(7, sent)));
    expect_that!(patch_fingerprint_number(7, sent), not(eq(patch_fingerprint_number(8, sent))));
    expect_that!(patch_fingerprint_number(7, sent), not(eq(fingerprint_number(sent))));
}

#[gtest]
fn the_body_is_stored_as_it_was_sent() -> Result<()> {
    let sent = serde_json::to_vec_pretty(&configuration())?;
    let Ok(Call::Control(ControlCall::PutConfiguration { body, .. })) =
        parse("PUT", "/v1/config", Some("0"), &sent)
    else {
        return fail!("the configuration was rejected");
    };
    expect_that!(body.to_vec(), eq(&sent));
    expect_that!(fingerprint_number(&body), eq(fingerprint_number(&sent)));
    let other = serde_json::to_vec(&configuration())?;
    expect_that!(fingerprint_number(&other), not(eq(fingerprint_number(&sent))));
    Ok(())
}

#[gtest]
fn rejections_carry_a_message() -> Result<()> {
    let Err(answer) = parse("PUT", "/v1/config", Some("0"), b"{}") else {
        return fail!("an empty configuration was accepted");
    };
    let body: Value = serde_json::from_slice(&answer.body)?;
    expect_that!(body["message"].as_str().unwrap_or_default(), not(eq("")));
    expect_that!(Response::unavailable("x").status, eq(503));
    expect_that!(Response::bare(200).body.len(), eq(0));
    Ok(())
}
