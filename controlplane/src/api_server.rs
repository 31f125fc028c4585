//! The HTTP/1.1 server of the control API: calls of servers and operators at the control address.
//!
//! Before a call or its response occupies memory, as much is reserved as it may need. A call for which nothing can be reserved
//! is answered with 503, as is a call that takes long to arrive while its memory is needed for others: neither was decided.

use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Body, Connection, Framing, Head, MAX_HEAD_BYTES, ReadError};
use gradepaddle_resources::{ClientLimiter, ConnectionPermit, Reservation, ReserveError, WaitKind};
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

/// Copies of a body that exist at one time: as it was read, in one piece, and in the call that the node decides.
const BODY_COPIES: usize = 3;
/// For a body without an announced length, memory is reserved in steps of this many bytes.
const BODY_STEP_BYTES: usize = 64 * 1024;
/// Memory of a call besides a long body: its head as read and parsed, a short body, and a short response.
const CALL_BYTES: usize = 2 * MAX_HEAD_BYTES + BODY_COPIES * SHORT_BODY_BYTES + SHORT_RESPONSE_BYTES;
/// A body up to this length is within [`CALL_BYTES`], so that heartbeats need nothing else.
const SHORT_BODY_BYTES: usize = 8 * 1024;
/// A response up to this length is within [`CALL_BYTES`].
const SHORT_RESPONSE_BYTES: usize = 8 * 1024;

/// Copies of a long response that exist at one time: as the node decided it, and as it is written.
const RESPONSE_COPIES: usize = 2;

/// Text of the response to a call for which other callers leave no memory.
const OCCUPIED: &str = "other callers occupy the memory";

/// What the connections share.
#[derive(Clone)]
struct Server {
    pool: Pool,
    driver: mpsc::UnboundedSender<DriverEvent>,
    clock: Clock,
}

/// A connection with its permit, which is returned after the socket has been closed: fields are dropped in their order.
struct Caller {
    connection: Connection,
    permit: ConnectionPermit,
}

/// A completely read call, with the memory reserved for it.
struct ReceivedCall {
    head: Head,
    body: Vec<u8>,
    reservation: Reservation,
}

/// What a caller sent.
enum NextCall {
    Complete(ReceivedCall),
    /// The call is invalid or refused: this response is due, after which the connection is closed.
    Invalid(Response),
    /// The connection is needed for another caller: it is closed with a 503, without waiting for this one.
    Evicted,
    /// The caller has disconnected, or has sent nothing that can be answered.
    None,
}

/// Why a body was not read completely.
enum BodyError {
    Read(ReadError),
    Reserve(ReserveError),
}

impl From<ReadError> for BodyError {
    fn from(error: ReadError) -> Self {
        BodyError::Read(error)
    }
}

impl From<ReserveError> for BodyError {
    fn from(error: ReserveError) -> Self {
        BodyError::Reserve(error)
    }
}

/// Accepts connections for as long as the process runs, within the bounds of `clients`. `clock` has to be that of the driver:
/// a response is not sent after the lease under which it was decided.
pub async fn serve_api(
    listener: TcpListener,
    driver: mpsc::UnboundedSender<DriverEvent>,
    clock: Clock,
    clients: ClientLimiter,
) {
    let server = Server { pool: Pool::default(), driver, clock };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection::new(stream, &server.pool, ());
                match clients.admit().await {
                    Ok(permit) => {
                        let caller = Caller { connection, permit };
                        tokio::task::spawn_local(serve_connection(caller, server.clone()));
                    }
                    Err(_) => refuse(connection, &server.pool),
                }
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Closes a connection whose call was not decided, without waiting for the caller: what it occupies is needed.
fn refuse(mut connection: Connection, pool: &Pool) {
    connection.send(&[&encode(&Response::unavailable(OCCUPIED), "", false, pool)]);
}

async fn serve_connection(mut caller: Caller, server: Server) {
    loop {
        match next_call(&mut caller, &server.pool).await {
            NextCall::None => return,
            NextCall::Evicted => return refuse(caller.connection, &server.pool),
            NextCall::Invalid(response) => {
                let bytes = encode(&response, "", false, &server.pool);
                if caller.write(&bytes).await {
                    caller.close_lingering().await;
                }
                return;
            }
            NextCall::Complete(ReceivedCall { head, body, reservation }) => {
                let response = respond(&head, body, &server.driver).await;
                if !caller.write_response(&response, &head, reservation, &server).await {
                    return;
                }
                if !head.keeps_alive() {
                    return caller.close_lingering().await;
                }
            }
        }
    }
}

impl Caller {
    /// Writes the response to a call, for which `reservation` was made. False if the connection is unusable.
    async fn write_response(
        &self,
        response: &Response,
        head: &Head,
        mut reservation: Reservation,
        server: &Server,
    ) -> bool {
        let long_bytes = response.body.len().saturating_sub(SHORT_RESPONSE_BYTES);
        let response = match self.permit.reserve(RESPONSE_COPIES * long_bytes).await {
            Ok(for_response) => {
                reservation.merge(for_response);
                response.clone()
            }
            Err(_) => Response::unavailable(OCCUPIED),
        };
        // The lease is checked right before the write: the process may have been stopped since the driver decided.
        let response = response.unless_expired(server.clock.now());
        let bytes = encode(&response, head.path(), head.keeps_alive(), &server.pool);
        self.write(&bytes).await
    }

    /// Writes a response. False if the connection is unusable, or needed for another caller while this one doesn't read.
    async fn write(&self, response: &Chain) -> bool {
        let chains = [response];
        tokio::select! {
            biased;
            written = self.connection.write(&chains) => written.is_ok(),
            () = self.permit.evicted_while(WaitKind::UnreadResponse) => false,
        }
    }

    /// Closes the connection after a last response, as [`Connection::close_lingering`]; at once if it is needed for another
    /// caller.
    async fn close_lingering(self) {
        let entry = self.permit.wait(WaitKind::Idle);
        tokio::select! {
            () = self.connection.close_lingering() => {}
            () = entry.evicted() => {}
        }
    }

    /// Waits for the first bytes of a call. False if none come in time, or the connection is needed for another caller.
    async fn wait_for_bytes(&mut self) -> bool {
        let entry = self.permit.wait(WaitKind::Idle);
        // `fill` is cancellation safe; if another branch completes first, the connection is closed.
        tokio::select! {
            biased;
            read = timeout(IDLE_TIMEOUT, self.connection.fill()) => matches!(read, Ok(Ok(count)) if count > 0),
            () = entry.evicted() => false,
        }
    }
}

/// Waits for a call and reads it completely.
async fn next_call(caller: &mut Caller, pool: &Pool) -> NextCall {
    if !caller.connection.has_input() && !caller.wait_for_bytes().await {
        return NextCall::None;
    }
    let entry = caller.permit.wait(WaitKind::PartialRequest);
    // If the call is dropped half way, the connection can only be closed.
    tokio::select! {
        biased;
        () = entry.evicted() => NextCall::Evicted,
        call = read_call(caller, pool) => call,
    }
}

async fn read_call(caller: &mut Caller, pool: &Pool) -> NextCall {
    let Ok(mut reservation) = caller.permit.reserve(CALL_BYTES).await else {
        return NextCall::Invalid(Response::unavailable(OCCUPIED));
    };
    let Ok(Ok(head)) = timeout(IDLE_TIMEOUT, caller.connection.read_head()).await else {
        return NextCall::None;
    };
    match timeout(READ_TIMEOUT, read_body(caller, &head, pool, &mut reservation)).await {
        Ok(Ok(body)) => NextCall::Complete(ReceivedCall { head, body, reservation }),
        Ok(Err(error)) => invalid_call(&error),
        Err(_) => NextCall::None,
    }
}

async fn read_body(
    caller: &mut Caller,
    head: &Head,
    pool: &Pool,
    reservation: &mut Reservation,
) -> Result<Vec<u8>, BodyError> {
    let framing = head.framing(Framing::Length(0)).map_err(ReadError::from)?;
    let mut body = Body::with_limit(framing, MAX_BODY_BYTES)?;
    let mut reserved_length = SHORT_BODY_BYTES;
    if let Framing::Length(length) = framing {
        let long_bytes = (length as usize).saturating_sub(SHORT_BODY_BYTES);
        reservation.merge(caller.permit.reserve(BODY_COPIES * long_bytes).await?);
        reserved_length = usize::MAX;
    }
    let mut bytes = pool.chain();
    while !caller.connection.read_body(&mut body, &mut bytes, reserved_length).await? {
        if bytes.len() >= reserved_length {
            reservation.merge(caller.permit.reserve(BODY_COPIES * BODY_STEP_BYTES).await?);
            reserved_length += BODY_STEP_BYTES;
        }
    }
    Ok(bytes.copy_front(bytes.len()))
}

/// The response that is due after an error, if any.
fn invalid_call(error: &BodyError) -> NextCall {
    match error {
        BodyError::Read(ReadError::BodyTooLong) | BodyError::Reserve(ReserveError::TooLarge { .. }) => {
            NextCall::Invalid(Response::message(413, "the body is too long"))
        }
        BodyError::Read(ReadError::Malformed { source }) => {
            NextCall::Invalid(Response::message(400, &source.to_string()))
        }
        BodyError::Read(ReadError::Closed | ReadError::HeadTooLong) => NextCall::None,
        BodyError::Reserve(ReserveError::Occupied) => NextCall::Invalid(Response::unavailable(OCCUPIED)),
    }
}

/// Has the driver decide a call.
async fn respond(head: &Head, body: Vec<u8>, driver: &mpsc::UnboundedSender<DriverEvent>) -> Response {
    let call = match api::parse(head.method(), head.path(), head.get("if-match"), &body) {
        Ok(call) => call,
        Err(response) => return response,
    };
    // The call has a copy of what it needs.
    drop(body);
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
