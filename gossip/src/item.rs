//! Items, their version stamps, and their names without the payload.

use std::sync::Arc;

/// The kind of an item. The user of this crate defines the constants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(pub u8);

/// A version stamp: of the items of one kind and key the highest wins. Items of one kind and key with equal stamps must be
/// identical, which is the publisher's responsibility.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// Compared first, for example an incarnation, a version or a call count.
    pub major: u64,
    /// Compared if `major` is equal: a counter within it.
    pub minor: u64,
}

/// One replicated item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub key: Arc<str>,
    /// Its version.
    pub stamp: Stamp,
    /// Its content, opaque to this crate.
    pub payload: Arc<[u8]>,
    /// Whether it is a tombstone, which marks the removal of the item of this name. It is kept for `tombstone_ttl`, so that
    /// an older item of the name can't come back during that time.
    pub removed: bool,
}

impl Item {
    /// The item's name and stamp.
    pub fn entry(&self) -> Entry {
        Entry { kind: self.kind, key: Arc::clone(&self.key), stamp: self.stamp }
    }
}

/// An item in a message, with its age. The age makes deadlines that count from the publication (the expiry of a tombstone,
/// or a deadline defined by the kind) the same on all nodes, however late the item arrives. The clocks of two nodes are
/// never compared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgedItem {
    /// The item.
    pub item: Item,
    /// Time since it was published, in milliseconds, without its time in transit.
    pub age_ms: u32,
}

/// The name and stamp of an item, without its payload.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// The kind of the item.
    pub kind: Kind,
    /// The item's name within the kind.
    pub key: Arc<str>,
    /// The item's stamp.
    pub stamp: Stamp,
}

/// The name of an item.
pub(crate) type Name = (Kind, Arc<str>);

impl Entry {
    pub(crate) fn name(&self) -> Name {
        (self.kind, Arc::clone(&self.key))
    }
}

/// One millisecond in the unit of `now`.
const MILLISECOND_US: u64 = 1_000;

/// The age of an item at a given time of this process's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct KnownAge {
    known_at: u64,
    age: u64,
}

impl KnownAge {
    pub(crate) fn new(now: u64, age_ms: u32) -> Self {
        Self { known_at: now, age: u64::from(age_ms) * MILLISECOND_US }
    }

    /// The age in microseconds.
    pub(crate) fn at(self, now: u64) -> u64 {
        self.age.saturating_add(now.saturating_sub(self.known_at))
    }

    /// The age as messages carry it, in milliseconds.
    pub(crate) fn millis_at(self, now: u64) -> u32 {
        u32::try_from(self.at(now) / MILLISECOND_US).unwrap_or(u32::MAX)
    }
}
