//! The items of a node: the highest stamp wins, tombstones expire.
//!
//! For the first three quarters of its lifetime, a tombstone is part of the range hashes and is sent to nodes without an
//! item of its name. In the last quarter it is dormant: it still wins against older items and is sent to nodes that have
//! one, but to no others. Otherwise a node whose tombstone expires slightly earlier would get it back from its peers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::config::micros;
use crate::item::{KnownAge, Name};
use crate::ranges::Ranges;
use crate::{AgedItem, Entry, Item, Kind, Stamp};

/// A tombstone is dormant for the last `1 / DORMANT_FRACTION` of its lifetime.
const DORMANT_FRACTION: u64 = 4;

/// An item with its local times, in microseconds.
#[derive(Debug)]
struct StoredItem {
    item: Item,
    merged_at: u64,
    age: KnownAge,
    /// When a tombstone expires; unused for other items.
    expires_at: u64,
}

/// All items of a node.
#[derive(Debug)]
pub(crate) struct ItemStore {
    tombstone_ttl: u64,
    by_kind: BTreeMap<Kind, BTreeMap<Arc<str>, StoredItem>>,
    live: usize,
    ranges: Ranges,
    /// When tombstones become dormant or expire.
    due: BTreeSet<(u64, Name)>,
}

impl ItemStore {
    pub(crate) fn new(tombstone_ttl: Duration) -> Self {
        let (by_kind, due) = (BTreeMap::new(), BTreeSet::new());
        Self { tombstone_ttl: micros(tombstone_ttl), by_kind, live: 0, ranges: Ranges::new(), due }
    }

    pub(crate) fn ranges(&self) -> &Ranges {
        &self.ranges
    }

    /// The number of items, without tombstones.
    pub(crate) fn len(&self) -> usize {
        self.live
    }

    /// The items of one kind, without tombstones.
    pub(crate) fn items(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.by_kind
            .get(&kind)
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(|stored| &stored.item)
            .filter(|item| !item.removed)
    }

    /// An item, which may be a tombstone.
    pub(crate) fn get(&self, kind: Kind, key: &str) -> Option<&Item> {
        self.stored(kind, key).map(|stored| &stored.item)
    }

    /// Whether an item of this name is known with this stamp or a higher one.
    pub(crate) fn holds(&self, kind: Kind, key: &str, stamp: Stamp) -> bool {
        self.get(kind, key).is_some_and(|item| item.stamp >= stamp)
    }

    /// Whether an item of this name is known with exactly this stamp.
    pub(crate) fn holds_exactly(&self, kind: Kind, key: &str, stamp: Stamp) -> bool {
        self.get(kind, key).is_some_and(|item| item.stamp == stamp)
    }

    /// Whether the item was merged after that time.
    pub(crate) fn is_merged_after(&self, entry: &Entry, time: u64) -> bool {
        self.stored(entry.kind, &entry.key).is_some_and(|stored| stored.merged_at > time)
    }

    /// Time since the item's publication, in microseconds.
    pub(crate) fn age(&self, now: u64, kind: Kind, key: &str) -> Option<u64> {
        self.stored(kind, key).map(|stored| stored.age.at(now))
    }

    /// The item with its age, as messages carry it.
    pub(crate) fn aged(&self, now: u64, kind: Kind, key: &str) -> Option<AgedItem> {
        let stored = self.stored(kind, key)?;
        Some(AgedItem { item: stored.item.clone(), age_ms: stored.age.millis_at(now) })
    }

    /// Merges an item: the higher stamp wins. Returns whether the item was newer than the known one. A tombstone that has
    /// already expired is not stored where no item of its name is known.
    pub(crate) fn merge(&mut self, now: u64, aged: &AgedItem) -> bool {
        let AgedItem { item, age_ms } = aged;
        let age = KnownAge::new(now, *age_ms);
        let before = self.get(item.kind, &item.key);
        let is_expired_tombstone = item.removed && age.at(now) >= self.tombstone_ttl && before.is_none();
        if is_expired_tombstone || before.is_some_and(|before| before.stamp >= item.stamp) {
            return false;
        }
        let was_live = before.is_some_and(|before| !before.removed);
        self.live = self.live + usize::from(!item.removed) - usize::from(was_live);
        self.put(now, item, age);
        true
    }

    fn put(&mut self, now: u64, item: &Item, age: KnownAge) {
        let expires_at = now.saturating_add(self.tombstone_ttl.saturating_sub(age.at(now)));
        self.ranges.remove(item.kind, &item.key);
        if !item.removed || now < self.dormant_at(expires_at) {
            self.ranges.insert(item.entry());
        }
        if item.removed {
            self.due.insert((self.dormant_at(expires_at), item.entry().name()));
        }
        let stored = StoredItem { item: item.clone(), merged_at: now, age, expires_at };
        self.by_kind.entry(item.kind).or_default().insert(Arc::clone(&item.key), stored);
    }

    /// Makes tombstones dormant or drops them when due.
    pub(crate) fn expire(&mut self, now: u64) {
        while self.next_due() <= now {
            let Some((_, name)) = self.due.pop_first() else { return };
            self.expire_one(now, name);
        }
    }

    fn expire_one(&mut self, now: u64, name: Name) {
        let Some(stored) = self.stored(name.0, &name.1) else { return };
        let expires_at = stored.expires_at;
        if !stored.item.removed || now < self.dormant_at(expires_at) {
            return;
        }
        self.ranges.remove(name.0, &name.1);
        if now < expires_at {
            self.due.insert((expires_at, name));
        } else if let Some(of_kind) = self.by_kind.get_mut(&name.0) {
            of_kind.remove(&name.1);
        }
    }

    /// When the next tombstone may become dormant or expire; `u64::MAX` for never.
    pub(crate) fn next_due(&self) -> u64 {
        self.due.first().map_or(u64::MAX, |(at, _)| *at)
    }

    fn dormant_at(&self, expires_at: u64) -> u64 {
        expires_at.saturating_sub(self.tombstone_ttl / DORMANT_FRACTION)
    }

    fn stored(&self, kind: Kind, key: &str) -> Option<&StoredItem> {
        self.by_kind.get(&kind)?.get(key)
    }
}
