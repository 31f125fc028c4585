//! Sessions that control balancers have granted: when they are published, and when they are removed.

mod common;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use common::{MS, SECOND, address, lone_gossip, publish, session_heartbeat};
use googletest::prelude::*;
use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::item_kinds::{self, SESSION};
use gradepaddle_controlplane::session_table::{
    SESSION_TIMEOUT, Session, SessionTable, StaleIncarnation, live_sessions,
};
use gradepaddle_gossip::{Gossip, Item};
use gradepaddle_proto::Decode;

/// A control balancer that publishes its items.
struct ControlBalancer {
    table: SessionTable,
    gossip: Gossip,
}

impl ControlBalancer {
    fn new(number: u8) -> ControlBalancer {
        ControlBalancer { table: SessionTable::new(address(number)), gossip: lone_gossip(number) }
    }

    /// Handles a heartbeat. Returns the item that is published.
    fn heartbeat(
        &mut self,
        now: Micros,
        node: u8,
        incarnation: u64,
    ) -> std::result::Result<Option<Item>, StaleIncarnation> {
        let item = self.table.heartbeat(now, &session_heartbeat(node, incarnation), &self.gossip)?;
        item.iter().for_each(|item| {
            publish(&mut self.gossip, item.clone());
        });
        Ok(item)
    }

    /// Publishes and returns the tombstones that are due.
    fn tick(&mut self, now: Micros) -> Vec<Item> {
        let removed = self.table.tick(now, &self.gossip);
        removed.iter().for_each(|item| {
            publish(&mut self.gossip, item.clone());
        });
        removed
    }

    /// Receives items that another balancer published.
    fn receive(&mut self, items: &[Item]) {
        items.iter().for_each(|item| {
            publish(&mut self.gossip, item.clone());
        });
    }

    fn knows(&self, node: u8) -> bool {
        live_sessions(&self.gossip).any(|(_, session)| session.identity.address == address(node))
    }

    fn item(&self, node: u8) -> Vec<Item> {
        self.gossip.get(SESSION, &address(node).to_string()).cloned().into_iter().collect()
    }
}

#[gtest]
fn a_session_is_published_once() -> Result<()> {
    let mut balancer = ControlBalancer::new(1);
    let item = balancer.heartbeat(0, 9, 100).or_fail()?.or_fail()?;
    expect_that!(item.stamp.major, eq(100));
    let session = Session::from_bytes(&item.payload).or_fail()?;
    expect_that!((session.identity.address, session.granted_by), eq((address(9), address(1))));
    for heartbeat in 1..10 {
        expect_that!(balancer.heartbeat(heartbeat * 400 * MS, 9, 100).or_fail()?, none());
        expect_that!(balancer.tick(heartbeat * 400 * MS), is_empty());
    }
    expect_that!(balancer.table.len(), eq(1));
    let zones = live_sessions(&balancer.gossip).map(|(_, session)| session.identity.zone.to_string());
    expect_that!(zones.collect::<Vec<_>>(), eq(&["west"]));
    Ok(())
}

#[gtest]
fn a_session_without_heartbeats_expires_with_a_tombstone() -> Result<()> {
    let mut balancer = ControlBalancer::new(1);
    let item = balancer.heartbeat(0, 9, 100).or_fail()?.or_fail()?;
    expect_that!(balancer.tick(SESSION_TIMEOUT), is_empty());
    let removed = balancer.tick(SESSION_TIMEOUT + 1);
    expect_that!(removed.len(), eq(1));
    expect_that!(removed[0].removed, eq(true));
    expect_that!(removed[0].stamp, gt(item.stamp));
    expect_that!((balancer.knows(9), balancer.table.is_empty()), eq((false, true)));
    Ok(())
}

#[gtest]
fn a_moved_session_is_left_alone_by_its_earlier_granter() -> Result<()> {
    let (mut old, mut new) = (ControlBalancer::new(1), ControlBalancer::new(2));
    old.heartbeat(0, 9, 100).or_fail()?;
    new.receive(&old.item(9));
    let moved = new.heartbeat(SECOND, 9, 100).or_fail()?.or_fail()?;
    expect_that!(moved.stamp, gt(old.item(9)[0].stamp));
    old.receive(&[moved]);
    expect_that!(old.tick(10 * SECOND), is_empty());
    expect_that!(old.knows(9), eq(true));
    Ok(())
}

#[gtest]
fn a_moved_session_supersedes_the_earlier_granters_tombstone() -> Result<()> {
    for (first, second) in [(1, 2), (2, 1), (3, 4), (4, 3), (7, 200)] {
        let (mut old, mut new) = (ControlBalancer::new(first), ControlBalancer::new(second));
        old.heartbeat(0, 9, 100).or_fail()?;
        // The new balancer learns only of the tombstone, before the session moves to it.
        let removed = old.tick(2 * SECOND);
        new.receive(&removed);
        let moved = new.heartbeat(3 * SECOND, 9, 100).or_fail()?;
        expect_that!(moved.as_ref().is_some_and(|item| item.stamp > removed[0].stamp), eq(true));
        old.receive(&moved.into_iter().collect::<Vec<_>>());
        expect_that!((old.knows(9), new.knows(9)), eq((true, true)), "from {first} to {second}");
    }
    Ok(())
}

#[gtest]
fn a_tombstone_after_the_move_is_superseded_by_the_next_heartbeat() -> Result<()> {
    for (first, second) in [(1, 2), (2, 1), (3, 4), (4, 3), (7, 200)] {
        let (mut old, mut new) = (ControlBalancer::new(first), ControlBalancer::new(second));
        old.heartbeat(0, 9, 100).or_fail()?;
        new.receive(&old.item(9));
        new.heartbeat(SECOND, 9, 100).or_fail()?;
        // The old balancer has not learned of the move yet.
        let removed = old.tick(2 * SECOND);
        new.receive(&removed);
        new.heartbeat(2 * SECOND + 400 * MS, 9, 100).or_fail()?;
        old.receive(&new.item(9));
        expect_that!((old.knows(9), new.knows(9)), eq((true, true)), "from {first} to {second}");
    }
    Ok(())
}

/// The two control balancers grant each other's session, so that neither counts as absent.
fn grant_each_other(
    now: Micros,
    one: (u8, &mut ControlBalancer),
    two: (u8, &mut ControlBalancer),
) -> Result<()> {
    one.1.heartbeat(now, two.0, 100).or_fail()?;
    two.1.heartbeat(now, one.0, 100).or_fail()?;
    two.1.receive(&one.1.item(two.0));
    one.1.receive(&two.1.item(one.0));
    Ok(())
}

#[gtest]
fn a_session_that_moves_back_supersedes_all_before() -> Result<()> {
    let (mut one, mut two) = (ControlBalancer::new(1), ControlBalancer::new(2));
    let mut now = 0;
    let mut stamps = vec![one.heartbeat(now, 9, 100).or_fail()?.or_fail()?.stamp];
    for turn in 0..6 {
        now += 1_400 * MS;
        grant_each_other(now, (1, &mut one), (2, &mut two))?;
        let (from, to) = if turn % 2 == 0 { (&mut one, &mut two) } else { (&mut two, &mut one) };
        let item = from.item(9);
        to.receive(&item);
        stamps.push(to.heartbeat(now, 9, 100).or_fail()?.or_fail()?.stamp);
        from.receive(&to.item(9));
        expect_that!(from.tick(now + SECOND), is_empty());
    }
    expect_that!(stamps.windows(2).all(|pair| pair[0] < pair[1]), eq(true), "{stamps:?}");
    Ok(())
}

#[gtest]
fn a_stale_incarnation_is_rejected_with_the_newest() -> Result<()> {
    let mut balancer = ControlBalancer::new(1);
    balancer.heartbeat(0, 9, 100).or_fail()?;
    expect_that!(balancer.heartbeat(MS, 9, 99), err(eq(&StaleIncarnation { newest: 100 })));
    expect_that!(balancer.heartbeat(2 * MS, 9, 101).or_fail()?.or_fail()?.stamp.major, eq(101));
    Ok(())
}

#[gtest]
fn the_incarnation_of_a_tombstone_counts() -> Result<()> {
    let mut balancer = ControlBalancer::new(1);
    balancer.heartbeat(0, 9, 100).or_fail()?;
    balancer.tick(5 * SECOND);
    expect_that!(balancer.heartbeat(6 * SECOND, 9, 50), err(eq(&StaleIncarnation { newest: 100 })));
    expect_that!(balancer.heartbeat(6 * SECOND, 9, 100).or_fail()?, some(anything()));
    expect_that!(balancer.knows(9), eq(true));
    Ok(())
}

#[gtest]
fn items_of_an_absent_granter_are_removed_in_time() -> Result<()> {
    let (mut gone, mut other) = (ControlBalancer::new(1), ControlBalancer::new(2));
    gone.heartbeat(0, 9, 100).or_fail()?;
    other.receive(&gone.item(9));
    expect_that!(other.tick(0), is_empty());
    expect_that!(other.tick(4 * SECOND), is_empty());
    let removed = other.tick(4 * SECOND + 1);
    expect_that!(removed.len(), eq(1));
    expect_that!(other.knows(9), eq(false));
    Ok(())
}

#[gtest]
fn items_of_a_granter_with_a_session_stay() -> Result<()> {
    let (mut balancer, mut other) = (ControlBalancer::new(1), ControlBalancer::new(2));
    balancer.heartbeat(0, 9, 100).or_fail()?;
    other.receive(&balancer.item(9));
    for heartbeat in 0..30 {
        let now = heartbeat * 400 * MS;
        other.heartbeat(now, 1, 100).or_fail()?;
        expect_that!(other.tick(now), is_empty());
    }
    expect_that!(other.knows(9), eq(true));
    Ok(())
}

#[gtest]
fn a_short_absence_of_a_granter_is_forgotten() -> Result<()> {
    let (mut balancer, mut other) = (ControlBalancer::new(1), ControlBalancer::new(2));
    balancer.heartbeat(0, 9, 100).or_fail()?;
    other.receive(&balancer.item(9));
    other.tick(0);
    other.heartbeat(3 * SECOND, 1, 100).or_fail()?;
    other.tick(3 * SECOND);
    let removed = other.tick(5 * SECOND);
    expect_that!(removed.len(), eq(1), "the granter's own session expires");
    expect_that!(other.tick(8 * SECOND), is_empty());
    expect_that!(other.knows(9), eq(true));
    Ok(())
}

#[gtest]
fn a_node_that_is_no_control_balancer_any_longer_expires_nothing() -> Result<()> {
    let mut balancer = ControlBalancer::new(1);
    balancer.heartbeat(0, 9, 100).or_fail()?;
    balancer.table.clear();
    expect_that!(balancer.table.is_empty(), eq(true));
    expect_that!(balancer.tick(10 * SECOND), is_empty());
    Ok(())
}

/// Two nodes that increment the same counter publish different items, whose stamps must not be equal.
#[gtest]
fn counters_of_different_nodes_differ() {
    let node = |number: u8| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7640);
    let counters: BTreeSet<u64> = (1..=200).map(|one| item_kinds::next_minor(5, node(one))).collect();
    expect_that!(counters.len(), ge(199));
    let later = item_kinds::next_minor(item_kinds::next_minor(5, node(1)), node(2));
    expect_that!(counters.iter().all(|counter| *counter < later), eq(true));
}
