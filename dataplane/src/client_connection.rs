//! Client connections: reads one request after another, and responds to each before it reads the next.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_config::Limits;
use gradepaddle_http::buffers::Chain;
use gradepaddle_http::{Body, Connection, Framing, Head, ReadError};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

use crate::admission::admit;
use crate::counters::increment;
use crate::data_plane::DataPlane;
use crate::lifecycle::{OpenRequestGuard, Phase};
use crate::local_response::LocalResponse;
use crate::proxied_request::ProxiedRequest;
use crate::proxy::{Proxy, RequestOutcome};

/// Pause after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Limits that apply until there is a configuration.
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 4 * 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Time-out for reading a complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts client connections until the last phase of shutdown. Connections not accepted by then are reset unread.
pub async fn serve_clients(plane: Rc<DataPlane>, listener: TcpListener) {
    loop {
        // Both branches are cancellation safe.
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = plane.phase_reached(Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let limits = limits(&plane);
                let connection = Connection::new(stream, &plane.pool, ());
                let connection =
                    connection.with_limits(limits.max_header_bytes, limits.max_body_bytes as u64);
                tokio::task::spawn_local(serve(plane.clone(), connection));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// What a client sent in place of its next request.
enum NextRequest {
    /// A request, with the guard that counts it as open.
    Complete(Head, Chain, OpenRequestGuard),
    /// The client has disconnected or sent nothing: no response is due.
    None,
    /// The request is invalid: this response is due, after which the connection is closed.
    Invalid(LocalResponse),
}

/// Serves a connection until it is closed.
async fn serve(plane: Rc<DataPlane>, mut client: Connection) {
    loop {
        match next_request(&plane, &mut client).await {
            NextRequest::None => return,
            NextRequest::Invalid(response) => {
                let chain = response.to_chain(&plane.pool, None, true);
                if client.write(&[&chain]).await.is_ok() {
                    client.close_lingering().await;
                }
                return;
            }
            NextRequest::Complete(head, body, open_request) => {
                let arrived = Instant::now();
                let close = !head.keeps_alive()
                    || head.is_http_1_0()
                    || plane.closes_connections()
                    || plane.keys_expired();
                match respond(&plane, &mut client, &head, &body, arrived, close).await {
                    RequestOutcome::Responded if !close => {}
                    RequestOutcome::Responded => {
                        drop(open_request);
                        return client.close_lingering().await;
                    }
                    RequestOutcome::Aborted => return,
                }
            }
        }
    }
}

/// Admits one request and proxies it, or responds with the reason why it is not admitted.
async fn respond(
    plane: &Rc<DataPlane>,
    client: &mut Connection,
    head: &Head,
    body: &Chain,
    arrived: Instant,
    close: bool,
) -> RequestOutcome {
    increment(&plane.counters.requests);
    let admitted = tokio::select! {
        biased;
        () = client.peer_closed() => return RequestOutcome::Aborted,
        admitted = admit(plane, head) => admitted,
    };
    match admitted {
        Ok(routed) => {
            let request = ProxiedRequest { plane, head, body, routed, arrived };
            Proxy::new(&request, close).run(client).await
        }
        Err(response) => {
            increment(&plane.counters.denied);
            let id = head.get_all("x-request-id").next();
            let chain = response.to_chain(&plane.pool, id, close);
            match client.write(&[&chain]).await {
                Ok(()) => RequestOutcome::Responded,
                Err(_) => RequestOutcome::Aborted,
            }
        }
    }
}

fn limits(plane: &DataPlane) -> Limits {
    plane.configuration().map_or(DEFAULT_LIMITS, |configuration| configuration.limits)
}

/// Waits for a request and reads it completely.
async fn next_request(plane: &Rc<DataPlane>, client: &mut Connection) -> NextRequest {
    if !client.has_input() && !wait_for_bytes(plane, client, limits(plane).idle_timeout).await {
        return NextRequest::None;
    }
    // Open from its first byte: graceful shutdown waits until the rest has been read and answered.
    let open_request = plane.track_request();
    // The limits in force now: the connection may be older than the configuration.
    let limits = limits(plane);
    client.set_limits(limits.max_header_bytes, limits.max_body_bytes as u64);
    let head = match timeout(limits.header_timeout, client.read_head()).await {
        Ok(Ok(head)) => head,
        Ok(Err(error)) => return invalid_request(&error),
        Err(_) => return NextRequest::Invalid(LocalResponse::RequestTimeout),
    };
    if head.check_request().is_err() {
        return NextRequest::Invalid(LocalResponse::BadRequest);
    }
    let Ok(framing) = head.framing(Framing::Length(0)) else {
        return NextRequest::Invalid(LocalResponse::BadRequest);
    };
    if head.list_contains("expect", "100-continue") {
        let mut interim = plane.pool.chain();
        interim.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        if client.write(&[&interim]).await.is_err() {
            return NextRequest::None;
        }
    }
    match timeout(BODY_TIMEOUT, read_body(plane, client, framing, limits.max_body_bytes)).await {
        Ok(Ok(body)) => NextRequest::Complete(head, body, open_request),
        Ok(Err(error)) => invalid_request(&error),
        Err(_) => NextRequest::Invalid(LocalResponse::RequestTimeout),
    }
}

/// Waits for the first bytes of a request. False if the client disconnects, the time-out passes, or the process closes idle
/// connections.
async fn wait_for_bytes(plane: &DataPlane, client: &mut Connection, idle_timeout: Duration) -> bool {
    // `fill` is cancellation safe. It is polled first: bytes that have already arrived belong to a request, which must be
    // answered.
    tokio::select! {
        biased;
        read = timeout(idle_timeout, client.fill()) => matches!(read, Ok(Ok(count)) if count > 0),
        () = plane.phase_reached(Phase::Closing) => false,
    }
}

async fn read_body(
    plane: &DataPlane,
    client: &mut Connection,
    framing: Framing,
    max_bytes: usize,
) -> Result<Chain, ReadError> {
    let mut body = Body::with_limit(framing, max_bytes as u64)?;
    let mut bytes = plane.pool.chain();
    while !client.read_body(&mut body, &mut bytes, usize::MAX).await? {}
    Ok(bytes)
}

/// The response that is due after a read error, if any.
fn invalid_request(error: &ReadError) -> NextRequest {
    match error {
        ReadError::Closed => NextRequest::None,
        ReadError::Malformed { .. } => NextRequest::Invalid(LocalResponse::BadRequest),
        ReadError::HeadTooLong => NextRequest::Invalid(LocalResponse::HeadTooLarge),
        ReadError::BodyTooLong => NextRequest::Invalid(LocalResponse::ContentTooLarge),
    }
}
