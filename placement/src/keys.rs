//! The key table: which servers are believed warm for a prompt's key. Learned from this node's own sends, bounded,
//! and aged in two halves: keys that do not return while the young half fills are forgotten.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use crate::api::Micros;

/// Servers in one key's set; the least recently used gives way.
const HOLDERS: usize = 12;

/// Keys are mixed already.
#[derive(Clone, Default)]
pub(crate) struct PremixedHasher(u64);

impl Hasher for PremixedHasher {
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.0 = (self.0 << 8) | u64::from(*byte));
    }
    fn write_u64(&mut self, x: u64) {
        self.0 = x;
    }
    fn finish(&self) -> u64 {
        self.0
    }
}

pub(crate) type PremixedMap<V> = HashMap<u64, V, BuildHasherDefault<PremixedHasher>>;

/// A server in a key's set: its place and incarnation, the version it served under, and when last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyHolder {
    pub(crate) server: u32,
    pub(crate) life: u32,
    pub(crate) version: Option<u64>,
    pub(crate) used: Micros,
}

/// What is known of a key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    pub(crate) members: Vec<KeyHolder>,
    /// When a server was last told to save its parts in a store, and under which version.
    pub(crate) saved: Option<(Micros, u64)>,
}

/// Keys and their sets.
#[derive(Debug)]
pub(crate) struct KeyTable {
    young: PremixedMap<Entry>,
    old: PremixedMap<Entry>,
    half: usize,
}

impl KeyTable {
    pub(crate) fn new(half: usize) -> KeyTable {
        KeyTable { young: PremixedMap::default(), old: PremixedMap::default(), half: half.max(1) }
    }

    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// What is known of a key; consulted for every request.
    pub(crate) fn recall(&mut self, key: u64) -> &mut Entry {
        if !self.young.contains_key(&key) {
            let known = self.old.remove(&key).unwrap_or_default();
            if self.young.len() >= self.half {
                self.old = std::mem::take(&mut self.young);
            }
            self.young.insert(key, known);
        }
        self.young.entry(key).or_default()
    }

    /// The server that won joins the key's set.
    pub(crate) fn join(&mut self, key: u64, member: KeyHolder) {
        let members = &mut self.recall(key).members;
        if let Some(same) = members.iter_mut().find(|m| m.server == member.server) {
            *same = member;
        } else if members.len() < HOLDERS {
            members.push(member);
        } else if let Some(oldest) = members.iter_mut().min_by_key(|m| m.used) {
            *oldest = member;
        }
    }
}
