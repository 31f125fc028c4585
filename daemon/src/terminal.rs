//! Terminals: the client side of the daemon. It accepts connections, reads one request at a time, notices a client that
//! disconnects, and writes the one final response.

mod request_reader;
mod response_writer;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle::settings::Deployment;
use gradepaddle::{Idempotency, Micros};
use gradepaddle_http::buffers::Pool;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};
use tracing::warn;

use crate::clock::Clock;
use crate::descriptor_budget::{DescriptorBudget, Permit, Side, WaitKind};
use crate::dispatch_handle::DispatchHandle;
use crate::drain_state::TrafficPolicy;
use crate::http::{self, Connection};
use crate::transaction::{FinalAnswer, Message, Reply, Transaction};
use request_reader::Upload;
use response_writer::OutgoingResponse;

/// The timeout for the head of a request. For the first request it counts from the connect, because until then nothing tells
/// a client from a connection that only holds a descriptor; for a later one, from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2700);
/// A client that has sent a request before, and sends nothing for this long, is disconnected.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// During termination, a client may make no progress within its request for this long. Clients that never continue would
/// delay the end of the process, and with it the one that follows, for seconds.
const MAX_STALL: Duration = Duration::from_millis(400);
/// A new connection has this long to send its first bytes, even while idle connections are closed.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(300);
/// The interval at which waiting connections are checked for ones that have become old enough to be closed.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// The `Retry-After` for clients that are rejected by the descriptor budget or by a drain.
const REJECT_RETRY_AFTER: Micros = 500_000;

/// What all terminals share.
pub struct Context {
    /// The buffer pool.
    pub pool: Pool,
    /// The daemon's clock.
    pub clock: Clock,
    /// The descriptor budget.
    pub budget: DescriptorBudget,
    /// The names and deadlines of classes and tenants.
    pub deployment: Deployment,
    /// Where transactions are submitted.
    pub dispatch: DispatchHandle,
    /// True once transactions can be served.
    pub ready: watch::Receiver<bool>,
    /// How clients are treated now.
    pub policy: watch::Receiver<TrafficPolicy>,
}

/// Accepts connections, from the time on that `start_when` turns true, until the policy stops it. Then accepts what is in the
/// backlog, unless that is left to a successor process. Each terminal holds a clone of `alive`.
pub async fn accept(
    listener: TcpListener,
    start_when: Option<watch::Receiver<bool>>,
    context: Rc<Context>,
    alive: mpsc::Sender<()>,
) {
    let mut policy = context.policy.clone();
    if let Some(mut start_when) = start_when {
        tokio::select! {
            _ = start_when.wait_for(|start| *start) => {}
            _ = policy.wait_for(|policy| !policy.accepts) => {}
        }
    }
    loop {
        let accepted = tokio::select! {
            biased;
            _ = policy.wait_for(|policy| !policy.accepts) => break,
            accepted = accept_one(&listener, &context) => accepted,
        };
        start(accepted, &context, &alive);
    }
    if policy.borrow().leaves_backlog {
        return;
    }
    // Connections that the kernel has accepted for this process are served before the listener is closed.
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let Some(permit) = context.budget.take(Side::Client) else { return };
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            start((stream, permit), &context, &alive);
        }
    }
}

async fn accept_one(listener: &TcpListener, context: &Context) -> (TcpStream, Permit) {
    loop {
        let permit = client_permit(&context.budget).await;
        match listener.accept().await {
            Ok((stream, _)) => {
                // Two are evicted for each one accepted, so that the number of waiting connections falls.
                let now = Instant::now();
                let _ = context.budget.evict_overdue(now) && context.budget.evict_overdue(now);
                return (stream, permit);
            }
            Err(e) => {
                // Out of descriptors or memory, or the client has disconnected already.
                warn!("accepting a client connection failed: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// A permit for one more client, if need be that of a connection that has waited for too long.
async fn client_permit(budget: &DescriptorBudget) -> Permit {
    loop {
        if let Some(permit) = budget.take(Side::Client) {
            return permit;
        }
        budget.evict_overdue(Instant::now());
        // Not only a release makes room: waiting connections become old enough to be closed.
        let _ = timeout(EVICTION_INTERVAL, budget.released()).await;
    }
}

fn start((stream, permit): (TcpStream, Permit), context: &Rc<Context>, alive: &mpsc::Sender<()>) {
    let (context, alive) = (context.clone(), alive.clone());
    let connection = Connection::new(stream, &context.pool, permit);
    tokio::task::spawn_local(async move {
        if let Some(connection) = serve(connection, &context).await {
            let eviction_entry = context.budget.wait(WaitKind::Silent);
            tokio::select! {
                () = connection.close_lingering() => {}
                () = eviction_entry.evicted() => {}
            }
        }
        drop(alive);
    });
}

/// Serves one client until its connection is to be closed. Returns the connection if the close is ours: the client must have
/// time to read its last response, and what it sends meanwhile must not reset the connection.
async fn serve(mut connection: Connection, context: &Context) -> Option<Connection> {
    // `Some` until the first request has arrived.
    let connected = Instant::now();
    let mut first = Some(connected + HEAD_TIMEOUT);
    loop {
        if !connection.has_input() {
            let now = Instant::now();
            let (kind, until, at_least) = match first {
                Some(until) => (WaitKind::Silent, until, connected + FIRST_BYTE_GRACE),
                None => (WaitKind::BetweenRequests, now + IDLE_TIMEOUT, now),
            };
            match wait_for_request(&mut connection, context, kind, until, at_least).await {
                WaitResult::Request => {}
                // A request may be arriving just now: it is read to its end and not processed.
                WaitResult::Close => return Some(connection),
                WaitResult::Disconnected => return None,
            }
        }
        let until = first.take().unwrap_or_else(|| Instant::now() + HEAD_TIMEOUT);
        let mut eviction_entry = context.budget.wait(WaitKind::PartialRequest);
        let request = request_reader::read(&mut connection, &context.pool, until, &mut eviction_entry).await;
        drop(eviction_entry);
        let (response, keep) = match request {
            Ok((request, upload)) => {
                let open = context.budget.take(Side::OpenRequest);
                let keep = request.head.keeps_alive() && open.is_some();
                let (response, complete) =
                    respond(&mut connection, context, request, upload, open.is_some()).await?;
                // Read only after the response is there: termination may have begun since the request arrived.
                let keep = keep && complete && !context.policy.borrow().closes_after_response;
                // In a crowd most clients send a request only once in a long while, and the next may find no room.
                (response, keep && !context.budget.is_short(Side::Client))
            }
            Err(error) => {
                let (status, why) = error.response()?;
                (OutgoingResponse::local(&context.pool, status, None, &why), false)
            }
        };
        match response.write(&mut connection, &context.pool, keep).await {
            Ok(true) => {}
            Ok(false) => return Some(connection),
            Err(_) => return None,
        }
    }
}

/// During termination, disconnects clients that make no progress within a request, until the process ends.
pub async fn evict_stalled(context: Rc<Context>) {
    // The sender lives as long as the process.
    let _ = context
        .policy
        .clone()
        .wait_for(|policy| policy.terminating_since.is_some() && !policy.keeps_idle)
        .await;
    loop {
        context.budget.evict_stalled(Instant::now(), MAX_STALL);
        tokio::time::sleep(EVICTION_INTERVAL).await;
    }
}

/// How a wait for a request ended.
enum WaitResult {
    /// Bytes of it have arrived.
    Request,
    /// Nothing has arrived, and the connection is to be closed.
    Close,
    /// The client has disconnected.
    Disconnected,
}

/// Waits for the first byte of a request.
async fn wait_for_request(
    connection: &mut Connection,
    context: &Context,
    kind: WaitKind,
    until: Instant,
    at_least: Instant,
) -> WaitResult {
    let mut policy = context.policy.clone();
    let eviction_entry = context.budget.wait(kind);
    let idle_closed = async {
        // The sender lives as long as the process.
        let _ = policy.wait_for(|policy| !policy.keeps_idle).await;
        tokio::time::sleep_until(at_least).await;
    };
    tokio::select! {
        biased;
        read = connection.fill() =>
            return if matches!(read, Ok(1..)) { WaitResult::Request } else { WaitResult::Disconnected },
        () = idle_closed => {}
        () = eviction_entry.evicted() => {}
        () = tokio::time::sleep_until(until) => {}
    }
    // A request that has arrived at this moment is answered: the close must not cross it.
    if connection.is_idle() { WaitResult::Close } else { WaitResult::Request }
}

/// The response to a request, and whether all of the request has been read; none if the client has disconnected.
async fn respond(
    connection: &mut Connection,
    context: &Context,
    request: http::Request,
    mut upload: Option<Upload>,
    has_permit: bool,
) -> Option<(OutgoingResponse, bool)> {
    let pool = &context.pool;
    let complete = upload.is_none();
    let local = |status, retry_after, text: &str| {
        Some((OutgoingResponse::local(pool, status, retry_after, text), complete))
    };
    match request.head.target().split('?').next() {
        Some("/health/ready") => {
            let ready = *context.ready.borrow() && context.policy.borrow().ready;
            return if ready { local(200, None, "ready") } else { local(503, None, "not ready") };
        }
        Some("/health/live") => return local(200, None, "alive"),
        _ => {}
    }
    if context.policy.borrow().rejects {
        return local(503, Some(REJECT_RETRY_AFTER), "drained");
    }
    let transaction = match transaction(request, context) {
        Ok(transaction) => transaction,
        Err((status, why)) => return local(status, None, why),
    };
    if !has_permit {
        return local(503, Some(REJECT_RETRY_AFTER), "no connection to spare");
    }
    let message = transaction.message.clone();
    let mut pending = context.dispatch.submit(transaction);
    let answer = loop {
        // An early return drops the pending answer, which reports that nobody waits for it.
        tokio::select! {
            biased;
            answer = pending.answer() => break answer,
            more = request_reader::forward_upload(connection, &mut upload, pool) => match more {
                Ok(true) => pending.upload_complete(),
                Ok(false) => {}
                Err(error) => {
                    let (status, why) = error.response()?;
                    return Some((OutgoingResponse::local(pool, status, None, &why), false));
                }
            }
        }
    };
    let complete = upload.is_none();
    let local = |status, retry_after, text: &str| {
        Some((OutgoingResponse::local(pool, status, retry_after, text), complete))
    };
    match answer {
        FinalAnswer::Served(Reply::Http(response))
        | FinalAnswer::Failed { reply: Some(Reply::Http(response)), .. } => {
            let Message::Http(request) = &*message;
            Some((OutgoingResponse::forwarded(pool, &request.head, response), complete))
        }
        FinalAnswer::Refused { pause } => local(503, Some(pause), "short on capacity"),
        FinalAnswer::DuplicateId => local(409, None, "a request with this X-Correlation-Id is open"),
        FinalAnswer::Failed { timed_out: true, .. } => local(504, None, "no answer in time"),
        FinalAnswer::Failed { .. } => local(500, None, "failed"),
    }
}

/// The transaction of a request, in terms that do not depend on HTTP. A request that contradicts itself is rejected here: an
/// app server would reject it too, and would seem to fail.
fn transaction(request: http::Request, context: &Context) -> Result<Transaction, (u16, &'static str)> {
    let arrived = context.clock.now();
    let (head, deployment, upload_complete) = (&request.head, &context.deployment, request.rest.is_none());
    let ids: Vec<_> = head.get_all("x-correlation-id").collect();
    let client_request_id = match ids[..] {
        [id] if !id.is_empty() => Arc::from(id),
        _ => return Err((400, "X-Correlation-Id must be given once")),
    };
    let first = head.target()[1..].split(['/', '?']).next().unwrap_or_default();
    if head.get_all("x-service-class").any(|name| name != first.as_bytes()) {
        return Err((400, "X-Service-Class is not the first part of the path"));
    }
    let class = deployment.classes.iter().position(|class| class == first);
    let class = class.ok_or((400, "unknown service class"))?;
    let safe = deployment.settings.classes[class].idempotency == Idempotency::Safe;
    match head.method() {
        "GET" if safe && request.body.is_empty() && upload_complete => {}
        "GET" if safe => return Err((400, "a GET with a body")),
        "POST" if !safe => {}
        _ => return Err((405, "not this class's method")),
    }
    let account = head.get("x-account");
    let tenant = account.and_then(|name| deployment.tenants.iter().position(|tenant| tenant == name));
    let deadline = deployment.settings.classes[class].deadline;
    let time_left = match head.get("x-time-left") {
        None => deadline,
        Some(text) => {
            let seconds: Option<f64> = text.parse().ok().filter(|seconds: &f64| seconds.is_finite());
            let seconds = seconds.ok_or((400, "X-Time-Left is no number"))?;
            // The cast saturates: a negative time left counts as 0.
            deadline.min((seconds * 1e6) as Micros)
        }
    };
    // During termination every request has to be answered before the process ends.
    let longest = deployment.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let answer_by = context.policy.borrow().answer_by(longest);
    let time_left = answer_by.map_or(time_left, |at| time_left.min(at.saturating_sub(arrived)));
    let key = head.get_all("cookie").find_map(user_cookie);
    // App servers recognize a repeat only if exactly one key names the request. A safe class needs no key.
    let idempotency_keys: Vec<_> = head.get_all("idempotency-key").map(<[u8]>::trim_ascii).collect();
    let once = !matches!(idempotency_keys[..], [key] if !key.is_empty());
    // An invalid hint is ignored.
    let hint = head.get("x-weight-hint").and_then(|text| text.trim().parse().ok());
    let hint = hint.filter(|work: &f64| work.is_finite() && *work >= 1.0).map(|work| work as Micros);
    let message = Rc::new(Message::Http(request));
    Ok(Transaction {
        client_request_id,
        class,
        tenant,
        key,
        once,
        hint,
        arrived,
        time_left,
        upload_complete,
        message,
    })
}

/// The cookie `user` of a `Cookie` header.
fn user_cookie(header: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(header).ok()?;
    let mut pairs = text.split(';').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(name, _)| *name == "user").map(|(_, value)| value.to_owned())
}
