//! The servers of one service that may be selected, and means over them.

use std::sync::Arc;

use crate::candidate::Candidate;
use crate::endpoint::ModelService;
use crate::retry_budget::RetryBudget;
use crate::server_load::ServiceAverages;
use crate::stream_pauses::StreamPauses;
use crate::time::Micros;

/// The weight of a new request in the moving averages of its service.
const LEARNING_RATE: f64 = 1.0 / 32.0;
/// The tightest latency target relaxes this many times more slowly than the averages move.
const TARGET_RELAXATION_FACTOR: f64 = 8.0;
/// The assumed prefill time and slot occupancy of a request, in milliseconds, before the first one.
const INITIAL_PREFILL_MS: f64 = 30.0;
const INITIAL_OCCUPANCY_MS: f64 = 500.0;

/// A model version that a server of the pool has loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServedVersion {
    pub(crate) model: u32,
    pub(crate) version: u64,
}

/// A service of model servers.
#[derive(Debug)]
pub(crate) struct ServicePool {
    pub(crate) name: Arc<str>,
    pub(crate) spec: ModelService,
    /// One for each server that is ready or lost.
    pub(crate) candidates: Vec<Candidate>,
    pub(crate) averages: ServiceAverages,
    /// Mean Load of the servers with load data, in milliseconds.
    pub(crate) mean_load_ms: f64,
    /// The tightest recent latency target, in milliseconds.
    pub(crate) tightest_target_ms: f64,
    pub(crate) pauses: StreamPauses,
    /// The versions that its servers have loaded.
    pub(crate) versions: Vec<ServedVersion>,
    /// Whether `versions` has to be rebuilt.
    pub(crate) versions_stale: bool,
    /// When the means were last updated.
    pub(crate) updated_at: Micros,
    pub(crate) retry_budget: RetryBudget,
}

impl ServicePool {
    pub(crate) fn new(name: Arc<str>, other_balancers: f64, retry_budget: RetryBudget) -> ServicePool {
        let averages = ServiceAverages {
            other_balancers,
            prefill_ms: INITIAL_PREFILL_MS,
            occupancy_ms: INITIAL_OCCUPANCY_MS,
            ..ServiceAverages::default()
        };
        ServicePool {
            spec: ModelService::builder().name(name.clone()).build(),
            name,
            candidates: Vec::new(),
            averages,
            mean_load_ms: 0.0,
            tightest_target_ms: f64::INFINITY,
            pauses: StreamPauses::default(),
            versions: Vec::new(),
            versions_stale: false,
            updated_at: 0,
            retry_budget,
        }
    }

    /// Adds a request to the averages.
    pub(crate) fn learn_request(&mut self, target_ms: f64, prefill_ms: f64, tokens: f64) {
        let learn = |mean: &mut f64, value: f64| *mean += (value - *mean) * LEARNING_RATE;
        learn(&mut self.averages.prefill_ms, prefill_ms);
        learn(&mut self.averages.tokens, tokens);
        // A tighter target applies at once, and relaxes slowly.
        let looser = (target_ms - self.tightest_target_ms).max(0.0);
        self.tightest_target_ms =
            target_ms.min(self.tightest_target_ms + looser * LEARNING_RATE / TARGET_RELAXATION_FACTOR);
    }

    /// Adds the time for which a request occupied its slot to the average.
    pub(crate) fn learn_occupancy(&mut self, occupancy_ms: f64) {
        self.averages.occupancy_ms += (occupancy_ms - self.averages.occupancy_ms) * LEARNING_RATE;
    }
}
