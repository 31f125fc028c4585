//! What stores keep, told between balancers: a store lets only a few of them listen to its events, and the others hear from
//! one of these what it takes in and drops.

use gradepaddle::cost::hash;

use crate::api::Micros;
use crate::engine::Placer;
use crate::kept::place;

/// Changes that wait to be told; further ones are not told, which costs a reading or a save at most.
const WAITING_MOST: usize = 256;

/// A part that a store keeps another number of tokens of than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedTokens {
    /// The part under its salt, as [`chunk_key`] gives it.
    pub key: u64,
    /// Tokens that are kept now; 0 is none.
    pub tokens: u32,
}

/// What changed at a store since it was last told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreUpdate {
    /// A hash of the store's name, the same at all nodes.
    pub store: u64,
    /// Nothing that it kept before is known to be left: it restarted, or its events have a gap.
    pub reset: bool,
    /// The parts, in the order of their changes.
    pub parts: Vec<CachedTokens>,
}

/// The key of a part under a salt, which is the same at all nodes.
pub fn chunk_key(salt: &str, part: u64) -> u64 {
    place(hash(salt), part)
}

/// The hash that names a server or store to other nodes.
pub fn holder_hash(name: &str) -> u64 {
    hash(name)
}

impl Placer {
    /// Has others told what changed at a store.
    pub fn queue_store_update(&mut self, changes: StoreUpdate) {
        if self.store_changes.len() < WAITING_MOST {
            self.store_changes.push(changes);
        }
    }

    /// What is to be told to others since this was last asked.
    pub fn take_store_updates(&mut self) -> Vec<StoreUpdate> {
        std::mem::take(&mut self.store_changes)
    }

    /// Takes in what another balancer heard of a store.
    pub fn apply_peer_store_update(&mut self, now: Micros, changes: &StoreUpdate) {
        let Some(store) = self.fleet.store_by_hash(changes.store) else { return };
        if changes.reset {
            self.kept.forget(store);
        }
        for part in &changes.parts {
            self.store_keeps(now, store, part.key, part.tokens);
        }
    }

    /// A store keeps this many tokens of a part now.
    pub(crate) fn store_keeps(&mut self, now: Micros, store: u32, key: u64, tokens: u32) {
        self.kept.set_key(now, store, key, tokens);
        if tokens > 0 {
            self.fleet.stores[store as usize].saves.told(key);
        }
    }
}
