//! Broken versions of the protocol (injected faults): the exploration catches each of them.

mod simulator;

use googletest::prelude::*;
use gradepaddle_control::InjectedFault;
use simulator::{ClockRates, Fault, Loss, Plan, Rounds, SECOND, Violation, World};

/// At most this many seeds are tried.
const SEEDS: u64 = 3_000;

/// The first seed with which the broken version violates an invariant and the correct one doesn't.
fn first_violation(broken: &Plan) -> Option<(u64, Violation)> {
    let correct = Plan { injected_fault: None, wiped_disk_keeps_id: false, ..broken.clone() };
    (0..SEEDS).find_map(|seed| {
        let violation = World::new(broken.clone(), seed).play().violation?;
        let correct_passes = World::new(correct.clone(), seed).play().violation.is_none();
        (correct_passes && (is_conclusive(broken, &violation))).then_some((seed, violation))
    })
}

/// Whether the violation shows the fault. A lack of progress does so only for faults that can't cause anything worse.
fn is_conclusive(broken: &Plan, violation: &Violation) -> bool {
    let stops = [
        InjectedFault::AcceptsBeforeInstall,
        InjectedFault::ExitsAtOnce,
        InjectedFault::GrowsAtOnce,
        InjectedFault::InstallsWithoutEpoch,
    ];
    broken.injected_fault.is_some_and(|injected_fault| stops.contains(&injected_fault))
        || !matches!(violation, Violation::NoProgress(_))
}

fn caught(plan: &Plan) -> Result<()> {
    match first_violation(plan) {
        Some((seed, violation)) => {
            let what: String = format!("{violation:?}").chars().take(150).collect();
            println!("{:?}, {} replicas: seed {seed}: {what}", plan.injected_fault, plan.replicas);
            Ok(())
        }
        None => fail!("{plan:?} wasn't caught in {SEEDS} seeds"),
    }
}

fn caught_with(injected_fault: InjectedFault) -> Result<()> {
    caught(&Plan { injected_fault: Some(injected_fault), ..Plan::new(3, 1) })
}

#[gtest]
fn acknowledging_before_the_backup_is_caught() -> Result<()> {
    caught_with(InjectedFault::AcknowledgesEarly)
}

#[gtest]
fn a_promise_that_is_not_durable_is_caught() -> Result<()> {
    let only = vec![
        Fault::CrashInWrite,
        Fault::CrashInWrite,
        Fault::CutLink,
        Fault::OneWayPartition,
        Fault::HealNetwork,
        Fault::NetworkConditions,
    ];
    caught(&Plan {
        injected_fault: Some(InjectedFault::ForgetsPromise),
        only,
        fault_interval: 300_000,
        ..Plan::new(3, 1)
    })
}

#[gtest]
fn granting_against_a_lease_is_caught() -> Result<()> {
    caught_with(InjectedFault::IgnoresLease)
}

#[gtest]
fn leading_without_a_lease_is_caught() -> Result<()> {
    caught_with(InjectedFault::LeadsForever)
}

#[gtest]
fn reading_without_a_lease_is_caught() -> Result<()> {
    caught_with(InjectedFault::ReadsWithoutLease)
}

#[gtest]
fn accepting_before_the_backups_have_the_data_is_caught() -> Result<()> {
    let only = vec![
        Fault::WipeInWrite,
        Fault::WipeLeader,
        Fault::CutLink,
        Fault::HealNetwork,
        Fault::NetworkConditions,
    ];
    caught(&Plan { injected_fault: Some(InjectedFault::AcceptsBeforeInstall), only, ..Plan::new(3, 1) })
}

#[gtest]
fn taking_any_data_is_caught() -> Result<()> {
    caught(&Plan { injected_fault: Some(InjectedFault::TakesAnyData), ..Plan::new(5, 1) })
}

#[gtest]
fn skipping_the_previous_members_is_caught() -> Result<()> {
    let only = vec![Fault::Add, Fault::Partition, Fault::SplitAtChange];
    caught(&Plan {
        injected_fault: Some(InjectedFault::SkipsPreviousMembers),
        only,
        fault_interval: 1_500_000,
        ..Plan::new(3, 1)
    })
}

#[gtest]
fn granting_leases_at_once_after_a_restart_is_caught() -> Result<()> {
    let only =
        vec![Fault::CutLink, Fault::CutLink, Fault::CutLink, Fault::Crash, Fault::Crash, Fault::HealNetwork];
    caught(&Plan { injected_fault: Some(InjectedFault::GrantsAfterRestart), only, ..Plan::new(3, 1) })
}

#[gtest]
fn rejecting_the_rival_of_a_pending_change_is_caught() -> Result<()> {
    caught_with(InjectedFault::RejectsRivalEarly)
}

#[gtest]
fn losing_the_accepted_history_at_an_installation_is_caught() -> Result<()> {
    caught_with(InjectedFault::ForgetsHistoryAtInstall)
}

#[gtest]
fn installing_a_snapshot_without_its_epoch_is_caught() -> Result<()> {
    caught_with(InjectedFault::InstallsWithoutEpoch)
}

#[gtest]
fn an_identity_that_survives_its_disk_is_caught() -> Result<()> {
    caught(&Plan { wiped_disk_keeps_id: true, ..Plan::new(3, 1) })
}

/// Successive losses, each as soon as the one before no longer counts, which is `catch_up` after it has ended.
fn rounds(only: &'static [Loss], catch_up: u64) -> Plan {
    let disabled = false;
    let rounds = Rounds {
        count: 6,
        catch_up,
        power_losses: disabled,
        power_losses_at_changes: disabled,
        unreliable_links: disabled,
        disk_faults: disabled,
        only,
    };
    Plan { rounds: Some(rounds), ..Plan::new(3, 1) }
}

#[gtest]
fn exiting_before_the_view_is_independent_is_caught() -> Result<()> {
    let only = &[Loss::PlannedReplacement, Loss::Wipe];
    caught(&Plan { injected_fault: Some(InjectedFault::ExitsAtOnce), ..rounds(only, 4 * SECOND) })
}

#[gtest]
fn growing_beside_an_unresponsive_member_is_caught() -> Result<()> {
    // The broken version takes a little longer than the correct one, which has caught up after 3.5 s.
    caught(&Plan {
        injected_fault: Some(InjectedFault::GrowsAtOnce),
        ..rounds(&[Loss::Replace], 7 * SECOND / 2)
    })
}

/// Here the environment is broken, not the protocol: clocks drift by more than the lease margin allows.
#[gtest]
fn clock_drift_beyond_the_lease_margin_is_caught() -> Result<()> {
    let only = vec![
        Fault::Partition,
        Fault::OneWayPartition,
        Fault::CutLink,
        Fault::Split,
        Fault::SuspendLeader,
        Fault::HealNetwork,
    ];
    let clock_rates = ClockRates { slowest: 850, fastest: 1_150 };
    let apart = Plan { only, clock_rates, ..Plan::new(3, 1) };
    let found = (0..SEEDS).find_map(|seed| World::new(apart.clone(), seed).play().violation);
    verify_that!(found.map(|violation| format!("{violation:?}")), some(contains_substring("TwoLeaders")))
}
