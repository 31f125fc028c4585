//! What an app server tells of its queue: as it was at its last refresh, some time ago, and not exactly.

use std::collections::VecDeque;

use gradepaddle::Micros;

use crate::random::Stream;
use crate::scenario::{Report, millis};

/// Keeps what refreshes saw without an event for each: the queue is noted only when it changes.
#[derive(Clone, Debug)]
pub struct Gauge {
    period: Micros,
    delay: Micros,
    noise: f64,
    /// Refreshes are at whole periods less this.
    phase: Micros,
    stream: Stream,
    /// What refreshes saw, the earliest first: when, and how many waited. Those that saw the same as the one
    /// before are left out.
    seen: VecDeque<(Micros, u32)>,
    /// All refreshes up to then are accounted for.
    upto: Micros,
}

impl Gauge {
    /// One that is refreshed at a moment of its own.
    pub fn new(report: &Report, mut stream: Stream) -> Self {
        let period = millis(report.period_ms).max(1);
        let phase = (stream.share() * period as f64) as Micros;
        Gauge {
            period,
            delay: millis(report.delay_ms),
            noise: report.noise,
            phase,
            stream,
            seen: VecDeque::new(),
            upto: 0,
        }
    }

    /// So many have waited since the last call, or since it began.
    pub fn note(&mut self, now: Micros, waiting: usize) {
        let next = (self.upto + self.phase) / self.period + 1;
        let first = next * self.period - self.phase;
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        if first <= now && self.seen.back().is_none_or(|(_, last)| *last != waiting) {
            self.seen.push_back((first, waiting));
        }
        self.upto = now;
        // All but the last of what is old enough to be told is of no more use.
        while self.seen.get(1).is_some_and(|(at, _)| at + self.delay <= now) {
            self.seen.pop_front();
        }
    }

    /// What is told now, where so many wait in truth.
    pub fn read(&mut self, now: Micros, waiting: usize) -> f64 {
        self.note(now, waiting);
        let told = self.seen.front().filter(|(at, _)| at + self.delay <= now);
        told.map_or(0.0, |(_, waiting)| f64::from(*waiting) * self.stream.factor(self.noise))
    }

    /// Its process is new.
    pub fn reset(&mut self, now: Micros) {
        self.seen.clear();
        self.upto = now;
    }
}

#[cfg(test)]
mod tests;
