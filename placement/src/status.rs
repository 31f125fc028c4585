//! What operators see of an engine: counters, sizes, servers.

use std::sync::Arc;

use crate::api::*;
use crate::engine::Placer;
use crate::fleet::STORES;
use crate::server::Ejection;

/// What the engine has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Attempts chosen.
    pub choices: u64,
    /// Of these, at a server that was believed to keep at least half of the shared tokens.
    pub warm: u64,
    /// Of these, where every sum was infinite.
    pub infinite: u64,
    /// Of these, with a source that was believed to have the parts, and with one that was guessed.
    pub fetches: u64,
    /// Fetches from a holder that was only guessed.
    pub guesses: u64,
    /// Attempts that were told to save in a store.
    pub saves: u64,
    /// Attempts without a known version.
    pub unknown_versions: u64,
    /// Attempts that began on an older version than the one that binds.
    pub outdated_start: u64,
    /// Requests refused because no server was ready.
    pub no_server: u64,
    /// Requests refused because all were full.
    pub overloaded: u64,
}

/// A server as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Its id.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its state, as listed.
    pub state: ServerState,
    /// Whether it is left out for a moment, since it failed or turned requests away.
    pub left_out: bool,
    /// Load in milliseconds, as of the last tick.
    pub load_ms: f64,
    /// Requests there, of all balancers, as estimated.
    pub running: f64,
    /// This node's own requests there.
    pub in_flight: u32,
    /// How much longer it takes than one of usual speed.
    pub speed: f64,
    /// Parts that it is believed to keep.
    pub kept_parts: usize,
    /// The versions that it is believed to have.
    pub models: Vec<ModelVersion>,
}

impl Placer {
    /// What was done so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Keys in the key table, pairs of part and holder in the index, and the bytes that the index takes.
    pub fn table_sizes(&self) -> (usize, usize, usize) {
        (self.keys.len(), self.kept.len(), self.kept.bytes())
    }

    /// All servers, for operators, in no particular order.
    pub fn server_statuses(&self, now: Micros) -> impl Iterator<Item = ServerStatus> + '_ {
        self.fleet.ids().map(move |at| self.status(now, at))
    }

    fn status(&self, now: Micros, at: u32) -> ServerStatus {
        let server = &self.fleet.servers[at as usize];
        let service = &self.fleet.services[server.service as usize];
        let row = self.fleet.row_of(at).map(|row| service.rows[row]);
        let model = |number| self.fleet.models.name(number);
        ServerStatus {
            id: server.id.clone(),
            service: service.name.clone(),
            state: server.state,
            left_out: server.bar(now) != Ejection::None,
            load_ms: row.map_or(0.0, |row| f64::from(row.load)),
            running: row.map_or(0.0, |row| f64::from(row.running)),
            in_flight: server.load.in_flight,
            speed: server.load.speed(),
            kept_parts: self.kept.parts_of(at + STORES),
            models: server
                .weights
                .iter()
                .filter_map(|w| Some(ModelVersion { model: model(w.model), version: w.version? }))
                .collect(),
        }
    }
}
