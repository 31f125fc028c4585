//! Deadlines from which a newer model version is binding, and the withdrawal of attempts that miss them.
//!
//! An attempt that has not begun at its server by the deadline is withdrawn: it would run on an outdated version.

use std::time::Duration;

use gradepaddle_placement::{AttemptId, Micros};
use slog::info;
use tokio::time::timeout_at;

use crate::counters::increment;
use crate::data_plane::DataPlane;

impl DataPlane {
    /// Takes in the announcement of a newer version of a model: from `binds_in` microseconds after now, no request may begin
    /// on an older one.
    pub fn announce_version(&self, model: &str, version: u64, binds_in: Micros) {
        let binds_at = self.now() + binds_in;
        self.placer.borrow_mut().announce_version(binds_at, model, version);
        self.versions_changed.send_replace(());
    }

    /// Postpones the deadline of an announced version to `binds_in` microseconds after now.
    pub fn postpone_version(&self, model: &str, version: u64, binds_in: Micros) {
        let binds_at = self.now() + binds_in;
        self.placer.borrow_mut().extend_version_deadline(binds_at, model, version);
        self.versions_changed.send_replace(());
    }

    /// Waits until an attempt has to be withdrawn, since it has not begun and its server's model version is about to become
    /// outdated. Cancellation safe: it only reads.
    pub(crate) async fn version_deadline_passed(&self, attempt: AttemptId) {
        let mut changes = self.versions_changed.subscribe();
        loop {
            // The sender lives as long as `self`: a change or a time-out ends each wait.
            let deadline = self.placer.borrow().start_deadline(attempt);
            match deadline {
                Some(deadline) if deadline <= self.now() => return,
                Some(deadline) => {
                    let deadline = self.started + Duration::from_micros(deadline);
                    drop(timeout_at(deadline, changes.changed()).await);
                }
                None => drop(changes.changed().await),
            }
        }
    }

    /// Counts and logs an attempt that was withdrawn.
    pub(crate) fn attempt_withdrawn(&self, server: &str) {
        increment(&self.counters.withdrawn);
        info!(self.log, "request withdrawn"; "server" => server);
    }
}
