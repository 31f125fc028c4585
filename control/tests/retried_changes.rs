//! A change that is retried after a lost answer is never rejected, however many other changes were committed since.

mod cluster;

use cluster::{Cluster, put};
use googletest::prelude::*;
use gradepaddle_control::{ACCEPTED_HISTORY_ENTRIES, ControlState, Outcome};

/// More changes than a day of many hundreds holds.
const CHANGES: u64 = 1_000;

/// Commits versions `first + 1` to `last`, each on top of the one before.
fn change(cluster: &mut Cluster, first: u64, last: u64) {
    let leader = cluster.leader().expect("there is a leader");
    for version in first + 1..=last {
        let proposal_id = cluster.propose(leader, put(version - 1, version, u128::from(version)));
        cluster.settle();
        assert_eq!(cluster.answer(proposal_id), Some(Outcome::Committed), "version {version}");
        if version.is_multiple_of(20) {
            cluster.run(20);
        }
    }
}

/// Sends every change up to a version again; returns the answers other than [`Outcome::Committed`].
fn failed_retries(cluster: &mut Cluster, last: u64) -> Vec<(u64, Option<Outcome>)> {
    let leader = cluster.leader().expect("there is a leader");
    let answers = (1..=last).map(|version| {
        let proposal_id = cluster.propose(leader, put(version - 1, version, u128::from(version)));
        cluster.settle();
        (version, cluster.answer(proposal_id))
    });
    answers.filter(|(_, answer)| *answer != Some(Outcome::Committed)).collect()
}

#[gtest]
fn a_retry_is_acknowledged_after_a_thousand_other_changes() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    change(&mut cluster, 0, CHANGES);
    expect_that!(failed_retries(&mut cluster, CHANGES), is_empty());
    expect_that!(cluster.replica(0).state().current_version(), eq(CHANGES));
}

#[gtest]
fn the_accepted_history_survives_restarts_view_changes_and_joins() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    change(&mut cluster, 0, 200);
    cluster.crash(0);
    cluster.run(3_000);
    change(&mut cluster, 200, 300);
    expect_that!(failed_retries(&mut cluster, 300), is_empty(), "after a takeover");
    let leader = cluster.leader().expect("there is a leader");
    cluster.start(0);
    cluster.run(3_000);
    cluster.wipe(leader);
    cluster.start(leader);
    cluster.run(5_000);
    expect_that!(failed_retries(&mut cluster, 300), is_empty(), "after the loss of a disk");
    for node_index in 0..3 {
        cluster.crash(node_index);
    }
    for node_index in 0..3 {
        cluster.start(node_index);
    }
    cluster.run(5_000);
    expect_that!(failed_retries(&mut cluster, 300), is_empty(), "after all lost power");
    change(&mut cluster, 300, 310);
}

/// The state after this many changes, each with a version two higher than the one before.
fn state_after(changes: u64) -> ControlState {
    (1..=changes).fold(ControlState::default(), |state, number| {
        state.after(&put(2 * number - 2, 2 * number, u128::from(number)))
    })
}

#[gtest]
fn a_retry_older_than_the_history_is_answered_unknown_and_all_others_correctly() {
    let kept = ACCEPTED_HISTORY_ENTRIES as u64;
    let current = 2 * (kept + 10);
    let mut cluster = Cluster::bootstrapped(3, 1);
    cluster.restart_with_state(state_after(kept + 10));
    let conflict = Some(Outcome::Conflict { current });
    let rows = [
        ("older than the history", put(0, 2, 1), Some(Outcome::Unknown)),
        ("the newest that is older than the history", put(18, 20, 10), Some(Outcome::Unknown)),
        ("older than the history, never accepted", put(18, 19, 999), Some(Outcome::Unknown)),
        ("the oldest in the history", put(20, 22, 11), Some(Outcome::Committed)),
        ("a conflicting change on top of the same version", put(20, 22, 999), conflict),
        ("a conflicting change with another version", put(20, 23, 999), conflict),
        ("old, with a version not above its base", put(18, 18, 999), conflict),
        ("not above the current one", put(current, 3, 999), Some(Outcome::VersionNotHigher { current })),
        ("the current one", put(current - 2, current, u128::from(kept) + 10), Some(Outcome::Committed)),
        ("a new one", put(current, current + 1, 999), Some(Outcome::Committed)),
    ];
    for (what, change, outcome) in rows {
        let proposal_id = cluster.propose(0, change);
        cluster.settle();
        expect_that!(cluster.answer(proposal_id), eq(outcome), "{what}");
    }
}

/// Two changes are in transit at once, the second on top of the first. The second overtakes the first and arrives
/// twice.
#[gtest]
fn a_change_that_overtakes_its_base_is_answered_unknown() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    let (base, next) = (put(0, 1, 1), put(1, 2, 2));
    let early = cluster.propose(0, next.clone());
    cluster.settle();
    expect_that!(cluster.answer(early), some(eq(Outcome::Unknown)));
    for change in [base, next] {
        let proposal_id = cluster.propose(0, change);
        cluster.settle();
        expect_that!(cluster.answer(proposal_id), some(eq(Outcome::Committed)));
    }
}
