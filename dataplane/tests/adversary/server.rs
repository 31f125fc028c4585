//! Servers that do what a bad day may bring, told by the seed, the request and the server.

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
use crate::history::{Kind, Ledger, Visit};
use crate::random::{Random, bytes_of, hash};

/// Some servers' sockets hold this little, so that a long body is written only as far as they read it.
const SMALL_BUFFER: u32 = 4096;

/// How an answer's body is framed, or ends instead.
#[derive(Clone, Copy, Debug)]
enum Shape {
    Length,
    Chunks,
    UntilClose,
    /// As [`Shape::UntilClose`], but the connection is reset before the end.
    UntilReset,
}

/// What becomes of a connection behind a whole answer.
#[derive(Clone, Copy, Debug)]
enum Behind {
    Keeps,
    /// Ends it at once, which may meet the next request.
    Ends,
    EndsSoon,
    Resets,
    /// Ends its own side and reads on: the next request runs and gets no answer.
    EndsOwnSide,
    /// Sends another answer while nothing is due.
    SaysMore,
}

#[derive(Clone, Copy, Debug)]
enum Act {
    Answers(Shape, Behind),
    /// Before it has read the body, which it reads behind that.
    AnswersEarly(Shape),
    /// The same, but it ends the connection instead of reading on.
    AnswersEarlyAndEnds(Shape),
    /// Says that it has not run the request.
    TurnsAway {
        status: u16,
        early: bool,
        ends: bool,
    },
    /// Has run it, and says so by a failure of its own.
    Fails(u16),
    /// Another answer comes first: one of another request, or one without an id.
    AnswersAnother {
        named: bool,
        also_ours: bool,
    },
    SaysWaitFirst,
    BreaksOff {
        shape: Shape,
        resets: bool,
    },
    Garbage,
    Resets,
    Ends,
    Silent,
}

fn act(random: &mut Random) -> Act {
    let shape =
        random.one_of(&[Shape::Length, Shape::Length, Shape::Chunks, Shape::UntilClose, Shape::UntilReset]);
    let behind = random.one_of(&[
        Behind::Keeps,
        Behind::Keeps,
        Behind::Keeps,
        Behind::Ends,
        Behind::EndsSoon,
        Behind::Resets,
        Behind::EndsOwnSide,
        Behind::SaysMore,
    ]);
    match random.below(100) {
        0..=44 => Act::Answers(shape, behind),
        45..=54 => Act::AnswersEarly(shape),
        55..=57 => Act::AnswersEarlyAndEnds(shape),
        58..=66 => Act::TurnsAway {
            status: random.one_of(&[503, 429, 421]),
            early: random.percent(50),
            ends: random.percent(50),
        },
        67..=70 => Act::Fails(random.one_of(&[500, 503, 429, 404])),
        71..=78 => Act::AnswersAnother { named: random.percent(50), also_ours: random.percent(80) },
        79..=81 => Act::SaysWaitFirst,
        82..=90 => Act::BreaksOff { shape, resets: random.percent(50) },
        91..=92 => Act::Garbage,
        93..=95 => Act::Resets,
        96..=97 => Act::Ends,
        _ => Act::Silent,
    }
}

/// How long an answer's body is, at this server.
fn answer_length(id: &str, server: &str) -> usize {
    [0, 1, 50, 50, 2_000, 5_000, 60_000][(hash(&["length", id, server]) % 7) as usize]
}

/// The body of a server's success.
pub fn answer_body(kind: Kind, id: &str, server: &str, behind: u64) -> Vec<u8> {
    if !kind.streams {
        return bytes_of(&format!("{id} at {server}"), answer_length(id, server));
    }
    // The same events wherever it runs: it may go on at another server.
    let last = 3 + hash(&["events", id]) % 6;
    (behind + 1..=last).map(|number| format!("{}: of {id}\n{}", "", event(number))).collect::<String>().into()
}

pub struct Server {
    pub id: String,
    seed: u64,
    kinds: &'static [Kind],
    ledger: Rc<Ledger>,
}

/// A request's head as it came.
struct Asked {
    id: String,
    kind: Kind,
    visit: usize,
    length: usize,
    behind: u64,
}

impl Server {
    pub fn start(id: String, seed: u64, kinds: &'static [Kind], ledger: Rc<Ledger>) -> SocketAddrV4 {
        let socket = TcpSocket::new_v4().expect("a socket");
        if hash(&["buffer", &id]).is_multiple_of(2) {
            socket.set_recv_buffer_size(SMALL_BUFFER).expect("a size");
        }
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(128).expect("it listens");
        let address = crate::common::servers::v4(&listener);
        tokio::task::spawn_local(Rc::new(Server { id, seed, kinds, ledger }).accept(listener));
        address
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = Connection { server: self.clone(), stream, seen: Vec::new() };
            tokio::task::spawn_local(connection.serve());
        }
    }
}

struct Connection {
    server: Rc<Server>,
    stream: TcpStream,
    seen: Vec<u8>,
}

impl Connection {
    async fn serve(mut self) {
        while let Some(asked) = self.asked().await {
            let mut random = Random::of(self.server.seed, &[&asked.id, &self.server.id]);
            if self.perform(&asked, act(&mut random)).await.is_none() {
                return;
            }
        }
    }

    async fn fill(&mut self) -> Option<()> {
        self.stream.read_buf(&mut self.seen).await.ok().filter(|count| *count > 0).map(|_| ())
    }

    /// The head of the next request; none if there is none, or nobody sent it.
    async fn asked(&mut self) -> Option<Asked> {
        let end = loop {
            if let Some(end) = find(&self.seen, b"\r\n\r\n") {
                break end + 4;
            }
            self.fill().await?;
        };
        let head = String::from_utf8_lossy(&self.seen[..end]).into_owned();
        self.seen.drain(..end);
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
        };
        let id = field("X-Request-Id").unwrap_or_default();
        let target = head.split(' ').nth(1).unwrap_or_default();
        let Some(kind) = self.server.kinds.iter().find(|kind| kind.target == target).copied() else {
            self.server.ledger.broke(format!("UNASKED: {head:?}"));
            return None;
        };
        let deadline = field("X-Deadline-Ms").and_then(|text| text.parse().ok());
        let visit = self.server.ledger.visited(&id, &self.server.id, deadline)?;
        let length = field("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let behind = field("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0);
        Some(Asked { id, kind, visit, length, behind })
    }

    fn note(&self, asked: &Asked, change: impl FnOnce(&mut Visit)) {
        self.server.ledger.note(&asked.id, asked.visit, change);
    }

    /// Reads the body, which has to be the one that this request's client sent.
    async fn read_body(&mut self, asked: &Asked) -> Option<()> {
        let whole = bytes_of(&asked.id, asked.length);
        let mut filled = Some(());
        while filled.is_some() && self.seen.len() < asked.length {
            filled = self.fill().await;
        }
        let come = self.seen.len().min(asked.length);
        if self.seen[..come] != whole[..come] {
            self.server.ledger.broke(format!("UNASKED: other bytes in the body of {}", asked.id));
        }
        self.seen.drain(..come);
        filled
    }

    async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).await.ok()
    }

    fn reset(&self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    }

    fn head(&self, asked: &Asked, status: u16, more: &str) -> String {
        let seal = format!("seal.{}.{}", self.server.id, asked.id);
        format!("HTTP/1.1 {status} Odd\r\nX-Request-Id: {}\r\nX-Server-Seal: {seal}\r\n{more}", asked.id)
    }

    /// The bytes of a success, without its end where the connection is to end it.
    fn success(&self, asked: &Asked, shape: Shape) -> Vec<u8> {
        self.note(asked, |visit| (visit.ran, visit.status) = (true, Some(200)));
        let body = answer_body(asked.kind, &asked.id, &self.server.id, asked.behind);
        match shape {
            Shape::Length => {
                let head = self.head(asked, 200, &format!("Content-Length: {}\r\n\r\n", body.len()));
                [head.as_bytes(), &body].concat()
            }
            Shape::Chunks => {
                let head = self.head(asked, 200, "Transfer-Encoding: chunked\r\n\r\n");
                [head.as_bytes(), &chunked(&body, &[700, 13])].concat()
            }
            Shape::UntilClose => {
                [self.head(asked, 200, "Connection: close\r\n\r\n").as_bytes(), &body].concat()
            }
            Shape::UntilReset => {
                let head = self.head(asked, 200, "Connection: close\r\n\r\n");
                [head.as_bytes(), &body[..body.len() / 2]].concat()
            }
        }
    }

    fn plain(&self, asked: &Asked, status: u16, more: &str) -> Vec<u8> {
        self.head(asked, status, &format!("{more}Content-Length: 2\r\n\r\nno")).into_bytes()
    }

    fn other(&self, named: bool) -> Vec<u8> {
        let id = if named { "X-Request-Id: of-another\r\n" } else { "" };
        format!("HTTP/1.1 200 OK\r\n{id}X-Server-Seal: stale\r\nContent-Length: 5\r\n\r\nstale").into_bytes()
    }

    /// Behind a whole answer of this shape. None: the connection bears no other request.
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

    /// Does about a request what its act says. None: the connection is over.
    async fn perform(&mut self, asked: &Asked, act: Act) -> Option<()> {
        match act {
            Act::AnswersEarly(shape) => {
                let answer = self.success(asked, shape);
                self.write(&answer).await?;
                self.ended(shape)?;
                return self.read_body(asked).await;
            }
            Act::AnswersEarlyAndEnds(shape) => {
                let answer = self.success(asked, shape);
                self.write(&answer).await?;
                self.ended(shape)?;
                return None;
            }
            Act::TurnsAway { status, early: true, ends } => {
                let answer = self.plain(asked, status, "X-Not-Run: 1\r\n");
                self.write(&answer).await?;
                return if ends { None } else { self.read_body(asked).await };
            }
            _ => self.read_body(asked).await?,
        }
        self.perform_behind_the_body(asked, act).await
    }

    async fn perform_behind_the_body(&mut self, asked: &Asked, act: Act) -> Option<()> {
        self.note(asked, |visit| visit.ran = !matches!(act, Act::TurnsAway { .. }));
        match act {
            Act::TurnsAway { status, ends, .. } => {
                let answer = self.plain(asked, status, "X-Not-Run: 1\r\n");
                self.write(&answer).await?;
                (!ends).then_some(())
            }
            Act::Fails(status) => {
                self.note(asked, |visit| visit.status = Some(status));
                let answer = self.plain(asked, status, "");
                self.write(&answer).await
            }
            Act::AnswersAnother { named, also_ours } => {
                let other = self.other(named);
                self.write(&other).await?;
                if !also_ours {
                    return self.hang(asked).await;
                }
                let answer = self.success(asked, Shape::Length);
                self.write(&answer).await
            }
            Act::SaysWaitFirst => {
                self.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n").await?;
                let answer = self.success(asked, Shape::Chunks);
                self.write(&answer).await
            }
            Act::BreaksOff { shape, resets } => {
                let answer = self.success(asked, shape);
                let cut = hash(&["cut", &asked.id]) as usize % answer.len();
                self.write(&answer[..cut]).await?;
                // An answer that its connection's end would end must not be ended where it is cut.
                if resets || matches!(shape, Shape::UntilClose | Shape::UntilReset) {
                    self.reset();
                }
                None
            }
            Act::Garbage => {
                self.write(b"\x00\x01 this is no answer\r\n\r\n").await?;
                self.hang(asked).await
            }
            Act::Resets => {
                self.reset();
                None
            }
            Act::Ends => None,
            Act::Silent => self.hang(asked).await,
            Act::Answers(shape, behind) => {
                let answer = self.success(asked, shape);
                self.write(&answer).await?;
                self.ended(shape)?;
                self.behind(behind).await
            }
            Act::AnswersEarly(_) | Act::AnswersEarlyAndEnds(_) => None,
        }
    }

    async fn behind(&mut self, behind: Behind) -> Option<()> {
        match behind {
            Behind::Keeps => Some(()),
            Behind::Ends => None,
            Behind::EndsSoon => {
                for _ in 0..20 {
                    yield_now().await;
                }
                None
            }
            Behind::Resets => {
                self.reset();
                None
            }
            Behind::EndsOwnSide => {
                self.stream.shutdown().await.ok()?;
                let asked = self.asked().await?;
                self.read_body(&asked).await?;
                self.note(&asked, |visit| visit.ran = true);
                None
            }
            Behind::SaysMore => {
                let other = self.other(true);
                self.write(&other).await
            }
        }
    }

    /// At work until the other side ends the connection.
    async fn hang(&mut self, asked: &Asked) -> Option<()> {
        while self.fill().await.is_some() {}
        if !self.seen.is_empty() {
            self.server.ledger.broke(format!("MIXED: bytes behind {} before its answer", asked.id));
        }
        self.note(asked, |visit| visit.stopped = Some(Instant::now()));
        None
    }
}
