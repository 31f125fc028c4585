//! Orders to model servers, their outcomes, and the maximum duration of an order. Shared by the roll-out, which decides
//! on orders, and the client that sends them.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// The connection for an order has to be established within this time: its fencing token is valid for little longer.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// An order without a response for this long is cancelled: bytes that are still on this machine are not sent.
pub(crate) const ORDER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest time from the check of its fencing token to the end of an order.
pub const MAX_ORDER_DURATION: Duration = CONNECT_TIMEOUT.saturating_add(ORDER_RESPONSE_TIMEOUT);

/// An order to one server: load this model version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub server: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddrV4,
    /// The model.
    pub model: Arc<str>,
    /// The version to load.
    pub version: u64,
    /// The epoch of the primary that sends it.
    pub fencing_token: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// 202: the server is loading.
    InProgress,
    /// 200: the server has loaded the version.
    Loaded,
    /// 412: the server has seen a higher fencing token, so another node is the primary. The order is
    /// never sent again under this token.
    Superseded,
    /// Rejected for another reason, or the outcome is unknown.
    Failed,
}
