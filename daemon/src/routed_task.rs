//! One attempt at one app server. It ends once, and tells how far it was written and what ended it: before
//! the request's last byte is written it cannot have run, afterwards it may.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle::Micros;
use gradepaddle_dispatch::{Cause, Extent, Ticket};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, timeout};
use tracing::debug;

use crate::buffers::{Chain, Pool};
use crate::clock::Clock;
use crate::http::{self, Connection, Framing};
use crate::mail;
use crate::sockets::{Budget, Side};
use crate::transaction::{Message, Reply};

/// What all attempts share.
pub struct Context {
    /// Where buffers come from.
    pub pool: Pool,
    /// The daemon's clock.
    pub clock: Clock,
    /// The descriptor budget.
    pub budget: Budget,
    /// How long a connection may take to come up.
    pub dial_timeout: Duration,
    /// App servers close connections idle for this long.
    pub conn_idle: Micros,
}

/// What holds of an app server at this moment.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Where it listens.
    pub dial: SocketAddr,
    /// May it be sent anything new?
    pub open: bool,
}

/// Where a connection goes that can be used again; nowhere once its app server is forgotten.
pub type Parking = mpsc::WeakUnboundedSender<Connection>;

/// An attempt that is to be made.
pub struct Assignment {
    /// What is sent.
    pub message: Rc<Message>,
    /// When to give it up.
    pub until: Micros,
    /// Comes, or its sender is dropped, when the attempt is withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
    /// Where its end goes.
    pub report: Report,
}

/// The duty to tell one end. Dropped without one, it tells the worst that fits.
pub struct Report {
    decision: mail::Mailbox,
    ticket: Option<Ticket>,
    attempt: u32,
    /// Nothing has been done about it yet.
    unbegun: bool,
}

impl Report {
    /// The duty for this attempt of a transaction.
    pub fn new(decision: mail::Mailbox, ticket: Ticket, attempt: u32) -> Self {
        Report { decision, ticket: Some(ticket), attempt, unbegun: true }
    }

    /// Tells the end.
    fn tell(mut self, extent: Extent, cause: Cause, reply: Option<Reply>) {
        self.send(extent, cause, reply);
    }

    fn send(&mut self, extent: Extent, cause: Cause, reply: Option<Reply>) {
        if let Some(ticket) = self.ticket.take() {
            self.decision.ended(ticket, self.attempt, extent, cause, reply);
        }
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        if self.unbegun {
            // No actor took it: its app server was forgotten.
            self.send(Extent::Nothing, Cause::NotTried, None);
        } else {
            // A panic, and nobody knows how far it had come.
            self.send(Extent::Whole, Cause::Broke, None);
        }
    }
}

/// Makes the attempt and tells its end. Ending early closes the connection.
pub async fn run(
    assignment: Assignment,
    reused: Option<Connection>,
    standing: watch::Receiver<Entry>,
    parking: Parking,
    context: Rc<Context>,
) {
    let Assignment { message, until, withdrawn, mut report } = assignment;
    report.unbegun = false;
    let mut extent = Extent::Nothing;
    let attempt = attempt(&message, until, reused, standing, &context, &mut extent);
    let end = tokio::select! {
        biased;
        end = attempt => end,
        _ = withdrawn => End::of(Cause::Withdrawn),
        () = sleep_until(context.clock.instant(until)) => End::of(Cause::OutOfTime),
    };
    if let (Some(connection), Some(parking)) = (end.connection, parking.upgrade()) {
        // If the actor has just ended, the connection closes here.
        let _ = parking.send(connection);
    }
    report.tell(extent, end.cause, end.reply);
}

/// How an attempt ended, with what is left of it.
struct End {
    cause: Cause,
    reply: Option<Reply>,
    connection: Option<Connection>,
}

impl End {
    fn of(cause: Cause) -> Self {
        End { cause, reply: None, connection: None }
    }
}

async fn attempt(
    message: &Message,
    until: Micros,
    reused: Option<Connection>,
    standing: watch::Receiver<Entry>,
    context: &Context,
    extent: &mut Extent,
) -> End {
    let Message::Http(request) = message;
    let mut connection = match reused {
        Some(connection) => connection,
        None => {
            let Some(permit) = context.budget.take(Side::Server) else { return End::of(Cause::NotTried) };
            let dial = standing.borrow().dial;
            debug!(%dial, "connect");
            match timeout(context.dial_timeout, TcpStream::connect(dial)).await {
                Ok(Ok(stream)) => Connection::new(stream, &context.pool, permit),
                _ => return End::of(Cause::NoConnection),
            }
        }
    };
    // A drain binds at the first byte, and the table may have changed during the dial.
    if !standing.borrow().open {
        return End::of(Cause::Closed);
    }
    let head = request_head(request, until.saturating_sub(context.clock.now()), &context.pool);
    *extent = Extent::Part;
    if connection.write(&[&head, &request.body]).await.is_err() {
        return End::of(Cause::Broke);
    }
    *extent = Extent::Whole;
    read_reply(request, connection).await
}

fn request_head(request: &http::Message, left: Micros, pool: &Pool) -> Chain {
    let mut head = pool.chain();
    let parts = [request.head.method(), " ", request.head.target(), " HTTP/1.1\r\n"];
    parts.iter().for_each(|part| head.push(part.as_bytes()));
    http::push_headers(&mut head, &request.head, &["x-time-left"]);
    head.push(format!("X-Time-Left: {}.{:03}\r\n", left / 1_000_000, left / 1000 % 1000).as_bytes());
    if !request.body.is_empty() || !matches!(request.head.method(), "GET" | "HEAD") {
        head.push(format!("Content-Length: {}\r\n", request.body.len()).as_bytes());
    }
    head.push(b"\r\n");
    head
}

/// An answer is good behind at most this many 1xx answers.
const MAX_INTERIM: usize = 32;

/// Reads an answer whole. It was asked for, so whatever breaks here may have run.
async fn read_reply(request: &http::Message, mut connection: Connection) -> End {
    let mut interim = 0;
    let (head, status) = loop {
        let head = match connection.read_head().await {
            Ok(head) => head,
            Err(http::Fault::Ended) => return End::of(Cause::Broke),
            Err(_) => return End::of(Cause::Spoilt),
        };
        match head.status() {
            Ok(100..=199) if interim < MAX_INTERIM => interim += 1,
            Ok(100..=199) => return End::of(Cause::Spoilt),
            Ok(status) => break (head, status),
            Err(_) => return End::of(Cause::Spoilt),
        }
    };
    let bare = request.head.method() == "HEAD" || head.is_bare();
    let framing = if bare { Ok(Framing::Length(0)) } else { head.framing(Framing::UntilClose) };
    let Ok(framing) = framing else { return End::of(Cause::Spoilt) };
    // Without a length the close ends it, and then it must be announced: else what is missing is the length,
    // lost from a head that was spoilt, and whatever came by the time of some close would pass as whole.
    if framing == Framing::UntilClose && head.keeps_alive() {
        return End::of(Cause::Spoilt);
    }
    let body = match connection.read_body(framing).await {
        Ok(body) => body,
        Err(http::Fault::Ended) => return End::of(Cause::Broke),
        Err(_) => return End::of(Cause::Spoilt),
    };
    let cause = match status {
        200 => Cause::Served,
        503 | 504 if head.get("x-unprocessed") == Some("1") => Cause::Unprocessed,
        // These speak of the moment or the connection, other 4xx of the request.
        408 | 421 | 425 | 429 => Cause::Failed,
        400..=499 => Cause::Denied,
        _ => Cause::Failed,
    };
    let usable = framing != Framing::UntilClose && head.keeps_alive() && !connection.has_input();
    // A refusal says that trying again is harmless, whoever words it, so an app server's is never
    // passed on: here the request may have run.
    let passes = cause != Cause::Unprocessed && !matches!(status, 429 | 503);
    let reply = passes.then(|| Reply::Http(http::Message { head, body }));
    End { cause, reply, connection: usable.then_some(connection) }
}
