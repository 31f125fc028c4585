//! Gaps in streams: while a server prefills a long prompt, the tokens of all streams that run there come more slowly.
//!
//! How long such a gap gets depends on the inference engine (its chunk size of prefill, the tokens of an event), which no
//! page tells in full. It is learned from the longest gap of each stream that was received completely: a high quantile of
//! these is what a stream beside a long prefill sees. Placement takes it into account only where it is near the streams'
//! target.

use crate::time::{Micros, to_ms};

/// The share of streams that see no longer gap than the learned one.
const QUANTILE: f64 = 0.97;
/// How far one stream moves the learned gap, in milliseconds.
const STEP_MS: f64 = 30.0;
/// Gaps below this share of the target are no risk; at the target a violation is certain.
const HARMLESS_SHARE: f64 = 0.85;

/// What is known of gaps at the servers of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamPauses {
    /// The gap that a stream beside a long prefill sees, in milliseconds; 0 before the first observation.
    pub(crate) beside_prefill_ms: f64,
    /// The tightest target of its streams, in milliseconds.
    target_ms: f64,
}

impl Default for StreamPauses {
    fn default() -> Self {
        StreamPauses { beside_prefill_ms: 0.0, target_ms: f64::INFINITY }
    }
}

impl StreamPauses {
    /// Takes in the target of a stream; 0 stands for none.
    pub(crate) fn learn_target(&mut self, target: Micros) {
        if target > 0 {
            self.target_ms = self.target_ms.min(to_ms(target));
        }
    }

    /// Takes in the longest gap of a stream: one step of stochastic quantile estimation.
    pub(crate) fn learn_pause(&mut self, longest_ms: f64) {
        let share = if longest_ms > self.beside_prefill_ms { QUANTILE } else { QUANTILE - 1.0 };
        self.beside_prefill_ms = (self.beside_prefill_ms + share * STEP_MS).max(0.0);
    }

    /// How likely a stream beside a long prefill misses its target, from 0 to 1.
    pub(crate) fn risk(&self) -> f64 {
        let share = self.beside_prefill_ms / self.target_ms;
        ((share - HARMLESS_SHARE) / (1.0 - HARMLESS_SHARE)).clamp(0.0, 1.0)
    }
}
