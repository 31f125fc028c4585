//! The cost of gossip in messages and bytes: idle, at low and high rates of change, and for large payloads.

mod simulation;

use googletest::prelude::*;
use simulation::{MS, SECOND, Simulation, incompressible, item};

fn per_node_and_second(amount: u64, nodes: usize, seconds: u64) -> f64 {
    amount as f64 / nodes as f64 / seconds as f64
}

/// Idle: one digest each way every half second, each below a kilobyte, regardless of the number of items.
#[gtest]
fn an_idle_fleet_only_compares_digests() {
    let mut fleet = Simulation::new(10, 1);
    for number in 0..1_000 {
        fleet.publish(number % 10, item(&format!("server-{number}"), 1, &[0; 100]));
    }
    fleet.run_for(5 * SECOND);
    let before = fleet.total();
    fleet.largest_digest = 0;
    fleet.largest_message = 0;
    fleet.run_for(60 * SECOND);
    let after = fleet.total();
    let messages = per_node_and_second(after.messages_sent - before.messages_sent, 10, 60);
    let bytes = per_node_and_second(after.bytes_sent - before.bytes_sent, 10, 60);
    println!("idle, per node and second: {messages:.2} messages, {bytes:.0} bytes");
    expect_that!(messages, le(4.2));
    expect_that!(bytes, le(1_500.0));
    expect_that!(fleet.largest_message, lt(1_000));
    expect_that!(after.repairs, eq(before.repairs));
}

/// 15 changes a second among ten nodes reach all of them in time at a low cost.
#[gtest]
fn steady_changes_cost_little() {
    let mut fleet = Simulation::new(10, 2);
    let payload = [0; 150];
    for number in 0..600 {
        fleet.publish(number % 10, item(&format!("server-{number}"), 1, &payload));
    }
    fleet.run_for(5 * SECOND);
    let before = fleet.total();
    let mut worst = 0;
    for change in 0..15 * 20 {
        let item = item(&format!("server-{}", change * 7 % 600), 2 + change as u64, &payload);
        let begin = fleet.now;
        fleet.publish(change % 10, item.clone());
        fleet.run_for(SECOND / 15);
        expect_that!(fleet.all_have_item(&item), eq(true), "change {change}");
        worst = worst.max(fleet.last_arrival(&item).at - begin);
    }
    let after = fleet.total();
    let bytes = per_node_and_second(after.bytes_sent - before.bytes_sent, 10, 20);
    let messages = per_node_and_second(after.messages_sent - before.messages_sent, 10, 20);
    let worst_ms = worst as f64 / MS as f64;
    println!(
        "15 changes/s, 10 nodes, per node: {messages:.0} messages/s, {bytes:.0} bytes/s; worst {worst_ms:.1} ms"
    );
    expect_that!(bytes, le(20_000.0));
    expect_that!(worst_ms, le(66.0));
}

/// 5,000 changes a second over 400 nodes, for half a second: batching keeps the number of messages low.
#[gtest]
fn many_changes_are_batched() {
    const NODES: usize = 400;
    const PER_MILLISECOND: usize = 5;
    const MILLISECONDS: usize = 500;
    const KEYS: usize = 1_000;
    let mut fleet = Simulation::new(NODES, 3);
    fleet.run_for(3 * SECOND);
    fleet.keeps_arrivals = false;
    let before = fleet.total();
    let mut last = item("", 0, b"");
    for change in 0..PER_MILLISECOND * MILLISECONDS {
        last = item(&format!("server-{}", change % KEYS), 1 + change as u64, &[0; 100]);
        fleet.publish(change * 37 % NODES, last.clone());
        if change % PER_MILLISECOND == PER_MILLISECOND - 1 {
            fleet.run_for(MS);
        }
    }
    let after = fleet.total();
    let per_second = |amount: u64| 2.0 * per_node_and_second(amount, NODES, 1);
    let messages = per_second(after.messages_sent - before.messages_sent);
    let bytes = per_second(after.bytes_sent - before.bytes_sent);
    let received =
        after.items_accepted + after.items_duplicate - before.items_accepted - before.items_duplicate;
    let copies = received as f64 / (PER_MILLISECOND * MILLISECONDS * (NODES - 1)) as f64;
    println!(
        "5,000 changes/s, 400 nodes, per node: {messages:.0} messages/s, {bytes:.0} bytes/s, {copies:.2} copies"
    );
    expect_that!(messages, le(400.0));
    expect_that!(bytes, le(4_000_000.0));
    expect_that!(copies, le(3.2));
    let begin = fleet.now;
    let reached = fleet.run_until_condition(begin + 2 * SECOND, |fleet| fleet.all_have_item(&last));
    println!("the last change was everywhere within {:.1} ms", (fleet.now - begin) as f64 / MS as f64 + 1.0);
    expect_that!(reached, eq(true));
    expect_that!(fleet.nodes.iter().flatten().all(|node| node.len() == KEYS), eq(true));
}

/// A large payload is offered by its stamp, and each node receives it once.
#[gtest]
fn a_large_payload_is_sent_to_each_node_once() {
    for (nodes, kilobytes) in [(3, 10), (9, 200), (78, 200), (400, 50)] {
        let mut fleet = Simulation::new(nodes, 4);
        fleet.run_for(2 * SECOND);
        let payload = incompressible(kilobytes * 1_024);
        let item = item("configuration", 1, &payload);
        let begin = fleet.now;
        fleet.publish(0, item.clone());
        let reached = fleet.run_until_condition(begin + 2 * SECOND, |fleet| fleet.all_have_item(&item));
        let ms = (fleet.now - begin) as f64 / MS as f64;
        expect_that!(reached, eq(true), "{nodes} nodes");
        fleet.run_for(5 * SECOND);
        let others = &fleet.payload_received[1..];
        let max_copies = others.iter().copied().max().unwrap_or(0) as f64 / payload.len() as f64;
        let sent = fleet.nodes.iter().flatten().map(|node| node.counters().bytes_sent).max().unwrap_or(0);
        let sent = sent as f64 / payload.len() as f64;
        println!(
            "{kilobytes} KB, {nodes} nodes: everywhere in {ms:.1} ms, at most {max_copies:.2} times received by a node, {sent:.1} sent"
        );
        expect_that!(max_copies, le(1.05), "{nodes} nodes");
        expect_that!(sent, le(12.0), "{nodes} nodes");
        expect_that!(ms, le(100.0), "{nodes} nodes");
    }
}

/// Over lossy links a lost fetch is retried at another holder, and no node receives the payload much more than once.
#[gtest]
fn a_large_payload_is_fetched_elsewhere_when_lost() {
    let mut fleet = Simulation::new(78, 5);
    fleet.run_for(2 * SECOND);
    fleet.loss = 0.1;
    let payload = incompressible(100 * 1_024);
    let item = item("configuration", 1, &payload);
    let begin = fleet.now;
    fleet.publish(0, item.clone());
    let reached = fleet.run_until_condition(begin + 5 * SECOND, |fleet| fleet.all_have_item(&item));
    println!("100 KB, 78 nodes, 10 % lost: everywhere in {} ms", (fleet.now - begin) / MS);
    expect_that!(reached, eq(true));
    let max_copies = fleet.payload_received.iter().copied().max().unwrap_or(0) as f64 / payload.len() as f64;
    expect_that!(max_copies, le(2.05));
}
