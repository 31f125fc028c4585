//! A whole fleet in simulated time: the control planes of all nodes with their replicas and disks, the network between
//! them, model servers and an operator. Everything depends on the seed alone; nothing sleeps.

#![allow(dead_code, unused_imports, reason = "each test file uses its part")]

mod calls;
mod checks;
mod disk;
mod faults;
mod histories;
mod machine;
mod network;
pub mod operator;
mod outage;
mod outside;
mod plan;
mod random;
mod server;
mod world;

pub use outage::{Outage, Trouble, Victim};
pub use plan::{Ending, Plan};
pub use world::{Report, World};

/// A time or a span in microseconds.
pub type Micros = u64;
/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000_000;
/// How long a machine has to be without trouble to be in touch.
pub const IN_TOUCH: Micros = 3 * SECOND;
/// The only model.
pub const MODEL: &str = "advisor";
