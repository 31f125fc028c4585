//! Copies inside and outside a group of nodes that may be lost together, and nodes that are shutting down.

mod simulation;

use std::net::SocketAddrV4;

use googletest::prelude::*;
use gradepaddle_gossip::ReplicationFactor;
use simulation::{KIND, MS, SECOND, Simulation, address, item};

/// The first three nodes may all lose their memory at the same time; any number of the others may be removed.
fn group() -> Vec<SocketAddrV4> {
    (0..3).map(address).collect()
}

/// The nodes that hold an item.
fn nodes_with_item(fleet: &Simulation, key: &str) -> Vec<usize> {
    let holds = |node: &usize| fleet.nodes[*node].as_ref().is_some_and(|node| node.get(KIND, key).is_some());
    (0..fleet.nodes.len()).filter(holds).collect()
}

#[gtest]
fn an_acknowledged_item_survives_the_loss_of_the_group() {
    for seed in 0..200 {
        for publisher in [0, 1, 5] {
            let mut fleet = Simulation::new(9, seed);
            // Of the nodes outside the group, only one besides the publisher is reachable.
            (3..8).filter(|node| *node != publisher).for_each(|node| fleet.group[node] = 1);
            let others: Vec<SocketAddrV4> =
                group().into_iter().filter(|node| *node != address(publisher)).collect();
            let (inside, outside) = if publisher < 3 { (1, 1) } else { (2, 0) };
            let copies = ReplicationFactor { count: 2, group: &others, inside, outside };
            fleet.publish_with_replication(publisher, item("a", 1, b"x"), 1, copies);
            let acknowledged =
                fleet.run_until_condition(3 * SECOND, |fleet| fleet.acknowledgments.contains_key(&1));
            expect_that!((acknowledged, fleet.acknowledgments[&1].1), eq((true, true)));
            let held = nodes_with_item(&fleet, "a");
            expect_that!(held.iter().filter(|node| **node < 3).count(), ge(2), "{publisher} of seed {seed}");
            expect_that!(held.iter().filter(|node| **node >= 3).count(), ge(1), "{publisher} of seed {seed}");
            // All nodes of the group lose power, and with it their items and pending sends.
            (0..3).for_each(|node| fleet.restart(node));
            fleet.group.fill(0);
            fleet.run_for(6 * SECOND);
            expect_that!(nodes_with_item(&fleet, "a").len(), eq(9), "{publisher} of seed {seed}");
        }
    }
}

#[gtest]
fn acknowledgment_fails_if_no_node_outside_the_group_answers() {
    let mut fleet = Simulation::new(9, 1);
    (3..9).for_each(|node| fleet.group[node] = 1);
    let others = [address(1), address(2)];
    let copies = ReplicationFactor { count: 2, group: &others, inside: 1, outside: 1 };
    fleet.publish_with_replication(0, item("a", 1, b"x"), 1, copies);
    fleet.run_for(4 * SECOND);
    expect_that!(fleet.acknowledgments[&1].1, eq(false));
}

#[gtest]
fn a_group_without_other_nodes_acknowledges_by_itself() {
    let mut fleet = Simulation::new(3, 1);
    let others = [address(1), address(2)];
    let copies = ReplicationFactor { count: 2, group: &others, inside: 1, outside: 1 };
    fleet.publish_with_replication(0, item("a", 1, b"x"), 1, copies);
    fleet.run_for(100 * MS);
    expect_that!(fleet.acknowledgments[&1].1, eq(true));
}

#[gtest]
fn nodes_that_are_shutting_down_do_not_count() {
    for seed in 0..200 {
        let mut fleet = Simulation::new(9, seed);
        let shutting_down = [1, 4, 5, 6];
        (3..=7).filter(|node| !shutting_down.contains(node)).for_each(|node| fleet.group[node] = 1);
        shutting_down.iter().for_each(|node| fleet.node(*node).shut_down());
        let others = [address(1), address(2)];
        let copies = ReplicationFactor { count: 2, group: &others, inside: 1, outside: 1 };
        fleet.publish_with_replication(0, item("a", 1, b"x"), 1, copies);
        fleet.run_until_condition(3 * SECOND, |fleet| fleet.acknowledgments.contains_key(&1));
        expect_that!(fleet.acknowledgments[&1].1, eq(true), "seed {seed}");
        let held = nodes_with_item(&fleet, "a");
        expect_that!(held, contains(eq(&2)), "seed {seed}");
        expect_that!(held, contains(eq(&8)), "seed {seed}");
    }
}

#[gtest]
fn copies_of_nodes_that_shut_down_suffice_where_there_are_no_others() {
    let mut fleet = Simulation::new(3, 1);
    [1, 2].iter().for_each(|node| fleet.node(*node).shut_down());
    let others = [address(1), address(2)];
    let copies = ReplicationFactor { count: 2, group: &others, inside: 1, outside: 1 };
    fleet.publish_with_replication(0, item("a", 1, b"x"), 1, copies);
    fleet.run_for(100 * MS);
    expect_that!(fleet.acknowledgments[&1].1, eq(true));
    expect_that!(nodes_with_item(&fleet, "a"), elements_are![eq(&0), eq(&1), eq(&2)]);
}
