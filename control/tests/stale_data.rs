//! A member that was down, lost its disk or was restored from an older copy never becomes primary without all
//! acknowledged changes, nor helps another replica to.

mod cluster;

use cluster::{Cluster, put};
use googletest::prelude::*;
use gradepaddle_control::{Outcome, RecoveredState};

const COMMITTED: Option<Outcome> = Some(Outcome::Committed);

/// Commits this many more versions.
fn change(cluster: &mut Cluster, count: u64) {
    for _ in 0..count {
        let leader = cluster.leader().expect("there is a leader");
        let version = cluster.replica(leader).state().current_version();
        let proposal_id = cluster.propose(leader, put(version, version + 1, u128::from(version) + 1));
        cluster.run(20);
        assert_eq!(cluster.answer(proposal_id), COMMITTED, "version {}", version + 1);
    }
}

/// Runs, and checks at each step that the primary, if any, holds this version; returns whether there is a primary at
/// the end.
fn leads_only_with(cluster: &mut Cluster, version: u64, milliseconds: u64) -> bool {
    for _ in 0..milliseconds / 20 {
        cluster.run(20);
        if let Some(leader) = cluster.leader() {
            assert_eq!(cluster.replica(leader).state().current_version(), version, "node {leader} leads");
        }
    }
    cluster.leader().is_some()
}

/// A copy of the present disk of a node.
fn copy(cluster: &Cluster, node_index: usize) -> RecoveredState {
    cluster.nodes[node_index].stored.clone()
}

/// Restarts a node with an earlier copy of its disk.
fn restore(cluster: &mut Cluster, node_index: usize, copy: RecoveredState) {
    cluster.crash(node_index);
    cluster.nodes[node_index].stored = copy;
    cluster.start(node_index);
}

#[gtest]
fn a_member_that_missed_hundreds_of_changes_leads_with_all_or_not_at_all() {
    for away in 0..3 {
        for lost in (0..3).filter(|lost| *lost != away) {
            let mut cluster = Cluster::bootstrapped(3, 1);
            change(&mut cluster, 10);
            cluster.crash(away);
            cluster.run(4_000);
            change(&mut cluster, 200);
            cluster.crash(lost);
            cluster.start(away);
            let led = leads_only_with(&mut cluster, 210, 6_000);
            // Of the two copies of the data one is lost; the other is on the member that was neither away nor lost.
            expect_that!(led, eq(true), "{away} was away, {lost} is lost");
            change(&mut cluster, 5);
        }
    }
}

#[gtest]
fn emptied_members_lead_only_once_the_data_is_back() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    change(&mut cluster, 50);
    // Both copies at once, which is more than the cluster tolerates: one is lost for good, one is down temporarily.
    cluster.wipe(1);
    cluster.start(1);
    cluster.crash(0);
    expect_that!(leads_only_with(&mut cluster, 50, 8_000), eq(false));
    cluster.start(0);
    expect_that!(leads_only_with(&mut cluster, 50, 6_000), eq(true));
    change(&mut cluster, 5);
}

#[gtest]
fn a_backup_restored_from_an_older_disk_is_brought_up_to_date() {
    for (what, views) in [("of the same view", 0), ("of an earlier view", 2)] {
        let mut cluster = Cluster::bootstrapped(3, 1);
        change(&mut cluster, 10);
        let old = copy(&cluster, 1);
        change(&mut cluster, 20);
        for _ in 0..views {
            cluster.crash(0);
            cluster.run(4_000);
            cluster.start(0);
            cluster.run(4_000);
        }
        let version = cluster.replica(cluster.leader().expect("there is a leader")).state().current_version();
        if cluster.leader() != Some(1) {
            restore(&mut cluster, 1, old);
        }
        let leader = cluster.leader().expect("there is a leader");
        let proposal_id = cluster.propose(leader, put(version, version + 1, 7_777));
        cluster.run(3_000);
        expect_that!(cluster.answer(proposal_id), eq(COMMITTED), "{what}");
        change(&mut cluster, 20);
        cluster.crash(cluster.leader().expect("there is a leader"));
        expect_that!(leads_only_with(&mut cluster, version + 21, 6_000), eq(true), "{what}");
    }
}
