//! Where a selected server fetches the shared prefix of a prompt from, and where it saves it.

use super::{CACHED_SHARE, PlacementQuery, Placer, PrefillPlan};
use crate::cache_holder::CacheHolder;
use crate::key_table::OrderedSave;
use crate::kv_transfer::{MIN_TOKENS, TransferNeed, TransferSource};
use crate::selection::{Selection, home};
use crate::time::Micros;

/// The chunks of a key are saved again after this long if the store has not reported them.
const SAVE_RETRY_PAUSE: Micros = 5_000_000;
/// A server sends a store the complete prompt, also the chunk that only its own request has. While saves do not arrive, since
/// the store's link carries no more, prompts are not saved whose own tokens are more than this many times the shared ones: a
/// later one will do.
const MAX_OWN_TOKENS_FACTOR: f64 = 2.0;

impl PrefillPlan {
    fn is_mostly_own(&self) -> bool {
        f64::from(self.own_tokens) > MAX_OWN_TOKENS_FACTOR * f64::from(self.shared_tokens)
    }
}

impl Placer {
    /// Where the selected server fetches the shared prefix from: a holder that is known to have it, else the key's store, a
    /// server in the key's set, or the key's home, which at worst do not have it. The store comes first: it retains chunks
    /// for longer.
    pub(super) fn find_source(
        &mut self,
        now: Micros,
        service: usize,
        query: &PlacementQuery,
        selection: &Selection,
        need: TransferNeed,
    ) -> Option<TransferSource> {
        let same_version = query.prefixes.iter().find(|known| Some(known.version) == selection.version);
        let known = same_version.and_then(|known| self.fleet.best_source(now, need, &known.prefixes));
        if known.is_some() {
            return known;
        }
        let key = query.terms.key;
        if selection.cached_share >= CACHED_SHARE {
            return self.source_in_case_of_eviction(now, key, need);
        }
        let store = self.fleet.store_for_key(now, key).map(CacheHolder::store);
        let recent = self.recent_server(key, selection.version, need.server);
        let home = self.home_server(service, query, selection.version, need);
        let holders = [store, recent, home].into_iter().flatten();
        holders.filter_map(|holder| self.fleet.guessed_source(now, need, holder)).next()
    }

    /// A source for chunks that the server is believed to have: it may have evicted them, and computing them anew costs a
    /// hundred times what asking in vain does.
    fn source_in_case_of_eviction(
        &self,
        now: Micros,
        key: u64,
        need: TransferNeed,
    ) -> Option<TransferSource> {
        let store = self.fleet.store_for_key(now, key)?;
        self.fleet.guessed_source(now, TransferNeed { cached_tokens: 0, ..need }, CacheHolder::store(store))
    }

    /// The server that most recently served the key with this version, if it is still there.
    fn recent_server(&mut self, key: u64, version: Option<u64>, besides: u32) -> Option<CacheHolder> {
        let servers = self.keys.entry(key).servers.iter();
        let others = servers.filter(|known| known.version == version && known.server.index != besides);
        let recent = others.max_by_key(|known| known.last_used)?.server;
        self.fleet.server_mut(recent)?;
        Some(CacheHolder::server(recent.index))
    }

    fn home_server(
        &self,
        service: usize,
        query: &PlacementQuery,
        version: Option<u64>,
        need: TransferNeed,
    ) -> Option<CacheHolder> {
        if need.shared_tokens < MIN_TOKENS {
            return None;
        }
        let candidates = &self.fleet.services[service].candidates;
        let home = home(&query.terms, candidates, &self.fleet.servers, version)?;
        Some(CacheHolder::server(candidates[home].server))
    }

    /// The index of the store that the shared prefix is saved to, if some of it is computed anew and no store has it.
    pub(super) fn plan_save(
        &mut self,
        now: Micros,
        query: &PlacementQuery,
        version: Option<u64>,
        plan: PrefillPlan,
    ) -> Option<u32> {
        let version = version.filter(|_| plan.computed_tokens >= MIN_TOKENS)?;
        let key = query.terms.key;
        let store = self.fleet.store_for_key(now, key)?;
        if plan.is_mostly_own() && !self.fleet.stores[store as usize].saves.saves_arrive(now) {
            return None;
        }
        let same_version = query.prefixes.iter().filter(|known| known.version == version).take(1);
        let prefixes = same_version.flat_map(|known| &known.prefixes);
        let stored = prefixes.filter(|prefix| prefix.holder.as_store().is_some());
        if stored.map(|prefix| prefix.tokens).max().unwrap_or(0) >= plan.computed_tokens {
            return None;
        }
        let entry = self.keys.entry(key);
        let was_ordered =
            entry.last_save.is_some_and(|last| last.version == version && now < last.at + SAVE_RETRY_PAUSE);
        if was_ordered {
            return None;
        }
        entry.last_save = Some(OrderedSave { at: now, version });
        self.fleet.stores[store as usize].saves.record_order(now, plan.last_chunk_key);
        Some(store)
    }
}
