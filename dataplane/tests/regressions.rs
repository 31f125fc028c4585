//! Faults that were found on the bench or by tests, each mended since.

mod common;

use common::*;
use googletest::prelude::*;

/// RFC 9112, 6.1: no transfer coding for a client that speaks HTTP/1.0, which can't read it.
#[gtest]
fn an_old_client_gets_no_chunks() {
    run(async {
        let chunks = bytes(|arrival| pieces(arrival, "200 OK", "", b"in pieces", &[4]));
        let world = World::new(vec![chunks]).await;
        let mut client = world.client().await;
        client.send(b"GET /safe/x HTTP/1.0\r\nHost: one.example\r\nX-Request-Id: old\r\n\r\n").await;
        let (ending, seen) = client.end().await;
        let text = String::from_utf8_lossy(&seen).into_owned();
        expect_that!(ending, eq(Ending::Closed));
        expect_that!(text.to_ascii_lowercase(), not(contains_substring("transfer-encoding")));
        expect_that!(text, ends_with("\r\n\r\nin pieces"));
    });
}

/// RFC 9112, 3.2: a request with more than one Host field is to be refused. Here the first one chooses the route, and
/// the server gets both.
#[gtest]
fn a_request_with_two_hosts_gets_400() {
    run(async {
        let world = World::new(vec![]).await;
        let answer = world.ask(&Ask::get("/safe/x").field("Host", "two.example")).await;
        expect_that!(answer.status, eq(400));
        expect_that!(world.all_arrivals().await.len(), eq(0));
    });
}

/// What the page of `Counters` says of `served`.
#[gtest]
fn a_servers_failure_is_not_counted_as_served() {
    run(async {
        let world = World::new(vec![status("500 Own"), whole("done")]).await;
        world.ask(&Ask::post("/unsafe/x")).await;
        expect_that!(world.plane.counters.responses.get(), eq(0));
        world.ask(&Ask::post("/unsafe/x")).await;
        expect_that!(world.plane.counters.responses.get(), eq(1));
    });
}

/// A server sends events and breaks off at once: what has come is the client's, and the next server goes on behind it.
#[gtest]
fn events_that_come_together_with_a_break_are_passed_on() {
    run(async {
        for end in [Step::Close, Step::Reset] {
            let broken = || begun_stream(&events(1..=2), vec![end.clone()]);
            let world = World::new(vec![broken(), stream(3..=4)]).await;
            let answer = world.ask(&Ask::post("/resume/x")).await;
            expect_that!(answer.text(), eq(&events(1..=4)));
            let arrivals = world.all_arrivals().await;
            expect_that!(arrivals[1].all("Last-Event-Id"), elements_are![eq(&"2")]);
            let world = World::new(vec![broken()]).await;
            let answer = world.ask(&Ask::post("/stream/x")).await;
            expect_true!(answer.is_cut());
            expect_that!(answer.text(), eq(&events(1..=2)));
        }
    });
}
