//! Shared by the tests of this package and of those that build on it (feature `testing`).

use proptest::test_runner::{Config, RngSeed};

/// A configuration of proptest that tries the same cases at every run and keeps no files.
pub fn deterministic_config() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}
