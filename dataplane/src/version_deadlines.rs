//! Deadlines from which a newer model version is binding, and attempts that miss them.
//!
//! An attempt that has not begun at its server by the deadline is withdrawn: it would run on a version that is too old.

use std::time::Duration;

use gradepaddle_placement::{AttemptId, Micros};
use slog::info;
use tokio::time::timeout_at;

use crate::counters::increment;
use crate::data_plane::DataPlane;

impl DataPlane {
    /// A newer version of a model was announced: no request may begin on an older one from `binds_in` microseconds after
    /// now.
    pub fn announce_version(&self, model: &str, version: u64, binds_in: Micros) {
        let binds_at = self.now() + binds_in;
        self.placer.borrow_mut().announce_version(binds_at, model, version);
        self.versions_changed.send_replace(());
    }

    /// The deadline of an announced version was postponed: it is now `binds_in` microseconds after now.
    pub fn postpone_version(&self, model: &str, version: u64, binds_in: Micros) {
        let binds_at = self.now() + binds_in;
        self.placer.borrow_mut().extend_version_deadline(binds_at, model, version);
        self.versions_changed.send_replace(());
    }

    /// Ready once an attempt has to be withdrawn: it has not begun, and its server's model version is about to become
    /// too old. Cancellation safe: it only reads.
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
