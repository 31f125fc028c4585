//! A small HTTP/1.1 client over blocking sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its framing says that it is complete.
    Complete,
    /// The connection was closed or reset before.
    Truncated,
    /// Nothing more came in time.
    Silent,
}

/// A response as a client sees it.
#[derive(Debug)]
pub struct Response {
    /// The status; 0 if no head came.
    pub status: u16,
    /// The fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// The body without framing, as far as it came.
    pub body: Vec<u8>,
    /// How it ended.
    pub end: End,
}

impl Response {
    fn none(end: End) -> Response {
        Response { status: 0, fields: Vec::new(), body: Vec::new(), end }
    }

    /// The first value of a field; its name in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads its response within `limit`.
pub fn request(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Response {
    let until = Instant::now() + limit;
    let Ok(mut stream) = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1))) else {
        return Response::none(End::Truncated);
    };
    let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).is_err() {
        return Response::none(End::Truncated);
    }
    read_response(&mut stream, until)
}

fn read_response(stream: &mut TcpStream, until: Instant) -> Response {
    let mut bytes = Vec::new();
    loop {
        if let Some(response) = parse(&bytes, false) {
            return response;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return parse_rest(&bytes, End::Silent);
        }
        let mut buffer = [0; 8192];
        match stream.read(&mut buffer) {
            Ok(0) => return parse(&bytes, true).unwrap_or_else(|| parse_rest(&bytes, End::Truncated)),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return parse_rest(&bytes, End::Silent);
            }
            Err(_) => return parse_rest(&bytes, End::Truncated),
        }
    }
}

/// The position after the empty line of a head.
pub fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4)
}

/// The fields of a head, with names in lower case.
pub fn fields(head: &[u8]) -> Vec<(String, String)> {
    let text = String::from_utf8_lossy(head);
    let lines = text.split("\r\n").skip(1).filter_map(|line| line.split_once(':'));
    lines.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned())).collect()
}

fn parse_head(bytes: &[u8]) -> Option<(Response, usize)> {
    let end = head_end(bytes)?;
    let text = String::from_utf8_lossy(&bytes[..end]);
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let response = Response { status, fields: fields(&bytes[..end]), body: Vec::new(), end: End::Complete };
    Some((response, end))
}

/// The complete response in these bytes, if there is one; `closed`: the connection was closed in order after them.
fn parse(bytes: &[u8], closed: bool) -> Option<Response> {
    let (mut response, end) = parse_head(bytes)?;
    let rest = &bytes[end..];
    if response.field("transfer-encoding").is_some() {
        let (body, complete) = dechunk(rest);
        response.body = body;
        return complete.then_some(response);
    }
    match response.field("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) if rest.len() < length => None,
        Some(length) => Some(Response { body: rest[..length].to_vec(), ..response }),
        None => closed.then(|| Response { body: rest.to_vec(), ..response }),
    }
}

/// What came of a response that is not complete.
fn parse_rest(bytes: &[u8], end: End) -> Response {
    let Some((response, head)) = parse_head(bytes) else { return Response::none(end) };
    let rest = &bytes[head..];
    let chunked = response.field("transfer-encoding").is_some();
    let body = if chunked { dechunk(rest).0 } else { rest.to_vec() };
    Response { body, end, ..response }
}

/// The content of a chunked body as far as it came, and whether its last chunk is there.
fn dechunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(line) = rest.windows(2).position(|window| window == b"\r\n") else { return (body, false) };
        let size =
            std::str::from_utf8(&rest[..line]).ok().and_then(|text| usize::from_str_radix(text, 16).ok());
        let Some(size) = size else { return (body, false) };
        rest = &rest[line + 2..];
        if size == 0 {
            return (body, rest.starts_with(b"\r\n"));
        }
        let have = size.min(rest.len());
        body.extend_from_slice(&rest[..have]);
        let Some(next) = rest.get(size + 2..) else { return (body, false) };
        rest = next;
    }
}
