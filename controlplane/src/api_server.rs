//! The HTTP/1.1 server of the control API: calls of servers and operators at the control address.

use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Body, Connection, Framing, Head, ReadError};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::api::{self, Response};
use crate::clock::Clock;
use crate::driver::DriverEvent;

/// The maximum length of a call's body, in bytes; configurations are the longest.
const MAX_BODY_BYTES: u64 = 5 * 1024 * 1024;
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A body has to be read within this.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// A call without a response of the node within this time is answered with 503.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after a failed `accept`, for instance without file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections for as long as the process runs. `clock` has to be that of the driver: a response is not sent
/// after the lease under which it was decided.
pub async fn serve_api(listener: TcpListener, driver: mpsc::UnboundedSender<DriverEvent>, clock: Clock) {
    let pool = Pool::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection::new(stream, &pool, ());
                tokio::task::spawn_local(serve_connection(connection, pool.clone(), driver.clone(), clock));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(
    mut connection: Connection,
    pool: Pool,
    driver: mpsc::UnboundedSender<DriverEvent>,
    clock: Clock,
) {
    while let Ok(Ok(head)) = timeout(IDLE_TIMEOUT, connection.read_head()).await {
        let body = timeout(READ_TIMEOUT, read_body(&mut connection, &head, &pool)).await;
        let (response, keep_alive) = match body {
            Ok(Ok(body)) => (respond(&head, &body, &driver).await, head.keeps_alive()),
            Ok(Err(ReadError::BodyTooLong)) => (Response::message(413, "the body is too long"), false),
            Ok(Err(ReadError::Malformed { source })) => (Response::message(400, &source.to_string()), false),
            Ok(Err(_)) | Err(_) => return,
        };
        // The lease is checked right before the write: the process may have been stopped since the driver decided.
        let bytes = encode(&response.unless_expired(clock.now()), head.path(), keep_alive, &pool);
        if connection.write(&[&bytes]).await.is_err() {
            return;
        }
        if !keep_alive {
            return connection.close_lingering().await;
        }
    }
}

async fn read_body(connection: &mut Connection, head: &Head, pool: &Pool) -> Result<Vec<u8>, ReadError> {
    let framing = head.framing(Framing::Length(0)).map_err(ReadError::from)?;
    let mut body = Body::with_limit(framing, MAX_BODY_BYTES)?;
    let mut bytes = pool.chain();
    while !connection.read_body(&mut body, &mut bytes, usize::MAX).await? {}
    Ok(bytes.copy_front(bytes.len()))
}

/// Has the driver decide a call.
async fn respond(head: &Head, body: &[u8], driver: &mpsc::UnboundedSender<DriverEvent>) -> Response {
    let call = match api::parse(head.method(), head.path(), head.get("if-match"), body) {
        Ok(call) => call,
        Err(response) => return response,
    };
    let (reply, decided) = oneshot::channel();
    if driver.send(DriverEvent::Call(call, reply)).is_err() {
        return Response::unavailable("the node ends");
    }
    match timeout(RESPONSE_TIMEOUT, decided).await {
        Ok(Ok(response)) => response,
        _ => Response::unavailable("no answer in time"),
    }
}

fn encode(response: &Response, path: &str, keep_alive: bool, pool: &Pool) -> Chain {
    let mut out = pool.chain();
    let reason = match response.status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        _ => "Service Unavailable",
    };
    let (status, length) = (response.status, response.body.len());
    out.push(format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n").as_bytes());
    if length > 0 {
        out.push(b"Content-Type: application/json\r\n");
    }
    if let Some(location) = response.location {
        out.push(format!("Location: http://{location}{path}\r\n").as_bytes());
    }
    if !keep_alive {
        out.push(b"Connection: close\r\n");
    }
    out.push(b"\r\n");
    out.push(&response.body);
    out
}
