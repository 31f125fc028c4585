//! Cache events of servers and stores, and the store updates that balancers forward to each other.

use gradepaddle::cost::hash;

use super::Placer;
use crate::cache_event::{CacheEvent, StoreUpdate, chunk_key};
use crate::cache_holder::CacheHolder;
use crate::time::Micros;

/// The maximum number of store updates that wait to be sent; further ones are dropped, which costs a prefill or a save each
/// at most.
const MAX_PENDING_UPDATES: usize = 256;

impl Placer {
    fn cache_holder(&self, name: &str) -> Option<CacheHolder> {
        let store = self.fleet.stores.iter().position(|store| &*store.spec.name == name);
        let store = store.map(|index| CacheHolder::store(index as u32));
        store.or_else(|| self.fleet.server_index(name).map(CacheHolder::server))
    }

    /// Records that a server or store answered a call for its events, with or without any. A store without recent contact is
    /// not used as a source of transfers.
    pub fn record_cache_contact(&mut self, now: Micros, holder: &str) {
        let Some(holder) = self.cache_holder(holder) else { return };
        if let Some(store) = holder.as_store() {
            self.fleet.stores[store as usize].last_contact = Some(now);
        } else if let Some(server) = holder.as_server() {
            self.fleet.servers[server as usize].last_contact = Some(now);
        }
    }

    /// Applies a cache event of a server or store.
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

    /// Removes the cached chunks of a server or store from the index, since it restarted or its events have a gap.
    pub fn reset_cache_holder(&mut self, now: Micros, holder: &str) {
        self.record_cache_contact(now, holder);
        if let Some(holder) = self.cache_holder(holder) {
            self.prefix_index.forget_holder(holder);
        }
    }

    /// Records a failed call to a server or store: a store is not used as a source for a while, a server is ejected.
    pub fn record_source_failure(&mut self, now: Micros, holder: &str) {
        let Some(known) = self.cache_holder(holder) else { return };
        match known.as_store() {
            Some(store) => self.fleet.stores[store as usize].record_failure(now),
            None => self.record_server_failure(now, holder),
        }
    }

    /// Queues an update of a store's cache for the other balancers.
    pub fn queue_store_update(&mut self, update: StoreUpdate) {
        if self.store_updates.len() < MAX_PENDING_UPDATES {
            self.store_updates.push(update);
        }
    }

    /// Takes the updates that were queued since the last call.
    pub fn take_store_updates(&mut self) -> Vec<StoreUpdate> {
        std::mem::take(&mut self.store_updates)
    }

    /// Applies an update of a store's cache that another balancer forwarded.
    pub fn apply_peer_store_update(&mut self, now: Micros, update: &StoreUpdate) {
        let Some(store) = self.fleet.store_index_by_hash(update.store) else { return };
        if update.reset {
            self.prefix_index.forget_holder(CacheHolder::store(store));
        }
        for chunk in &update.chunks {
            self.set_stored_tokens(now, store, chunk.key, chunk.tokens);
        }
    }

    /// Sets how many tokens of a chunk a store has cached.
    fn set_stored_tokens(&mut self, now: Micros, store: u32, key: u64, tokens: u32) {
        self.prefix_index.set_by_key(now, CacheHolder::store(store), key, tokens);
        if tokens > 0 {
            self.fleet.stores[store as usize].saves.record_arrival(key);
        }
    }
}
