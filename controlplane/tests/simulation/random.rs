//! A deterministic pseudorandom number generator.

/// A pseudorandom number generator; its numbers depend only on the seed.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed ^ 0x5bd1_e995_9d1b_58d3)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let first = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let second = (first ^ (first >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        second ^ (second >> 31)
    }

    /// A number from `low` to `high`, exclusive.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low).max(1)
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit.max(1) as u64) as usize
    }

    /// True with a probability of `chance` percent.
    pub fn percent(&mut self, chance: u64) -> bool {
        self.next() % 100 < chance
    }

    pub fn choose<T: Copy>(&mut self, among: &[T]) -> Option<T> {
        if among.is_empty() { None } else { Some(among[self.below(among.len())]) }
    }

    /// Chooses up to `count` distinct elements.
    pub fn several<T: Copy>(&mut self, among: &[T], count: usize) -> Vec<T> {
        let mut rest = among.to_vec();
        let mut chosen = Vec::new();
        while chosen.len() < count && !rest.is_empty() {
            let index = self.below(rest.len());
            chosen.push(rest.swap_remove(index));
        }
        chosen
    }
}
