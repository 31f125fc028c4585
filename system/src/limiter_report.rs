//! The log line about clients that were refused.

use gradepaddle_resources::{ClientLimiter, LimiterCounts};
use slog::{Logger, warn};

/// The limiter of a listening address, and what was logged of it.
pub struct LimiterReport {
    address: &'static str,
    limiter: ClientLimiter,
    logged: LimiterCounts,
}

impl LimiterReport {
    /// A report of the limiter of this address, as the settings name it.
    pub fn new(address: &'static str, limiter: &ClientLimiter) -> Self {
        LimiterReport { address, limiter: limiter.clone(), logged: LimiterCounts::default() }
    }

    /// Logs the clients that were refused or evicted since the last call, if there were any.
    pub fn report(&mut self, log: &Logger) {
        let counts = self.limiter.counts();
        let LimiterCounts { refused, evicted } = counts.since(self.logged);
        if refused > 0 || evicted > 0 {
            warn!(log, "clients refused"; "address" => self.address, "refused" => refused, "evicted" => evicted, "connections" => self.limiter.connections(), "reserved_bytes" => self.limiter.reserved_bytes());
        }
        self.logged = counts;
    }
}
