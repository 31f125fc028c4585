//! The control address: calls of servers and of the operator on sockets.

use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Body, Connection, Framing, Head, ReadError};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::calls::{self, Answer};
use crate::clock::Clock;
use crate::driver::DriverEvent;

/// The longest body of a call, in bytes: a configuration.
const BODY_MOST: u64 = 5 * 1024 * 1024;
/// A connection that says nothing is closed after this.
const IDLE_FOR: Duration = Duration::from_secs(20);
/// A call has to be read whole within this.
const READ_WITHIN: Duration = Duration::from_secs(8);
/// A call that the node has not answered within this is answered by 503.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Takes calls for as long as the process runs. By the driver's clock, nothing clear is said beyond its lease.
pub async fn serve_calls(listener: TcpListener, driver: mpsc::UnboundedSender<DriverEvent>, clock: Clock) {
    let pool = Pool::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection::new(stream, &pool, ());
                tokio::task::spawn_local(serve(connection, pool.clone(), driver.clone(), clock));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve(
    mut connection: Connection,
    pool: Pool,
    driver: mpsc::UnboundedSender<DriverEvent>,
    clock: Clock,
) {
    while let Ok(Ok(head)) = timeout(IDLE_FOR, connection.read_head()).await {
        let body = timeout(READ_WITHIN, read_body(&mut connection, &head, &pool)).await;
        let (answer, keeps) = match body {
            Ok(Ok(body)) => (answer(&head, &body, &driver).await, head.keeps_alive()),
            Ok(Err(ReadError::BodyTooLong)) => (Answer::message(413, "the body is too long"), false),
            Ok(Err(ReadError::Malformed { source })) => (Answer::message(400, &source.to_string()), false),
            Ok(Err(_)) | Err(_) => return,
        };
        // Looked at last of all: the process may have stood still since the driver answered.
        let out = written(&answer.at(clock.now()), keeps, &pool);
        if connection.write(&[&out]).await.is_err() {
            return;
        }
        if !keeps {
            return connection.close_lingering().await;
        }
    }
}

async fn read_body(connection: &mut Connection, head: &Head, pool: &Pool) -> Result<Vec<u8>, ReadError> {
    let framing = head.framing(Framing::Length(0)).map_err(ReadError::from)?;
    let mut body = Body::with_limit(framing, BODY_MOST)?;
    let mut bytes = pool.chain();
    while !connection.read_body(&mut body, &mut bytes, usize::MAX).await? {}
    Ok(bytes.copy_front(bytes.len()))
}

async fn answer(head: &Head, body: &[u8], driver: &mpsc::UnboundedSender<DriverEvent>) -> Answer {
    let call = match calls::read(head.method(), head.path(), head.get("if-match"), body) {
        Ok(call) => call,
        Err(answer) => return answer,
    };
    let (reply, answered) = oneshot::channel();
    if driver.send(DriverEvent::Call(call, reply)).is_err() {
        return Answer::unavailable("the node ends");
    }
    match timeout(ANSWER_WITHIN, answered).await {
        Ok(Ok(answer)) => answer,
        _ => Answer::unavailable("no answer in time"),
    }
}

fn written(answer: &Answer, keeps: bool, pool: &Pool) -> Chain {
    let mut out = pool.chain();
    let reason = match answer.status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        _ => "Service Unavailable",
    };
    let (status, length) = (answer.status, answer.body.len());
    out.push(format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n").as_bytes());
    if length > 0 {
        out.push(b"Content-Type: application/json\r\n");
    }
    if !keeps {
        out.push(b"Connection: close\r\n");
    }
    out.push(b"\r\n");
    out.push(&answer.body);
    out
}
