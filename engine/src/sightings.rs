//! What balancers see kept where, told to each other: one index of kept prompts for the fleet, as each balancer holds it.

use crate::api::{Micros, Part};
use crate::engine::Engine;
use crate::fleet::STORES;
use crate::keys::Member;

/// Sightings that wait to be told; further ones are dropped, which costs a miss at most.
const WAITING_MOST: usize = 512;

/// A server was seen to read a prompt, and so to keep its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// A hash of the server's id, the same at all nodes.
    pub server: u64,
    /// The prompt's key.
    pub key: u64,
    /// The version of the weights under which it was read.
    pub version: u64,
    /// A hash of the salt that the parts are kept under.
    pub salt: u64,
    /// The parts in order.
    pub parts: Vec<Part>,
}

/// What this node has seen and not yet told.
#[derive(Debug, Default)]
pub(crate) struct Sightings(Vec<Sighting>);

impl Sightings {
    pub(crate) fn add(&mut self, sighting: Sighting) {
        if self.0.len() < WAITING_MOST {
            self.0.push(sighting);
        }
    }
}

impl Engine {
    /// What this node has seen since it was last asked.
    pub fn take_sightings(&mut self) -> Vec<Sighting> {
        std::mem::take(&mut self.sightings.0)
    }

    /// Takes in what another balancer has seen.
    pub fn peer_sightings(&mut self, now: Micros, sightings: &[Sighting]) {
        for sighting in sightings {
            let Some(server) = self.fleet.by_hash(sighting.server) else { continue };
            let life = self.fleet.servers[server as usize].life;
            let version = Some(sighting.version);
            self.keys.join(sighting.key, Member { server, life, version, used: now });
            for part in &sighting.parts {
                self.kept.set(now, server + STORES, sighting.salt, part.id, part.tokens);
            }
        }
    }
}
