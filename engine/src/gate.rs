//! What the control plane says of single servers: held back for a while, or still open to a request.

use crate::api::*;
use crate::engine::Engine;

impl Engine {
    /// Whether a server may still be written to, for a request that was placed a moment ago.
    pub fn takes_requests(&self, server: &str) -> bool {
        let state = self.fleet.find(server).map(|at| self.fleet.servers[at as usize].state);
        matches!(state, Some(ServerState::Ready | ServerState::Lost))
    }

    /// Keeps new requests away from a server for this long, as long as others are left; 0: no longer.
    pub fn hold_server(&mut self, now: Micros, server: &str, span: Micros) {
        let Some(at) = self.fleet.find(server) else { return };
        self.fleet.servers[at as usize].hold(now, span);
        self.fleet.seat(now, at);
    }

    /// A version that was named binds as if it had been named now: the core was not stable since, so its time begins
    /// anew. One that binds already goes on to do so.
    pub fn postpone_version(&mut self, now: Micros, model: &str, version: u64) {
        self.versions.postpone(model, version, now + self.config.version_within);
    }
}
