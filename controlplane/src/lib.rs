//! The control plane of a node: calls of servers and of the operator, links between nodes, membership, the replicated
//! control state and the duties of its primary.
//!
//! [`node::Node`] joins the state machines and does no I/O; [`driver`] runs it on sockets, disk and time.

pub mod absence;
pub mod calls;
pub mod clock;
pub mod door;
pub mod driver;
pub mod founding;
pub mod freshness;
pub mod kinds;
pub mod links;
pub mod naming;
pub mod node;
pub mod orders;
pub mod outbox;
pub mod registry;
pub mod rollout;
pub mod session;
pub mod sessions;

/// A time or a span in microseconds of a steady clock.
pub type Micros = u64;

/// What the clock shows when a process starts. State machines reckon back from the present (a lease ago, a heartbeat
/// ago), which must not end at zero.
pub const CLOCK_START: Micros = 60_000_000;

/// Mixes the bits of a number, so that numbers close to each other have nothing in common.
pub(crate) fn mix(number: u64) -> u64 {
    gradepaddle::cost::mix(number)
}
