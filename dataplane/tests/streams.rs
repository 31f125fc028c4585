//! Streams: no event is lost, repeated or joined, whatever breaks, and a stream that breaks for good is visibly cut.

mod common;

use common::*;
use googletest::prelude::*;

/// Goes on behind the last event that the request tells, up to this one.
fn goes_on_to(last: u64) -> Play {
    Box::new(move |arrival| {
        let from = arrival.field("Last-Event-Id").map_or(0, |id| id.parse().expect("a number"));
        stream(from + 1..=last)(arrival)
    })
}

#[gtest]
fn a_stream_is_passed_on_unchanged() {
    run(async {
        let texts = [
            events(1..=40),
            "id: 7\r\ndata: a\r\ndata: b\r\n\r\nid: 8\r\ndata: c\r\n\r\n".to_owned(),
            ": a comment\n\nversions: 4\nid: 1\ndata: x\n\nevent: odd\ndata\nid\n\n".to_owned(),
            "data: no end behind this".to_owned(),
            "\n\n\n".to_owned(),
            String::new(),
        ];
        for text in texts {
            for sizes in [&[1][..], &[7, 2], &[10_000]] {
                for target in ["/stream/x", "/resume/x"] {
                    let sent = text.clone();
                    let play = bytes(move |arrival| pieces(arrival, "200 OK", "", sent.as_bytes(), sizes));
                    let world = World::new(vec![play]).await;
                    let answer = world.ask(&Ask::post(target)).await;
                    expect_that!((answer.status, answer.ending), eq((200, Ending::Whole)));
                    expect_that!(answer.text(), eq(&text), "{target} {sizes:?}");
                }
            }
        }
    });
}

#[gtest]
fn events_are_passed_on_as_they_come() {
    run(async {
        let gates: Vec<Gate> = (0..3).map(|_| Gate::default()).collect();
        let mut then = Vec::new();
        for (id, gate) in (2..).zip(&gates) {
            then.extend([Step::Wait(gate.clone()), Step::Bytes(chunk(&event(id)))]);
        }
        then.push(Step::Bytes(LAST_CHUNK.to_vec()));
        let world = World::new(vec![begun_stream(&event(1), then)]).await;
        let mut client = world.client().await;
        client.send(&Ask::post("/stream/x").bytes()).await;
        for (id, gate) in (1..).zip(&gates) {
            client.see(&event(id)).await;
            gate.open();
        }
        expect_that!(client.answer().await.text(), eq(&events(1..=4)));
    });
}

#[gtest]
fn the_head_of_a_stream_is_passed_on_before_its_first_event() {
    run(async {
        let gate = Gate::default();
        let then = vec![Step::Wait(gate.clone()), Step::Bytes(LAST_CHUNK.to_vec())];
        let world = World::new(vec![begun_stream("", then)]).await;
        let mut client = world.client().await;
        client.send(&Ask::post("/stream/x").bytes()).await;
        client.see("\r\n\r\n").await;
        gate.open();
        expect_that!(client.answer().await.ending, eq(Ending::Whole));
    });
}

#[gtest]
fn a_stream_that_breaks_goes_on_at_another_server_as_one_answer() {
    run(async {
        let gate = Gate::default();
        // The third event is on its way as the server breaks off.
        let first = broken_stream(&(events(1..=2) + "id: 3\ndata: tok"), &gate);
        let world = World::new(vec![first, goes_on_to(6)]).await;
        let ask = Ask::post("/resume/x").generation();
        let mut client = world.client().await;
        client.send(&ask.bytes()).await;
        client.see(&event(2)).await;
        gate.open();
        let answer = client.answer().await;
        expect_that!((answer.status, answer.ending), eq((200, Ending::Whole)));
        expect_that!(answer.text(), eq(&events(1..=6)));
        let arrivals = world.all_arrivals().await;
        expect_that!(arrivals.len(), eq(2));
        expect_that!(answer.field("X-Server-Seal"), some(eq(&*seal(&arrivals[0]))));
        expect_that!(answer.field("X-Request-Id"), some(eq(&*ask.id)));
        expect_that!(arrivals[0].server, not(eq(&arrivals[1].server)));
        expect_that!(arrivals[0].all("Last-Event-Id"), is_empty());
        expect_that!(arrivals[1].all("Last-Event-Id"), elements_are![eq(&"2")]);
        expect_that!(arrivals[1].id(), eq(&ask.id));
        expect_true!(arrivals[1].body == ask.body);
        expect_that!(arrivals[1].deadline_ms(), le(arrivals[0].deadline_ms()));
        // The connection bears the next request as if nothing had been.
        expect_that!(client.ask(&Ask::get("/safe/x")).await.text(), eq("plain"));
    });
}

/// Three events in chunks of their own, and behind how many of these bytes each of them is whole.
fn three_events(line_end: &str) -> (Vec<u8>, Vec<usize>) {
    let (mut body, mut ends) = (Vec::new(), Vec::new());
    for id in 1..=3 {
        body.extend(chunk(&event(id).replace('\n', line_end)));
        // What ends a chunk is no part of its event.
        ends.push(body.len() - 2);
    }
    (body, ends)
}

#[gtest]
fn a_stream_that_breaks_behind_any_byte_goes_on_without_a_seam() {
    run(async {
        for line_end in ["\n", "\r\n"] {
            let (body, ends) = three_events(line_end);
            for end in 0..=body.len() {
                let whole = ends.iter().filter(|whole| **whole <= end).count();
                let (begun, gate) = (body[..end].to_vec(), Gate::default());
                let then = vec![Step::Wait(gate.clone()), Step::Close];
                let first = bytes_then(move |arrival| [stream_head(arrival), begun.clone()].concat(), then);
                let world = World::new(vec![first, goes_on_to(5)]).await;
                let mut client = world.client().await;
                client.send(&Ask::post("/resume/x").bytes()).await;
                client.see("\r\n\r\n").await;
                if whole > 0 {
                    client.see(&format!("token {whole}")).await;
                }
                gate.open();
                let answer = client.answer().await;
                expect_that!(answer.ending, eq(Ending::Whole), "behind {end} bytes");
                // The first server's events have its line ends, the second's their own.
                expect_that!(answer.text().replace("\r\n", "\n"), eq(&events(1..=5)), "behind {end} bytes");
                let arrivals = world.all_arrivals().await;
                expect_that!(answer.field("X-Server-Seal"), some(eq(&*seal(&arrivals[0]))));
                expect_that!(arrivals.len(), eq(2));
                let told = arrivals[1].field("Last-Event-Id").unwrap_or("0").to_owned();
                expect_that!(told, eq(&whole.to_string()), "behind {end} bytes");
            }
        }
    });
}

#[gtest]
fn a_stream_that_a_client_takes_up_goes_on_behind_its_last_event() {
    run(async {
        // The server breaks off before its first event.
        let gate = Gate::default();
        let world = World::new(vec![broken_stream("", &gate), goes_on_to(14)]).await;
        let mut client = world.client().await;
        client.send(&Ask::post("/resume/x").field("Last-Event-Id", "12").bytes()).await;
        client.see("\r\n\r\n").await;
        gate.open();
        expect_that!(client.answer().await.text(), eq(&events(13..=14)));
        let arrivals = world.all_arrivals().await;
        expect_that!(arrivals[0].all("Last-Event-Id"), elements_are![eq(&"12")]);
        expect_that!(arrivals[1].all("Last-Event-Id"), elements_are![eq(&"12")]);
    });
}

#[gtest]
fn a_stream_that_breaks_before_its_head_has_that_of_the_next_server() {
    run(async {
        let world = World::new(vec![reset(), goes_on_to(3)]).await;
        let answer = world.ask(&Ask::post("/resume/x")).await;
        expect_that!(answer.text(), eq(&events(1..=3)));
        let arrivals = world.all_arrivals().await;
        expect_that!(answer.field("X-Server-Seal"), some(eq(&*seal(&arrivals[1]))));
        expect_that!(arrivals[1].all("Last-Event-Id"), is_empty());
    });
}

#[gtest]
fn a_stream_may_break_as_often_as_its_route_has_tries() {
    run(async {
        let (first, second) = (Gate::default(), Gate::default());
        let plays =
            vec![broken_stream(&events(1..=2), &first), broken_stream(&event(3), &second), goes_on_to(5)];
        let world = World::of_servers(&["s1", "s2", "s3"], plays).await;
        let mut client = world.client().await;
        client.send(&Ask::post("/resume-often/x").bytes()).await;
        client.see(&event(2)).await;
        first.open();
        client.see(&event(3)).await;
        second.open();
        let answer = client.answer().await;
        expect_that!((answer.ending, &*answer.text()), eq((Ending::Whole, &*events(1..=5))));
        let arrivals = world.all_arrivals().await;
        let told: Vec<Vec<&str>> = arrivals.iter().map(|arrival| arrival.all("Last-Event-Id")).collect();
        expect_that!(told, eq(&vec![vec![], vec!["2"], vec!["3"]]));
        expect_that!(answer.field("X-Server-Seal"), some(eq(&*seal(&arrivals[0]))));
    });
}

#[gtest]
fn a_server_that_turns_the_rest_of_a_stream_away_counts_as_a_try() {
    run(async {
        let gate = Gate::default();
        let plays = vec![broken_stream(&events(1..=2), &gate), turned_away(), goes_on_to(4)];
        let world = World::of_servers(&["s1", "s2", "s3"], plays).await;
        let mut client = world.client().await;
        client.send(&Ask::post("/resume-often/x").bytes()).await;
        client.see(&event(2)).await;
        gate.open();
        let answer = client.answer().await;
        expect_that!((answer.ending, &*answer.text()), eq((Ending::Whole, &*events(1..=4))));
        expect_that!(world.all_arrivals().await[2].all("Last-Event-Id"), elements_are![eq(&"2")]);
    });
}

/// Sends a stream's request to servers of these plays: the answer has to be cut behind these events.
async fn is_cut(target: &str, servers: &[&'static str], plays: Vec<Play>, visits: usize) {
    let gate = Gate::default();
    let first = broken_stream(&(events(1..=3) + "id: 4\nda"), &gate);
    let world = World::of_servers(servers, [vec![first], plays].into_iter().flatten().collect()).await;
    let mut client = world.client().await;
    client.send(&Ask::post(target).bytes()).await;
    client.see(&event(3)).await;
    gate.open();
    let answer = client.answer().await;
    expect_true!(answer.is_cut());
    expect_that!(answer.text(), eq(&events(1..=3)), "{target}");
    expect_that!(client.end().await.1, is_empty(), "{target}");
    expect_that!(world.visited().await.len(), eq(visits), "{target}");
    expect_that!(world.plane.placer.borrow().in_flight(), eq(0), "{target}");
}

#[gtest]
fn a_stream_that_cannot_go_on_is_visibly_cut() {
    run(async {
        is_cut("/stream/x", &["s1", "s2"], vec![], 1).await;
        is_cut("/resume-once/x", &["s1", "s2"], vec![], 1).await;
        is_cut("/resume/x", &["s1", "s2"], vec![turned_away()], 2).await;
        is_cut("/resume/x", &["s1", "s2"], vec![reset()], 2).await;
        is_cut("/resume/x", &["s1", "s2"], vec![garbage()], 2).await;
        is_cut("/resume/x", &["s1", "s2"], vec![status("500 Own")], 2).await;
        is_cut("/resume/x", &["s1", "s2"], vec![status("404 Own")], 2).await;
        is_cut("/resume/x", &["s1", "s2", "s3"], vec![begun_stream("id: 4\nd", vec![Step::Close])], 2).await;
    });
}

#[gtest]
fn a_stream_with_a_length_is_visibly_cut_where_it_breaks() {
    run(async {
        let gate = Gate::default();
        let then = vec![Step::Wait(gate.clone()), Step::Close];
        let text = events(1..=3);
        let short = text.len() - 4;
        let first = bytes_then(
            move |arrival| {
                let mut out = plain(arrival, "200 OK", "", text.as_bytes());
                out.truncate(out.len() - text.len() + short);
                out
            },
            then,
        );
        let world = World::new(vec![first, goes_on_to(3)]).await;
        let mut client = world.client().await;
        client.send(&Ask::post("/resume/x").bytes()).await;
        client.see(&event(2)).await;
        gate.open();
        let answer = client.answer().await;
        // Either it is cut, or it goes on as if nothing had been.
        expect_true!(answer.is_cut() || answer.text() == events(1..=3));
        expect_true!(events(1..=3).starts_with(&answer.text()));
    });
}

#[gtest]
fn a_stream_past_its_time_is_visibly_cut_and_its_server_is_let_go() {
    run(async {
        for target in ["/stream/x", "/resume/x"] {
            let world = World::new(vec![begun_stream(&event(1), vec![Step::Hang])]).await;
            let mut client = world.client().await;
            client.send(&Ask::post(target).field("X-Deadline-Ms", "300").bytes()).await;
            let answer = client.answer().await;
            expect_that!((answer.status, &*answer.text()), eq((200, &*event(1))));
            expect_true!(answer.is_cut());
            world.connection_ended(0).await;
            expect_that!(world.visited().await.len(), eq(1), "{target}");
        }
    });
}

#[gtest]
fn a_stream_that_its_connections_end_ends_is_whole() {
    run(async {
        let text = events(1..=3);
        let sent = text.clone();
        let first =
            bytes_then(move |arrival| until_close(arrival, "200 OK", sent.as_bytes()), vec![Step::Close]);
        let world = World::new(vec![first, whole("next")]).await;
        let mut client = world.client().await;
        let answer = client.ask(&Ask::post("/stream/x")).await;
        expect_that!((answer.ending, &*answer.text()), eq((Ending::Whole, &*text)));
        expect_that!(client.ask(&Ask::get("/safe/x")).await.text(), eq("next"));
    });
}

#[gtest]
fn a_stream_beyond_the_budget_of_repeats_is_visibly_cut() {
    run(async {
        let gate = Gate::default();
        let options = Options { retry_slack: 0.0, ..Options::default() };
        let world = World::with(options, vec![broken_stream(&events(1..=2), &gate)]).await;
        let mut client = world.client().await;
        client.send(&Ask::post("/resume/x").bytes()).await;
        client.see(&event(2)).await;
        gate.open();
        let answer = client.answer().await;
        expect_true!(answer.is_cut());
        expect_that!(answer.text(), eq(&events(1..=2)));
        expect_that!(world.visited().await.len(), eq(1));
    });
}

#[gtest]
fn a_change_of_weights_amid_a_stream_is_taken_to_heart() {
    run(async {
        let text = "id: 1\ndata: a\n\nversions: 4\nid: 2\ndata: b\n\n";
        let then = vec![Step::Bytes(LAST_CHUNK.to_vec())];
        let world = World::of_servers(&["s1"], vec![begun_stream(text, then)]).await;
        let answer = world.ask(&Ask::post("/resume/x").generation()).await;
        expect_that!(answer.text(), eq(text));
        expect_that!(world.ask(&Ask::post("/resume/x").generation()).await.status, eq(200));
        let arrivals = world.all_arrivals().await;
        expect_that!(arrivals[0].field("Expect-Version"), some(eq("3")));
        expect_that!(arrivals[1].field("Expect-Version"), some(eq("4")));
        expect_that!(arrivals[1].field("Cache-Salt"), not(eq(arrivals[0].field("Cache-Salt"))));
    });
}

#[gtest]
fn a_failure_on_a_route_of_streams_is_no_stream() {
    run(async {
        let text = "id: 9\n\nno event at all";
        let play = bytes(move |arrival| plain(arrival, "404 Own", "", text.as_bytes()));
        let world = World::new(vec![play]).await;
        let answer = world.ask(&Ask::post("/resume/x")).await;
        expect_that!((answer.status, &*answer.text()), eq((404, text)));
    });
}
