//! What the index knows of one holder: how much it has cached, and for how long it keeps what is not used.

use std::collections::VecDeque;

/// Weight of a new observation in the retention time.
const LEARNING_RATE: f32 = 1.0 / 16.0;
/// A chunk that was used within the first share of the retention time is believed to be cached still, one unused for the
/// second share not: the holder's memory has more in it than other nodes know of.
const SURELY_CACHED_SHARE: f32 = 0.4;
const SURELY_EVICTED_SHARE: f32 = 0.8;
/// The confidence that is left for a chunk that should be evicted.
const MIN_CONFIDENCE: f32 = 0.05;

/// A chunk at the time of one use.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedUse {
    pub(super) key: u64,
    pub(super) stamp: u32,
}

/// A server or store in the index.
#[derive(Debug, Default)]
pub(super) struct HolderState {
    /// Its chunks in the order of their use, as far as known; those used again are moved when they are met.
    pub(super) queue: VecDeque<QueuedUse>,
    pub(super) chunks: usize,
    pub(super) tokens: u64,
    /// Its capacity in tokens; 0 if unknown.
    pub(super) capacity: u64,
    /// How long it keeps what is not used, in milliseconds; `None` before the first eviction.
    retention_ms: Option<f32>,
}

impl HolderState {
    /// Nothing is known of its cache any more.
    pub(super) fn emptied(&self) -> HolderState {
        HolderState { capacity: self.capacity, ..HolderState::default() }
    }

    /// A chunk was evicted that had not been used for this long.
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
