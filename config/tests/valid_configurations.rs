//! The values that are read from a valid configuration, and edits that leave it valid.

mod common;

use common::{edited, parse, parsed, push, remove, route, valid_body};
use googletest::prelude::*;
use gradepaddle_config::{
    Engine, Limits, Route, RouteKind, Service, ServiceKind, Target, Tenant, fingerprint,
};
use serde_json::{Value, json};
use std::time::Duration;

type Edit = fn(&mut Value);

#[gtest]
fn each_field_of_a_complete_body_is_read() {
    let configuration = parsed(&valid_body());
    expect_that!(configuration.version, eq(5));
    expect_that!(configuration.routes.len(), eq(3));
    expect_that!(
        configuration.routes[2],
        eq(&Route {
            name: "third".into(),
            host: "two.example".into(),
            path_prefix: "/a/".into(),
            kind: RouteKind::Streaming,
            timeout: Duration::from_secs(9),
            latency_target: Duration::from_millis(450),
            priority: 1,
            split: vec![
                Target { service: "alpha".into(), weight: 70.0 },
                Target { service: "beta".into(), weight: 30.0 }
            ],
            max_attempts: 2,
            public: true,
            sticky: true,
            resumable: true,
            event_gap_target: Some(Duration::from_millis(350)),
        })
    );
    expect_that!(
        configuration.services[0],
        eq(&Service {
            name: "alpha".into(),
            kind: ServiceKind::Servers {
                health_path: "/alive".into(),
                max_connections: Some(40),
                tls: false,
                protocol: "h1".into(),
                engine: Some(Engine {
                    slots: 8,
                    cache_tokens: 5000,
                    token_bytes: 1024,
                    link_mbps: 800.5,
                    stride: 3,
                    max_in_flight: 2,
                    models: vec!["model-a".into(), "model-b".into()],
                }),
            },
        })
    );
    let depot = Service {
        name: "depot".into(),
        kind: ServiceKind::Store {
            address: "10.9.8.7:600".parse().expect("an address"),
            zone: "east".into(),
            cache_tokens: 70000,
            link_mbps: 900.0,
            max_in_flight: 4,
        },
    };
    expect_that!(configuration.stores().collect::<Vec<_>>(), eq(&vec![&depot]));
    expect_that!(
        configuration.limits,
        eq(Limits {
            max_header_bytes: 1000,
            max_body_bytes: 2000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(4),
        })
    );
    expect_that!(
        configuration.tenants,
        eq(&[
            Tenant {
                name: "red".into(),
                api_keys: vec!["key-1".into(), "key-2".into()],
                priority: Some(1),
                isolated: true
            },
            Tenant { name: "blue".into(), api_keys: vec!["key-3".into()], priority: None, isolated: false },
        ])
    );
}

#[gtest]
fn absent_fields_of_a_route_have_defaults() {
    let configuration = parsed(&valid_body());
    expect_that!(
        configuration.routes[0],
        eq(&Route {
            name: "first".into(),
            host: "one.example".into(),
            path_prefix: "/a/".into(),
            kind: RouteKind::Safe,
            timeout: Duration::from_secs(2),
            latency_target: Duration::from_secs(2),
            priority: 5,
            split: vec![Target { service: "alpha".into(), weight: 1.0 }],
            max_attempts: 1,
            public: false,
            sticky: false,
            resumable: false,
            event_gap_target: None,
        })
    );
}

#[gtest]
fn these_edits_leave_a_body_valid() {
    let cases: Vec<(&str, Edit)> = vec![
        ("no limits", |body| remove(body, "limits")),
        ("part of the limits", |body| remove(&mut body["limits"], "idleTimeoutMs")),
        ("no tenants", |body| remove(body, "customers")),
        ("empty tenants", |body| body["customers"] = json!([])),
        ("a tenant without keys", |body| remove(&mut body["customers"][0], "apiKeys")),
        ("null for what may be absent", |body| {
            body["limits"] = Value::Null;
            body["customers"][0]["priority"] = Value::Null;
            body["routes"][0]["trafficSplit"] = Value::Null;
            body["routes"][2]["backend"] = Value::Null;
            body["routes"][2]["gap_aim_ms"] = Value::Null;
            body["backends"][0]["engine"] = Value::Null;
            body["backends"][0]["cacheStore"] = Value::Null;
        }),
        ("unknown fields", |body| {
            body["notes"] = json!({"by": ["x", 1, null, true, -2.5e3]});
            body["routes"][0]["colour"] = json!("red");
            body["backends"][0]["engine"]["adapters"] = json!([]);
            body["backends"][0]["engine"]["models"][0]["adapters"] = json!([]);
            body["customers"][0]["since"] = json!(3);
        }),
        ("two equal keys within a tenant", |body| push(&mut body["customers"][0]["apiKeys"], json!("key-1"))),
        ("a service twice in a split", |body| {
            push(&mut body["routes"][2]["trafficSplit"], json!({"backend": "alpha", "weight": 5}));
        }),
        ("a service with weight 0 beside others", |body| {
            body["routes"][2]["trafficSplit"][1]["weight"] = json!(0);
        }),
        ("an empty single service beside a split", |body| body["routes"][2]["backend"] = json!("")),
        ("an empty split beside a single service", |body| body["routes"][0]["trafficSplit"] = json!([])),
        ("one prefix on two hosts", |body| push(&mut body["routes"], route("x", "three.example", "/a/"))),
        ("prefixes that differ in case", |body| push(&mut body["routes"], route("x", "one.example", "/A/"))),
        ("routes of one name", |body| push(&mut body["routes"], route("first", "three.example", "/"))),
        ("a service without routes", |body| push(&mut body["backends"], json!({"name": "idle"}))),
        ("no routes and no services", |body| {
            body["routes"] = json!([]);
            body["backends"] = json!([]);
        }),
        ("a time-out below a millisecond", |body| body["routes"][0]["timeoutMs"] = json!(0.5)),
        ("a target of 0", |body| body["routes"][0]["targetMs"] = json!(0)),
        ("large numbers", |body| {
            body["version"] = json!(u64::MAX);
            body["routes"][0]["timeoutMs"] = json!(1e300);
            body["routes"][0]["tries"] = json!(1e15);
            body["routes"][0]["priority"] = json!(1000);
            body["backends"][0]["maxConns"] = json!(u64::MAX);
        }),
    ];
    for (name, edit) in cases {
        let body = edited(edit);
        expect_that!(
            parse(&body).map(|_| ()).map_err(|findings| findings.to_string()),
            ok(eq(&())),
            "{name}"
        );
    }
}

#[gtest]
fn integers_may_be_written_with_a_fraction_of_0() {
    let floats = edited(|body| {
        body["version"] = json!(5.0);
        body["routes"][2]["timeoutMs"] = json!(9000.0);
        body["routes"][2]["priority"] = json!(1.0);
        body["routes"][2]["tries"] = json!(2.0);
        body["backends"][0]["maxConns"] = json!(40.0);
        body["backends"][2]["cacheTokens"] = json!(70000.0);
        body["limits"]["maxBodyBytes"] = json!(2000.0);
        body["customers"][0]["priority"] = json!(1.0);
    });
    let (floats, integers) = (parsed(&floats), parsed(&valid_body()));
    expect_that!(floats.version, eq(integers.version));
    expect_that!(floats.routes, eq(&integers.routes));
    expect_that!(floats.services, eq(&integers.services));
    expect_that!(floats.limits, eq(integers.limits));
    expect_that!(floats.tenants, eq(&integers.tenants));
}

#[gtest]
fn a_split_has_each_service_once_and_none_with_weight_0() {
    let body = edited(|body| {
        body["routes"][2]["trafficSplit"] = json!([
            {"backend": "beta", "weight": 20},
            {"backend": "alpha", "weight": 0},
            {"backend": "beta", "weight": 0.5},
        ]);
    });
    let expected = [Target { service: "beta".into(), weight: 20.5 }];
    expect_that!(parsed(&body).routes[2].split, eq(&expected));
}

#[gtest]
fn only_safe_requests_and_resumable_streams_may_be_retried() {
    let cases = [
        ("safe", false, true),
        ("safe", true, true),
        ("unsafe", false, false),
        ("unsafe", true, false),
        ("streaming", false, false),
        ("streaming", true, true),
    ];
    for (kind, resumable, may_retry) in cases {
        let body = edited(|body| {
            body["routes"][0]["kind"] = json!(kind);
            body["routes"][0]["resumable"] = json!(resumable);
        });
        expect_that!(parsed(&body).routes[0].may_retry(), eq(may_retry), "{kind}, resumable: {resumable}");
    }
}

#[gtest]
fn services_and_tenants_are_found() {
    let body = edited(|body| {
        push(
            &mut body["customers"],
            json!({"name": "amber", "apiKeys": ["key-4", "key-4"], "isolated": true}),
        );
    });
    let configuration = parsed(&body);
    expect_that!(configuration.service("beta").map(|service| &*service.name), some(eq("beta")));
    expect_that!(configuration.service("Beta"), none());
    for (key, tenant) in [("key-1", "red"), ("key-2", "red"), ("key-3", "blue"), ("key-4", "amber")] {
        expect_that!(configuration.tenant_by_key(key).map(|tenant| &*tenant.name), some(eq(tenant)));
    }
    for key in ["", "key", "KEY-1", "key-1 "] {
        expect_that!(configuration.tenant_by_key(key), none(), "{key:?}");
    }
    let isolated: Vec<&str> = configuration.isolated_tenants().map(|tenant| &*tenant.name).collect();
    expect_that!(isolated, eq(&["amber", "red"]));
    expect_that!(configuration.needs_key(), eq(true));
    expect_that!(parsed(&edited(|body| remove(body, "customers"))).needs_key(), eq(false));
}

#[gtest]
fn different_bodies_have_different_fingerprints() {
    let body = valid_body().to_string();
    expect_that!(fingerprint(body.as_bytes()), eq(fingerprint(body.as_bytes())));
    expect_that!(fingerprint(format!("{body} ").as_bytes()), not(eq(fingerprint(body.as_bytes()))));
    // The first 128 bits of the published BLAKE3 hash of the empty input: a fingerprint is the same in every build.
    let of_empty_input =
        [0xaf, 0x13, 0x49, 0xb9, 0xf5, 0xf9, 0xa1, 0xa6, 0xa0, 0x40, 0x4d, 0xea, 0x36, 0xdc, 0xc9, 0x49];
    expect_that!(fingerprint(b""), eq(of_empty_input));
}
