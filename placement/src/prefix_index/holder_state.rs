//! The state of one holder in the index: its cached chunks, and how long it retains chunks that are not used.

use std::collections::VecDeque;

/// The weight of a new observation in the moving average of the retention time.
const LEARNING_RATE: f32 = 1.0 / 16.0;
/// A chunk is believed to be cached if it was unused for less than the first share of the retention time, and to be evicted
/// if it was unused for more than the second. Both are below 1 because holders cache more chunks than other nodes know of.
const SURELY_CACHED_SHARE: f32 = 0.4;
const SURELY_EVICTED_SHARE: f32 = 0.8;
/// The confidence in a chunk that is believed to be evicted.
const MIN_CONFIDENCE: f32 = 0.05;

/// A queued use of a chunk, with the stamp of that use.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedUse {
    pub(super) key: u64,
    pub(super) stamp: u32,
}

/// A server or store in the index.
#[derive(Debug, Default)]
pub(super) struct HolderState {
    /// Its chunks in the order of their use. A chunk that was used again moves to the end only when it reaches the front.
    pub(super) queue: VecDeque<QueuedUse>,
    pub(super) chunks: usize,
    pub(super) tokens: u64,
    /// Its capacity in tokens; 0 if unknown.
    pub(super) capacity: u64,
    /// How long it retains a chunk that is not used, in milliseconds; `None` before the first eviction.
    retention_ms: Option<f32>,
}

impl HolderState {
    /// The state after its cache is no longer known; only the capacity stays.
    pub(super) fn emptied(&self) -> HolderState {
        HolderState { capacity: self.capacity, ..HolderState::default() }
    }

    /// Records the eviction of a chunk that had not been used for this long.
    pub(super) fn learn_retention(&mut self, unused_ms: u32) {
        let unused = unused_ms as f32;
        let mean = self.retention_ms.map_or(unused, |mean| mean + (unused - mean) * LEARNING_RATE);
        self.retention_ms = Some(mean);
    }

    /// How likely a chunk that was not used for this long is still cached.
    pub(super) fn confidence(&self, unused_ms: u32) -> f32 {
        let Some(retention) = self.retention_ms else { return 1.0 };
        let share = unused_ms as f32 / retention.max(1.0);
        let confidence = (SURELY_EVICTED_SHARE - share) / (SURELY_EVICTED_SHARE - SURELY_CACHED_SHARE);
        confidence.clamp(MIN_CONFIDENCE, 1.0)
    }
}
