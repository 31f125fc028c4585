//! Client connections: reads one request after another, and responds to each before it reads the next.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_http::Connection;
use gradepaddle_resources::{ConnectionPermit, WaitKind};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use crate::admission::admit;
use crate::counters::increment;
use crate::data_plane::DataPlane;
use crate::lifecycle::Phase;
use crate::proxied_request::ProxiedRequest;
use crate::proxy::{Proxy, RequestOutcome};
use crate::request_reader::{NextRequest, ReceivedRequest, limits, next_request, occupied};

/// Pause after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts client connections until the last phase of shutdown. Connections not accepted by then are reset unread.
pub async fn serve_clients(plane: Rc<DataPlane>, listener: TcpListener) {
    loop {
        // Both branches are cancellation safe.
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = plane.phase_reached(Phase::Closed) => return,
        };
        match accepted {
            Ok((stream, _)) => match plane.clients.admit().await {
                Ok(permit) => {
                    tokio::task::spawn_local(serve(
                        plane.clone(),
                        ClientConnection::new(&plane, stream, permit),
                    ));
                }
                Err(_) => refuse(&plane, Connection::new(stream, &plane.pool, ())),
            },
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// A connection with its permit, which is returned after the socket has been closed: fields are dropped in their order.
struct ClientConnection {
    connection: Connection,
    permit: ConnectionPermit,
}

impl ClientConnection {
    fn new(plane: &DataPlane, stream: TcpStream, permit: ConnectionPermit) -> Self {
        let limits = limits(plane);
        let connection = Connection::new(stream, &plane.pool, ());
        let connection = connection.with_limits(limits.max_header_bytes, limits.max_body_bytes as u64);
        ClientConnection { connection, permit }
    }

    /// Closes the connection after a last response, as [`Connection::close_lingering`]; at once if it is needed for another
    /// client.
    async fn close_lingering(self) {
        let entry = self.permit.wait(WaitKind::Idle);
        tokio::select! {
            () = self.connection.close_lingering() => {}
            () = entry.evicted() => {}
        }
    }
}

/// Closes a connection whose request was not processed, without waiting for the client: what it occupies is needed. A client
/// that is still sending may see a reset in place of the response.
fn refuse(plane: &DataPlane, mut connection: Connection) {
    connection.send(&[&occupied().to_chain(&plane.pool, None, true)]);
}

/// Serves a connection until it is closed.
async fn serve(plane: Rc<DataPlane>, mut client: ClientConnection) {
    loop {
        match next_request(&plane, &mut client.connection, &client.permit).await {
            NextRequest::None => return,
            NextRequest::Evicted => return refuse(&plane, client.connection),
            NextRequest::Invalid(response) => {
                match response.write(&plane.pool, &client.connection, &client.permit, None, true).await {
                    RequestOutcome::Responded => return client.close_lingering().await,
                    RequestOutcome::Aborted => return,
                }
            }
            NextRequest::Complete(request) => {
                let close = !request.head.keeps_alive()
                    || request.head.is_http_1_0()
                    || plane.closes_connections()
                    || plane.keys_expired();
                match respond(&plane, &mut client, &request, close).await {
                    RequestOutcome::Responded if !close => {}
                    RequestOutcome::Responded => {
                        drop(request);
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
    client: &mut ClientConnection,
    request: &ReceivedRequest,
    close: bool,
) -> RequestOutcome {
    let arrived = Instant::now();
    let ClientConnection { connection, permit } = client;
    let ReceivedRequest { head, body, .. } = request;
    increment(&plane.counters.requests);
    let admitted = tokio::select! {
        biased;
        () = connection.peer_closed() => return RequestOutcome::Aborted,
        admitted = admit(plane, head) => admitted,
    };
    match admitted {
        Ok(routed) => {
            let request = ProxiedRequest { plane, permit, head, body, routed, arrived };
            Proxy::new(&request, close).run(connection).await
        }
        Err(response) => {
            increment(&plane.counters.denied);
            let id = head.get_all("x-request-id").next();
            response.write(&plane.pool, connection, permit, id, close).await
        }
    }
}
