//! The compact record of a server that a selection scans.

use crate::ejection::EjectionReason;
use crate::endpoint::ServerState;
use crate::server::Server;
use crate::server_load::ServiceAverages;
use crate::time::Micros;

/// A server without load data counts at the mean Load of the others for this long after it became known. The period is
/// limited because such a server would never be selected among overloaded ones.
const UNKNOWN_LOAD_PERIOD: Micros = 1_000_000;
/// The `model` of a candidate whose server has no model loaded.
const NO_MODEL: u32 = u32::MAX;

/// What a selection reads of a server. Times are in milliseconds. Single precision keeps the record small, so that the scan
/// of all candidates touches few cache lines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) hash: u64,
    pub(crate) ejected_until: Micros,
    /// The version of `model`, the server's first model; the versions of others are looked up in the server.
    pub(crate) version: Option<u64>,
    pub(crate) model: u32,
    pub(crate) server: u32,
    pub(crate) load_ms: f32,
    pub(crate) running: f32,
    pub(crate) decode_slowdown: f32,
    pub(crate) slots: f32,
    pub(crate) tokens: f32,
    pub(crate) slowness: f32,
    pub(crate) zone: u16,
    pub(crate) ejection: EjectionReason,
}

impl Candidate {
    /// Creates the record of the server with this index.
    pub(crate) fn new(
        now: Micros,
        index: u32,
        server: &Server,
        averages: &ServiceAverages,
        mean_load_ms: f64,
    ) -> Candidate {
        let estimate = server.load.estimate(now, server.slots, averages);
        let is_load_unknown = !server.has_load_data && now < server.known_since + UNKNOWN_LOAD_PERIOD;
        let load_ms = if is_load_unknown { mean_load_ms } else { estimate.load_ms };
        let first = server.loaded_versions.first();
        let is_lost = server.state != ServerState::Ready;
        Candidate {
            hash: server.hash,
            ejected_until: if is_lost { Micros::MAX } else { server.ejection.until },
            version: first.and_then(|loaded| loaded.version),
            model: first.map_or(NO_MODEL, |loaded| loaded.model),
            server: index,
            load_ms: load_ms as f32,
            running: estimate.running as f32,
            decode_slowdown: estimate.decode_slowdown as f32,
            slots: server.slots.max(1) as f32,
            tokens: estimate.tokens as f32,
            slowness: server.slowness(now) as f32,
            zone: server.zone,
            ejection: if is_lost { EjectionReason::Lost } else { server.ejection.reason },
        }
    }

    /// Why the server is ejected at this time.
    pub(crate) fn ejection_reason(&self, now: Micros) -> EjectionReason {
        if self.ejected_until > now { self.ejection } else { EjectionReason::None }
    }
}
