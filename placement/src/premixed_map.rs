//! Hash maps whose keys are hashes already.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Passes a key through unchanged: keys are uniformly mixed hashes already.
#[derive(Clone, Default)]
pub(crate) struct PremixedHasher(u64);

impl Hasher for PremixedHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 << 8) | u64::from(*byte);
        }
    }

    fn write_u64(&mut self, key: u64) {
        self.0 = key;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// A map whose keys are mixed hashes.
pub(crate) type PremixedMap<V> = HashMap<u64, V, BuildHasherDefault<PremixedHasher>>;
