//! Removed items disappear on all nodes, and their tombstones expire on all nodes.

mod simulation;

use googletest::prelude::*;
use gradepaddle_gossip::Gossip;
use simulation::{KIND, SECOND, Simulation, item, tombstone};

fn has_stamp(fleet: &Simulation, node: usize) -> bool {
    fleet.nodes[node].as_ref().is_some_and(|node| node.stamp(KIND, "a").is_some())
}

fn nodes_with_stamp(fleet: &Simulation) -> usize {
    (0..fleet.nodes.len()).filter(|node| has_stamp(fleet, *node)).count()
}

fn nodes_with_item(fleet: &Simulation) -> usize {
    fleet.nodes.iter().flatten().filter(|node| node.get(KIND, "a").is_some()).count()
}

fn fleet_with_a(nodes: usize, seed: u64) -> Simulation {
    let mut fleet = Simulation::new(nodes, seed);
    fleet.publish(0, item("a", 1, b"x"));
    fleet.run_for(3 * SECOND);
    fleet
}

#[gtest]
fn a_removed_item_is_gone_everywhere_and_its_tombstone_expires_after_a_minute() {
    let mut fleet = fleet_with_a(9, 41);
    fleet.publish(1, tombstone("a", 2));
    fleet.run_for(2 * SECOND);
    expect_that!(nodes_with_item(&fleet), eq(0));
    expect_that!(fleet.nodes.iter().flatten().all(Gossip::is_empty), eq(true));
    fleet.run_for(57 * SECOND);
    expect_that!(nodes_with_stamp(&fleet), eq(9));
    fleet.run_for(2 * SECOND);
    expect_that!(nodes_with_stamp(&fleet), eq(0));
}

/// Until the tombstone expires, an older item that comes back is rejected, and its sender gets the tombstone.
#[gtest]
fn an_older_item_does_not_come_back_before_the_tombstone_expires() {
    for away in [20, 50, 55] {
        let mut fleet = fleet_with_a(9, 42);
        fleet.group[8] = 1;
        fleet.publish(1, tombstone("a", 2));
        fleet.run_for(away * SECOND);
        expect_that!(nodes_with_item(&fleet), eq(1));
        fleet.group[8] = 0;
        fleet.run_for(3 * SECOND);
        expect_that!(nodes_with_item(&fleet), eq(0), "after {away} s");
        fleet.run_for(60 * SECOND);
        expect_that!(nodes_with_item(&fleet) + nodes_with_stamp(&fleet), eq(0), "after {away} s");
    }
}

/// The documented limitation: a node that was partitioned for longer than `tombstone_ttl` brings the item back.
#[gtest]
fn an_older_item_comes_back_after_the_tombstone_has_expired() {
    let mut fleet = fleet_with_a(9, 43);
    fleet.group[8] = 1;
    fleet.publish(1, tombstone("a", 2));
    fleet.run_for(65 * SECOND);
    fleet.group[8] = 0;
    fleet.run_for(3 * SECOND);
    expect_that!(nodes_with_item(&fleet), eq(9));
}

/// Each restarted node gets the tombstone from the others; this doesn't extend the tombstone's lifetime.
#[gtest]
fn rolling_restarts_do_not_keep_a_tombstone_alive() {
    let mut fleet = fleet_with_a(9, 44);
    fleet.publish(1, tombstone("a", 2));
    for round in 0..13 {
        fleet.run_for(5 * SECOND);
        fleet.restart(round % 9);
    }
    fleet.run_for(2 * SECOND);
    expect_that!(nodes_with_stamp(&fleet), eq(0), "67 s after the removal");
}

/// A name can be used again with a stamp above that of the tombstone.
#[gtest]
fn a_removed_item_can_be_published_anew() {
    let mut fleet = fleet_with_a(9, 45);
    fleet.publish(1, tombstone("a", 2));
    fleet.run_for(SECOND);
    let again = item("a", 3, b"again");
    fleet.publish(2, again.clone());
    fleet.run_for(100 * SECOND);
    expect_that!(fleet.all_have_item(&again), eq(true));
}

/// A tombstone becomes dormant some milliseconds apart on different nodes, so a comparison in between may send it
/// needlessly. No node merges it, and this happens less than once per tombstone in the whole fleet.
#[gtest]
fn expiry_of_tombstones_causes_hardly_any_repairs() {
    let mut fleet = fleet_with_a(78, 46);
    for number in 0..300 {
        fleet.publish(number % 78, tombstone(&format!("server-{number}"), 1));
        fleet.run_for(SECOND / 100);
    }
    fleet.run_for(3 * SECOND);
    let before = fleet.total();
    fleet.run_for(70 * SECOND);
    let after = fleet.total();
    expect_that!(after.items_accepted - before.items_accepted, eq(0));
    expect_that!(after.repairs - before.repairs, le(300));
}
