//! Requests that are malformed, too long or too slow: each gets an error response, and nothing of it reaches a server.

mod common;

use std::time::Duration;

use common::*;
use googletest::prelude::*;
use serde_json::json;
use tokio::time::Instant;

/// A request that is sent after each malformed one and must never reach a server.
const SMUGGLED: &str = "GET /safe/smuggled HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: smuggled\r\n\r\n";

/// A head with these lines between its usual ones.
fn head(lines: &str) -> String {
    format!("POST /unsafe/x HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: outer\r\n{lines}\r\n")
}

/// Expects that these bytes are rejected with this status, and that the connection is closed after the response.
async fn expect_rejection(harness: &Harness, bytes: &str, status: u16) {
    let mut client = harness.client().await;
    client.send(&[bytes.as_bytes(), SMUGGLED.as_bytes()].concat()).await;
    let response = client.response().await;
    expect_that!(response.status, eq(status), "{bytes:?}");
    expect_that!(response.field("Connection"), some(eq("close")), "{bytes:?}");
    // The node closes only its sending direction at first: a reset could discard the response before the client reads it.
    expect_that!(client.end().await.1, is_empty(), "{bytes:?}");
    expect_that!(harness.all_server_requests().await.len(), eq(0), "{bytes:?}");
}

#[gtest]
fn contradictory_framing_gets_400_and_reaches_no_server() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let framings = [
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
            "transfer-encoding: Chunked\r\ncontent-length: 0\r\n",
            "Content-Length: 5\r\nContent-Length: 6\r\n",
            "Content-Length: 5\r\ncontent-length: 05\r\n",
            "Content-Length: 5, 6\r\n",
            "Content-Length: 5,\r\n",
            "Content-Length: \r\n",
            "Content-Length: +5\r\n",
            "Content-Length: -1\r\n",
            "Content-Length: 0x5\r\n",
            "Content-Length: 5 5\r\n",
            "Content-Length: 5.0\r\n",
            "Content-Length: 5;x\r\n",
            "Content-Length: \u{665}\r\n",
            "Content-Length : 5\r\n",
            "Content-Length\t: 5\r\n",
            " Content-Length: 5\r\n",
            "X-Folded: a\r\n Content-Length: 5\r\n",
            "Transfer-Encoding: xchunked\r\n",
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: \r\n",
            "Transfer-Encoding: chunked, chunked\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: chunked, identity\r\n",
            "Transfer-Encoding: chunked;q=1\r\n",
            "Transfer-Encoding: \"chunked\"\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            "Transfer-Encoding : chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\nConnection: Content-Length\r\n",
        ];
        for framing in framings {
            expect_rejection(&harness, &(head(framing) + "0\r\n\r\n"), 400).await;
        }
    });
}

#[gtest]
fn a_malformed_head_gets_400() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let heads = [
            "GET /safe/x\r\n\r\n",
            "GET /safe/x HTTP/2.0\r\nHost: one.example\r\n\r\n",
            "GET /safe/x HTTP/1.1 \r\nHost: one.example\r\n\r\n",
            "GET  /safe/x HTTP/1.1\r\nHost: one.example\r\n\r\n",
            "GET /safe/x y HTTP/1.1\r\nHost: one.example\r\n\r\n",
            "GET safe/x HTTP/1.1\r\nHost: one.example\r\n\r\n",
            "G(T /safe/x HTTP/1.1\r\nHost: one.example\r\n\r\n",
            " GET /safe/x HTTP/1.1\r\nHost: one.example\r\n\r\n",
            "GET /safe/\u{e9} HTTP/1.1\r\nHost: one.example\r\n\r\n",
            "\x16\x03\x01\x02 a greeting of TLS\r\n\r\n",
            "GET /safe/x HTTP/1.1\r\nHost: one.example\r\nno colon\r\n\r\n",
            "GET /safe/x HTTP/1.1\r\nHost: one.example\r\n: no name\r\n\r\n",
            "GET /safe/x HTTP/1.1\r\nHost: one.example\r\nX A: b\r\n\r\n",
        ];
        for head in heads {
            expect_rejection(&harness, head, 400).await;
        }
    });
}

#[gtest]
fn a_request_without_a_host_gets_400() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let mut client = harness.client().await;
        client.send(b"GET /safe/x HTTP/1.1\r\nX-Request-Id: a\r\n\r\n").await;
        expect_that!(client.response().await.status, eq(400));
        expect_that!(harness.all_server_requests().await.len(), eq(0));
    });
}

#[gtest]
fn invalid_line_ends_smuggle_no_request() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let hidden = [
            "X-A: b\rTransfer-Encoding: chunked\r\n",
            "X-A: b\r\rContent-Length: 0\r\n",
            "X-A: b\r\r\n",
            "X-A: b\0\r\n",
            "X-A: b\x0bc\r\n",
            "X-A\r: b\r\n",
            "\rX-A: b\r\n",
            "X-A: b\n\rGET /safe/smuggled HTTP/1.1\r\n",
            "\r\r\nGET /safe/smuggled HTTP/1.1\r\n",
        ];
        for lines in hidden {
            expect_rejection(&harness, &head(lines), 400).await;
        }
    });
}

/// A bare newline may end a line or be rejected; in no case may the body be taken for a request.
#[gtest]
fn bare_newlines_never_turn_a_body_into_a_request() {
    run(async {
        let body = SMUGGLED;
        let length = body.len();
        let heads = [
            format!(
                "POST /unsafe/x HTTP/1.1\nHost: one.example\nX-Request-Id: outer\nContent-Length: {length}\n\n"
            ),
            head(&format!("X-A: b\nContent-Length: {length}\r\n")),
            head(&format!("Content-Length: {length}\n")),
        ];
        let chunked = [
            head("Transfer-Encoding: chunked\n") + &format!("{length:x}\n{body}\n0\n\n"),
            head("Transfer-Encoding: chunked\r\n") + &format!("{length:x}\n{body}\r\n0\r\n\r\n"),
            head("Transfer-Encoding: chunked\r\n") + &format!("{length:x};a=\"b\nc\"\r\n{body}\r\n0\r\n\r\n"),
            head("Transfer-Encoding: chunked\r\n") + &format!("{length:x}\r\n{body}\n0\n\n"),
        ];
        for request in heads.into_iter().map(|head| head + body).chain(chunked) {
            let harness = Harness::new(vec![]).await;
            let mut client = harness.client().await;
            client.send(request.as_bytes()).await;
            let response = client.response().await;
            let server_requests = harness.all_server_requests().await;
            match response.status {
                200 => {
                    expect_that!(server_requests.len(), eq(1), "{request:?}");
                    expect_that!(
                        (server_requests[0].id(), &*server_requests[0].target),
                        eq(("outer", "/unsafe/x"))
                    );
                    expect_that!(String::from_utf8_lossy(&server_requests[0].body), eq(body), "{request:?}");
                }
                status => {
                    expect_that!(status, eq(400), "{request:?}");
                    expect_that!(server_requests.len(), eq(0), "{request:?}");
                }
            }
        }
    });
}

#[gtest]
fn malformed_chunks_get_400_and_reach_no_server() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let bodies = [
            "\r\nhello\r\n0\r\n\r\n",
            "x\r\nhello\r\n0\r\n\r\n",
            "0x5\r\nhello\r\n0\r\n\r\n",
            "-5\r\nhello\r\n0\r\n\r\n",
            "+5\r\nhello\r\n0\r\n\r\n",
            "5 5\r\nhello\r\n0\r\n\r\n",
            "5,\r\nhello\r\n0\r\n\r\n",
            "4\r\nhello\r\n0\r\n\r\n",
            "3\r\nhel0\r\n\r\n",
            ";5\r\nhello\r\n0\r\n\r\n",
        ];
        for body in bodies {
            expect_rejection(&harness, &(head("Transfer-Encoding: chunked\r\n") + body), 400).await;
        }
    });
}

#[gtest]
fn a_body_beyond_the_limit_gets_413_and_reaches_no_server() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let long = "x".repeat(300_001);
        expect_rejection(&harness, &(head("Content-Length: 300001\r\n") + &long), 413).await;
        expect_rejection(&harness, &head("Content-Length: 300001\r\n"), 413).await;
        expect_rejection(&harness, &head("Content-Length: 99999999999999999999999999\r\n"), 413).await;
        let chunked = head("Transfer-Encoding: chunked\r\n");
        expect_rejection(&harness, &format!("{chunked}493e1\r\n{long}\r\n0\r\n\r\n"), 413).await;
        // Each chunk alone is within the limit, both together are not.
        let (begin, rest) = long.split_at(1000);
        expect_rejection(&harness, &format!("{chunked}3e8\r\n{begin}\r\n48ff9\r\n{rest}\r\n0\r\n\r\n"), 413)
            .await;
        expect_rejection(&harness, &(chunked + "fffffffffffffffffffff\r\n"), 413).await;
    });
}

#[gtest]
fn a_body_up_to_the_limit_is_forwarded() {
    run(async {
        let harness = Harness::new(vec![]).await;
        for chunks in [&[][..], &[1000], &[usize::MAX]] {
            let request = ClientRequest::post("/unsafe/x").body(&[b'x'; 300_000]).in_chunks(chunks);
            expect_that!(harness.request(&request).await.status, eq(200));
            expect_that!(
                harness.all_server_requests().await.last().map(|last| last.body.len()),
                some(eq(300_000))
            );
        }
    });
}

/// A request whose head has this many bytes.
fn head_of(bytes: usize) -> Vec<u8> {
    let request = ClientRequest::get("/safe/x").field("X-Fill", "");
    let missing = bytes - request.bytes().len();
    request.field("X-Fill", &"f".repeat(missing)).bytes()
}

#[gtest]
fn a_head_beyond_the_limit_gets_431_and_reaches_no_server() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let long = String::from_utf8(head_of(4001)).expect("text");
        expect_rejection(&harness, &long, 431).await;
        expect_rejection(&harness, &format!("GET /safe/{}", "x".repeat(9000)), 431).await;
        expect_rejection(&harness, &"\r\n".repeat(3000), 431).await;
    });
}

#[gtest]
fn a_head_up_to_the_limit_is_forwarded() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let mut client = harness.client().await;
        for bytes in [3999, 4000] {
            client.send(&head_of(bytes)).await;
            expect_that!(client.response().await.status, eq(200), "{bytes}");
        }
    });
}

fn with_limit(limit: &str, value: u64) -> serde_json::Value {
    edited(|body| body["limits"][limit] = json!(value))
}

#[gtest]
fn a_slow_head_gets_408_after_the_header_timeout() {
    run(async {
        let harness = Harness::with_configuration(with_limit("headerTimeoutMs", 150), vec![]).await;
        for begin in
            ["G", "GET /safe/x HTTP/1.1\r\nHost: one.exam", "GET /safe/x HTTP/1.1\r\nHost: one.example\r\n"]
        {
            let mut client = harness.client().await;
            let begun = Instant::now();
            client.send(begin.as_bytes()).await;
            let response = client.response().await;
            expect_that!(response.status, eq(408), "{begin:?}");
            expect_that!(response.field("Connection"), some(eq("close")));
            expect_that!(begun.elapsed(), all![ge(Duration::from_millis(140)), lt(Duration::from_secs(3))]);
            expect_that!(client.end().await, eq(&(BodyEnd::Closed, vec![])));
        }
        // The same holds for the second request on a connection.
        let mut client = harness.client().await;
        expect_that!(client.request(&ClientRequest::get("/safe/x")).await.status, eq(200));
        client.send(b"GET /safe/y HTTP/1.1\r\n").await;
        expect_that!(client.response().await.status, eq(408));
        expect_that!(harness.all_server_requests().await.len(), eq(1));
    });
}

#[gtest]
fn an_idle_connection_is_closed_without_a_response_after_the_idle_timeout() {
    run(async {
        let harness = Harness::with_configuration(with_limit("idleTimeoutMs", 150), vec![]).await;
        let begun = Instant::now();
        let mut client = harness.client().await;
        expect_that!(client.end().await, eq(&(BodyEnd::Closed, vec![])));
        expect_that!(begun.elapsed(), all![ge(Duration::from_millis(140)), lt(Duration::from_secs(3))]);
        let mut client = harness.client().await;
        expect_that!(client.request(&ClientRequest::get("/safe/x")).await.status, eq(200));
        expect_that!(client.end().await, eq(&(BodyEnd::Closed, vec![])));
    });
}

#[gtest]
fn a_truncated_request_reaches_no_server() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let requests = [ClientRequest::post("/unsafe/x"), ClientRequest::post("/unsafe/x").in_chunks(&[4])];
        for bytes in requests.iter().map(ClientRequest::bytes) {
            for end in [10, bytes.len() / 2, bytes.len() - 1] {
                let mut client = harness.client().await;
                client.send(&bytes[..end]).await;
                client.half_close().await;
                expect_that!(client.end().await.1, is_empty(), "cut behind {end}");
            }
        }
        expect_that!(harness.all_server_requests().await.len(), eq(0));
    });
}

#[gtest]
fn expect_100_continue_gets_100() {
    run(async {
        let harness = Harness::new(vec![ok_response("done")]).await;
        let request = ClientRequest::post("/unsafe/x").field("Expect", "100-continue");
        let bytes = request.bytes();
        let (head, body) = bytes.split_at(bytes.len() - request.body.len());
        let mut client = harness.client().await;
        client.send(head).await;
        expect_that!(client.head_response().await.status, eq(100));
        client.send(body).await;
        expect_that!(client.response().await.text(), eq("done"));
        expect_that!(harness.all_server_requests().await[0].all("Expect"), is_empty());
    });
}

#[gtest]
fn empty_lines_before_a_request_are_skipped() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let mut client = harness.client().await;
        for before in ["\r\n", "\n", "\r\n\r\n"] {
            client.send(&[before.as_bytes(), &ClientRequest::get("/safe/x").bytes()].concat()).await;
            expect_that!(client.response().await.status, eq(200), "{before:?}");
        }
    });
}
