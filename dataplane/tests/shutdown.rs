//! Graceful shutdown: which requests are served, which are rejected, and that each request that is read gets a response.

mod common;

use std::time::Duration;

use common::*;
use googletest::prelude::*;
use gradepaddle_dataplane::{Phase, ShutdownTimes, shut_down};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// A grace period longer than any of these tests.
const NEVER: Duration = Duration::from_secs(3600);

/// Begins a shutdown that rejects new requests at once.
fn begin_shutdown(harness: &Harness, grace_period: Duration) -> JoinHandle<()> {
    let plane = harness.plane.clone();
    let times = ShutdownTimes { accepts_requests_for: Duration::ZERO, grace_period };
    tokio::task::spawn_local(async move { shut_down(&plane, times, std::future::ready(())).await })
}

/// A stream of two events, of which the second waits for the gate.
fn gated_stream(gate: &Gate) -> Script {
    let rest =
        vec![Step::Wait(gate.clone()), Step::Bytes(chunk(&event(2))), Step::Bytes(LAST_CHUNK.to_vec())];
    begun_stream(&event(1), rest)
}

/// Waits until the process is in this phase.
async fn wait_for_phase(harness: &Harness, phase: Phase) {
    harness.plane.phase_reached(phase).await;
}

#[gtest]
fn a_request_in_the_closing_phase_gets_503_and_is_not_begun() {
    run(async {
        let gate = Gate::default();
        let harness = Harness::new(vec![gated_stream(&gate)]).await;
        let mut streaming = harness.client().await;
        streaming.send(&ClientRequest::post("/stream/x").bytes()).await;
        streaming.wait_for(&event(1)).await;
        let shutdown = begin_shutdown(&harness, NEVER);
        wait_for_phase(&harness, Phase::Closing).await;
        for target in ["/safe/x", "/unsafe/x", "/stream/x"] {
            let mut late = harness.client().await;
            let response = late.request(&ClientRequest::post(target)).await;
            expect_that!((response.status, response.says_not_processed()), eq((503, true)), "{target}");
            expect_that!(response.retry_after(), some(lt(1.0)), "{target}");
            expect_that!(response.field("Connection"), some(eq("close")), "{target}");
            expect_that!(late.end().await, eq(&(BodyEnd::Closed, vec![])), "{target}");
        }
        gate.open();
        expect_that!(&*streaming.response().await.text(), eq(&*events(1..=2)));
        shutdown.await.expect("it ends");
        expect_that!(harness.servers_reached().await.len(), eq(1));
    });
}

#[gtest]
fn shutdown_waits_for_a_request_that_has_arrived_in_part() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let mut client = harness.client().await;
        let bytes = ClientRequest::post("/unsafe/x").bytes();
        let (first, rest) = bytes.split_at(bytes.len() - 3);
        client.send(first).await;
        while harness.plane.open_requests() == 0 {
            tokio::task::yield_now().await;
        }
        let shutdown = begin_shutdown(&harness, NEVER);
        wait_for_phase(&harness, Phase::Closing).await;
        expect_that!(shutdown.is_finished(), eq(false));
        client.send(rest).await;
        expect_that!(client.response().await.status, eq(503));
        shutdown.await.expect("it ends");
        expect_that!(harness.plane.open_requests(), eq(0));
    });
}

#[gtest]
fn no_connection_is_accepted_after_shutdown() {
    run(async {
        let harness = Harness::new(vec![]).await;
        begin_shutdown(&harness, NEVER).await.expect("it ends");
        wait_for_phase(&harness, Phase::Closed).await;
        expect_that!(TcpStream::connect(harness.front).await.is_err(), eq(true));
    });
}

#[gtest]
fn a_stream_longer_than_the_grace_period_does_not_delay_shutdown() {
    run(async {
        let harness = Harness::new(vec![gated_stream(&Gate::default())]).await;
        let mut client = harness.client().await;
        client.send(&ClientRequest::post("/stream/x").bytes()).await;
        client.wait_for(&event(1)).await;
        begin_shutdown(&harness, Duration::ZERO).await.expect("it ends");
        expect_that!(harness.plane.open_requests(), eq(1));
    });
}

#[gtest]
fn requests_are_served_until_the_hand_over_is_done() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let (done, wait) = tokio::sync::oneshot::channel::<()>();
        let plane = harness.plane.clone();
        let times = ShutdownTimes { accepts_requests_for: Duration::ZERO, grace_period: NEVER };
        let shutdown = tokio::task::spawn_local(async move {
            let hand_over = async {
                let _ = wait.await;
            };
            shut_down(&plane, times, hand_over).await;
        });
        wait_for_phase(&harness, Phase::Draining).await;
        expect_that!(harness.request(&ClientRequest::post("/unsafe/x")).await.status, eq(200));
        done.send(()).expect("it waits");
        shutdown.await.expect("it ends");
    });
}
