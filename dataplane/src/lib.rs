//! The data plane of a node: client connections, routes and tenants, attempts at model servers, streams.
//!
//! Everything runs on one thread. Decisions come from `gradepaddle-engine`, the configuration from
//! `gradepaddle-config`; this package owns the sockets. No other process is asked for an ordinary request.

mod admission;
mod answer;
mod attempt;
mod client;
mod events;
mod exchange;
mod kept_events;
pub mod load_sharing;
mod readiness;
mod relay;
mod shared;
mod shutdown;
mod upstream;

pub use client::serve_clients;
pub use events::EventSplitter;
pub use kept_events::{StoreWatch, is_to_tell};
pub use load_sharing::{PassedOn, SharingCounters, hear_loads, tell_loads};
pub use readiness::serve_readiness;
pub use shared::{Counters, DataPlane, KeyEvidence, Phase, Setup};
pub use shutdown::{ShutdownTimes, shut_down};
