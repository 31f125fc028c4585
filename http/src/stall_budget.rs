//! How slow the other side may be: waiting for it spends a budget of time, and the bytes that it takes or sends earn it
//! back. No clock.

use std::time::Duration;

/// A budget of waiting time.
#[derive(Clone, Copy, Debug)]
pub struct StallBudget {
    remaining: Duration,
    max: Duration,
    /// What each byte earns.
    earned_per_byte: Duration,
}

impl StallBudget {
    /// For a sender: its request may come in parts over 2 s, and 64 kB a second is fast enough.
    pub fn for_sender() -> Self {
        StallBudget::new(Duration::from_millis(2400), 48_000)
    }

    /// For a reader, or for an app server within its response: slow is allowed, only a stall is not.
    pub fn for_reader() -> Self {
        StallBudget::new(Duration::from_secs(10), 4_000)
    }

    /// A budget of `max` at the start and at any time, earned back by this many bytes a second (at least one).
    pub fn new(max: Duration, bytes_per_second: u32) -> Self {
        StallBudget { remaining: max, max, earned_per_byte: Duration::from_secs(1) / bytes_per_second.max(1) }
    }

    /// How long may be waited now.
    pub fn remaining(&self) -> Duration {
        self.remaining
    }

    /// Charges a wait, which brought so many bytes.
    pub fn record_wait(&mut self, waited: Duration, bytes: usize) {
        let earned = self.earned_per_byte.saturating_mul(bytes.try_into().unwrap_or(u32::MAX));
        self.remaining = (self.remaining.saturating_sub(waited) + earned).min(self.max);
    }
}

#[cfg(test)]
mod tests;
