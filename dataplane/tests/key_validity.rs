//! A node that can't be sure of its keys: what it still serves.

mod common;

use common::*;
use googletest::prelude::*;
use gradepaddle_dataplane::KeyValidity;
use serde_json::json;

/// Two tenants with keys, and one route that needs none.
fn configuration() -> serde_json::Value {
    let mut body = with_tenants();
    body["routes"][0]["public"] = json!(true);
    body
}

/// Far ahead.
const LATER: u64 = 3_600_000_000;

/// Evidence for any configuration of these tests.
fn shown(until: u64) -> KeyValidity {
    KeyValidity { version: 0, valid_until: until }
}

/// A path on a route that needs a key.
fn keyed_target() -> String {
    let prefix = configuration()["routes"][1]["pathPrefix"].as_str().expect("a prefix").to_owned();
    format!("{prefix}x")
}

#[gtest]
fn what_needs_a_key_is_refused_and_the_rest_is_served() {
    run(async {
        let world = World::with_configuration(configuration(), vec![]).await;
        let prefix =
            |at: usize| configuration()["routes"][at]["pathPrefix"].as_str().expect("a prefix").to_owned();
        let (public, keyed) = (format!("{}x", prefix(0)), format!("{}x", prefix(1)));
        let asks = [
            ("no key needed", Ask::get(&public), 200),
            ("a key", Ask::post(&keyed).field("X-Api-Key", "key-red"), 503),
            (
                "a key that nobody has, or has only just been given",
                Ask::post(&keyed).field("X-Api-Key", "new"),
                503,
            ),
            ("a tenant's key where none is needed", Ask::get(&public).field("X-Api-Key", "key-red"), 503),
        ];
        world.plane.set_key_validity(shown(1));
        expect_that!(world.plane.is_ready(), eq(false));
        for (what, ask, status) in &asks {
            let answer = world.ask(ask).await;
            expect_that!(answer.status, eq(*status), "{what}");
            // The client is to go to another node.
            expect_that!(answer.field("Connection"), some(eq("close")), "{what}");
        }
        expect_that!(world.all_arrivals().await.len(), eq(1));
        world.plane.set_key_validity(shown(LATER));
        expect_that!(world.plane.is_ready(), eq(true));
        let [_, (_, keyed, _), (_, unknown, _), _] = &asks;
        expect_that!(world.ask(keyed).await.status, eq(200));
        expect_that!(world.ask(unknown).await.status, eq(401));
    });
}

#[gtest]
fn without_tenants_nothing_depends_on_keys() {
    run(async {
        let world = World::new(vec![]).await;
        world.plane.set_key_validity(shown(0));
        expect_that!(world.plane.is_ready(), eq(true));
        expect_that!(world.ask(&Ask::get("/safe/x")).await.status, eq(200));
    });
}

/// A node that has just started hears of keys a little later than of the configuration.
#[gtest]
fn a_young_node_lets_requests_wait_for_the_first_evidence() {
    run(async {
        let world = World::with_configuration(configuration(), vec![]).await;
        world.plane.set_key_validity(shown(0));
        let plane = world.plane.clone();
        let ask = Ask::post(&keyed_target()).field("X-Api-Key", "key-red");
        let (answer, ()) = tokio::join!(world.ask(&ask), async move {
            // The request is read by then, or finds the evidence: it is answered alike.
            tokio::task::yield_now().await;
            plane.set_key_validity(shown(LATER));
        });
        expect_that!(answer.status, eq(200));
    });
}

/// Seen on kctc-grown (apart-revoked-nodes, seed 2): a request waited for evidence, which came with a configuration that
/// takes its key away, and was let in by the one of before.
#[gtest]
fn a_request_that_waited_is_judged_by_the_configuration_that_the_evidence_is_for() {
    run(async {
        let world = World::with_configuration(configuration(), vec![]).await;
        world.plane.set_key_validity(shown(0));
        let plane = world.plane.clone();
        let ask = Ask::post(&keyed_target()).field("X-Api-Key", "key-blue");
        let mut later = configuration();
        later["version"] = json!(1_000_000);
        later["customers"][1]["apiKeys"] = json!([]);
        let (answer, ()) = tokio::join!(world.ask(&ask), async move {
            while plane.counters.requests.get() == 0 {
                tokio::task::yield_now().await;
            }
            tokio::task::yield_now().await;
            plane.set_configuration(common::configuration::parsed(&later));
            plane.set_key_validity(shown(LATER));
        });
        expect_that!(answer.status, eq(401));
        expect_that!(world.all_arrivals().await.len(), eq(0));
    });
}

/// A configuration that this build can't read may have taken keys away.
#[gtest]
fn evidence_for_a_later_configuration_than_the_own_shows_nothing() {
    run(async {
        let world = World::with_configuration(configuration(), vec![]).await;
        let ask = Ask::post(&keyed_target()).field("X-Api-Key", "key-red");
        let version = configuration()["version"].as_u64().expect("a version");
        for (version, status) in [(version, 200), (version + 1, 503), (version - 1, 200)] {
            world.plane.set_key_validity(KeyValidity { version, valid_until: LATER });
            expect_that!(world.ask(&ask).await.status, eq(status), "{version}");
        }
    });
}
