//! The status of a placer, as operators see it.

use std::sync::Arc;

use crate::endpoint::{ModelVersion, ServerState};

/// Counts of the placements and rejections of a placer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Placements.
    pub placements: u64,
    /// Placements at a server that was believed to have at least half of the shared prefix cached.
    pub cached: u64,
    /// Placements where every sum of costs was infinite.
    pub all_overloaded: u64,
    /// Placements with a holder to fetch from, whether or not it is known to have the prefix.
    pub fetches: u64,
    /// Placements with a holder to fetch from that is not known to have the prefix.
    pub guessed_fetches: u64,
    /// Placements whose server was asked to save to a store.
    pub saves: u64,
    /// Placements without a known version.
    pub unknown_versions: u64,
    /// Attempts that started on an older version than the binding one.
    pub outdated_starts: u64,
    /// Rejections because no server was ready.
    pub rejected_without_server: u64,
    /// Rejections because all servers were full.
    pub rejected_overloaded: u64,
}

/// A server as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Its id.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its state in the registry.
    pub state: ServerState,
    /// Whether it is ejected, since it failed or rejected requests.
    pub is_ejected: bool,
    /// Load in milliseconds, as of the last update.
    pub load_ms: f64,
    /// Estimated requests there, of all balancers.
    pub running: f64,
    /// This node's own requests there.
    pub in_flight: u32,
    /// The factor by which it takes longer than one of standard speed.
    pub slowness: f64,
    /// Chunks that it is believed to have cached.
    pub cached_chunks: usize,
    /// The versions that it is believed to have.
    pub models: Vec<ModelVersion>,
}

/// The sizes of a placer's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// The number of keys in the key table.
    pub keys: usize,
    /// The number of pairs of chunk and holder in the prefix index.
    pub index_entries: usize,
    /// Bytes that the index occupies.
    pub index_bytes: usize,
}
