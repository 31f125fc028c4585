//! Readiness, and how connections are treated in each phase of shutdown.

mod common;

use common::configuration::parsed;
use common::*;
use googletest::prelude::*;
use gradepaddle_dataplane::Phase;

/// The status of a readiness check.
async fn ready(harness: &Harness) -> u16 {
    let mut client = Client::connect(harness.readiness).await;
    client.send(b"GET /v1/ready HTTP/1.1\r\nHost: any\r\n\r\n").await;
    client.response().await.status
}

#[gtest]
fn a_node_is_ready_from_configuration_and_control_until_it_drains() {
    run(async {
        let harness = Harness::with(Options { configuration: None, ..Options::default() }, vec![]).await;
        expect_that!((ready(&harness).await, harness.plane.is_ready()), eq((503, false)));
        harness.plane.set_control_connected(true);
        expect_that!((ready(&harness).await, harness.plane.is_ready()), eq((503, false)));
        harness.plane.set_control_connected(false);
        harness.plane.set_configuration(parsed(&configuration()));
        expect_that!((ready(&harness).await, harness.plane.is_ready()), eq((503, false)));
        harness.plane.set_control_connected(true);
        expect_that!((ready(&harness).await, harness.plane.is_ready()), eq((200, true)));
        harness.plane.set_phase(Phase::Draining);
        expect_that!((ready(&harness).await, harness.plane.is_ready()), eq((503, false)));
        harness.plane.set_phase(Phase::Closing);
        expect_that!((ready(&harness).await, harness.plane.is_ready()), eq((503, false)));
    });
}

#[gtest]
fn readiness_can_be_polled_on_one_connection() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let mut client = Client::connect(harness.readiness).await;
        for (path, status) in [("/v1/ready", 200), ("/v1/other", 404), ("/v1/ready", 200)] {
            client.send(format!("GET {path} HTTP/1.1\r\nHost: any\r\n\r\n").as_bytes()).await;
            expect_that!(client.response().await.status, eq(status), "{path}");
        }
        harness.plane.set_phase(Phase::Draining);
        client.send(b"GET /v1/ready HTTP/1.1\r\nHost: any\r\n\r\n").await;
        expect_that!(client.response().await.status, eq(503));
        client.send(b"GET /v1/ready HTTP/1.1\r\nHost: any\r\nConnection: close\r\n\r\n").await;
        expect_that!(client.response().await.status, eq(503));
        expect_that!(client.end().await, eq(&(BodyEnd::Closed, vec![])));
    });
}

#[gtest]
fn a_draining_node_responds_and_closes_each_connection_after_its_response() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let mut old = harness.client().await;
        expect_that!(old.request(&ClientRequest::get("/safe/x")).await.field("Connection"), none());
        harness.plane.set_phase(Phase::Draining);
        let mut fresh = harness.client().await;
        for (client, target, status) in [(&mut old, "/safe/x", 200), (&mut fresh, "/unsafe/x", 200)] {
            let response = client.request(&ClientRequest::post(target)).await;
            expect_that!((response.status, response.body_end), eq((status, BodyEnd::Complete)));
            expect_that!(response.field("Connection"), some(eq("close")));
            expect_that!(client.end().await, eq(&(BodyEnd::Closed, vec![])));
        }
        for target in ["/nowhere/x", "/other/x", "/stream/x"] {
            let mut client = harness.client().await;
            let response = client.request(&ClientRequest::post(target)).await;
            expect_that!(response.field("Connection"), some(eq("close")), "{target}");
            expect_that!(client.end().await, eq(&(BodyEnd::Closed, vec![])), "{target}");
        }
    });
}

#[gtest]
fn idle_connections_are_closed_only_in_the_closing_phase() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let mut used = harness.client().await;
        expect_that!(used.request(&ClientRequest::get("/safe/x")).await.status, eq(200));
        let mut fresh = harness.client().await;
        let mut served = harness.client().await;
        harness.plane.set_phase(Phase::Draining);
        // A connection that was idle before the drain can still be used for a request.
        expect_that!(served.request(&ClientRequest::get("/safe/x")).await.status, eq(200));
        harness.plane.set_phase(Phase::Closing);
        expect_that!(used.end().await, eq(&(BodyEnd::Closed, vec![])));
        expect_that!(fresh.end().await, eq(&(BodyEnd::Closed, vec![])));
    });
}

#[gtest]
fn open_requests_are_answered_completely_in_every_phase() {
    run(async {
        let gates: Vec<Gate> = (0..3).map(|_| Gate::default()).collect();
        let then = gates
            .iter()
            .zip(2..)
            .flat_map(|(gate, id)| [Step::Wait(gate.clone()), Step::Bytes(chunk(&event(id)))]);
        let then = then.chain([Step::Bytes(LAST_CHUNK.to_vec())]).collect();
        let harness = Harness::new(vec![begun_stream(&event(1), then)]).await;
        expect_that!(harness.plane.open_requests(), eq(0));
        let mut client = harness.client().await;
        client.send(&ClientRequest::post("/stream/x").bytes()).await;
        client.wait_for(&event(1)).await;
        expect_that!(harness.plane.open_requests(), eq(1));
        for (gate, (id, phase)) in
            gates.iter().zip([(2, Phase::Draining), (3, Phase::Closing), (4, Phase::Closing)])
        {
            harness.plane.set_phase(phase);
            gate.open();
            client.wait_for(&event(id)).await;
        }
        let response = client.response().await;
        expect_that!((response.body_end, &*response.text()), eq((BodyEnd::Complete, &*events(1..=4))));
        expect_that!(client.end().await, eq(&(BodyEnd::Closed, vec![])));
        expect_that!(harness.plane.open_requests(), eq(0));
    });
}

#[gtest]
fn a_request_whose_client_disconnected_is_no_longer_open() {
    run(async {
        let harness = Harness::new(vec![hang()]).await;
        let mut client = harness.client().await;
        client.send(&ClientRequest::post("/unsafe/x").bytes()).await;
        harness.wait_for_requests(1).await;
        expect_that!(harness.plane.open_requests(), eq(1));
        drop(client);
        harness.connection_ended(0).await;
        // The server may see the end of the connection before the node has released the request.
        while harness.plane.open_requests() > 0 {
            tokio::task::yield_now().await;
        }
    });
}
