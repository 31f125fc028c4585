//! Helpers for the tests of this package and of its dependents (feature `testing`).

use proptest::test_runner::{Config, RngSeed};

/// A proptest configuration with a fixed seed, which tries the same cases in every run and writes no regression files.
pub fn deterministic_config() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}
