//! For how long this node may act on the configuration that it has: evidence of which one was the newest, and when. No I/O.
//!
//! Keys that are taken away have to stop working at every node within a bound, cut off or not. So a node acts on keys only
//! as long as it knows of a moment, no longer ago than the bound, at which no newer configuration than its own had been
//! acknowledged. Only the primary can say so, within its lease; others pass on what they know with its age. What is said
//! holds for the moment at which it was asked for, whatever the answer's way took, so clocks need not agree.

use std::collections::BTreeMap;

use crate::Micros;

/// Evidence is asked for this often.
const ASK_EVERY: Micros = 500_000;
/// The same while what is known is old, or nothing is.
const ASK_EVERY_WHEN_OLD: Micros = 150_000;
/// Once the latest is older than this, others are asked besides.
const OLD_AFTER: Micros = 1_500_000;
/// A question that was not answered within this is forgotten.
const FORGOTTEN_AFTER: Micros = 5_000_000;
/// Versions for which evidence is kept.
const VERSIONS_KEPT: usize = 8;

/// Which configuration was the newest that could have been acknowledged, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Newest {
    /// Its version, 0 if there was none.
    pub version: u64,
    /// For how long that has been known, in microseconds.
    pub age: Micros,
}

/// What a node knows of the newest configuration.
#[derive(Debug)]
pub struct Freshness {
    /// How old evidence may be; none where nothing depends on it.
    bound: Option<Micros>,
    /// The latest moment at which each version was the newest.
    known: BTreeMap<u64, Micros>,
    /// Questions under way, by name, with when they were asked.
    asked: BTreeMap<u64, Micros>,
    ask_at: Micros,
}

impl Freshness {
    /// Knows nothing. Without a bound nothing is asked for.
    pub fn new(bound: Option<Micros>, now: Micros) -> Self {
        Freshness { bound, known: BTreeMap::new(), asked: BTreeMap::new(), ask_at: now }
    }

    /// Whether keys depend on evidence.
    pub fn is_required(&self) -> bool {
        self.bound.is_some()
    }

    /// True if it is time to ask. The next time follows.
    pub fn is_due(&mut self, now: Micros) -> bool {
        let due = self.is_required() && now >= self.ask_at;
        if due {
            self.ask_at = now + if self.is_old(now) { ASK_EVERY_WHEN_OLD } else { ASK_EVERY };
            self.asked.retain(|_, asked| now.saturating_sub(*asked) < FORGOTTEN_AFTER);
        }
        due
    }

    /// When [`Freshness::is_due`] is true next.
    pub fn next_wake(&self) -> Micros {
        if self.is_required() { self.ask_at } else { Micros::MAX }
    }

    /// A question of this name leaves.
    pub fn asks(&mut self, now: Micros, name: u64) {
        self.asked.insert(name, now);
    }

    /// Whether others than usual are to be asked too.
    pub fn is_old(&self, now: Micros) -> bool {
        self.latest().is_none_or(|(_, at)| now.saturating_sub(at) > OLD_AFTER)
    }

    /// An answer to the question of this name. One to no question of this process changes nothing.
    pub fn answered(&mut self, name: u64, newest: Newest) {
        if let Some(asked) = self.asked.remove(&name) {
            self.learn(asked.saturating_sub(newest.age), newest.version);
        }
    }

    /// At this moment that version was the newest.
    pub fn learn(&mut self, at: Micros, version: u64) {
        let known = self.known.entry(version).or_insert(at);
        *known = at.max(*known);
        while self.known.len() > VERSIONS_KEPT {
            self.known.pop_first();
        }
    }

    /// What is known, for others that ask.
    pub fn newest(&self, now: Micros) -> Option<Newest> {
        let (version, at) = self.latest()?;
        Some(Newest { version, age: now.saturating_sub(at) })
    }

    fn latest(&self) -> Option<(u64, Micros)> {
        self.known.iter().map(|(version, at)| (*version, *at)).max_by_key(|(_, at)| *at)
    }

    /// Until when the keys of a configuration may be acted on; none where that depends on nothing.
    pub fn keys_until(&self, version: u64) -> Option<Micros> {
        let bound = self.bound?;
        let moments = self.known.range(..=version).map(|(_, at)| *at);
        Some(moments.max().map_or(0, |at| at.saturating_add(bound)))
    }
}
