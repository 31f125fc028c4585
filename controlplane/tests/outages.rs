//! Simulated outages of 20 s, of each kind and for each group of machines, with callers on both sides.

#[path = "simulation/mod.rs"]
mod simulation;

use googletest::prelude::*;
use gradepaddle_control::InjectedFault;
use simulation::{MS, Micros, Outage, OutageKind, Plan, Report, SECOND, Victim, World};

/// The number of seeds for each outage, unless `FLEET_SEEDS` is set.
const SEEDS: u64 = 3;
/// How long an outage lasts.
const DURATION: Micros = 20 * SECOND;

const OUTAGE_KINDS: [OutageKind; 8] = [
    OutageKind::Partition,
    OutageKind::PartitionFromCore,
    OutageKind::Deaf,
    OutageKind::Mute,
    OutageKind::PartitionAndFrozen,
    OutageKind::Frozen,
    OutageKind::Flapping,
    OutageKind::Stalling,
];

/// A fleet of nine machines, `cores` of which have a disk.
fn plan(cores: usize, losses: usize, victim: Victim, kind: OutageKind) -> Plan {
    let outage = Some(Outage { victim, kind, duration: DURATION });
    let fault_free_for = DURATION + 8 * SECOND;
    Plan { faults: 0, fault_free_for, servers_agree: false, outage, ..Plan::new(9, cores, losses) }
}

fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("FLEET_FROM").unwrap_or(0);
    first..first + number("FLEET_SEEDS").unwrap_or(SEEDS)
}

/// Runs each kind of outage of a victim once for each seed.
fn run(cores: usize, losses: usize, victim: Victim) -> Result<()> {
    for kind in OUTAGE_KINDS {
        let mut total = Report::default();
        let mut failures = Vec::new();
        for seed in seeds() {
            let report = World::new(plan(cores, losses, victim, kind), seed).run();
            if let Some(violation) = &report.violation {
                failures.push(format!("seed {seed}: {violation}"));
            }
            total.add(&report);
        }
        println!(
            "{cores} cores, {victim:?} {kind:?}: {} acknowledged, {} refused, {} orders, {} reads unclear; others answer after \
             {} ms; after its end those without contact answer after {} ms and have the configuration after {} ms",
            total.acknowledged,
            total.refused,
            total.orders,
            total.unclear,
            total.others_answer_after / MS,
            total.victims_answer_after / MS,
            total.victims_apply_after / MS,
        );
        expect_that!(failures, is_empty(), "{victim:?} {kind:?}");
        expect_that!(total.others_answer_after, lt(4 * SECOND), "{victim:?} {kind:?}");
        expect_that!(total.victims_answer_after, lt(2 * SECOND), "{victim:?} {kind:?}");
        expect_that!(total.victims_apply_after, lt(3 * SECOND), "{victim:?} {kind:?}");
    }
    Ok(())
}

#[gtest]
fn the_primary_is_partitioned_or_frozen() -> Result<()> {
    run(3, 1, Victim::Primary)
}

#[gtest]
fn the_primary_of_nine_core_machines_is_partitioned_or_frozen() -> Result<()> {
    run(9, 2, Victim::Primary)
}

#[gtest]
fn the_zone_of_the_primary_of_nine_core_machines_is_partitioned_or_frozen() -> Result<()> {
    run(9, 2, Victim::ZoneOfPrimary)
}

#[gtest]
fn the_zone_of_the_primary_is_partitioned_or_frozen() -> Result<()> {
    run(3, 1, Victim::ZoneOfPrimary)
}

#[gtest]
fn another_core_machine_is_partitioned_or_frozen() -> Result<()> {
    run(3, 1, Victim::OtherCore)
}

#[gtest]
fn a_machine_without_a_disk_is_partitioned_or_frozen() -> Result<()> {
    run(3, 1, Victim::WithoutDisk)
}

/// The core is split in halves, which may exceed the tolerated number of losses; all other machines, servers and callers
/// reach both. A core of odd size goes on with its larger part; one of even size makes no decisions. No node sends an
/// outdated conclusive response.
#[gtest]
fn the_core_is_split_in_halves() -> Result<()> {
    const DURATION: Micros = 8 * SECOND;
    for (cores, losses) in [(3, 1), (4, 1), (5, 2), (8, 2)] {
        for victim in [Victim::HalfWithPrimary, Victim::HalfWithoutPrimary] {
            let base = plan(cores, losses, victim, OutageKind::PartitionFromCore);
            let outage = Some(Outage { victim, kind: OutageKind::PartitionFromCore, duration: DURATION });
            let halves = Plan { outage, fault_free_for: DURATION + 8 * SECOND, ..base };
            let mut total = Report::default();
            for seed in seeds() {
                let report = World::new(halves.clone(), seed).run();
                expect_that!(report.violation, none(), "{cores} cores, {victim:?}, seed {seed}");
                total.add(&report);
            }
            // A core of even size has no primary until the halves are connected again.
            let without_primary = if cores % 2 == 0 { DURATION } else { 0 };
            expect_that!(
                total.others_answer_after,
                lt(without_primary + 4 * SECOND),
                "{cores} cores, {victim:?}"
            );
            expect_that!(total.victims_answer_after, lt(4 * SECOND), "{cores} cores, {victim:?}");
            expect_that!(total.victims_apply_after, lt(4 * SECOND), "{cores} cores, {victim:?}");
        }
    }
    Ok(())
}

/// The processes have a CPU quota of 10 ms in each 100 ms. This must cause no losses: each call is answered, no lease
/// expires, and no member or server counts as lost.
#[gtest]
fn a_core_quota_costs_no_primary_and_no_answer() -> Result<()> {
    for (nodes, cores, losses) in [(9, 3, 1), (9, 9, 2)] {
        let outage = Some(Outage { victim: Victim::All, kind: OutageKind::Throttled, duration: DURATION });
        let throttled = Plan { nodes, outage, ..plan(cores, losses, Victim::All, OutageKind::Throttled) };
        let mut total = Report::default();
        for seed in seeds() {
            let report = World::new(throttled.clone(), seed).run();
            expect_that!(report.violation, none(), "{cores} cores, seed {seed}");
            expect_that!(report.highest_epoch, eq(1), "{cores} cores, seed {seed}: no other primary");
            total.add(&report);
        }
        println!("{cores} cores throttled: {total:?}");
        expect_that!(total.unclear, eq(0), "{cores} cores");
        expect_that!(total.acknowledged, gt(0));
        expect_that!(total.others_answer_after, lt(SECOND));
    }
    Ok(())
}

/// A large fleet: eight machines with a disk in three zones, so that several are partitioned together.
#[gtest]
fn the_zone_of_the_primary_of_seventy_eight_nodes_is_partitioned() -> Result<()> {
    let partitioned = plan(8, 2, Victim::ZoneOfPrimary, OutageKind::Partition);
    let report = World::new(Plan { nodes: 78, servers: 20, ..partitioned }, 3).run();
    verify_that!(report.violation, none())?;
    expect_that!(report.others_answer_after, lt(4 * SECOND));
    expect_that!(report.victims_answer_after, lt(2 * SECOND));
    expect_that!(report.victims_apply_after, lt(3 * SECOND));
    Ok(())
}

/// The checks detect a replica that allows reads without a lease.
#[gtest]
fn a_read_without_the_lease_is_caught() -> Result<()> {
    let faulty = Plan {
        injected_fault: Some(InjectedFault::ReadsWithoutLease),
        ..plan(3, 1, Victim::Primary, OutageKind::Partition)
    };
    let found = (0..SEEDS).find_map(|seed| World::new(faulty.clone(), seed).run().violation);
    verify_that!(found, some(contains_substring("without contact")))
}
