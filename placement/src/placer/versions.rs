//! Announced model versions, and the versions that servers report.

use super::Placer;
use crate::outcome::AttemptId;
use crate::time::Micros;

impl Placer {
    /// A newer version was announced: from `binds_at` on, no request may start on an older one. Servers that have it are
    /// preferred from now on; the others are left out if a request is not expected to start there in time.
    pub fn announce_version(&mut self, binds_at: Micros, model: &str, version: u64) {
        self.versions.announce(model, version, binds_at);
    }

    /// Postpones the deadline of an announced version to this time, if that is later: the core was not stable, so the time
    /// that the fleet has to load the version started again. A version that is binding already stays binding.
    pub fn extend_version_deadline(&mut self, binds_at: Micros, model: &str, version: u64) {
        self.versions.extend(model, version, binds_at);
    }

    /// The time by which an attempt has to have started, which is `start_margin` before its server's version is outdated. An
    /// attempt that has not started by then is to be withdrawn by the caller. `None` if it has started, or if no newer
    /// version was announced.
    pub fn start_deadline(&self, attempt: AttemptId) -> Option<Micros> {
        let attempt = self.attempts.get(&attempt.0).filter(|attempt| attempt.first_event_at.is_none())?;
        let model = self.fleet.models.name(attempt.model?);
        // Where the server's version is unknown, the attempt may start on any.
        let outdated_at = self.versions.outdated_at(&model, attempt.version.unwrap_or(0))?;
        Some(outdated_at.saturating_sub(self.config.start_margin))
    }

    /// Records the version of a model that a server reported.
    pub fn observe_version(&mut self, now: Micros, server: &str, model: &str, version: u64) {
        let Some(index) = self.fleet.server_index(server) else { return };
        let model = self.fleet.models.intern(model);
        self.fleet.record_version(index, model, version);
        self.fleet.refresh_candidate(now, index);
    }
}
