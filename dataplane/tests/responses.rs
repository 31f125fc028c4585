//! What a client gets: its own server's answer, whole and unchanged, or one that is visibly cut.

mod common;

use std::time::Duration;

use common::*;
use googletest::prelude::*;
use tokio::time::Instant;

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at * 37 + at / 253) as u8).collect()
}

#[gtest]
fn status_body_and_seal_come_unchanged_whatever_frames_them() {
    run(async {
        for length in [0, 1, 4096, 70_000, 200_000] {
            let sent = body(length);
            let (one, two, three) = (sent.clone(), sent.clone(), sent.clone());
            let world = World::new(vec![
                bytes(move |arrival| plain(arrival, "200 Odd Reason", "", &one)),
                bytes(move |arrival| pieces(arrival, "201 Made", "", &two, &[1, 5000, 300])),
                bytes_then(move |arrival| until_close(arrival, "202 Taken", &three), vec![Step::Close]),
            ])
            .await;
            let mut client = world.client().await;
            for (status, reason) in [(200, "Odd Reason"), (201, "Made"), (202, "Taken")] {
                let ask = Ask::post("/unsafe/x");
                let answer = client.ask(&ask).await;
                expect_that!((answer.status, &*answer.reason), eq((status, reason)));
                expect_that!(answer.ending, eq(Ending::Whole));
                expect_true!(answer.body == sent);
                let arrivals = world.all_arrivals().await;
                let last = arrivals.last().expect("it arrived");
                expect_that!(answer.field("X-Server-Seal"), some(eq(&*seal(last))));
                expect_that!(answer.field("X-Request-Id"), some(eq(&*ask.id)));
            }
        }
    });
}

#[gtest]
fn a_servers_own_failure_comes_unchanged_where_nothing_may_be_repeated() {
    run(async {
        let statuses = ["300 A", "400 B", "404 C", "409 D", "418 E", "500 F", "502 G", "504 H", "599 I"];
        let world = World::new(statuses.iter().map(|line| status(line)).collect()).await;
        for line in statuses {
            let answer = world.ask(&Ask::post("/unsafe/x")).await;
            expect_that!(format!("{} {}", answer.status, answer.reason), eq(line));
            expect_that!(answer.text(), eq("of the server"));
            expect_that!(answer.field("X-Server-Seal"), some(anything()));
        }
        expect_that!(world.all_arrivals().await.len(), eq(statuses.len()));
    });
}

#[gtest]
fn an_answer_without_a_body_has_none() {
    run(async {
        let bare = |line: &'static str| -> Play {
            bytes(move |arrival| {
                format!("HTTP/1.1 {line}\r\nX-Request-Id: {}\r\nX-Server-Seal: s\r\n\r\n", arrival.id())
                    .into_bytes()
            })
        };
        let world = World::new(vec![bare("204 None"), bare("304 Same"), bare("200 OK"), whole("next")]).await;
        let mut client = world.client().await;
        for status in [204, 304] {
            let answer = client.ask(&Ask::get("/safe/x")).await;
            expect_that!((answer.status, answer.body.len()), eq((status, 0)));
        }
        let head = Ask::new("HEAD", "/safe/x");
        client.send(&head.bytes()).await;
        expect_that!(client.bare_answer().await.status, eq(200));
        expect_that!(client.ask(&Ask::get("/safe/x")).await.text(), eq("next"));
    });
}

#[gtest]
fn other_fields_of_an_answer_are_passed_on() {
    run(async {
        let more = "X-Server-Load: 1,0,8\r\nVersions: 3\r\nContent-Type: odd/type\r\nX-Odd: \"a\", b:c\r\n\
            Connection: X-Hop\r\nX-Hop: dropped\r\nKeep-Alive: timeout=9\r\n";
        let world = World::new(vec![bytes(move |arrival| plain(arrival, "200 OK", more, b"x"))]).await;
        let answer = world.ask(&Ask::get("/safe/x")).await;
        expect_that!(answer.field("Versions"), some(eq("3")));
        expect_that!(answer.field("Content-Type"), some(eq("odd/type")));
        expect_that!(answer.field("X-Odd"), some(eq("\"a\", b:c")));
        expect_that!(answer.field("X-Hop"), none());
    });
}

#[gtest]
fn interim_answers_are_passed_over() {
    run(async {
        let world = World::new(vec![bytes(|arrival| {
            let interim = format!("HTTP/1.1 103 Early\r\nX-Request-Id: {}\r\nLink: x\r\n\r\n", arrival.id());
            [b"HTTP/1.1 100 Continue\r\n\r\n", interim.as_bytes(), &plain(arrival, "200 OK", "", b"final")]
                .concat()
        })])
        .await;
        let answer = world.ask(&Ask::get("/safe/x")).await;
        expect_that!((answer.status, &*answer.text()), eq((200, "final")));
    });
}

/// Answers of which the end is missing, by what frames them.
fn short_answers() -> Vec<(&'static str, Make)> {
    fn cut(mut bytes: Vec<u8>, less: usize) -> Vec<u8> {
        bytes.truncate(bytes.len() - less);
        bytes
    }
    vec![
        ("a length, nothing of the body", |arrival| cut(plain(arrival, "200 OK", "", b"0123456789"), 10)),
        ("a length, all but one byte", |arrival| cut(plain(arrival, "200 OK", "", b"0123456789"), 1)),
        ("a length, much of the body", |arrival| cut(plain(arrival, "200 OK", "", &[7; 100_000]), 10_000)),
        ("chunks, nothing", |arrival| cut(pieces(arrival, "200 OK", "", b"0123456789", &[10]), 20)),
        ("chunks, amid a chunk", |arrival| cut(pieces(arrival, "200 OK", "", b"0123456789", &[10]), 10)),
        ("chunks, behind a chunk", |arrival| cut(pieces(arrival, "200 OK", "", b"0123456789", &[5]), 5)),
        ("chunks, amid the last one", |arrival| cut(pieces(arrival, "200 OK", "", b"0123456789", &[5]), 2)),
        ("chunks, a size that is none", |arrival| {
            [cut(pieces(arrival, "200 OK", "", b"0123456789", &[5]), 5), b"zz\r\n".to_vec()].concat()
        }),
        ("chunks, one longer than its size", |arrival| {
            [cut(pieces(arrival, "200 OK", "", b"0123456789", &[5]), 5), b"2\r\nabcd\r\n0\r\n\r\n".to_vec()]
                .concat()
        }),
    ]
}

#[gtest]
fn an_answer_that_ends_early_never_looks_complete() {
    run(async {
        for target in ["/unsafe/x", "/safe/x", "/stream/x"] {
            for (name, make) in short_answers() {
                for end in [Step::Close, Step::Reset] {
                    // The server breaks off only once the client has what is there: the head is on its way.
                    let gate = Gate::default();
                    let then = vec![Step::Wait(gate.clone()), end];
                    let world = World::new(vec![bytes_then(make, then)]).await;
                    let mut client = world.client().await;
                    client.send(&Ask::post(target).bytes()).await;
                    client.see("\r\n\r\n").await;
                    gate.open();
                    let answer = client.answer().await;
                    expect_that!(answer.status, eq(200), "{target}, {name}");
                    expect_true!(answer.is_cut());
                    expect_that!(client.end().await.1, is_empty(), "{target}, {name}");
                    expect_that!(world.visited().await.len(), eq(1), "{target}, {name}");
                }
            }
        }
    });
}

#[gtest]
fn nothing_follows_an_answer_that_was_cut() {
    run(async {
        let first = bytes_then(
            |arrival| {
                let answer = plain(arrival, "200 OK", "", b"0123456789");
                answer[..answer.len() - 4].to_vec()
            },
            vec![Step::Close],
        );
        let world = World::new(vec![first]).await;
        let mut client = world.client().await;
        let asks: Vec<u8> =
            [Ask::post("/unsafe/x"), Ask::post("/unsafe/y")].iter().flat_map(Ask::bytes).collect();
        client.send(&asks).await;
        match client.answer_or_end().await {
            Ok(answer) => expect_true!(answer.is_cut()),
            Err(ending) => expect_that!(ending, eq(Ending::Reset)),
        }
        expect_that!(client.end().await.1, is_empty());
        expect_that!(world.visited().await.len(), eq(1));
    });
}

/// An answer to a request that nobody made.
fn stale(body: &[u8], chunks: bool) -> Vec<u8> {
    let other = Arrival {
        server: "s1".to_owned(),
        connection: 0,
        method: "GET".to_owned(),
        target: "/".to_owned(),
        fields: vec![("X-Request-Id".to_owned(), "of-another-request".to_owned())],
        body: Vec::new(),
    };
    match chunks {
        true => pieces(&other, "200 OK", "", body, &[900]),
        false => plain(&other, "200 OK", "", body),
    }
}

#[gtest]
fn surplus_answers_before_the_right_one_never_reach_a_client() {
    run(async {
        let surplus = [
            stale(b"stale", false),
            stale(b"", false),
            stale(b"stale", true),
            stale(&[b's'; 100_000], false),
            [stale(b"stale", true), stale(b"staler", false)].concat(),
        ];
        for (at, surplus) in surplus.into_iter().enumerate() {
            let right =
                move |arrival: &Arrival| [&surplus[..], &plain(arrival, "200 OK", "", b"right")].concat();
            let world = World::new(vec![bytes(right), whole("next")]).await;
            let mut client = world.client().await;
            let ask = Ask::post("/unsafe/x");
            let answer = client.ask(&ask).await;
            expect_that!((answer.status, &*answer.text()), eq((200, "right")), "{at}");
            expect_that!(answer.field("X-Request-Id"), some(eq(&*ask.id)), "{at}");
            expect_that!(client.ask(&Ask::get("/safe/x")).await.text(), eq("next"), "{at}");
            expect_that!(world.visited().await.len(), eq(2), "{at}");
        }
    });
}

#[gtest]
fn an_answer_of_another_request_alone_never_reaches_a_client() {
    run(async {
        for end in [Step::Close, Step::Reset, Step::Hang] {
            for target in ["/unsafe/x", "/stream/x"] {
                let first = bytes_then(|_| stale(b"stale", false), vec![end.clone()]);
                let world = World::new(vec![first]).await;
                let ask = Ask::post(target).field("X-Deadline-Ms", "500");
                let answer = world.ask(&ask).await;
                expect_that!(answer.status, any![eq(502), eq(504)], "{target}");
                expect_that!(answer.field("X-Request-Id"), some(eq(&*ask.id)));
                expect_that!(world.visited().await.len(), eq(1), "{target}");
            }
        }
    });
}

#[gtest]
fn an_answer_whose_id_differs_in_anything_is_another_requests() {
    run(async {
        let changes: [fn(&str) -> String; 3] =
            [str::to_uppercase, |id| format!("{id}0"), |id| id[..id.len() - 1].to_owned()];
        for change in changes {
            let first = bytes_then(
                move |arrival| {
                    let mut other = arrival.clone();
                    other.fields = vec![("X-Request-Id".to_owned(), change(arrival.id()))];
                    plain(&other, "200 OK", "", b"stale")
                },
                vec![Step::Close],
            );
            let world = World::new(vec![first]).await;
            expect_that!(world.ask(&Ask::post("/unsafe/x").id("abc-def")).await.status, eq(502));
        }
    });
}

#[gtest]
fn bytes_behind_a_whole_answer_belong_to_no_request() {
    run(async {
        let cases: [Make; 3] = [
            |arrival| [plain(arrival, "200 OK", "", b"one"), stale(b"stale", false)].concat(),
            |arrival| [plain(arrival, "200 OK", "", b"one"), plain(arrival, "200 OK", "", b"again")].concat(),
            |arrival| [pieces(arrival, "200 OK", "", b"one", &[2]), b"\x00garbage".to_vec()].concat(),
        ];
        for first in cases {
            let world = World::of_servers(&["s1"], vec![bytes(first), whole("two")]).await;
            let mut client = world.client().await;
            expect_that!(client.ask(&Ask::post("/unsafe/x")).await.text(), eq("one"));
            expect_that!(client.ask(&Ask::post("/unsafe/y")).await.text(), eq("two"));
            let arrivals = world.all_arrivals().await;
            expect_that!(arrivals.len(), eq(2));
            expect_that!(arrivals[1].connection, not(eq(arrivals[0].connection)));
        }
    });
}

#[gtest]
fn a_connection_on_which_bytes_came_while_idle_is_not_used_again() {
    run(async {
        let (gate, written) = (Gate::default(), Gate::default());
        let then =
            vec![Step::Wait(gate.clone()), Step::Bytes(stale(b"stale", false)), Step::Open(written.clone())];
        let first = bytes_then(|arrival| plain(arrival, "200 OK", "", b"one"), then);
        let world = World::of_servers(&["s1"], vec![first, whole("two")]).await;
        let mut client = world.client().await;
        expect_that!(client.ask(&Ask::post("/unsafe/x")).await.text(), eq("one"));
        gate.open();
        written.passed().await;
        expect_that!(client.ask(&Ask::post("/unsafe/y")).await.text(), eq("two"));
        expect_that!(world.all_arrivals().await[1].connection, eq(1));
    });
}

#[gtest]
fn a_connection_that_its_server_ended_while_idle_is_not_used_again() {
    run(async {
        for end in [Step::Close, Step::Reset] {
            let first = bytes_then(|arrival| plain(arrival, "200 OK", "", b"one"), vec![end]);
            let world = World::of_servers(&["s1"], vec![first, whole("two")]).await;
            let mut client = world.client().await;
            // A reset may overtake the end of the answer.
            let answer = client.ask(&Ask::post("/unsafe/x")).await;
            expect_that!((answer.status, &*answer.text()), eq((200, "one")));
            world.connection_ended(0).await;
            expect_that!(client.ask(&Ask::post("/unsafe/y")).await.text(), eq("two"));
            expect_that!(world.all_arrivals().await[1].connection, eq(1));
        }
    });
}

#[gtest]
fn connections_to_servers_are_used_again_as_far_as_the_servers_say() {
    run(async {
        for (more, again) in [
            ("", true),
            ("Keep-Alive: timeout=60\r\n", true),
            ("Keep-Alive: timeout=0\r\n", false),
            ("Connection: close\r\n", false),
        ] {
            let first = bytes(move |arrival| plain(arrival, "200 OK", more, b"one"));
            let world = World::of_servers(&["s1"], vec![first, whole("two")]).await;
            let mut client = world.client().await;
            client.ask(&Ask::post("/unsafe/x")).await;
            expect_that!(client.ask(&Ask::post("/unsafe/y")).await.text(), eq("two"));
            let arrivals = world.all_arrivals().await;
            expect_that!(arrivals[0].connection == arrivals[1].connection, eq(again), "{more:?}");
        }
    });
}

#[gtest]
fn requests_of_several_clients_share_no_connection_at_a_time() {
    run(async {
        let gate = Gate::default();
        let late = gate.clone();
        let first: Play = Box::new(move |arrival| {
            vec![Step::Wait(late.clone()), Step::Bytes(plain(arrival, "200 OK", "", b"slow"))]
        });
        let world = World::of_servers(&["s1"], vec![first, whole("quick")]).await;
        let mut slow = world.client().await;
        slow.send(&Ask::get("/safe/x").bytes()).await;
        world.arrived(1).await;
        expect_that!(world.ask(&Ask::get("/safe/y")).await.text(), eq("quick"));
        gate.open();
        expect_that!(slow.answer().await.text(), eq("slow"));
        let arrivals = world.all_arrivals().await;
        expect_that!(arrivals[0].connection, not(eq(arrivals[1].connection)));
    });
}

#[gtest]
fn pipelined_requests_get_their_answers_in_order() {
    run(async {
        let echo = || -> Play { bytes(|arrival| plain(arrival, "200 OK", "", arrival.id().as_bytes())) };
        let world = World::new((0..8).map(|_| echo()).collect()).await;
        let asks = [
            Ask::get("/safe/x"),
            Ask::post("/unsafe/x").body(&[b'G'; 9000]),
            Ask::get("/nowhere/x"),
            Ask::post("/unsafe/x").body(b"GET /safe/inner HTTP/1.1\r\n\r\n").in_chunks(&[3]),
            Ask::get("/stream/x"),
            Ask::post("/unsafe/x").body(b""),
        ];
        let mut client = world.client().await;
        client.send(&asks.iter().flat_map(Ask::bytes).collect::<Vec<u8>>()).await;
        for ask in &asks {
            let answer = client.answer().await;
            expect_that!(answer.field("X-Request-Id"), some(eq(&*ask.id)));
            let expected = if ask.target == "/nowhere/x" { (404, "") } else { (200, &*ask.id) };
            expect_that!((answer.status, &*answer.text()), eq(expected));
        }
        expect_that!(world.visited().await.len(), eq(5));
    });
}

#[gtest]
fn requests_that_come_byte_by_byte_are_answered_on_one_connection() {
    run(async {
        let world = World::new(vec![whole("one"), whole("two")]).await;
        let mut client = world.client().await;
        for text in ["one", "two"] {
            for byte in Ask::post("/unsafe/x").in_chunks(&[4]).bytes() {
                client.send(&[byte]).await;
                tokio::task::yield_now().await;
            }
            expect_that!(client.answer().await.text(), eq(text));
        }
    });
}

#[gtest]
fn a_client_that_wants_to_end_its_connection_is_told_that_it_ends() {
    run(async {
        let world = World::new(vec![]).await;
        for target in ["/safe/x", "/nowhere/x"] {
            let mut client = world.client().await;
            let answer = client.ask(&Ask::get(target).field("Connection", "close")).await;
            expect_that!(answer.field("Connection"), some(eq("close")));
            expect_that!(client.end().await, eq(&(Ending::Closed, vec![])));
        }
    });
}

#[gtest]
fn a_long_answer_is_passed_on_as_it_comes() {
    run(async {
        for make in [(|arrival| plain(arrival, "200 OK", "", &[b'x'; 50_000])) as Make, |arrival| {
            pieces(arrival, "200 OK", "", &[b'x'; 50_000], &[1000])
        }] {
            let gate = Gate::default();
            let late = gate.clone();
            let first: Play = Box::new(move |arrival| {
                let answer = make(arrival);
                let (begin, rest) = answer.split_at(30_000);
                vec![Step::Bytes(begin.to_vec()), Step::Wait(late.clone()), Step::Bytes(rest.to_vec())]
            });
            let world = World::new(vec![first]).await;
            let mut client = world.client().await;
            client.send(&Ask::get("/safe/x").bytes()).await;
            client.see(&"x".repeat(1000)).await;
            gate.open();
            expect_that!(client.answer().await.body.len(), eq(50_000));
        }
    });
}

#[gtest]
fn a_client_that_reads_late_gets_all_of_a_long_answer() {
    run(async {
        let body = body(8_000_000);
        let sent = body.clone();
        let world = World::new(vec![bytes(move |arrival| plain(arrival, "200 OK", "", &sent))]).await;
        let mut client = world.client().await;
        client.send(&Ask::get("/safe/x").bytes()).await;
        // Far more than the sockets hold: the node has to wait for the client.
        world.arrived(1).await;
        client.see("\r\n\r\n").await;
        expect_true!(client.answer().await.body == body);
    });
}

#[gtest]
fn a_client_that_leaves_ends_the_work_of_its_server() {
    run(async {
        let plays: [MakePlay; 3] =
            [silence, || begun_stream(&event(1), vec![Step::Hang]), || begun_stream("", vec![Step::Hang])];
        for play in plays {
            for more in [&b""[..], b"GET /safe/next HTTP/1.1\r\n"] {
                let world = World::new(vec![play()]).await;
                let mut client = world.client().await;
                let ask = Ask::post("/stream/x").field("X-Deadline-Ms", "20000");
                client.send(&[&ask.bytes(), more].concat()).await;
                let arrivals = world.arrived(1).await;
                let left = Instant::now();
                drop(client);
                world.connection_ended(arrivals[0].connection).await;
                expect_that!(left.elapsed(), lt(Duration::from_secs(5)));
                expect_that!(world.visited().await.len(), eq(1));
                expect_that!(world.plane.placer.borrow().in_flight(), eq(0));
            }
        }
    });
}

/// Its end may come together with its request, before the node has looked at either.
#[gtest]
fn a_client_that_leaves_at_once_leaves_nothing_behind() {
    run(async {
        let world = World::new(vec![silence()]).await;
        let begun = Instant::now();
        let mut client = world.client().await;
        client.send(&Ask::post("/stream/x").field("X-Deadline-Ms", "20000").bytes()).await;
        drop(client);
        while world.plane.counters.requests.get() == 0 || world.plane.open_requests() > 0 {
            tokio::task::yield_now().await;
        }
        expect_that!(begun.elapsed(), lt(Duration::from_secs(5)));
        expect_that!(world.plane.placer.borrow().in_flight(), eq(0));
        if world.stage.connections.get() > 0 {
            world.connection_ended(0).await;
        }
    });
}

#[gtest]
fn a_request_that_is_refused_makes_no_connection() {
    run(async {
        let world = World::new(vec![]).await;
        expect_that!(world.ask(&Ask::get("/nowhere/x")).await.status, eq(404));
        expect_that!(world.all_arrivals().await.len(), eq(0));
        expect_that!(world.stage.connections.get(), eq(0));
    });
}
