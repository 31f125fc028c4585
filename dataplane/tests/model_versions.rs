//! Newer weights are named while requests wait at servers: none begins on older ones once the newer bind.

mod common;

use common::configuration::MODEL;
use common::harness::FIRST_VERSION;
use common::*;
use googletest::prelude::*;
use gradepaddle_placement::Micros;

const MS: Micros = 1_000;
/// Within which a named version binds here, and how much sooner nothing older is placed.
const WITHIN: Micros = 400 * MS;
const MARGIN: Micros = 100 * MS;
/// How much sooner what has not begun is taken back.
const BEGIN_MARGIN: Micros = 50 * MS;
const NEWER: u64 = FIRST_VERSION + 1;

async fn world(plays: Vec<Play>) -> World {
    let options = Options { version_margin: MARGIN, begin_margin: BEGIN_MARGIN, ..Options::default() };
    World::with(options, plays).await
}

/// Names the newer version, as the control plane does.
fn name_newer(world: &World) {
    world.plane.announce_version(MODEL, NEWER, WITHIN);
}

/// All servers but this one have the newer version.
fn others_hold_newer(world: &World, server: &str) {
    let now = world.plane.now();
    let mut placer = world.plane.placer.borrow_mut();
    for other in world.servers.iter().filter(|other| other.id != server) {
        placer.observe_version(now, &other.id, MODEL, NEWER);
    }
}

/// A generation that the servers get two seconds for: less than its client would wait.
fn generation(target: &str) -> Ask {
    Ask::post(target).generation().field("X-Deadline-Ms", "2000")
}

/// Asks, has a newer version named while the request waits at its server, and gives the answer.
async fn ask_across_a_naming(world: &World, ask: &Ask) -> Answer {
    let mut client = world.client().await;
    client.send(&ask.bytes()).await;
    let arrivals = world.arrived(1).await;
    name_newer(world);
    others_hold_newer(world, &arrivals[0].server);
    client.answer().await
}

#[gtest]
fn what_has_not_begun_as_its_version_is_outdated_goes_to_a_newer_server() {
    run(async {
        let waiting: [(&str, MakePlay); 2] =
            [("no head", silence), ("no event", || begun_stream("", vec![Step::Hang]))];
        for (name, play) in waiting {
            let world = world(vec![play(), stream(1..=4)]).await;
            let answer = ask_across_a_naming(&world, &generation("/resume/x")).await;
            expect_that!((answer.status, &*answer.text()), eq((200, &*events(1..=4))), "{name}");
            let arrivals = world.all_arrivals().await;
            expect_that!(arrivals.len(), eq(2), "{name}");
            expect_that!(arrivals[1].field("Expect-Version"), some(eq(&*NEWER.to_string())), "{name}");
        }
    });
}

#[gtest]
fn what_may_not_run_twice_is_given_up_as_its_version_is_outdated() {
    run(async {
        let world = world(vec![silence()]).await;
        let answer = ask_across_a_naming(&world, &generation("/stream/x")).await;
        expect_that!(answer.status, eq(502));
        world.connection_ended(0).await;
        expect_that!(world.visited().await.len(), eq(1));
    });
}

#[gtest]
fn what_has_begun_goes_on_to_its_end() {
    run(async {
        let gate = Gate::default();
        let then =
            vec![Step::Wait(gate.clone()), Step::Bytes(chunk(&event(2))), Step::Bytes(LAST_CHUNK.to_vec())];
        // The other request is placed on the older version, and is taken back as that is outdated.
        let world = world(vec![begun_stream(&event(1), then), silence()]).await;
        let mut begun = world.client().await;
        begun.send(&generation("/stream/x").bytes()).await;
        begun.see(&event(1)).await;
        let mut waiting = world.client().await;
        waiting.send(&generation("/stream/x").bytes()).await;
        world.arrived(2).await;
        name_newer(&world);
        expect_that!(waiting.answer().await.status, eq(502));
        gate.open();
        expect_that!(begun.answer().await.text(), eq(&events(1..=2)));
    });
}
