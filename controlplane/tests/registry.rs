//! Model servers at the node that gets their heartbeats.

mod common;

use common::{MS, SECOND, address, heartbeat, lone_gossip, publish, registration};
use googletest::prelude::*;
use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::item_kinds::{self, SERVER, SERVER_REMOVED, ServerObservation};
use gradepaddle_controlplane::registry::{Decision, Registry};
use gradepaddle_gossip::{Gossip, Item, Stamp};
use gradepaddle_proto::{Decode, Encode, Registration};

const HEARTBEAT_INTERVAL: Micros = 1_200 * MS;

/// A node to which servers send their heartbeats.
struct OwningNode {
    registry: Registry,
    gossip: Gossip,
}

impl OwningNode {
    fn at(node: u8) -> OwningNode {
        OwningNode { registry: Registry::new(address(node), HEARTBEAT_INTERVAL), gossip: lone_gossip(node) }
    }

    /// Handles a heartbeat and publishes the decision as a node does.
    fn heartbeat(&mut self, now: Micros, state: &str, call_count: u64) -> Decision {
        let decision = self.registry.heartbeat(now, "s", &heartbeat(state, call_count), &self.gossip);
        self.publish(decision.clone());
        decision
    }

    fn leave(&mut self) -> Decision {
        let decision = self.registry.leave("s", &self.gossip);
        self.publish(decision.clone());
        decision
    }

    fn publish(&mut self, decision: Decision) {
        if let Decision::Publish(item) | Decision::PublishAcknowledged(item) = decision {
            publish(&mut self.gossip, item);
        }
    }

    fn tick(&mut self, now: Micros) -> Vec<Item> {
        self.registry.tick(now, &self.gossip)
    }
}

/// The item of server `s` as another node would publish it.
fn item_of_other_node(owner: u8, call_count: u64) -> Item {
    let stamp = item_kinds::server_stamp(call_count, ServerObservation::Reported);
    item_kinds::item(SERVER, "s", stamp, registration("s", owner, 1).to_bytes())
}

fn published(decision: &Decision) -> Option<(Registration, Stamp)> {
    match decision {
        Decision::Publish(item) | Decision::PublishAcknowledged(item) => {
            Some((Registration::from_bytes(&item.payload).ok()?, item.stamp))
        }
        Decision::Acknowledge => None,
    }
}

#[gtest]
fn a_new_server_is_published_and_a_known_one_is_not() -> Result<()> {
    let mut node = OwningNode::at(1);
    let first = node.heartbeat(0, "ready", 4);
    let (server, stamp) = published(&first).or_fail()?;
    expect_that!(first, matches_pattern!(Decision::Publish(_)));
    expect_that!(server, eq(&registration("s", 1, 1)));
    expect_that!(stamp, eq(Stamp { major: 4, minor: 0 }));
    for count in 5..20 {
        expect_that!(node.heartbeat(count * HEARTBEAT_INTERVAL, "ready", count), eq(&Decision::Acknowledge));
    }
    Ok(())
}

#[gtest]
fn changes_are_published() -> Result<()> {
    let mut node = OwningNode::at(1);
    node.heartbeat(0, "ready", 1);
    let mut reported = heartbeat("ready", 2);
    reported.models[0].version = 2;
    expect_that!(
        node.registry.heartbeat(MS, "s", &reported, &node.gossip),
        matches_pattern!(Decision::Publish(_))
    );
    let mut reported = heartbeat("ready", 3);
    reported.slots = 17;
    expect_that!(
        node.registry.heartbeat(MS, "s", &reported, &node.gossip),
        matches_pattern!(Decision::Publish(_))
    );
    let mut reported = heartbeat("ready", 4);
    reported.warmup_left_ms = 900.0;
    expect_that!(
        node.registry.heartbeat(MS, "s", &reported, &node.gossip),
        matches_pattern!(Decision::Publish(_))
    );
    Ok(())
}

#[gtest]
fn the_end_of_slow_start_is_published_and_its_progress_is_not() -> Result<()> {
    let mut node = OwningNode::at(1);
    let mut decisions = Vec::new();
    for (count, left) in [(1, 3000.0), (2, 1800.0), (3, 600.0), (4, 0.0), (5, 0.0)] {
        let mut reported = heartbeat("ready", count);
        reported.warmup_left_ms = left;
        let decision = node.registry.heartbeat(count * HEARTBEAT_INTERVAL, "s", &reported, &node.gossip);
        node.publish(decision.clone());
        decisions.push(matches!(decision, Decision::Publish(_)));
    }
    verify_that!(decisions, elements_are![&true, &false, &false, &true, &false])
}

#[gtest]
fn a_late_call_changes_nothing() -> Result<()> {
    let mut node = OwningNode::at(1);
    node.heartbeat(0, "draining", 9);
    expect_that!(node.heartbeat(MS, "ready", 8), eq(&Decision::Acknowledge));
    let item = node.gossip.get(SERVER, "s").or_fail()?;
    expect_that!(Registration::from_bytes(&item.payload).or_fail()?.draining, eq(true));
    expect_that!(item.stamp.major, eq(9));
    Ok(())
}

#[gtest]
fn a_call_that_was_overtaken_at_another_node_changes_nothing() -> Result<()> {
    let mut node = OwningNode::at(1);
    publish(&mut node.gossip, item_of_other_node(2, 9));
    expect_that!(node.heartbeat(MS, "ready", 8), eq(&Decision::Acknowledge));
    expect_that!(node.heartbeat(2 * MS, "ready", 10), matches_pattern!(Decision::Publish(_)));
    Ok(())
}

#[gtest]
fn draining_needs_acknowledgment_until_it_was_given() -> Result<()> {
    let mut node = OwningNode::at(1);
    node.heartbeat(0, "ready", 1);
    for count in 2..5 {
        expect_that!(
            node.heartbeat(count * MS, "draining", count),
            matches_pattern!(Decision::PublishAcknowledged(_))
        );
    }
    node.registry.drain_acknowledged("s");
    expect_that!(node.heartbeat(9 * MS, "draining", 9), eq(&Decision::Acknowledge));
    let mut other = OwningNode::at(2);
    publish(&mut other.gossip, node.gossip.get(SERVER, "s").or_fail()?.clone());
    expect_that!(other.heartbeat(9 * MS, "draining", 10), matches_pattern!(Decision::PublishAcknowledged(_)));
    Ok(())
}

#[gtest]
fn a_server_is_lost_after_three_missed_heartbeats() -> Result<()> {
    let mut node = OwningNode::at(1);
    node.heartbeat(0, "ready", 1);
    node.heartbeat(HEARTBEAT_INTERVAL, "ready", 2);
    expect_that!(node.tick(4 * HEARTBEAT_INTERVAL), is_empty());
    let lost = node.tick(4 * HEARTBEAT_INTERVAL + 1);
    expect_that!(lost.len(), eq(1));
    expect_that!(Registration::from_bytes(&lost[0].payload).or_fail()?.lost, eq(true));
    expect_that!(lost[0].stamp, eq(item_kinds::server_stamp(2, ServerObservation::Lost)));
    expect_that!(publish(&mut node.gossip, lost[0].clone()), eq(true));
    expect_that!(node.tick(9 * HEARTBEAT_INTERVAL), is_empty());
    let back = node.heartbeat(10 * HEARTBEAT_INTERVAL, "ready", 3);
    expect_that!(published(&back).or_fail()?.0.lost, eq(false));
    Ok(())
}

#[gtest]
fn only_the_last_owner_reports_a_server_lost() -> Result<()> {
    let late = 10 * HEARTBEAT_INTERVAL;
    let mut node = OwningNode::at(1);
    node.heartbeat(0, "ready", 1);
    publish(&mut node.gossip, item_of_other_node(2, 2));
    expect_that!(node.tick(late), is_empty());
    let mut came_back = OwningNode::at(1);
    came_back.heartbeat(0, "ready", 1);
    publish(&mut came_back.gossip, item_of_other_node(2, 2));
    came_back.heartbeat(HEARTBEAT_INTERVAL, "ready", 3);
    expect_that!(came_back.tick(late).len(), eq(1));
    let mut third = OwningNode::at(3);
    publish(&mut third.gossip, item_of_other_node(2, 2));
    expect_that!(third.tick(late), is_empty());
    Ok(())
}

#[gtest]
fn a_later_call_at_another_node_supersedes_the_loss() -> Result<()> {
    let lost = item_kinds::server_stamp(7, ServerObservation::Lost);
    expect_that!(lost, gt(item_kinds::server_stamp(7, ServerObservation::Reported)));
    expect_that!(lost, lt(item_kinds::server_stamp(8, ServerObservation::Reported)));
    expect_that!(SERVER_REMOVED, gt(item_kinds::server_stamp(u64::MAX - 1, ServerObservation::Lost)));
    Ok(())
}

#[gtest]
fn leaving_needs_acknowledgment_and_is_final() -> Result<()> {
    let mut node = OwningNode::at(1);
    node.heartbeat(0, "draining", 5);
    let Decision::PublishAcknowledged(item) = node.leave() else {
        return fail!("leaving needs no acknowledgment of other nodes");
    };
    expect_that!(item.removed, eq(true));
    expect_that!(item.stamp, eq(SERVER_REMOVED));
    expect_that!(node.heartbeat(MS, "ready", 6), eq(&Decision::Acknowledge));
    expect_that!(node.gossip.get(SERVER, "s"), none());
    expect_that!(node.tick(100 * SECOND), is_empty());
    Ok(())
}

#[gtest]
fn an_unknown_server_may_leave() -> Result<()> {
    let mut node = OwningNode::at(1);
    expect_that!(node.leave(), matches_pattern!(Decision::PublishAcknowledged(_)));
    Ok(())
}
