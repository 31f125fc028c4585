//! One probe of an app server. It ends once and reports its result; it affects no client's request and no answer.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle::{Id, LoadReport};
use gradepaddle_dispatch::Cause;
use gradepaddle_http::buffers::Chain;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::attempt::{Context, Endpoint, PoolReturn};
use crate::descriptor_budget::Side;
use crate::dispatch_handle::DispatchHandle;
use crate::http::{Body, Connection, Framing, Head, ReadError};

/// The timeout of a probe. Dispatch sends the next probe after the same time, so a probe that waits longer in the queue of its
/// app server has nothing to tell that the next one would not.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// A load report is a single line; a longer body is not one.
const MAX_BODY: usize = 4096;

/// Reports the end of a probe exactly once. If it is dropped unused, it reports that no probe was sent.
pub struct ProbeReporter {
    dispatch: DispatchHandle,
    server: Option<Id>,
}

impl ProbeReporter {
    /// The reporter for a probe of this app server.
    pub fn new(dispatch: DispatchHandle, server: Id) -> Self {
        ProbeReporter { dispatch, server: Some(server) }
    }

    fn complete(mut self, cause: Cause, report: Option<LoadReport>) {
        if let Some(server) = self.server.take() {
            self.dispatch.probe_ended(server, cause, report);
        }
    }
}

impl Drop for ProbeReporter {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            self.dispatch.probe_ended(server, Cause::NotTried, None);
        }
    }
}

/// Sends a probe and reports its end. It ends at once when the app server is closed to new requests.
pub async fn run(
    reporter: ProbeReporter,
    reused: Option<Connection>,
    mut endpoint: watch::Receiver<Endpoint>,
    pool_return: PoolReturn,
    context: Rc<Context>,
) {
    let current = endpoint.clone();
    let probe = async {
        if let Some(connection) = reused {
            match exchange(connection, &context).await {
                // The app server had closed the idle connection; a new one is opened.
                Err(ReadError::Closed) => {}
                response => return outcome(response, &pool_return),
            }
        }
        let Some(permit) = context.budget.take(Side::AppServer) else { return (Cause::NotTried, None) };
        let address = current.borrow().address;
        let Ok(Ok(stream)) = timeout(context.dial_timeout, TcpStream::connect(address)).await else {
            return (Cause::NoConnection, None);
        };
        if !current.borrow().open {
            return (Cause::Closed, None);
        }
        outcome(exchange(Connection::new(stream, &context.pool, permit), &context).await, &pool_return)
    };
    let (cause, report) = tokio::select! {
        biased;
        // The sender lives as long as the actor of the app server. If either is gone, the probe is not wanted any more.
        _ = endpoint.wait_for(|endpoint| !endpoint.open) => (Cause::Closed, None),
        end = timeout(PROBE_TIMEOUT, probe) => end.unwrap_or((Cause::OutOfTime, None)),
    };
    reporter.complete(cause, report);
}

/// The response to a probe, with the connection if it can be reused.
struct ProbeResponse {
    head: Head,
    body: Chain,
    connection: Option<Connection>,
}

async fn exchange(mut connection: Connection, context: &Context) -> Result<ProbeResponse, ReadError> {
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
    while !connection.read_body(&mut rest, &mut body, MAX_BODY).await? {
        if body.len() >= MAX_BODY {
            return Err(ReadError::BodyTooLong);
        }
    }
    let reusable = head.keeps_alive() && framing != Framing::UntilClose && !connection.has_input();
    Ok(ProbeResponse { head, body, connection: Some(connection).filter(|_| reusable) })
}

fn outcome(
    response: Result<ProbeResponse, ReadError>,
    pool_return: &PoolReturn,
) -> (Cause, Option<LoadReport>) {
    let ProbeResponse { head, body, connection } = match response {
        Ok(response) => response,
        Err(ReadError::Closed) => return (Cause::Broke, None),
        Err(_) => return (Cause::Spoilt, None),
    };
    if let (Some(connection), Some(pool_return)) = (connection, pool_return.upgrade()) {
        // If the actor has just ended, the connection closes here.
        let _ = pool_return.send(connection);
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
