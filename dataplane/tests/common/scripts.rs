//! What servers do.

use super::client::chunked;
use super::servers::{Arrival, Gate, Play, Step};

/// The bytes of an answer to a request.
pub type Make = fn(&Arrival) -> Vec<u8>;
/// Makes one play after the other.
pub type MakePlay = fn() -> Play;

/// The stamp that a server puts on its answers.
pub fn seal(arrival: &Arrival) -> String {
    format!("seal.{}.{}", arrival.server, arrival.id())
}

/// An answer's head up to its framing. `more` are lines, each with its end.
fn head(arrival: &Arrival, status: &str, more: &str) -> String {
    let (id, seal) = (arrival.id(), seal(arrival));
    format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Seal: {seal}\r\n{more}")
}

/// An answer with a length.
pub fn plain(arrival: &Arrival, status: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut out = head(arrival, status, more).into_bytes();
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    out.extend(body);
    out
}

/// An answer in chunks.
pub fn pieces(arrival: &Arrival, status: &str, more: &str, body: &[u8], sizes: &[usize]) -> Vec<u8> {
    let mut out = head(arrival, status, more).into_bytes();
    out.extend(b"Transfer-Encoding: chunked\r\n\r\n");
    out.extend(chunked(body, sizes));
    out
}

/// An answer that its connection's end ends.
pub fn until_close(arrival: &Arrival, status: &str, body: &[u8]) -> Vec<u8> {
    let mut out = head(arrival, status, "Connection: close\r\n\r\n").into_bytes();
    out.extend(body);
    out
}

/// These steps, whatever is asked.
pub fn steps(steps: Vec<Step>) -> Play {
    Box::new(move |_| steps.clone())
}

/// Bytes that depend on the request.
pub fn bytes(make: impl Fn(&Arrival) -> Vec<u8> + 'static) -> Play {
    Box::new(move |arrival| vec![Step::Bytes(make(arrival))])
}

/// Bytes that depend on the request, and then these steps.
pub fn bytes_then(make: impl Fn(&Arrival) -> Vec<u8> + 'static, then: Vec<Step>) -> Play {
    Box::new(move |arrival| [vec![Step::Bytes(make(arrival))], then.clone()].concat())
}

/// A whole success.
pub fn whole(body: &str) -> Play {
    let body = body.to_owned();
    bytes(move |arrival| plain(arrival, "200 OK", "", body.as_bytes()))
}

/// An answer of the server's own with this status, after which the request has run.
pub fn status(status: &str) -> Play {
    let status = status.to_owned();
    bytes(move |arrival| plain(arrival, &status, "", b"of the server"))
}

/// The server says that it has not run the request.
pub fn turned_away() -> Play {
    bytes(|arrival| plain(arrival, "503 Service Unavailable", "X-Not-Run: 1\r\n", b""))
}

pub fn reset() -> Play {
    steps(vec![Step::Reset])
}

pub fn close() -> Play {
    steps(vec![Step::Close])
}

pub fn silence() -> Play {
    steps(vec![Step::Hang])
}

pub fn garbage() -> Play {
    steps(vec![Step::Bytes(b"\x00\x01 this is no answer\r\n\r\n".to_vec()), Step::Hang])
}

/// One event of a stream.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// Events of a stream, the last one included.
pub fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

/// The head of a stream.
pub fn stream_head(arrival: &Arrival) -> Vec<u8> {
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    head(arrival, "200 OK", more).into_bytes()
}

/// One chunk.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A whole stream of events, each in a chunk of its own.
pub fn stream(ids: std::ops::RangeInclusive<u64>) -> Play {
    bytes(move |arrival| {
        let mut out = stream_head(arrival);
        ids.clone().for_each(|id| out.extend(chunk(&event(id))));
        out.extend(LAST_CHUNK);
        out
    })
}

/// The head of a stream and this text, and then these steps.
pub fn begun_stream(text: &str, then: Vec<Step>) -> Play {
    let text = text.to_owned();
    bytes_then(
        move |arrival| {
            let mut out = stream_head(arrival);
            if !text.is_empty() {
                out.extend(chunk(&text));
            }
            out
        },
        then,
    )
}

/// The head of a stream and this text, and a reset once the gate is opened.
pub fn broken_stream(text: &str, gate: &Gate) -> Play {
    begun_stream(text, vec![Step::Wait(gate.clone()), Step::Reset])
}
