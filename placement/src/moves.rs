//! Where a server takes kept parts from, and whether it sends what it reads to a store.

use std::net::SocketAddrV4;

use crate::api::{Micros, ModelService};
use crate::fleet::{Fleet, STORES};
use crate::kept::CachedPrefix;
use crate::load::{READ_TOKENS_PER_MS, micros, ms};
use crate::server::Ejection;

/// Setting up a move, in milliseconds.
const SETUP_MS: f64 = 2.0;
/// How much longer a move between zones takes.
const BETWEEN_ZONES: f64 = 2.0;
/// What a moved prompt is taken to cost beside what it takes: moves are priced, and hold up the source's others.
const PRICE: f64 = 1.5;
/// What a moved prompt pushes out of the taker's memory is read again in part: what that costs, by the moved one's reading.
const DISPLACED: f64 = 0.2;
/// A move is worth it from so many tokens on.
pub(crate) const LEAST_TOKENS: u32 = 64;
/// A move that would wait longer is not begun at the source.
const LONGEST_WAIT_MS: f64 = 1_000.0;
/// Bits in a byte, and bits that a link of one Mbit/s moves in a millisecond.
const BITS: f64 = 8.0;
const BITS_PER_MS: f64 = 1_000.0;

/// Reading tokens anew at usual speed, in milliseconds.
pub(crate) fn read_ms(tokens: u32) -> f64 {
    f64::from(tokens) / READ_TOKENS_PER_MS
}

/// Moving tokens over a link in one zone, in milliseconds.
pub(crate) fn move_ms(spec: &ModelService, link_mbps: f64, tokens: u32) -> f64 {
    let slowest = if link_mbps > 0.0 { spec.link_mbps.min(link_mbps) } else { spec.link_mbps };
    if spec.token_bytes == 0 || slowest <= 0.0 {
        return f64::INFINITY;
    }
    SETUP_MS + f64::from(tokens) * spec.token_bytes as f64 * BITS / (slowest * BITS_PER_MS)
}

/// MissCost: reading the shared tokens anew, or fetching them if someone has them.
pub(crate) fn miss_ms(spec: &ModelService, shared: u32, has_source: bool) -> f64 {
    let read = read_ms(shared);
    let moved = PRICE * move_ms(spec, 0.0, shared) + DISPLACED * read;
    let fetched = if has_source { moved } else { f64::INFINITY };
    read.min(fetched).max(1.0)
}

/// Who needs parts, and what it has of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferNeed {
    pub(crate) server: u32,
    /// Shared tokens, and those of them that it is believed to keep.
    pub(crate) shared: u32,
    pub(crate) held: u32,
}

/// A chosen source.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferSource {
    pub(crate) holder: u32,
    pub(crate) address: SocketAddrV4,
    /// Tokens that it has beyond what the server has; 0 where it was only guessed to have them.
    pub(crate) gains: u32,
    pub(crate) takes_ms: f64,
}

impl Fleet {
    /// The address, zone, link and end of moves of a holder that may be asked now.
    fn askable(&self, now: Micros, holder: u32) -> Option<(SocketAddrV4, u16, f64, Micros)> {
        if holder < STORES {
            let store = self.stores.get(holder as usize).filter(|store| store.usable(now))?;
            return Some((store.spec.address, store.zone, store.spec.link_mbps, store.moving_until));
        }
        let server = &self.servers[(holder - STORES) as usize];
        let link = self.services[server.service as usize].spec.link_mbps;
        (server.bar(now) <= Ejection::Closed).then_some((
            server.address,
            server.zone,
            link,
            server.moving_until,
        ))
    }

    /// Counts a move: later ones from the same source wait for it.
    pub(crate) fn begin_move(&mut self, now: Micros, source: &TransferSource) {
        let until = match source.holder.checked_sub(STORES) {
            Some(server) => &mut self.servers[server as usize].moving_until,
            None => &mut self.stores[source.holder as usize].moving_until,
        };
        *until = (*until).max(now) + micros(source.takes_ms);
    }

    /// The best of those that are believed to keep more of the prompt than the server.
    pub(crate) fn source(
        &self,
        now: Micros,
        need: TransferNeed,
        heads: &[CachedPrefix],
    ) -> Option<TransferSource> {
        let taker = &self.servers[need.server as usize];
        let (zone, spec) = (taker.zone, &self.services[taker.service as usize].spec);
        let value = |head: &CachedPrefix| {
            let gains = head.tokens.min(need.shared).checked_sub(need.held).filter(|g| *g >= LEAST_TOKENS)?;
            if head.holder == need.server + STORES {
                return None;
            }
            let (address, from, link, until) = self.askable(now, head.holder)?;
            let wait = ms(until.saturating_sub(now));
            let far = if from == zone { 1.0 } else { BETWEEN_ZONES };
            let takes_ms = move_ms(spec, link, gains) * far;
            let saves = read_ms(gains) * f64::from(head.trust) - takes_ms - wait;
            let source = TransferSource { holder: head.holder, address, gains, takes_ms };
            (saves > 0.0 && wait < LONGEST_WAIT_MS).then_some((saves, source))
        };
        let (_, source) = heads.iter().filter_map(value).max_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(source)
    }

    /// One that may well have the parts, though nothing is known: a miss costs it a millisecond.
    pub(crate) fn guess(&self, now: Micros, need: TransferNeed, holder: u32) -> Option<TransferSource> {
        if need.shared - need.held.min(need.shared) < LEAST_TOKENS || holder == need.server + STORES {
            return None;
        }
        let (address, ..) = self.askable(now, holder)?;
        Some(TransferSource { holder, address, gains: 0, takes_ms: 0.0 })
    }

    /// The store that keeps a key's parts: by agreement, among those that can be asked.
    pub(crate) fn store_of(&self, now: Micros, key: u64) -> Option<u32> {
        let mut usable = (0..self.stores.len() as u32).filter(|at| self.stores[*at as usize].usable(now));
        let count = usable.clone().count() as u64;
        if count == 0 { None } else { usable.nth((key % count) as usize) }
    }
}
