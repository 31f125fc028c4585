//! Measures how evenly a server sends the events of a stream.

use std::time::Duration;

use tokio::time::Instant;

/// The gaps between the events of one stream from one server.
#[derive(Default)]
pub(crate) struct EventGaps {
    last_event_at: Option<Instant>,
    longest: Option<Duration>,
}

impl EventGaps {
    /// Records that an event was received.
    pub fn record_event(&mut self, now: Instant) {
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest = self.longest.max(Some(now - last));
        }
    }

    /// The longest gap so far; none before the second event.
    pub fn longest(&self) -> Option<Duration> {
        self.longest
    }
}
