//! Where a chosen server takes the shared parts of a prompt from, and where it saves them.

use crate::api::*;
use crate::choice::{CostTerms, Selection, home};
use crate::engine::{Placer, SOURCE_WARM};
use crate::fleet::STORES;
use crate::kept::CachedPrefix;
use crate::moves::{LEAST_TOKENS, TransferNeed, TransferSource};

/// Parts are saved again after this long if the store has not told of them.
const SAVE_AGAIN: Micros = 5_000_000;
/// A server sends a store the whole prompt, also what only its own request has. While saves don't arrive, since the store's
/// link carries no more, those are left out where that is more than this many times the shared parts: a later one will do.
const OWN_MOST: f64 = 2.0;

/// A prompt that a server reads, in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillPlan {
    /// Of the shared parts in all, and those of them that are neither kept there nor moved.
    pub(crate) shared: u32,
    pub(crate) reads: u32,
    /// Of its own part.
    pub(crate) own: u32,
    /// The last shared part under its salt.
    pub(crate) last: u64,
}

impl PrefillPlan {
    fn is_mostly_own(&self) -> bool {
        f64::from(self.own) > OWN_MOST * f64::from(self.shared)
    }
}

impl Placer {
    /// Where the chosen server takes the shared parts from: one that is known to have them, else the key's store, one
    /// in the key's set, or the key's home, which at most don't have them. The store first: it keeps parts for longer.
    pub(crate) fn find_source(
        &mut self,
        now: Micros,
        service: usize,
        terms: &CostTerms,
        pick: &Selection,
        need: TransferNeed,
        heads: &[(u64, Vec<CachedPrefix>)],
    ) -> Option<TransferSource> {
        let same = heads.iter().find(|(version, _)| Some(*version) == pick.version);
        if let Some(source) = same.and_then(|(_, heads)| self.fleet.source(now, need, heads)) {
            return Some(source);
        }
        if pick.warm >= SOURCE_WARM {
            return self.in_case_it_was_dropped(now, terms.key, need);
        }
        let members = self.keys.recall(terms.key).members.iter();
        let member = members.filter(|m| m.version == pick.version && m.server != need.server);
        let member = member.max_by_key(|m| m.used).copied();
        let holder = member.filter(|m| self.fleet.at(m.server, m.life).is_some()).map(|m| m.server + STORES);
        let rows = &self.fleet.services[service].rows;
        let home = || home(terms, rows, &self.fleet.servers, pick.version).map(|at| rows[at].server + STORES);
        let home = if need.shared >= LEAST_TOKENS { home() } else { None };
        let store = self.fleet.store_of(now, terms.key);
        [store, holder, home].into_iter().flatten().find_map(|holder| self.fleet.guess(now, need, holder))
    }

    /// A source for parts that the server is believed to keep: it may have dropped them to make room, and reading them
    /// anew costs a hundred times what asking in vain does.
    fn in_case_it_was_dropped(&self, now: Micros, key: u64, need: TransferNeed) -> Option<TransferSource> {
        let store = self.fleet.store_of(now, key)?;
        self.fleet.guess(now, TransferNeed { held: 0, ..need }, store)
    }

    /// The store that gets the shared parts, if some are read anew and no store has them.
    pub(crate) fn save(
        &mut self,
        now: Micros,
        key: u64,
        version: Option<u64>,
        prompt: PrefillPlan,
        heads: &[(u64, Vec<CachedPrefix>)],
    ) -> Option<u32> {
        let version = version.filter(|_| prompt.reads >= LEAST_TOKENS)?;
        let store = self.fleet.store_of(now, key)?;
        if prompt.is_mostly_own() && !self.fleet.stores[store as usize].saves.arrive(now) {
            return None;
        }
        let same = heads.iter().find(|(of, _)| *of == version);
        let stored = same.into_iter().flat_map(|(_, heads)| heads).filter(|head| head.holder < STORES);
        if stored.map(|head| head.tokens).max().unwrap_or(0) >= prompt.reads {
            return None;
        }
        let entry = self.keys.recall(key);
        if entry.saved.is_some_and(|(at, of)| of == version && now < at + SAVE_AGAIN) {
            return None;
        }
        entry.saved = Some((now, version));
        self.fleet.stores[store as usize].saves.ordered(now, prompt.last);
        Some(store)
    }
}
