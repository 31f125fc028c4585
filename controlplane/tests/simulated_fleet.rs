//! Runs of complete simulated fleets, each determined by one seed, without and with faults.

#[path = "simulation/mod.rs"]
mod simulation;

use googletest::prelude::*;
use simulation::{Ending, Plan, Report, World};

/// The seeds for a plan: `default_count` of them, unless `FLEET_SEEDS` is set.
fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("FLEET_FROM").unwrap_or(0);
    first..first + number("FLEET_SEEDS").unwrap_or(default_count)
}

/// Runs a plan once for each seed.
fn run(plan: &Plan, default_count: u64) -> Result<()> {
    let mut total = Report::default();
    let mut failures = Vec::new();
    for seed in seeds(default_count) {
        let report = World::new(plan.clone(), seed).run();
        if let Some(violation) = &report.violation {
            failures.push(format!("seed {seed}: {violation}"));
        }
        total.add(&report);
    }
    println!("{plan:?}: {total:?}");
    if failures.is_empty() {
        return verify_that!((total.checked > 0, total.acknowledged > 0), eq((true, true)));
    }
    fail!("{} runs of {plan:?} violate an invariant:\n{}", failures.len(), failures.join("\n"))
}

fn without_faults(nodes: usize, cores: usize, losses: usize) -> Plan {
    Plan { faults: 0, ..Plan::new(nodes, cores, losses) }
}

#[gtest]
fn three_nodes_without_faults() -> Result<()> {
    run(&without_faults(3, 3, 1), 20)
}

#[gtest]
fn nine_nodes_without_faults() -> Result<()> {
    run(&without_faults(9, 3, 1), 20)
}

#[gtest]
fn three_nodes_with_faults() -> Result<()> {
    run(&Plan::new(3, 3, 1), 40)
}

#[gtest]
fn nine_nodes_with_faults() -> Result<()> {
    run(&Plan::new(9, 3, 1), 60)
}

#[gtest]
fn nine_core_machines_with_faults() -> Result<()> {
    run(&Plan::new(9, 9, 2), 20)
}

#[gtest]
fn nine_nodes_lose_power() -> Result<()> {
    let ending = Ending::PowerLoss { wiped: 0 };
    run(&Plan { faults: 1, ending, ..Plan::new(9, 3, 1) }, 40)
}

#[gtest]
fn nine_nodes_lose_power_and_a_disk() -> Result<()> {
    let ending = Ending::PowerLoss { wiped: 1 };
    run(&Plan { faults: 1, ending, ..Plan::new(9, 3, 1) }, 40)
}

#[gtest]
fn three_nodes_are_killed_together() -> Result<()> {
    run(&Plan { faults: 1, ending: Ending::KillAll, ..Plan::new(3, 3, 1) }, 40)
}

#[gtest]
fn seventy_eight_nodes() -> Result<()> {
    let ending = Ending::PowerLoss { wiped: 2 };
    run(&Plan { faults: 2, servers: 20, ending, ..Plan::new(78, 8, 2) }, 2)
}
