//! The end of a process: who is served, who is refused, and that nobody's request is read and left without an answer.

mod common;

use std::time::Duration;

use common::*;
use googletest::prelude::*;
use gradepaddle_dataplane::{Phase, ShutdownTimes, shut_down};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Longer than any of these tests.
const NEVER: Duration = Duration::from_secs(3600);

/// Begins the end of a process that refuses what comes from now on.
fn ending(world: &World, grace_period: Duration) -> JoinHandle<()> {
    let plane = world.plane.clone();
    let times = ShutdownTimes { accepts_requests_for: Duration::ZERO, grace_period };
    tokio::task::spawn_local(async move { shut_down(&plane, times, std::future::ready(())).await })
}

/// A stream of two events that waits for the gate between them.
fn gated_stream(gate: &Gate) -> Play {
    let rest =
        vec![Step::Wait(gate.clone()), Step::Bytes(chunk(&event(2))), Step::Bytes(LAST_CHUNK.to_vec())];
    begun_stream(&event(1), rest)
}

/// Waits until the process is in this phase.
async fn until(world: &World, phase: Phase) {
    world.plane.phase_reached(phase).await;
}

#[gtest]
fn a_request_that_comes_after_the_drain_is_refused_with_a_promise_and_not_begun() {
    run(async {
        let gate = Gate::default();
        let world = World::new(vec![gated_stream(&gate)]).await;
        let mut streaming = world.client().await;
        streaming.send(&Ask::post("/stream/x").bytes()).await;
        streaming.see(&event(1)).await;
        let ended = ending(&world, NEVER);
        until(&world, Phase::Closing).await;
        for target in ["/safe/x", "/unsafe/x", "/stream/x"] {
            let mut late = world.client().await;
            let answer = late.ask(&Ask::post(target)).await;
            expect_that!((answer.status, answer.promises()), eq((503, true)), "{target}");
            expect_that!(answer.retry_after(), some(lt(1.0)), "{target}");
            expect_that!(answer.field("Connection"), some(eq("close")), "{target}");
            expect_that!(late.end().await, eq(&(Ending::Closed, vec![])), "{target}");
        }
        gate.open();
        expect_that!(&*streaming.answer().await.text(), eq(&*events(1..=2)));
        ended.await.expect("it ends");
        expect_that!(world.visited().await.len(), eq(1));
    });
}

#[gtest]
fn the_end_waits_for_a_request_of_which_only_a_part_has_come() {
    run(async {
        let world = World::new(vec![]).await;
        let mut client = world.client().await;
        let bytes = Ask::post("/unsafe/x").bytes();
        let (first, rest) = bytes.split_at(bytes.len() - 3);
        client.send(first).await;
        while world.plane.open_requests() == 0 {
            tokio::task::yield_now().await;
        }
        let ended = ending(&world, NEVER);
        until(&world, Phase::Closing).await;
        expect_that!(ended.is_finished(), eq(false));
        client.send(rest).await;
        expect_that!(client.answer().await.status, eq(503));
        ended.await.expect("it ends");
        expect_that!(world.plane.open_requests(), eq(0));
    });
}

#[gtest]
fn no_connection_is_taken_once_the_process_has_ended_its_service() {
    run(async {
        let world = World::new(vec![]).await;
        ending(&world, NEVER).await.expect("it ends");
        until(&world, Phase::Closed).await;
        expect_that!(TcpStream::connect(world.front).await.is_err(), eq(true));
    });
}

#[gtest]
fn a_stream_that_outlasts_the_grace_does_not_hold_the_end() {
    run(async {
        let world = World::new(vec![gated_stream(&Gate::default())]).await;
        let mut client = world.client().await;
        client.send(&Ask::post("/stream/x").bytes()).await;
        client.see(&event(1)).await;
        ending(&world, Duration::ZERO).await.expect("it ends");
        expect_that!(world.plane.open_requests(), eq(1));
    });
}

#[gtest]
fn requests_are_served_until_the_hand_over_is_done() {
    run(async {
        let world = World::new(vec![]).await;
        let (done, wait) = tokio::sync::oneshot::channel::<()>();
        let plane = world.plane.clone();
        let times = ShutdownTimes { accepts_requests_for: Duration::ZERO, grace_period: NEVER };
        let ended = tokio::task::spawn_local(async move {
            let hand_over = async {
                let _ = wait.await;
            };
            shut_down(&plane, times, hand_over).await;
        });
        until(&world, Phase::Draining).await;
        expect_that!(world.ask(&Ask::post("/unsafe/x")).await.status, eq(200));
        done.send(()).expect("it waits");
        ended.await.expect("it ends");
    });
}
