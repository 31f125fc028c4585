//! Which calls are well-formed, and how others are rejected.

use googletest::prelude::*;
use gradepaddle_controlplane::api::{Call, Response, fingerprint_number, parse, patch_fingerprint_number};
use gradepaddle_proto::ControlCall;
use serde_json::{Value, json};

/// One call and its expected result.
struct Case {
    what: &'static str,
    method: &'static str,
    path: &'static str,
    if_match: Option<&'static str>,
    body: String,
    want: Want,
}

#[derive(Debug, PartialEq)]
enum Want {
    Heartbeat(&'static str, u64),
    Leave(&'static str),
    Put(u64, u64),
    Patch(u64, u64),
    Get,
    Name(&'static str, u64),
    Status,
    Refused(&'static [u16]),
}

fn case(what: &'static str, call: (&'static str, &'static str), body: impl ToString, want: Want) -> Case {
    Case { what, method: call.0, path: call.1, if_match: None, body: body.to_string(), want }
}

fn put(what: &'static str, if_match: Option<&'static str>, body: impl ToString, want: Want) -> Case {
    Case { if_match, ..case(what, ("PUT", "/v1/config"), body, want) }
}

fn patch(what: &'static str, if_match: Option<&'static str>, body: impl ToString, want: Want) -> Case {
    Case { if_match, ..case(what, ("PATCH", "/v1/config"), body, want) }
}

fn agrees(got: &std::result::Result<Call, Response>, want: &Want) -> bool {
    match (got, want) {
        (Ok(Call::Heartbeat { id, heartbeat }), Want::Heartbeat(name, count)) => {
            id == name && heartbeat.call_count == *count
        }
        (Ok(Call::Leave { id }), Want::Leave(name)) => id == name,
        (
            Ok(Call::Control(ControlCall::PutConfiguration { if_match, version, .. })),
            Want::Put(base, own),
        ) => if_match == base && version == own,
        (
            Ok(Call::Control(ControlCall::PatchConfiguration { if_match, version, .. })),
            Want::Patch(base, own),
        ) => if_match == base && version == own,
        (Ok(Call::Control(ControlCall::GetConfiguration)), Want::Get) | (Ok(Call::Status), Want::Status) => {
            true
        }
        (Ok(Call::Control(ControlCall::NameVersion { model, version })), Want::Name(name, own)) => {
            &**model == *name && version == own
        }
        (Err(answer), Want::Refused(statuses)) => statuses.contains(&answer.status),
        _ => false,
    }
}

fn check(cases: Vec<Case>) -> Result<()> {
    for case in cases {
        let got = parse(case.method, case.path, case.if_match, case.body.as_bytes());
        expect_that!(agrees(&got, &case.want), eq(true), "{}: {got:?} instead of {:?}", case.what, case.want);
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

const BAD: Want = Want::Refused(&[400]);
const NO_SUCH: Want = Want::Refused(&[404]);
const NOT_SO: Want = Want::Refused(&[405]);

#[gtest]
fn calls_of_servers() -> Result<()> {
    let beat = ("PUT", "/v1/servers/i-1");
    check(vec![
        case("a heartbeat", beat, server(), Want::Heartbeat("i-1", 7)),
        case(
            "unknown fields",
            beat,
            json!({"backend": "a", "address": "10.9.9.1:1", "state": "ready", "new": [1]}),
            Want::Heartbeat("i-1", 0),
        ),
        case("no models", beat, without(server(), "models"), Want::Heartbeat("i-1", 7)),
        case("no body", beat, "", BAD),
        case("half a body", beat, "{\"backend\": \"advice\"", BAD),
        case("not an object", beat, "[1, 2]", BAD),
        case("no service", beat, without(server(), "backend"), BAD),
        case("no address", beat, without(server(), "address"), BAD),
        case("no state", beat, without(server(), "state"), BAD),
        case("a name as an address", beat, with(server(), "/address", json!("host:80")), BAD),
        case("no port", beat, with(server(), "/address", json!("10.9.9.1")), BAD),
        case("slots below 0", beat, with(server(), "/slots", json!(-1)), BAD),
        case("a count below 0", beat, with(server(), "/callCount", json!(-1)), BAD),
        case("a count in words", beat, with(server(), "/callCount", json!("7")), BAD),
        case("leaving", ("DELETE", "/v1/servers/i-1"), "", Want::Leave("i-1")),
        case("leaving, with a body", ("DELETE", "/v1/servers/i-1"), "{}", Want::Leave("i-1")),
        case("nobody leaves", ("DELETE", "/v1/servers/"), "", Want::Refused(&[400, 404, 405])),
        case("nobody's heartbeat", ("PUT", "/v1/servers/"), server(), Want::Refused(&[400, 404, 405])),
        case("no id at all", ("PUT", "/v1/servers"), server(), Want::Refused(&[400, 404, 405])),
        case("a deeper path", ("PUT", "/v1/servers/i-1/x"), server(), Want::Refused(&[404, 405])),
        case("asking after a server", ("GET", "/v1/servers/i-1"), "", NOT_SO),
        case("posting a server", ("POST", "/v1/servers/i-1"), server(), NOT_SO),
    ])
}

#[gtest]
fn calls_of_the_operator() -> Result<()> {
    let name = ("POST", "/v1/version-put");
    check(vec![
        case("reading", ("GET", "/v1/config"), "", Want::Get),
        case("naming", name, json!({"model": "advisor", "version": 2}), Want::Name("advisor", 2)),
        case(
            "naming, more",
            name,
            json!({"model": "advisor", "version": 2, "by": "x"}),
            Want::Name("advisor", 2),
        ),
        case("naming without a version", name, json!({"model": "advisor"}), BAD),
        case("naming without a model", name, json!({"version": 2}), BAD),
        case("a version below 0", name, json!({"model": "advisor", "version": -2}), BAD),
        case("a broken version", name, json!({"model": "advisor", "version": 2.5}), BAD),
        case("naming nothing", name, "", BAD),
        case("state", ("GET", "/v1/status"), "", Want::Status),
        case("state, written", ("PUT", "/v1/status"), "{}", NOT_SO),
        case("configuration, removed", ("DELETE", "/v1/config"), "", NOT_SO),
        case("configuration, posted", ("POST", "/v1/config"), configuration(), NOT_SO),
        case("named version, read", ("GET", "/v1/version-put"), "", NOT_SO),
        case("below the configuration", ("GET", "/v1/config/x"), "", Want::Refused(&[404, 405])),
        case("another version of the interface", ("GET", "/v2/config"), "", NO_SUCH),
        case("nothing", ("GET", "/"), "", NO_SUCH),
        case("an empty path", ("GET", ""), "", NO_SUCH),
        case("a star", ("OPTIONS", "*"), "", NO_SUCH),
        case("unknown", ("GET", "/v1/other"), "", NO_SUCH),
        case("only the interface", ("GET", "/v1"), "", NO_SUCH),
        case("no slash", ("GET", "v1/config"), "", NO_SUCH),
    ])
}

#[gtest]
fn if_match() -> Result<()> {
    let body = configuration();
    check(vec![
        put("the first", Some("0"), &body, Want::Put(0, 12)),
        put("a later one", Some("11"), &body, Want::Put(11, 12)),
        put("in quotes", Some("\"11\""), &body, Want::Put(11, 12)),
        put("with spaces", Some("  11 "), &body, Want::Put(11, 12)),
        put("missing", None, &body, BAD),
        put("empty", Some(""), &body, BAD),
        put("a word", Some("latest"), &body, BAD),
        put("any", Some("*"), &body, BAD),
        put("below 0", Some("-1"), &body, BAD),
        put("too large a number", Some("18446744073709551616"), &body, BAD),
    ])
}

#[gtest]
fn invalid_configurations_are_rejected() -> Result<()> {
    let whole = configuration().to_string();
    let same_prefix = with(configuration(), "/routes/1/pathPrefix", json!("/stock/"));
    let weightless = json!([{"backend": "stock-old", "weight": 0}, {"backend": "stock-new", "weight": 0}]);
    let shared_key = with(configuration(), "/customers/1/apiKeys/0", json!("example-key-1"));
    check(vec![
        put("none", Some("11"), "", BAD),
        put("cut short", Some("11"), &whole[..whole.len() - 2], BAD),
        put("more after it", Some("11"), format!("{whole}{{}}"), BAD),
        put("not an object", Some("11"), "12", BAD),
        put("without a version", Some("11"), without(configuration(), "version"), BAD),
        put("a version in words", Some("11"), with(configuration(), "/version", json!("12")), BAD),
        put("without routes", Some("11"), without(configuration(), "routes"), BAD),
        put(
            "an unknown service",
            Some("11"),
            with(configuration(), "/routes/1/backend", json!("nobody")),
            BAD,
        ),
        put(
            "an unknown share",
            Some("11"),
            with(configuration(), "/routes/0/trafficSplit/1/backend", json!("nobody")),
            BAD,
        ),
        put("the same host and prefix", Some("11"), same_prefix, BAD),
        put("weights of 0", Some("11"), with(configuration(), "/routes/0/trafficSplit", weightless), BAD),
        put("a time-out of 0", Some("11"), with(configuration(), "/routes/2/timeoutMs", json!(0)), BAD),
        put("a shared key", Some("11"), shared_key, BAD),
    ])
}

#[gtest]
fn patches() -> Result<()> {
    let route = json!({"name": "r-1", "host": "a.example"});
    let upsert = json!({"version": 9, "upsert": {"routes": [route]}});
    check(vec![
        patch("an item to add", Some("7"), &upsert, Want::Patch(7, 9)),
        patch("in quotes", Some("\"7\""), &upsert, Want::Patch(7, 9)),
        patch(
            "a name to remove",
            Some("7"),
            json!({"version": 9, "remove": {"routes": ["r"]}}),
            Want::Patch(7, 9),
        ),
        patch("a version alone", Some("7"), json!({"version": 9}), Want::Patch(7, 9)),
        patch("no If-Match", None, &upsert, BAD),
        patch("a word as If-Match", Some("latest"), &upsert, BAD),
        patch("nothing", Some("7"), "", BAD),
        patch("no object", Some("7"), "[9]", BAD),
        patch("no version", Some("7"), json!({"upsert": {"routes": [route]}}), BAD),
        patch("an item without a name", Some("7"), json!({"version": 9, "upsert": {"routes": [{}]}}), BAD),
        patch("an unknown list", Some("7"), json!({"version": 9, "upsert": {"ways": [route]}}), BAD),
        patch("half of it", Some("7"), &upsert.to_string()[..40], BAD),
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
        return fail!("it was not taken");
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
        return fail!("an empty configuration was taken");
    };
    let body: Value = serde_json::from_slice(&answer.body)?;
    expect_that!(body["message"].as_str().unwrap_or_default(), not(eq("")));
    expect_that!(Response::unavailable("x").status, eq(503));
    expect_that!(Response::bare(200).body.len(), eq(0));
    Ok(())
}
