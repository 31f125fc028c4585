//! Time and number of hops until an item reaches every node. The printed table is the one in `docs/gossip.md`.

mod simulation;

use googletest::prelude::*;
use simulation::{MS, SECOND, Simulation, item};

/// Number of items, published one after the other by random nodes.
const ITEMS: usize = 40;

/// Time between two publications, in which an item must reach every node.
const SETTLE_TIME: u64 = 8 * SECOND;

/// The bound on hops: twice the binary logarithm of the number of nodes, plus two.
fn max_hops(nodes: usize) -> u32 {
    (2.0 * (nodes as f64).log2()).ceil() as u32 + 2
}

/// The bound on the copies of an item that a node receives on average: each node pushes three, plus a few from repairs.
fn max_copies(nodes: usize) -> f64 {
    3.0 * nodes as f64 / (nodes - 1) as f64 + 0.1
}

#[derive(Debug)]
struct Reach {
    hops: u32,
    median_ms: f64,
    worst_ms: f64,
    copies: f64,
}

/// Publishes items in a settled fleet and measures when the last node merges each.
fn reach(nodes: usize, loss: f64) -> Reach {
    let mut fleet = Simulation::new(nodes, 7 + nodes as u64);
    fleet.run_for(2 * SECOND);
    fleet.loss = loss;
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut times, mut hops) = (Vec::new(), 0);
    let before = fleet.total();
    for number in 0..ITEMS {
        let item = item(&format!("server-{number}"), 1, &[0; 100]);
        let begin = fleet.now;
        fleet.publish(rng.usize(0..nodes), item.clone());
        fleet.run_for(SETTLE_TIME);
        assert!(fleet.all_have_item(&item), "item {number} is everywhere after {SETTLE_TIME} microseconds");
        let last = fleet.last_arrival(&item);
        times.push(last.at - begin);
        hops = hops.max(last.hops);
    }
    let total = fleet.total();
    let received =
        total.items_accepted + total.items_duplicate - before.items_accepted - before.items_duplicate;
    times.sort_unstable();
    let ms = |time: u64| time as f64 / MS as f64;
    let copies = received as f64 / (ITEMS * (nodes - 1)) as f64;
    let reach = Reach { hops, median_ms: ms(times[ITEMS / 2]), worst_ms: ms(times[ITEMS - 1]), copies };
    println!(
        "| {nodes} | {:.0} % | {} | {:.1} | {:.1} | {:.2} |",
        loss * 100.0,
        reach.hops,
        reach.median_ms,
        reach.worst_ms,
        reach.copies
    );
    reach
}

/// Without loss, pushes alone reach every node, and the number of hops grows with the logarithm of the number of nodes.
#[gtest]
fn an_item_reaches_every_node_by_pushes_alone() {
    for (nodes, worst_ms) in [(3, 5.0), (9, 10.0), (78, 20.0), (400, 30.0)] {
        let reach = reach(nodes, 0.0);
        expect_that!(reach.hops, le(max_hops(nodes)), "{nodes} nodes: {reach:?}");
        expect_that!(reach.worst_ms, le(worst_ms), "{nodes} nodes: {reach:?}");
        expect_that!(reach.copies, le(max_copies(nodes)), "{nodes} nodes: {reach:?}");
    }
}

/// With one message in ten lost, anti-entropy repairs what pushes missed.
#[gtest]
fn an_item_reaches_every_node_over_lossy_links() {
    for (nodes, worst_ms) in [(3, 1_500.0), (9, 1_500.0), (78, 1_500.0), (400, 3_000.0)] {
        let reach = reach(nodes, 0.1);
        expect_that!(reach.worst_ms, le(worst_ms), "{nodes} nodes: {reach:?}");
        expect_that!(reach.copies, le(max_copies(nodes)), "{nodes} nodes: {reach:?}");
    }
}

/// With three messages in ten lost, every node is still reached.
#[gtest]
fn an_item_reaches_every_node_over_very_lossy_links() {
    for (nodes, worst_ms) in [(3, 4_000.0), (9, 4_000.0), (78, 5_000.0), (400, 7_000.0)] {
        let reach = reach(nodes, 0.3);
        expect_that!(reach.worst_ms, le(worst_ms), "{nodes} nodes: {reach:?}");
    }
}
