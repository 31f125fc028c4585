//! A newer model version is announced while requests wait at servers: none may begin on an older one after the deadline.

mod common;

use common::configuration::MODEL;
use common::harness::FIRST_VERSION;
use common::*;
use googletest::prelude::*;
use gradepaddle_placement::Micros;

const MS: Micros = 1_000;
/// Time from the announcement of a version until it is binding.
const BINDS_IN: Micros = 400 * MS;
/// This long before that, nothing is placed on older versions any more.
const VERSION_MARGIN: Micros = 100 * MS;
/// This long before that, attempts on older versions that have not begun are withdrawn.
const START_MARGIN: Micros = 50 * MS;
const NEWER: u64 = FIRST_VERSION + 1;

async fn harness(scripts: Vec<Script>) -> Harness {
    let options =
        Options { version_margin: VERSION_MARGIN, start_margin: START_MARGIN, ..Options::default() };
    Harness::with(options, scripts).await
}

/// Announces the newer version, as the control plane does.
fn announce_newer(harness: &Harness) {
    harness.plane.announce_version(MODEL, NEWER, BINDS_IN);
}

/// Notes that all servers except this one have the newer version.
fn set_newer_at_others(harness: &Harness, server: &str) {
    let now = harness.plane.now();
    let mut placer = harness.plane.placer.borrow_mut();
    for other in harness.servers.iter().filter(|other| other.id != server) {
        placer.observe_version(now, &other.id, MODEL, NEWER);
    }
}

/// A generation with a deadline of two seconds, which is shorter than the client waits.
fn generation(target: &str) -> ClientRequest {
    ClientRequest::post(target).generation().field("X-Deadline-Ms", "2000")
}

/// Sends a request, announces a newer version while the request waits at its server, and returns the response.
async fn request_across_an_announcement(harness: &Harness, request: &ClientRequest) -> Response {
    let mut client = harness.client().await;
    client.send(&request.bytes()).await;
    let server_requests = harness.wait_for_requests(1).await;
    announce_newer(harness);
    set_newer_at_others(harness, &server_requests[0].server);
    client.response().await
}

#[gtest]
fn a_request_not_begun_when_its_version_is_outdated_goes_to_a_newer_server() {
    run(async {
        let waiting: [(&str, MakeScript); 2] =
            [("no head", hang), ("no event", || begun_stream("", vec![Step::Hang]))];
        for (name, script) in waiting {
            let harness = harness(vec![script(), stream(1..=4)]).await;
            let response = request_across_an_announcement(&harness, &generation("/resume/x")).await;
            expect_that!((response.status, &*response.text()), eq((200, &*events(1..=4))), "{name}");
            let server_requests = harness.all_server_requests().await;
            expect_that!(server_requests.len(), eq(2), "{name}");
            expect_that!(server_requests[1].field("Expect-Version"), some(eq(&*NEWER.to_string())), "{name}");
        }
    });
}

#[gtest]
fn a_request_that_is_not_idempotent_fails_when_its_version_is_outdated() {
    run(async {
        let harness = harness(vec![hang()]).await;
        let response = request_across_an_announcement(&harness, &generation("/stream/x")).await;
        expect_that!(response.status, eq(502));
        harness.connection_ended(0).await;
        expect_that!(harness.servers_reached().await.len(), eq(1));
    });
}

#[gtest]
fn a_request_that_has_begun_goes_on_to_its_end() {
    run(async {
        let gate = Gate::default();
        let then =
            vec![Step::Wait(gate.clone()), Step::Bytes(chunk(&event(2))), Step::Bytes(LAST_CHUNK.to_vec())];
        // The second request is placed on the older version, and is withdrawn when that is outdated.
        let harness = harness(vec![begun_stream(&event(1), then), hang()]).await;
        let mut begun = harness.client().await;
        begun.send(&generation("/stream/x").bytes()).await;
        begun.wait_for(&event(1)).await;
        let mut waiting = harness.client().await;
        waiting.send(&generation("/stream/x").bytes()).await;
        harness.wait_for_requests(2).await;
        announce_newer(&harness);
        expect_that!(waiting.response().await.status, eq(502));
        gate.open();
        expect_that!(begun.response().await.text(), eq(&events(1..=2)));
    });
}
