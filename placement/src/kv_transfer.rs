//! KV transfers: what it costs to move cached chunks between servers and stores, and which holder to fetch them from.

use std::net::SocketAddrV4;

use crate::cache_holder::CacheHolder;
use crate::ejection::EjectionReason;
use crate::endpoint::ModelService;
use crate::fleet::Fleet;
use crate::prefix_index::CachedPrefix;
use crate::server_load::PREFILL_TOKENS_PER_MS;
use crate::time::{Micros, from_ms, to_ms};

/// The set-up time of a transfer in milliseconds.
const SETUP_MS: f64 = 2.0;
/// The factor by which a transfer between zones takes longer.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// The factor between the cost of a transfer and its duration: transfers are charged for, and delay others of the same source.
const PRICE_FACTOR: f64 = 1.5;
/// The cost of chunks that a transferred prefix evicts at its destination, some of which are computed again, as a share of
/// the prefill time of the transferred prefix.
const EVICTION_COST_SHARE: f64 = 0.2;
/// A transfer or save of fewer tokens than this is not worthwhile.
pub(crate) const MIN_TOKENS: u32 = 64;
/// A transfer that would wait longer than this for its source's link is not started.
const MAX_LINK_WAIT_MS: f64 = 1_000.0;
const BITS_PER_BYTE: f64 = 8.0;
/// Bits that a link of one Mbit/s carries in a millisecond.
const BITS_PER_MS_OF_MBPS: f64 = 1_000.0;
/// The lowest cost of a miss, in milliseconds.
const MIN_MISS_MS: f64 = 1.0;

/// The prefill time of tokens at standard speed, in milliseconds.
pub(crate) fn prefill_ms(tokens: u32) -> f64 {
    f64::from(tokens) / PREFILL_TOKENS_PER_MS
}

/// The transfer time of tokens within a zone, in milliseconds, over the slower of the server's link and one of `link_mbps`; 0
/// stands for no other link.
fn transfer_ms(spec: &ModelService, link_mbps: f64, tokens: u32) -> f64 {
    let slowest = if link_mbps > 0.0 { spec.link_mbps.min(link_mbps) } else { spec.link_mbps };
    if spec.token_bytes == 0 || slowest <= 0.0 {
        return f64::INFINITY;
    }
    let bits = f64::from(tokens) * spec.token_bytes as f64 * BITS_PER_BYTE;
    SETUP_MS + bits / (slowest * BITS_PER_MS_OF_MBPS)
}

/// LARD's cost of a miss: the prefill of the shared tokens, or their transfer if that is cheaper and a holder has them.
pub(crate) fn miss_ms(spec: &ModelService, shared_tokens: u32, has_source: bool) -> f64 {
    let prefill = prefill_ms(shared_tokens);
    let transfer = PRICE_FACTOR * transfer_ms(spec, 0.0, shared_tokens) + EVICTION_COST_SHARE * prefill;
    let fetch = if has_source { transfer } else { f64::INFINITY };
    prefill.min(fetch).max(MIN_MISS_MS)
}

/// A server that needs a shared prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferNeed {
    pub(crate) server: u32,
    /// Tokens of the prefix.
    pub(crate) shared_tokens: u32,
    /// Tokens of it that the server is believed to have.
    pub(crate) cached_tokens: u32,
}

impl TransferNeed {
    /// Tokens of the prefix that the server does not have.
    pub(crate) fn missing_tokens(&self) -> u32 {
        self.shared_tokens - self.cached_tokens.min(self.shared_tokens)
    }
}

/// A holder that a prefix is fetched from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferSource {
    pub(crate) holder: CacheHolder,
    pub(crate) address: SocketAddrV4,
    /// Tokens that it has beyond those of the server; 0 if it is not known to have the prefix.
    pub(crate) gained_tokens: u32,
    pub(crate) duration_ms: f64,
}

/// A holder that chunks can be fetched from now.
struct ReachableHolder {
    address: SocketAddrV4,
    zone: u16,
    link_mbps: f64,
    link_busy_until: Micros,
}

impl Fleet {
    fn reachable_holder(&self, now: Micros, holder: CacheHolder) -> Option<ReachableHolder> {
        if let Some(store) = holder.as_store() {
            let store = self.stores.get(store as usize).filter(|store| store.is_usable(now))?;
            return Some(ReachableHolder {
                address: store.spec.address,
                zone: store.zone,
                link_mbps: store.spec.link_mbps,
                link_busy_until: store.link_busy_until,
            });
        }
        let server = &self.servers[holder.as_server()? as usize];
        let link_mbps = self.services[server.service as usize].spec.link_mbps;
        (server.ejection_reason(now) <= EjectionReason::Rejecting).then_some(ReachableHolder {
            address: server.address,
            zone: server.zone,
            link_mbps,
            link_busy_until: server.link_busy_until,
        })
    }

    /// Records a transfer, for which later ones from the same source wait.
    pub(crate) fn record_transfer(&mut self, now: Micros, source: &TransferSource) {
        let busy_until = match (source.holder.as_store(), source.holder.as_server()) {
            (Some(store), _) => &mut self.stores[store as usize].link_busy_until,
            (None, Some(server)) => &mut self.servers[server as usize].link_busy_until,
            (None, None) => return,
        };
        *busy_until = (*busy_until).max(now) + from_ms(source.duration_ms);
    }

    /// The source that saves the most time, of the holders that are believed to have more of the prefix than the server.
    pub(crate) fn best_source(
        &self,
        now: Micros,
        need: TransferNeed,
        prefixes: &[CachedPrefix],
    ) -> Option<TransferSource> {
        let rated = prefixes.iter().filter_map(|prefix| self.rated_source(now, need, prefix));
        rated.max_by(|a, b| a.saved_ms.total_cmp(&b.saved_ms)).map(|rated| rated.source)
    }

    fn rated_source(&self, now: Micros, need: TransferNeed, prefix: &CachedPrefix) -> Option<RatedSource> {
        let destination = &self.servers[need.server as usize];
        let spec = &self.services[destination.service as usize].spec;
        let available = prefix.tokens.min(need.shared_tokens);
        let gained_tokens =
            available.checked_sub(need.cached_tokens).filter(|gained| *gained >= MIN_TOKENS)?;
        if prefix.holder == CacheHolder::server(need.server) {
            return None;
        }
        let holder = self.reachable_holder(now, prefix.holder)?;
        let wait_ms = to_ms(holder.link_busy_until.saturating_sub(now));
        let zone_factor = if holder.zone == destination.zone { 1.0 } else { CROSS_ZONE_FACTOR };
        let duration_ms = transfer_ms(spec, holder.link_mbps, gained_tokens) * zone_factor;
        let saved_ms = prefill_ms(gained_tokens) * f64::from(prefix.confidence) - duration_ms - wait_ms;
        let address = holder.address;
        let source = TransferSource { holder: prefix.holder, address, gained_tokens, duration_ms };
        (saved_ms > 0.0 && wait_ms < MAX_LINK_WAIT_MS).then_some(RatedSource { source, saved_ms })
    }

    /// A holder as a source though it is not known to have the prefix: a fetch that finds nothing costs a millisecond.
    pub(crate) fn guessed_source(
        &self,
        now: Micros,
        need: TransferNeed,
        holder: CacheHolder,
    ) -> Option<TransferSource> {
        if need.missing_tokens() < MIN_TOKENS || holder == CacheHolder::server(need.server) {
            return None;
        }
        let address = self.reachable_holder(now, holder)?.address;
        Some(TransferSource { holder, address, gained_tokens: 0, duration_ms: 0.0 })
    }

    /// The index of the store that caches the chunks of a key. Nodes for which the same stores are usable agree on it.
    pub(crate) fn store_for_key(&self, now: Micros, key: u64) -> Option<u32> {
        let mut usable =
            (0..self.stores.len() as u32).filter(|index| self.stores[*index as usize].is_usable(now));
        let count = usable.clone().count() as u64;
        if count == 0 { None } else { usable.nth((key % count) as usize) }
    }
}

/// A source with the milliseconds that a fetch from it saves.
struct RatedSource {
    source: TransferSource,
    saved_ms: f64,
}
