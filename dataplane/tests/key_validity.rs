//! Which requests a node serves while it can't tell whether its API keys are still valid.

mod common;

use common::*;
use googletest::prelude::*;
use gradepaddle_dataplane::KeyValidity;
use serde_json::json;

/// Tenants with keys, and one public route, which needs none.
fn configuration() -> serde_json::Value {
    let mut body = with_tenants();
    body["routes"][0]["public"] = json!(true);
    body
}

/// A deadline in the far future.
const LATER: u64 = 3_600_000_000;

/// Evidence until this time for any configuration of these tests.
fn evidence(until: u64) -> KeyValidity {
    KeyValidity { version: 0, valid_until: until }
}

/// A path on a route that needs a key.
fn keyed_target() -> String {
    let prefix = configuration()["routes"][1]["pathPrefix"].as_str().expect("a prefix").to_owned();
    format!("{prefix}x")
}

#[gtest]
fn with_expired_keys_only_requests_without_a_key_are_served() {
    run(async {
        let harness = Harness::with_configuration(configuration(), vec![]).await;
        let prefix =
            |at: usize| configuration()["routes"][at]["pathPrefix"].as_str().expect("a prefix").to_owned();
        let (public, keyed) = (format!("{}x", prefix(0)), format!("{}x", prefix(1)));
        let requests = [
            ("no key needed", ClientRequest::get(&public), 200),
            ("a key", ClientRequest::post(&keyed).field("X-Api-Key", "key-red"), 503),
            (
                "an unknown key, which may have been issued only just now",
                ClientRequest::post(&keyed).field("X-Api-Key", "new"),
                503,
            ),
            (
                "a tenant's key where none is needed",
                ClientRequest::get(&public).field("X-Api-Key", "key-red"),
                503,
            ),
        ];
        harness.plane.set_key_validity(evidence(1));
        expect_that!(harness.plane.is_ready(), eq(false));
        for (what, request, status) in &requests {
            let response = harness.request(request).await;
            expect_that!(response.status, eq(*status), "{what}");
            // The closed connection makes the client go to another node.
            expect_that!(response.field("Connection"), some(eq("close")), "{what}");
        }
        expect_that!(harness.all_server_requests().await.len(), eq(1));
        harness.plane.set_key_validity(evidence(LATER));
        expect_that!(harness.plane.is_ready(), eq(true));
        let [_, (_, keyed, _), (_, unknown, _), _] = &requests;
        expect_that!(harness.request(keyed).await.status, eq(200));
        expect_that!(harness.request(unknown).await.status, eq(401));
    });
}

#[gtest]
fn without_tenants_nothing_depends_on_keys() {
    run(async {
        let harness = Harness::new(vec![]).await;
        harness.plane.set_key_validity(evidence(0));
        expect_that!(harness.plane.is_ready(), eq(true));
        expect_that!(harness.request(&ClientRequest::get("/safe/x")).await.status, eq(200));
    });
}

/// A node that has just started receives the first key validity a little later than the configuration.
#[gtest]
fn after_a_start_requests_wait_for_the_first_key_validity() {
    run(async {
        let harness = Harness::with_configuration(configuration(), vec![]).await;
        harness.plane.set_key_validity(evidence(0));
        let plane = harness.plane.clone();
        let request = ClientRequest::post(&keyed_target()).field("X-Api-Key", "key-red");
        let (response, ()) = tokio::join!(harness.request(&request), async move {
            // Whether the request is read before or after the evidence arrives, the response is the same.
            tokio::task::yield_now().await;
            plane.set_key_validity(evidence(LATER));
        });
        expect_that!(response.status, eq(200));
    });
}

/// Seen on kctc-grown (apart-revoked-nodes, seed 2): a request waited for evidence of key validity. The evidence arrived
/// together with a configuration that revokes the request's key, but the request was admitted by the previous configuration.
#[gtest]
fn a_request_that_waited_is_admitted_by_the_configuration_that_the_evidence_is_for() {
    run(async {
        let harness = Harness::with_configuration(configuration(), vec![]).await;
        harness.plane.set_key_validity(evidence(0));
        let plane = harness.plane.clone();
        let request = ClientRequest::post(&keyed_target()).field("X-Api-Key", "key-blue");
        let mut later = configuration();
        later["version"] = json!(1_000_000);
        later["customers"][1]["apiKeys"] = json!([]);
        let (response, ()) = tokio::join!(harness.request(&request), async move {
            while plane.counters.requests.get() == 0 {
                tokio::task::yield_now().await;
            }
            tokio::task::yield_now().await;
            plane.set_configuration(configuration::parsed(&later));
            plane.set_key_validity(evidence(LATER));
        });
        expect_that!(response.status, eq(401));
        expect_that!(harness.all_server_requests().await.len(), eq(0));
    });
}

/// A later configuration that this build can't read may have revoked keys.
#[gtest]
fn key_validity_of_a_later_configuration_counts_as_expired() {
    run(async {
        let harness = Harness::with_configuration(configuration(), vec![]).await;
        let request = ClientRequest::post(&keyed_target()).field("X-Api-Key", "key-red");
        let version = configuration()["version"].as_u64().expect("a version");
        for (version, status) in [(version, 200), (version + 1, 503), (version - 1, 200)] {
            harness.plane.set_key_validity(KeyValidity { version, valid_until: LATER });
            expect_that!(harness.request(&request).await.status, eq(status), "{version}");
        }
    });
}
