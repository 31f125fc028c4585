//! The index of kept parts: which servers and stores keep a part under a salt, fed by the events of stores and by what
//! all balancers see read. Bounded by each holder's memory: what is read there, the own parts of each request included,
//! pushes out what was used longest ago, there and here alike. Bounded too by a holder's share of the index.

use std::collections::VecDeque;

use gradepaddle::cost::mix;

use crate::api::{Micros, PromptChunk};
use crate::fleet::STORES;
use crate::keys::PremixedMap;

/// So many of those that keep only a common part are looked at as sources.
const PARTIAL: usize = 16;
/// The fewest parts that a holder may have in the index.
const LEAST_SHARE: usize = 64;
/// Weight of a new observation in the time that a holder keeps what isn't used.
const LEARN_RETENTION: f32 = 1.0 / 16.0;
/// A part that was used within this share of that time is there, and one unused for as much longer as the second says is
/// not: a holder's memory has more in it than other nodes know of.
const KEPT_FROM: f32 = 0.4;
const KEPT_TO: f32 = 0.8;
/// What is still believed of a part that should be gone.
const LEAST_TRUST: f32 = 0.05;
const MICROS_PER_MS: Micros = 1_000;

#[derive(Clone, Copy, Debug)]
struct Hold {
    holder: u32,
    tokens: u32,
    stamp: u32,
    /// When it was last used, in milliseconds.
    used_ms: u32,
}

/// Most parts are kept at one place, which then costs no allocation.
#[derive(Clone, Debug)]
enum Holds {
    One(Hold),
    /// Sorted by holder.
    Many(Vec<Hold>),
}

impl Holds {
    fn all(&self) -> &[Hold] {
        match self {
            Holds::One(hold) => std::slice::from_ref(hold),
            Holds::Many(holds) => holds,
        }
    }

    fn find(&self, holder: u32) -> Option<&Hold> {
        let holds = self.all();
        holds.binary_search_by_key(&holder, |hold| hold.holder).ok().map(|at| &holds[at])
    }

    fn find_mut(&mut self, holder: u32) -> Option<&mut Hold> {
        match self {
            Holds::One(hold) => (hold.holder == holder).then_some(hold),
            Holds::Many(holds) => {
                let at = holds.binary_search_by_key(&holder, |hold| hold.holder).ok()?;
                holds.get_mut(at)
            }
        }
    }

    fn insert(&mut self, hold: Hold) {
        if let Holds::One(first) = self {
            *self = Holds::Many(vec![*first]);
        }
        if let Holds::Many(holds) = self {
            let at = holds.partition_point(|other| other.holder < hold.holder);
            holds.insert(at, hold);
        }
    }

    /// Takes a holder out; true if none is left.
    fn remove(&mut self, holder: u32) -> bool {
        match self {
            Holds::One(_) => true,
            Holds::Many(holds) => {
                holds.retain(|hold| hold.holder != holder);
                if let [last] = holds[..] {
                    *self = Holds::One(last);
                }
                false
            }
        }
    }
}

/// A server or store in the index.
#[derive(Debug, Default)]
struct Holder {
    /// Its parts in the order of their use, as far as known; those touched since are moved when met.
    queue: VecDeque<(u64, u32)>,
    parts: usize,
    tokens: u64,
    /// Tokens that it can keep; 0 if unknown.
    room: u64,
    /// How long it keeps what isn't used, in milliseconds; none as long as nothing had to make room.
    retention_ms: Option<f32>,
}

impl Holder {
    /// A part made room that was last used so long ago.
    fn learn_retention(&mut self, unused_ms: u32) {
        let unused = unused_ms as f32;
        let mean = self.retention_ms.map_or(unused, |mean| mean + (unused - mean) * LEARN_RETENTION);
        self.retention_ms = Some(mean);
    }

    /// How far a part that was last used so long ago is believed to be there still.
    fn trust(&self, unused_ms: u32) -> f32 {
        let Some(retention) = self.retention_ms else { return 1.0 };
        let share = unused_ms as f32 / retention.max(1.0);
        ((KEPT_TO - share) / (KEPT_TO - KEPT_FROM)).clamp(LEAST_TRUST, 1.0)
    }
}

/// What a holder has of a prompt: tokens of its head, without a gap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CachedPrefix {
    pub(crate) holder: u32,
    pub(crate) tokens: u32,
    /// How far it is believed to have them still: a server drops without a word what was unused for long.
    pub(crate) trust: f32,
}

/// The index.
#[derive(Debug, Default)]
pub(crate) struct PrefixCacheIndex {
    places: PremixedMap<Holds>,
    holders: Vec<Holder>,
    active: usize,
    most: usize,
    stamp: u32,
}

/// The key of a part under a salt, which is the same at all nodes.
pub(crate) fn place(salt: u64, part: u64) -> u64 {
    mix(salt ^ mix(part))
}

fn milliseconds(now: Micros) -> u32 {
    (now / MICROS_PER_MS) as u32
}

/// Tokens of a chain of parts that a holder has without a gap, and when the last part of them was used.
fn kept_of(holder: u32, parts: &[PromptChunk], chain: &[Option<&Holds>]) -> (u32, u32) {
    let (mut sum, mut used_ms) = (0, 0);
    for (part, holds) in parts.iter().zip(chain) {
        let Some(hold) = holds.and_then(|holds| holds.find(holder)) else { break };
        let tokens = hold.tokens.min(part.tokens);
        sum += tokens;
        used_ms = hold.used_ms;
        if tokens < part.tokens {
            break;
        }
    }
    (sum, used_ms)
}

impl PrefixCacheIndex {
    pub(crate) fn new(most: usize) -> PrefixCacheIndex {
        PrefixCacheIndex { most, ..PrefixCacheIndex::default() }
    }

    /// How many pairs of part and holder are known.
    pub(crate) fn len(&self) -> usize {
        self.holders.iter().map(|holder| holder.parts).sum()
    }

    /// How many parts a holder is believed to keep.
    pub(crate) fn parts_of(&self, holder: u32) -> usize {
        self.holders.get(holder as usize).map_or(0, |holder| holder.parts)
    }

    fn holder(&mut self, holder: u32) -> &mut Holder {
        let at = holder as usize;
        if at >= self.holders.len() {
            self.holders.resize_with(at + 1, Holder::default);
        }
        &mut self.holders[at]
    }

    /// How many tokens a holder can keep.
    pub(crate) fn set_room(&mut self, now: Micros, holder: u32, tokens: u64) {
        self.holder(holder).room = tokens;
        self.evict(now, holder);
    }

    /// A holder keeps this many tokens of a part now; 0 is none.
    pub(crate) fn set(&mut self, now: Micros, holder: u32, salt: u64, part: u64, tokens: u32) {
        self.set_key(now, holder, place(salt, part), tokens);
    }

    /// The same of the part with this key.
    pub(crate) fn set_key(&mut self, now: Micros, holder: u32, key: u64, tokens: u32) {
        if tokens == 0 {
            return self.remove(holder, key);
        }
        self.stamp = self.stamp.wrapping_add(1);
        let hold = Hold { holder, tokens, stamp: self.stamp, used_ms: milliseconds(now) };
        if let Some(known) = self.places.get_mut(&key).and_then(|holds| holds.find_mut(holder)) {
            let was = std::mem::replace(known, hold).tokens;
            let totals = self.holder(holder);
            totals.tokens = totals.tokens + u64::from(tokens) - u64::from(was);
        } else {
            match self.places.get_mut(&key) {
                Some(holds) => holds.insert(hold),
                None => drop(self.places.insert(key, Holds::One(hold))),
            }
            let first = self.holder(holder).parts == 0;
            self.active += usize::from(first);
            let totals = self.holder(holder);
            totals.queue.push_back((key, hold.stamp));
            totals.parts += 1;
            totals.tokens += u64::from(tokens);
        }
        self.evict(now, holder);
    }

    fn remove(&mut self, holder: u32, key: u64) {
        let Some(holds) = self.places.get_mut(&key) else { return };
        let Some(hold) = holds.find(holder).copied() else { return };
        if holds.remove(holder) {
            self.places.remove(&key);
        }
        let totals = &mut self.holders[holder as usize];
        totals.parts -= 1;
        totals.tokens -= u64::from(hold.tokens);
        self.active -= usize::from(totals.parts == 0);
        if totals.queue.len() > 2 * totals.parts + LEAST_SHARE {
            self.tidy(holder);
        }
    }

    /// Drops from a holder's queue what it no longer keeps.
    fn tidy(&mut self, holder: u32) {
        let mut queue = std::mem::take(&mut self.holders[holder as usize].queue);
        let stamp = |key: u64| Some(self.places.get(&key)?.find(holder)?.stamp);
        let mut seen = std::collections::HashSet::with_capacity(queue.len());
        queue.retain_mut(|(key, at)| {
            stamp(*key).is_some_and(|stamp| {
                *at = stamp;
                seen.insert(*key)
            })
        });
        queue.make_contiguous().sort_by_key(|(_, at)| *at);
        queue.shrink_to_fit();
        self.holders[holder as usize].queue = queue;
    }

    fn evict(&mut self, now: Micros, holder: u32) {
        let share = (self.most / self.active.max(1)).max(LEAST_SHARE);
        let at = holder as usize;
        loop {
            let totals = &self.holders[at];
            let over = totals.parts > share || (totals.room > 0 && totals.tokens > totals.room);
            if !over || totals.parts <= 1 {
                return;
            }
            let Some((key, stamp)) = self.holders[at].queue.pop_front() else { return };
            match self.places.get(&key).and_then(|holds| holds.find(holder)).copied() {
                Some(hold) if hold.stamp != stamp => self.holders[at].queue.push_back((key, hold.stamp)),
                Some(hold) => {
                    self.remove(holder, key);
                    let unused_ms = milliseconds(now).saturating_sub(hold.used_ms);
                    self.holders[at].learn_retention(unused_ms);
                }
                None => {}
            }
        }
    }

    /// Nothing is known of a holder any more.
    pub(crate) fn forget(&mut self, holder: u32) {
        let Some(totals) = self.holders.get_mut(holder as usize) else { return };
        let room = totals.room;
        for (key, _) in std::mem::take(&mut totals.queue) {
            self.remove(holder, key);
        }
        self.holders[holder as usize] = Holder { room, ..Holder::default() };
    }

    fn trust(&self, holder: u32, unused_ms: u32) -> f32 {
        // Stores tell what they drop.
        if holder < STORES {
            return 1.0;
        }
        self.holders.get(holder as usize).map_or(1.0, |holder| holder.trust(unused_ms))
    }

    fn chain(&self, salt: u64, parts: &[PromptChunk]) -> Vec<Option<&Holds>> {
        parts.iter().map(|part| self.places.get(&place(salt, part.id))).collect()
    }

    /// What a holder keeps of a chain of parts under a salt, from its first part on.
    pub(crate) fn head_of(&self, holder: u32, salt: u64, parts: &[PromptChunk]) -> u32 {
        kept_of(holder, parts, &self.chain(salt, parts)).0
    }

    /// Who keeps how much of a chain: all that keep of its last part, and of those that keep only what other chains
    /// share, a few, which differ by chain. In the order of holders.
    pub(crate) fn heads(&self, now: Micros, salt: u64, parts: &[PromptChunk]) -> Vec<CachedPrefix> {
        let chain = self.chain(salt, parts);
        let Some((last, before)) = chain.split_last() else { return Vec::new() };
        let mut holders: Vec<u32> =
            last.iter().flat_map(|holds| holds.all()).map(|hold| hold.holder).collect();
        for holds in before.iter().flatten() {
            let all = holds.all();
            let from = mix(parts.last().map_or(0, |part| part.id)) as usize % all.len();
            holders.extend(all[from..].iter().chain(&all[..from]).take(PARTIAL).map(|hold| hold.holder));
        }
        holders.sort_unstable();
        holders.dedup();
        let now_ms = milliseconds(now);
        let head = |holder| {
            let (tokens, used_ms) = kept_of(holder, parts, &chain);
            CachedPrefix { holder, tokens, trust: self.trust(holder, now_ms.saturating_sub(used_ms)) }
        };
        holders.into_iter().map(head).filter(|head| head.tokens > 0).collect()
    }

    /// Bytes that the index takes, from the sizes of its tables.
    pub(crate) fn bytes(&self) -> usize {
        let bucket = size_of::<(u64, Holds)>() + 1;
        let lists = self.places.values().map(|holds| match holds {
            Holds::One(_) => 0,
            Holds::Many(holds) => holds.capacity() * size_of::<Hold>(),
        });
        let queues = self.holders.iter().map(|holder| holder.queue.capacity() * size_of::<(u64, u32)>());
        let tables = self.places.capacity() * 8 / 7 * bucket + self.holders.capacity() * size_of::<Holder>();
        tables + lists.sum::<usize>() + queues.sum::<usize>()
    }
}
