//! One probe of an app server. It ends once, and tells what came back; that changes no request and no answer.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle::{Id, LoadReport};
use gradepaddle_dispatch::Cause;
use gradepaddle_http::buffers::Chain;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::http::{Body, Connection, Framing, Head, ReadError};
use crate::mail;
use crate::routed_task::{Context, Entry, Parking};
use crate::sockets::Side;

/// A probe is given up after this. The decisions ask again after as much, so that one that waits longer in the
/// queue of its app server has nothing to say that the next would not.
const WITHIN: Duration = Duration::from_millis(500);
/// A report is a line: what is longer is none.
const LONGEST: usize = 4096;

/// The duty to tell the end of a probe. Dropped without it, it tells that there was none.
pub struct Duty {
    decision: mail::Mailbox,
    server: Option<Id>,
}

impl Duty {
    /// The duty for a probe of this app server.
    pub fn new(decision: mail::Mailbox, server: Id) -> Self {
        Duty { decision, server: Some(server) }
    }

    fn tell(mut self, cause: Cause, report: Option<LoadReport>) {
        if let Some(server) = self.server.take() {
            self.decision.probed(server, cause, report);
        }
    }
}

impl Drop for Duty {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            self.decision.probed(server, Cause::NotTried, None);
        }
    }
}

/// Probes and tells the end. The app server closed to new work, it ends at once.
pub async fn run(
    duty: Duty,
    reused: Option<Connection>,
    mut standing: watch::Receiver<Entry>,
    parking: Parking,
    context: Rc<Context>,
) {
    let view = standing.clone();
    let probe = async {
        if let Some(connection) = reused {
            match ask(connection, &context).await {
                // It was closed at the other end while it was idle.
                Err(ReadError::Closed) => {}
                answered => return conclude(answered, &parking),
            }
        }
        let Some(permit) = context.budget.take(Side::Server) else { return (Cause::NotTried, None) };
        let dial = view.borrow().dial;
        let Ok(Ok(stream)) = timeout(context.dial_timeout, TcpStream::connect(dial)).await else {
            return (Cause::NoConnection, None);
        };
        if !view.borrow().open {
            return (Cause::Closed, None);
        }
        conclude(ask(Connection::new(stream, &context.pool, permit), &context).await, &parking)
    };
    let (cause, report) = tokio::select! {
        biased;
        // The table lasts as long as the actor; without either nobody is to be probed.
        _ = standing.wait_for(|entry| !entry.open) => (Cause::Closed, None),
        end = timeout(WITHIN, probe) => end.unwrap_or((Cause::OutOfTime, None)),
    };
    duty.tell(cause, report);
}

/// What came back, with the connection as far as it can be used again.
struct Answered {
    head: Head,
    body: Chain,
    connection: Option<Connection>,
}

async fn ask(mut connection: Connection, context: &Context) -> Result<Answered, ReadError> {
    let mut message = context.pool.chain();
    let path = if context.reports { "/stats" } else { "/health/live" };
    message.push(format!("GET {path} HTTP/1.1\r\nHost: app-server\r\n\r\n").as_bytes());
    connection.write(&[&message]).await.map_err(|_| ReadError::Closed)?;
    let head = connection.read_head().await?;
    let framing = if head.has_no_body() {
        Framing::Length(0)
    } else {
        head.framing(Framing::UntilClose).map_err(ReadError::from)?
    };
    let mut rest = Body::new(framing)?;
    let mut body = context.pool.chain();
    while !connection.read_body(&mut rest, &mut body, LONGEST).await? {
        if body.len() >= LONGEST {
            return Err(ReadError::BodyTooLong);
        }
    }
    let usable = head.keeps_alive() && framing != Framing::UntilClose && !connection.has_input();
    Ok(Answered { head, body, connection: Some(connection).filter(|_| usable) })
}

fn conclude(answered: Result<Answered, ReadError>, parking: &Parking) -> (Cause, Option<LoadReport>) {
    let Answered { head, body, connection } = match answered {
        Ok(answered) => answered,
        Err(ReadError::Closed) => return (Cause::Broke, None),
        Err(_) => return (Cause::Spoilt, None),
    };
    if let (Some(connection), Some(parking)) = (connection, parking.upgrade()) {
        // If the actor has just ended, the connection closes here.
        let _ = parking.send(connection);
    }
    let cause = match head.status() {
        Ok(200) => Cause::Served,
        Ok(503) => Cause::Unprocessed,
        Ok(404) => Cause::Denied,
        Ok(_) => Cause::Failed,
        Err(_) => return (Cause::Spoilt, None),
    };
    let text = body.copy_front(body.len());
    let report = std::str::from_utf8(&text).ok().and_then(LoadReport::parse);
    (cause, report.or_else(|| head.get("x-backend-load").and_then(LoadReport::parse)))
}
