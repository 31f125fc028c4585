//! Successive losses, each as soon as the one before no longer counts: no acknowledged change is lost, and a primary is
//! elected again.

mod simulator;

use googletest::prelude::*;
use simulator::{Loss, MILLISECOND, Plan, Report, Rounds, SECOND, World, number_from_environment, seeds};

/// How many seeds are run for each plan.
const SEEDS: u64 = 150;
/// For how long a machine that has come back still counts as lost: the shortest time that operators have specified.
const CATCH_UP: u64 = 4 * SECOND;

const ROUNDS: Rounds = Rounds {
    count: 6,
    catch_up: CATCH_UP,
    power_losses: false,
    power_losses_at_changes: false,
    unreliable_links: false,
    disk_faults: false,
    only: &[],
};

fn plan(replicas: usize, machine_losses: usize, rounds: Rounds) -> Plan {
    Plan { length: 0, fault_interval: 0, rounds: Some(rounds), ..Plan::new(replicas, machine_losses) }
}

/// Runs a plan once for each seed, with clusters of 3, 5 and 8.
fn explore(rounds: Rounds) -> Result<()> {
    let catch_up =
        number_from_environment("EXPLORE_CATCH_UP_MS").map_or(rounds.catch_up, |span| span * MILLISECOND);
    let rounds = Rounds { catch_up, ..rounds };
    let mut failures = Vec::new();
    let mut runs = 0;
    for (replicas, losses) in [(3, 1), (5, 2), (8, 2)] {
        let plan = plan(replicas, losses, rounds);
        let mut total = Report::default();
        let mut slowest = (0, 0);
        for seed in seeds(SEEDS) {
            let report = World::new(plan.clone(), seed).play();
            runs += 1;
            if let Some(violation) = report.violation {
                let what: String = format!("{violation:?}").chars().take(400).collect();
                failures.push(format!("{replicas} replicas, seed {seed}: {what}"));
                continue;
            }
            total.events += report.events;
            total.acknowledged += report.acknowledged;
            slowest = slowest.max((report.recovery, seed));
        }
        println!("{replicas} replicas: {total:?}, slowest recovery {slowest:?}");
    }
    if failures.is_empty() {
        return Ok(());
    }
    fail!("{} of {runs} runs of {rounds:?} violate an invariant:\n{}", failures.len(), failures.join("\n"))
}

#[gtest]
fn wiped_disks_one_after_the_other() -> Result<()> {
    explore(Rounds { only: &[Loss::Wipe], ..ROUNDS })
}

#[gtest]
fn machines_replaced_one_after_the_other() -> Result<()> {
    explore(Rounds { only: &[Loss::Replace], ..ROUNDS })
}

#[gtest]
fn planned_replacements_and_losses() -> Result<()> {
    explore(Rounds { only: &[Loss::PlannedReplacement, Loss::Wipe, Loss::Replace], ..ROUNDS })
}

#[gtest]
fn graceful_shutdowns_and_losses() -> Result<()> {
    let only = &[Loss::GracefulReplacement, Loss::GracefulRestart, Loss::Wipe, Loss::Replace];
    explore(Rounds { only, ..ROUNDS })
}

#[gtest]
fn all_kinds_of_losses() -> Result<()> {
    explore(ROUNDS)
}

#[gtest]
fn all_kinds_of_losses_and_power_losses_of_all_members() -> Result<()> {
    explore(Rounds { power_losses: true, ..ROUNDS })
}

#[gtest]
fn all_kinds_of_losses_over_bad_links() -> Result<()> {
    explore(Rounds { power_losses: true, unreliable_links: true, ..ROUNDS })
}

#[gtest]
fn all_kinds_of_losses_with_full_and_hanging_disks() -> Result<()> {
    explore(Rounds { power_losses: true, disk_faults: true, ..ROUNDS })
}

#[gtest]
fn power_losses_of_all_members_during_view_changes() -> Result<()> {
    explore(Rounds { power_losses_at_changes: true, ..ROUNDS })
}

/// A heartbeat that arrives 2.5 s late must not renew the lease of a primary that is lost for good.
#[gtest]
fn losses_after_a_delayed_heartbeat() -> Result<()> {
    const SEED: u64 = 8_583;
    let plan = plan(5, 2, Rounds { power_losses: true, unreliable_links: true, ..ROUNDS });
    match World::new(plan, SEED).play().violation {
        None => Ok(()),
        Some(violation) => fail!("seed {SEED}: {violation:?}"),
    }
}
