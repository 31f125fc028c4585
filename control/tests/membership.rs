//! View changes one by one: who is admitted, who is removed, and when a replica in shutdown may exit.

mod cluster;

use cluster::{Cluster, Disk, put};
use googletest::prelude::*;
use gradepaddle_control::{Body, Input, Message, Outcome, ReplicaId};

const COMMITTED: Option<Outcome> = Some(Outcome::Committed);

/// A bootstrapped cluster with configuration 5.
fn with_state(size: usize, losses: usize) -> Cluster {
    let mut cluster = Cluster::bootstrapped(size, losses);
    change(&mut cluster, put(0, 5, 50));
    cluster
}

/// Commits a change at the primary.
fn change(cluster: &mut Cluster, change: gradepaddle_control::Change) {
    let leader = cluster.leader().expect("there is a leader");
    let proposal_id = cluster.propose(leader, change);
    cluster.settle();
    assert_eq!(cluster.answer(proposal_id), COMMITTED);
}

fn size(cluster: &Cluster) -> usize {
    cluster.view(cluster.leader().expect("there is a leader")).view.members.len()
}

#[gtest]
fn a_joiner_waits_beside_an_unresponsive_member_and_then_replaces_it() {
    for gone in [1, 2] {
        let mut cluster = with_state(3, 1);
        cluster.crash(gone);
        cluster.run(1_000);
        let added = cluster.add(false);
        cluster.run(500);
        expect_that!(size(&cluster), eq(3), "no larger majority while {gone} is silent");
        expect_that!(cluster.members(), not(contains(eq(&added))));
        cluster.run(1_500);
        let expected: Vec<usize> = (0..=added).filter(|node_index| *node_index != gone).collect();
        expect_that!(cluster.members(), eq(&expected), "without {gone}");
    }
}

#[gtest]
fn a_joiner_is_admitted_at_once_beside_live_members() {
    let mut cluster = with_state(3, 1);
    cluster.add(false);
    cluster.run(300);
    expect_that!(cluster.members(), elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn a_joiner_replaces_an_unresponsive_primary_within_catch_up() {
    let mut cluster = with_state(3, 1);
    cluster.crash(0);
    let added = cluster.add(false);
    cluster.run(3_500);
    expect_that!(cluster.members(), elements_are![eq(&1), eq(&2), eq(&added)]);
    expect_that!(cluster.view(added).active, eq(true));
}

#[gtest]
fn a_joiner_with_a_failing_disk_is_not_admitted() {
    let mut cluster = with_state(3, 1);
    let added = cluster.add(false);
    cluster.set_disk(added, Disk::Full);
    // A write, by which the joiner detects that its disk fails.
    cluster.input(added, Input::Bootstrap { view: cluster.first_view(3) });
    cluster.run(2_000);
    expect_that!(cluster.members(), not(contains(eq(&added))));
    cluster.set_disk(added, Disk::Healthy);
    cluster.run(3_000);
    expect_that!(cluster.members(), contains(eq(&added)));
}

#[gtest]
fn a_delayed_join_request_of_a_gone_replica_replaces_nobody() {
    let mut cluster = with_state(3, 1);
    // The machine of node 2 has lost its disk twice; a request of the replica between the losses arrives late.
    let stale = gradepaddle_control::Member {
        id: ReplicaId(4_242),
        address: cluster.nodes[2].address,
        zone: "zone-2".into(),
    };
    let body = Body::Join { member: stale.clone(), first_boot: false };
    let from = cluster.nodes[2].address;
    cluster.input(0, Input::Message { from, message: Message { sender: stale.id, body } });
    cluster.run(5_000);
    expect_that!(cluster.members(), elements_are![eq(&0), eq(&1), eq(&2)]);
    expect_that!(cluster.view(0).view.member(stale.id), none());
}

#[gtest]
fn a_shutdown_with_a_successor_waits_for_the_view_without_the_member() {
    for leaver in [0, 1, 2] {
        let mut cluster = with_state(3, 1);
        let added = cluster.add(false);
        cluster.run(500);
        cluster.input(leaver, Input::ShutDown);
        expect_that!(cluster.nodes[leaver].ready_to_exit, eq(false), "node {leaver}");
        while !cluster.nodes[leaver].ready_to_exit {
            cluster.run(5);
        }
        cluster.crash(leaver);
        // From now on any one more member may be lost for good.
        let next = cluster.leader().expect("there is a leader");
        cluster.wipe(next);
        cluster.run(3_000);
        change(&mut cluster, put(5, 6, 60));
        expect_that!(cluster.members(), contains(eq(&added)));
    }
}

#[gtest]
fn a_shutdown_without_a_successor_keeps_the_member() {
    let mut cluster = with_state(3, 1);
    cluster.input(1, Input::ShutDown);
    cluster.run(1_000);
    expect_that!(cluster.nodes[1].ready_to_exit, eq(true));
    expect_that!(cluster.members(), elements_are![eq(&0), eq(&1), eq(&2)]);
    expect_that!(cluster.backups(), elements_are![eq(&2)]);
}

#[gtest]
fn a_joiner_replaces_a_member_in_shutdown_at_once() {
    let mut cluster = with_state(3, 1);
    cluster.input(1, Input::ShutDown);
    cluster.run(500);
    cluster.crash(1);
    cluster.add(false);
    cluster.run(300);
    expect_that!(cluster.members(), elements_are![eq(&0), eq(&2), eq(&3)]);
}

#[gtest]
fn a_shutdown_with_the_only_copy_waits_until_another_has_it() {
    let mut cluster = with_state(3, 1);
    cluster.crash(1);
    cluster.set_disk(2, Disk::Hanging);
    cluster.input(0, Input::ShutDown);
    cluster.run(4_000);
    expect_that!(cluster.nodes[0].ready_to_exit, eq(false), "nobody else has the state");
    cluster.set_disk(2, Disk::Healthy);
    cluster.run(1_500);
    expect_that!(cluster.leader(), some(eq(2)));
    cluster.start(1);
    cluster.run(2_500);
    expect_that!(cluster.nodes[0].ready_to_exit, eq(true));
    cluster.crash(0);
    change(&mut cluster, put(5, 6, 60));
}

#[gtest]
fn a_shutdown_ends_at_its_timeout() {
    let mut cluster = with_state(3, 1);
    cluster.crash(1);
    cluster.crash(2);
    cluster.input(0, Input::ShutDown);
    cluster.run(6_900);
    expect_that!(cluster.nodes[0].ready_to_exit, eq(false));
    cluster.run(200);
    expect_that!(cluster.nodes[0].ready_to_exit, eq(true));
}

#[gtest]
fn all_backups_shut_down_one_after_the_other() {
    let mut cluster = with_state(5, 2);
    for (leaver, if_match) in [(1, 5), (2, 6), (3, 7)] {
        let added = cluster.add(false);
        cluster.run(500);
        cluster.input(leaver, Input::ShutDown);
        while !cluster.nodes[leaver].ready_to_exit {
            cluster.run(5);
        }
        cluster.crash(leaver);
        cluster.run(300);
        expect_that!(cluster.backups().len(), eq(2));
        expect_that!(cluster.members(), all![contains(eq(&added)), not(contains(eq(&leaver)))]);
        change(&mut cluster, put(if_match, if_match + 1, u128::from(if_match) * 10 + 10));
    }
}

#[gtest]
fn half_of_the_members_shut_down_at_once_beside_their_successors() {
    for (founded, losses) in [(3, 1), (5, 2), (8, 2)] {
        let mut cluster = with_state(founded, losses);
        let leavers: Vec<usize> = (0..founded / 2).collect();
        let added: Vec<usize> = leavers.iter().map(|_| cluster.add(false)).collect();
        cluster.run(200);
        leavers.iter().for_each(|leaver| cluster.input(*leaver, Input::ShutDown));
        cluster.run(6_000);
        for leaver in &leavers {
            expect_that!(cluster.nodes[*leaver].ready_to_exit, eq(true), "{leaver} of {founded}");
            cluster.crash(*leaver);
        }
        change(&mut cluster, put(5, 6, 60));
        let expected: Vec<usize> = (founded / 2..founded).chain(added).collect();
        expect_that!(cluster.members(), eq(&expected), "{founded}");
    }
}

#[gtest]
fn an_even_view_removes_an_unreachable_member() {
    let mut cluster = with_state(4, 1);
    cluster.crash(3);
    cluster.run(2_800);
    expect_that!(cluster.members(), elements_are![eq(&0), eq(&1), eq(&2)]);
    // It tolerates another loss for good.
    cluster.wipe(0);
    cluster.run(3_000);
    change(&mut cluster, put(5, 6, 60));
    // Machines that come back become members again.
    cluster.start(3);
    cluster.start(0);
    cluster.run(6_000);
    expect_that!(cluster.members(), elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn an_odd_view_keeps_an_unreachable_member() {
    for (founded, losses) in [(3, 1), (5, 2)] {
        let mut cluster = with_state(founded, losses);
        cluster.crash(founded - 1);
        cluster.run(10_000);
        expect_that!(size(&cluster), eq(founded));
    }
}

#[gtest]
fn with_too_few_live_members_there_is_still_a_backup() {
    let mut cluster = with_state(5, 2);
    cluster.crash(1);
    cluster.crash(2);
    cluster.run(3_000);
    expect_that!(cluster.backups(), elements_are![eq(&3), eq(&4)]);
    change(&mut cluster, put(5, 6, 60));
    cluster.input(3, Input::ShutDown);
    cluster.run(3_000);
    expect_that!(cluster.backups(), elements_are![eq(&4)]);
    change(&mut cluster, put(6, 7, 70));
}

#[gtest]
fn a_removed_member_does_not_raise_the_target_size() {
    let mut cluster = with_state(3, 1);
    cluster.cut(2);
    cluster.add(false);
    cluster.run(4_000);
    cluster.heal_network();
    cluster.run(5_000);
    expect_that!(size(&cluster), eq(4));
    expect_that!(cluster.view(0).view.target_size, eq(3));
}

#[gtest]
fn a_view_of_one_member_grows_and_gets_a_backup() {
    let mut cluster = Cluster::bootstrapped(1, 1);
    cluster.run(1_000);
    expect_that!(cluster.leader(), some(eq(0)));
    for count in 2..=3 {
        let joiner = cluster.add(true);
        cluster.run(6_000);
        expect_that!(cluster.members(), contains(eq(&joiner)));
        expect_that!(cluster.members().len(), eq(count));
        expect_that!(cluster.backups().len(), eq(1));
    }
    cluster.crash(0);
    cluster.run(6_000);
    expect_that!(cluster.leader(), some(not(eq(0))), "the first member may be lost now");
}
