//! The histories of up to eight concurrent operators are linearizable as a compare-and-set register.

mod simulator;

use googletest::prelude::*;
use gradepaddle_control::InjectedFault;
use simulator::{Fault, History, Operation, Plan, Response, World, seeds};

const OPERATORS: usize = 8;
/// How many seeds are run for each cluster size.
const SEEDS: u64 = 1_000;
/// At most this many seeds are tried until a broken version is detected.
const BROKEN_SEEDS: u64 = 2_000;

fn plan(replicas: usize, machine_losses: usize) -> Plan {
    Plan { fault_interval: 700_000, ..Plan::new(replicas, machine_losses) }
}

fn explore(plan: &Plan) -> Result<()> {
    let (mut calls, mut longest, mut failures) = (0, 0, Vec::new());
    for seed in seeds(SEEDS) {
        let report = World::new(plan.clone(), seed).with_operators(OPERATORS).play();
        calls += report.history.len();
        longest = longest.max(report.history.len());
        if report.violation.is_some() || !report.history.linearizable() {
            failures.push(format!("seed {seed}: {:?}", report.violation));
        }
    }
    println!("{} replicas: {calls} calls, {longest} in the longest history", plan.replicas);
    expect_that!(failures, is_empty());
    Ok(())
}

#[gtest]
fn three_replicas_are_linearizable() -> Result<()> {
    explore(&plan(3, 1))
}

#[gtest]
fn five_replicas_are_linearizable() -> Result<()> {
    explore(&plan(5, 2))
}

#[gtest]
fn eight_replicas_are_linearizable() -> Result<()> {
    explore(&plan(8, 2))
}

/// The first seed whose history is not linearizable with the fault, although it is without.
fn first_violation(injected_fault: InjectedFault, plan: &Plan) -> Option<u64> {
    let broken = Plan { injected_fault: Some(injected_fault), ..plan.clone() };
    let is_linearizable = |plan: &Plan, seed| {
        World::new(plan.clone(), seed).with_operators(OPERATORS).play().history.linearizable()
    };
    (0..BROKEN_SEEDS).find(|seed| !is_linearizable(&broken, *seed) && is_linearizable(plan, *seed))
}

#[gtest]
fn broken_versions_have_histories_that_are_not_linearizable() {
    let takeovers = vec![Fault::CrashLeader, Fault::WipeLeader, Fault::Partition, Fault::HealNetwork];
    let often = Plan { only: takeovers, ..plan(3, 1) };
    let rows = [
        (InjectedFault::ForgetsHistoryAtInstall, often.clone()),
        (InjectedFault::AcknowledgesEarly, often.clone()),
        (InjectedFault::RejectsRivalEarly, often),
        (InjectedFault::LeadsForever, plan(3, 1)),
    ];
    for (injected_fault, plan) in rows {
        let seed = first_violation(injected_fault, &plan);
        println!("{injected_fault:?}: seed {seed:?}");
        expect_that!(seed, some(anything()), "{injected_fault:?}");
    }
}

fn put(if_match: u64, version: u64, fingerprint: u128) -> Operation {
    Operation::Put { if_match, version, fingerprint }
}

/// A history of sequential calls.
fn sequential_history(calls: &[(Operation, Option<Response>)]) -> History {
    let mut history = History::default();
    for (operation, response) in calls {
        let call = history.invoke(*operation);
        if let Some(response) = response {
            history.answer(call, *response);
        }
    }
    history
}

#[gtest]
fn the_search_distinguishes_histories() {
    use Response::{Committed, InForce, Refused};
    let first = (put(0, 1, 10), Some(Committed));
    let rows = [
        ("a resend", vec![first, first], true),
        ("a resend after another change", vec![first, (put(1, 2, 20), Some(Committed)), first], true),
        ("a resend that is rejected", vec![first, (put(0, 1, 10), Some(Refused))], false),
        ("two conflicting changes, both committed", vec![first, (put(0, 1, 11), Some(Committed))], false),
        (
            "two conflicting changes of different versions, both committed",
            vec![first, (put(0, 2, 11), Some(Committed))],
            false,
        ),
        ("a conflicting change that is rejected", vec![first, (put(0, 1, 11), Some(Refused))], true),
        ("a rejection without a conflict", vec![(put(0, 1, 10), Some(Refused))], false),
        (
            "a change of unknown outcome that was committed",
            vec![(put(0, 1, 10), None), (Operation::Read, Some(InForce(Some(10))))],
            true,
        ),
        (
            "a change of unknown outcome that was not committed",
            vec![(put(0, 1, 10), None), (Operation::Read, Some(InForce(None)))],
            true,
        ),
        (
            "a change of unknown outcome that is committed later",
            vec![
                (put(0, 1, 10), None),
                (Operation::Read, Some(InForce(None))),
                (put(1, 2, 20), Some(Committed)),
            ],
            true,
        ),
        (
            "a stale read",
            vec![first, (put(1, 2, 20), Some(Committed)), (Operation::Read, Some(InForce(Some(10))))],
            false,
        ),
        ("a change that is lost", vec![first, (Operation::Read, Some(InForce(None)))], false),
        (
            "a rejected change that is in force",
            vec![first, (put(0, 1, 11), Some(Refused)), (Operation::Read, Some(InForce(Some(11))))],
            false,
        ),
    ];
    for (what, calls, is_linearizable) in rows {
        expect_that!(sequential_history(&calls).linearizable(), eq(is_linearizable), "{what}");
    }
}

#[gtest]
fn concurrent_calls_may_take_effect_in_any_order() {
    let mut history = History::default();
    let (one, two) = (history.invoke(put(0, 1, 10)), history.invoke(put(1, 2, 20)));
    history.answer(two, Response::Committed);
    history.answer(one, Response::Committed);
    history.read(Some(20));
    expect_that!(history.linearizable(), eq(true));
    history.read(Some(10));
    expect_that!(history.linearizable(), eq(false));
}
