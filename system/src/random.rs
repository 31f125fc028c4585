//! Random numbers for seeds and identities.

use std::hash::{BuildHasher, Hasher, RandomState};

/// A random number that, with overwhelming probability, no other process has: the standard library seeds each
/// [`RandomState`] from the operating system.
pub fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}
