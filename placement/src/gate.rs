//! What the control plane says of single servers: held back for a while, or still open to a request.

use crate::api::*;
use crate::engine::Placer;

impl Placer {
    /// Whether a server may still be written to, for a request that was placed a moment ago.
    pub fn accepts_requests(&self, server: &str) -> bool {
        let state = self.fleet.find(server).map(|at| self.fleet.servers[at as usize].state);
        matches!(state, Some(ServerState::Ready | ServerState::Lost))
    }

    /// Keeps new requests away from a server for this long, as long as others are left; 0: no longer.
    pub fn pause_server(&mut self, now: Micros, server: &str, span: Micros) {
        let Some(at) = self.fleet.find(server) else { return };
        self.fleet.servers[at as usize].hold(now, span);
        self.fleet.seat(now, at);
    }

    /// A version that was named binds at this time, if that is later: the core was not stable since, so its time began
    /// anew. One that binds already goes on to do so.
    pub fn extend_version_deadline(&mut self, binds_at: Micros, model: &str, version: u64) {
        self.versions.postpone(model, version, binds_at);
    }

    /// The time by which an attempt has to have begun, since its server's weights are too old from then on; none if it
    /// has begun, or nothing newer was named. Whoever made the attempt takes it back then.
    pub fn start_deadline(&self, attempt: AttemptId) -> Option<Micros> {
        let attempt = self.attempts.get(&attempt.0).filter(|attempt| attempt.first_at.is_none())?;
        let model = self.fleet.models.name(attempt.model?);
        // One whose server's version is unknown may begin on any.
        let outdated = self.versions.outdated_at(&model, attempt.version.unwrap_or(0))?;
        Some(outdated.saturating_sub(self.config.begin_margin))
    }
}
