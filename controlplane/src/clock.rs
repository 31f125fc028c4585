//! The monotonic clock of a process, in microseconds as the state machines use them.

use std::time::Duration;

use tokio::time::Instant;

use crate::{CLOCK_START, Micros};

/// Deadlines further ahead than a day are clamped to it: tokio's timers can't represent
/// every `u64`.
const MAX_AHEAD: Micros = 24 * 3_600_000_000;

/// A monotonic clock that shows [`CLOCK_START`] at the start of the process. It is never adjusted, and it advances while
/// the process is stopped.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// The clock of a process that started at `started`.
    pub fn new(started: Instant) -> Self {
        Clock { started }
    }

    /// The current time in microseconds.
    pub fn now(&self) -> Micros {
        CLOCK_START + self.started.elapsed().as_micros() as Micros
    }

    /// The instant at which the clock shows `time`, at most a day ahead.
    pub fn instant(&self, time: Micros) -> Instant {
        let latest = self.now() + MAX_AHEAD;
        self.started + Duration::from_micros(time.min(latest).saturating_sub(CLOCK_START))
    }
}
