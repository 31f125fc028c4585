//! A client on a raw socket, with its own response parser.

use std::cell::Cell;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::configuration::HOST;

thread_local! {
    static NEXT_ID: Cell<u64> = const { Cell::new(1) };
}

/// An id that no other request of this thread has.
pub fn fresh_id() -> String {
    let id = NEXT_ID.get();
    NEXT_ID.set(id + 1);
    format!("{:016x}", id.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A request to be sent.
#[derive(Clone)]
pub struct ClientRequest {
    pub method: String,
    pub target: String,
    pub host: String,
    pub id: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The sizes of its chunks, used in turn; empty for a body with a length.
    pub chunks: Vec<usize>,
    /// Whether the client speaks HTTP/1.0.
    pub http_1_0: bool,
}

impl ClientRequest {
    pub fn new(method: &str, target: &str) -> Self {
        ClientRequest {
            method: method.to_owned(),
            target: target.to_owned(),
            host: HOST.to_owned(),
            id: fresh_id(),
            fields: vec![("X-Deadline-Ms".to_owned(), "8000".to_owned())],
            body: Vec::new(),
            chunks: Vec::new(),
            http_1_0: false,
        }
    }

    pub fn get(target: &str) -> Self {
        ClientRequest::new("GET", target)
    }

    pub fn post(target: &str) -> Self {
        ClientRequest { body: b"what is asked".to_vec(), ..ClientRequest::new("POST", target) }
    }

    /// Sets a field, replacing earlier ones of the same name.
    pub fn field(mut self, name: &str, value: &str) -> Self {
        self.fields.retain(|(other, _)| other != name);
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn host(self, host: &str) -> Self {
        ClientRequest { host: host.to_owned(), ..self }
    }

    pub fn id(self, id: &str) -> Self {
        ClientRequest { id: id.to_owned(), ..self }
    }

    pub fn body(self, body: &[u8]) -> Self {
        ClientRequest { body: body.to_vec(), ..self }
    }

    pub fn in_chunks(self, sizes: &[usize]) -> Self {
        ClientRequest { chunks: sizes.to_vec(), ..self }
    }

    /// Makes it a request of an HTTP/1.0 client.
    pub fn http_1_0(self) -> Self {
        ClientRequest { http_1_0: true, ..self }
    }

    /// Makes it a generation request for the model that the servers have loaded.
    pub fn generation(self) -> Self {
        let request = self.field("X-Model", super::configuration::MODEL).field("X-Token-Count", "900,40");
        request.field("X-Prompt-Prefix", "a1:400,b2:300,c3:200")
    }

    pub fn bytes(&self) -> Vec<u8> {
        let ClientRequest { method, target, host, id, .. } = self;
        let version = if self.http_1_0 { "1.0" } else { "1.1" };
        let mut out = format!("{method} {target} HTTP/{version}\r\nHost: {host}\r\nX-Request-Id: {id}\r\n")
            .into_bytes();
        for (name, value) in &self.fields {
            out.extend(format!("{name}: {value}\r\n").bytes());
        }
        if !self.chunks.is_empty() {
            out.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            out.extend(chunked(&self.body, &self.chunks));
        } else if self.body.is_empty() && method == "GET" {
            out.extend(b"\r\n");
        } else {
            out.extend(format!("Content-Length: {}\r\n\r\n", self.body.len()).bytes());
            out.extend(&self.body);
        }
        out
    }
}

/// Encodes a body in chunks of these sizes, used in turn.
pub fn chunked(body: &[u8], sizes: &[usize]) -> Vec<u8> {
    let (mut out, mut rest, mut sizes) = (Vec::new(), body, sizes.iter().cycle());
    while !rest.is_empty() {
        let size = sizes.next().map_or(rest.len(), |size| (*size).min(rest.len()));
        let (chunk, left) = rest.split_at(size);
        out.extend(format!("{size:x}\r\n").bytes());
        out.extend(chunk);
        out.extend(b"\r\n");
        rest = left;
    }
    out.extend(b"0\r\n\r\n");
    out
}

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// With its declared length, or with its last chunk.
    Complete,
    /// The connection was closed before the body was complete.
    Closed,
    /// The connection was reset before the body was complete.
    Reset,
}

/// A response, as far as it was received.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub reason: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub body_end: BodyEnd,
}

impl Response {
    /// The value of a field; none unless the field occurs exactly once.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut all = self.fields.iter().filter(|(other, _)| other.eq_ignore_ascii_case(name));
        all.next().filter(|_| all.next().is_none()).map(|(_, value)| &**value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// True if it was truncated in a way that the client can see.
    pub fn is_truncated(&self) -> bool {
        self.body_end != BodyEnd::Complete
    }

    /// True if its status says that the request was not processed and never will be.
    pub fn says_not_processed(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }

    /// The seconds of `Retry-After`.
    pub fn retry_after(&self) -> Option<f64> {
        self.field("Retry-After")?.parse().ok()
    }
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Client {
    pub async fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.expect("the front listens");
        stream.set_nodelay(true).expect("a socket");
        Client { stream, received: Vec::new() }
    }

    /// Writes bytes. An error is ignored: a node may respond and close the connection before it has read everything.
    pub async fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    pub async fn request(&mut self, request: &ClientRequest) -> Response {
        self.send(&request.bytes()).await;
        self.response().await
    }

    /// Reads available bytes, or returns how the connection ended.
    async fn fill(&mut self) -> Option<BodyEnd> {
        match self.stream.read_buf(&mut self.received).await {
            Ok(0) => Some(BodyEnd::Closed),
            Ok(_) => None,
            Err(_) => Some(BodyEnd::Reset),
        }
    }

    /// Waits until this text has been received, without consuming it.
    pub async fn wait_for(&mut self, text: &str) {
        while find(&self.received, text.as_bytes()).is_none() {
            let ended = self.fill().await;
            let received = String::from_utf8_lossy(&self.received);
            assert!(ended.is_none(), "{ended:?} before {text:?} was received; received so far: {received:?}");
        }
    }

    /// Like [`Client::wait_for`], but also returns if the connection ends first.
    pub async fn wait_for_or_end(&mut self, text: &str) {
        while find(&self.received, text.as_bytes()).is_none() && self.fill().await.is_none() {}
    }

    /// Reads the next response.
    pub async fn response(&mut self) -> Response {
        self.response_or_end()
            .await
            .unwrap_or_else(|body_end| panic!("no response: {body_end:?}, {:?}", self.received))
    }

    /// Reads the next response, or returns how the connection ended instead.
    pub async fn response_or_end(&mut self) -> Result<Response, BodyEnd> {
        let mut response = self.read_head().await?;
        response.body_end = self.read_body(&mut response).await;
        Ok(response)
    }

    /// Reads the response to a request of an HTTP/1.0 client, or returns how the connection ended instead. A body without a
    /// length is complete if the connection is closed, and truncated if it is reset.
    pub async fn http_1_0_response_or_end(&mut self) -> Result<Response, BodyEnd> {
        let mut response = self.read_head().await?;
        assert_eq!(response.field("transfer-encoding"), None, "an HTTP/1.0 client can't decode chunks");
        if response.field("content-length").is_some() {
            response.body_end = self.read_body(&mut response).await;
            return Ok(response);
        }
        let (end, body) = self.end().await;
        response.body = body;
        response.body_end = if end == BodyEnd::Closed { BodyEnd::Complete } else { end };
        Ok(response)
    }

    async fn read_head(&mut self) -> Result<Response, BodyEnd> {
        loop {
            if let Some(end) = find(&self.received, b"\r\n\r\n") {
                return Ok(parse_head(&self.take(end + 4)));
            }
            if let Some(body_end) = self.fill().await {
                return Err(body_end);
            }
        }
    }

    /// Reads the response to a `HEAD`, or an interim response: neither has a body.
    pub async fn head_response(&mut self) -> Response {
        self.wait_for("\r\n\r\n").await;
        let end = find(&self.received, b"\r\n\r\n").expect("it was received");
        parse_head(&self.take(end + 4))
    }

    async fn read_body(&mut self, response: &mut Response) -> BodyEnd {
        let length = response.field("content-length").map(|length| length.parse().expect("a length"));
        match (length, response.field("transfer-encoding")) {
            (Some(length), None) => self.read_length(length, &mut response.body).await,
            (None, Some("chunked")) => self.read_chunks(&mut response.body).await,
            (None, None) if response.status == 204 || response.status == 304 => BodyEnd::Complete,
            framing => panic!("no framing: {framing:?}"),
        }
    }

    async fn read_length(&mut self, length: usize, body: &mut Vec<u8>) -> BodyEnd {
        while self.received.len() < length {
            if let Some(body_end) = self.fill().await {
                *body = std::mem::take(&mut self.received);
                return body_end;
            }
        }
        *body = self.take(length);
        BodyEnd::Complete
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> BodyEnd {
        loop {
            let line = loop {
                if let Some(end) = find(&self.received, b"\r\n") {
                    break self.take(end + 2);
                }
                if let Some(body_end) = self.fill().await {
                    return body_end;
                }
            };
            let text = std::str::from_utf8(&line).expect("a size line").trim_end();
            let size = usize::from_str_radix(text, 16).unwrap_or_else(|_| panic!("no size: {text:?}"));
            let mut chunk = Vec::new();
            let body_end = self.read_length(size + 2, &mut chunk).await;
            body.extend(&chunk[..size.min(chunk.len())]);
            match body_end {
                BodyEnd::Complete => assert!(chunk.ends_with(b"\r\n"), "a chunk is longer than its size"),
                truncated => return truncated,
            }
            if size == 0 {
                return BodyEnd::Complete;
            }
        }
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.received.split_off(count);
        std::mem::replace(&mut self.received, rest)
    }

    /// Waits for the end of the connection. Returns how it ended, and the bytes received that belong to no response
    /// read so far.
    pub async fn end(&mut self) -> (BodyEnd, Vec<u8>) {
        loop {
            if let Some(body_end) = self.fill().await {
                return (body_end, std::mem::take(&mut self.received));
            }
        }
    }

    /// Closes the client's sending direction; reading goes on.
    pub async fn half_close(&mut self) {
        let _ = self.stream.shutdown().await;
    }
}

fn parse_head(head: &[u8]) -> Response {
    let text = std::str::from_utf8(head).expect("a head is text");
    let mut lines = text.trim_end().split("\r\n");
    let first = lines.next().expect("a first line");
    let mut parts = first.splitn(3, ' ');
    assert_eq!(parts.next(), Some("HTTP/1.1"), "in {text:?}");
    let status = parts.next().and_then(|status| status.parse().ok()).expect("a status");
    let fields = lines.map(|line| line.split_once(": ").unwrap_or_else(|| panic!("no field: {line:?}")));
    Response {
        status,
        reason: parts.next().unwrap_or_default().to_owned(),
        fields: fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
        body: Vec::new(),
        body_end: BodyEnd::Complete,
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
