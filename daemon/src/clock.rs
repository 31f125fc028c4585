//! The daemon's one clock: the wall clock is read once at the start and advanced by the monotonic clock, so that it never
//! jumps and can still be compared with the start times that discovery sends.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gradepaddle::Micros;
use tokio::time::Instant;

/// The daemon's clock: microseconds of Unix time.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    /// Reads the wall clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }

    /// The tokio timer instant of a time of this clock.
    pub fn instant(&self, at: Micros) -> Instant {
        // No timer is waited for as long as this; the limit keeps the addition from overflowing.
        const FAR: Micros = 365 * 86_400 * 1_000_000;
        self.started + Duration::from_micros(at.saturating_sub(self.unix).min(FAR))
    }
}
