//! A valid body, helpers that edit it, and shorthands for problems.
#![allow(dead_code, reason = "each test file uses a part")]

use gradepaddle_config::{Configuration, Finding, Findings, Problem};
use serde_json::{Value, json};

/// A body with two routes to `alpha`, one split between `alpha` and `beta`, a store and two tenants.
pub fn valid_body() -> Value {
    json!({
        "version": 5,
        "routes": [
            route("first", "one.example", "/a/"),
            route("second", "one.example", "/a/b/"),
            {
                "name": "third", "host": "two.example", "pathPrefix": "/a/", "kind": "streaming",
                "timeoutMs": 9000, "targetMs": 450, "priority": 1, "tries": 2, "public": true, "sticky": true,
                "resumable": true, "gap_aim_ms": 350,
                "trafficSplit": [{"backend": "alpha", "weight": 70}, {"backend": "beta", "weight": 30}],
            },
        ],
        "backends": [
            {
                "name": "alpha", "healthPath": "/alive", "maxConns": 40, "protocol": "h1", "tls": false,
                "engine": {
                    "slots": 8, "cacheTokens": 5000, "tokenBytes": 1024, "linkMbps": 800.5, "stride": 3,
                    "maxInFlight": 2, "models": [{"name": "model-a"}, {"name": "model-b"}],
                },
            },
            {"name": "beta", "healthPath": "/alive", "maxConns": 60, "protocol": "h1", "tls": false},
            {
                "name": "depot", "cacheStore": "10.9.8.7:600", "zone": "east", "cacheTokens": 70000,
                "linkMbps": 900.0, "maxInFlight": 4,
            },
        ],
        "limits": {
            "maxHeaderBytes": 1000, "maxBodyBytes": 2000, "headerTimeoutMs": 3000, "idleTimeoutMs": 4000,
        },
        "customers": [
            {"name": "red", "apiKeys": ["key-1", "key-2"], "priority": 1, "isolated": true},
            {"name": "blue", "apiKeys": ["key-3"]},
        ],
    })
}

/// A route to `alpha` with the fields that have no default.
pub fn route(name: &str, host: &str, prefix: &str) -> Value {
    json!({
        "name": name, "host": host, "pathPrefix": prefix, "kind": "safe", "timeoutMs": 2000, "backend": "alpha",
    })
}

/// The valid body after an edit.
pub fn edited(edit: impl FnOnce(&mut Value)) -> Value {
    let mut body = valid_body();
    edit(&mut body);
    body
}

/// Adds an element to a list of a body.
pub fn push(list: &mut Value, element: Value) {
    list.as_array_mut().expect("a list").push(element);
}

/// Removes a field from an object of a body.
pub fn remove(object: &mut Value, field: &str) {
    object.as_object_mut().expect("an object").remove(field).expect("the field is there");
}

/// Parses a body.
pub fn parse(body: &Value) -> Result<Configuration, Findings> {
    Configuration::parse(body.to_string().as_bytes())
}

/// Parses a body that must be valid.
#[track_caller]
pub fn parsed(body: &Value) -> Configuration {
    parse(body).unwrap_or_else(|findings| panic!("{findings}\nin {body}"))
}

/// The findings of a body that must be invalid.
#[track_caller]
pub fn findings(body: &Value) -> Vec<Finding> {
    match parse(body) {
        Ok(_) => panic!("accepted as valid: {body}"),
        Err(findings) => findings.as_slice().to_vec(),
    }
}

pub fn unknown_service(name: &str) -> Problem {
    Problem::UnknownService { service: name.to_owned() }
}

pub fn store_in_route(name: &str) -> Problem {
    Problem::StoreInRoute { service: name.to_owned() }
}

pub fn duplicate_key(first: usize, tenant: &str) -> Problem {
    Problem::DuplicateKey { first, tenant: tenant.to_owned() }
}
