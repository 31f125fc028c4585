//! The holder that a selected server fetches the shared prefix of a prompt from, and the store that it saves it to.

use super::{CACHED_SHARE, Placer, PrefillPlan, SelectionInputs};
use crate::cache_holder::CacheHolder;
use crate::key_table::OrderedSave;
use crate::kv_transfer::{MIN_TOKENS, TransferNeed, TransferSource};
use crate::selection::{Selection, home};
use crate::time::Micros;

/// The chunks of a key are saved again after this long if the store has not reported them.
const SAVE_RETRY_INTERVAL: Micros = 5_000_000;
/// While saves do not arrive, since the store's link is saturated, a prompt is not saved if its own tokens are more than this
/// many times its shared ones. A server saves the complete prompt, including the chunk that belongs to its request alone, so
/// that such a save uses most of its bandwidth for a chunk that is not shared. A later request can save the same prefix.
const MAX_OWN_TOKENS_FACTOR: f64 = 2.0;

impl PrefillPlan {
    fn is_mostly_own(&self) -> bool {
        f64::from(self.own_tokens) > MAX_OWN_TOKENS_FACTOR * f64::from(self.shared_tokens)
    }
}

impl Placer {
    /// The source that the selected server fetches the shared prefix from: a holder that is known to have it, else one that
    /// may have it, which is the key's store, the server that served the key last, or the key's home. The store comes first
    /// of these: it retains chunks for longer.
    pub(super) fn find_source(
        &mut self,
        now: Micros,
        service: usize,
        inputs: &SelectionInputs,
        selection: &Selection,
        need: TransferNeed,
    ) -> Option<TransferSource> {
        let same_version = inputs.prefixes.iter().find(|known| Some(known.version) == selection.version);
        let known = same_version.and_then(|known| self.fleet.best_source(now, need, &known.prefixes));
        if known.is_some() {
            return known;
        }
        let key = inputs.terms.key;
        if selection.cached_share >= CACHED_SHARE {
            return self.source_in_case_of_eviction(now, key, need);
        }
        let store = self.fleet.store_for_key(now, key).map(CacheHolder::store);
        let recent = self.recent_server(key, selection.version, need.server);
        let home = self.home_server(service, inputs, selection.version, need);
        let holders = [store, recent, home].into_iter().flatten();
        holders.filter_map(|holder| self.fleet.guessed_source(now, need, holder)).next()
    }

    /// A source for chunks that the server is believed to have. The server may have evicted them, and computing them again
    /// costs a hundred times what a fetch costs that finds nothing.
    fn source_in_case_of_eviction(
        &self,
        now: Micros,
        key: u64,
        need: TransferNeed,
    ) -> Option<TransferSource> {
        let store = self.fleet.store_for_key(now, key)?;
        self.fleet.guessed_source(now, TransferNeed { cached_tokens: 0, ..need }, CacheHolder::store(store))
    }

    /// The server that most recently served the key with this version, other than `excluded`, if it still exists.
    fn recent_server(&mut self, key: u64, version: Option<u64>, excluded: u32) -> Option<CacheHolder> {
        let servers = self.keys.entry(key).servers.iter();
        let others = servers.filter(|known| known.version == version && known.server.index != excluded);
        let recent = others.max_by_key(|known| known.last_used)?.server;
        self.fleet.server_mut(recent)?;
        Some(CacheHolder::server(recent.index))
    }

    /// The key's home among the servers with this version, unless the shared prefix is too short for a transfer.
    fn home_server(
        &self,
        service: usize,
        inputs: &SelectionInputs,
        version: Option<u64>,
        need: TransferNeed,
    ) -> Option<CacheHolder> {
        if need.shared_tokens < MIN_TOKENS {
            return None;
        }
        let candidates = &self.fleet.services[service].candidates;
        let home = home(&inputs.terms, candidates, &self.fleet.servers, version)?;
        Some(CacheHolder::server(candidates[home].server))
    }

    /// The index of the store that the shared prefix is saved to, if some of it is computed anew and no store has it.
    pub(super) fn plan_save(
        &mut self,
        now: Micros,
        inputs: &SelectionInputs,
        version: Option<u64>,
        plan: PrefillPlan,
    ) -> Option<u32> {
        let version = version.filter(|_| plan.computed_tokens >= MIN_TOKENS)?;
        let key = inputs.terms.key;
        let store = self.fleet.store_for_key(now, key)?;
        if plan.is_mostly_own() && !self.fleet.stores[store as usize].saves.saves_arrive(now) {
            return None;
        }
        let same_version = inputs.prefixes.iter().filter(|known| known.version == version).take(1);
        let prefixes = same_version.flat_map(|known| &known.prefixes);
        let stored = prefixes.filter(|prefix| prefix.holder.as_store().is_some());
        if stored.map(|prefix| prefix.tokens).max().unwrap_or(0) >= plan.computed_tokens {
            return None;
        }
        let entry = self.keys.entry(key);
        let was_ordered = entry
            .last_save
            .is_some_and(|last| last.version == version && now < last.at + SAVE_RETRY_INTERVAL);
        if was_ordered {
            return None;
        }
        entry.last_save = Some(OrderedSave { at: now, version });
        self.fleet.stores[store as usize].saves.record_order(now, plan.last_chunk_key);
        Some(store)
    }
}
