//! Publishing that waits for acknowledgments.

mod simulation;

use googletest::prelude::*;
use simulation::{MS, SECOND, Simulation, address, item, tombstone};

fn nodes_with_item(fleet: &Simulation, key: &str) -> usize {
    let holds = |node: &&gradepaddle_gossip::Gossip| node.stamp(simulation::KIND, key).is_some();
    fleet.nodes.iter().flatten().filter(holds).count()
}

#[gtest]
fn acknowledged_once_two_others_have_it() {
    for nodes in [3, 9, 78, 400] {
        let mut fleet = Simulation::new(nodes, 21);
        fleet.run_for(2 * SECOND);
        let begin = fleet.now;
        fleet.publish_acknowledged(0, item("a", 1, b"x"), 1, 2, &[]);
        fleet.run_until_condition(begin + SECOND, |fleet| !fleet.acknowledgments.is_empty());
        let (at, acknowledged) = fleet.acknowledgments[&1];
        println!("{nodes} nodes: acknowledged in {:.1} ms", (at - begin) as f64 / MS as f64);
        expect_that!(acknowledged, eq(true));
        expect_that!(at - begin, le(5 * MS));
        expect_that!(nodes_with_item(&fleet, "a"), ge(3));
    }
}

#[gtest]
fn acknowledged_immediately_without_peers() {
    let mut fleet = Simulation::without_peers(1, 22);
    fleet.publish_acknowledged(0, item("a", 1, b"x"), 1, 2, &[]);
    expect_that!(fleet.acknowledgments.get(&1), some(eq(&(fleet.now, true))));
}

#[gtest]
fn acknowledged_by_the_only_peer() {
    let mut fleet = Simulation::new(2, 23);
    fleet.run_for(SECOND);
    fleet.publish_acknowledged(0, item("a", 1, b"x"), 1, 2, &[]);
    expect_that!(fleet.acknowledgments.is_empty(), eq(true));
    fleet.run_for(10 * MS);
    expect_that!(fleet.acknowledgments[&1].1, eq(true));
    expect_that!(nodes_with_item(&fleet, "a"), eq(2));
}

#[gtest]
fn preferred_peers_are_pushed_to_first() {
    let mut fleet = Simulation::new(78, 24);
    fleet.run_for(SECOND);
    let prefer = [address(40), address(41), address(42)];
    fleet.publish_acknowledged(0, item("a", 1, b"x"), 1, 2, &prefer);
    fleet.run_until_condition(fleet.now + SECOND, |fleet| !fleet.acknowledgments.is_empty());
    for node in [40, 41] {
        expect_that!(fleet.node(node).get(simulation::KIND, "a"), some(anything()), "node {node}");
    }
}

/// The preferred peers have stopped; the item is pushed to others 100 ms later.
#[gtest]
fn further_peers_are_pushed_to_when_the_first_have_stopped() {
    let mut fleet = Simulation::new(9, 25);
    fleet.run_for(SECOND);
    fleet.stop(3);
    fleet.stop(4);
    let begin = fleet.now;
    fleet.publish_acknowledged(0, item("a", 1, b"x"), 1, 2, &[address(3), address(4)]);
    fleet.run_for(SECOND);
    let (at, acknowledged) = fleet.acknowledgments[&1];
    expect_that!(acknowledged, eq(true));
    expect_that!(at - begin, le(250 * MS));
}

#[gtest]
fn acknowledged_over_lossy_links() {
    let mut fleet = Simulation::new(9, 26);
    fleet.run_for(SECOND);
    fleet.loss = 0.3;
    for publish_id in 0..100 {
        fleet.publish_acknowledged(
            publish_id as usize % 9,
            item(&format!("server-{publish_id}"), 1, b"x"),
            publish_id,
            2,
            &[],
        );
        fleet.run_for(50 * MS);
    }
    fleet.run_for(3 * SECOND);
    expect_that!(fleet.acknowledgments.len(), eq(100));
    expect_that!(fleet.acknowledgments.values().filter(|(_, acknowledged)| *acknowledged).count(), eq(100));
}

/// Isolated by a partition, the publisher reports a failure after two seconds; the item is still gossiped after it heals.
#[gtest]
fn acknowledgment_fails_in_a_partition() {
    let mut fleet = Simulation::new(9, 27);
    fleet.run_for(SECOND);
    fleet.group[0] = 1;
    let begin = fleet.now;
    fleet.publish_acknowledged(0, item("a", 1, b"x"), 1, 2, &[]);
    fleet.run_for(3 * SECOND);
    expect_that!(fleet.acknowledgments.get(&1), some(eq(&(begin + 2 * SECOND, false))));
    fleet.group[0] = 0;
    fleet.run_for(2 * SECOND);
    expect_that!(nodes_with_item(&fleet, "a"), eq(9));
}

/// With only one of eight peers reachable, two acknowledgments are impossible.
#[gtest]
fn acknowledgment_fails_with_one_reachable_peer_of_two_required() {
    let mut fleet = Simulation::new(9, 28);
    fleet.run_for(SECOND);
    fleet.group.fill(1);
    fleet.group[0] = 0;
    fleet.group[1] = 0;
    fleet.publish_acknowledged(0, item("a", 1, b"x"), 1, 2, &[]);
    fleet.run_for(3 * SECOND);
    expect_that!(fleet.acknowledgments[&1].1, eq(false));
}

/// The acknowledgment of a node that is no longer a peer does not count.
#[gtest]
fn the_copy_of_a_peer_that_has_left_does_not_count() {
    let mut fleet = Simulation::new(9, 29);
    fleet.run_for(SECOND);
    fleet.group.fill(1);
    fleet.group[0] = 0;
    fleet.group[1] = 0;
    fleet.publish_acknowledged(0, item("a", 1, b"x"), 1, 2, &[address(1)]);
    fleet.run_for(500 * MS);
    expect_that!(nodes_with_item(&fleet, "a"), eq(2));
    fleet.stop(1);
    fleet.set_all_peers(0);
    fleet.group.fill(0);
    fleet.group[3..].fill(1);
    fleet.run_for(500 * MS);
    expect_that!(fleet.acknowledgments.get(&1), none(), "only node 2 holds it beside node 0");
    fleet.group.fill(0);
    fleet.run_for(500 * MS);
    expect_that!(fleet.acknowledgments[&1].1, eq(true));
}

/// If the remaining peers have all acknowledged, the item is acknowledged although fewer copies exist than requested.
#[gtest]
fn fewer_peers_need_fewer_copies() {
    let mut fleet = Simulation::new(3, 30);
    fleet.run_for(SECOND);
    fleet.stop(2);
    fleet.publish_acknowledged(0, item("a", 1, b"x"), 1, 2, &[]);
    fleet.run_for(50 * MS);
    expect_that!(fleet.acknowledgments.get(&1), none());
    fleet.set_all_peers(0);
    fleet.run_for(200 * MS);
    expect_that!(fleet.acknowledgments[&1].1, eq(true));
}

/// An item that the others know with a higher stamp is acknowledged, since no older item can replace it.
#[gtest]
fn tombstones_and_newer_items_are_acknowledged() {
    let mut fleet = Simulation::new(3, 31);
    fleet.publish(1, item("a", 5, b"x"));
    fleet.run_for(SECOND);
    fleet.publish_acknowledged(0, item("a", 4, b"old"), 1, 2, &[]);
    fleet.publish_acknowledged(0, tombstone("a", 6), 2, 2, &[]);
    fleet.run_for(10 * MS);
    expect_that!(fleet.acknowledgments[&1].1 && fleet.acknowledgments[&2].1, eq(true));
    expect_that!(fleet.node(2).get(simulation::KIND, "a"), none());
}
