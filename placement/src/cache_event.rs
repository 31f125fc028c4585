//! Changes in the caches of servers and stores.

use gradepaddle::cost::{hash, mix};

/// One event of a holder's `kv-events` stream. Repeating an event changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent<'a> {
    /// A chunk was cached.
    Added {
        /// The salt that it is cached under.
        salt: &'a str,
        /// The chunk's id, as in [`PromptChunk`](crate::PromptChunk).
        chunk: u64,
        /// Tokens of it that are cached now.
        tokens: u32,
        /// The model that computed it.
        model: &'a str,
    },
    /// A chunk, or its end, was evicted.
    Dropped {
        /// The salt that it was cached under.
        salt: &'a str,
        /// The chunk's id, as in [`PromptChunk`](crate::PromptChunk).
        chunk: u64,
        /// Tokens of it that are cached now; 0 if it was evicted completely.
        tokens: u32,
        /// The model that computed it.
        model: &'a str,
    },
}

/// A change in the number of tokens of a chunk that a store has cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedTokens {
    /// The chunk under its salt, as [`chunk_key`] gives it.
    pub key: u64,
    /// Tokens that are cached now; 0 for none.
    pub tokens: u32,
}

/// The changes of a store's cache since the last update. A store accepts only a few subscribers to its events; these forward
/// the changes to the other balancers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreUpdate {
    /// A hash of the store's name, the same at all nodes.
    pub store: u64,
    /// The store restarted, or its events have a gap: no chunk cached before is known to be cached still.
    pub reset: bool,
    /// The chunks, in the order of their changes.
    pub chunks: Vec<CachedTokens>,
}

/// The key of a chunk under a salt, the same at all nodes.
pub fn chunk_key(salt: &str, chunk: u64) -> u64 {
    salted_chunk_key(hash(salt), chunk)
}

/// The same as [`chunk_key`], from the hash of the salt.
pub(crate) fn salted_chunk_key(salt_hash: u64, chunk: u64) -> u64 {
    mix(salt_hash ^ mix(chunk))
}

/// The hash that identifies a server or store in messages between nodes.
pub fn holder_hash(name: &str) -> u64 {
    hash(name)
}
