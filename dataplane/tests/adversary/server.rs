//! Faulty servers. The seed, the request and the server determine the behavior.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::yield_now;
use tokio::time::Instant;

use crate::common::client::{chunked, find};
use crate::common::event;
use crate::history::{Delivery, History, RouteKind};
use crate::random::{Random, bytes_of, hash};

/// Size of the receive buffer of some servers: so small that a long body can only be written as fast as the server reads it.
const SMALL_BUFFER: u32 = 4096;

/// How the body of a response is framed, or truncated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shape {
    Length,
    Chunks,
    UntilClose,
    /// As [`Shape::UntilClose`], but the connection is reset before the end.
    UntilReset,
}

/// The framings of a response.
pub const FRAMINGS: [Shape; 3] = [Shape::Length, Shape::Chunks, Shape::UntilClose];

/// What a server does with the connection after a truncated response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TruncatedEnd {
    /// Closes it in order, as the kernel does for a process that has crashed.
    Closes,
    Resets,
    /// Keeps it open and sends nothing more.
    FallsSilent,
}

/// All ends of a truncated response.
pub const TRUNCATED_ENDS: [TruncatedEnd; 3] =
    [TruncatedEnd::Closes, TruncatedEnd::Resets, TruncatedEnd::FallsSilent];

/// Where a response is truncated; the number chooses among all such offsets.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// Within the head, a chunk's size line, the body, or an event.
    BehindAnyByte(u64),
    /// Behind the head, or behind one of the events.
    BetweenEvents(u64),
}

impl Cut {
    /// The number of bytes of the response that are sent: never all.
    fn length(self, response: &[u8], body_start: usize) -> usize {
        match self {
            Cut::BehindAnyByte(number) => number as usize % response.len(),
            Cut::BetweenEvents(number) => {
                let behind_events =
                    (body_start + 2..response.len()).filter(|end| response[..*end].ends_with(b"\n\n"));
                let ends: Vec<usize> = std::iter::once(body_start).chain(behind_events).collect();
                ends[number as usize % ends.len()].min(response.len() - 1)
            }
        }
    }
}

/// What a server does with the connection after a complete response.
#[derive(Clone, Copy, Debug)]
enum AfterResponse {
    KeepsOpen,
    /// Closes it at once, which may cross the next request.
    Closes,
    ClosesSoon,
    Resets,
    /// Closes its sending direction and keeps reading: the next request is processed and gets no response.
    HalfCloses,
    /// Sends another response though there is no request.
    SendsSurplus,
}

/// What a server does with one request.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    Responds(Shape, AfterResponse),
    /// Responds before it has read the body, and reads the body afterwards.
    RespondsEarly(Shape),
    /// The same, but it closes the connection instead of reading the body.
    RespondsEarlyAndCloses(Shape),
    /// Responds that it did not process the request.
    Rejects {
        status: u16,
        early: bool,
        closes: bool,
    },
    /// Processes it, and responds with an error.
    RespondsWithError(u16),
    /// First sends a surplus response: one with the id of another request (`with_id`) or one without an id.
    SendsSurplusFirst {
        with_id: bool,
        then_responds: bool,
    },
    SendsInterimFirst,
    Truncates {
        framing: Shape,
        end: TruncatedEnd,
        cut: Cut,
    },
    Garbage,
    Resets,
    Closes,
    Hangs,
}

fn behavior(random: &mut Random) -> Behavior {
    let shape =
        random.one_of(&[Shape::Length, Shape::Length, Shape::Chunks, Shape::UntilClose, Shape::UntilReset]);
    let after = random.one_of(&[
        AfterResponse::KeepsOpen,
        AfterResponse::KeepsOpen,
        AfterResponse::KeepsOpen,
        AfterResponse::Closes,
        AfterResponse::ClosesSoon,
        AfterResponse::Resets,
        AfterResponse::HalfCloses,
        AfterResponse::SendsSurplus,
    ]);
    match random.below(100) {
        0..=44 => Behavior::Responds(shape, after),
        45..=54 => Behavior::RespondsEarly(shape),
        55..=57 => Behavior::RespondsEarlyAndCloses(shape),
        58..=66 => Behavior::Rejects {
            status: random.one_of(&[503, 429, 421]),
            early: random.percent(50),
            closes: random.percent(50),
        },
        67..=70 => Behavior::RespondsWithError(random.one_of(&[500, 503, 429, 404])),
        71..=78 => {
            Behavior::SendsSurplusFirst { with_id: random.percent(50), then_responds: random.percent(80) }
        }
        79..=81 => Behavior::SendsInterimFirst,
        82..=90 => Behavior::Truncates {
            framing: random.one_of(&FRAMINGS),
            end: random.one_of(&TRUNCATED_ENDS),
            cut: match random.percent(25) {
                true => Cut::BetweenEvents(random.next()),
                false => Cut::BehindAnyByte(random.next()),
            },
        },
        91..=92 => Behavior::Garbage,
        93..=95 => Behavior::Resets,
        96..=97 => Behavior::Closes,
        _ => Behavior::Hangs,
    }
}

/// The length of a response's body at this server.
fn response_length(id: &str, server: &str) -> usize {
    [0, 1, 50, 50, 2_000, 5_000, 60_000][(hash(&["length", id, server]) % 7) as usize]
}

/// The body of a server's 200 response; `after` is the last event that the client has.
pub fn response_body(kind: RouteKind, id: &str, server: &str, after: u64) -> Vec<u8> {
    if !kind.streaming {
        return bytes_of(&format!("{id} at {server}"), response_length(id, server));
    }
    // The same events at each server: the stream may be resumed at another one.
    let last = 3 + hash(&["events", id]) % 6;
    (after + 1..=last).map(|number| format!("{}: of {id}\n{}", "", event(number))).collect::<String>().into()
}

pub struct Server {
    pub id: String,
    seed: u64,
    kinds: &'static [RouteKind],
    history: Rc<History>,
}

/// A received request head.
struct ReceivedRequest {
    id: String,
    kind: RouteKind,
    delivery: usize,
    length: usize,
    after: u64,
}

impl Server {
    pub fn start(id: String, seed: u64, kinds: &'static [RouteKind], history: Rc<History>) -> SocketAddrV4 {
        let socket = TcpSocket::new_v4().expect("a socket");
        if hash(&["buffer", &id]).is_multiple_of(2) {
            socket.set_recv_buffer_size(SMALL_BUFFER).expect("a size");
        }
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(128).expect("it listens");
        let address = crate::common::servers::v4(&listener);
        tokio::task::spawn_local(Rc::new(Server { id, seed, kinds, history }).accept(listener));
        address
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = Connection { server: self.clone(), stream, received: Vec::new() };
            tokio::task::spawn_local(connection.serve());
        }
    }
}

struct Connection {
    server: Rc<Server>,
    stream: TcpStream,
    received: Vec<u8>,
}

impl Connection {
    async fn serve(mut self) {
        while let Some(request) = self.request().await {
            let mut random = Random::of(self.server.seed, &[&request.id, &self.server.id]);
            if self.perform(&request, behavior(&mut random)).await.is_none() {
                return;
            }
        }
    }

    async fn fill(&mut self) -> Option<()> {
        self.stream.read_buf(&mut self.received).await.ok().filter(|count| *count > 0).map(|_| ())
    }

    /// Reads the head of the next request; none if the connection has ended, or no client sent such a request.
    async fn request(&mut self) -> Option<ReceivedRequest> {
        let end = loop {
            if let Some(end) = find(&self.received, b"\r\n\r\n") {
                break end + 4;
            }
            self.fill().await?;
        };
        let head = String::from_utf8_lossy(&self.received[..end]).into_owned();
        self.received.drain(..end);
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
        };
        let id = field("X-Request-Id").unwrap_or_default();
        let target = head.split(' ').nth(1).unwrap_or_default();
        let Some(kind) = self.server.kinds.iter().find(|kind| kind.target == target).copied() else {
            self.server.history.violation(format!("unknown request: {head:?}"));
            return None;
        };
        let deadline = field("X-Deadline-Ms").and_then(|text| text.parse().ok());
        let delivery = self.server.history.record_delivery(&id, &self.server.id, deadline)?;
        let length = field("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let after = field("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0);
        Some(ReceivedRequest { id, kind, delivery, length, after })
    }

    fn update(&self, request: &ReceivedRequest, change: impl FnOnce(&mut Delivery)) {
        self.server.history.update(&request.id, request.delivery, change);
    }

    /// Reads the body and checks that it is the one that the client sent.
    async fn read_body(&mut self, request: &ReceivedRequest) -> Option<()> {
        let sent = bytes_of(&request.id, request.length);
        let mut open = Some(());
        while open.is_some() && self.received.len() < request.length {
            open = self.fill().await;
        }
        let received = self.received.len().min(request.length);
        if self.received[..received] != sent[..received] {
            self.server
                .history
                .violation(format!("wrong request body: other bytes in the body of {}", request.id));
        }
        self.received.drain(..received);
        open
    }

    async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).await.ok()
    }

    fn reset(&self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    }

    fn head(&self, request: &ReceivedRequest, status: u16, more: &str) -> String {
        let seal = format!("seal.{}.{}", self.server.id, request.id);
        format!("HTTP/1.1 {status} Odd\r\nX-Request-Id: {}\r\nX-Server-Seal: {seal}\r\n{more}", request.id)
    }

    /// The bytes of a 200 response; only a part of its body for [`Shape::UntilReset`].
    fn success(&self, request: &ReceivedRequest, shape: Shape) -> Vec<u8> {
        self.update(request, |delivery| (delivery.ran, delivery.status) = (true, Some(200)));
        let body = response_body(request.kind, &request.id, &self.server.id, request.after);
        match shape {
            Shape::Length => {
                let head = self.head(request, 200, &format!("Content-Length: {}\r\n\r\n", body.len()));
                [head.as_bytes(), &body].concat()
            }
            Shape::Chunks => {
                let head = self.head(request, 200, "Transfer-Encoding: chunked\r\n\r\n");
                [head.as_bytes(), &chunked(&body, &[700, 13])].concat()
            }
            Shape::UntilClose => {
                [self.head(request, 200, "Connection: close\r\n\r\n").as_bytes(), &body].concat()
            }
            Shape::UntilReset => {
                let head = self.head(request, 200, "Connection: close\r\n\r\n");
                [head.as_bytes(), &body[..body.len() / 2]].concat()
            }
        }
    }

    fn with_length(&self, request: &ReceivedRequest, status: u16, more: &str) -> Vec<u8> {
        self.head(request, status, &format!("{more}Content-Length: 2\r\n\r\nno")).into_bytes()
    }

    /// A response that belongs to no request of the connection.
    fn surplus_response(&self, with_id: bool) -> Vec<u8> {
        let id = if with_id { "X-Request-Id: of-another\r\n" } else { "" };
        format!("HTTP/1.1 200 OK\r\n{id}X-Server-Seal: stale\r\nContent-Length: 5\r\n\r\nstale").into_bytes()
    }

    /// Ends the connection after a response of this shape, if that is its end. None: the connection is over.
    fn ended(&self, shape: Shape) -> Option<()> {
        match shape {
            Shape::Length | Shape::Chunks => Some(()),
            Shape::UntilClose => None,
            Shape::UntilReset => {
                self.reset();
                None
            }
        }
    }

    /// Handles a request as the behavior says. None: the connection is over.
    async fn perform(&mut self, request: &ReceivedRequest, behavior: Behavior) -> Option<()> {
        match behavior {
            Behavior::RespondsEarly(shape) => {
                let response = self.success(request, shape);
                self.write(&response).await?;
                self.ended(shape)?;
                return self.read_body(request).await;
            }
            Behavior::RespondsEarlyAndCloses(shape) => {
                let response = self.success(request, shape);
                self.write(&response).await?;
                self.ended(shape)?;
                return None;
            }
            Behavior::Rejects { status, early: true, closes } => {
                let response = self.with_length(request, status, "X-Not-Run: 1\r\n");
                self.write(&response).await?;
                return if closes { None } else { self.read_body(request).await };
            }
            _ => self.read_body(request).await?,
        }
        self.perform_after_body(request, behavior).await
    }

    async fn perform_after_body(&mut self, request: &ReceivedRequest, behavior: Behavior) -> Option<()> {
        self.update(request, |delivery| delivery.ran = !matches!(behavior, Behavior::Rejects { .. }));
        match behavior {
            Behavior::Rejects { status, closes, .. } => {
                let response = self.with_length(request, status, "X-Not-Run: 1\r\n");
                self.write(&response).await?;
                (!closes).then_some(())
            }
            Behavior::RespondsWithError(status) => {
                self.update(request, |delivery| delivery.status = Some(status));
                let response = self.with_length(request, status, "");
                self.write(&response).await
            }
            Behavior::SendsSurplusFirst { with_id, then_responds } => {
                let other = self.surplus_response(with_id);
                self.write(&other).await?;
                if !then_responds {
                    return self.hang_until_closed(request).await;
                }
                let response = self.success(request, Shape::Length);
                self.write(&response).await
            }
            Behavior::SendsInterimFirst => {
                self.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n").await?;
                let response = self.success(request, Shape::Chunks);
                self.write(&response).await
            }
            Behavior::Truncates { framing, end, cut } => self.truncate(request, framing, end, cut).await,
            Behavior::Garbage => {
                self.write(b"\x00\x01 this is no answer\r\n\r\n").await?;
                self.hang_until_closed(request).await
            }
            Behavior::Resets => {
                self.reset();
                None
            }
            Behavior::Closes => None,
            Behavior::Hangs => self.hang_until_closed(request).await,
            Behavior::Responds(shape, after) => {
                let response = self.success(request, shape);
                self.write(&response).await?;
                self.ended(shape)?;
                self.after(after).await
            }
            Behavior::RespondsEarly(_) | Behavior::RespondsEarlyAndCloses(_) => None,
        }
    }

    async fn after(&mut self, after: AfterResponse) -> Option<()> {
        match after {
            AfterResponse::KeepsOpen => Some(()),
            AfterResponse::Closes => None,
            AfterResponse::ClosesSoon => {
                for _ in 0..20 {
                    yield_now().await;
                }
                None
            }
            AfterResponse::Resets => {
                self.reset();
                None
            }
            AfterResponse::HalfCloses => {
                self.stream.shutdown().await.ok()?;
                let request = self.request().await?;
                self.read_body(&request).await?;
                self.update(&request, |delivery| delivery.ran = true);
                None
            }
            AfterResponse::SendsSurplus => {
                let other = self.surplus_response(true);
                self.write(&other).await
            }
        }
    }

    /// Sends a part of a response, and then ends the connection or falls silent.
    async fn truncate(
        &mut self,
        request: &ReceivedRequest,
        framing: Shape,
        end: TruncatedEnd,
        cut: Cut,
    ) -> Option<()> {
        let response = self.success(request, framing);
        let body_start = find(&response, b"\r\n\r\n").map_or(response.len(), |end| end + 4);
        let sent = &response[..cut.length(&response, body_start)];
        self.server.history.record_truncation(&request.id, framing, end);
        if let (Shape::UntilClose, TruncatedEnd::Closes, Some(body)) = (framing, end, sent.get(body_start..))
        {
            self.record_end_without_length(request, body);
        }
        self.write(sent).await?;
        match end {
            TruncatedEnd::Closes => None,
            TruncatedEnd::Resets => {
                self.reset();
                None
            }
            TruncatedEnd::FallsSilent => self.hang_until_closed(request).await,
        }
    }

    /// Records that this part of a body without a length is all that is sent before the connection is closed in order.
    ///
    /// RFC 9112, section 8: a response without a length is complete once its connection is closed, so nobody can tell that
    /// bytes are missing. In a stream of events only the bytes of whole events can be all: an event may not be incomplete,
    /// and the first one, or one that had begun, may not be missing.
    fn record_end_without_length(&self, request: &ReceivedRequest, body: &[u8]) {
        let history = &self.server.history;
        if !request.kind.streaming {
            return history.record_unnoticeable_end(&request.id, request.delivery, body.to_vec());
        }
        if !body.is_empty() && !body.ends_with(b"\n\n") {
            let complete_events = body.windows(2).filter(|bytes| bytes == b"\n\n").count() as u64;
            let event = request.after + complete_events + 1;
            return history.record_incomplete_event(&request.id, request.delivery, event);
        }
        let event_is_due = request.after == 0 || history.event_is_incomplete(&request.id, request.after + 1);
        if event_is_due && body.is_empty() {
            return;
        }
        let whole = response_body(request.kind, &request.id, &self.server.id, 0);
        let rest = response_body(request.kind, &request.id, &self.server.id, request.after);
        let earlier = &whole[..whole.len() - rest.len()];
        history.record_unnoticeable_end(&request.id, request.delivery, [earlier, body].concat());
    }

    /// Works on the request until the other side closes the connection.
    async fn hang_until_closed(&mut self, request: &ReceivedRequest) -> Option<()> {
        while self.fill().await.is_some() {}
        if !self.received.is_empty() {
            self.server
                .history
                .violation(format!("early bytes: bytes after {} before its response", request.id));
        }
        self.update(request, |delivery| delivery.stopped = Some(Instant::now()));
        None
    }
}
