//! One model server as this node knows it.

use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle::cost::hash;

use crate::ejection::{EjectionReason, EjectionState};
use crate::endpoint::{ServerEntry, ServerState};
use crate::loaded_version::LoadedVersion;
use crate::server_load::ServerLoad;
use crate::time::Micros;

/// The factor by which a server counts as slower during its slow start.
const SLOW_START_FACTOR: f64 = 1.5;

/// The index of a server's entry in the table of servers, and the entry's generation, which changes when it is reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerRef {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

/// One incarnation of a server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: Arc<str>,
    pub(crate) service: u32,
    pub(crate) address: SocketAddrV4,
    pub(crate) zone: u16,
    pub(crate) slots: u32,
    pub(crate) state: ServerState,
    /// The generation of its entry in the table of servers.
    pub(crate) generation: u32,
    pub(crate) hash: u64,
    pub(crate) loaded_versions: Vec<LoadedVersion>,
    pub(crate) load: ServerLoad,
    /// Whether this node has sent it a request or received its load report.
    pub(crate) has_load_data: bool,
    pub(crate) known_since: Micros,
    pub(crate) ejection: EjectionState,
    /// The end of its slow start.
    pub(crate) slow_start_until: Micros,
    /// When its link is expected to have completed the transfers that this node started.
    pub(crate) link_busy_until: Micros,
    /// When it last answered a call for its cache events.
    pub(crate) last_contact: Option<Micros>,
    /// Its index among the candidates of its service, if it may be selected.
    pub(crate) candidate: Option<u32>,
}

impl Server {
    pub(crate) fn new(now: Micros, entry: &ServerEntry, service: u32, zone: u16, generation: u32) -> Server {
        Server {
            id: entry.id.clone(),
            service,
            address: entry.address,
            zone,
            slots: entry.slots,
            state: entry.state,
            generation,
            hash: hash(&entry.id),
            loaded_versions: Vec::new(),
            load: ServerLoad::default(),
            has_load_data: false,
            known_since: now,
            ejection: EjectionState::new(),
            slow_start_until: 0,
            link_busy_until: 0,
            last_contact: None,
            candidate: None,
        }
    }

    /// Whether it may be selected at all.
    pub(crate) fn is_selectable(&self) -> bool {
        matches!(self.state, ServerState::Ready | ServerState::Lost)
    }

    /// The version of a model that it is believed to have.
    pub(crate) fn version_of(&self, model: u32) -> Option<u64> {
        self.loaded_versions.iter().find(|loaded| loaded.model == model).and_then(|loaded| loaded.version)
    }

    /// Why it is ejected at this time.
    pub(crate) fn ejection_reason(&self, now: Micros) -> EjectionReason {
        match self.state {
            ServerState::Ready => self.ejection.reason_at(now),
            _ => EjectionReason::Lost,
        }
    }

    /// Records that it rejected a request.
    pub(crate) fn record_rejection(&mut self, now: Micros, node_seed: u64) {
        self.ejection.record_rejection(now, self.hash ^ node_seed);
    }

    /// The factor by which it takes longer than one of standard speed.
    pub(crate) fn slowness(&self, now: Micros) -> f64 {
        self.load.slowness() * if self.slow_start_until > now { SLOW_START_FACTOR } else { 1.0 }
    }
}
