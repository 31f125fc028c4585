//! Regression tests for faults found by benchmark runs or by tests.

mod common;

use common::*;
use googletest::prelude::*;

/// RFC 9112, section 6.1: no transfer coding is sent to an HTTP/1.0 client, which can't decode it.
#[gtest]
fn an_http_1_0_client_gets_no_chunks() {
    run(async {
        let chunks = bytes(|server_request| with_chunks(server_request, "200 OK", "", b"in pieces", &[4]));
        let harness = Harness::new(vec![chunks]).await;
        let mut client = harness.client().await;
        client.send(b"GET /safe/x HTTP/1.0\r\nHost: one.example\r\nX-Request-Id: old\r\n\r\n").await;
        let (body_end, received) = client.end().await;
        let text = String::from_utf8_lossy(&received).into_owned();
        expect_that!(body_end, eq(BodyEnd::Closed));
        expect_that!(text.to_ascii_lowercase(), not(contains_substring("transfer-encoding")));
        expect_that!(text, ends_with("\r\n\r\nin pieces"));
    });
}

/// RFC 9112, section 3.2: a request with more than one Host field must be rejected. The node routed it by the first one and
/// forwarded both to the server.
#[gtest]
fn a_request_with_two_hosts_gets_400() {
    run(async {
        let harness = Harness::new(vec![]).await;
        let response = harness.request(&ClientRequest::get("/safe/x").field("Host", "two.example")).await;
        expect_that!(response.status, eq(400));
        expect_that!(harness.all_server_requests().await.len(), eq(0));
    });
}

/// [`Counters::responses`](gradepaddle_dataplane::Counters::responses) counts successes only.
#[gtest]
fn a_server_error_is_not_counted_as_a_response() {
    run(async {
        let harness = Harness::new(vec![status("500 Own"), ok_response("done")]).await;
        harness.request(&ClientRequest::post("/unsafe/x")).await;
        expect_that!(harness.plane.counters.responses.get(), eq(0));
        harness.request(&ClientRequest::post("/unsafe/x")).await;
        expect_that!(harness.plane.counters.responses.get(), eq(1));
    });
}

/// A server sends events and ends its connection at once. The events received are forwarded, and another server resumes the
/// stream after them.
#[gtest]
fn events_that_come_together_with_a_reset_are_forwarded() {
    run(async {
        for end in [Step::Close, Step::Reset] {
            let broken = || begun_stream(&events(1..=2), vec![end.clone()]);
            let harness = Harness::new(vec![broken(), stream(3..=4)]).await;
            let response = harness.request(&ClientRequest::post("/resume/x")).await;
            expect_that!(response.text(), eq(&events(1..=4)));
            let server_requests = harness.all_server_requests().await;
            expect_that!(server_requests[1].all("Last-Event-Id"), elements_are![eq(&"2")]);
            let harness = Harness::new(vec![broken()]).await;
            let response = harness.request(&ClientRequest::post("/stream/x")).await;
            expect_true!(response.is_truncated());
            expect_that!(response.text(), eq(&events(1..=2)));
        }
    });
}
