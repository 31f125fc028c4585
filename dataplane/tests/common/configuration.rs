//! Configurations in the form in which an operator sends them.

use gradepaddle_config::Configuration;
use serde_json::{Value, json};

/// The host of all routes.
pub const HOST: &str = "one.example";
/// The service of all routes except `/other/`.
pub const SERVICE: &str = "alpha";
/// The service of the route `/other/`.
pub const OTHER_SERVICE: &str = "beta";
/// The model that the servers have loaded.
pub const MODEL: &str = "model-a";

/// Routes of each kind, all to the same service except `/other/`. The time-outs for heads and idle connections are
/// longer than any test.
pub fn configuration() -> Value {
    json!({
        "version": 5,
        "routes": [
            route("/safe/", "safe", 2),
            route("/safe-once/", "safe", 1),
            route("/unsafe/", "unsafe", 2),
            route("/unsafe-once/", "unsafe", 1),
            route("/stream/", "streaming", 2),
            resumable("/resume/", 2),
            resumable("/resume-once/", 1),
            resumable("/resume-often/", 3),
            with(route("/public/", "safe", 2), "public", json!(true)),
            with(route("/other/", "safe", 2), "backend", json!(OTHER_SERVICE)),
            with(route("/short/", "unsafe", 2), "timeoutMs", json!(250)),
        ],
        "backends": [service(SERVICE), service(OTHER_SERVICE)],
        "limits": {
            "maxHeaderBytes": 4000, "maxBodyBytes": 300_000, "headerTimeoutMs": 40_000, "idleTimeoutMs": 40_000,
        },
    })
}

/// The configuration after an edit.
pub fn edited(edit: impl FnOnce(&mut Value)) -> Value {
    let mut body = configuration();
    edit(&mut body);
    body
}

/// The configuration with two tenants that share cached prefixes and one that is isolated.
pub fn with_tenants() -> Value {
    edited(|body| {
        body["customers"] = json!([
            {"name": "red", "apiKeys": ["key-red", "key-red-2"], "priority": 1},
            {"name": "blue", "apiKeys": ["key-blue"]},
            {"name": "alone", "apiKeys": ["key-alone"], "isolated": true},
        ]);
    })
}

/// A route of [`HOST`].
pub fn route(prefix: &str, kind: &str, max_attempts: u32) -> Value {
    json!({
        "name": prefix, "host": HOST, "pathPrefix": prefix, "kind": kind, "tries": max_attempts, "backend": SERVICE,
        "timeoutMs": 20000, "targetMs": 400, "priority": 5, "public": false, "sticky": true, "resumable": false,
    })
}

fn resumable(prefix: &str, max_attempts: u32) -> Value {
    with(route(prefix, "streaming", max_attempts), "resumable", json!(true))
}

fn with(mut route: Value, field: &str, value: Value) -> Value {
    route[field] = value;
    route
}

fn service(name: &str) -> Value {
    json!({
        "name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false,
        "engine": {"slots": 8, "cacheTokens": 100_000, "models": [{"name": MODEL}]},
    })
}

/// Parses a configuration, which must be valid.
#[track_caller]
pub fn parsed(body: &Value) -> Configuration {
    Configuration::parse(body.to_string().as_bytes()).expect("the configuration is valid")
}
