//! The index of cached prefixes: which servers and stores have a chunk cached under a salt. It is fed by the events of
//! stores, and by the prefills that all balancers see. It is bounded by each holder's capacity: prefills, including the
//! unshared chunks of each request, evict the least recently used chunks in the index as they do at the server. Each holder
//! is also bounded by its share of the index.

mod chunk_copies;
mod holder_state;

use std::collections::HashSet;

use gradepaddle::cost::mix;

use crate::cache_event::salted_chunk_key;
use crate::cache_holder::CacheHolder;
use crate::premixed_map::PremixedMap;
use crate::request::PromptChunk;
use crate::time::Micros;
use chunk_copies::{ChunkCopies, ChunkCopy};
use holder_state::{HolderState, QueuedUse};

/// The number of holders of each chunk before the last that are considered as sources.
const MAX_PARTIAL_HOLDERS: usize = 16;
/// The lowest bound on the chunks of one holder in the index.
const MIN_CHUNKS_PER_HOLDER: usize = 64;
const MICROS_PER_MS: Micros = 1_000;

/// The prefix of a prompt that a holder has cached without a gap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CachedPrefix {
    pub(crate) holder: CacheHolder,
    pub(crate) tokens: u32,
    /// How likely they are still cached: servers evict chunks that were not used for long, and do not report it.
    pub(crate) confidence: f32,
}

/// The cached prefixes of a prompt under one model version.
#[derive(Clone, Debug)]
pub(crate) struct VersionPrefixes {
    pub(crate) version: u64,
    pub(crate) prefixes: Vec<CachedPrefix>,
}

/// An index of the holders of each cached chunk.
#[derive(Debug, Default)]
pub(crate) struct PrefixCacheIndex {
    chunks: PremixedMap<ChunkCopies>,
    holders: Vec<HolderState>,
    /// The number of holders with any chunk.
    active_holders: usize,
    max_entries: usize,
    last_stamp: u32,
}

/// The part of a chain of chunks that a holder has without a gap.
struct ChainPrefix {
    tokens: u32,
    /// When its last chunk was last used.
    used_ms: u32,
}

fn chain_prefix(holder: CacheHolder, chunks: &[PromptChunk], chain: &[Option<&ChunkCopies>]) -> ChainPrefix {
    let mut prefix = ChainPrefix { tokens: 0, used_ms: 0 };
    for (chunk, copies) in chunks.iter().zip(chain) {
        let Some(copy) = copies.and_then(|copies| copies.find(holder)) else { break };
        let tokens = copy.tokens.min(chunk.tokens);
        prefix.tokens += tokens;
        prefix.used_ms = copy.used_ms;
        if tokens < chunk.tokens {
            break;
        }
    }
    prefix
}

fn milliseconds(now: Micros) -> u32 {
    (now / MICROS_PER_MS) as u32
}

impl PrefixCacheIndex {
    /// Creates an empty index of at most this many pairs of chunk and holder.
    pub(crate) fn new(max_entries: usize) -> PrefixCacheIndex {
        PrefixCacheIndex { max_entries, ..PrefixCacheIndex::default() }
    }

    /// The number of pairs of chunk and holder.
    pub(crate) fn len(&self) -> usize {
        self.holders.iter().map(|holder| holder.chunks).sum()
    }

    /// The number of chunks that a holder is believed to have cached.
    pub(crate) fn chunks_of(&self, holder: CacheHolder) -> usize {
        self.holders.get(holder.table_index()).map_or(0, |holder| holder.chunks)
    }

    fn holder_mut(&mut self, holder: CacheHolder) -> &mut HolderState {
        let index = holder.table_index();
        if index >= self.holders.len() {
            self.holders.resize_with(index + 1, HolderState::default);
        }
        &mut self.holders[index]
    }

    /// Sets the capacity of a holder in tokens.
    pub(crate) fn set_capacity(&mut self, now: Micros, holder: CacheHolder, tokens: u64) {
        self.holder_mut(holder).capacity = tokens;
        self.evict(now, holder);
    }

    /// Sets how many tokens of a chunk a holder has cached; 0 for none.
    pub(crate) fn set(&mut self, now: Micros, holder: CacheHolder, salt_hash: u64, chunk: u64, tokens: u32) {
        self.set_by_key(now, holder, salted_chunk_key(salt_hash, chunk), tokens);
    }

    /// The same as [`Self::set`], for the chunk with this key.
    pub(crate) fn set_by_key(&mut self, now: Micros, holder: CacheHolder, key: u64, tokens: u32) {
        if tokens == 0 {
            return self.remove(holder, key);
        }
        self.last_stamp = self.last_stamp.wrapping_add(1);
        let copy = ChunkCopy { holder, tokens, stamp: self.last_stamp, used_ms: milliseconds(now) };
        if let Some(known) = self.chunks.get_mut(&key).and_then(|copies| copies.find_mut(holder)) {
            let before = std::mem::replace(known, copy).tokens;
            let state = self.holder_mut(holder);
            state.tokens = state.tokens + u64::from(tokens) - u64::from(before);
        } else {
            self.insert(key, copy);
        }
        self.evict(now, holder);
    }

    fn insert(&mut self, key: u64, copy: ChunkCopy) {
        match self.chunks.get_mut(&key) {
            Some(copies) => copies.insert(copy),
            None => drop(self.chunks.insert(key, ChunkCopies::One(copy))),
        }
        let was_empty = self.holder_mut(copy.holder).chunks == 0;
        self.active_holders += usize::from(was_empty);
        let state = self.holder_mut(copy.holder);
        state.queue.push_back(QueuedUse { key, stamp: copy.stamp });
        state.chunks += 1;
        state.tokens += u64::from(copy.tokens);
    }

    fn remove(&mut self, holder: CacheHolder, key: u64) {
        let Some(copies) = self.chunks.get_mut(&key) else { return };
        let Some(copy) = copies.find(holder).copied() else { return };
        if copies.remove(holder) {
            self.chunks.remove(&key);
        }
        let state = &mut self.holders[holder.table_index()];
        state.chunks -= 1;
        state.tokens -= u64::from(copy.tokens);
        self.active_holders -= usize::from(state.chunks == 0);
        if state.queue.len() > 2 * state.chunks + MIN_CHUNKS_PER_HOLDER {
            self.compact_queue(holder);
        }
    }

    /// Removes the chunks from a holder's queue that it no longer has.
    fn compact_queue(&mut self, holder: CacheHolder) {
        let mut queue = std::mem::take(&mut self.holders[holder.table_index()].queue);
        let stamp = |key: u64| Some(self.chunks.get(&key)?.find(holder)?.stamp);
        let mut seen = HashSet::with_capacity(queue.len());
        queue.retain_mut(|queued| {
            stamp(queued.key).is_some_and(|stamp| {
                queued.stamp = stamp;
                seen.insert(queued.key)
            })
        });
        queue.make_contiguous().sort_by_key(|queued| queued.stamp);
        queue.shrink_to_fit();
        self.holders[holder.table_index()].queue = queue;
    }

    /// Evicts the least recently used chunks of a holder that exceeds its capacity or its share of the index.
    fn evict(&mut self, now: Micros, holder: CacheHolder) {
        let share = (self.max_entries / self.active_holders.max(1)).max(MIN_CHUNKS_PER_HOLDER);
        let index = holder.table_index();
        loop {
            let state = &self.holders[index];
            let is_over = state.chunks > share || (state.capacity > 0 && state.tokens > state.capacity);
            if !is_over || state.chunks <= 1 {
                return;
            }
            let Some(queued) = self.holders[index].queue.pop_front() else { return };
            match self.chunks.get(&queued.key).and_then(|copies| copies.find(holder)).copied() {
                Some(copy) if copy.stamp != queued.stamp => {
                    self.holders[index].queue.push_back(QueuedUse { key: queued.key, stamp: copy.stamp });
                }
                Some(copy) => {
                    self.remove(holder, queued.key);
                    let unused_ms = milliseconds(now).saturating_sub(copy.used_ms);
                    self.holders[index].learn_retention(unused_ms);
                }
                None => {}
            }
        }
    }

    /// Removes all chunks of a holder, since its cache is no longer known.
    pub(crate) fn forget_holder(&mut self, holder: CacheHolder) {
        let Some(state) = self.holders.get_mut(holder.table_index()) else { return };
        for queued in std::mem::take(&mut state.queue) {
            self.remove(holder, queued.key);
        }
        let state = &mut self.holders[holder.table_index()];
        *state = state.emptied();
    }

    fn confidence(&self, holder: CacheHolder, unused_ms: u32) -> f32 {
        // Stores report what they evict.
        if holder.as_store().is_some() {
            return 1.0;
        }
        self.holders.get(holder.table_index()).map_or(1.0, |state| state.confidence(unused_ms))
    }

    fn chain(&self, salt_hash: u64, chunks: &[PromptChunk]) -> Vec<Option<&ChunkCopies>> {
        chunks.iter().map(|chunk| self.chunks.get(&salted_chunk_key(salt_hash, chunk.id))).collect()
    }

    /// The number of tokens that a holder has of a chain of chunks under a salt, from the first chunk on.
    pub(crate) fn prefix_tokens(&self, holder: CacheHolder, salt_hash: u64, chunks: &[PromptChunk]) -> u32 {
        chain_prefix(holder, chunks, &self.chain(salt_hash, chunks)).tokens
    }

    /// The prefixes of a chain that holders have cached, in the order of holders. All holders of its last chunk are
    /// considered, and up to `MAX_PARTIAL_HOLDERS` of each earlier one, starting from a holder that differs by chain.
    pub(crate) fn prefixes(&self, now: Micros, salt_hash: u64, chunks: &[PromptChunk]) -> Vec<CachedPrefix> {
        let chain = self.chain(salt_hash, chunks);
        let Some((last, earlier)) = chain.split_last() else { return Vec::new() };
        let mut holders: Vec<CacheHolder> =
            last.iter().flat_map(|copies| copies.as_slice()).map(|copy| copy.holder).collect();
        for copies in earlier.iter().flatten() {
            let all = copies.as_slice();
            let start = mix(chunks.last().map_or(0, |chunk| chunk.id)) as usize % all.len();
            let rotated = all[start..].iter().chain(&all[..start]);
            holders.extend(rotated.take(MAX_PARTIAL_HOLDERS).map(|copy| copy.holder));
        }
        holders.sort_unstable();
        holders.dedup();
        let now_ms = milliseconds(now);
        let prefix = |holder| {
            let ChainPrefix { tokens, used_ms } = chain_prefix(holder, chunks, &chain);
            let confidence = self.confidence(holder, now_ms.saturating_sub(used_ms));
            CachedPrefix { holder, tokens, confidence }
        };
        holders.into_iter().map(prefix).filter(|prefix| prefix.tokens > 0).collect()
    }

    /// Bytes that the index occupies, from the sizes of its tables.
    pub(crate) fn bytes(&self) -> usize {
        let bucket = size_of::<(u64, ChunkCopies)>() + 1;
        let copies = self.chunks.values().map(ChunkCopies::heap_bytes);
        let queues = self.holders.iter().map(|holder| holder.queue.capacity() * size_of::<QueuedUse>());
        // Hash tables are filled to seven eighths at most.
        let tables =
            self.chunks.capacity() * 8 / 7 * bucket + self.holders.capacity() * size_of::<HolderState>();
        tables + copies.sum::<usize>() + queues.sum::<usize>()
    }
}
