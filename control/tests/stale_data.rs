//! A member that was down, lost its disk or was restored from an older copy never leads with less than was
//! acknowledged, nor helps another to.

mod cluster;

use cluster::{Cluster, put};
use googletest::prelude::*;
use gradepaddle_control::{Outcome, RecoveredState};

const TAKEN: Option<Outcome> = Some(Outcome::Committed);

/// Puts so many more versions in force.
fn change(cluster: &mut Cluster, count: u64) {
    for _ in 0..count {
        let leader = cluster.leader().expect("somebody leads");
        let version = cluster.replica(leader).state().current_version();
        let proposal_id = cluster.ask(leader, put(version, version + 1, u128::from(version) + 1));
        cluster.run(20);
        assert_eq!(cluster.answer(proposal_id), TAKEN, "version {}", version + 1);
    }
}

/// Runs and looks at each step that whoever leads holds this version; says whether somebody leads at the end.
fn leads_only_with(cluster: &mut Cluster, version: u64, milliseconds: u64) -> bool {
    for _ in 0..milliseconds / 20 {
        cluster.run(20);
        if let Some(leader) = cluster.leader() {
            assert_eq!(cluster.replica(leader).state().current_version(), version, "place {leader} leads");
        }
    }
    cluster.leader().is_some()
}

/// The disk of a place as it is now.
fn copy(cluster: &Cluster, place: usize) -> RecoveredState {
    cluster.nodes[place].kept.clone()
}

/// The machine comes back with a copy of its disk that was made before.
fn restore(cluster: &mut Cluster, place: usize, copy: RecoveredState) {
    cluster.crash(place);
    cluster.nodes[place].kept = copy;
    cluster.start(place);
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
            // What is left beside the one that was away holds the data: two copies, of which one is lost.
            expect_that!(led, eq(true), "{away} was away, {lost} is lost");
            change(&mut cluster, 5);
        }
    }
}

#[gtest]
fn emptied_members_lead_only_once_the_data_is_back() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    change(&mut cluster, 50);
    // Both copies at once, which is more than is promised to be borne: one for good, one for a while.
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
        let version = cluster.replica(cluster.leader().expect("somebody leads")).state().current_version();
        if cluster.leader() != Some(1) {
            restore(&mut cluster, 1, old);
        }
        let leader = cluster.leader().expect("somebody leads");
        let proposal_id = cluster.ask(leader, put(version, version + 1, 7_777));
        cluster.run(3_000);
        expect_that!(cluster.answer(proposal_id), eq(TAKEN), "{what}");
        change(&mut cluster, 20);
        cluster.crash(cluster.leader().expect("somebody leads"));
        expect_that!(leads_only_with(&mut cluster, version + 21, 6_000), eq(true), "{what}");
    }
}
