//! A whole fleet in simulated time: the control planes of all nodes with their replicas and disks, the network between
//! them, model servers and an operator. Everything depends on the seed alone; nothing sleeps.

#![allow(dead_code, unused_imports, reason = "each test file uses its part")]

mod callers;
mod clients;
mod disk;
mod faults;
mod invariants;
mod machine;
mod network;
mod operation_history;
pub mod operator;
mod outage;
mod plan;
mod random;
mod server;
mod world;

pub use outage::{Outage, OutageKind, Victim};
pub use plan::{Ending, Plan};
pub use world::{Report, World};

/// A time or a span in microseconds.
pub type Micros = u64;
/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000_000;
/// How long a machine has to be without faults to count as connected.
pub const CONNECT_TIME: Micros = 3 * SECOND;
/// The only model.
pub const MODEL: &str = "advisor";
