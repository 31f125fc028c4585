//! One clock for all: the wall clock read once at the start, carried on by the monotonic one, so that
//! it never jumps and still compares with the start times that discovery tells.

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

    /// Now.
    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }

    /// A time of this clock as the timers count it.
    pub fn instant(&self, at: Micros) -> Instant {
        // A time as far off as this is never waited for to its end.
        const FAR: Micros = 365 * 86_400 * 1_000_000;
        self.started + Duration::from_micros(at.saturating_sub(self.unix).min(FAR))
    }
}
