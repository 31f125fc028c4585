//! How long a change takes to commit, and how long a cluster is without a primary, in simulated time.
//!
//! `cargo test -p gradepaddle-control --test latency -- --nocapture` prints the figures of `docs/CAPACITY.md`.

mod slow_links;

use googletest::prelude::*;
use slow_links::{Cluster, MILLISECOND, SECOND, Speed};

/// Changes whose latency is measured.
const CHANGES: usize = 300;
/// Losses of the primary that are measured.
const LOSSES: usize = 60;
/// A crashed machine starts again after this time.
const DOWN_FOR: u64 = 5 * SECOND;
/// Size in bytes of a configuration with a few hundred routes.
const BODY: usize = 40_000;

/// Two sites according to the operators' data sheets: syncs of 5 ms and 0.5 ms, zones 0.9 ms and 1.4 ms apart.
const SITES: [(&str, Speed); 2] = [
    ("5 ms a sync, 0.9 ms apart", Speed { bits_per_second: 100_000_000, delay: 900, write: 5 * MILLISECOND }),
    ("0.5 ms a sync, 1.4 ms apart", Speed { bits_per_second: 100_000_000, delay: 1_400, write: 500 }),
];

/// The value of a percentile.
fn percentile(sorted: &[u64], share: usize) -> u64 {
    sorted[(sorted.len() - 1) * share / 100]
}

fn commit_latencies(size: usize, losses: usize, body: usize, speed: Speed) -> Vec<u64> {
    let mut cluster = Cluster::bootstrapped(size, losses, speed);
    cluster.change_every(0, body);
    while cluster.commit_latencies.len() < CHANGES {
        cluster.run_for(SECOND);
    }
    let mut latencies = cluster.commit_latencies;
    latencies.sort_unstable();
    latencies
}

/// A commit needs a sync at the primary and, in parallel, a message to the backups, a sync there, and the reply.
#[gtest]
fn a_commit_takes_at_most_three_times_a_sync_and_a_round_trip() {
    for (site, speed) in SITES {
        for (size, losses) in [(3, 1), (5, 2), (8, 2)] {
            let latencies = commit_latencies(size, losses, 0, speed);
            let least = speed.write + 2 * speed.delay;
            let (median, p99) = (percentile(&latencies, 50), percentile(&latencies, 99));
            println!(
                "{size} members, {site}: commit median {median} us, p99 {p99} us, a sync and a round trip {least} us"
            );
            expect_that!(median, ge(least));
            expect_that!(p99, le(3 * least), "{size} members, {site}");
            let large = commit_latencies(size, losses, BODY, speed);
            println!(
                "    with {BODY} bytes: median {} us, p99 {} us",
                percentile(&large, 50),
                percentile(&large, 99)
            );
        }
    }
}

#[gtest]
fn a_lost_primary_is_replaced_within_four_seconds() {
    for (site, speed) in SITES {
        for (size, losses) in [(3, 1), (5, 2), (8, 2)] {
            let mut cluster = Cluster::bootstrapped(size, losses, speed);
            cluster.change_every(100 * MILLISECOND, 0);
            let mut taken = Vec::new();
            while taken.len() < LOSSES {
                cluster.run_for(3 * SECOND);
                let Some(leader) = cluster.leader() else { continue };
                let since = cluster.now;
                cluster.crash(leader);
                cluster.start_after(leader, DOWN_FOR);
                while cluster.leader().is_none() && cluster.now < since + DOWN_FOR {
                    cluster.run_for(5 * MILLISECOND);
                }
                taken.push(cluster.now - since);
                cluster.run_for(DOWN_FOR);
            }
            taken.sort_unstable();
            let at = |share| percentile(&taken, share) / MILLISECOND;
            println!(
                "{size} members, {site}: take-over median {} ms, p99 {} ms, worst {} ms",
                at(50),
                at(99),
                at(100)
            );
            expect_that!(at(100), lt(4_000), "{size} members, {site}");
        }
    }
}

/// The disks of all machines become slow, as they do where processes are starved: a takeover takes longer, but it
/// completes.
#[gtest]
fn a_lost_primary_is_replaced_however_long_syncs_take() {
    const SYNCS: [u64; 4] = [150 * MILLISECOND, 300 * MILLISECOND, 400 * MILLISECOND, 500 * MILLISECOND];
    let (_, speed) = SITES[0];
    for sync in SYNCS {
        let mut cluster = Cluster::bootstrapped(3, 1, speed);
        cluster.change_every(300 * MILLISECOND, 0);
        cluster.run_for(3 * SECOND);
        cluster.slow_disks(sync);
        cluster.run_for(4 * SECOND);
        let Some(leader) = cluster.leader() else {
            expect_that!(cluster.leader(), some(anything()), "{sync} us a sync, before the loss");
            continue;
        };
        cluster.crash(leader);
        cluster.run_for(30 * SECOND);
        expect_that!(cluster.leader(), some(anything()), "{sync} us a sync");
    }
}
