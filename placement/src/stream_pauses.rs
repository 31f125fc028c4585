//! Pauses in streams: while a server prefills a long prompt, it generates the tokens of its running streams more slowly.
//!
//! The length of such a pause depends on the inference engine (the chunk size of its prefill, the tokens of an event), which
//! the deployment pages do not describe completely. It is learned from the longest gap between events of each stream that
//! was received completely: a high quantile of these is what a stream beside a long prefill sees. Placement considers it only
//! if it is near the event gap target of the streams.

use crate::time::{Micros, to_ms};

/// The learned pause is this quantile of the longest gaps of streams.
const QUANTILE: f64 = 0.97;
/// The step of the quantile estimation for one stream, in milliseconds.
const STEP_MS: f64 = 30.0;
/// Pauses below this share of the target are no risk; from there to the target, the risk of a violation grows to 1.
const HARMLESS_SHARE: f64 = 0.85;

/// The pauses of streams at the servers of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamPauses {
    /// The pause that a stream beside a long prefill sees, in milliseconds; 0 before the first observation.
    pub(crate) beside_prefill_ms: f64,
    /// The tightest event gap target of the streams, in milliseconds.
    target_ms: f64,
}

impl Default for StreamPauses {
    fn default() -> Self {
        StreamPauses { beside_prefill_ms: 0.0, target_ms: f64::INFINITY }
    }
}

impl StreamPauses {
    /// Records the event gap target of a stream; 0 stands for none.
    pub(crate) fn learn_target(&mut self, target: Micros) {
        if target > 0 {
            self.target_ms = self.target_ms.min(to_ms(target));
        }
    }

    /// Records the longest gap of a stream, by one step of stochastic quantile estimation.
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
