//! The key table of LARD: which servers are believed to have the prefix of a key cached. It learns from this node's own
//! placements and from other nodes' reports, and is bounded by two generations: keys that are not used again while the
//! young generation fills are dropped.

use crate::premixed_map::PremixedMap;
use crate::server::ServerRef;
use crate::time::Micros;

/// The maximum number of servers in the set of one key; the least recently used is replaced.
const MAX_SERVERS_PER_KEY: usize = 12;

/// A server in the set of a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyServer {
    pub(crate) server: ServerRef,
    /// The model version that it served the key with.
    pub(crate) version: Option<u64>,
    pub(crate) last_used: Micros,
}

/// A save that was ordered for a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrderedSave {
    pub(crate) at: Micros,
    pub(crate) version: u64,
}

/// What is known of a key.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyEntry {
    pub(crate) servers: Vec<KeyServer>,
    /// When a server was last asked to save the key's chunks to a store.
    pub(crate) last_save: Option<OrderedSave>,
}

/// Keys with the servers that served them.
#[derive(Debug)]
pub(crate) struct KeyTable {
    young: PremixedMap<KeyEntry>,
    old: PremixedMap<KeyEntry>,
    generation_size: usize,
}

impl KeyTable {
    /// Creates an empty table with at most this many keys in each of its two generations.
    pub(crate) fn new(generation_size: usize) -> KeyTable {
        KeyTable {
            young: PremixedMap::default(),
            old: PremixedMap::default(),
            generation_size: generation_size.max(1),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// The entry of a key, which counts as used.
    pub(crate) fn entry(&mut self, key: u64) -> &mut KeyEntry {
        if !self.young.contains_key(&key) {
            let known = self.old.remove(&key).unwrap_or_default();
            if self.young.len() >= self.generation_size {
                self.old = std::mem::take(&mut self.young);
            }
            self.young.insert(key, known);
        }
        self.young.entry(key).or_default()
    }

    /// Adds a server to the set of a key, or renews it there.
    pub(crate) fn insert(&mut self, key: u64, server: KeyServer) {
        let servers = &mut self.entry(key).servers;
        if let Some(known) = servers.iter_mut().find(|known| known.server.index == server.server.index) {
            *known = server;
        } else if servers.len() < MAX_SERVERS_PER_KEY {
            servers.push(server);
        } else if let Some(oldest) = servers.iter_mut().min_by_key(|known| known.last_used) {
            *oldest = server;
        }
    }
}
