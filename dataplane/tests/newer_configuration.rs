//! A node that knows of a newer configuration but has not received it yet does not finally deny a request: the newer
//! configuration may allow it.

mod common;

use common::configuration::parsed;
use common::*;
use googletest::prelude::*;
use gradepaddle_dataplane::DataPlane;
use serde_json::{Value, json};

/// A path that matches only a route which the newer configuration adds.
const ADDED: &str = "/added-later/x";

/// A newer configuration with one additional route.
fn newer() -> Value {
    edited(|body| {
        body["version"] = json!(body["version"].as_u64().unwrap_or(0) + 1);
        body["routes"].as_array_mut().expect("routes").push(route("/added-later/", "safe", 2));
    })
}

fn newer_version() -> Option<u64> {
    newer()["version"].as_u64()
}

fn apply(plane: &std::rc::Rc<DataPlane>, body: &Value) {
    plane.set_configuration(parsed(body));
}

#[gtest]
fn a_request_waits_for_the_configuration_that_allows_it() {
    run(async {
        let harness = Harness::new(vec![]).await;
        harness.plane.set_expected_configuration(newer_version());
        let request = ClientRequest::get(ADDED);
        let plane = harness.plane.clone();
        let (response, ()) = tokio::join!(harness.request(&request), async move {
            tokio::task::yield_now().await;
            apply(&plane, &newer());
        });
        expect_that!(response.status, eq(200));
    });
}

/// A 503 says that the request was not processed, so the client retries at a node that has the configuration.
#[gtest]
fn a_request_that_a_missing_configuration_may_allow_is_not_denied() {
    run(async {
        let harness = Harness::new(vec![]).await;
        harness.plane.set_expected_configuration(newer_version());
        let response = harness.request(&ClientRequest::get(ADDED)).await;
        expect_that!(response.status, eq(503));
        expect_that!(response.retry_after(), some(gt(0.0)));
        expect_that!(harness.all_server_requests().await.len(), eq(0));
    });
}

#[gtest]
fn without_a_newer_configuration_a_request_is_denied() {
    run(async {
        let harness = Harness::new(vec![]).await;
        expect_that!(harness.request(&ClientRequest::get(ADDED)).await.status, eq(404));
        for expected in [configuration()["version"].as_u64(), None] {
            harness.plane.set_expected_configuration(newer_version());
            harness.plane.set_expected_configuration(expected);
            expect_that!(harness.request(&ClientRequest::get(ADDED)).await.status, eq(404), "{expected:?}");
        }
        harness.plane.set_expected_configuration(newer_version());
        apply(&harness.plane, &newer());
        expect_that!(harness.request(&ClientRequest::get("/nowhere/x")).await.status, eq(404));
    });
}

/// A request that the configuration in force allows is served, and one that no configuration can allow is denied at once.
#[gtest]
fn other_requests_do_not_depend_on_the_missing_configuration() {
    run(async {
        let harness = Harness::new(vec![]).await;
        harness.plane.set_expected_configuration(newer_version());
        expect_that!(harness.request(&ClientRequest::get("/safe/x")).await.status, eq(200));
        let two_hosts = ClientRequest::get(ADDED).field("Host", "another.example");
        expect_that!(harness.request(&two_hosts).await.status, eq(400));
    });
}

/// The missing configuration may have issued the key to a tenant.
#[gtest]
fn an_unknown_key_is_not_denied_while_a_configuration_is_missing() {
    run(async {
        let harness = Harness::with_configuration(with_tenants(), vec![]).await;
        let prefix = with_tenants()["routes"][1]["pathPrefix"].as_str().expect("a prefix").to_owned();
        let request = ClientRequest::get(&format!("{prefix}x")).field("X-Api-Key", "new");
        expect_that!(harness.request(&request).await.status, eq(401));
        harness.plane.set_expected_configuration(newer_version());
        expect_that!(harness.request(&request).await.status, eq(503));
    });
}
