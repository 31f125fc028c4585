//! The retry budget of each service, and observations of the pauses in its streams.

use super::Placer;
use crate::request::StreamPause;
use crate::time::{Micros, to_ms};

impl Placer {
    /// Whether this node may retry a request of the service.
    pub fn may_retry(&mut self, now: Micros, service: &str) -> bool {
        self.fleet.observe_time(now);
        let service = self.fleet.service_index_or_insert(service);
        self.fleet.services[service].retry_budget.may_retry(now)
    }

    /// Counts a request of a client for the service.
    pub fn record_request(&mut self, now: Micros, service: &str) {
        self.fleet.observe_time(now);
        let service = self.fleet.service_index_or_insert(service);
        self.fleet.services[service].retry_budget.record_request(now);
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Micros, service: &str) {
        let service = self.fleet.service_index_or_insert(service);
        self.fleet.services[service].retry_budget.record_retry(now);
    }

    /// Records the longest pause of a stream that was received completely.
    pub fn observe_stream_pause(&mut self, pause: StreamPause<'_>) {
        if let Some(service) = self.fleet.service_index(pause.service) {
            self.fleet.services[service].pauses.learn_pause(to_ms(pause.longest));
        }
    }
}
