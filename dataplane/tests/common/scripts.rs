//! Scripts for servers.

use super::client::chunked;
use super::servers::{Gate, Script, ServerRequest, Step};

/// Builds the bytes of a response to a request.
pub type BuildResponse = fn(&ServerRequest) -> Vec<u8>;
/// Creates a script; called once for each use.
pub type MakeScript = fn() -> Script;

/// The value of `X-Server-Seal`, by which a response shows the server and the request that it belongs to.
pub fn seal(server_request: &ServerRequest) -> String {
    format!("seal.{}.{}", server_request.server, server_request.id())
}

/// A response's head without its framing. `more` holds further lines, each with its line end.
fn head(server_request: &ServerRequest, status: &str, more: &str) -> String {
    let (id, seal) = (server_request.id(), seal(server_request));
    format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Seal: {seal}\r\n{more}")
}

/// A response with a length.
pub fn with_length(server_request: &ServerRequest, status: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut out = head(server_request, status, more).into_bytes();
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    out.extend(body);
    out
}

/// A response in chunks.
pub fn with_chunks(
    server_request: &ServerRequest,
    status: &str,
    more: &str,
    body: &[u8],
    sizes: &[usize],
) -> Vec<u8> {
    let mut out = head(server_request, status, more).into_bytes();
    out.extend(b"Transfer-Encoding: chunked\r\n\r\n");
    out.extend(chunked(body, sizes));
    out
}

/// A response that ends with its connection, which it announces.
pub fn until_close(server_request: &ServerRequest, status: &str, body: &[u8]) -> Vec<u8> {
    let mut out = head(server_request, status, "Connection: close\r\n\r\n").into_bytes();
    out.extend(body);
    out
}

/// A response without a length that announces no close of its connection: it ends with the connection all the same.
pub fn without_length(server_request: &ServerRequest, status: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut out = head(server_request, status, more).into_bytes();
    out.extend(b"\r\n");
    out.extend(body);
    out
}

/// A script of these steps, independent of the request.
pub fn steps(steps: Vec<Step>) -> Script {
    Box::new(move |_| steps.clone())
}

/// A script that sends bytes which depend on the request.
pub fn bytes(make: impl Fn(&ServerRequest) -> Vec<u8> + 'static) -> Script {
    Box::new(move |server_request| vec![Step::Bytes(make(server_request))])
}

/// A script that sends bytes which depend on the request, and then performs these steps.
pub fn bytes_then(make: impl Fn(&ServerRequest) -> Vec<u8> + 'static, then: Vec<Step>) -> Script {
    Box::new(move |server_request| [vec![Step::Bytes(make(server_request))], then.clone()].concat())
}

/// A complete 200 response.
pub fn ok_response(body: &str) -> Script {
    let body = body.to_owned();
    bytes(move |server_request| with_length(server_request, "200 OK", "", body.as_bytes()))
}

/// A response with this status from a server that has processed the request.
pub fn status(status: &str) -> Script {
    let status = status.to_owned();
    bytes(move |server_request| with_length(server_request, &status, "", b"of the server"))
}

/// A response that says that the server did not process the request.
pub fn rejected() -> Script {
    bytes(|server_request| with_length(server_request, "503 Service Unavailable", "X-Not-Run: 1\r\n", b""))
}

pub fn reset() -> Script {
    steps(vec![Step::Reset])
}

pub fn close() -> Script {
    steps(vec![Step::Close])
}

pub fn hang() -> Script {
    steps(vec![Step::Hang])
}

pub fn garbage() -> Script {
    steps(vec![Step::Bytes(b"\x00\x01 this is no answer\r\n\r\n".to_vec()), Step::Hang])
}

/// One event of a stream.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// The events of a stream with these ids.
pub fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

/// The head of a stream.
pub fn stream_head(server_request: &ServerRequest) -> Vec<u8> {
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    head(server_request, "200 OK", more).into_bytes()
}

/// One chunk.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A complete stream of events, each in a chunk of its own.
pub fn stream(ids: std::ops::RangeInclusive<u64>) -> Script {
    bytes(move |server_request| {
        let mut out = stream_head(server_request);
        ids.clone().for_each(|id| out.extend(chunk(&event(id))));
        out.extend(LAST_CHUNK);
        out
    })
}

/// Sends the head of a stream and this text, and then performs these steps.
pub fn begun_stream(text: &str, then: Vec<Step>) -> Script {
    let text = text.to_owned();
    bytes_then(
        move |server_request| {
            let mut out = stream_head(server_request);
            if !text.is_empty() {
                out.extend(chunk(&text));
            }
            out
        },
        then,
    )
}

/// Sends the head of a stream and this text, and resets the connection once the gate is opened.
pub fn broken_stream(text: &str, gate: &Gate) -> Script {
    begun_stream(text, vec![Step::Wait(gate.clone()), Step::Reset])
}
