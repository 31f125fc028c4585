//! Pins the texts that clients get in the body of a 400, 413 or 431 response, and the bytes that frame a message, as of
//! commit 4552024.

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{
    Body, ChunkedDecoder, Framing, Head, ReadError, chunk_frame, push_end_to_end_fields, push_framing_field,
};

fn head(text: &str) -> Head {
    Head::parse(text.as_bytes().to_vec()).expect("a head")
}

fn text(chain: &Chain) -> String {
    String::from_utf8(chain.copy_front(chain.len())).expect("text")
}

#[test]
fn texts_of_heads_that_can_not_be_parsed() {
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(129));
    let rows: [(&[u8], &str); 7] = [
        (many.as_bytes(), "too many headers"),
        (b"", "there is no first line"),
        (b"GET / \x01\r\n\r\n", "the first line is no text"),
        (b"GARBAGE\r\n\r\n", "the first line has too few parts"),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", "a header without a colon"),
        (b"GET / HTTP/1.1\r\na b: c\r\n\r\n", "a header's name is no token"),
        (b"GET / HTTP/1.1\r\na: \x01\r\n\r\n", "a header holds a control character"),
    ];
    for (bytes, expected) in rows {
        let error = Head::parse(bytes.to_vec()).expect_err("it is malformed");
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn texts_of_invalid_request_lines_and_status_lines() {
    for (line, expected) in [
        ("G(T / HTTP/1.1", "the method is no token"),
        ("GET http://x/ HTTP/1.1", "the target is no path"),
        ("GET / HTTP/2.0", "the version is not HTTP/1.1"),
    ] {
        let error =
            head(&format!("{line}\r\n\r\n")).check_request().expect_err("the request line is invalid");
        assert_eq!(error.to_string(), expected);
    }
    for (line, expected) in [
        ("HTTP/2 200 OK", "the version is not HTTP/1"),
        ("HTTP/1.1 20 OK", "the status is no number of three digits"),
        ("HTTP/1.1 600 OK", "the status is no number of three digits"),
    ] {
        let error = head(&format!("{line}\r\n\r\n")).status().expect_err("the status line is invalid");
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn texts_of_invalid_framing_fields() {
    for (fields, expected) in [
        ("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "both a length and a transfer coding"),
        ("Transfer-Encoding: gzip\r\n", "an unknown transfer coding"),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "an unknown transfer coding"),
        ("Content-Length: 1, 2\r\n", "lengths that differ"),
        ("Content-Length: +1\r\n", "the length is no number"),
    ] {
        let head = head(&format!("POST / HTTP/1.1\r\n{fields}\r\n"));
        let error = head.framing(Framing::Length(0)).expect_err("the framing is invalid");
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn texts_of_chunked_bodies_that_can_not_be_read() {
    let pool = Pool::default();
    let trailers = format!("0\r\n{}", "A: b\r\n".repeat(33));
    let long = format!("1;{}", "x".repeat(1024));
    for (body, expected) in [
        ("xyz\r\n", "a chunk's size is no number"),
        ("1\r\nab\r\n", "a chunk is longer than its size"),
        (&trailers, "too many trailers"),
        (&long, "a line is too long"),
        ("fffffffffffffffff\r\n", "the body is too long"),
    ] {
        let (mut input, mut taken) = (pool.chain(), pool.chain());
        input.push(body.as_bytes());
        let error =
            ChunkedDecoder::new().take(&mut input, &mut taken, usize::MAX).expect_err("the body is invalid");
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn texts_of_other_read_errors() {
    assert_eq!(ReadError::Closed.to_string(), "the connection ended");
    assert_eq!(ReadError::HeadTooLong.to_string(), "the head is too long");
    let error = Body::new(Framing::Length(u64::MAX)).err().expect("it is too long");
    assert_eq!(error.to_string(), "the body is too long");
}

#[test]
fn bytes_that_frame_a_message() {
    let pool = Pool::default();
    for (length, last, before, after) in [
        (26, false, "1a\r\n", "\r\n"),
        (26, true, "1a\r\n", "\r\n0\r\n\r\n"),
        (0, false, "", ""),
        (0, true, "", "0\r\n\r\n"),
    ] {
        let frame = chunk_frame(&pool, length, last);
        assert_eq!((&*text(&frame.before), &*text(&frame.after)), (before, after));
    }
    for (framing, field) in [
        (Framing::Length(17), "Content-Length: 17\r\n"),
        (Framing::Chunked, "Transfer-Encoding: chunked\r\n"),
        (Framing::UntilClose, ""),
    ] {
        let mut out = pool.chain();
        push_framing_field(&mut out, framing);
        assert_eq!(text(&out), field);
    }
}

#[test]
fn fields_that_are_passed_on() {
    let head = head(
        "POST / HTTP/1.1\r\nHost: one\r\nConnection: X-Hop, close\r\nX-Hop: a\r\nKeep-Alive: 1\r\n\
         Proxy-Connection: b\r\nTE: trailers\r\nTrailer: c\r\nTransfer-Encoding: chunked\r\nUpgrade: h2c\r\n\
         Content-Length: 1\r\nExpect: 100-continue\r\nX-Own: d\r\nAccept:  */* \r\naccept: e\r\n\r\n",
    );
    let mut out = Pool::default().chain();
    push_end_to_end_fields(&mut out, &head, &["x-own"]);
    assert_eq!(text(&out), "Host: one\r\nAccept: */*\r\naccept: e\r\n");
}
