//! What is replicated: items, their stamps, and their names without the payload.

use std::sync::Arc;

/// What an item is about. This package knows nothing of the kinds; whoever uses it sets the constants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(pub u8);

/// The order among the items of one kind and key: the newest (greatest) wins. Two items of one kind and key with
/// equal stamps have to be the same item; whoever publishes sees to that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// Compared first: an incarnation, a version, a call count.
    pub major: u64,
    /// Compared where `major` is equal: a counter within it.
    pub minor: u64,
}

/// One replicated item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// What it is about.
    pub kind: Kind,
    /// Its name within the kind.
    pub key: Arc<str>,
    /// Which of several items with the same kind and key is the newest.
    pub stamp: Stamp,
    /// Its content, opaque here.
    pub payload: Arc<[u8]>,
    /// A tombstone: what had this name is gone. Kept for a while so that older items don't come back, then forgotten.
    pub removed: bool,
}

impl Item {
    /// The item's name and stamp.
    pub fn entry(&self) -> Entry {
        Entry { kind: self.kind, key: Arc::clone(&self.key), stamp: self.stamp }
    }
}

/// An item as it travels, with its age: however late it comes to a node, what counts from its publication (the time of
/// a tombstone, a bound that its meaning sets) counts from the same moment everywhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Aged {
    /// The item.
    pub item: Item,
    /// Milliseconds since it was published, without the time on the way.
    pub age_ms: u32,
}

/// The name and stamp of an item, without its payload.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// What the item is about.
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
