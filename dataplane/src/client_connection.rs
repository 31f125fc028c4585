//! Clients' connections: one request at a time, one answer each.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_config::Limits;
use gradepaddle_http::buffers::Chain;
use gradepaddle_http::{Body, Connection, Fault, Framing, Head};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

use crate::admission::{RoutedRequest, route_request};
use crate::data_plane::{DataPlane, OpenRequestGuard, Phase, count};
use crate::local_response::LocalResponse;
use crate::proxied_request::{ProxiedRequest, RequestOutcome};

/// After an accept that failed (descriptors are short), none is tried for this long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A client whose node has no configuration yet comes back after this.
const UNCONFIGURED_PAUSE: Duration = Duration::from_millis(300);
/// After a start, a request waits for the configuration this long: it comes as soon as a primary is there.
const CONFIGURED_WITHIN: Duration = Duration::from_millis(1500);
/// After a start, a request that needs a key waits this long for evidence that keys are good.
const SHOWN_WITHIN: Duration = Duration::from_millis(700);
/// Limits until there is a configuration.
const EARLY_LIMITS: Limits = Limits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 4 * 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// A body may take this long in all, if it comes at all.
const BODY_WITHIN: Duration = Duration::from_secs(10);

/// A client whose node can't be sure of keys comes back after this: it reaches another node then.
const LAPSED_PAUSE: Duration = Duration::from_millis(60);
/// A client whose node is about to end comes back after this: it reaches another node then.
const CLOSING_PAUSE: Duration = Duration::from_millis(60);

/// Takes clients' connections until the last phase. Those that nobody has taken by then are reset unread.
pub async fn serve_clients(plane: Rc<DataPlane>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = plane.phase_reached(Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let limits = limits(&plane);
                let connection = Connection::new(stream, &plane.pool, ());
                let connection = connection.within(limits.max_header_bytes, limits.max_body_bytes as u64);
                tokio::task::spawn_local(serve(plane.clone(), connection));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// What came where a request was due.
enum Next {
    Request(Head, Chain, OpenRequestGuard),
    /// Nothing is owed: the client has gone or has said nothing.
    Nothing,
    /// An answer is owed, behind which the connection ends.
    Fault(LocalResponse),
}

async fn serve(plane: Rc<DataPlane>, mut client: Connection) {
    loop {
        match next_request(&plane, &mut client).await {
            Next::Nothing => return,
            Next::Fault(answer) => {
                let chain = answer.write(&plane.pool, None, true);
                if client.write(&[&chain]).await.is_ok() {
                    client.linger().await;
                }
                return;
            }
            Next::Request(head, body, open) => {
                let arrived = Instant::now();
                let close = !head.keeps_alive()
                    || head.is_old()
                    || plane.closes_connections()
                    || plane.key_validity_expired();
                match answer(&plane, &mut client, &head, &body, arrived, close).await {
                    RequestOutcome::Responded if !close => {}
                    RequestOutcome::Responded => {
                        drop(open);
                        return client.linger().await;
                    }
                    RequestOutcome::Aborted => return,
                }
            }
        }
    }
}

/// Answers one request.
async fn answer(
    plane: &Rc<DataPlane>,
    client: &mut Connection,
    head: &Head,
    body: &Chain,
    arrived: Instant,
    close: bool,
) -> RequestOutcome {
    count(&plane.counters.requests);
    let admitted = tokio::select! {
        biased;
        () = client.left() => return RequestOutcome::Aborted,
        admitted = admitted(plane, head) => admitted,
    };
    match admitted {
        Ok(admitted) => ProxiedRequest { plane, head, body, admitted, arrived }.run(client, close).await,
        Err(own) => {
            count(&plane.counters.denied);
            let id = head.all("x-request-id").next();
            let chain = own.write(&plane.pool, id, close);
            match client.write(&[&chain]).await {
                Ok(()) => RequestOutcome::Responded,
                Err(_) => RequestOutcome::Aborted,
            }
        }
    }
}

/// What the request may do, or the answer to one that is not begun.
async fn admitted(plane: &Rc<DataPlane>, head: &Head) -> Result<RoutedRequest, LocalResponse> {
    // A request begun now could still be at work when the process has to end.
    if !plane.accepts_requests() {
        return Err(LocalResponse::Unavailable(CLOSING_PAUSE));
    }
    let configured = plane.wait_for_configuration(CONFIGURED_WITHIN).await;
    if configured.is_some_and(|configuration| configuration.needs_key()) {
        plane.wait_for_key_validity(SHOWN_WITHIN).await;
    }
    // What is shown counts for the configuration that is in force now, not for one of before the wait.
    match plane.configuration() {
        Some(configuration) => {
            let admitted = route_request(&configuration, head, plane.shared_isolation());
            let by_key = match &admitted {
                Ok(admitted) => admitted.tenant.is_some(),
                Err(answer) => *answer == LocalResponse::Unauthorized,
            };
            // The key may have been taken away, or given, without word of it.
            if by_key && plane.key_validity_expired() {
                Err(LocalResponse::Unavailable(LAPSED_PAUSE))
            } else {
                admitted
            }
        }
        None => Err(LocalResponse::Unavailable(UNCONFIGURED_PAUSE)),
    }
}

fn limits(plane: &DataPlane) -> Limits {
    plane.configuration().map_or(EARLY_LIMITS, |configuration| configuration.limits)
}

/// Waits for a request and reads it whole.
async fn next_request(plane: &Rc<DataPlane>, client: &mut Connection) -> Next {
    if !client.has_input() && !wait_for_bytes(plane, client, limits(plane).idle_timeout).await {
        return Next::Nothing;
    }
    // Open from its first byte: a process that ends meanwhile waits for the rest, and answers it.
    let open = plane.track_request();
    // Those in force by now: the connection may be older than the configuration.
    let limits = limits(plane);
    client.set_limits(limits.max_header_bytes, limits.max_body_bytes as u64);
    let head = match timeout(limits.header_timeout, client.read_head()).await {
        Ok(Ok(head)) => head,
        Ok(Err(fault)) => return fault_of(&fault),
        Err(_) => return Next::Fault(LocalResponse::RequestTimeout),
    };
    if head.check_request().is_err() {
        return Next::Fault(LocalResponse::BadRequest);
    }
    let Ok(framing) = head.framing(Framing::Length(0)) else { return Next::Fault(LocalResponse::BadRequest) };
    if head.lists("expect", "100-continue") {
        let mut go_on = plane.pool.chain();
        go_on.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        if client.write(&[&go_on]).await.is_err() {
            return Next::Nothing;
        }
    }
    match timeout(BODY_WITHIN, read_body(plane, client, framing, limits.max_body_bytes)).await {
        Ok(Ok(body)) => Next::Request(head, body, open),
        Ok(Err(fault)) => fault_of(&fault),
        Err(_) => Next::Fault(LocalResponse::RequestTimeout),
    }
}

/// True once bytes have come; false if the client has gone, was silent for too long, or the process ends.
async fn wait_for_bytes(plane: &DataPlane, client: &mut Connection, limit: Duration) -> bool {
    tokio::select! {
        biased;
        read = timeout(limit, client.fill()) => matches!(read, Ok(Ok(count)) if count > 0),
        () = plane.phase_reached(Phase::Closing) => false,
    }
}

async fn read_body(
    plane: &DataPlane,
    client: &mut Connection,
    framing: Framing,
    most: usize,
) -> Result<Chain, Fault> {
    let mut body = Body::new_within(framing, most as u64)?;
    let mut bytes = plane.pool.chain();
    while !client.read_piece(&mut body, &mut bytes, usize::MAX).await? {}
    Ok(bytes)
}

fn fault_of(fault: &Fault) -> Next {
    match fault {
        Fault::Ended => Next::Nothing,
        Fault::Malformed(_) => Next::Fault(LocalResponse::BadRequest),
        Fault::LongHead => Next::Fault(LocalResponse::HeadTooLarge),
        Fault::LongBody => Next::Fault(LocalResponse::ContentTooLarge),
    }
}
