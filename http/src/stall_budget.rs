//! Limits how slow a peer may be: waiting for it spends a time budget, and the bytes that it reads or sends replenish the
//! budget. Reads no clock.

use std::time::Duration;

/// A budget of time to wait for a peer.
#[derive(Clone, Copy, Debug)]
pub struct StallBudget {
    remaining: Duration,
    max: Duration,
    /// Time that each transferred byte adds to the budget.
    earned_per_byte: Duration,
}

impl StallBudget {
    /// The budget for a sender: a request may arrive in parts over 2 s, and 64 kB/s is fast enough.
    pub fn for_sender() -> Self {
        StallBudget::new(Duration::from_millis(2400), 48_000)
    }

    /// The budget for a reader, or for an app server that is sending its response: a slow peer is allowed, a stalled
    /// one isn't.
    pub fn for_reader() -> Self {
        StallBudget::new(Duration::from_secs(10), 4_000)
    }

    /// Creates a budget that starts at `max` and never exceeds it. This many bytes, at least 1, add one second to it.
    pub fn new(max: Duration, bytes_per_second: u32) -> Self {
        StallBudget { remaining: max, max, earned_per_byte: Duration::from_secs(1) / bytes_per_second.max(1) }
    }

    /// The longest time to wait now.
    pub fn remaining(&self) -> Duration {
        self.remaining
    }

    /// Charges a wait during which this many bytes were transferred.
    pub fn record_wait(&mut self, waited: Duration, bytes: usize) {
        let earned = self.earned_per_byte.saturating_mul(bytes.try_into().unwrap_or(u32::MAX));
        self.remaining = (self.remaining.saturating_sub(waited) + earned).min(self.max);
    }
}

#[cfg(test)]
mod tests;
