//! Placement of requests on model servers: locality-aware request distribution (LARD) with an index of the fleet's prefix
//! caches and a model of each server's load, without I/O or clock.
//!
//! The data plane informs a [`Placer`] of servers, configuration, versions and cached chunks, asks it to
//! [`place`](Placer::place) each attempt, and reports the attempt's outcome. The package is separate from the data plane so
//! that its decisions can be tested, simulated and reproduced: equal settings and calls give equal placements.
//! `docs/placement.md` describes the mechanism, its reasons and its measurements.
//!
//! Source of the three costs: Aron, Druschel and Zwaenepoel, "Efficient Support for P-HTTP in Cluster-Based Web Servers",
//! section 4.1; they are in `gradepaddle::cost`, which the balancer in service uses too.

mod attempt;
mod cache_event;
mod cache_holder;
mod cache_salt;
mod cache_store;
mod candidate;
mod config;
mod ejection;
mod endpoint;
mod fleet;
mod interner;
mod key_table;
mod kv_transfer;
mod loaded_version;
mod outcome;
mod peer_loads;
mod placer;
mod prefill_report;
mod prefix_index;
mod premixed_map;
mod prompt;
mod request;
mod retry_budget;
mod save_tracker;
mod selection;
mod server;
mod server_load;
mod service_pool;
mod status;
mod stream_pauses;
mod time;
mod version_deadline;
mod workload;

pub use cache_event::{CacheEvent, CachedTokens, StoreUpdate, chunk_key, holder_hash};
pub use config::PlacementConfig;
pub use endpoint::{CacheStoreService, ModelService, ModelVersion, ServerEntry, ServerState, ServiceSpec};
pub use outcome::{AttemptId, AttemptOutcome, OutdatedStart, Placement, Rejection, ServerLoadReport};
pub use peer_loads::LocalLoad;
pub use placer::Placer;
pub use prefill_report::PrefillReport;
pub use request::{CacheIsolation, PlacementRequest, PromptChunk, StreamPause};
pub use retry_budget::RetryBudget;
pub use status::{Counters, ServerStatus, TableSizes};
pub use time::Micros;
