//! The responses of simulated fleets are linearizable as those of one compare-and-set register, though operators make
//! concurrent changes, lose responses and repeat earlier changes, at any machine.

#[path = "simulation/mod.rs"]
mod simulation;

use googletest::prelude::*;
use simulation::{Ending, Plan, World};

/// The seeds for a plan: `default_count` of them, unless `FLEET_SEEDS` is set.
fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("FLEET_FROM").unwrap_or(0);
    first..first + number("FLEET_SEEDS").unwrap_or(default_count)
}

fn check_linearizable(plan: &Plan, default_count: u64) {
    let (mut calls, mut longest, mut failures) = (0, 0, Vec::new());
    for seed in seeds(default_count) {
        let (report, history) = World::new(plan.clone(), seed).with_histories(seed).run_with_history();
        calls += history.len();
        longest = longest.max(history.len());
        if !history.linearizable() {
            failures.push(format!("seed {seed}: the history is not linearizable"));
        }
        if let Some(violation) = report.violation {
            failures.push(format!("seed {seed}: {violation}"));
        }
    }
    println!("{plan:?}: {calls} calls, {longest} in the longest history");
    expect_that!(failures, is_empty());
}

#[gtest]
fn three_nodes_are_linearizable() {
    check_linearizable(&Plan { faults: 8, ..Plan::new(3, 3, 1) }, 40);
}

#[gtest]
fn nine_nodes_are_linearizable() {
    check_linearizable(&Plan { faults: 8, ..Plan::new(9, 3, 1) }, 40);
}

#[gtest]
fn nine_nodes_that_lose_power_and_a_disk_are_linearizable() {
    let ending = Ending::PowerLoss { wiped: 1 };
    check_linearizable(&Plan { faults: 4, ending, ..Plan::new(9, 3, 1) }, 40);
}
