//! Memory and descriptors of a node: how its settings divide them, and what its clients may occupy of them.
//!
//! It is a package of its own because the data plane and the control plane share the resources of one process, and neither
//! knows the other. [`ResourcePlan`] derives the bound of each place from `memoryMb` and `openFiles`. A [`ClientLimiter`]
//! enforces the bounds of one listening address: connections and requests reserve what they may occupy in the worst case
//! before they occupy it, so that a client is refused before memory or descriptors run out. No I/O.

mod byte_budget;
mod client_limiter;
mod eviction;
mod plan;

pub use byte_budget::{BudgetExhausted, ByteBudget, Reservation};
pub use client_limiter::{ClientBounds, ClientLimiter, ConnectionPermit, LimiterCounts, ReserveError};
pub use eviction::{EvictionEntry, WaitKind};
pub use plan::{ListenerPlan, ResourcePlan, SocketBuffers};
