//! A token bucket: a rate limit in bytes per second with bursts of one second's worth.

/// One second in the unit of `now`.
const SECOND_US: u64 = 1_000_000;

/// The bytes that may be spent now.
#[derive(Debug)]
pub(crate) struct Budget {
    bytes_per_second: u64,
    /// In millionths of a byte, so that refills of short intervals are not rounded away; negative after a large item.
    available: i128,
    refilled_at: u64,
}

impl Budget {
    pub(crate) fn new(bytes_per_second: u64, now: u64) -> Self {
        Self { bytes_per_second, available: full(bytes_per_second), refilled_at: now }
    }

    /// Spends the bytes if any are left at all, so that an item larger than the burst can be sent; later ones wait for it.
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
