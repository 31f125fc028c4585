//! Items, their version stamps, and their names without the payload.

use std::sync::Arc;

/// The kind of an item. The user of this crate defines the constants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(pub u8);

/// Version stamp: of the items of one kind and key the highest wins. Two items of one kind and key with equal stamps must
/// be the same item, which is the publisher's responsibility.
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
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub key: Arc<str>,
    /// Its version.
    pub stamp: Stamp,
    /// Its content, opaque here.
    pub payload: Arc<[u8]>,
    /// Whether it is a tombstone: the item of this name was removed. Kept for `tombstone_ttl`, so that an older item of the
    /// name can't come back meanwhile.
    pub removed: bool,
}

impl Item {
    /// The item's name and stamp.
    pub fn entry(&self) -> Entry {
        Entry { kind: self.kind, key: Arc::clone(&self.key), stamp: self.stamp }
    }
}

/// An item in a message, with its age: however late it reaches a node, deadlines that count from its publication (the
/// expiry of a tombstone, or one that the kind sets) are the same everywhere. Clocks of two nodes are never compared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Aged {
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
