//! The control plane of a node: API calls of servers and operators, sessions and membership, messages between nodes, the
//! replicated control state, and the singleton roles of its primary.
//!
//! [`node::Node`] combines the state machines and does no I/O; [`driver`] runs it with sockets, a disk and timers. It is
//! separate from the data plane, which continues with its last known state while no control balancer can be reached.
//!
//! - API: [`api`] (calls and responses), [`api_server`] (HTTP)
//! - membership: [`session_client`], [`session_table`], [`absence_tracker`], [`bootstrap`]
//! - messages: [`transport`], [`send_queue`], [`inbox`], [`item_kinds`]
//! - servers: [`registry`], [`rollout`], [`order`], [`server_client`], [`version_announcement`]
//! - configuration: [`staleness`]

pub mod absence_tracker;
pub mod api;
pub mod api_server;
pub mod bootstrap;
pub mod clock;
pub mod driver;
pub mod inbox;
pub mod item_kinds;
pub mod node;
pub mod order;
pub mod registry;
pub mod rollout;
pub mod send_queue;
pub mod server_client;
pub mod session_client;
pub mod session_table;
pub mod staleness;
pub mod transport;
pub mod version_announcement;

/// A time or a span in microseconds of the monotonic clock of one process.
pub type Micros = u64;

/// The time on the clock when a process starts: one minute, since state machines subtract leases and timeouts from the
/// current time, which must not saturate at zero.
pub const CLOCK_START: Micros = 60_000_000;

/// A hash of a number (see [`gradepaddle::cost::mix`]): numbers that are close to each other get unrelated
/// hashes.
pub(crate) fn mix(number: u64) -> u64 {
    gradepaddle::cost::mix(number)
}
