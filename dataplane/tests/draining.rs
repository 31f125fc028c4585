//! Readiness, and the way to the end of a process.

mod common;

use common::configuration::parsed;
use common::*;
use googletest::prelude::*;
use gradepaddle_dataplane::Phase;

async fn ready(world: &World) -> u16 {
    let mut client = Client::connect(world.readiness).await;
    client.send(b"GET /v1/ready HTTP/1.1\r\nHost: any\r\n\r\n").await;
    client.answer().await.status
}

#[gtest]
fn a_node_is_ready_with_a_configuration_and_control_until_it_drains() {
    run(async {
        let world = World::with(Options { configuration: None, ..Options::default() }, vec![]).await;
        expect_that!((ready(&world).await, world.plane.is_ready()), eq((503, false)));
        world.plane.set_control_connected(true);
        expect_that!((ready(&world).await, world.plane.is_ready()), eq((503, false)));
        world.plane.set_control_connected(false);
        world.plane.set_configuration(parsed(&configuration()));
        expect_that!((ready(&world).await, world.plane.is_ready()), eq((503, false)));
        world.plane.set_control_connected(true);
        expect_that!((ready(&world).await, world.plane.is_ready()), eq((200, true)));
        world.plane.set_phase(Phase::Draining);
        expect_that!((ready(&world).await, world.plane.is_ready()), eq((503, false)));
        world.plane.set_phase(Phase::Closing);
        expect_that!((ready(&world).await, world.plane.is_ready()), eq((503, false)));
    });
}

#[gtest]
fn readiness_is_told_again_and_again_on_one_connection() {
    run(async {
        let world = World::new(vec![]).await;
        let mut client = Client::connect(world.readiness).await;
        for (path, status) in [("/v1/ready", 200), ("/v1/other", 404), ("/v1/ready", 200)] {
            client.send(format!("GET {path} HTTP/1.1\r\nHost: any\r\n\r\n").as_bytes()).await;
            expect_that!(client.answer().await.status, eq(status), "{path}");
        }
        world.plane.set_phase(Phase::Draining);
        client.send(b"GET /v1/ready HTTP/1.1\r\nHost: any\r\n\r\n").await;
        expect_that!(client.answer().await.status, eq(503));
        client.send(b"GET /v1/ready HTTP/1.1\r\nHost: any\r\nConnection: close\r\n\r\n").await;
        expect_that!(client.answer().await.status, eq(503));
        expect_that!(client.end().await, eq(&(Ending::Closed, vec![])));
    });
}

#[gtest]
fn a_draining_node_answers_and_ends_each_connection_behind_its_answer() {
    run(async {
        let world = World::new(vec![]).await;
        let mut old = world.client().await;
        expect_that!(old.ask(&Ask::get("/safe/x")).await.field("Connection"), none());
        world.plane.set_phase(Phase::Draining);
        let mut fresh = world.client().await;
        for (client, target, status) in [(&mut old, "/safe/x", 200), (&mut fresh, "/unsafe/x", 200)] {
            let answer = client.ask(&Ask::post(target)).await;
            expect_that!((answer.status, answer.ending), eq((status, Ending::Whole)));
            expect_that!(answer.field("Connection"), some(eq("close")));
            expect_that!(client.end().await, eq(&(Ending::Closed, vec![])));
        }
        for target in ["/nowhere/x", "/other/x", "/stream/x"] {
            let mut client = world.client().await;
            let answer = client.ask(&Ask::post(target)).await;
            expect_that!(answer.field("Connection"), some(eq("close")), "{target}");
            expect_that!(client.end().await, eq(&(Ending::Closed, vec![])), "{target}");
        }
    });
}

#[gtest]
fn idle_connections_end_only_in_the_closing_phase() {
    run(async {
        let world = World::new(vec![]).await;
        let mut used = world.client().await;
        expect_that!(used.ask(&Ask::get("/safe/x")).await.status, eq(200));
        let mut fresh = world.client().await;
        let mut served = world.client().await;
        world.plane.set_phase(Phase::Draining);
        // A connection that stood idle before still bears a request now.
        expect_that!(served.ask(&Ask::get("/safe/x")).await.status, eq(200));
        world.plane.set_phase(Phase::Closing);
        expect_that!(used.end().await, eq(&(Ending::Closed, vec![])));
        expect_that!(fresh.end().await, eq(&(Ending::Closed, vec![])));
    });
}

#[gtest]
fn open_requests_are_answered_whole_in_every_phase() {
    run(async {
        let gates: Vec<Gate> = (0..3).map(|_| Gate::default()).collect();
        let then = gates
            .iter()
            .zip(2..)
            .flat_map(|(gate, id)| [Step::Wait(gate.clone()), Step::Bytes(chunk(&event(id)))]);
        let then = then.chain([Step::Bytes(LAST_CHUNK.to_vec())]).collect();
        let world = World::new(vec![begun_stream(&event(1), then)]).await;
        expect_that!(world.plane.open_requests(), eq(0));
        let mut client = world.client().await;
        client.send(&Ask::post("/stream/x").bytes()).await;
        client.see(&event(1)).await;
        expect_that!(world.plane.open_requests(), eq(1));
        for (gate, (id, phase)) in
            gates.iter().zip([(2, Phase::Draining), (3, Phase::Closing), (4, Phase::Closing)])
        {
            world.plane.set_phase(phase);
            gate.open();
            client.see(&event(id)).await;
        }
        let answer = client.answer().await;
        expect_that!((answer.ending, &*answer.text()), eq((Ending::Whole, &*events(1..=4))));
        expect_that!(client.end().await, eq(&(Ending::Closed, vec![])));
        expect_that!(world.plane.open_requests(), eq(0));
    });
}

#[gtest]
fn a_request_whose_client_left_is_open_no_longer() {
    run(async {
        let world = World::new(vec![silence()]).await;
        let mut client = world.client().await;
        client.send(&Ask::post("/unsafe/x").bytes()).await;
        world.arrived(1).await;
        expect_that!(world.plane.open_requests(), eq(1));
        drop(client);
        world.connection_ended(0).await;
        // The server sees the end while the node is still letting go of the request.
        while world.plane.open_requests() > 0 {
            tokio::task::yield_now().await;
        }
    });
}
