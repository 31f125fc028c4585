//! Reads requests within the limits of the configuration and the resources of the node.
//!
//! Before a request occupies memory, as much is reserved as it may need until its response has been written. A request for
//! which nothing can be reserved is refused with a 503: it has not been processed. The same happens to a request that takes
//! long to arrive while its memory is needed for others.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_config::Limits;
use gradepaddle_http::buffers::{self, Chain};
use gradepaddle_http::{Body, Connection, Framing, Head, MAX_HEAD_BYTES, ReadError};
use gradepaddle_resources::{ConnectionPermit, Reservation, ReserveError, SocketBuffers, WaitKind};
use tokio::time::timeout;

use crate::data_plane::DataPlane;
use crate::lifecycle::{OpenRequestGuard, Phase};
use crate::local_response::LocalResponse;

/// Limits that apply until there is a configuration.
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 4 * 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Time-out for reading a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// `Retry-After` of a request that is refused because other clients occupy the memory.
pub(crate) const OCCUPIED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request holds its head in the read buffer, parsed, and rewritten for the server.
const HEAD_COPIES: usize = 3;
/// A head may take at most one in this many of the bytes that all clients may occupy.
const HEAD_SHARE: usize = 64;
/// Memory of a request besides its head and body: unread bytes of its response in the server's socket, the head of the
/// response as read and parsed, and the smallest parts in which a response is forwarded, with their frames.
const RESPONSE_BYTES: usize = SocketBuffers::DEFAULT.kernel_bytes() + 2 * MAX_HEAD_BYTES + 4 * buffers::SIZE;
/// For a body without an announced length, memory is reserved in steps of this many bytes.
const BODY_STEP_BYTES: usize = 64 * 1024;
/// Buffers have an overhead of one in this many bytes.
const BUFFER_OVERHEAD_SHARE: usize = 32;

/// A completely read request.
pub(crate) struct ReceivedRequest {
    /// The first line and the fields.
    pub head: Head,
    /// The body, without framing.
    pub body: Chain,
    /// Counts the request as open.
    _open_request: OpenRequestGuard,
    /// The memory of the request, until its response has been written.
    _reservation: Reservation,
}

/// What a client sent in place of its next request.
pub(crate) enum NextRequest {
    /// A request.
    Complete(Box<ReceivedRequest>),
    /// The client has disconnected or sent nothing: no response is due.
    None,
    /// The request is invalid or refused: this response is due, after which the connection is closed.
    Invalid(LocalResponse),
    /// The connection is needed for another client: it is closed with a 503, without waiting for the client.
    Evicted,
}

/// Why a request was not read completely.
enum RequestError {
    Read(ReadError),
    Reserve(ReserveError),
}

impl From<ReadError> for RequestError {
    fn from(error: ReadError) -> Self {
        RequestError::Read(error)
    }
}

impl From<ReserveError> for RequestError {
    fn from(error: ReserveError) -> Self {
        RequestError::Reserve(error)
    }
}

/// The limits of the configuration in force, with a bound on heads that the memory of the node allows.
pub(crate) fn limits(plane: &DataPlane) -> Limits {
    let limits = plane.configuration().map_or(DEFAULT_LIMITS, |configuration| configuration.limits);
    let max_header_bytes = limits.max_header_bytes.min(plane.clients.total_bytes() / HEAD_SHARE);
    Limits { max_header_bytes, ..limits }
}

/// Waits for a request and reads it completely.
pub(crate) async fn next_request(
    plane: &Rc<DataPlane>,
    client: &mut Connection,
    permit: &ConnectionPermit,
) -> NextRequest {
    if !client.has_input() && !wait_for_bytes(plane, client, permit).await {
        return NextRequest::None;
    }
    // Open from its first byte: graceful shutdown waits until the rest has been read and answered.
    let open_request = plane.track_request();
    let entry = permit.wait(WaitKind::PartialRequest);
    // If the request is dropped half way, the connection can only be closed.
    tokio::select! {
        biased;
        () = entry.evicted() => NextRequest::Evicted,
        request = read_request(plane, client, permit, open_request) => request,
    }
}

/// Waits for the first bytes of a request. False if the client disconnects, the time-out passes, the connection is needed for
/// another client, or the process closes idle connections.
async fn wait_for_bytes(plane: &DataPlane, client: &mut Connection, permit: &ConnectionPermit) -> bool {
    let entry = permit.wait(WaitKind::Idle);
    // `fill` is cancellation safe. It is polled first: bytes that have already arrived belong to a request, which must be
    // answered.
    tokio::select! {
        biased;
        read = timeout(limits(plane).idle_timeout, client.fill()) => matches!(read, Ok(Ok(count)) if count > 0),
        () = plane.phase_reached(Phase::Closing) => false,
        () = entry.evicted() => false,
    }
}

async fn read_request(
    plane: &Rc<DataPlane>,
    client: &mut Connection,
    permit: &ConnectionPermit,
    open_request: OpenRequestGuard,
) -> NextRequest {
    // The limits in force now: the connection may be older than the configuration.
    let limits = limits(plane);
    client.set_limits(limits.max_header_bytes, limits.max_body_bytes as u64);
    let mut reservation = match permit.reserve(request_bytes(&limits)).await {
        Ok(reservation) => reservation,
        Err(_) => return NextRequest::Invalid(occupied()),
    };
    let head = match timeout(limits.header_timeout, client.read_head()).await {
        Ok(Ok(head)) => head,
        Ok(Err(error)) => return invalid_request(&error.into()),
        Err(_) => return NextRequest::Invalid(LocalResponse::RequestTimeout),
    };
    if head.check_request().is_err() {
        return NextRequest::Invalid(LocalResponse::BadRequest);
    }
    let Ok(framing) = head.framing(Framing::Length(0)) else {
        return NextRequest::Invalid(LocalResponse::BadRequest);
    };
    let body = match reserve_body(client, permit, framing, &mut reservation).await {
        Ok(body) => body,
        Err(error) => return invalid_request(&error),
    };
    if head.list_contains("expect", "100-continue") {
        let mut interim = plane.pool.chain();
        interim.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        if client.write(&[&interim]).await.is_err() {
            return NextRequest::None;
        }
    }
    let read = read_body(plane, client, permit, framing, body, &mut reservation);
    match timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => {
            let request =
                ReceivedRequest { head, body, _open_request: open_request, _reservation: reservation };
            NextRequest::Complete(Box::new(request))
        }
        Ok(Err(error)) => invalid_request(&error),
        Err(_) => NextRequest::Invalid(LocalResponse::RequestTimeout),
    }
}

/// The memory of a request without its body, in bytes.
fn request_bytes(limits: &Limits) -> usize {
    HEAD_COPIES * limits.max_header_bytes + RESPONSE_BYTES
}

/// The memory of a body of this length, in bytes.
fn body_bytes(length: usize) -> usize {
    length.saturating_add(length / BUFFER_OVERHEAD_SHARE)
}

/// Checks the announced length of a body, and reserves its memory. A body without one gets its memory as it arrives.
async fn reserve_body(
    client: &Connection,
    permit: &ConnectionPermit,
    framing: Framing,
    reservation: &mut Reservation,
) -> Result<Body, RequestError> {
    let body = client.body(framing)?;
    if let Framing::Length(length) = framing {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        reservation.merge(permit.reserve(body_bytes(length)).await?);
    }
    Ok(body)
}

async fn read_body(
    plane: &DataPlane,
    client: &mut Connection,
    permit: &ConnectionPermit,
    framing: Framing,
    mut body: Body,
    reservation: &mut Reservation,
) -> Result<Chain, RequestError> {
    let mut bytes = plane.pool.chain();
    let mut reserved_length = match framing {
        Framing::Length(_) => usize::MAX,
        Framing::Chunked | Framing::UntilClose => 0,
    };
    loop {
        if bytes.len() >= reserved_length {
            reservation.merge(permit.reserve(body_bytes(BODY_STEP_BYTES)).await?);
            reserved_length += BODY_STEP_BYTES;
        }
        if client.read_body(&mut body, &mut bytes, reserved_length).await? {
            return Ok(bytes);
        }
    }
}

/// The response to a request for which other clients leave no memory.
pub(crate) fn occupied() -> LocalResponse {
    LocalResponse::Unavailable { retry_after: OCCUPIED_RETRY_AFTER }
}

/// The response that is due after an error, if any.
fn invalid_request(error: &RequestError) -> NextRequest {
    match error {
        RequestError::Read(ReadError::Closed) => NextRequest::None,
        RequestError::Read(ReadError::Malformed { .. }) => NextRequest::Invalid(LocalResponse::BadRequest),
        RequestError::Read(ReadError::HeadTooLong) => NextRequest::Invalid(LocalResponse::HeadTooLarge),
        RequestError::Read(ReadError::BodyTooLong) | RequestError::Reserve(ReserveError::TooLarge { .. }) => {
            NextRequest::Invalid(LocalResponse::ContentTooLarge)
        }
        RequestError::Reserve(ReserveError::Occupied) => NextRequest::Invalid(occupied()),
    }
}
