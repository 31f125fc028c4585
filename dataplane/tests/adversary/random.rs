//! Random numbers that depend only on a seed, and bytes that identify a request.

use std::hash::{DefaultHasher, Hash, Hasher};

/// `SplitMix64`.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// A generator that depends only on the seed and these names, not on the order in which generators are created.
    pub fn of(seed: u64, names: &[&str]) -> Self {
        Random(seed ^ hash(names))
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }

    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }

    pub fn one_of<T: Clone>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize].clone()
    }
}

pub fn hash(names: &[&str]) -> u64 {
    let mut hasher = DefaultHasher::new();
    names.hash(&mut hasher);
    hasher.finish()
}

/// Bytes that differ from those of any other name.
pub fn bytes_of(name: &str, length: usize) -> Vec<u8> {
    let mut random = Random::new(hash(&[name]));
    // A long body repeats a block: it only has to show which name the bytes belong to.
    let block: Vec<u8> = (0..127).flat_map(|_| random.next().to_le_bytes()).collect();
    let mut bytes = block.repeat(length.div_ceil(block.len()));
    bytes.truncate(length);
    bytes
}
