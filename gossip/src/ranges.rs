//! Hashes over ranges of keys, updated with every change.
//!
//! A key falls into one of 64 ranges and, within it, into one of 64 finer ones. The hash of a range is the exclusive or
//! of the hashes of its entries, so that a change costs two exclusive ors and nothing is ever scanned.

use crate::{Entry, Kind, RangeDigest, Stamp};

/// Ranges of the first level.
const TOP_RANGES: u16 = 64;
/// Finer ranges within each.
const FINE_PER_TOP: u16 = 64;
/// Offset basis of the hash FNV-1a with 64 bits.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the hash FNV-1a with 64 bits.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The ranges of one node.
#[derive(Debug)]
pub(crate) struct Ranges {
    top: Vec<Summary>,
    fine: Vec<Fine>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Summary {
    hash: u64,
    entries: usize,
}

#[derive(Debug, Default, Clone)]
struct Fine {
    hash: u64,
    entries: Vec<Entry>,
}

impl Ranges {
    pub(crate) fn new() -> Self {
        let fine = usize::from(TOP_RANGES * FINE_PER_TOP);
        Self { top: vec![Summary::default(); usize::from(TOP_RANGES)], fine: vec![Fine::default(); fine] }
    }

    /// Adds an entry that is not there in any stamp.
    pub(crate) fn insert(&mut self, entry: Entry) {
        let Indices { top, fine } = indices(entry.kind, &entry.key);
        let hash = entry_hash(&entry);
        self.top[top].hash ^= hash;
        self.top[top].entries += 1;
        self.fine[fine].hash ^= hash;
        self.fine[fine].entries.push(entry);
    }

    /// Removes the entry of this name, if there is one.
    pub(crate) fn remove(&mut self, kind: Kind, key: &str) {
        let Indices { top, fine } = indices(kind, key);
        let entries = &mut self.fine[fine].entries;
        let Some(position) = entries.iter().position(|entry| entry.kind == kind && &*entry.key == key) else {
            return;
        };
        let hash = entry_hash(&entries.swap_remove(position));
        self.top[top].hash ^= hash;
        self.top[top].entries -= 1;
        self.fine[fine].hash ^= hash;
    }

    /// The hashes of the first level.
    pub(crate) fn digests(&self) -> Vec<RangeDigest> {
        (0..TOP_RANGES).zip(&self.top).map(|(index, range)| RangeDigest { index, hash: range.hash }).collect()
    }

    /// The hashes of the ranges within one of the first level; none for a finer one.
    pub(crate) fn digests_within(&self, index: u16) -> impl Iterator<Item = RangeDigest> {
        fine_within(index)
            .map(|fine| RangeDigest { index: fine + TOP_RANGES, hash: self.fine[usize::from(fine)].hash })
    }

    /// The hash of a range of either level, if there is such a range.
    pub(crate) fn hash(&self, index: u16) -> Option<u64> {
        match index.checked_sub(TOP_RANGES) {
            None => self.top.get(usize::from(index)).map(|range| range.hash),
            Some(fine) => self.fine.get(usize::from(fine)).map(|range| range.hash),
        }
    }

    /// Whether the range is of the first level and has more entries than that.
    pub(crate) fn is_divided_above(&self, index: u16, entries: usize) -> bool {
        self.top.get(usize::from(index)).is_some_and(|range| range.entries > entries)
    }

    /// The entries of a range of either level; none if there is no such range.
    pub(crate) fn entries(&self, index: u16) -> impl Iterator<Item = &Entry> {
        let fine = match index.checked_sub(TOP_RANGES) {
            None => fine_within(index),
            Some(fine) => fine..fine.saturating_add(1),
        };
        fine.filter_map(|fine| self.fine.get(usize::from(fine))).flat_map(|range| &range.entries)
    }
}

/// The finer ranges within one of the first level.
fn fine_within(index: u16) -> std::ops::Range<u16> {
    if index < TOP_RANGES { index * FINE_PER_TOP..(index + 1) * FINE_PER_TOP } else { 0..0 }
}

/// The indices of the two ranges that a key falls into: of the first level, and of the finer one among all finer ones.
struct Indices {
    top: usize,
    fine: usize,
}

fn indices(kind: Kind, key: &str) -> Indices {
    let ranges = u64::from(TOP_RANGES * FINE_PER_TOP);
    let fine = (mixed(name_hash(kind, key)) % ranges) as usize;
    Indices { top: fine / usize::from(FINE_PER_TOP), fine }
}

fn entry_hash(entry: &Entry) -> u64 {
    let Stamp { major, minor } = entry.stamp;
    let hash = fnv(name_hash(entry.kind, &entry.key), &major.to_le_bytes());
    mixed(fnv(hash, &minor.to_le_bytes()))
}

fn name_hash(kind: Kind, key: &str) -> u64 {
    fnv(fnv(FNV_BASIS, &[kind.0]), key.as_bytes())
}

/// FNV-1a: all nodes have to agree on it, whatever they were built with, which rules out the standard library's hash.
fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// The finalizer of `MurmurHash3`: spreads every bit over all others, which an exclusive or over many hashes needs.
fn mixed(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
