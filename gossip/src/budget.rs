//! A limit on bytes per second, with bursts of a second's worth.

/// One second in the unit of `now`.
const SECOND_US: u64 = 1_000_000;

/// Bytes that may be spent, refilled as time goes by.
#[derive(Debug)]
pub(crate) struct Budget {
    bytes_per_second: u64,
    /// Millionths of a byte, so that short spells are not rounded away; below zero after a large spending.
    available: i128,
    refilled_at: u64,
}

impl Budget {
    pub(crate) fn new(bytes_per_second: u64, now: u64) -> Self {
        Self { bytes_per_second, available: full(bytes_per_second), refilled_at: now }
    }

    /// Spends, if anything is left at all: so a single large item always goes, and is paid for afterwards.
    pub(crate) fn spend(&mut self, now: u64, bytes: usize) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        let refill = i128::from(elapsed) * i128::from(self.bytes_per_second);
        self.available = (self.available + refill).min(full(self.bytes_per_second));
        self.refilled_at = self.refilled_at.max(now);
        if self.available <= 0 {
            return false;
        }
        self.available -= bytes as i128 * i128::from(SECOND_US);
        true
    }
}

fn full(bytes_per_second: u64) -> i128 {
    i128::from(bytes_per_second) * i128::from(SECOND_US)
}
