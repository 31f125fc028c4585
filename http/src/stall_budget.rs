//! How slow the other side may be: waiting for it spends an allowance, and what it does earns it back. No clock.

use std::time::Duration;

/// An allowance of time.
#[derive(Clone, Copy, Debug)]
pub struct StallBudget {
    remaining: Duration,
    most: Duration,
    /// Each byte earns so much.
    earns: Duration,
}

impl StallBudget {
    /// Of a sender. Its request may come in parts over 2 s, and 64 kB a second is fast enough.
    pub fn for_sender() -> Self {
        StallBudget::new(Duration::from_millis(2400), 48_000)
    }

    /// Of a reader, or of an app server amid its answer: slow is no fault, only standing still is.
    pub fn for_reader() -> Self {
        StallBudget::new(Duration::from_secs(10), 4_000)
    }

    /// An allowance of `most` at the start and at any time, earned back by this many bytes a second (at least one).
    pub fn new(most: Duration, bytes_a_second: u32) -> Self {
        StallBudget { remaining: most, most, earns: Duration::from_secs(1) / bytes_a_second.max(1) }
    }

    /// How long may be waited now.
    pub fn remaining(&self) -> Duration {
        self.remaining
    }

    /// So long was waited, and so many bytes came of it.
    pub fn record_wait(&mut self, time: Duration, bytes: usize) {
        let earned = self.earns.saturating_mul(bytes.try_into().unwrap_or(u32::MAX));
        self.remaining = (self.remaining.saturating_sub(time) + earned).min(self.most);
    }
}

#[cfg(test)]
mod tests;
