//! Responses: a client gets its own server's response, complete and unchanged, or one that is visibly truncated.

mod common;

use std::time::Duration;

use common::*;
use googletest::prelude::*;
use tokio::time::Instant;

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at * 37 + at / 253) as u8).collect()
}

#[gtest]
fn status_body_and_seal_are_forwarded_unchanged_with_any_framing() {
    run(async {
        for length in [0, 1, 4096, 70_000, 200_000] {
            let sent = body(length);
            let (one, two, three) = (sent.clone(), sent.clone(), sent.clone());
            let harness = Harness::new(vec![
                bytes(move |server_request| with_length(server_request, "200 Odd Reason", "", &one)),
                bytes(move |server_request| {
                    with_chunks(server_request, "201 Made", "", &two, &[1, 5000, 300])
                }),
                bytes_then(
                    move |server_request| until_close(server_request, "202 Taken", &three),
                    vec![Step::Close],
                ),
            ])
            .await;
            let mut client = harness.client().await;
            for (status, reason) in [(200, "Odd Reason"), (201, "Made"), (202, "Taken")] {
                let request = ClientRequest::post("/unsafe/x");
                let response = client.request(&request).await;
                expect_that!((response.status, &*response.reason), eq((status, reason)));
                expect_that!(response.body_end, eq(BodyEnd::Complete));
                expect_true!(response.body == sent);
                let server_requests = harness.all_server_requests().await;
                let last = server_requests.last().expect("it arrived");
                expect_that!(response.field("X-Server-Seal"), some(eq(&*seal(last))));
                expect_that!(response.field("X-Request-Id"), some(eq(&*request.id)));
            }
        }
    });
}

#[gtest]
fn a_response_without_a_length_ends_with_its_connection_even_if_that_was_to_be_kept() {
    run(async {
        for more in ["", "Connection: keep-alive\r\n", "Keep-Alive: timeout=9\r\n"] {
            let sent = body(70_000);
            let first = sent.clone();
            let harness = Harness::new(vec![
                bytes_then(
                    move |server_request| without_length(server_request, "200 OK", more, &first),
                    vec![Step::Close],
                ),
                ok_response("next"),
            ])
            .await;
            let mut client = harness.client().await;
            let response = client.request(&ClientRequest::post("/unsafe/x")).await;
            expect_that!((response.status, response.body_end), eq((200, BodyEnd::Complete)), "{more:?}");
            expect_true!(response.body == sent);
            let next = client.request(&ClientRequest::get("/safe/x")).await;
            expect_that!(next.text(), eq("next"), "on the client's same connection, {more:?}");
            let connections: Vec<usize> =
                harness.all_server_requests().await.iter().map(|request| request.connection).collect();
            expect_that!(connections, elements_are![eq(&0), eq(&1)], "the server's connection is not reused");
        }
    });
}

#[gtest]
fn a_response_without_a_length_is_incomplete_if_its_connection_is_reset() {
    run(async {
        let gate = Gate::default();
        let reset = gate.clone();
        let harness = Harness::new(vec![bytes_then(
            |server_request| without_length(server_request, "200 OK", "", b"begun"),
            vec![Step::Wait(reset), Step::Reset],
        )])
        .await;
        let mut client = harness.client().await;
        client.send(&ClientRequest::post("/unsafe/x").bytes()).await;
        client.wait_for("begun").await;
        gate.open();
        let response = client.response().await;
        expect_that!(response.status, eq(200));
        expect_true!(response.is_truncated());
        expect_that!(harness.all_server_requests().await.len(), eq(1));
    });
}

#[gtest]
fn behind_a_surplus_response_without_a_length_comes_no_other() {
    run(async {
        let surplus = |server_request: &ServerRequest| {
            let other = ServerRequest {
                fields: vec![("x-request-id".into(), "of-another".into())],
                ..server_request.clone()
            };
            let mut out = without_length(&other, "200 OK", "", b"of another request");
            out.extend(with_length(server_request, "200 OK", "", b"inside of that body"));
            out
        };
        let harness = Harness::new(vec![bytes_then(surplus, vec![Step::Hang])]).await;
        let response = harness.request(&ClientRequest::post("/unsafe/x")).await;
        expect_that!(response.status, eq(502), "its request may have been processed");
    });
}

#[gtest]
fn a_server_error_is_forwarded_unchanged_on_a_route_without_retries() {
    run(async {
        let statuses = ["300 A", "400 B", "404 C", "409 D", "418 E", "500 F", "502 G", "504 H", "599 I"];
        let harness = Harness::new(statuses.iter().map(|line| status(line)).collect()).await;
        for line in statuses {
            let response = harness.request(&ClientRequest::post("/unsafe/x")).await;
            expect_that!(format!("{} {}", response.status, response.reason), eq(line));
            expect_that!(response.text(), eq("of the server"));
            expect_that!(response.field("X-Server-Seal"), some(anything()));
        }
        expect_that!(harness.all_server_requests().await.len(), eq(statuses.len()));
    });
}

#[gtest]
fn a_response_without_a_body_is_forwarded_without_one() {
    run(async {
        let without_body = |line: &'static str| -> Script {
            bytes(move |server_request| {
                format!(
                    "HTTP/1.1 {line}\r\nX-Request-Id: {}\r\nX-Server-Seal: s\r\n\r\n",
                    server_request.id()
                )
                .into_bytes()
            })
        };
        let harness = Harness::new(vec![
            without_body("204 None"),
            without_body("304 Same"),
            without_body("200 OK"),
            ok_response("next"),
        ])
        .await;
        let mut client = harness.client().await;
        for status in [204, 304] {
            let response = client.request(&ClientRequest::get("/safe/x")).await;
            expect_that!((response.status, response.body.len()), eq((status, 0)));
        }
        let head = ClientRequest::new("HEAD", "/safe/x");
        client.send(&head.bytes()).await;
        expect_that!(client.head_response().await.status, eq(200));
        expect_that!(client.request(&ClientRequest::get("/safe/x")).await.text(), eq("next"));
    });
}

#[gtest]
fn other_fields_of_a_response_are_forwarded() {
    run(async {
        let more = "X-Server-Load: 1,0,8\r\nVersions: 3\r\nContent-Type: odd/type\r\nX-Odd: \"a\", b:c\r\n\
            Connection: X-Hop\r\nX-Hop: dropped\r\nKeep-Alive: timeout=9\r\n";
        let harness = Harness::new(vec![bytes(move |server_request| {
            with_length(server_request, "200 OK", more, b"x")
        })])
        .await;
        let response = harness.request(&ClientRequest::get("/safe/x")).await;
        expect_that!(response.field("Versions"), some(eq("3")));
        expect_that!(response.field("Content-Type"), some(eq("odd/type")));
        expect_that!(response.field("X-Odd"), some(eq("\"a\", b:c")));
        expect_that!(response.field("X-Hop"), none());
    });
}

#[gtest]
fn interim_responses_are_skipped() {
    run(async {
        let harness = Harness::new(vec![bytes(|server_request| {
            let interim =
                format!("HTTP/1.1 103 Early\r\nX-Request-Id: {}\r\nLink: x\r\n\r\n", server_request.id());
            [
                b"HTTP/1.1 100 Continue\r\n\r\n",
                interim.as_bytes(),
                &with_length(server_request, "200 OK", "", b"final"),
            ]
            .concat()
        })])
        .await;
        let response = harness.request(&ClientRequest::get("/safe/x")).await;
        expect_that!((response.status, &*response.text()), eq((200, "final")));
    });
}

/// Truncated and malformed responses, by their framing.
fn truncated_responses() -> Vec<(&'static str, BuildResponse)> {
    fn cut(mut bytes: Vec<u8>, less: usize) -> Vec<u8> {
        bytes.truncate(bytes.len() - less);
        bytes
    }
    vec![
        ("a length, nothing of the body", |server_request| {
            cut(with_length(server_request, "200 OK", "", b"0123456789"), 10)
        }),
        ("a length, all but one byte", |server_request| {
            cut(with_length(server_request, "200 OK", "", b"0123456789"), 1)
        }),
        ("a length, much of the body", |server_request| {
            cut(with_length(server_request, "200 OK", "", &[7; 100_000]), 10_000)
        }),
        ("chunks, nothing", |server_request| {
            cut(with_chunks(server_request, "200 OK", "", b"0123456789", &[10]), 20)
        }),
        ("chunks, within a chunk", |server_request| {
            cut(with_chunks(server_request, "200 OK", "", b"0123456789", &[10]), 10)
        }),
        ("chunks, after a chunk", |server_request| {
            cut(with_chunks(server_request, "200 OK", "", b"0123456789", &[5]), 5)
        }),
        ("chunks, within the last one", |server_request| {
            cut(with_chunks(server_request, "200 OK", "", b"0123456789", &[5]), 2)
        }),
        ("chunks, an invalid size", |server_request| {
            [cut(with_chunks(server_request, "200 OK", "", b"0123456789", &[5]), 5), b"zz\r\n".to_vec()]
                .concat()
        }),
        ("chunks, one longer than its size", |server_request| {
            [
                cut(with_chunks(server_request, "200 OK", "", b"0123456789", &[5]), 5),
                b"2\r\nabcd\r\n0\r\n\r\n".to_vec(),
            ]
            .concat()
        }),
    ]
}

#[gtest]
fn a_response_that_ends_early_never_looks_complete() {
    run(async {
        for target in ["/unsafe/x", "/safe/x", "/stream/x"] {
            for (name, make) in truncated_responses() {
                for end in [Step::Close, Step::Reset] {
                    // The server ends the connection only after the client has received the head.
                    let gate = Gate::default();
                    let then = vec![Step::Wait(gate.clone()), end];
                    let harness = Harness::new(vec![bytes_then(make, then)]).await;
                    let mut client = harness.client().await;
                    client.send(&ClientRequest::post(target).bytes()).await;
                    client.wait_for("\r\n\r\n").await;
                    gate.open();
                    let response = client.response().await;
                    expect_that!(response.status, eq(200), "{target}, {name}");
                    expect_true!(response.is_truncated());
                    expect_that!(client.end().await.1, is_empty(), "{target}, {name}");
                    expect_that!(harness.servers_reached().await.len(), eq(1), "{target}, {name}");
                }
            }
        }
    });
}

#[gtest]
fn nothing_follows_a_truncated_response() {
    run(async {
        let first = bytes_then(
            |server_request| {
                let response = with_length(server_request, "200 OK", "", b"0123456789");
                response[..response.len() - 4].to_vec()
            },
            vec![Step::Close],
        );
        let harness = Harness::new(vec![first]).await;
        let mut client = harness.client().await;
        let requests: Vec<u8> = [ClientRequest::post("/unsafe/x"), ClientRequest::post("/unsafe/y")]
            .iter()
            .flat_map(ClientRequest::bytes)
            .collect();
        client.send(&requests).await;
        match client.response_or_end().await {
            Ok(response) => expect_true!(response.is_truncated()),
            Err(body_end) => expect_that!(body_end, eq(BodyEnd::Reset)),
        }
        expect_that!(client.end().await.1, is_empty());
        expect_that!(harness.servers_reached().await.len(), eq(1));
    });
}

/// A response to a request that was never sent.
fn stale(body: &[u8], chunks: bool) -> Vec<u8> {
    let other = ServerRequest {
        server: "s1".to_owned(),
        connection: 0,
        method: "GET".to_owned(),
        target: "/".to_owned(),
        fields: vec![("X-Request-Id".to_owned(), "of-another-request".to_owned())],
        body: Vec::new(),
    };
    match chunks {
        true => with_chunks(&other, "200 OK", "", body, &[900]),
        false => with_length(&other, "200 OK", "", body),
    }
}

#[gtest]
fn surplus_responses_before_the_right_one_never_reach_a_client() {
    run(async {
        let surplus = [
            stale(b"stale", false),
            stale(b"", false),
            stale(b"stale", true),
            stale(&[b's'; 100_000], false),
            [stale(b"stale", true), stale(b"staler", false)].concat(),
        ];
        for (at, surplus) in surplus.into_iter().enumerate() {
            let right = move |server_request: &ServerRequest| {
                [&surplus[..], &with_length(server_request, "200 OK", "", b"right")].concat()
            };
            let harness = Harness::new(vec![bytes(right), ok_response("next")]).await;
            let mut client = harness.client().await;
            let request = ClientRequest::post("/unsafe/x");
            let response = client.request(&request).await;
            expect_that!((response.status, &*response.text()), eq((200, "right")), "{at}");
            expect_that!(response.field("X-Request-Id"), some(eq(&*request.id)), "{at}");
            expect_that!(client.request(&ClientRequest::get("/safe/x")).await.text(), eq("next"), "{at}");
            expect_that!(harness.servers_reached().await.len(), eq(2), "{at}");
        }
    });
}

#[gtest]
fn a_response_to_another_request_alone_never_reaches_a_client() {
    run(async {
        for end in [Step::Close, Step::Reset, Step::Hang] {
            for target in ["/unsafe/x", "/stream/x"] {
                let first = bytes_then(|_| stale(b"stale", false), vec![end.clone()]);
                let harness = Harness::new(vec![first]).await;
                let request = ClientRequest::post(target).field("X-Deadline-Ms", "500");
                let response = harness.request(&request).await;
                expect_that!(response.status, any![eq(502), eq(504)], "{target}");
                expect_that!(response.field("X-Request-Id"), some(eq(&*request.id)));
                expect_that!(harness.servers_reached().await.len(), eq(1), "{target}");
            }
        }
    });
}

#[gtest]
fn a_response_whose_id_differs_in_anything_belongs_to_another_request() {
    run(async {
        let changes: [fn(&str) -> String; 3] =
            [str::to_uppercase, |id| format!("{id}0"), |id| id[..id.len() - 1].to_owned()];
        for change in changes {
            let first = bytes_then(
                move |server_request| {
                    let mut other = server_request.clone();
                    other.fields = vec![("X-Request-Id".to_owned(), change(server_request.id()))];
                    with_length(&other, "200 OK", "", b"stale")
                },
                vec![Step::Close],
            );
            let harness = Harness::new(vec![first]).await;
            expect_that!(
                harness.request(&ClientRequest::post("/unsafe/x").id("abc-def")).await.status,
                eq(502)
            );
        }
    });
}

#[gtest]
fn bytes_behind_a_complete_response_belong_to_no_request() {
    run(async {
        let cases: [BuildResponse; 3] = [
            |server_request| {
                [with_length(server_request, "200 OK", "", b"one"), stale(b"stale", false)].concat()
            },
            |server_request| {
                [
                    with_length(server_request, "200 OK", "", b"one"),
                    with_length(server_request, "200 OK", "", b"again"),
                ]
                .concat()
            },
            |server_request| {
                [with_chunks(server_request, "200 OK", "", b"one", &[2]), b"\x00garbage".to_vec()].concat()
            },
        ];
        for first in cases {
            let harness = Harness::of_servers(&["s1"], vec![bytes(first), ok_response("two")]).await;
            let mut client = harness.client().await;
            expect_that!(client.request(&ClientRequest::post("/unsafe/x")).await.text(), eq("one"));
            expect_that!(client.request(&ClientRequest::post("/unsafe/y")).await.text(), eq("two"));
            let server_requests = harness.all_server_requests().await;
            expect_that!(server_requests.len(), eq(2));
            expect_that!(server_requests[1].connection, not(eq(server_requests[0].connection)));
        }
    });
}

#[gtest]
fn a_connection_that_received_bytes_while_idle_is_not_reused() {
    run(async {
        let (gate, written) = (Gate::default(), Gate::default());
        let then =
            vec![Step::Wait(gate.clone()), Step::Bytes(stale(b"stale", false)), Step::Open(written.clone())];
        let first = bytes_then(|server_request| with_length(server_request, "200 OK", "", b"one"), then);
        let harness = Harness::of_servers(&["s1"], vec![first, ok_response("two")]).await;
        let mut client = harness.client().await;
        expect_that!(client.request(&ClientRequest::post("/unsafe/x")).await.text(), eq("one"));
        gate.open();
        written.opened().await;
        expect_that!(client.request(&ClientRequest::post("/unsafe/y")).await.text(), eq("two"));
        expect_that!(harness.all_server_requests().await[1].connection, eq(1));
    });
}

#[gtest]
fn a_connection_that_its_server_closed_while_idle_is_not_reused() {
    run(async {
        for end in [Step::Close, Step::Reset] {
            let first =
                bytes_then(|server_request| with_length(server_request, "200 OK", "", b"one"), vec![end]);
            let harness = Harness::of_servers(&["s1"], vec![first, ok_response("two")]).await;
            let mut client = harness.client().await;
            // A reset may arrive before the end of the response has been read.
            let response = client.request(&ClientRequest::post("/unsafe/x")).await;
            expect_that!((response.status, &*response.text()), eq((200, "one")));
            harness.connection_ended(0).await;
            expect_that!(client.request(&ClientRequest::post("/unsafe/y")).await.text(), eq("two"));
            expect_that!(harness.all_server_requests().await[1].connection, eq(1));
        }
    });
}

#[gtest]
fn connections_to_servers_are_reused_as_far_as_keep_alive_allows() {
    run(async {
        for (more, again) in [
            ("", true),
            ("Keep-Alive: timeout=60\r\n", true),
            ("Keep-Alive: timeout=0\r\n", false),
            ("Connection: close\r\n", false),
        ] {
            let first = bytes(move |server_request| with_length(server_request, "200 OK", more, b"one"));
            let harness = Harness::of_servers(&["s1"], vec![first, ok_response("two")]).await;
            let mut client = harness.client().await;
            client.request(&ClientRequest::post("/unsafe/x")).await;
            expect_that!(client.request(&ClientRequest::post("/unsafe/y")).await.text(), eq("two"));
            let server_requests = harness.all_server_requests().await;
            expect_that!(
                server_requests[0].connection == server_requests[1].connection,
                eq(again),
                "{more:?}"
            );
        }
    });
}

#[gtest]
fn concurrent_requests_share_no_connection() {
    run(async {
        let gate = Gate::default();
        let response_gate = gate.clone();
        let first: Script = Box::new(move |server_request| {
            vec![
                Step::Wait(response_gate.clone()),
                Step::Bytes(with_length(server_request, "200 OK", "", b"slow")),
            ]
        });
        let harness = Harness::of_servers(&["s1"], vec![first, ok_response("quick")]).await;
        let mut slow = harness.client().await;
        slow.send(&ClientRequest::get("/safe/x").bytes()).await;
        harness.wait_for_requests(1).await;
        expect_that!(harness.request(&ClientRequest::get("/safe/y")).await.text(), eq("quick"));
        gate.open();
        expect_that!(slow.response().await.text(), eq("slow"));
        let server_requests = harness.all_server_requests().await;
        expect_that!(server_requests[0].connection, not(eq(server_requests[1].connection)));
    });
}

#[gtest]
fn pipelined_requests_get_their_responses_in_order() {
    run(async {
        let echo = || -> Script {
            bytes(|server_request| with_length(server_request, "200 OK", "", server_request.id().as_bytes()))
        };
        let harness = Harness::new((0..8).map(|_| echo()).collect()).await;
        let requests = [
            ClientRequest::get("/safe/x"),
            ClientRequest::post("/unsafe/x").body(&[b'G'; 9000]),
            ClientRequest::get("/nowhere/x"),
            ClientRequest::post("/unsafe/x").body(b"GET /safe/inner HTTP/1.1\r\n\r\n").in_chunks(&[3]),
            ClientRequest::get("/stream/x"),
            ClientRequest::post("/unsafe/x").body(b""),
        ];
        let mut client = harness.client().await;
        client.send(&requests.iter().flat_map(ClientRequest::bytes).collect::<Vec<u8>>()).await;
        for request in &requests {
            let response = client.response().await;
            expect_that!(response.field("X-Request-Id"), some(eq(&*request.id)));
            let expected = if request.target == "/nowhere/x" { (404, "") } else { (200, &*request.id) };
            expect_that!((response.status, &*response.text()), eq(expected));
        }
        expect_that!(harness.servers_reached().await.len(), eq(5));
    });
}

#[gtest]
fn requests_that_arrive_byte_by_byte_are_answered_on_one_connection() {
    run(async {
        let harness = Harness::new(vec![ok_response("one"), ok_response("two")]).await;
        let mut client = harness.client().await;
        for text in ["one", "two"] {
            for byte in ClientRequest::post("/unsafe/x").in_chunks(&[4]).bytes() {
                client.send(&[byte]).await;
                tokio::task::yield_now().await;
            }
            expect_that!(client.response().await.text(), eq(text));
        }
    });
}

#[gtest]
fn a_request_with_connection_close_gets_connection_close() {
    run(async {
        let harness = Harness::new(vec![]).await;
        for target in ["/safe/x", "/nowhere/x"] {
            let mut client = harness.client().await;
            let response = client.request(&ClientRequest::get(target).field("Connection", "close")).await;
            expect_that!(response.field("Connection"), some(eq("close")));
            expect_that!(client.end().await, eq(&(BodyEnd::Closed, vec![])));
        }
    });
}

#[gtest]
fn a_long_response_is_forwarded_as_it_arrives() {
    run(async {
        for make in [
            (|server_request| with_length(server_request, "200 OK", "", &[b'x'; 50_000])) as BuildResponse,
            |server_request| with_chunks(server_request, "200 OK", "", &[b'x'; 50_000], &[1000]),
        ] {
            let gate = Gate::default();
            let late = gate.clone();
            let first: Script = Box::new(move |server_request| {
                let response = make(server_request);
                let (begin, rest) = response.split_at(30_000);
                vec![Step::Bytes(begin.to_vec()), Step::Wait(late.clone()), Step::Bytes(rest.to_vec())]
            });
            let harness = Harness::new(vec![first]).await;
            let mut client = harness.client().await;
            client.send(&ClientRequest::get("/safe/x").bytes()).await;
            client.wait_for(&"x".repeat(1000)).await;
            gate.open();
            expect_that!(client.response().await.body.len(), eq(50_000));
        }
    });
}

#[gtest]
fn a_client_that_reads_late_gets_all_of_a_long_response() {
    run(async {
        let body = body(8_000_000);
        let sent = body.clone();
        let harness =
            Harness::new(vec![bytes(move |server_request| with_length(server_request, "200 OK", "", &sent))])
                .await;
        let mut client = harness.client().await;
        client.send(&ClientRequest::get("/safe/x").bytes()).await;
        // Far more than the socket buffers hold: the node has to wait for the client.
        harness.wait_for_requests(1).await;
        client.wait_for("\r\n\r\n").await;
        expect_true!(client.response().await.body == body);
    });
}

#[gtest]
fn a_client_that_disconnects_ends_the_work_of_its_server() {
    run(async {
        let scripts: [MakeScript; 3] =
            [hang, || begun_stream(&event(1), vec![Step::Hang]), || begun_stream("", vec![Step::Hang])];
        for script in scripts {
            for more in [&b""[..], b"GET /safe/next HTTP/1.1\r\n"] {
                let harness = Harness::new(vec![script()]).await;
                let mut client = harness.client().await;
                let request = ClientRequest::post("/stream/x").field("X-Deadline-Ms", "20000");
                client.send(&[&request.bytes(), more].concat()).await;
                let server_requests = harness.wait_for_requests(1).await;
                let left = Instant::now();
                drop(client);
                harness.connection_ended(server_requests[0].connection).await;
                expect_that!(left.elapsed(), lt(Duration::from_secs(5)));
                expect_that!(harness.servers_reached().await.len(), eq(1));
                expect_that!(harness.plane.placer.borrow().in_flight(), eq(0));
            }
        }
    });
}

/// The client's close may arrive together with its request, before the node has read either.
#[gtest]
fn a_client_that_disconnects_at_once_leaves_no_open_request() {
    run(async {
        let harness = Harness::new(vec![hang()]).await;
        let begun = Instant::now();
        let mut client = harness.client().await;
        client.send(&ClientRequest::post("/stream/x").field("X-Deadline-Ms", "20000").bytes()).await;
        drop(client);
        while harness.plane.counters.requests.get() == 0 || harness.plane.open_requests() > 0 {
            tokio::task::yield_now().await;
        }
        expect_that!(begun.elapsed(), lt(Duration::from_secs(5)));
        expect_that!(harness.plane.placer.borrow().in_flight(), eq(0));
        if harness.fleet.connections.get() > 0 {
            harness.connection_ended(0).await;
        }
    });
}

#[gtest]
fn a_request_without_a_route_opens_no_connection() {
    run(async {
        let harness = Harness::new(vec![]).await;
        expect_that!(harness.request(&ClientRequest::get("/nowhere/x")).await.status, eq(404));
        expect_that!(harness.all_server_requests().await.len(), eq(0));
        expect_that!(harness.fleet.connections.get(), eq(0));
    });
}
