//! Calls to model servers: orders and reports, each on a connection of its own.
//!
//! Both name the server that they are meant for: its address may be another's by now, or that of its next incarnation.

use std::net::SocketAddrV4;
use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Body, Connection, Framing, Head};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::rollout::{Order, OrderAnswer};

/// An order has to be on its way within this: its fence is good for little longer.
const DIAL_WITHIN: Duration = Duration::from_millis(250);
/// What a server has not acknowledged within this is withdrawn by the kernel, also if this process stands still.
const ARRIVES_WITHIN: Duration = Duration::from_millis(300);
/// An order is not begun with less than this left of its permit.
const LEFT_LEAST: Duration = Duration::from_millis(50);
/// An order whose answer takes longer is taken back, as far as it is still on this machine.
const ORDER_ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// From its fence being looked at, an order is on its way for this long at the most.
pub const ORDER_UNDER_WAY: Duration = DIAL_WITHIN.saturating_add(ORDER_ANSWER_WITHIN);
/// An answer to another call that takes longer is none.
const ANSWER_WITHIN: Duration = Duration::from_millis(1500);
/// The longest answer that is read, in bytes.
const ANSWER_BYTES: u64 = 4 * 1024 * 1024;

/// How running requests are treated while a server loads weights: they go on under the new ones. Were they waited for,
/// the server would take nothing new for as long as the longest of them lasts.
const METHOD: &str = "keep";

/// The right to give one order: until the end of the lease, and only while this node leads under the order's fence.
#[derive(Debug)]
pub struct OrderPermit {
    fence: u64,
    deadline: Instant,
    /// The epoch in which this node leads, if it does.
    leading: watch::Receiver<Option<u64>>,
}

impl OrderPermit {
    /// A permit under this fence until this deadline, as long as the node leads in the epoch of the fence.
    pub fn new(fence: u64, deadline: Instant, leading: watch::Receiver<Option<u64>>) -> Self {
        OrderPermit { fence, deadline, leading }
    }

    /// How long it lasts, if an order may still be begun.
    fn left(&self) -> Option<Duration> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        (left >= LEFT_LEAST).then_some(left)
    }

    /// Ready once this node does not lead under the fence any longer.
    async fn withdrawn(&mut self) {
        // An error means that the driver has ended, and with it the lead.
        let _ = self.leading.wait_for(|leading| *leading != Some(self.fence)).await;
    }
}

#[derive(Serialize)]
struct OrderBody<'a> {
    order: &'a str,
    model: &'a str,
    version: u64,
    method: &'a str,
    owner: &'a str,
    fence: u64,
}

/// What a server reports of itself, as far as it is used.
#[derive(Debug, Deserialize)]
pub struct Report {
    /// Its models.
    #[serde(default)]
    pub models: Vec<ReportedModel>,
}

/// A model that a server holds.
#[derive(Debug, Deserialize)]
pub struct ReportedModel {
    /// Its name.
    pub name: String,
    /// The version of its weights.
    #[serde(default)]
    pub version: u64,
}

/// Gives an order in the name of `owner`. By the end of its permit all of it has reached the server, or nothing more of it
/// will.
pub async fn give(order: &Order, owner: &str, pool: &Pool, mut permit: OrderPermit) -> OrderAnswer {
    let body = OrderBody {
        order: "version",
        model: &order.model,
        version: order.version,
        method: METHOD,
        owner,
        fence: order.fence,
    };
    // These fields always become JSON.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let request = request(Some(&order.server), "POST", "/v1/order", order.address, &body, pool);
    match call_under(&mut permit, order.address, &request, pool).await {
        Some((202, _)) => OrderAnswer::InProgress,
        Some((200, _)) => OrderAnswer::Holds,
        _ => OrderAnswer::NotTaken,
    }
}

/// Asks a server for its report.
pub async fn report(server: &str, address: SocketAddrV4, pool: &Pool) -> Option<Report> {
    let request = request(Some(server), "GET", "/v1/report", address, &[], pool);
    let (status, body) = ask(address, &request, pool).await?;
    (status == 200).then(|| serde_json::from_slice(&body).ok())?
}

/// Makes one call of a node's own interface. `None`: no answer came in time.
pub async fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    pool: &Pool,
) -> Option<(u16, Vec<u8>)> {
    ask(address, &request(None, method, path, address, body, pool), pool).await
}

/// Makes one call that needs no permit.
async fn ask(address: SocketAddrV4, request: &Chain, pool: &Pool) -> Option<(u16, Vec<u8>)> {
    let mut connection = Connection::new(dial(address).await?, pool, ());
    timeout(ANSWER_WITHIN, exchange(&mut connection, request, pool)).await.ok()?
}

/// Makes one call under a permit. Once that has ended, what a cut still holds up is withdrawn by a reset; if this process
/// stands still then, by the kernel.
async fn call_under(
    permit: &mut OrderPermit,
    address: SocketAddrV4,
    request: &Chain,
    pool: &Pool,
) -> Option<(u16, Vec<u8>)> {
    let stream = dial(address).await?;
    // The process may have stood still while it dialled.
    let left = permit.left()?.min(ORDER_ANSWER_WITHIN);
    // If it fails, only a process that stands still beside a cut withdraws nothing.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(left.min(ARRIVES_WITHIN)));
    let mut connection = Connection::new(stream, pool, ());
    let answer = tokio::select! {
        // Looked at before the first byte leaves: the lead may have been lost while it dialled.
        biased;
        () = permit.withdrawn() => None,
        answer = timeout(left, exchange(&mut connection, request, pool)) => answer.ok().flatten(),
    };
    if answer.is_none() {
        connection.reset_on_drop();
    }
    answer
}

async fn dial(address: SocketAddrV4) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    timeout(DIAL_WITHIN, socket.connect(address.into())).await.ok()?.ok()
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

async fn exchange(connection: &mut Connection, request: &Chain, pool: &Pool) -> Option<(u16, Vec<u8>)> {
    connection.write(&[request]).await.ok()?;
    let head: Head = connection.read_head().await.ok()?;
    let status = head.status().ok()?;
    let framing =
        if head.has_no_body() { Framing::Length(0) } else { head.framing(Framing::UntilClose).ok()? };
    let mut body = Body::with_limit(framing, ANSWER_BYTES).ok()?;
    let mut bytes = pool.chain();
    while !connection.read_body(&mut body, &mut bytes, usize::MAX).await.ok()? {}
    Some((status, bytes.copy_front(bytes.len())))
}
