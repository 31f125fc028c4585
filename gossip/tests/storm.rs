//! Rapid changes of one item: nodes that restart meanwhile, and nodes behind a partition, converge to the newest.

mod simulation;

use fastrand::Rng;
use googletest::prelude::*;
use simulation::{KIND, MS, SECOND, Simulation, item};

/// The number of changes, and the time between two of them.
const CHANGES: u64 = 250;
const CHANGE_INTERVAL: u64 = 80 * MS;
/// After its start, a node must have the version that was newest then within this time; after the last change, all nodes
/// must have the last version.
const CONVERGENCE_TIME: u64 = 2 * SECOND;
const PAYLOAD: &[u8] = &[7; 50_000];
const SEEDS: u64 = 20;

fn version(fleet: &Simulation, node: usize) -> u64 {
    let item = fleet.nodes[node].as_ref().and_then(|node| node.get(KIND, "current"));
    item.map_or(0, |item| item.stamp.major)
}

/// The times that restarted nodes took to get the version that was newest at their start, and the time until all nodes
/// had the last version.
fn storm(nodes: usize, seed: u64) -> Vec<u64> {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = Simulation::new(nodes, seed);
    fleet.loss = 0.05;
    fleet.keeps_arrivals = false;
    let mut behind: Vec<(usize, u64, u64)> = Vec::new();
    let mut spans = Vec::new();
    let mut seen = vec![0; nodes];
    for change in 1..=CHANGES {
        // The publisher changes halfway, as after a change of the primary. Stamps continue, since a new primary knows what
        // was committed before.
        let publisher = usize::from(change > CHANGES / 2);
        fleet.publish(publisher, item("current", change, PAYLOAD));
        if change % 5 == 0 {
            // One node is partitioned from all others until the next restart; the previous one has just been reconnected.
            fleet.group.fill(0);
            let lagging = rng.usize(2..nodes);
            fleet.group[lagging] = 1;
            let restarted = rng.usize(2..nodes);
            fleet.restart(restarted);
            seen[restarted] = 0;
            behind.retain(|(node, ..)| *node != restarted && *node != lagging);
            if restarted != lagging {
                behind.push((restarted, change, fleet.now));
            }
        }
        fleet.run_for(CHANGE_INTERVAL);
        for (node, before) in seen.iter_mut().enumerate() {
            let now = version(&fleet, node);
            assert!(now >= *before, "node {node} regressed from version {before} to {now}");
            *before = now;
        }
        for (node, target, since) in &behind {
            if version(&fleet, *node) >= *target {
                spans.push(fleet.now - since);
            }
        }
        behind.retain(|(node, target, _)| version(&fleet, *node) < *target);
    }
    fleet.group.fill(0);
    let end = fleet.now;
    let newest = item("current", CHANGES, PAYLOAD);
    let all = fleet.run_until_condition(end + 10 * SECOND, |fleet| fleet.all_have_item(&newest));
    assert!(all, "seed {seed}: some of {nodes} nodes never have the newest");
    spans.push(fleet.now - end);
    spans
}

#[gtest]
fn nodes_that_start_during_a_storm_of_changes_converge_to_the_newest() {
    for nodes in [3, 9, 60] {
        let mut spans: Vec<u64> = (0..SEEDS).flat_map(|seed| storm(nodes, seed)).collect();
        spans.sort_unstable();
        let at = |share: usize| spans[(spans.len() - 1) * share / 100];
        let (median, worst) = (at(50) / MS, at(100) / MS);
        println!(
            "{nodes} nodes: {} spans, median {median} ms, p99 {} ms, worst {worst} ms",
            spans.len(),
            at(99) / MS
        );
        expect_that!(at(100), le(CONVERGENCE_TIME), "{nodes} nodes");
    }
}
