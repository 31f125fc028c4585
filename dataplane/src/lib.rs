//! The data plane of a node: client connections, routes and tenants, attempts at model servers, streams.
//!
//! Everything runs on one thread. Decisions come from `gradepaddle-placement`, the configuration from
//! `gradepaddle-config`; this package owns the sockets. No other process is asked for an ordinary request.

mod admission;
mod attempt;
mod cache_events;
mod client_connection;
mod data_plane;
mod event_splitter;
pub mod load_reports;
mod local_response;
mod proxied_request;
mod readiness;
mod response_forwarding;
mod shutdown;
mod upstream_pool;

pub use cache_events::{StoreHealthListener, should_report_health};
pub use client_connection::serve_clients;
pub use data_plane::{Counters, DataPlane, KeyValidity, Phase, Setup};
pub use event_splitter::EventSplitter;
pub use load_reports::{ForwardedReport, LoadReportCounters, receive_load_reports, send_load_reports};
pub use readiness::serve_readiness;
pub use shutdown::{ShutdownTimes, shut_down};
