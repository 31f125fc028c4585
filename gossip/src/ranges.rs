//! Hashes over ranges of keys, updated incrementally.
//!
//! A key belongs to one of 64 first-level ranges and, within it, to one of 64 finer ranges. The hash of a range is the XOR
//! of the hashes of its entries, so that a change costs one XOR per level and never a scan of the entries.

use crate::{Entry, Kind, RangeDigest, Stamp};

/// Number of first-level ranges.
const TOP_RANGES: u16 = 64;
/// Number of finer ranges within each first-level range.
const FINE_PER_TOP: u16 = 64;
/// Offset basis of 64-bit FNV-1a.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The ranges of one node.
#[derive(Debug)]
pub(crate) struct Ranges {
    top: Vec<TopRange>,
    fine: Vec<FineRange>,
}

#[derive(Debug, Default, Clone, Copy)]
struct TopRange {
    hash: u64,
    entries: usize,
}

#[derive(Debug, Default, Clone)]
struct FineRange {
    hash: u64,
    entries: Vec<Entry>,
}

impl Ranges {
    pub(crate) fn new() -> Self {
        let fine = usize::from(TOP_RANGES * FINE_PER_TOP);
        Self {
            top: vec![TopRange::default(); usize::from(TOP_RANGES)],
            fine: vec![FineRange::default(); fine],
        }
    }

    /// Adds an entry. The ranges must not contain its name with any stamp.
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

    /// The hashes of the finer ranges within a first-level range; empty for a finer range.
    pub(crate) fn digests_within(&self, index: u16) -> impl Iterator<Item = RangeDigest> {
        fine_within(index)
            .map(|fine| RangeDigest { index: fine + TOP_RANGES, hash: self.fine[usize::from(fine)].hash })
    }

    /// The hash of a range of either level; `None` if there is no such range.
    pub(crate) fn hash(&self, index: u16) -> Option<u64> {
        match index.checked_sub(TOP_RANGES) {
            None => self.top.get(usize::from(index)).map(|range| range.hash),
            Some(fine) => self.fine.get(usize::from(fine)).map(|range| range.hash),
        }
    }

    /// Whether this is a first-level range with more than `entries` entries.
    pub(crate) fn is_top_range_larger_than(&self, index: u16, entries: usize) -> bool {
        self.top.get(usize::from(index)).is_some_and(|range| range.entries > entries)
    }

    /// The entries of a range of either level; empty if there is no such range.
    pub(crate) fn entries(&self, index: u16) -> impl Iterator<Item = &Entry> {
        let fine = match index.checked_sub(TOP_RANGES) {
            None => fine_within(index),
            Some(fine) => fine..fine.saturating_add(1),
        };
        fine.filter_map(|fine| self.fine.get(usize::from(fine))).flat_map(|range| &range.entries)
    }
}

/// The finer ranges within a first-level range.
fn fine_within(index: u16) -> std::ops::Range<u16> {
    if index < TOP_RANGES { index * FINE_PER_TOP..(index + 1) * FINE_PER_TOP } else { 0..0 }
}

/// The indices of the first-level range and the finer range of a key; the latter counts over all finer ranges.
struct Indices {
    top: usize,
    fine: usize,
}

fn indices(kind: Kind, key: &str) -> Indices {
    let ranges = u64::from(TOP_RANGES * FINE_PER_TOP);
    let fine = (fmix64(name_hash(kind, key)) % ranges) as usize;
    Indices { top: fine / usize::from(FINE_PER_TOP), fine }
}

fn entry_hash(entry: &Entry) -> u64 {
    let Stamp { major, minor } = entry.stamp;
    let hash = fnv1a(name_hash(entry.kind, &entry.key), &major.to_le_bytes());
    fmix64(fnv1a(hash, &minor.to_le_bytes()))
}

fn name_hash(kind: Kind, key: &str) -> u64 {
    fnv1a(fnv1a(FNV_BASIS, &[kind.0]), key.as_bytes())
}

/// FNV-1a. All nodes must compute the same hash regardless of their build, which rules out the standard library's hasher.
fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// The 64-bit finalizer of `MurmurHash3`. Its avalanche effect is needed because the hashes of many entries are combined
/// by XOR.
fn fmix64(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
