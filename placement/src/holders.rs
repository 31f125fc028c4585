//! What servers and stores tell of the parts of prompts that they keep.

use gradepaddle::cost::hash;

use crate::api::*;
use crate::engine::Placer;
use crate::fleet::STORES;
use crate::kept_changes::chunk_key;

impl Placer {
    fn holder(&self, name: &str) -> Option<u32> {
        let store = self.fleet.stores.iter().position(|store| &*store.spec.name == name);
        store.map(|at| at as u32).or_else(|| Some(self.fleet.find(name)? + STORES))
    }

    /// A server or store answered a call for its events, with or without any. A store that is not heard is no
    /// source.
    pub fn record_cache_contact(&mut self, now: Micros, holder: &str) {
        match self.holder(holder) {
            Some(at) if at < STORES => self.fleet.stores[at as usize].heard = Some(now),
            Some(at) => self.fleet.servers[(at - STORES) as usize].heard = Some(now),
            None => {}
        }
    }

    /// A server or store told of a kept part.
    pub fn apply_cache_event(&mut self, now: Micros, holder: &str, event: CacheEvent<'_>) {
        self.record_cache_contact(now, holder);
        let Some(at) = self.holder(holder) else { return };
        let (CacheEvent::Added { salt, part, tokens, .. } | CacheEvent::Dropped { salt, part, tokens, .. }) =
            event;
        match at {
            store if store < STORES => self.store_keeps(now, store, chunk_key(salt, part), tokens),
            server => self.kept.set(now, server, hash(salt), part, tokens),
        }
    }

    /// A server or store restarted, or its events have a gap: nothing is known of what it keeps.
    pub fn reset_cache_holder(&mut self, now: Micros, holder: &str) {
        self.record_cache_contact(now, holder);
        if let Some(at) = self.holder(holder) {
            self.kept.forget(at);
        }
    }

    /// A store did not answer a call: it is no source for a while. Of a server, it is left out as suspect.
    pub fn record_source_failure(&mut self, now: Micros, holder: &str) {
        match self.holder(holder) {
            Some(at) if at < STORES => self.fleet.stores[at as usize].fail(now),
            Some(_) => self.record_server_failure(now, holder),
            None => {}
        }
    }
}
