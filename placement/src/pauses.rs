//! StreamPauses in streams: while a server reads a long prompt, the tokens of all streams that run there come slower.
//!
//! How long a pause gets depends on the engine (the pieces in which it reads, the tokens of an event), which no page
//! tells in full. It is learned from the longest pause of each stream that came whole: a high quantile of them is what
//! a stream beside a long reading sees. Only where that is near the bound of the streams does placement heed it.

use crate::api::{Micros, StreamPause};
use crate::engine::Placer;
use crate::load::ms;

/// The share of streams that see no longer pause than the one that is learned.
const QUANTILE: f64 = 0.97;
/// How far one stream moves it, in milliseconds.
const STEP_MS: f64 = 30.0;
/// StreamPauses below this share of the bound are no risk; at the bound they are for sure.
const HARMLESS: f64 = 0.85;

/// What is known of pauses at the servers of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamPauses {
    /// What a stream beside a long reading sees, in milliseconds; 0 before any has told.
    pub(crate) beside_reading_ms: f64,
    /// The tightest bound of its streams, in milliseconds.
    bound_ms: f64,
}

impl Default for StreamPauses {
    fn default() -> Self {
        StreamPauses { beside_reading_ms: 0.0, bound_ms: f64::INFINITY }
    }
}

impl StreamPauses {
    /// A stream has this bound, if it has one.
    pub(crate) fn learn_bound(&mut self, bound: Micros) {
        if bound > 0 {
            self.bound_ms = self.bound_ms.min(ms(bound));
        }
    }

    /// The longest pause of a stream.
    fn learn(&mut self, longest_ms: f64) {
        let share = if longest_ms > self.beside_reading_ms { QUANTILE } else { QUANTILE - 1.0 };
        self.beside_reading_ms = (self.beside_reading_ms + share * STEP_MS).max(0.0);
    }

    /// How sure it is that a stream beside a long reading is late, from 0 to 1.
    pub(crate) fn risk(&self) -> f64 {
        let share = self.beside_reading_ms / self.bound_ms;
        ((share - HARMLESS) / (1.0 - HARMLESS)).clamp(0.0, 1.0)
    }
}

impl Placer {
    /// A stream came whole; its longest pause between two events.
    pub fn observe_stream_pause(&mut self, pause: StreamPause<'_>) {
        if let Some(service) = self.fleet.service(pause.service) {
            self.fleet.services[service].pauses.learn(ms(pause.longest));
        }
    }
}
