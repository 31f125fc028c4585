//! The decisions of an HTTP load balancer that runs as a small group of proxies.
//!
//! Each proxy embeds one [`Balancer`]: it passes in every [`Event`] with the time and carries out
//! the [`Action`]s that it gets back. The library does no I/O, reads no clock and shares no state;
//! equal events give equal actions. Servers are selected by locality-aware request distribution.
//!
//! ```
//! use gradepaddle::{
//!     Action, Arrival, AttemptEnd, Balancer, Event, ListKind, Outcome, Server, ServerState, Settings,
//! };
//!
//! let mut balancer = Balancer::new(Settings::default(), 7)?;
//! let mut actions = Vec::new();
//! let server = Server {
//!     id: "a".into(), zone: 0, kind: 0, cell: 0, state: ServerState::Ready, weight: 1.0, started: None,
//! };
//! balancer.handle(0, Event::List { kind: ListKind::Full, servers: vec![server] }, &mut actions);
//! let request = Arrival {
//!     id: "r1".into(), class: 0, tenant: None, ttl: 500_000, work_hint: None, key: Some("k"), run_once: false,
//! };
//! balancer.handle(1_000, Event::Request(request), &mut actions);
//! assert!(matches!(&actions[0], Action::Send { server, .. } if &**server == "a"));
//! let ended = AttemptEnd {
//!     request: "r1", attempt: 0, outcome: Outcome::Ok, took: 900, request_finished: true, report: None,
//! };
//! balancer.handle(2_000, Event::AttemptEnded(ended), &mut actions);
//! # Ok::<(), gradepaddle::SettingsError>(())
//! ```

mod api;
mod balancer;
pub mod cost;
mod idle_connections;
mod load_report;
mod probing;
mod processor_sharing;
pub mod settings;
mod state;
pub mod wire;

pub use api::*;
pub use state::Balancer;
