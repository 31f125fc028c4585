//! Requests that the configuration in force does not allow: counted, and logged once in a while with its version.
//!
//! A node that lacks a newer configuration denies what that one allows; the log shows it beside the versions of other nodes.

use std::cell::Cell;

use gradepaddle_placement::Micros;
use slog::info;

use crate::data_plane::DataPlane;
use crate::local_response::LocalResponse;

/// The shortest time between two log lines.
const LOG_INTERVAL: Micros = 1_000_000;

/// Counts denied requests between two log lines.
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
