//! Anti-entropy repairs what pushes miss: partitions, restarts, new nodes, many items.

mod simulation;

use googletest::prelude::*;
use gradepaddle_gossip::{Gossip, GossipConfig, Peer};
use simulation::{KIND, MS, SECOND, Simulation, address, item, tombstone};

fn len_of(fleet: &Simulation, node: usize) -> usize {
    fleet.nodes[node].as_ref().map_or(0, Gossip::len)
}

fn all_have(fleet: &Simulation, items: usize) -> bool {
    fleet.nodes.iter().flatten().all(|node| node.len() == items)
}

/// The two sides of a partition change independently; once it heals, all nodes have the newest items of both.
#[gtest]
fn the_sides_of_a_partition_converge_after_it() {
    for (nodes, within) in [(3, SECOND), (9, SECOND), (78, 2 * SECOND), (400, 3 * SECOND)] {
        let mut fleet = Simulation::new(nodes, 11);
        for number in 0..200 {
            fleet.publish(number % nodes, item(&format!("server-{number}"), 1, b"before"));
        }
        fleet.run_for(3 * SECOND);
        (0..nodes).for_each(|node| fleet.group[node] = node % 2);
        for number in 0..100 {
            fleet.publish(number % 2, item(&format!("server-{number}"), 2 + number as u64 % 2, b"during"));
        }
        fleet.publish(0, item("server-150", 2, b"older"));
        fleet.publish(1, item("server-150", 3, b"newer"));
        fleet.publish(0, item("new-0", 1, b"new"));
        fleet.publish(1, tombstone("server-151", 2));
        fleet.run_for(5 * SECOND);
        fleet.group.fill(0);
        let begin = fleet.now;
        let is_agreed = |fleet: &Simulation| {
            fleet.all_have_item(&item("server-150", 3, b"newer"))
                && fleet.all_have_item(&item("new-0", 1, b"new"))
                && (0..100).all(|number| {
                    fleet.all_have_item(&item(&format!("server-{number}"), 2 + number as u64 % 2, b"during"))
                })
                && all_have(fleet, 200)
        };
        while !is_agreed(&fleet) && fleet.now < begin + 10 * SECOND {
            fleet.run_for(10 * MS);
        }
        println!(
            "{nodes} nodes, cut in halves, 103 changes: agreed {} ms after it",
            (fleet.now - begin) / MS
        );
        expect_that!(fleet.now - begin, le(within), "{nodes} nodes");
    }
}

/// A node that restarts empty gets all items within a second, and does not forward them to the others.
#[gtest]
fn a_restarted_node_has_all_items_within_a_second() {
    for nodes in [3, 9, 78, 400] {
        let mut fleet = Simulation::new(nodes, 12);
        for number in 0..2_000 {
            fleet.publish(number % nodes, item(&format!("server-{number}"), 1, &[0; 150]));
        }
        fleet.publish(1, item("configuration", 1, &vec![1; 150_000]));
        fleet.run_for(5 * SECOND);
        expect_that!(all_have(&fleet, 2_001), eq(true), "{nodes} nodes");
        fleet.stop(0);
        fleet.run_for(SECOND);
        let (begin, before) = (fleet.now, fleet.total());
        fleet.payload_received[0] = 0;
        fleet.restart(0);
        let is_filled = fleet.run_until_condition(begin + SECOND, |fleet| len_of(fleet, 0) == 2_001);
        println!(
            "{nodes} nodes: filled with 2,001 items in {:.1} ms",
            (fleet.now - begin) as f64 / MS as f64
        );
        expect_that!(is_filled, eq(true), "{nodes} nodes");
        fleet.run_for(2 * SECOND);
        let known = fleet.total().items_duplicate - before.items_duplicate;
        expect_that!(known, le(2 * 2_001), "{nodes} nodes: duplicate items");
        expect_that!(fleet.payload_received[0], le(1_200_000), "{nodes} nodes");
    }
}

/// With ten thousand items, the traffic to repair a few differences is proportional to the differences.
#[gtest]
fn few_differences_among_many_items_cost_little() {
    let mut fleet = Simulation::without_peers(2, 13);
    for number in 0..10_000 {
        let item = item(&format!("server-{number}"), 1, &[0; 100]);
        fleet.publish(0, item.clone());
        fleet.publish(1, item);
    }
    let newer = item("server-77", 2, b"newer");
    let only = item("only-here", 1, b"only");
    fleet.publish(0, newer.clone());
    fleet.publish(1, only.clone());
    let before = fleet.total();
    (0..2).for_each(|node| fleet.set_all_peers(node));
    fleet.run_for(SECOND);
    expect_that!(fleet.all_have_item(&newer) && fleet.all_have_item(&only), eq(true));
    let bytes = fleet.total().bytes_sent - before.bytes_sent;
    println!("10,000 items on two nodes, two differ: {bytes} bytes in the first second");
    expect_that!(bytes, le(20_000));
}

/// Ten thousand items, half of them on one node only, half on the other.
#[gtest]
fn many_differences_are_repaired_too() {
    let mut fleet = Simulation::without_peers(2, 14);
    for number in 0..10_000 {
        fleet.publish(number % 2, item(&format!("server-{number}"), 1, &[0; 100]));
    }
    let begin = fleet.now;
    (0..2).for_each(|node| fleet.set_all_peers(node));
    let is_repaired = fleet.run_until_condition(begin + 5 * SECOND, |fleet| all_have(fleet, 10_000));
    println!("5,000 items to exchange each way: {} ms", (fleet.now - begin) / MS);
    expect_that!(is_repaired, eq(true));
    expect_that!(fleet.largest_message, le(33 * 1_024));
}

/// Nodes that join one after the other get the items published before.
#[gtest]
fn nodes_that_join_later_get_all_items() {
    let mut fleet = Simulation::without_peers(9, 15);
    fleet.publish(0, item("first", 1, b"x"));
    for joined in 1..=9 {
        for node in 0..joined {
            let peers: Vec<Peer> =
                (0..joined).map(|peer| Peer { address: address(peer), same_zone: true }).collect();
            fleet.set_peers(node, &peers);
        }
        fleet.run_for(SECOND);
        expect_that!((0..joined).all(|node| len_of(&fleet, node) == 1), eq(true), "{joined} nodes");
    }
}

/// The comparisons of existing nodes with a new node are spread over time.
#[gtest]
fn not_all_peers_compare_with_a_new_node_at_once() {
    let mut fleet = Simulation::without_peers(200, 16);
    let all: Vec<Peer> = (0..200).map(|peer| Peer { address: address(peer), same_zone: true }).collect();
    (0..199).for_each(|node| fleet.set_peers(node, &all[..199]));
    fleet.run_for(3 * SECOND);
    (0..199).for_each(|node| fleet.set_peers(node, &all));
    let before = fleet.node(199).counters().messages_received;
    fleet.run_for(SECOND);
    let contacts = fleet.node(199).counters().messages_received - before;
    println!("a new node among 199 is contacted {contacts} times in a second");
    expect_that!(contacts, all!(ge(1), le(30)));
}

/// A node without peers keeps its items, sends nothing and requests no wake-up.
#[gtest]
fn a_node_without_peers_does_nothing() {
    let mut fleet = Simulation::without_peers(1, 17);
    fleet.publish(0, item("alone", 1, b"x"));
    expect_that!(fleet.node(0).next_wake(), eq(u64::MAX));
    fleet.run_for(10 * SECOND);
    expect_that!(fleet.total().messages_sent, eq(0));
    expect_that!(fleet.node(0).items(KIND).count(), eq(1));
}

/// Repairs stay within the rate limit; deferred ones are sent later.
#[gtest]
fn repairs_stay_within_their_rate_limit() {
    let config =
        GossipConfig::builder().address(address(0)).seed(1).max_repair_bytes_per_second(100_000).build();
    let mut fleet = Simulation::without_peers(2, 18);
    fleet.nodes[0] = Some(Gossip::new(config, fleet.now));
    for number in 0..3_000 {
        fleet.publish(0, item(&format!("server-{number}"), 1, &[0; 100]));
    }
    (0..2).for_each(|node| fleet.set_all_peers(node));
    for second in 1..=3 {
        fleet.run_for(SECOND);
        let bytes = fleet.payload_received[1];
        expect_that!(bytes, le(100_000 * (second + 1) + 10_000), "after {second} s");
    }
    fleet.run_for(10 * SECOND);
    expect_that!(all_have(&fleet, 3_000), eq(true));
}

/// Whatever path an item takes and however long it is delayed, all nodes know its age since publication.
#[gtest]
fn an_item_travels_with_its_age() {
    for nodes in [3, 9, 78] {
        let mut fleet = Simulation::new(nodes, 14);
        fleet.run_for(SECOND);
        (0..nodes).for_each(|node| fleet.group[node] = node % 2);
        let published = fleet.now;
        fleet.publish(0, item("named", 1, b""));
        fleet.run_for(5 * SECOND);
        fleet.group.fill(0);
        fleet.run_for(3 * SECOND);
        fleet.restart(nodes - 1);
        fleet.run_for(3 * SECOND);
        let age = fleet.now - published;
        for node in fleet.nodes.iter().flatten() {
            let reported = node.age(fleet.now, KIND, "named");
            expect_that!(
                reported,
                some(all![le(age), ge(age - 50 * MS)]),
                "{nodes} nodes, published {age} ago"
            );
        }
    }
}
