//! Evidence of the newest configuration: how long it is valid, and that revoked keys stop working at every node in time.

#[path = "simulation/mod.rs"]
mod simulation;

use googletest::prelude::*;
use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::staleness::{NewestVersion, StalenessBound};
use simulation::{MS, Outage, OutageKind, Plan, Report, SECOND, Victim, World};

const BOUND: Micros = 4_750 * MS;

fn evidence(version: u64, age: Micros) -> NewestVersion {
    NewestVersion { version, age }
}

#[gtest]
fn a_configuration_is_valid_for_the_bound_after_the_query() {
    let mut staleness = StalenessBound::new(Some(BOUND), 0);
    expect_that!(staleness.valid_until(7), some(eq(0)));
    staleness.query_sent(10 * SECOND, 1);
    staleness.handle_reply(1, evidence(7, 300 * MS));
    let until = 10 * SECOND - 300 * MS + BOUND;
    // The evidence covers any newer configuration as well.
    for (version, wanted) in [(6, 0), (7, until), (8, until)] {
        expect_that!(staleness.valid_until(version), some(eq(wanted)), "{version}");
    }
    // Later evidence for a newer version does not extend the validity of the older one.
    staleness.query_sent(11 * SECOND, 2);
    staleness.handle_reply(2, evidence(9, 0));
    expect_that!(staleness.valid_until(7), some(eq(until)));
    expect_that!(staleness.valid_until(9), some(eq(11 * SECOND + BOUND)));
}

#[gtest]
fn unexpected_and_duplicate_replies_change_nothing() {
    let mut staleness = StalenessBound::new(Some(BOUND), 0);
    staleness.handle_reply(1, evidence(7, 0));
    expect_that!(staleness.valid_until(7), some(eq(0)));
    staleness.query_sent(SECOND, 1);
    staleness.handle_reply(1, evidence(7, 0));
    staleness.handle_reply(1, evidence(9, 0));
    expect_that!(staleness.valid_until(7), some(eq(SECOND + BOUND)));
    expect_that!(staleness.newest(3 * SECOND), some(eq(evidence(7, 2 * SECOND))));
}

#[gtest]
fn older_evidence_never_replaces_later_evidence() {
    let mut staleness = StalenessBound::new(Some(BOUND), 0);
    staleness.observe(5 * SECOND, 7);
    staleness.observe(3 * SECOND, 7);
    expect_that!(staleness.valid_until(7), some(eq(5 * SECOND + BOUND)));
    for version in 8..40 {
        staleness.observe(5 * SECOND + version * MS, version);
    }
    expect_that!(staleness.newest(6 * SECOND).map(|newest| newest.version), some(eq(39)));
}

#[gtest]
fn without_a_bound_nothing_is_queried() {
    let mut staleness = StalenessBound::new(None, 0);
    expect_that!(staleness.poll_query_due(9 * SECOND), eq(false));
    expect_that!(staleness.next_wake(), eq(Micros::MAX));
    expect_that!(staleness.valid_until(1), none());
}

#[gtest]
fn further_nodes_are_queried_once_evidence_is_stale() {
    let mut staleness = StalenessBound::new(Some(BOUND), 0);
    expect_that!(staleness.is_stale(0), eq(true));
    staleness.observe(SECOND, 1);
    expect_that!(staleness.is_stale(2 * SECOND), eq(false));
    expect_that!(staleness.is_stale(3 * SECOND), eq(true));
    let due = |staleness: &mut StalenessBound, from: Micros| -> Vec<bool> {
        (0..5).map(|at| staleness.poll_query_due(from + at * 250 * MS)).collect()
    };
    expect_that!(due(&mut staleness, SECOND), eq(&[true, false, true, false, true]));
    // Queries are more frequent then.
    expect_that!(due(&mut staleness, 4 * SECOND), eq(&[true; 5]));
}

/// Runs simulations in which revoked keys have to stop working at every node within five seconds of an acknowledgment.
fn run(plan: Plan, seeds: u64) -> Result<()> {
    let mut total = Report::default();
    let mut failures = Vec::new();
    for seed in 0..seeds {
        let plan = Plan { revoke_within: Some(5 * SECOND), ..plan.clone() };
        let report = World::new(plan, seed).run();
        if let Some(violation) = &report.violation {
            failures.push(format!("seed {seed}: {violation}"));
        }
        total.add(&report);
    }
    if !failures.is_empty() {
        return fail!("{} runs violate an invariant:\n{}", failures.len(), failures.join("\n"));
    }
    verify_that!((total.checked > 0, total.acknowledged > 0), eq((true, true)))
}

#[gtest]
fn revoked_keys_stop_working_everywhere_under_faults() -> Result<()> {
    run(Plan::new(9, 3, 1), 40)?;
    run(Plan::new(9, 9, 2), 10)
}

/// A partitioned node does not learn of a change, but stops accepting keys all the same.
#[gtest]
fn revoked_keys_stop_working_at_partitioned_nodes() -> Result<()> {
    const DURATION: Micros = 11 * SECOND;
    let victims = [Victim::Primary, Victim::OtherCore, Victim::WithoutDisk, Victim::HalfWithPrimary];
    let kinds = [
        OutageKind::Partition,
        OutageKind::PartitionFromCore,
        OutageKind::Deaf,
        OutageKind::Mute,
        OutageKind::PartitionAndFrozen,
    ];
    for victim in victims {
        for kind in kinds {
            let outage = Some(Outage { victim, kind, duration: DURATION });
            let plan =
                Plan { faults: 0, outage, fault_free_for: DURATION + 8 * SECOND, ..Plan::new(8, 5, 2) };
            run(plan, 1)?;
        }
    }
    Ok(())
}
