//! HTTP calls to model servers: orders and reports, each on a connection of its own.
//!
//! Each request names its target server, as the address may belong to another server or to the server's next incarnation
//! by now.

use std::net::SocketAddrV4;
use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Body, Connection, Framing, Head};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::order::{CONNECT_TIMEOUT, ORDER_RESPONSE_TIMEOUT, Order, OrderOutcome};

/// TCP user timeout of orders: the kernel discards bytes that the server has not acknowledged within this time, even
/// while this process is stopped.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// An order is not started if less than this is left of its permit.
const MIN_PERMIT_LEFT: Duration = Duration::from_millis(50);
/// A call other than an order has failed after this long without a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// How a server treats its running requests while it loads (`PROTOCOL.md`, orders): they continue under the new version.
/// If the server waited for them to end, it would take no new requests until the longest of them had ended.
const METHOD: &str = "keep";

/// The permission to send one order: valid until the end of the lease, and only while this node is the primary in the
/// epoch that is the order's fencing token.
#[derive(Debug)]
pub struct OrderPermit {
    fencing_token: u64,
    deadline: Instant,
    /// The epoch in which this node is the primary, if it is.
    primary_epoch: watch::Receiver<Option<u64>>,
}

impl OrderPermit {
    /// A permit that is valid until `deadline`, as long as `primary_epoch` is `fencing_token`.
    pub fn new(fencing_token: u64, deadline: Instant, primary_epoch: watch::Receiver<Option<u64>>) -> Self {
        OrderPermit { fencing_token, deadline, primary_epoch }
    }

    /// How long the permit remains valid; `None` if that is too short to start an order.
    fn remaining(&self) -> Option<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        (remaining >= MIN_PERMIT_LEFT).then_some(remaining)
    }

    /// Completes once this node is no longer the primary in the order's epoch.
    async fn revoked(&mut self) {
        // An error means that the driver has ended, so this node is no longer the primary.
        let _ = self.primary_epoch.wait_for(|epoch| *epoch != Some(self.fencing_token)).await;
    }
}

/// The body of an order. The field names are those of the operators' protocol.
#[derive(Serialize)]
struct OrderBody<'a> {
    order: &'a str,
    model: &'a str,
    version: u64,
    method: &'a str,
    owner: &'a str,
    #[serde(rename = "fence")]
    fencing_token: u64,
}

/// The used part of a server's report of its state.
#[derive(Debug, Deserialize)]
pub struct Report {
    /// The loaded models.
    #[serde(default)]
    pub models: Vec<ReportedModel>,
}

/// A loaded model in a [`Report`].
#[derive(Debug, Deserialize)]
pub struct ReportedModel {
    /// The model's name.
    pub name: String,
    /// The loaded version.
    #[serde(default)]
    pub version: u64,
}

/// An HTTP response.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Sends an order on behalf of `owner`. After the end of its permit no byte of the order reaches the server any more.
#[must_use = "the roll-out has to learn of the outcome"]
pub async fn send_order(order: &Order, owner: &str, pool: &Pool, mut permit: OrderPermit) -> OrderOutcome {
    let body = OrderBody {
        order: "version",
        model: &order.model,
        version: order.version,
        method: METHOD,
        owner,
        fencing_token: order.fencing_token,
    };
    // Serializing a struct of strings and numbers can't fail.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let request = request(Some(&order.server), "POST", "/v1/order", order.address, &body, pool);
    match call_with_permit(&mut permit, order.address, &request, pool).await {
        Some(HttpResponse { status: 202, .. }) => OrderOutcome::InProgress,
        Some(HttpResponse { status: 200, .. }) => OrderOutcome::Loaded,
        Some(HttpResponse { status: 412, .. }) => OrderOutcome::Superseded,
        _ => OrderOutcome::Failed,
    }
}

/// Fetches the report of a server. `None` if no valid report came in time.
pub async fn fetch_report(server: &str, address: SocketAddrV4, pool: &Pool) -> Option<Report> {
    let request = request(Some(server), "GET", "/v1/report", address, &[], pool);
    let response = call_without_permit(address, &request, pool).await?;
    (response.status == 200).then(|| serde_json::from_slice(&response.body).ok())?
}

/// Makes one call to the control API of a node. `None` if no response came in time.
pub async fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    pool: &Pool,
) -> Option<HttpResponse> {
    call_without_permit(address, &request(None, method, path, address, body, pool), pool).await
}

async fn call_without_permit(address: SocketAddrV4, request: &Chain, pool: &Pool) -> Option<HttpResponse> {
    let mut connection = Connection::new(connect(address).await?, pool, ());
    timeout(RESPONSE_TIMEOUT, exchange(&mut connection, request, pool)).await.ok()?
}

/// Makes one call under a permit. When the permit ends, bytes that a partition still holds back are discarded by a
/// reset of the connection, or by the kernel if this process is stopped at that time.
async fn call_with_permit(
    permit: &mut OrderPermit,
    address: SocketAddrV4,
    request: &Chain,
    pool: &Pool,
) -> Option<HttpResponse> {
    let stream = connect(address).await?;
    // The process may have been stopped while it connected.
    let remaining = permit.remaining()?.min(ORDER_RESPONSE_TIMEOUT);
    limit_delivery(&stream, remaining);
    let mut connection = Connection::new(stream, pool, ());
    // Cancellation: an exchange that is dropped half way leaves the connection unusable; it is reset below.
    let response = tokio::select! {
        // Checked before the first byte is sent: this node may have stepped down while it connected.
        biased;
        () = permit.revoked() => None,
        response = timeout(remaining, exchange(&mut connection, request, pool)) => response.ok().flatten(),
    };
    if response.is_none() {
        connection.reset_on_drop();
    }
    response
}

/// Has the kernel discard the bytes of an order that a partition holds back, even while this process is stopped: after
/// the remaining time of the permit, but at most [`DELIVERY_TIMEOUT`].
fn limit_delivery(stream: &TcpStream, remaining: Duration) {
    // If this fails, bytes are kept only in one case: this process is stopped during a partition.
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(remaining.min(DELIVERY_TIMEOUT)));
}

async fn connect(address: SocketAddrV4) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    timeout(CONNECT_TIMEOUT, socket.connect(address.into())).await.ok()?.ok()
}

fn request(
    target: Option<&str>,
    method: &str,
    path: &str,
    address: SocketAddrV4,
    body: &[u8],
    pool: &Pool,
) -> Chain {
    let mut out = pool.chain();
    out.push(format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n").as_bytes());
    if let Some(server) = target {
        out.push(format!("X-Target-Server: {server}\r\n").as_bytes());
    }
    if !body.is_empty() {
        let length = body.len();
        out.push(format!("Content-Type: application/json\r\nContent-Length: {length}\r\n").as_bytes());
    }
    out.push(b"\r\n");
    out.push(body);
    out
}

async fn exchange(connection: &mut Connection, request: &Chain, pool: &Pool) -> Option<HttpResponse> {
    connection.write(&[request]).await.ok()?;
    let head: Head = connection.read_head().await.ok()?;
    let status = head.status().ok()?;
    let framing =
        if head.has_no_body() { Framing::Length(0) } else { head.framing(Framing::UntilClose).ok()? };
    let mut body = Body::with_limit(framing, MAX_RESPONSE_BYTES).ok()?;
    let mut bytes = pool.chain();
    while !connection.read_body(&mut body, &mut bytes, usize::MAX).await.ok()? {}
    Some(HttpResponse { status, body: bytes.copy_front(bytes.len()) })
}

#[cfg(test)]
mod tests;
