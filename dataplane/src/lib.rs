//! The data plane of a node: everything between a client connection and a connection to a model server.
//!
//! It is a package of its own because it alone owns these sockets. Placement decisions come from `gradepaddle-placement`,
//! which does no I/O, the configuration from `gradepaddle-config`, and membership, deadlines and orders from the control
//! plane, which calls [`DataPlane`]. An ordinary request involves no process other than this one and the model server.
//! Everything runs on one thread.
//!
//! # The path of a request
//!
//! | step | module | what it decides |
//! | --- | --- | --- |
//! | 1 | `client_connection` ([`serve_clients`]), `request_reader` | accepts, reads the request within the limits and the resources of the node, writes after the response |
//! | 2 | `admission` | whether a request may be processed now: draining, configuration, key validity |
//! | 3 | `routing` | route, tenant, service, priority, deadline, prompt |
//! | 4 | `proxy`, `proxied_request` | attempts until one yields a response; the node's own response if none does |
//! | 5 | `attempt` | a server from the placer, a connection from `upstream_pool`, the report of the end to the placer |
//! | 6 | `upstream_request`, `upstream_response` | the bytes sent to the server; which response belongs to this request |
//! | 7 | `retry` | whether one more attempt is allowed |
//! | 8 | `response_forwarding`, `event_splitter` | head, body and events sent to the client; where a stream may be resumed |
//!
//! Other modules: `load_reports` (datagrams between nodes), `cache_events` (contents of cache stores), `version_deadlines`
//! (model versions that become binding), `key_validity`, `lifecycle` and `shutdown`, `readiness`, and `control_inputs`
//! (inputs of the control plane).

mod admission;
mod attempt;
mod cache_events;
mod client_connection;
mod control_inputs;
mod counters;
mod data_plane;
mod denied_requests;
mod event_gaps;
mod event_splitter;
mod key_validity;
mod lifecycle;
pub mod load_reports;
mod local_response;
mod proxied_request;
mod proxy;
mod readiness;
mod request_reader;
mod response_forwarding;
mod retry;
mod routing;
mod service_specs;
mod shutdown;
mod upstream_pool;
mod upstream_request;
mod upstream_response;
mod version_deadlines;

pub use cache_events::subscriptions::{StoreHealthListener, should_report_health};
pub use client_connection::serve_clients;
pub use counters::Counters;
pub use data_plane::{DataPlane, Setup};
pub use event_splitter::EventSplitter;
pub use key_validity::KeyValidity;
pub use lifecycle::Phase;
pub use load_reports::receiver::{ForwardedReport, receive_load_reports};
pub use load_reports::sender::send_load_reports;
pub use load_reports::state::LoadReportCounters;
pub use readiness::serve_readiness;
pub use shutdown::{ShutdownTimes, shut_down};
