//! A discrete-event simulator of the load balancer's environment: clients, the front that routes them to
//! balancers, balancers, app servers, discovery and the network. The balancers run the production code
//! ([`gradepaddle`] in [`gradepaddle_dispatch`]), or another policy behind the same trait for comparison. The
//! operators' rules are monitored during a run. The same scenario, seed and build give an identical result.
//!
//! All times are whole microseconds from the start of the day; all work is in microseconds on a standard
//! core.

mod balancer;
mod clients;
mod discovery;
pub mod evaluation;
mod network;
pub mod policy;
mod queue;
mod queue_reporter;
mod random;
pub mod result;
pub mod scenario;
mod server;
mod world;

pub use queue::RANKS;
pub use world::{PolicyFactory, PolicyUnderTest, Run, run};
