//! One attempt at one app server. It ends once, and reports how far the request was written and what ended the attempt:
//! before the last byte of the request is written it cannot have run, afterwards it may have.

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
use crate::descriptor_budget::DescriptorBudget;
use crate::dispatch_handle::DispatchHandle;
use crate::http::{self, Body, BodyPart, BodyStream, Connection, Framing, Head};
use crate::transaction::{Message, Reply};

/// What all attempts and probes share.
pub struct Context {
    /// The buffer pool.
    pub pool: Pool,
    /// The daemon's clock.
    pub clock: Clock,
    /// The descriptor budget.
    pub budget: DescriptorBudget,
    /// The timeout for opening a connection.
    pub dial_timeout: Duration,
    /// App servers close connections that were idle for this long.
    pub conn_idle: Micros,
    /// App servers report their load.
    pub reports: bool,
    /// How long idle connections can be trusted.
    pub idle_reuse: IdleReuse,
}

/// An app server's address, and whether it takes new requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether new requests may be sent to it.
    pub open: bool,
}

/// What is to become of an attempt, as its transaction wants it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptIntent {
    /// Make the attempt.
    Proceed,
    /// Cancel it unless it has begun to be written: the client has disconnected.
    CancelIfUnsent,
    /// Cancel it.
    Cancel,
}

/// Returns a reusable connection to the idle connections of its app server; without effect once that server is forgotten.
pub type PoolReturn = mpsc::WeakUnboundedSender<Connection>;

/// An attempt to make.
pub struct Assignment {
    /// The request.
    pub message: Rc<Message>,
    /// When the attempt times out.
    pub until: Micros,
    /// What its transaction wants; the attempt is canceled once the sender is dropped.
    pub intent: watch::Receiver<AttemptIntent>,
    /// Reports its end.
    pub reporter: CompletionReporter,
}

/// Reports the end of an attempt exactly once. If it is dropped unused, it reports the worst end that is possible.
pub struct CompletionReporter {
    dispatch: DispatchHandle,
    ticket: Option<Ticket>,
    attempt: u32,
    /// No task has taken the attempt yet.
    unstarted: bool,
}

impl CompletionReporter {
    /// The reporter for this attempt of a transaction.
    pub fn new(dispatch: DispatchHandle, ticket: Ticket, attempt: u32) -> Self {
        CompletionReporter { dispatch, ticket: Some(ticket), attempt, unstarted: true }
    }

    /// Reports that a part of the request body was consumed that can't be replayed.
    fn body_consumed(&self) {
        if let Some(ticket) = self.ticket {
            self.dispatch.body_consumed(ticket, self.attempt);
        }
    }

    /// Reports the end.
    fn complete(mut self, extent: Extent, cause: Cause, received: (Option<Reply>, Option<LoadReport>)) {
        self.send(extent, cause, received);
    }

    fn send(&mut self, extent: Extent, cause: Cause, received: (Option<Reply>, Option<LoadReport>)) {
        if let Some(ticket) = self.ticket.take() {
            self.dispatch.attempt_ended(ticket, self.attempt, extent, cause, received);
        }
    }
}

impl Drop for CompletionReporter {
    fn drop(&mut self) {
        if self.unstarted {
            // No actor took the assignment: its app server was forgotten.
            self.send(Extent::Nothing, Cause::NotTried, (None, None));
        } else {
            // The task has panicked, and how far it had written is unknown.
            self.send(Extent::Whole, Cause::Broke, (None, None));
        }
    }
}

/// How far a running attempt has written its request.
#[derive(Default)]
struct Progress {
    extent: Cell<Extent>,
    /// Notified when the last byte is written.
    written: Notify,
}

/// Makes the attempt and reports its end. If it ends early, the connection is closed.
pub async fn run(
    assignment: Assignment,
    reused: Option<(Connection, Duration)>,
    endpoint: watch::Receiver<Endpoint>,
    pool_return: PoolReturn,
    context: Rc<Context>,
) {
    let Assignment { message, until, mut intent, mut reporter } = assignment;
    reporter.unstarted = false;
    let Message::Http(request) = &*message;
    let (reused, idle) = reused.unzip();
    let progress = Progress::default();
    let time_left = until.saturating_sub(context.clock.now());
    let attempt = attempt(request, time_left, reused, endpoint, &pool_return, &reporter, &progress, &context);
    let timed_out = async {
        // The time counts from the last byte: how long the client takes to send the body is not limited here.
        if request.rest.is_some() {
            progress.written.notified().await;
        }
        sleep(Duration::from_micros(time_left)).await;
    };
    let canceled = intent.wait_for(|intent| match intent {
        AttemptIntent::Proceed => false,
        AttemptIntent::CancelIfUnsent => progress.extent.get() == Extent::Nothing,
        AttemptIntent::Cancel => true,
    });
    // Polled first, so that nothing is written to a connection that opens just as the client disconnects.
    let end = tokio::select! {
        biased;
        _ = canceled => End::of(Cause::Withdrawn),
        end = attempt => end,
        () = timed_out => End::of(Cause::OutOfTime),
    };
    // Other ends say nothing about the connection: it was abandoned, or was never opened.
    if matches!(end.cause, Cause::Broke | Cause::Served | Cause::Failed) {
        context.idle_reuse.record(Instant::now(), idle, end.cause == Cause::Broke);
    }
    if let (Some(connection), Some(pool_return)) = (end.connection, pool_return.upgrade()) {
        // If the actor has just ended, the connection closes here.
        let _ = pool_return.send(connection);
    }
    reporter.complete(progress.extent.get(), end.cause, (end.reply, end.report));
}

/// How an attempt ended, with its response and its reusable connection, if any.
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

/// The rest of a streamed request body, borrowed by one attempt and given back unless the attempt has used a part of it.
struct BorrowedBody<'a> {
    rest: &'a BodyStream,
    parts: Option<mpsc::Receiver<BodyPart>>,
    used: bool,
}

impl Drop for BorrowedBody<'_> {
    fn drop(&mut self) {
        if !self.used {
            self.rest.parts.replace(self.parts.take());
        }
    }
}

#[allow(clippy::too_many_arguments)]
async fn attempt(
    request: &http::Request,
    time_left: Micros,
    reused: Option<Connection>,
    endpoint: watch::Receiver<Endpoint>,
    pool_return: &PoolReturn,
    reporter: &CompletionReporter,
    progress: &Progress,
    context: &Context,
) -> End {
    let mut rest = match &request.rest {
        None => None,
        Some(rest) => match rest.parts.take() {
            Some(parts) => Some(BorrowedBody { rest, parts: Some(parts), used: false }),
            // Another attempt has used parts of the body: this one would send an incomplete body as a complete one.
            None => return End::of(Cause::NotTried),
        },
    };
    let mut connection = match reused {
        Some(connection) => connection,
        None => {
            let Some(permit) = context.budget.take_for_attempt().await else {
                return End::of(Cause::NotTried);
            };
            let dial = endpoint.borrow().address;
            debug!(%dial, "connect");
            match timeout(context.dial_timeout, TcpStream::connect(dial)).await {
                Ok(Ok(stream)) => Connection::new(stream, &context.pool, permit),
                _ => return End::of(Cause::NoConnection),
            }
        }
    };
    // A draining app server must not be sent a first byte, and the table may have changed while the connection was opened.
    if !endpoint.borrow().open {
        return End::of(Cause::Closed);
    }
    progress.extent.set(Extent::Part);
    let early = match send(request, time_left, &mut rest, &mut connection, reporter, context).await {
        Ok(early) => early,
        Err(cause) => return End::of(cause),
    };
    if early.is_none() {
        progress.extent.set(Extent::Whole);
        progress.written.notify_one();
    }
    let reusable = early.is_none();
    match read_response(request, early, &mut connection, context).await {
        Err(cause) => End::of(cause),
        Ok(ReceivedResponse { cause, head, body, rest }) => {
            let reusable = reusable && head.keeps_alive();
            // A refusal tells the client that a retry is harmless, whoever words it. An app server's refusal is never
            // forwarded, because here the request may have run.
            let forwarded = cause != Cause::Unprocessed && !matches!(head.status(), Ok(429 | 503));
            let load = head.get("x-backend-load").filter(|_| context.reports).and_then(LoadReport::parse);
            match rest {
                None => {
                    let connection = Some(connection).filter(|one| reusable && !one.has_input());
                    let reply = forwarded.then(|| Reply::Http(http::Response { head, body, stream: None }));
                    End { cause, reply, report: load, connection }
                }
                Some((rest, framing)) => {
                    let reusable = reusable && framing != Framing::UntilClose;
                    let pool_return = reusable.then(|| pool_return.clone());
                    let stream =
                        Some(Box::new(http::ResponseStream { connection, body: rest, framing, pool_return }));
                    let reply = forwarded.then(|| Reply::Http(http::Response { head, body, stream }));
                    End { cause, reply, report: load, connection: None }
                }
            }
        }
    }
}

/// Writes the whole request. If the app server responds before that, nothing more is written, and the head of its final
/// response is returned.
async fn send(
    request: &http::Request,
    time_left: Micros,
    rest: &mut Option<BorrowedBody<'_>>,
    connection: &mut Connection,
    reporter: &CompletionReporter,
    context: &Context,
) -> Result<Option<Head>, Cause> {
    let framing = request.framing();
    let mut interim = 0;
    let mut head = request_head(request, framing, time_left, &context.pool);
    let http::ChunkFrame { before, after } = match framing {
        Some(Framing::Chunked) => http::chunk_frame(&context.pool, request.body.len(), false),
        _ => http::ChunkFrame::empty(&context.pool),
    };
    head.push_chain(&before);
    let early = write(connection, &[&head, &request.body, &after], &mut interim).await?;
    let Some(rest) = rest.as_mut().filter(|_| early.is_none()) else { return Ok(early) };
    drop(head);
    loop {
        let parts = rest.parts.as_mut().ok_or(Cause::NotTried)?;
        let part = tokio::select! {
            biased;
            part = parts.recv() => part,
            () = connection.readable() => match early_head(connection, &mut interim)? {
                None => continue,
                early => return Ok(early),
            },
        };
        // The channel closes before the last part only if the client has disconnected within the body.
        let Some(BodyPart { bytes, last }) = part else { return Err(Cause::Broke) };
        if !std::mem::replace(&mut rest.used, true) {
            reporter.body_consumed();
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

/// Writes all of the chains, unless a final response arrives before that.
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

/// The head of a final response that has arrived already.
fn early_head(connection: &mut Connection, interim: &mut usize) -> Result<Option<Head>, Cause> {
    while let Some(head) = connection.try_read_head().map_err(|error| cause_of(&error))? {
        if !is_interim(&head, interim)? {
            return Ok(Some(head));
        }
    }
    Ok(None)
}

fn cause_of(error: &http::ReadError) -> Cause {
    if matches!(error, http::ReadError::Closed) { Cause::Broke } else { Cause::Spoilt }
}

fn request_head(request: &http::Request, framing: Option<Framing>, time_left: Micros, pool: &Pool) -> Chain {
    let mut head = pool.chain();
    let parts = [request.head.method(), " ", request.head.target(), " HTTP/1.1\r\n"];
    parts.iter().for_each(|part| head.push(part.as_bytes()));
    http::push_end_to_end_fields(&mut head, &request.head, &["x-time-left"]);
    head.push(
        format!("X-Time-Left: {}.{:03}\r\n", time_left / 1_000_000, time_left / 1000 % 1000).as_bytes(),
    );
    if let Some(framing) = framing {
        http::push_framing_field(&mut head, framing);
    }
    head.push(b"\r\n");
    head
}

/// The most 1xx responses that may precede the final one.
const MAX_INTERIM: usize = 32;

/// True for a 1xx response, after which the final one is still to come.
fn is_interim(head: &Head, interim: &mut usize) -> Result<bool, Cause> {
    match head.status() {
        Ok(100..=199) if *interim < MAX_INTERIM => {
            *interim += 1;
            Ok(true)
        }
        Ok(100..=199) | Err(_) => Err(Cause::Spoilt),
        Ok(_) => Ok(false),
    }
}

/// A response, with its body as far as it was buffered.
struct ReceivedResponse {
    cause: Cause,
    head: Head,
    body: Chain,
    /// The decoder for the rest of the body, and its framing, if there is more to come.
    rest: Option<(Body, Framing)>,
}

/// How long a response without a length is buffered. Until it is forwarded, it may still fail and be requested again.
const BUFFER_WITHIN: Duration = Duration::from_millis(50);

/// Reads a response: completely if it fits the buffer limit, otherwise its beginning. The request was sent, so if anything
/// fails here, it may have run.
async fn read_response(
    request: &http::Request,
    early: Option<Head>,
    connection: &mut Connection,
    context: &Context,
) -> Result<ReceivedResponse, Cause> {
    let (mut interim, mut early) = (0, early);
    let head = loop {
        let head = match early.take() {
            Some(head) => head,
            None => connection.read_head().await.map_err(|error| cause_of(&error))?,
        };
        if !is_interim(&head, &mut interim)? {
            break head;
        }
    };
    let status = head.status().map_err(|_| Cause::Spoilt)?;
    let no_body = request.head.method() == "HEAD" || head.has_no_body();
    let framing = if no_body { Ok(Framing::Length(0)) } else { head.framing(Framing::UntilClose) };
    let framing = framing.map_err(|_| Cause::Spoilt)?;
    // A response without a length ends with the connection, and has to announce that it closes. If it does not, the length
    // was lost from a corrupted head, and whatever had arrived by the time of some close would pass as complete.
    if framing == Framing::UntilClose && head.keeps_alive() {
        return Err(Cause::Spoilt);
    }
    let cause = match status {
        200 => Cause::Served,
        503 | 504 if head.get("x-unprocessed") == Some("1") => Cause::Unprocessed,
        // These depend on the moment or the connection; other 4xx statuses are about the request. A status that this
        // protocol does not use, but that is no error either, is not a failure of the app server: another one would
        // respond the same.
        408 | 421 | 425 | 429 => Cause::Failed,
        201..=499 => Cause::Denied,
        _ => Cause::Failed,
    };
    let mut rest = Body::new(framing).map_err(|error| cause_of(&error))?;
    let mut body = context.pool.chain();
    let buffer_until = match framing {
        Framing::Length(length) if length > context.pool.max_buffered_body() as u64 => Some(Instant::now()),
        Framing::Length(_) => None,
        _ => Some(Instant::now() + BUFFER_WITHIN),
    };
    let stop_buffering = async {
        match buffer_until {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    };
    let mut stop_buffering = pin!(stop_buffering);
    loop {
        let limit = context.pool.max_buffered_body();
        tokio::select! {
            biased;
            complete = connection.read_body(&mut rest, &mut body, limit) => match complete {
                Ok(true) => return Ok(ReceivedResponse { cause, head, body, rest: None }),
                Ok(false) if body.len() >= limit => {}
                Ok(false) => continue,
                Err(error) => return Err(cause_of(&error)),
            },
            () = &mut stop_buffering => {}
        }
        return Ok(ReceivedResponse { cause, head, body, rest: Some((rest, framing)) });
    }
}
