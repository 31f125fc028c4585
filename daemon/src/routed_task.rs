//! One attempt at one app server. It ends in exactly one outcome, and the outcome says whether the
//! attempt can have run: before the request's last byte is written it cannot, afterwards it may.

use std::rc::Rc;

use gradepaddle::{Micros, Outcome};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, timeout};

use crate::app_server::{Command, Context, Entry};
use crate::buffers::{Chain, Pool};
use crate::decision;
use crate::http::{self, Connection, Framing};
use crate::sockets::Side;
use crate::transaction::{Message, Reply};

/// An attempt that is to be made.
pub struct Assignment {
    /// What is sent.
    pub message: Rc<Message>,
    /// When to give it up.
    pub until: Micros,
    /// Comes, or its sender is dropped, when the attempt is withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
    /// Where its outcome goes.
    pub report: Report,
}

/// The duty to tell one outcome. Dropped without one, as by a panic, it tells the worst that fits.
pub struct Report {
    decision: decision::Mailbox,
    ticket: Option<decision::Ticket>,
    attempt: u32,
}

impl Report {
    /// The duty for this attempt of a transaction.
    pub fn new(decision: decision::Mailbox, ticket: decision::Ticket, attempt: u32) -> Self {
        Report { decision, ticket: Some(ticket), attempt }
    }

    /// Tells the outcome.
    pub fn tell(mut self, outcome: Outcome, reply: Option<Reply>) {
        self.send(outcome, reply);
    }

    fn send(&mut self, outcome: Outcome, reply: Option<Reply>) {
        if let Some(ticket) = self.ticket.take() {
            self.decision.ended(ticket, self.attempt, outcome, reply);
        }
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        self.send(Outcome::Reset, None);
    }
}

/// Makes the attempt and tells its outcome. Ending early closes the connection.
pub async fn run(
    assignment: Assignment,
    reused: Option<Connection>,
    standing: watch::Receiver<Entry>,
    app_server: mpsc::WeakUnboundedSender<Command>,
    context: Rc<Context>,
) {
    let Assignment { message, until, withdrawn, report } = assignment;
    let mut written = false;
    let attempt = attempt(&message, until, reused, standing, &context, &mut written);
    let end = tokio::select! {
        biased;
        end = attempt => Some(end),
        _ = withdrawn => Some(End::of(Outcome::Cancelled)),
        () = sleep_until(context.clock.instant(until)) => None,
    };
    let end = end.unwrap_or_else(|| {
        // Out of time before the last byte was written: the app server has not begun it.
        End::of(if written { Outcome::TimedOut } else { Outcome::ConnectFailed })
    });
    if let (Some(connection), Some(app_server)) = (end.connection, app_server.upgrade()) {
        // If the actor has just ended, the connection closes here.
        let _ = app_server.send(Command::Park(connection));
    }
    report.tell(end.outcome, end.reply);
}

/// How an attempt ended, with what is left of it.
struct End {
    outcome: Outcome,
    reply: Option<Reply>,
    connection: Option<Connection>,
}

impl End {
    fn of(outcome: Outcome) -> Self {
        End { outcome, reply: None, connection: None }
    }
}

async fn attempt(
    message: &Message,
    until: Micros,
    reused: Option<Connection>,
    standing: watch::Receiver<Entry>,
    context: &Context,
    written: &mut bool,
) -> End {
    let Message::Http(request) = message;
    let mut connection = match reused {
        Some(connection) => connection,
        None => {
            let Some(permit) = context.budget.take(Side::Server) else { return End::of(Outcome::Moot) };
            let dial = standing.borrow().dial;
            match timeout(context.dial_timeout, TcpStream::connect(dial)).await {
                Ok(Ok(stream)) => Connection::new(stream, &context.pool, permit),
                _ => return End::of(Outcome::ConnectFailed),
            }
        }
    };
    // A drain binds at the first byte, and the table may have changed during the dial.
    if !standing.borrow().open {
        return End::of(Outcome::ConnectFailed);
    }
    let head = request_head(request, until.saturating_sub(context.clock.now()), &context.pool);
    if connection.write(&[&head, &request.body]).await.is_err() {
        return End::of(Outcome::ConnectFailed);
    }
    *written = true;
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
            Err(http::Fault::Ended) => return End::of(Outcome::Reset),
            Err(_) => return End::of(Outcome::Error),
        };
        match head.status() {
            Ok(100..=199) if interim < MAX_INTERIM => interim += 1,
            Ok(100..=199) => return End::of(Outcome::Error),
            Ok(status) => break (head, status),
            Err(_) => return End::of(Outcome::Error),
        }
    };
    let bare = request.head.method() == "HEAD" || head.is_bare();
    let framing = if bare { Ok(Framing::Length(0)) } else { head.framing(Framing::UntilClose) };
    let Ok(framing) = framing else { return End::of(Outcome::Error) };
    // Without a length the close ends it, and then it must be announced: else what is missing is the length,
    // lost from a head that was spoilt, and whatever came by the time of some close would pass as whole.
    if framing == Framing::UntilClose && head.keeps_alive() {
        return End::of(Outcome::Error);
    }
    let body = match connection.read_body(framing).await {
        Ok(body) => body,
        Err(http::Fault::Ended) => return End::of(Outcome::Reset),
        Err(_) => return End::of(Outcome::Error),
    };
    let outcome = match status {
        200 => Outcome::Ok,
        503 | 504 if head.get("x-unprocessed") == Some("1") => Outcome::Full,
        // These speak of the moment or the connection, other 4xx of the request.
        408 | 421 | 425 | 429 => Outcome::Error,
        400..=499 => Outcome::Denied,
        _ => Outcome::Error,
    };
    let usable = framing != Framing::UntilClose && head.keeps_alive() && !connection.has_input();
    // A refusal says that trying again is harmless, whoever words it, so an app server's is never
    // passed on: here the request may have run.
    let passes =
        matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Denied) && !matches!(status, 429 | 503);
    let reply = passes.then(|| Reply::Http(http::Message { head, body }));
    End { outcome, reply, connection: usable.then_some(connection) }
}
