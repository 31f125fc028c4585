//! The rules of `docs/control-state.md`, one by one.

mod cluster;

use cluster::{Cluster, Disk, MILLISECOND, name, put};
use googletest::prelude::*;
use gradepaddle_control::{
    Body, Input, Message, Outcome, Output, Prepare, ProposalNumber, Replica, ReplicaConfig, ReplicaId, Role,
};

const COMMITTED: Option<Outcome> = Some(Outcome::Committed);

/// A bootstrapped cluster with configuration 5, which came after 3, and version 4 of model `a`.
fn with_state(size: usize, losses: usize) -> Cluster {
    let mut cluster = Cluster::bootstrapped(size, losses);
    for change in [put(0, 3, 30), put(3, 5, 50), name("a", 4)] {
        let proposal_id = cluster.propose(0, change);
        cluster.settle();
        assert_eq!(cluster.answer(proposal_id), COMMITTED);
    }
    cluster
}

#[gtest]
fn changes_are_checked_against_the_committed_state() {
    let rows = [
        ("on top of the current one", put(5, 6, 60), Outcome::Committed),
        ("on top of an older one", put(3, 6, 60), Outcome::Conflict { current: 5 }),
        ("on top of no version", put(0, 6, 60), Outcome::Conflict { current: 5 }),
        ("on top of one that isn't in force yet", put(6, 7, 60), Outcome::Unknown),
        ("above the current one and never above its base", put(7, 7, 60), Outcome::Conflict { current: 5 }),
        ("not above the current one", put(5, 5, 60), Outcome::VersionNotHigher { current: 5 }),
        ("the current one again", put(3, 5, 50), Outcome::Committed),
        ("an older one that was committed", put(0, 3, 30), Outcome::Committed),
        ("a higher version of a model", name("a", 5), Outcome::Committed),
        ("the same version of a model", name("a", 4), Outcome::Committed),
        ("a lower version of a model", name("a", 2), Outcome::Committed),
        ("a new model", name("b", 1), Outcome::Committed),
    ];
    for (what, change, outcome) in rows {
        let mut cluster = with_state(3, 1);
        let proposal_id = cluster.propose(0, change);
        cluster.settle();
        expect_that!(cluster.answer(proposal_id), some(eq(outcome)), "{what}");
    }
}

#[gtest]
fn a_retry_of_a_committed_change_alters_nothing() {
    let mut cluster = with_state(3, 1);
    for change in [put(0, 3, 30), name("a", 2)] {
        cluster.propose(0, change);
        cluster.settle();
    }
    expect_that!(cluster.replica(0).state().current_version(), eq(5));
    expect_that!(cluster.replica(0).state().models.get("a"), some(eq(&4)));
}

#[gtest]
fn nothing_is_acknowledged_before_the_whole_data_set_has_it() {
    for slow in [0, 1, 2] {
        let mut cluster = with_state(5, 2);
        cluster.set_disk(slow, Disk::Hanging);
        let proposal_id = cluster.propose(0, put(5, 6, 60));
        cluster.run(300);
        expect_that!(cluster.answer(proposal_id), none(), "node {slow}");
        cluster.set_disk(slow, Disk::Healthy);
        cluster.settle();
        expect_that!(cluster.answer(proposal_id), eq(COMMITTED), "node {slow}");
        for node_index in [0, 1, 2] {
            let kept =
                cluster.nodes[node_index].stored.data.as_ref().map(|data| data.state.current_version());
            expect_that!(kept, some(eq(6)), "node {node_index}");
        }
    }
}

#[gtest]
fn a_witness_holds_no_data() {
    let cluster = with_state(5, 2);
    for (node_index, keeps) in [(0, true), (1, true), (2, true), (3, false), (4, false)] {
        expect_that!(cluster.nodes[node_index].stored.data.is_some(), eq(keeps), "node {node_index}");
    }
}

#[gtest]
fn a_rival_is_checked_only_once_the_pending_change_is_decided() {
    let mut cluster = with_state(3, 1);
    cluster.set_disk(1, Disk::Hanging);
    let first = cluster.propose(0, put(5, 6, 60));
    let rival = cluster.propose(0, put(5, 7, 70));
    let again = cluster.propose(0, put(5, 6, 60));
    cluster.run(300);
    for proposal_id in [first, rival, again] {
        expect_that!(cluster.answer(proposal_id), none());
    }
    cluster.set_disk(1, Disk::Healthy);
    cluster.settle();
    expect_that!(cluster.answer(first), eq(COMMITTED));
    expect_that!(cluster.answer(rival), some(eq(Outcome::Conflict { current: 6 })));
    expect_that!(cluster.answer(again), eq(COMMITTED));
}

#[gtest]
fn other_replicas_name_the_primary() {
    let mut cluster = with_state(3, 1);
    let primary = Some(cluster.nodes[0].address);
    for node_index in [1, 2] {
        let proposal_id = cluster.propose(node_index, put(5, 6, 60));
        expect_that!(cluster.answer(proposal_id), some(eq(Outcome::NotPrimary { primary })));
    }
}

#[gtest]
fn a_change_without_a_decision_is_answered_unknown() {
    let mut cluster = with_state(3, 1);
    cluster.cut(0);
    let pending = cluster.propose(0, put(5, 6, 60));
    let queued = cluster.propose(0, put(5, 7, 70));
    cluster.run(3_600);
    expect_that!(cluster.answer(pending), some(eq(Outcome::Unknown)));
    expect_that!(cluster.answer(queued), some(eq(Outcome::NotPrimary { primary: None })));
}

#[gtest]
fn a_partitioned_primary_stops_before_another_starts() {
    let mut cluster = with_state(3, 1);
    cluster.cut(0);
    let mut gap = 0;
    for _ in 0..1_000 {
        cluster.run(5);
        match cluster.leader() {
            None => gap += 1,
            Some(0) => {}
            Some(other) => {
                expect_that!(other, eq(1), "the backup takes over");
                break;
            }
        }
    }
    expect_that!(gap, gt(0), "there is a while without a leader");
    expect_that!(gap, lt(100), "it is short");
    expect_that!(cluster.replica(1).state().current_version(), eq(5));
}

#[gtest]
fn a_primary_that_was_suspended_has_no_lease_when_it_resumes() {
    let cluster = with_state(3, 1);
    let woken = cluster.now + 2_000 * MILLISECOND;
    expect_that!(cluster.replica(0).leading(cluster.now), some(eq(1)));
    expect_that!(cluster.replica(0).leading(woken), none());
}

fn message(sender: u64, body: Body) -> Message {
    Message { sender: ReplicaId(sender), body }
}

/// The reply of a member to a request for a promise.
fn prepare(
    cluster: &mut Cluster,
    node_index: usize,
    sender: u64,
    epoch: u64,
    released: Option<ProposalNumber>,
) -> Option<Body> {
    let now = cluster.now;
    let node = &mut cluster.nodes[node_index];
    let from = "10.0.0.250:7640".parse().expect("an address");
    let body = Body::Prepare(Prepare { epoch, position: None, released });
    let mut out = Vec::new();
    let replica = node.replica.as_mut().expect("the replica is running");
    replica.handle(now, Input::Message { from, message: message(sender, body) }, &mut out);
    let written: Vec<_> = out
        .iter()
        .filter_map(|output| match output {
            Output::Persist { write_id, .. } => Some(*write_id),
            _ => None,
        })
        .collect();
    for write_id in written {
        replica.handle(now, Input::WriteCompleted { write_id }, &mut out);
    }
    out.into_iter().find_map(|output| match output {
        Output::Send { to, message } if to == from => Some(message.body),
        _ => None,
    })
}

#[gtest]
fn promises_and_rejections() {
    let holder = ProposalNumber { epoch: 1, candidate: ReplicaId(1_000) };
    let older = ProposalNumber { epoch: 0, candidate: ReplicaId(1_000) };
    let foreign = ProposalNumber { epoch: 9, candidate: ReplicaId(1_001) };
    // case, candidate, epoch, released, milliseconds since the last heartbeat, whether the epoch is promised
    let rows = [
        ("within the lease of another candidate", 1_002, 2, None, 0, false),
        ("after the lease", 1_002, 2, None, 1_600, true),
        ("an old epoch after the lease", 1_002, 1, None, 1_600, false),
        ("for the lease holder itself", 1_000, 2, None, 0, true),
        ("for the lease holder with an old epoch", 1_000, 1, None, 0, true),
        ("lease released by its holder", 1_002, 2, Some(holder), 0, true),
        ("release older than the lease", 1_002, 2, Some(older), 0, false),
        ("release by another replica", 1_002, 2, Some(foreign), 0, false),
        ("for a candidate that isn't a member", 5_000, 2, None, 1_600, false),
    ];
    for (what, candidate, epoch, released, wait, promised) in rows {
        let mut cluster = with_state(3, 1);
        cluster.now += wait * MILLISECOND;
        let answer = prepare(&mut cluster, 1, candidate, epoch, released);
        let is_promise = matches!(answer, Some(Body::Promise(_)));
        expect_that!(is_promise, eq(promised), "{what}: {answer:?}");
    }
}

#[gtest]
fn an_epoch_is_promised_once() {
    let mut cluster = with_state(3, 1);
    cluster.now += 1_600 * MILLISECOND;
    for (candidate, promised) in [(1_002, true), (1_000, false), (1_002, true)] {
        let answer = prepare(&mut cluster, 1, candidate, 2, None);
        expect_that!(matches!(answer, Some(Body::Promise(_))), eq(promised), "{candidate}");
    }
}

#[gtest]
fn a_restarted_member_waits_for_leases_that_it_forgot() {
    // candidate, milliseconds since the restart, whether the epoch is promised
    for (candidate, wait, promised) in
        [(1_002, 0, false), (1_002, 1_400, false), (1_002, 1_501, true), (1_000, 0, true)]
    {
        let mut cluster = with_state(3, 1);
        cluster.crash(1);
        cluster.start(1);
        cluster.now += wait * MILLISECOND;
        let answer = prepare(&mut cluster, 1, candidate, 2, None);
        expect_that!(matches!(answer, Some(Body::Promise(_))), eq(promised), "{candidate} after {wait}");
    }
}

#[gtest]
fn nothing_is_sent_before_it_is_durable() {
    let mut cluster = with_state(3, 1);
    cluster.now += 1_600 * MILLISECOND;
    cluster.set_disk(1, Disk::Hanging);
    let now = cluster.now;
    let from = cluster.nodes[2].address;
    let body = Body::Prepare(Prepare { epoch: 2, position: None, released: None });
    let mut out = Vec::new();
    let replica = cluster.nodes[1].replica.as_mut().expect("the replica is running");
    replica.handle(now, Input::Message { from, message: message(1_002, body) }, &mut out);
    let promised = out.iter().any(
        |output| matches!(output, Output::Send { message, .. } if matches!(message.body, Body::Promise(_))),
    );
    expect_that!(promised, eq(false));
}

#[gtest]
fn a_primary_that_restarts_leads_again_at_once_under_a_new_epoch() {
    let mut cluster = with_state(3, 1);
    cluster.crash(0);
    cluster.run(200);
    cluster.start(0);
    cluster.run(200);
    expect_that!(cluster.leader(), some(eq(0)));
    expect_that!(cluster.replica(0).leading(cluster.now), some(gt(1)));
    expect_that!(cluster.replica(0).state().current_version(), eq(5));
}

#[gtest]
fn a_power_loss_of_all_keeps_the_state() {
    let mut cluster = with_state(3, 1);
    (0..3).for_each(|node_index| cluster.crash(node_index));
    cluster.run(100);
    (0..3).for_each(|node_index| cluster.start(node_index));
    cluster.run(400);
    let leader = cluster.leader().expect("there is a leader");
    expect_that!(cluster.replica(leader).state().current_version(), eq(5));
}

#[gtest]
fn tolerated_losses_of_disks_keep_the_state() {
    for (size, losses, lost) in
        [(3, 1, vec![0]), (3, 1, vec![1]), (5, 2, vec![0, 1]), (5, 2, vec![0, 2]), (8, 2, vec![1, 2])]
    {
        let mut cluster = with_state(size, losses);
        (0..size).for_each(|node_index| cluster.crash(node_index));
        lost.iter().for_each(|node_index| cluster.wipe(*node_index));
        (0..size).for_each(|node_index| cluster.start(node_index));
        cluster.run(6_000);
        let leader = cluster.leader().expect("there is a leader");
        expect_that!(cluster.replica(leader).state().current_version(), eq(5), "{size} without {lost:?}");
        expect_that!(cluster.members(), eq(&(0..size).collect::<Vec<_>>()), "{size} without {lost:?}");
        expect_that!(cluster.backups().len(), eq(losses));
    }
}

#[gtest]
fn a_graceful_shutdown_transfers_leadership() {
    let mut cluster = with_state(3, 1);
    cluster.input(0, Input::ShutDown);
    cluster.run(250);
    expect_that!(cluster.leader(), some(eq(1)));
    expect_that!(cluster.nodes[0].ready_to_exit, eq(true));
    expect_that!(cluster.backups(), elements_are![eq(&2)]);
}

#[gtest]
fn a_graceful_shutdown_of_a_backup_or_witness_delays_nothing() {
    for (node_index, within) in [(1, 900), (2, 10)] {
        let mut cluster = with_state(3, 1);
        cluster.input(node_index, Input::ShutDown);
        cluster.run(within);
        expect_that!(cluster.nodes[node_index].ready_to_exit, eq(true), "node {node_index}");
        expect_that!(cluster.backups(), not(contains(eq(&node_index))));
    }
}

#[gtest]
fn a_backup_in_shutdown_is_better_than_none() {
    let mut cluster = with_state(3, 1);
    cluster.crash(2);
    cluster.run(2_500);
    cluster.input(0, Input::ShutDown);
    cluster.run(500);
    expect_that!(cluster.leader(), some(eq(1)));
    expect_that!(cluster.backups(), elements_are![eq(&0)]);
}

#[gtest]
fn a_replica_with_a_failing_disk_is_replaced_as_backup() {
    for disk in [Disk::Full, Disk::Hanging] {
        for node_index in [0, 1] {
            let mut cluster = with_state(3, 1);
            cluster.set_disk(node_index, disk);
            let proposal_id = cluster.propose(0, put(5, 6, 60));
            cluster.run(2_000);
            let leader = cluster.leader().expect("there is a leader");
            let data_set: Vec<usize> = cluster.backups().into_iter().chain([leader]).collect();
            expect_that!(data_set, not(contains(eq(&node_index))), "{disk:?} at {node_index}");
            expect_that!(
                cluster.answer(proposal_id),
                some(any![eq(Outcome::Committed), eq(Outcome::Unknown)])
            );
            let again = cluster.propose(leader, put(5, 6, 60));
            cluster.settle();
            expect_that!(cluster.answer(again), eq(COMMITTED), "{disk:?} at {node_index}");
        }
    }
}

#[gtest]
fn a_recovered_disk_counts_again() {
    let mut cluster = with_state(3, 1);
    cluster.set_disk(1, Disk::Full);
    cluster.propose(0, put(5, 6, 60));
    cluster.run(1_500);
    expect_that!(cluster.replica(1).status().disk_healthy, eq(false));
    cluster.set_disk(1, Disk::Healthy);
    cluster.run(1_100);
    expect_that!(cluster.replica(1).status().disk_healthy, eq(true));
}

#[gtest]
fn an_unresponsive_backup_is_replaced_sooner_while_a_change_waits() {
    for (waits, within) in [(true, 1_000), (false, 1_800)] {
        let mut cluster = with_state(3, 1);
        cluster.crash(1);
        let proposal_id = waits.then(|| cluster.propose(0, put(5, 6, 60)));
        cluster.run(700);
        expect_that!(cluster.backups(), elements_are![eq(&1)]);
        cluster.run(within - 700);
        expect_that!(cluster.backups(), elements_are![eq(&2)], "a change waits: {waits}");
        if let Some(proposal_id) = proposal_id {
            expect_that!(cluster.answer(proposal_id), eq(COMMITTED));
        }
    }
}

#[gtest]
fn a_machine_with_an_emptied_disk_replaces_its_former_self() {
    let mut cluster = with_state(3, 1);
    cluster.wipe(2);
    cluster.start(2);
    cluster.run(1_500);
    expect_that!(cluster.members(), elements_are![eq(&0), eq(&1), eq(&2)]);
    expect_that!(cluster.view(0).view.members.len(), eq(3));
}

#[gtest]
fn a_machine_at_another_address_replaces_an_unreachable_member() {
    for gone in [1, 2] {
        let mut cluster = with_state(3, 1);
        cluster.crash(gone);
        let added = cluster.add(false);
        cluster.run(4_000);
        let expected: Vec<usize> = (0..=added).filter(|node_index| *node_index != gone).collect();
        expect_that!(cluster.members(), eq(&expected), "without {gone}");
        expect_that!(cluster.view(0).view.target_size, eq(3));
    }
}

#[gtest]
fn a_late_first_boot_raises_the_target_size() {
    for (first_boot, target) in [(true, 4), (false, 3)] {
        let mut cluster = with_state(3, 1);
        cluster.add(first_boot);
        cluster.run(1_500);
        expect_that!(cluster.members().len(), eq(4));
        expect_that!(cluster.view(0).view.target_size, eq(target));
    }
}

#[gtest]
fn a_removed_member_joins_again() {
    let mut cluster = with_state(3, 1);
    cluster.cut(2);
    cluster.add(false);
    cluster.run(4_000);
    expect_that!(cluster.members(), elements_are![eq(&0), eq(&1), eq(&3)]);
    cluster.heal_network();
    cluster.run(5_000);
    expect_that!(cluster.members(), elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn an_idle_cluster_keeps_its_view_and_writes_nothing() {
    for (size, losses) in [(1, 1), (2, 1), (3, 1), (5, 2), (8, 2)] {
        let mut cluster = with_state(size, losses);
        let before: Vec<_> = cluster.nodes.iter().map(|node| node.writes).collect();
        cluster.run(30_000);
        let after: Vec<_> = cluster.nodes.iter().map(|node| node.writes).collect();
        expect_that!(after, eq(&before), "{size} replicas");
        expect_that!(cluster.replica(0).leading(cluster.now), some(eq(1)), "{size} replicas");
    }
}

#[gtest]
fn a_minority_changes_nothing() {
    let mut cluster = with_state(5, 2);
    for node_index in [2, 3, 4] {
        cluster.crash(node_index);
    }
    let proposal_id = cluster.propose(0, put(5, 6, 60));
    cluster.run(3_000);
    expect_that!(cluster.leader(), none());
    expect_that!(cluster.answer(proposal_id), none());
    for node_index in [2, 3, 4] {
        cluster.start(node_index);
    }
    cluster.run(4_000);
    let leader = cluster.leader().expect("there is a leader");
    let again = cluster.propose(leader, put(5, 6, 60));
    cluster.settle();
    expect_that!(cluster.answer(again), eq(COMMITTED));
}

#[gtest]
fn bootstrap_is_for_replicas_without_a_view() {
    let mut cluster = with_state(3, 1);
    let mut other = cluster.first_view(3);
    other.primary = cluster.nodes[2].stored.id;
    (0..3).for_each(|node_index| cluster.input(node_index, Input::Bootstrap { view: other.clone() }));
    cluster.run(500);
    expect_that!(cluster.leader(), some(eq(0)));
    expect_that!(cluster.replica(0).state().current_version(), eq(5));
}

#[gtest]
fn a_member_that_missed_the_bootstrap_learns_the_view() {
    let mut cluster = Cluster::bare(3, 1);
    let view = cluster.first_view(3);
    cluster.input(0, Input::Bootstrap { view: view.clone() });
    cluster.input(2, Input::Bootstrap { view });
    cluster.run(1_000);
    expect_that!(cluster.leader(), some(eq(0)));
    let proposal_id = cluster.propose(0, put(0, 1, 10));
    cluster.settle();
    expect_that!(cluster.answer(proposal_id), eq(COMMITTED));
    expect_that!(cluster.replica(1).status().role, eq(Role::Backup));
}

#[gtest]
fn an_empty_replica_alone_only_requests_to_join() {
    let address = "10.0.0.9:7640".parse().expect("an address");
    let config = ReplicaConfig::builder().address(address).zone("z").build();
    let mut replica = Replica::new(config, gradepaddle_control::RecoveredState::empty(ReplicaId(9)), 0);
    let mut out = Vec::new();
    let peer = "10.0.0.1:7640".parse().expect("an address");
    replica.handle(0, Input::Peers(vec![peer]), &mut out);
    for second in 1..20 {
        replica.handle(second * 1_000 * MILLISECOND, Input::Tick, &mut out);
    }
    let joins = out.iter().filter(
        |output| matches!(output, Output::Send { message, .. } if matches!(message.body, Body::Join { .. })),
    );
    expect_that!(joins.count(), eq(20));
    expect_that!(out.len(), eq(20));
}
