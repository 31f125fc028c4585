//! The queue length in an app server's load reports: it is refreshed periodically, delayed and noisy.

use std::collections::VecDeque;

use gradepaddle::Micros;

use crate::random::Stream;
use crate::scenario::{Report, millis};

/// Reconstructs the periodic refreshes without an event for each: it is called only when the queue changes.
#[derive(Clone, Debug)]
pub struct QueueReporter {
    period: Micros,
    delay: Micros,
    noise: f64,
    /// Refreshes take place at multiples of the period minus this phase.
    phase: Micros,
    stream: Stream,
    /// Observations of refreshes, oldest first: time and queue length. A refresh that observes the same
    /// length as the one before is left out.
    observations: VecDeque<(Micros, u32)>,
    /// Refreshes up to this time have been reconstructed.
    refreshed_until: Micros,
}

impl QueueReporter {
    /// Creates a reporter with a random phase.
    pub fn new(report: &Report, mut stream: Stream) -> Self {
        let period = millis(report.period_ms).max(1);
        let phase = (stream.share() * period as f64) as Micros;
        QueueReporter {
            period,
            delay: millis(report.delay_ms),
            noise: report.noise,
            phase,
            stream,
            observations: VecDeque::new(),
            refreshed_until: 0,
        }
    }

    /// Records that the queue had length `waiting` since the last call.
    pub fn record(&mut self, now: Micros, waiting: usize) {
        let next = (self.refreshed_until + self.phase) / self.period + 1;
        let first = next * self.period - self.phase;
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        if first <= now && self.observations.back().is_none_or(|(_, last)| *last != waiting) {
            self.observations.push_back((first, waiting));
        }
        self.refreshed_until = now;
        // Only the newest observation that is old enough to be reported is still needed.
        while self.observations.get(1).is_some_and(|(at, _)| at + self.delay <= now) {
            self.observations.pop_front();
        }
    }

    /// The queue length reported now, given the actual one.
    pub fn read(&mut self, now: Micros, waiting: usize) -> f64 {
        self.record(now, waiting);
        let reported = self.observations.front().filter(|(at, _)| at + self.delay <= now);
        reported.map_or(0.0, |(_, waiting)| f64::from(*waiting) * self.stream.factor(self.noise))
    }

    /// Discards all observations when the app server's process restarts.
    pub fn reset(&mut self, now: Micros) {
        self.observations.clear();
        self.refreshed_until = now;
    }
}

#[cfg(test)]
mod tests;
