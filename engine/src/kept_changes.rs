//! What holders of kept parts say of their memory, told between balancers: one of them listens to each holder's events.
//!
//! What a server takes in is seen by whoever sent it there ([`crate::sightings`]). What it drops to make room shows only in
//! its events, and a holder that dropped a part costs its reading anew: a server asked in vain is the only one asked. A
//! store lets only a few balancers listen; the others hear from one of them what it takes in and drops.

use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle::cost::hash;

use crate::api::{Micros, ServerState};
use crate::engine::Engine;
use crate::fleet::STORES;
use crate::kept::place;

/// Holders whose changes wait to be told; further ones are not told, which costs a reading at most.
const WAITING_MOST: usize = 256;

/// A part that a holder keeps another number of tokens of than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptTokens {
    /// The part under its salt, as [`kept_key`] gives it.
    pub key: u64,
    /// Tokens that are kept now; 0 is none.
    pub tokens: u32,
}

/// What changed at a holder since it was last heard: of a store all that changed, of a server what it dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptChanges {
    /// A hash of the holder's id or name, the same at all nodes.
    pub holder: u64,
    /// Nothing else was dropped.
    pub whole: bool,
    /// Nothing that it kept before is left: it restarted.
    pub everything: bool,
    /// The parts.
    pub parts: Vec<KeptTokens>,
}

/// A server whose memory keeps parts of prompts, and where its events are asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeepingServer {
    /// Its id.
    pub id: Arc<str>,
    /// A hash of its id, the same at all nodes.
    pub hash: u64,
    /// Its address.
    pub address: SocketAddrV4,
}

/// The key of a part under a salt, which is the same at all nodes.
pub fn kept_key(salt: &str, part: u64) -> u64 {
    place(hash(salt), part)
}

/// The hash that names a holder to other nodes.
pub fn holder_hash(name: &str) -> u64 {
    hash(name)
}

impl Engine {
    /// The servers whose events are worth listening to.
    pub fn keeping_servers(&self) -> Vec<KeepingServer> {
        let keeps = |service: u32| self.fleet.services[service as usize].spec.cache_tokens > 0;
        let servers = self.fleet.ids().map(|at| &self.fleet.servers[at as usize]);
        let mut keeping: Vec<KeepingServer> = servers
            .filter(|server| matches!(server.state, ServerState::Ready | ServerState::Draining))
            .filter(|server| keeps(server.service))
            .map(|server| KeepingServer { id: server.id.clone(), hash: server.hash, address: server.address })
            .collect();
        keeping.sort_by(|a, b| a.id.cmp(&b.id));
        keeping
    }

    /// This node heard what changed at a server, which counts here and is to be told.
    pub fn server_changed(&mut self, now: Micros, changes: KeptChanges) {
        self.peer_kept_changes(now, &changes);
        self.tell_kept_changes(changes);
    }

    /// Has others told what changed at a holder.
    pub fn tell_kept_changes(&mut self, changes: KeptChanges) {
        if self.kept_changes.len() < WAITING_MOST {
            self.kept_changes.push(changes);
        }
    }

    /// What is to be told to others since this was last asked.
    pub fn take_kept_changes(&mut self) -> Vec<KeptChanges> {
        std::mem::take(&mut self.kept_changes)
    }

    /// Takes in what another balancer heard of a holder.
    pub fn peer_kept_changes(&mut self, now: Micros, changes: &KeptChanges) {
        if let Some(server) = self.fleet.by_hash(changes.holder) {
            self.take_server_drops(now, server, changes);
        } else if let Some(store) = self.fleet.store_by_hash(changes.holder) {
            self.take_store_changes(now, store, changes);
        }
    }

    fn take_server_drops(&mut self, now: Micros, server: u32, changes: &KeptChanges) {
        let holder = server + STORES;
        if changes.everything {
            self.kept.forget(holder);
        }
        for part in &changes.parts {
            self.kept.dropped(now, holder, part.key, part.tokens);
        }
        if changes.whole {
            self.kept.drops_told(now, holder);
            self.fleet.servers[server as usize].heard = Some(now);
        }
    }

    /// A store keeps this many tokens of a part now.
    pub(crate) fn store_keeps(&mut self, now: Micros, store: u32, key: u64, tokens: u32) {
        self.kept.set_key(now, store, key, tokens);
        if tokens > 0 {
            self.fleet.stores[store as usize].saves.told(key);
        }
    }

    fn take_store_changes(&mut self, now: Micros, store: u32, changes: &KeptChanges) {
        if changes.everything {
            self.kept.forget(store);
        }
        for part in &changes.parts {
            self.store_keeps(now, store, part.key, part.tokens);
        }
    }
}
