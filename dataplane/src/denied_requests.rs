//! Requests that the configuration in force does not allow: counts them, and logs the count at most once a second with the
//! version of the configuration.
//!
//! A node that has not received a newer configuration denies requests which that one allows. Comparing the logged
//! version with those of other nodes shows such a node.

use std::cell::Cell;

use gradepaddle_placement::Micros;
use slog::info;

use crate::data_plane::DataPlane;
use crate::local_response::LocalResponse;

/// The shortest time between two log lines.
const LOG_INTERVAL: Micros = 1_000_000;

/// The number of denied requests since the last log line.
#[derive(Debug, Default)]
pub(crate) struct DeniedRequests {
    unlogged: Cell<u64>,
    next_log_at: Cell<Micros>,
}

impl DeniedRequests {
    /// Records a request that was denied under the configuration in force.
    pub(crate) fn record(&self, plane: &DataPlane, denial: &LocalResponse) {
        let Some(version) = plane.configuration().map(|configuration| configuration.version) else { return };
        let count = self.unlogged.get() + 1;
        let now = plane.now();
        if now < self.next_log_at.get() {
            self.unlogged.set(count);
            return;
        }
        self.unlogged.set(0);
        self.next_log_at.set(now + LOG_INTERVAL);
        info!(plane.log, "requests denied"; "status" => denial.status(), "version" => version, "count" => count);
    }
}
