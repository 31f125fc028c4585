//! What servers and stores report of their caches, and what balancers forward of it to each other.

use gradepaddle::cost::hash;

use super::Placer;
use crate::cache_event::{CacheEvent, StoreUpdate, chunk_key};
use crate::cache_holder::CacheHolder;
use crate::time::Micros;

/// Updates of stores that wait to be sent; further ones are dropped, which costs a prefill or a save at most.
const MAX_PENDING_UPDATES: usize = 256;

impl Placer {
    fn cache_holder(&self, name: &str) -> Option<CacheHolder> {
        let store = self.fleet.stores.iter().position(|store| &*store.spec.name == name);
        let store = store.map(|index| CacheHolder::store(index as u32));
        store.or_else(|| self.fleet.server_index(name).map(CacheHolder::server))
    }

    /// A server or store answered a call for its events, with or without any. A store without contact is no source.
    pub fn record_cache_contact(&mut self, now: Micros, holder: &str) {
        let Some(holder) = self.cache_holder(holder) else { return };
        if let Some(store) = holder.as_store() {
            self.fleet.stores[store as usize].last_contact = Some(now);
        } else if let Some(server) = holder.as_server() {
            self.fleet.servers[server as usize].last_contact = Some(now);
        }
    }

    /// A server or store reported a change of its cache.
    pub fn apply_cache_event(&mut self, now: Micros, holder: &str, event: CacheEvent<'_>) {
        self.record_cache_contact(now, holder);
        let Some(holder) = self.cache_holder(holder) else { return };
        let (CacheEvent::Added { salt, chunk, tokens, .. } | CacheEvent::Dropped { salt, chunk, tokens, .. }) =
            event;
        match holder.as_store() {
            Some(store) => self.set_stored_tokens(now, store, chunk_key(salt, chunk), tokens),
            None => self.prefix_index.set(now, holder, hash(salt), chunk, tokens),
        }
    }

    /// A server or store restarted, or its events have a gap: nothing is known of its cache.
    pub fn reset_cache_holder(&mut self, now: Micros, holder: &str) {
        self.record_cache_contact(now, holder);
        if let Some(holder) = self.cache_holder(holder) {
            self.prefix_index.forget_holder(holder);
        }
    }

    /// A call to a server or store failed: a store is no source for a while, a server is ejected.
    pub fn record_source_failure(&mut self, now: Micros, holder: &str) {
        let Some(known) = self.cache_holder(holder) else { return };
        match known.as_store() {
            Some(store) => self.fleet.stores[store as usize].record_failure(now),
            None => self.record_server_failure(now, holder),
        }
    }

    /// Queues what changed at a store for the other balancers.
    pub fn queue_store_update(&mut self, update: StoreUpdate) {
        if self.store_updates.len() < MAX_PENDING_UPDATES {
            self.store_updates.push(update);
        }
    }

    /// Takes the updates that were queued since the last call.
    pub fn take_store_updates(&mut self) -> Vec<StoreUpdate> {
        std::mem::take(&mut self.store_updates)
    }

    /// Takes in what another balancer received from a store.
    pub fn apply_peer_store_update(&mut self, now: Micros, update: &StoreUpdate) {
        let Some(store) = self.fleet.store_index_by_hash(update.store) else { return };
        if update.reset {
            self.prefix_index.forget_holder(CacheHolder::store(store));
        }
        for chunk in &update.chunks {
            self.set_stored_tokens(now, store, chunk.key, chunk.tokens);
        }
    }

    /// A store has this many tokens of a chunk now.
    fn set_stored_tokens(&mut self, now: Micros, store: u32, key: u64, tokens: u32) {
        self.prefix_index.set_by_key(now, CacheHolder::store(store), key, tokens);
        if tokens > 0 {
            self.fleet.stores[store as usize].saves.record_arrival(key);
        }
    }
}
