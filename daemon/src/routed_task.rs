//! One attempt at one app server. It ends once, and tells how far it was written and what ended it: before
//! the request's last byte is written it cannot have run, afterwards it may.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle::{LoadReport, Micros};
use gradepaddle_dispatch::{Cause, Extent, Ticket};
use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::idle_reuse::IdleReuse;
use gradepaddle_http::stall_budget::StallBudget;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::debug;

use crate::clock::Clock;
use crate::http::{self, Body, BodyPart, BodyStream, Connection, Framing, Head};
use crate::mail;
use crate::sockets::Budget;
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
    /// App servers report their load.
    pub reports: bool,
    /// How long idle connections can be trusted.
    pub idle_reuse: IdleReuse,
}

/// What holds of an app server at this moment.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Where it listens.
    pub dial: SocketAddr,
    /// May it be sent anything new?
    pub open: bool,
}

/// What its transaction wants of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// That it is made.
    Made,
    /// That it is not begun: the client has gone.
    NotBegun,
    /// That it ends.
    Withdrawn,
}

/// Where a connection goes that can be used again; nowhere once its app server is forgotten.
pub type Parking = mpsc::WeakUnboundedSender<Connection>;

/// An attempt that is to be made.
pub struct Assignment {
    /// What is sent.
    pub message: Rc<Message>,
    /// When to give it up.
    pub until: Micros,
    /// What is wanted of it now; it is withdrawn once the sender is dropped.
    pub wish: watch::Receiver<Wish>,
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

    /// Tells that what is passed on cannot be had again.
    fn spent(&self) {
        if let Some(ticket) = self.ticket {
            self.decision.spent(ticket, self.attempt);
        }
    }

    /// Tells the end.
    fn tell(mut self, extent: Extent, cause: Cause, told: (Option<Reply>, Option<LoadReport>)) {
        self.send(extent, cause, told);
    }

    fn send(&mut self, extent: Extent, cause: Cause, told: (Option<Reply>, Option<LoadReport>)) {
        if let Some(ticket) = self.ticket.take() {
            self.decision.ended(ticket, self.attempt, extent, cause, told);
        }
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        if self.unbegun {
            // No actor took it: its app server was forgotten.
            self.send(Extent::Nothing, Cause::NotTried, (None, None));
        } else {
            // A panic, and nobody knows how far it had come.
            self.send(Extent::Whole, Cause::Broke, (None, None));
        }
    }
}

/// How far an attempt has come, while it goes on.
#[derive(Default)]
struct Progress {
    extent: Cell<Extent>,
    /// Told when its last byte is written.
    whole: Notify,
}

/// Makes the attempt and tells its end. Ending early closes the connection.
pub async fn run(
    assignment: Assignment,
    reused: Option<(Connection, Duration)>,
    standing: watch::Receiver<Entry>,
    parking: Parking,
    context: Rc<Context>,
) {
    let Assignment { message, until, mut wish, mut report } = assignment;
    report.unbegun = false;
    let Message::Http(request) = &*message;
    let (reused, idle) = reused.unzip();
    let progress = Progress::default();
    let span = until.saturating_sub(context.clock.now());
    let attempt = attempt(request, span, reused, standing, &parking, &report, &progress, &context);
    let over = async {
        // While its client still sends, an attempt has all the time that this takes.
        if request.rest.is_some() {
            progress.whole.notified().await;
        }
        sleep(Duration::from_micros(span)).await;
    };
    let unwanted = wish.wait_for(|wish| match wish {
        Wish::Made => false,
        Wish::NotBegun => progress.extent.get() == Extent::Nothing,
        Wish::Withdrawn => true,
    });
    // Looked at first, so that a connection which comes up just as the client leaves is not written to.
    let end = tokio::select! {
        biased;
        _ = unwanted => End::of(Cause::Withdrawn),
        end = attempt => end,
        () = over => End::of(Cause::OutOfTime),
    };
    // Other ends say nothing of the connection: it was left, or never came up.
    if matches!(end.cause, Cause::Broke | Cause::Served | Cause::Failed) {
        context.idle_reuse.record(Instant::now(), idle, end.cause == Cause::Broke);
    }
    if let (Some(connection), Some(parking)) = (end.connection, parking.upgrade()) {
        // If the actor has just ended, the connection closes here.
        let _ = parking.send(connection);
    }
    report.tell(progress.extent.get(), end.cause, (end.reply, end.report));
}

/// How an attempt ended, with what is left of it.
struct End {
    cause: Cause,
    reply: Option<Reply>,
    report: Option<LoadReport>,
    connection: Option<Connection>,
}

impl End {
    fn of(cause: Cause) -> Self {
        End { cause, reply: None, report: None, connection: None }
    }
}

/// The pieces of a request that flows, lent to one attempt: given back unless one of them was used.
struct Lent<'a> {
    rest: &'a BodyStream,
    pieces: Option<mpsc::Receiver<BodyPart>>,
    used: bool,
}

impl Drop for Lent<'_> {
    fn drop(&mut self) {
        if !self.used {
            self.rest.parts.replace(self.pieces.take());
        }
    }
}

#[allow(clippy::too_many_arguments)]
async fn attempt(
    request: &http::Request,
    span: Micros,
    reused: Option<Connection>,
    standing: watch::Receiver<Entry>,
    parking: &Parking,
    report: &Report,
    progress: &Progress,
    context: &Context,
) -> End {
    let mut lent = match &request.rest {
        None => None,
        Some(rest) => match rest.parts.take() {
            Some(pieces) => Some(Lent { rest, pieces: Some(pieces), used: false }),
            // Another attempt has used some of them: this one would send a part for the whole.
            None => return End::of(Cause::NotTried),
        },
    };
    let mut connection = match reused {
        Some(connection) => connection,
        None => {
            let Some(permit) = context.budget.take_for_attempt().await else {
                return End::of(Cause::NotTried);
            };
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
    progress.extent.set(Extent::Part);
    let early = match send(request, span, &mut lent, &mut connection, report, context).await {
        Ok(early) => early,
        Err(cause) => return End::of(cause),
    };
    if early.is_none() {
        progress.extent.set(Extent::Whole);
        progress.whole.notify_one();
    }
    let usable = early.is_none();
    match read_reply(request, early, &mut connection, context).await {
        Err(cause) => End::of(cause),
        Ok(Read { cause, head, body, rest }) => {
            let usable = usable && head.keeps_alive();
            // A refusal says that trying again is harmless, whoever words it, so an app server's is never
            // passed on: here the request may have run.
            let passes = cause != Cause::Unprocessed && !matches!(head.status(), Ok(429 | 503));
            let load = head.get("x-backend-load").filter(|_| context.reports).and_then(LoadReport::parse);
            match rest {
                None => {
                    let connection = Some(connection).filter(|one| usable && !one.has_input());
                    let reply = passes.then(|| Reply::Http(http::Answer { head, body, flow: None }));
                    End { cause, reply, report: load, connection }
                }
                Some((rest, framing)) => {
                    let usable = usable && framing != Framing::UntilClose;
                    let parking = usable.then(|| parking.clone());
                    let flow = Some(Box::new(http::Flow { connection, body: rest, framing, parking }));
                    let reply = passes.then(|| Reply::Http(http::Answer { head, body, flow }));
                    End { cause, reply, report: load, connection: None }
                }
            }
        }
    }
}

/// Writes the whole request. An app server that answers before that is heard at once: the head of its final
/// answer, and nothing more is written.
async fn send(
    request: &http::Request,
    span: Micros,
    lent: &mut Option<Lent<'_>>,
    connection: &mut Connection,
    report: &Report,
    context: &Context,
) -> Result<Option<Head>, Cause> {
    let framing = request.framing();
    let mut interim = 0;
    let mut head = request_head(request, framing, span, &context.pool);
    let http::ChunkFrame { before, after } = match framing {
        Some(Framing::Chunked) => http::chunk_frame(&context.pool, request.body.len(), false),
        _ => http::ChunkFrame::empty(&context.pool),
    };
    head.push_chain(&before);
    let early = write(connection, &[&head, &request.body, &after], &mut interim).await?;
    let Some(lent) = lent.as_mut().filter(|_| early.is_none()) else { return Ok(early) };
    drop(head);
    loop {
        let pieces = lent.pieces.as_mut().ok_or(Cause::NotTried)?;
        let piece = tokio::select! {
            biased;
            piece = pieces.recv() => piece,
            () = connection.readable() => match early_head(connection, &mut interim)? {
                None => continue,
                early => return Ok(early),
            },
        };
        // Without a last piece its client has left amid it.
        let Some(BodyPart { bytes, last }) = piece else { return Err(Cause::Broke) };
        if !std::mem::replace(&mut lent.used, true) {
            report.spent();
        }
        let http::ChunkFrame { before, after } = match framing {
            Some(Framing::Chunked) => http::chunk_frame(&context.pool, bytes.len(), last),
            _ => http::ChunkFrame::empty(&context.pool),
        };
        let early = write(connection, &[&before, &bytes, &after], &mut interim).await?;
        if early.is_some() || last {
            return Ok(early);
        }
    }
}

/// Writes the chains whole, unless an answer comes before that.
async fn write(
    connection: &mut Connection,
    chains: &[&Chain],
    interim: &mut usize,
) -> Result<Option<Head>, Cause> {
    let total: usize = chains.iter().map(|chain| chain.len()).sum();
    let (mut written, mut stall_budget) = (0, StallBudget::for_reader());
    while written < total {
        tokio::select! {
            biased;
            count = connection.write_some(chains, written, &mut stall_budget) => {
                written += count.map_err(|_| Cause::Broke)?;
            }
            () = connection.readable() => {
                let early = early_head(connection, interim)?;
                if early.is_some() {
                    return Ok(early);
                }
            }
        }
    }
    Ok(None)
}

/// The head of a final answer that has come already.
fn early_head(connection: &mut Connection, interim: &mut usize) -> Result<Option<Head>, Cause> {
    while let Some(head) = connection.try_head().map_err(|fault| cause_of(&fault))? {
        if !passed_over(&head, interim)? {
            return Ok(Some(head));
        }
    }
    Ok(None)
}

fn cause_of(fault: &http::ReadError) -> Cause {
    if matches!(fault, http::ReadError::Closed) { Cause::Broke } else { Cause::Spoilt }
}

fn request_head(request: &http::Request, framing: Option<Framing>, left: Micros, pool: &Pool) -> Chain {
    let mut head = pool.chain();
    let parts = [request.head.method(), " ", request.head.target(), " HTTP/1.1\r\n"];
    parts.iter().for_each(|part| head.push(part.as_bytes()));
    http::push_end_to_end_fields(&mut head, &request.head, &["x-time-left"]);
    head.push(format!("X-Time-Left: {}.{:03}\r\n", left / 1_000_000, left / 1000 % 1000).as_bytes());
    if let Some(framing) = framing {
        http::push_framing_field(&mut head, framing);
    }
    head.push(b"\r\n");
    head
}

/// An answer is good behind at most this many 1xx answers.
const MAX_INTERIM: usize = 32;

/// True for a 1xx answer, behind which the final one is still to come.
fn passed_over(head: &Head, interim: &mut usize) -> Result<bool, Cause> {
    match head.status() {
        Ok(100..=199) if *interim < MAX_INTERIM => {
            *interim += 1;
            Ok(true)
        }
        Ok(100..=199) | Err(_) => Err(Cause::Spoilt),
        Ok(_) => Ok(false),
    }
}

/// An answer that is there, whole or as far as it was waited for.
struct Read {
    cause: Cause,
    head: Head,
    body: Chain,
    /// What is still to come, and how that is framed.
    rest: Option<(Body, Framing)>,
}

/// So long an answer without a length is waited for as a whole, in which it may still fail and be asked for
/// again.
const WHOLE_WITHIN: Duration = Duration::from_millis(50);

/// Reads an answer: up to a bound as a whole, beyond it only its beginning. It was asked for, so whatever breaks
/// here may have run.
async fn read_reply(
    request: &http::Request,
    early: Option<Head>,
    connection: &mut Connection,
    context: &Context,
) -> Result<Read, Cause> {
    let (mut interim, mut early) = (0, early);
    let head = loop {
        let head = match early.take() {
            Some(head) => head,
            None => connection.read_head().await.map_err(|fault| cause_of(&fault))?,
        };
        if !passed_over(&head, &mut interim)? {
            break head;
        }
    };
    let status = head.status().map_err(|_| Cause::Spoilt)?;
    let bare = request.head.method() == "HEAD" || head.has_no_body();
    let framing = if bare { Ok(Framing::Length(0)) } else { head.framing(Framing::UntilClose) };
    let framing = framing.map_err(|_| Cause::Spoilt)?;
    // Without a length the close ends it, and then it must be announced: else what is missing is the length,
    // lost from a head that was spoilt, and whatever came by the time of some close would pass as whole.
    if framing == Framing::UntilClose && head.keeps_alive() {
        return Err(Cause::Spoilt);
    }
    let cause = match status {
        200 => Cause::Served,
        503 | 504 if head.get("x-unprocessed") == Some("1") => Cause::Unprocessed,
        // These speak of the moment or the connection, other 4xx of the request. Nor is an answer that is none
        // of this protocol's, but no error either, a failure of the app server: another would say the same.
        408 | 421 | 425 | 429 => Cause::Failed,
        201..=499 => Cause::Denied,
        _ => Cause::Failed,
    };
    let mut rest = Body::new(framing).map_err(|fault| cause_of(&fault))?;
    let mut body = context.pool.chain();
    let whole_by = match framing {
        Framing::Length(length) if length > context.pool.max_buffered_body() as u64 => Some(Instant::now()),
        Framing::Length(_) => None,
        _ => Some(Instant::now() + WHOLE_WITHIN),
    };
    let late = async {
        match whole_by {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    };
    let mut late = pin!(late);
    loop {
        let most = context.pool.max_buffered_body();
        tokio::select! {
            biased;
            whole = connection.read_body(&mut rest, &mut body, most) => match whole {
                Ok(true) => return Ok(Read { cause, head, body, rest: None }),
                Ok(false) if body.len() >= most => {}
                Ok(false) => continue,
                Err(fault) => return Err(cause_of(&fault)),
            },
            () = &mut late => {}
        }
        return Ok(Read { cause, head, body, rest: Some((rest, framing)) });
    }
}
