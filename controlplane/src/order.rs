//! Orders to model servers, their outcomes, and how long one takes at most. Shared by the roll-out, which decides on them,
//! and the client that sends them.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// An order has to be on its way within this: its fencing token is good for little longer.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// An order without a response for this long is cancelled, as far as it is still on this machine.
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

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// 202: the server is loading.
    InProgress,
    /// 200: the server has loaded the version.
    Loaded,
    /// 412: the server has seen a higher fencing token, so another node has the role. Never sent again under this token.
    Superseded,
    /// Rejected for another reason, or the outcome is unknown.
    Failed,
}
