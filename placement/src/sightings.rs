//! What balancers see kept where, told to each other: one index of kept prompts for the fleet, as each balancer holds it.

use crate::api::{Micros, PromptChunk};
use crate::engine::Placer;
use crate::fleet::STORES;
use crate::keys::KeyHolder;

/// PendingPrefillReports that wait to be told; further ones are dropped, which costs a miss at most.
const WAITING_MOST: usize = 512;

/// A server was seen to read a prompt, and so to keep its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillReport {
    /// A hash of the server's id, the same at all nodes.
    pub server: u64,
    /// The prompt's key.
    pub key: u64,
    /// The version of the weights under which it was read.
    pub version: u64,
    /// A hash of the salt that the parts are kept under.
    pub salt: u64,
    /// The parts in order.
    pub parts: Vec<PromptChunk>,
}

/// What this node has seen and not yet told.
#[derive(Debug, Default)]
pub(crate) struct PendingPrefillReports(Vec<PrefillReport>);

impl PendingPrefillReports {
    pub(crate) fn add(&mut self, sighting: PrefillReport) {
        if self.0.len() < WAITING_MOST {
            self.0.push(sighting);
        }
    }
}

impl Placer {
    /// What this node has seen since it was last asked.
    pub fn take_prefill_reports(&mut self) -> Vec<PrefillReport> {
        std::mem::take(&mut self.sightings.0)
    }

    /// Takes in what another balancer has seen.
    pub fn apply_peer_prefill_reports(&mut self, now: Micros, sightings: &[PrefillReport]) {
        for sighting in sightings {
            let Some(server) = self.fleet.by_hash(sighting.server) else { continue };
            let life = self.fleet.servers[server as usize].life;
            let version = Some(sighting.version);
            self.keys.join(sighting.key, KeyHolder { server, life, version, used: now });
            for part in &sighting.parts {
                self.kept.set(now, server + STORES, sighting.salt, part.id, part.tokens);
            }
        }
    }
}
