//! HTTP/1.1 as far as a balancer needs it: heads, framing and whole messages on a connection.

mod body;
mod framing;
mod head;

use std::cell::RefCell;
use std::io;
use std::task::{Context, Poll};

use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::buffers::{Chain, Pool};
use crate::pace::Pace;
use crate::sockets::Permit;
pub use body::Body;
pub use framing::{Chunks, Framing};
pub use head::Head;

/// The longest head that is read.
pub const MAX_HEAD: usize = 16 * 1024;
/// The longest body that is passed on: bodies of 32 MB occur, and longer ones are nobody's.
pub const MAX_BODY: u64 = 40 * 1024 * 1024;

/// Why no whole message came.
#[derive(Debug)]
pub enum Fault {
    /// The other side ended the connection, or it broke.
    Ended,
    /// What came is no HTTP/1.1 message.
    Malformed(&'static str),
    /// The head is longer than [`MAX_HEAD`].
    LongHead,
    /// The body is longer than [`MAX_BODY`].
    LongBody,
}

/// A request.
pub struct Request {
    /// Its first line and headers.
    pub head: Head,
    /// Its body without framing, or what is kept of one that flows.
    pub body: Chain,
    /// What follows behind that.
    pub rest: Option<Rest>,
}

/// The rest of a request's body, as its client sends it.
pub struct Rest {
    /// How long the whole body is, if its client said so.
    pub length: Option<u64>,
    /// Where the pieces come from. Whoever has used one of them is the only one to pass the request on.
    pub pieces: RefCell<Option<mpsc::Receiver<Piece>>>,
}

/// A piece of a body.
pub struct Piece {
    /// The bytes, without framing.
    pub bytes: Chain,
    /// None follows.
    pub last: bool,
}

impl Request {
    /// How its body is framed on the way to an app server; none if it has none.
    pub fn framing(&self) -> Option<Framing> {
        match &self.rest {
            Some(Rest { length: Some(length), .. }) => Some(Framing::Length(*length)),
            Some(_) => Some(Framing::Chunked),
            None if self.body.is_empty() && matches!(self.head.method(), "GET" | "HEAD") => None,
            None => Some(Framing::Length(self.body.len() as u64)),
        }
    }
}

/// An app server's answer.
pub struct Answer {
    /// Its first line and headers.
    pub head: Head,
    /// Its body without framing, or the beginning of one that flows.
    pub body: Chain,
    /// What follows behind that.
    pub flow: Option<Box<Flow>>,
}

/// The rest of an answer's body, with the connection that it comes on.
pub struct Flow {
    /// That connection.
    pub connection: Connection,
    /// What is still to come.
    pub body: Body,
    /// How it is framed there.
    pub framing: Framing,
    /// Where the connection goes once the body is whole, if it can be used again.
    pub parking: Option<mpsc::WeakUnboundedSender<Connection>>,
}

/// A connection with what has been read from it and not used yet.
pub struct Connection {
    stream: TcpStream,
    inbox: Chain,
    _permit: Permit,
}

/// How far a head has been looked for.
#[derive(Default)]
pub struct Search {
    searched: usize,
    skipped: usize,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Ended => f.write_str("the connection ended"),
            Fault::Malformed(what) => f.write_str(what),
            Fault::LongHead => f.write_str("the head is too long"),
            Fault::LongBody => f.write_str("the body is too long"),
        }
    }
}

impl Connection {
    /// Takes over a stream and its share of the descriptor budget.
    pub fn new(stream: TcpStream, pool: &Pool, permit: Permit) -> Self {
        // Without this a small write may wait for an acknowledgement; if it fails, it only does that.
        let _ = stream.set_nodelay(true);
        Connection { stream, inbox: pool.chain(), _permit: permit }
    }

    /// True if bytes wait that no message has used.
    pub fn has_input(&self) -> bool {
        !self.inbox.is_empty()
    }

    /// How many bytes wait.
    pub fn waiting(&self) -> usize {
        self.inbox.len()
    }

    /// Reads what there is; 0 bytes mean that the other side has ended. Safe to drop midway. A connection that
    /// waits holds no buffer.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            match self.try_fill() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// Reads what is there at this moment, up to one buffer.
    fn try_fill(&mut self) -> io::Result<usize> {
        let read = self.stream.try_read(self.inbox.room());
        self.inbox.filled(*read.as_ref().unwrap_or(&0));
        read
    }

    async fn more(&mut self) -> Result<(), Fault> {
        match self.fill().await {
            Ok(0) | Err(_) => Err(Fault::Ended),
            Ok(_) => Ok(()),
        }
    }

    /// Reads the next head. Safe to drop midway.
    pub async fn read_head(&mut self) -> Result<Head, Fault> {
        let mut search = Search::default();
        loop {
            if let Some(head) = self.take_head(&mut search)? {
                return Ok(head);
            }
            self.more().await?;
        }
    }

    /// The next head, if it is there. Empty lines before it are skipped, as RFC 9112 asks.
    pub fn take_head(&mut self, search: &mut Search) -> Result<Option<Head>, Fault> {
        while search.searched == 0 && matches!(self.inbox.bytes().next(), Some(b'\r' | b'\n')) {
            self.inbox.consume(1);
            search.skipped += 1;
        }
        if let Some(end) = head::end(&self.inbox, search.searched) {
            if end > MAX_HEAD {
                return Err(Fault::LongHead);
            }
            let text = self.inbox.copy(end);
            self.inbox.consume(end);
            return Head::parse(text).map(Some).map_err(Fault::Malformed);
        }
        search.searched = self.inbox.len();
        match search.searched + search.skipped > MAX_HEAD {
            true => Err(Fault::LongHead),
            false => Ok(None),
        }
    }

    /// Moves what comes of a body, until `to` holds `most` or no more has come yet; true once it is whole. Waits
    /// for some of it if need be. Safe to drop midway.
    pub async fn read_piece(&mut self, body: &mut Body, to: &mut Chain, most: usize) -> Result<bool, Fault> {
        let had = to.len();
        loop {
            if body.take(&mut self.inbox, to, most)? {
                return Ok(true);
            }
            if to.len() >= most {
                return Ok(false);
            }
            let read = match to.len() > had {
                true => match self.try_fill() {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                    read => read,
                },
                false => self.fill().await,
            };
            match read {
                // A reset does not end a body, it cuts it short.
                Ok(0) => return body.end().map(|()| true),
                Ok(_) => {}
                Err(_) => return Err(Fault::Ended),
            }
        }
    }

    /// Reads more of a chunked body without end that is used as it comes, `most` bytes at once; true once it
    /// has ended all the same.
    pub async fn read_chunks(
        &mut self,
        chunks: &mut Chunks,
        body: &mut Chain,
        most: usize,
    ) -> Result<bool, Fault> {
        let had = body.len();
        loop {
            if chunks.take(&mut self.inbox, body, most)? {
                return Ok(true);
            }
            if body.len() > had {
                return Ok(false);
            }
            self.more().await?;
        }
    }

    /// The next head, if it has come: while one side still sends, the other may speak already.
    pub fn try_head(&mut self) -> Result<Option<Head>, Fault> {
        let mut search = Search::default();
        loop {
            if let Some(head) = self.take_head(&mut search)? {
                return Ok(Some(head));
            }
            match self.try_fill() {
                Ok(0) => return Err(Fault::Ended),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(_) => return Err(Fault::Ended),
            }
        }
    }

    /// Ready once there is something to read, or the other side has ended.
    pub async fn readable(&self) {
        // A socket that cannot even be asked shows that at the next read.
        let _ = self.stream.readable().await;
    }

    /// Ready once the other side has ended or broken the connection, also behind bytes that nobody reads. Looks now and
    /// then: unread bytes keep the socket readable, so that nothing else would wake us.
    pub async fn left(&self) {
        const LOOK: std::time::Duration = std::time::Duration::from_millis(40);
        while !matches!(self.stream.ready(Interest::READABLE).await, Ok(ready) if ready.is_read_closed()) {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Lets the other side see a break, not an end, once this is dropped.
    pub fn break_off(&self) {
        // If it fails, only an answer without length looks whole.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Writes the chains one after the other, whole.
    pub async fn write(&mut self, chains: &[&Chain]) -> io::Result<()> {
        let mut pace = Pace::of_reader();
        let total: usize = chains.iter().map(|chain| chain.len()).sum();
        let mut written = 0;
        while written < total {
            written += self.write_some(chains, written, &mut pace).await?;
        }
        Ok(())
    }

    /// Writes some of what stands behind the first `written` bytes; an error if the other side takes none of it
    /// for longer than its pace allows. Safe to drop midway.
    pub async fn write_some(&self, chains: &[&Chain], written: usize, pace: &mut Pace) -> io::Result<usize> {
        let mut skip = written;
        let mut slices = Vec::new();
        for chain in chains {
            slices.extend(chain.io_slices(skip));
            skip = skip.saturating_sub(chain.len());
        }
        loop {
            match self.stream.try_write_vectored(&slices) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    pace.waited(std::time::Duration::ZERO, count);
                    return Ok(count);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            let since = Instant::now();
            timeout(pace.left(), self.stream.writable()).await.map_err(|_| io::ErrorKind::TimedOut)??;
            pace.waited(since.elapsed(), 0);
        }
    }

    /// True if the other side has neither ended nor said anything out of turn. Asks the kernel itself:
    /// what tokio remembers of the socket is from the last time that the event queue was read, and a
    /// request written behind an end that came since would count as one that may have run.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock) && self.inbox.is_empty()
    }

    /// Ready once an idle connection is no longer quiet.
    pub fn poll_stirred(&self, cx: &mut Context<'_>) -> Poll<()> {
        while self.stream.poll_read_ready(cx).is_ready() {
            // Reading nothing clears what woke us, so that a false alarm is waited out.
            let nothing = self.stream.try_read(&mut [0]);
            if !matches!(nothing, Err(e) if e.kind() == io::ErrorKind::WouldBlock) {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Ends our side after a last answer and waits a moment for the other: closing with bytes unread
    /// would reset the connection, and the answer might be lost with it.
    pub async fn linger(mut self) {
        // A client that is amid the longest body may read its answer only behind that.
        const MOST: u64 = MAX_BODY;
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut read = 0;
            while read < MOST {
                let waiting = self.inbox.len();
                self.inbox.consume(waiting);
                match self.fill().await {
                    Ok(0) | Err(_) => break,
                    Ok(count) => read += count as u64,
                }
            }
        };
        let _ = tokio::time::timeout(std::time::Duration::from_secs(1), drain).await;
    }
}

/// What stands before and behind a piece of a body in chunks.
pub fn chunk(pool: &Pool, length: usize, last: bool) -> (Chain, Chain) {
    let (mut before, mut after) = (pool.chain(), pool.chain());
    // A chunk of no length would end the body.
    if length > 0 {
        before.push(format!("{length:x}\r\n").as_bytes());
        after.push(b"\r\n");
    }
    if last {
        after.push(b"0\r\n\r\n");
    }
    (before, after)
}

/// Appends the field that says how a body is framed, if one has to.
pub fn push_framing(to: &mut Chain, framing: Framing) {
    match framing {
        Framing::Length(length) => to.push(format!("Content-Length: {length}\r\n").as_bytes()),
        Framing::Chunked => to.push(b"Transfer-Encoding: chunked\r\n"),
        Framing::UntilClose => {}
    }
}

/// Appends the fields that are meant for the far end, but for those named.
pub fn push_headers(to: &mut Chain, head: &Head, but: &[&str]) {
    for (name, value) in head.end_to_end() {
        if !but.iter().any(|other| other.eq_ignore_ascii_case(name)) {
            to.push(name.as_bytes());
            to.push(b": ");
            to.push(value);
            to.push(b"\r\n");
        }
    }
}

/// The same cases at every run.
#[cfg(test)]
pub fn fixed() -> proptest::test_runner::Config {
    use proptest::test_runner::{Config, RngSeed};
    Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

#[cfg(test)]
mod tests;
