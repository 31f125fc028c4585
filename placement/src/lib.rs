//! Placement of generations on model servers: LARD costs, index of kept prompts, load model, sans-I/O.
//!
//! The data plane tells an [`Placer`] of servers, configuration, versions and kept parts, asks it to
//! [`place`](Placer::place) for each attempt, and tells it what came of that. docs/placement.md has the reasons.

mod api;
mod attempts;
mod budget;
mod choice;
mod engine;
mod fleet;
mod gate;
mod holders;
mod kept;
mod kept_changes;
mod keys;
mod load;
mod moves;
mod names;
mod pauses;
mod prompt;
mod saves;
mod server;
mod sharing;
mod sightings;
mod sources;
mod status;
mod store;
mod version;
mod warmth;

pub use api::*;
pub use budget::RetryBudget;
pub use engine::Placer;
pub use kept_changes::{CachedTokens, StoreUpdate, chunk_key, holder_hash};
pub use sharing::LocalLoad;
pub use sightings::PrefillReport;
pub use status::{Counters, ServerStatus};
