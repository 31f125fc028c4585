//! The clients' side: accepts connections, reads one transaction at a time, notices a client that
//! closes, and writes the one final answer.

mod intake;
mod outgoing;

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
use crate::duty::Stance;
use crate::http::{self, Connection};
use crate::mail;
use crate::sockets::{Budget, Permit, Side, Wait};
use crate::transaction::{FinalAnswer, Message, Reply, Transaction};
use intake::Upload;
use outgoing::Outgoing;

/// The head of the first request must have come this long after its client connected: until then nothing tells
/// a client from a connection that only holds a descriptor. That of a later one, after its first byte.
const HEAD_WITHIN: Duration = Duration::from_millis(2700);
/// A client that has asked, and sends nothing for this long, is closed.
const IDLE: Duration = Duration::from_secs(10);
/// On the way out, a client may stand still amid its request for this long. Those that never go on would keep
/// the process, and with it the one that follows, for seconds.
const STAND_STILL: Duration = Duration::from_millis(400);
/// A new connection may say something for this long, also where idle ones are closed.
const SPEAK_WITHIN: Duration = Duration::from_millis(300);
/// How soon one that waits may be old enough to make room for another.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// What clients beyond the descriptor budget are told.
const DOOR_PAUSE: Micros = 500_000;

/// What all terminals share.
pub struct Context {
    /// Where buffers come from.
    pub pool: Pool,
    /// The daemon's clock.
    pub clock: Clock,
    /// The descriptor budget.
    pub budget: Budget,
    /// The names and deadlines of classes and tenants.
    pub deployment: Deployment,
    /// Where transactions go.
    pub decision: mail::Mailbox,
    /// True once transactions can be served.
    pub ready: watch::Receiver<bool>,
    /// What the process owes its clients.
    pub phase: watch::Receiver<Stance>,
}

/// Accepts, not before `when` it is said to, until the daemon closes; then empties the backlog, unless an heir
/// does. Each terminal holds a clone of `alive`.
pub async fn accept(
    listener: TcpListener,
    when: Option<watch::Receiver<bool>>,
    context: Rc<Context>,
    alive: mpsc::Sender<()>,
) {
    let mut phase = context.phase.clone();
    if let Some(mut when) = when {
        tokio::select! {
            _ = when.wait_for(|ready| *ready) => {}
            _ = phase.wait_for(|stance| !stance.accepts) => {}
        }
    }
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.wait_for(|stance| !stance.accepts) => break,
            accepted = accept_one(&listener, &context) => accepted,
        };
        start(accepted, &context, &alive);
    }
    if phase.borrow().to_heir {
        return;
    }
    // What the kernel has accepted counts as ours, so it is served before the listener goes.
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let Some(permit) = context.budget.take(Side::Terminal) else { return };
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            start((stream, permit), &context, &alive);
        }
    }
}

async fn accept_one(listener: &TcpListener, context: &Context) -> (TcpStream, Permit) {
    loop {
        let permit = room(&context.budget).await;
        match listener.accept().await {
            Ok((stream, _)) => {
                // Two for one, so that those that wait become fewer.
                let now = Instant::now();
                let _ = context.budget.relieve(now) && context.budget.relieve(now);
                return (stream, permit);
            }
            Err(e) => {
                // Out of descriptors or memory, or a client that is gone already.
                warn!("accepting failed: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// A descriptor for one more client, if need be that of one that waits for too long.
async fn room(budget: &Budget) -> Permit {
    loop {
        if let Some(permit) = budget.take(Side::Terminal) {
            return permit;
        }
        budget.relieve(Instant::now());
        // Nothing may be freed at all: those that wait only grow old enough to be closed.
        let _ = timeout(LOOK_AGAIN, budget.freed()).await;
    }
}

fn start((stream, permit): (TcpStream, Permit), context: &Rc<Context>, alive: &mpsc::Sender<()>) {
    let (context, alive) = (context.clone(), alive.clone());
    let connection = Connection::new(stream, &context.pool, permit);
    tokio::task::spawn_local(async move {
        if let Some(connection) = serve(connection, &context).await {
            let waiting = context.budget.wait(Wait::Silent);
            tokio::select! {
                () = connection.close_lingering() => {}
                () = waiting.unwanted() => {}
            }
        }
        drop(alive);
    });
}

/// Serves one client until its connection is to be closed; given back where that is our doing: the client must have
/// time to read its last answer, and what it sends meanwhile must not reset the connection.
async fn serve(mut connection: Connection, context: &Context) -> Option<Connection> {
    // Set until the first request has come.
    let came = Instant::now();
    let mut first = Some(came + HEAD_WITHIN);
    loop {
        if !connection.has_input() {
            let now = Instant::now();
            let (kind, until, at_least) = match first {
                Some(until) => (Wait::Silent, until, came + SPEAK_WITHIN),
                None => (Wait::Next, now + IDLE, now),
            };
            match awaited(&mut connection, context, kind, until, at_least).await {
                Awaited::Request => {}
                // A request may be on its way just now: it is read to its end, and nothing becomes of it.
                Awaited::Nothing => return Some(connection),
                Awaited::Gone => return None,
            }
        }
        let until = first.take().unwrap_or_else(|| Instant::now() + HEAD_WITHIN);
        let mut rest = context.budget.wait(Wait::Rest);
        let request = intake::read(&mut connection, &context.pool, until, &mut rest).await;
        drop(rest);
        let (reply, keep) = match request {
            Ok((request, upload)) => {
                let open = context.budget.take(Side::Open);
                let keep = request.head.keeps_alive() && open.is_some();
                let (reply, whole) =
                    answer(&mut connection, context, request, upload, open.is_some()).await?;
                // Read after the answer is there: the daemon may be on its way out since.
                let keep = keep && whole && !context.phase.borrow().parts;
                // In a crowd most clients ask once in a long while, and the next may find no place.
                (reply, keep && !context.budget.is_short(Side::Terminal))
            }
            Err(unread) => {
                let (status, why) = unread.told()?;
                (Outgoing::plain(&context.pool, status, None, &why), false)
            }
        };
        match reply.write(&mut connection, &context.pool, keep).await {
            Ok(true) => {}
            Ok(false) => return Some(connection),
            Err(_) => return None,
        }
    }
}

/// On the way out, closes clients that stand still amid a request, until the process ends.
pub async fn hurry(context: Rc<Context>) {
    // The phase lasts as long as the process.
    let _ = context.phase.clone().wait_for(|stance| stance.leaves.is_some() && !stance.keeps).await;
    loop {
        context.budget.hurry(Instant::now(), STAND_STILL);
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

/// What became of a wait for a request.
enum Awaited {
    /// Some of it has come.
    Request,
    /// Nothing, and the connection is to be closed.
    Nothing,
    /// The client has gone.
    Gone,
}

/// Waits for the first byte of a request.
async fn awaited(
    connection: &mut Connection,
    context: &Context,
    kind: Wait,
    until: Instant,
    at_least: Instant,
) -> Awaited {
    let mut phase = context.phase.clone();
    let waiting = context.budget.wait(kind);
    let unkept = async {
        // The phase lasts as long as the process.
        let _ = phase.wait_for(|stance| !stance.keeps).await;
        tokio::time::sleep_until(at_least).await;
    };
    tokio::select! {
        biased;
        read = connection.fill() => return if matches!(read, Ok(1..)) { Awaited::Request } else { Awaited::Gone },
        () = unkept => {}
        () = waiting.unwanted() => {}
        () = tokio::time::sleep_until(until) => {}
    }
    // A request that has come just now is answered, not crossed by the close.
    if connection.is_idle() { Awaited::Nothing } else { Awaited::Request }
}

/// The answer to a request, and whether all of that has been read; none if the client has left.
async fn answer(
    connection: &mut Connection,
    context: &Context,
    request: http::Request,
    mut upload: Option<Upload>,
    served: bool,
) -> Option<(Outgoing, bool)> {
    let pool = &context.pool;
    let whole = upload.is_none();
    let plain = |status, pause, text: &str| Some((Outgoing::plain(pool, status, pause, text), whole));
    match request.head.target().split('?').next() {
        Some("/health/ready") => {
            let ready = *context.ready.borrow() && context.phase.borrow().ready;
            return if ready { plain(200, None, "ready") } else { plain(503, None, "not ready") };
        }
        Some("/health/live") => return plain(200, None, "alive"),
        _ => {}
    }
    if context.phase.borrow().refuses {
        return plain(503, Some(DOOR_PAUSE), "drained");
    }
    let transaction = match transaction(request, context) {
        Ok(transaction) => transaction,
        Err((status, why)) => return plain(status, None, why),
    };
    if !served {
        return plain(503, Some(DOOR_PAUSE), "no connection to spare");
    }
    let message = transaction.message.clone();
    let mut pending = context.decision.ask(transaction);
    let answer = loop {
        // Dropped where it returns early, the pending answer tells that nobody waits for it.
        tokio::select! {
            biased;
            answer = pending.answer() => break answer,
            more = intake::more(connection, &mut upload, pool) => match more {
                Ok(true) => pending.uploaded(),
                Ok(false) => {}
                Err(unread) => {
                    let (status, why) = unread.told()?;
                    return Some((Outgoing::plain(pool, status, None, &why), false));
                }
            }
        }
    };
    let whole = upload.is_none();
    let plain = |status, pause, text: &str| Some((Outgoing::plain(pool, status, pause, text), whole));
    match answer {
        FinalAnswer::Served(Reply::Http(reply))
        | FinalAnswer::Failed { reply: Some(Reply::Http(reply)), .. } => {
            let Message::Http(request) = &*message;
            Some((Outgoing::passed_on(pool, &request.head, reply), whole))
        }
        FinalAnswer::Refused { pause } => plain(503, Some(pause), "short on capacity"),
        FinalAnswer::DuplicateId => plain(409, None, "a request with this X-Correlation-Id is open"),
        FinalAnswer::Failed { timed_out: true, .. } => plain(504, None, "no answer in time"),
        FinalAnswer::Failed { .. } => plain(500, None, "failed"),
    }
}

/// What a request says, in terms that no longer depend on HTTP. What contradicts itself is turned down
/// here: an app server would turn it down too, and seem to fail.
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
    let named = head.get("x-account");
    let tenant = named.and_then(|name| deployment.tenants.iter().position(|tenant| tenant == name));
    let deadline = deployment.settings.classes[class].deadline;
    let time_left = match head.get("x-time-left") {
        None => deadline,
        Some(text) => {
            let seconds: Option<f64> = text.parse().ok().filter(|seconds: &f64| seconds.is_finite());
            let seconds = seconds.ok_or((400, "X-Time-Left is no number"))?;
            // The cast saturates: a negative time left is none.
            deadline.min((seconds * 1e6) as Micros)
        }
    };
    // On the way out nobody may be left without an answer when the end comes.
    let longest = deployment.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let by = context.phase.borrow().answered_by(longest);
    let time_left = by.map_or(time_left, |by| time_left.min(by.saturating_sub(arrived)));
    let key = head.get_all("cookie").find_map(cookie);
    // App servers can only drop a repeat of what one key names. A safe class needs none.
    let names: Vec<_> = head.get_all("idempotency-key").map(<[u8]>::trim_ascii).collect();
    let once = !matches!(names[..], [name] if !name.is_empty());
    // A guess that is no guess changes nothing: the request is served like one without.
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

/// The cookie `user` of a cookie header.
fn cookie(header: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(header).ok()?;
    let mut pairs = text.split(';').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(name, _)| *name == "user").map(|(_, value)| value.to_owned())
}
