//! A deterministic simulation of core machines: a seed determines the sequence of events. Nothing waits for a real
//! clock.

#![allow(dead_code, reason = "each test file uses a part of the simulator")]

mod checker;
mod clients;
mod disk;
#[path = "../common/event_queue.rs"]
mod event_queue;
mod faults;
mod history;
mod network;
mod random;
mod world;

#[allow(unused_imports, reason = "each test file uses a part of the simulator")]
pub use self::{
    checker::Violation,
    faults::{ClockRates, Fault, Plan, Rounds},
    history::{History, Operation, Response},
    world::{Loss, Report, World},
};

/// One millisecond in microseconds.
pub const MILLISECOND: u64 = 1_000;
/// One second in microseconds.
pub const SECOND: u64 = 1_000_000;

/// The seeds of an exploration: `count` from 0 on, unless `EXPLORE_FROM` and `EXPLORE_SEEDS` name others.
pub fn seeds(count: u64) -> std::ops::Range<u64> {
    let first = number_from_environment("EXPLORE_FROM").unwrap_or(0);
    first..first + number_from_environment("EXPLORE_SEEDS").unwrap_or(count)
}

/// A number that an environment variable names, if it is set.
pub fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}
