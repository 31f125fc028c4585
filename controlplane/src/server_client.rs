//! HTTP calls to model servers: orders and reports, each on a connection of its own.
//!
//! Both name the server that they are meant for: its address may belong to another server by now, or to its next
//! incarnation.

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

/// What a server has not acknowledged by TCP within this is discarded by the kernel, also if this process is stopped.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// No order is started with less than this left of its permit.
const MIN_PERMIT_LEFT: Duration = Duration::from_millis(50);
/// Any other call without a response for this long has failed.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The longest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// How a server treats its running requests while it loads (`PROTOCOL.md`, orders): they go on under the new version.
/// Were they waited for, the server would take nothing new for as long as the longest of them lasts.
const METHOD: &str = "keep";

/// The right to send one order: until the end of the lease, and only while this node is the primary in the epoch that is
/// the order's fencing token.
#[derive(Debug)]
pub struct OrderPermit {
    fencing_token: u64,
    deadline: Instant,
    /// The epoch in which this node is the primary, if it is.
    primary_epoch: watch::Receiver<Option<u64>>,
}

impl OrderPermit {
    /// A permit until `deadline`, as long as `primary_epoch` is `fencing_token`.
    pub fn new(fencing_token: u64, deadline: Instant, primary_epoch: watch::Receiver<Option<u64>>) -> Self {
        OrderPermit { fencing_token, deadline, primary_epoch }
    }

    /// How long it lasts, if an order may still be started.
    fn remaining(&self) -> Option<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        (remaining >= MIN_PERMIT_LEFT).then_some(remaining)
    }

    /// Completes once this node is not the primary in the order's epoch any longer.
    async fn revoked(&mut self) {
        // An error means that the driver has ended, and with it the node's time as the primary.
        let _ = self.primary_epoch.wait_for(|epoch| *epoch != Some(self.fencing_token)).await;
    }
}

/// The body of an order; names as the operators' pages give them.
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

/// A server's report of itself, as far as it is used.
#[derive(Debug, Deserialize)]
pub struct Report {
    /// Its models.
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

/// Sends an order in the name of `owner`. By the end of its permit all of it has reached the server, or nothing more of it
/// will.
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

/// Reads the report of a server. `None` if there was no valid one in time.
pub async fn fetch_report(server: &str, address: SocketAddrV4, pool: &Pool) -> Option<Report> {
    let request = request(Some(server), "GET", "/v1/report", address, &[], pool);
    let response = call_without_permit(address, &request, pool).await?;
    (response.status == 200).then(|| serde_json::from_slice(&response.body).ok())?
}

/// Makes one call of a node's own API. `None` if there was no response in time.
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

/// Makes one call under a permit. Once that has ended, what a partition still holds back is discarded by a reset; if this
/// process is stopped then, by the kernel.
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
        // Checked before the first byte leaves: this node may have stepped down while it connected.
        biased;
        () = permit.revoked() => None,
        response = timeout(remaining, exchange(&mut connection, request, pool)) => response.ok().flatten(),
    };
    if response.is_none() {
        connection.reset_on_drop();
    }
    response
}

/// Has the kernel discard what a partition holds back of an order, also if this process is stopped: after the permit's
/// rest, and after [`DELIVERY_TIMEOUT`] at the latest.
fn limit_delivery(stream: &TcpStream, remaining: Duration) {
    // If it fails, only a process that is stopped behind a partition discards nothing.
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
