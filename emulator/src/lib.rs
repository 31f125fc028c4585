//! The project's own model of what it balances: clients, a front, balancers, app servers, discovery and the
//! network, in simulated time. The balancers run the code that is in service ([`gradepaddle`] round
//! [`gradepaddle_dispatch`]), or another policy behind the same trait for comparison. Rules are watched while
//! it runs; the same scenario, seed and build give the same result to the last digit.
//!
//! All times are whole microseconds from the start of the day, all work microseconds on a standard core.

mod balancer;
mod clients;
mod discovery;
mod gauge;
pub mod judge;
mod network;
pub mod policy;
mod queue;
mod random;
pub mod result;
pub mod scenario;
mod server;
mod world;

pub use queue::RANKS;
pub use world::{Make, Player, Run, run};
