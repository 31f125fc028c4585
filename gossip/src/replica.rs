//! The items that a node holds: newest stamp wins, tombstones are kept for a while.
//!
//! A tombstone is counted in the range hashes and told to nodes that have nothing of the name for three quarters of its
//! time. For the last quarter it is held quietly: it still wins against older items, and is told to those that hold
//! one. So nodes that forget it a little earlier than others don't get it back from them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::config::micros;
use crate::item::Name;
use crate::ranges::Ranges;
use crate::{Aged, Entry, Item, Kind, Stamp};

/// The last of so many parts of a tombstone's time is quiet.
const QUIET_PART: u64 = 4;
/// One millisecond in the unit of `now`.
const MILLISECOND_US: u64 = 1_000;

/// An item with what is known of it here.
#[derive(Debug)]
struct Held {
    item: Item,
    taken_at: u64,
    /// How old it was then.
    age_then: u64,
    /// For a tombstone, when it is forgotten.
    forget_at: u64,
}

impl Held {
    fn age(&self, now: u64) -> u64 {
        self.age_then.saturating_add(now.saturating_sub(self.taken_at))
    }
}

/// All items that a node holds.
#[derive(Debug)]
pub(crate) struct Replica {
    tombstone_for: u64,
    held: BTreeMap<Kind, BTreeMap<Arc<str>, Held>>,
    living: usize,
    ranges: Ranges,
    /// When a tombstone may have to be quietened or forgotten.
    due: BTreeSet<(u64, Name)>,
}

impl Replica {
    pub(crate) fn new(tombstone_for: Duration) -> Self {
        let (held, due) = (BTreeMap::new(), BTreeSet::new());
        Self { tombstone_for: micros(tombstone_for), held, living: 0, ranges: Ranges::new(), due }
    }

    pub(crate) fn ranges(&self) -> &Ranges {
        &self.ranges
    }

    /// How many items there are, without tombstones.
    pub(crate) fn len(&self) -> usize {
        self.living
    }

    /// The items of one kind, without tombstones.
    pub(crate) fn items(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.held
            .get(&kind)
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(|held| &held.item)
            .filter(|item| !item.removed)
    }

    /// An item, which may be a tombstone.
    pub(crate) fn get(&self, kind: Kind, key: &str) -> Option<&Item> {
        self.held(kind, key).map(|held| &held.item)
    }

    /// Whether an item of this name is held in this stamp or a newer one.
    pub(crate) fn holds(&self, kind: Kind, key: &str, stamp: Stamp) -> bool {
        self.get(kind, key).is_some_and(|item| item.stamp >= stamp)
    }

    /// Whether the item came after that time.
    pub(crate) fn is_taken_after(&self, entry: &Entry, time: u64) -> bool {
        self.held(entry.kind, &entry.key).is_some_and(|held| held.taken_at > time)
    }

    /// How long ago the item was published, as far as is known here.
    pub(crate) fn age(&self, now: u64, kind: Kind, key: &str) -> Option<u64> {
        self.held(kind, key).map(|held| held.age(now))
    }

    /// The item as it is to be sent.
    pub(crate) fn aged(&self, now: u64, kind: Kind, key: &str) -> Option<Aged> {
        let held = self.held(kind, key)?;
        let age_ms = u32::try_from(held.age(now) / MILLISECOND_US).unwrap_or(u32::MAX);
        Some(Aged { item: held.item.clone(), age_ms })
    }

    /// Takes an item in if it is newer than what is held. Returns whether it was.
    pub(crate) fn take(&mut self, now: u64, aged: &Aged) -> bool {
        let Aged { item, age_ms } = aged;
        let age = u64::from(*age_ms) * MILLISECOND_US;
        let before = self.get(item.kind, &item.key);
        let is_late_tombstone = item.removed && age >= self.tombstone_for && before.is_none();
        if is_late_tombstone || before.is_some_and(|before| before.stamp >= item.stamp) {
            return false;
        }
        let was_living = before.is_some_and(|before| !before.removed);
        self.living = self.living + usize::from(!item.removed) - usize::from(was_living);
        self.put(now, item, age);
        true
    }

    fn put(&mut self, now: u64, item: &Item, age: u64) {
        let forget_at = now.saturating_add(self.tombstone_for.saturating_sub(age));
        self.ranges.remove(item.kind, &item.key);
        if !item.removed || now < self.quiet_at(forget_at) {
            self.ranges.insert(item.entry());
        }
        if item.removed {
            self.due.insert((self.quiet_at(forget_at), item.entry().name()));
        }
        let held = Held { item: item.clone(), taken_at: now, age_then: age, forget_at };
        self.held.entry(item.kind).or_default().insert(Arc::clone(&item.key), held);
    }

    /// Quietens and forgets tombstones whose time has come.
    pub(crate) fn expire(&mut self, now: u64) {
        while self.next_due() <= now {
            let Some((_, name)) = self.due.pop_first() else { return };
            self.expire_one(now, name);
        }
    }

    fn expire_one(&mut self, now: u64, name: Name) {
        let Some(held) = self.held(name.0, &name.1) else { return };
        let forget_at = held.forget_at;
        if !held.item.removed || now < self.quiet_at(forget_at) {
            return;
        }
        self.ranges.remove(name.0, &name.1);
        if now < forget_at {
            self.due.insert((forget_at, name));
        } else if let Some(of_kind) = self.held.get_mut(&name.0) {
            of_kind.remove(&name.1);
        }
    }

    /// When a tombstone may have to be looked at next.
    pub(crate) fn next_due(&self) -> u64 {
        self.due.first().map_or(u64::MAX, |(at, _)| *at)
    }

    fn quiet_at(&self, forget_at: u64) -> u64 {
        forget_at.saturating_sub(self.tombstone_for / QUIET_PART)
    }

    fn held(&self, kind: Kind, key: &str) -> Option<&Held> {
        self.held.get(&kind)?.get(key)
    }
}
