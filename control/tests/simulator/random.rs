//! A pseudo-random generator that depends on the seed alone (`SplitMix64`).

#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0xD1B5_4A32_D192_ED03)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// A number from `low` to `high`, exclusive.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low).max(1)
    }

    pub fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit.max(1) as u64) as usize
    }

    /// True with a probability of `chance` in a thousand.
    pub fn permille(&mut self, chance: u64) -> bool {
        self.next() % 1_000 < chance
    }
}
