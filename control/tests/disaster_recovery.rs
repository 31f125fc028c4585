//! After a quorum is lost for good, an operator has one replica continue alone from its stored state.

mod cluster;

use cluster::{Cluster, put};
use googletest::prelude::*;
use gradepaddle_control::{
    EPOCH_GAP, Member, Outcome, RecoveredState, RecoveryError, RecoveryPlan, RecoverySource, ReplicaId,
    plan_recovery,
};

const COMMITTED: Option<Outcome> = Some(Outcome::Committed);

fn change(cluster: &mut Cluster, count: u64) {
    for _ in 0..count {
        let leader = cluster.leader().expect("there is a leader");
        let version = cluster.replica(leader).state().current_version();
        let proposal_id = cluster.propose(leader, put(version, version + 1, u128::from(version) + 1));
        cluster.run(20);
        assert_eq!(cluster.answer(proposal_id), COMMITTED, "version {}", version + 1);
    }
}

fn member(cluster: &Cluster, node_index: usize) -> Member {
    Member {
        id: cluster.nodes[node_index].stored.id,
        address: cluster.nodes[node_index].address,
        zone: "west".into(),
    }
}

/// Stops a machine, applies the recovery to its disk, and starts it again.
fn recover(cluster: &mut Cluster, node_index: usize) -> RecoveryPlan {
    cluster.crash(node_index);
    let member = member(cluster, node_index);
    let plan = plan_recovery(&cluster.nodes[node_index].stored, member, RecoverySource::StoredState);
    let plan = plan.expect("it holds the state");
    plan.records.iter().cloned().for_each(|record| cluster.nodes[node_index].stored.apply(record));
    cluster.start(node_index);
    plan
}

/// A cluster of five that has lost the backup and two other machines for good, with their disks. The primary and a
/// witness remain; returns both.
fn with_lost_majority() -> (Cluster, usize, usize) {
    let mut cluster = Cluster::bootstrapped(5, 1);
    cluster.run(1_000);
    change(&mut cluster, 12);
    let primary = cluster.leader().expect("there is a leader");
    let backups = cluster.backups();
    let witness =
        (0..5).find(|node_index| *node_index != primary && !backups.contains(node_index)).expect("a witness");
    for node_index in (0..5).filter(|node_index| *node_index != primary && *node_index != witness) {
        cluster.crash(node_index);
    }
    cluster.run(20_000);
    (cluster, primary, witness)
}

#[gtest]
fn a_replica_that_holds_the_state_goes_on_alone_and_others_join() {
    let (mut cluster, survivor, witness) = with_lost_majority();
    expect_that!(cluster.leader(), none(), "two of five are no quorum");
    let plan = recover(&mut cluster, survivor);
    expect_that!(plan.configuration_version, eq(12));
    expect_that!(plan.abandoned.len(), eq(4));
    cluster.run(5_000);
    expect_that!(cluster.leader(), some(eq(survivor)));
    expect_that!(cluster.replica(survivor).leading(cluster.now), some(ge(plan.epoch)));
    expect_that!(cluster.replica(survivor).state().current_version(), eq(12));
    change(&mut cluster, 3);
    let fresh = cluster.add(false);
    cluster.start(fresh);
    cluster.run(20_000);
    expect_that!(cluster.members(), contains(eq(&witness)), "the witness that was left joins");
    expect_that!(cluster.members(), contains(eq(&fresh)), "so does a new machine");
    // The machine that recovered may now be lost like any other.
    let backups = cluster.backups();
    expect_that!(backups, not(is_empty()));
    change(&mut cluster, 2);
    cluster.crash(survivor);
    cluster.run(10_000);
    let leader = cluster.leader();
    expect_that!(leader, some(anything()));
    expect_that!(leader.map(|leader| cluster.replica(leader).state().current_version()), some(eq(17)));
}

#[gtest]
fn a_lost_machine_that_comes_back_after_all_changes_nothing() {
    let (mut cluster, survivor, _) = with_lost_majority();
    let lost: Vec<usize> = (0..5).filter(|node_index| cluster.nodes[*node_index].replica.is_none()).collect();
    recover(&mut cluster, survivor);
    cluster.run(5_000);
    change(&mut cluster, 4);
    for node_index in lost {
        cluster.start(node_index);
    }
    cluster.run(20_000);
    let leader = cluster.leader().expect("there is a leader");
    expect_that!(cluster.replica(leader).state().current_version(), eq(16), "none brings the old state back");
}

#[gtest]
fn a_witness_can_not_recover_what_it_never_held() {
    let (cluster, _, witness) = with_lost_majority();
    let stored = &cluster.nodes[witness].stored;
    let member = member(&cluster, witness);
    expect_that!(
        plan_recovery(stored, member, RecoverySource::StoredState),
        err(eq(&RecoveryError::NoState))
    );
}

#[gtest]
fn with_all_data_lost_a_replica_begins_with_an_empty_state_in_a_later_epoch() {
    let (mut cluster, survivor, witness) = with_lost_majority();
    cluster.crash(survivor);
    cluster.crash(witness);
    let member = member(&cluster, witness);
    let last_epoch = cluster.nodes[witness].stored.view.as_ref().map_or(0, |known| known.view.epoch);
    let plan = plan_recovery(&cluster.nodes[witness].stored, member, RecoverySource::EmptyState);
    let plan = plan.expect("it holds no state");
    expect_that!(plan.epoch, ge(last_epoch + EPOCH_GAP));
    expect_that!(plan.configuration_version, eq(0));
    plan.records.into_iter().for_each(|record| cluster.nodes[witness].stored.apply(record));
    cluster.start(witness);
    cluster.run(5_000);
    expect_that!(cluster.leader(), some(eq(witness)));
    change(&mut cluster, 1);
}

#[gtest]
fn an_empty_state_never_replaces_one_that_is_there() {
    let (cluster, survivor, _) = with_lost_majority();
    let stored = &cluster.nodes[survivor].stored;
    let refused = plan_recovery(stored, member(&cluster, survivor), RecoverySource::EmptyState);
    expect_that!(refused, err(eq(&RecoveryError::StateExists)));
}

#[gtest]
fn a_replica_that_never_knew_a_view_may_recover_an_empty_state() {
    let stored = RecoveredState::empty(ReplicaId(7));
    let member = Member {
        id: ReplicaId(7),
        address: "10.0.0.1:7640".parse().expect("an address"),
        zone: "west".into(),
    };
    let plan = plan_recovery(&stored, member, RecoverySource::EmptyState);
    expect_that!(plan.map(|plan| (plan.epoch, plan.abandoned.len())), ok(eq((EPOCH_GAP, 0))));
}
