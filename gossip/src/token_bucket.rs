//! A token bucket that limits bytes per second, with a burst of one second's worth.

/// One second in the unit of `now`.
const SECOND_US: u64 = 1_000_000;

/// A token bucket in bytes.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: u64,
    /// Available tokens in millionths of a byte, so that refills after short intervals are not rounded down to zero.
    /// Negative after an item that was larger than the available tokens.
    available: i128,
    refilled_at: u64,
}

impl TokenBucket {
    pub(crate) fn new(bytes_per_second: u64, now: u64) -> Self {
        Self { bytes_per_second, available: full(bytes_per_second), refilled_at: now }
    }

    /// Consumes tokens if any are available, even if fewer than `bytes`, so that an item larger than the burst can be sent.
    /// Later calls fail until the deficit is refilled. Returns whether the bytes may be sent.
    pub(crate) fn try_consume(&mut self, now: u64, bytes: usize) -> bool {
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
