//! Differences between two configurations.

mod common;

use common::{edited, parsed, push, remove, route, valid_body};
use googletest::prelude::*;
use gradepaddle_config::{Change, Limits, RouteField, ServiceNames, diff};
use serde_json::{Value, json};
use std::time::Duration;

type Edit = fn(&mut Value);

fn services(names: &[&str]) -> ServiceNames {
    ServiceNames(names.iter().map(|&name| name.into()).collect())
}

fn limits(idle_timeout: Duration) -> Limits {
    Limits {
        max_header_bytes: 1000,
        max_body_bytes: 2000,
        header_timeout: Duration::from_secs(3),
        idle_timeout,
    }
}

#[gtest]
fn each_change_is_reported_and_displayed() {
    let cases: Vec<(Edit, Vec<Change>, &[&str])> = vec![
        (|_| {}, vec![], &[]),
        (|body| body["version"] = json!(9), vec![], &[]),
        (|body| body["routes"].as_array_mut().expect("a list").reverse(), vec![], &[]),
        (
            |body| push(&mut body["routes"], route("fourth", "three.example", "/")),
            vec![Change::RouteAdded { route: "fourth".into() }],
            &["route fourth added"],
        ),
        (
            |body| _ = body["routes"].as_array_mut().expect("a list").remove(1),
            vec![Change::RouteRemoved { route: "second".into() }],
            &["route second removed"],
        ),
        (
            |body| body["routes"][0]["pathPrefix"] = json!("/z/"),
            vec![
                Change::RouteRemoved { route: "first".into() },
                Change::RouteAdded { route: "first".into() },
            ],
            &["route first removed", "route first added"],
        ),
        (
            |body| body["routes"][0]["backend"] = json!("beta"),
            vec![Change::RouteServicesChanged {
                route: "first".into(),
                from: services(&["alpha"]),
                to: services(&["beta"]),
            }],
            &["route first moved from alpha to beta"],
        ),
        (
            |body| {
                body["routes"][0]["trafficSplit"] =
                    json!([{"backend": "beta", "weight": 1}, {"backend": "alpha", "weight": 1}]);
            },
            vec![Change::RouteServicesChanged {
                route: "first".into(),
                from: services(&["alpha"]),
                to: services(&["alpha", "beta"]),
            }],
            &["route first moved from alpha to alpha, beta"],
        ),
        (
            |body| body["routes"][2]["trafficSplit"][0]["weight"] = json!(40),
            vec![Change::RouteWeightsChanged { route: "third".into() }],
            &["route third has other weights"],
        ),
        (
            |body| {
                body["routes"][2]["trafficSplit"] =
                    json!([{"backend": "beta", "weight": 3}, {"backend": "alpha", "weight": 7}]);
            },
            vec![],
            &[],
        ),
        (
            |body| body["routes"][1]["timeoutMs"] = json!(2500),
            // This route has no `targetMs`: its latency target is its timeout.
            vec![
                Change::RouteTimeout {
                    route: "second".into(),
                    from: Duration::from_secs(2),
                    to: Duration::from_millis(2500),
                },
                Change::RouteChanged { route: "second".into(), field: RouteField::LatencyTarget },
            ],
            &["route second has a time-out of 2.5s instead of 2s", "route second has another target"],
        ),
        (
            |body| {
                body["routes"][2]["public"] = json!(false);
                body["routes"][2]["kind"] = json!("unsafe");
            },
            vec![
                Change::RouteChanged { route: "third".into(), field: RouteField::Kind },
                Change::RouteChanged { route: "third".into(), field: RouteField::Public },
            ],
            &["route third has another kind", "route third has another public"],
        ),
        (
            |body| push(&mut body["backends"], json!({"name": "gamma"})),
            vec![Change::ServiceAdded { service: "gamma".into() }],
            &["service gamma added"],
        ),
        (
            |body| _ = body["backends"].as_array_mut().expect("a list").pop(),
            vec![Change::ServiceRemoved { service: "depot".into() }],
            &["service depot removed"],
        ),
        (
            |body| body["backends"][0]["maxConns"] = json!(41),
            vec![Change::ServiceChanged { service: "alpha".into() }],
            &["service alpha has other terms"],
        ),
        (
            |body| push(&mut body["customers"][1]["apiKeys"], json!("key-9")),
            vec![Change::KeyAdded { tenant: "blue".into(), key: "key-9".into() }],
            &["tenant blue has one more key"],
        ),
        (
            |body| body["customers"][0]["apiKeys"] = json!(["key-2"]),
            vec![Change::KeyRemoved { tenant: "red".into(), key: "key-1".into() }],
            &["tenant red has lost a key"],
        ),
        (
            |body| {
                body["customers"][0]["apiKeys"] = json!(["key-1"]);
                body["customers"][1]["apiKeys"] = json!(["key-3", "key-2"]);
            },
            vec![
                Change::KeyRemoved { tenant: "red".into(), key: "key-2".into() },
                Change::KeyAdded { tenant: "blue".into(), key: "key-2".into() },
            ],
            &["tenant red has lost a key", "tenant blue has one more key"],
        ),
        (
            |body| push(&mut body["customers"], json!({"name": "blue", "apiKeys": ["key-9"]})),
            vec![Change::KeyAdded { tenant: "blue".into(), key: "key-9".into() }],
            &["tenant blue has one more key"],
        ),
        (
            |body| body["customers"][1]["isolated"] = json!(true),
            vec![Change::Isolation { tenant: "blue".into(), isolated: true }],
            &["tenant blue is isolated now"],
        ),
        (
            |body| body["customers"][0]["isolated"] = json!(false),
            vec![Change::Isolation { tenant: "red".into(), isolated: false }],
            &["tenant red is isolated no longer"],
        ),
        (
            |body| remove(&mut body["customers"][0], "priority"),
            vec![Change::TenantPriority { tenant: "red".into(), from: Some(1), to: None }],
            &["tenant red has the rank None instead of Some(1)"],
        ),
        (
            |body| _ = body["customers"].as_array_mut().expect("a list").pop(),
            vec![Change::KeyRemoved { tenant: "blue".into(), key: "key-3".into() }],
            &["tenant blue has lost a key"],
        ),
        (
            |body| body["limits"]["idleTimeoutMs"] = json!(6000),
            vec![Change::Limits { from: limits(Duration::from_secs(4)), to: limits(Duration::from_secs(6)) }],
            &["the limits are others"],
        ),
    ];
    let old = parsed(&valid_body());
    for (edit, expected, lines) in cases {
        let changes = diff(&old, &parsed(&edited(edit)));
        expect_that!(changes, eq(&expected));
        expect_that!(changes.iter().map(Change::to_string).collect::<Vec<_>>(), eq(lines));
    }
}
