//! The status of a placer, as operators see it.

use super::Placer;
use crate::cache_holder::CacheHolder;
use crate::ejection::EjectionReason;
use crate::endpoint::ModelVersion;
use crate::status::{Counters, ServerStatus, TableSizes};
use crate::time::Micros;

impl Placer {
    /// Counts of the placements and rejections so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// The sizes of its tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            keys: self.keys.len(),
            index_entries: self.prefix_index.len(),
            index_bytes: self.prefix_index.bytes(),
        }
    }

    /// All servers, in no particular order.
    pub fn server_statuses(&self, now: Micros) -> impl Iterator<Item = ServerStatus> + '_ {
        self.fleet.server_indices().map(move |index| self.server_status(now, index))
    }

    fn server_status(&self, now: Micros, index: u32) -> ServerStatus {
        let server = &self.fleet.servers[index as usize];
        let service = &self.fleet.services[server.service as usize];
        let candidate = self.fleet.candidate_index(index).map(|candidate| service.candidates[candidate]);
        let loaded = server.loaded_versions.iter();
        let models = loaded.filter_map(|loaded| {
            Some(ModelVersion { model: self.fleet.models.name(loaded.model), version: loaded.version? })
        });
        ServerStatus {
            id: server.id.clone(),
            service: service.name.clone(),
            state: server.state,
            is_ejected: server.ejection_reason(now) != EjectionReason::None,
            load_ms: candidate.map_or(0.0, |candidate| f64::from(candidate.load_ms)),
            running: candidate.map_or(0.0, |candidate| f64::from(candidate.running)),
            in_flight: server.load.in_flight,
            slowness: server.load.slowness(),
            cached_chunks: self.prefix_index.chunks_of(CacheHolder::server(index)),
            models: models.collect(),
        }
    }
}
