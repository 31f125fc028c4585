//! Over slow links and after thousands of changes, a restarted member catches up while changes continue.

mod slow_links;

use googletest::prelude::*;
use gradepaddle_control::ControlState;
use slow_links::{Cluster, MILLISECOND, SECOND, Speed, put};

/// Changes that were committed before the first fault.
const CHANGES: u64 = 10_000;
/// A member has to catch up within this time after its start.
const CATCH_UP: u64 = 4 * SECOND;
/// The same where a round trip takes 300 ms: a takeover takes a lease and six round trips, a change of members six
/// more.
const CATCH_UP_OVER_LONG_LINK: u64 = 8 * SECOND;
const KILOBYTE: usize = 1_000;
/// No connection has more than this queued, in bytes.
const MAX_QUEUED: usize = 2_000 * KILOBYTE;
/// A link that spans half the globe.
const LONG_LINK: Speed = Speed { delay: 150 * MILLISECOND, ..SLOW_LINK };
const SLOW_LINK: Speed =
    Speed { bits_per_second: 10_000_000, delay: 5 * MILLISECOND, write: 10 * MILLISECOND };

fn after_changes(size: usize, losses: usize, body: usize, speed: Speed) -> Cluster {
    let state = (0..CHANGES).fold(ControlState::default(), |state, version| {
        state.after(&put(version, if version + 1 == CHANGES { body } else { 0 }))
    });
    let mut cluster = Cluster::bootstrapped(size, losses, speed);
    cluster.restart_with_state(state);
    cluster
}

/// How a member fails and comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    /// It comes back with its disk.
    WithDisk,
    /// It comes back with an empty disk.
    WithoutDisk,
    /// It comes back with an empty disk, and is partitioned while the state is being transferred to it.
    PartitionedInTransfer,
    /// It comes back with an empty disk, and is killed while the state is being transferred to it.
    KilledInTransfer,
}

/// Restarts each machine in turn while changes continue; returns the catch-up times, each with its machine.
fn restarts(cluster: &mut Cluster, how: Return, rounds: usize) -> Vec<(usize, Option<u64>)> {
    /// A transfer is interrupted this long after the start.
    const INTERRUPTION_DELAY: u64 = 150 * MILLISECOND;
    let mut times = Vec::new();
    for round in 0..rounds * cluster.machines.len() {
        let node_index = round % cluster.machines.len();
        if how == Return::WithDisk {
            cluster.crash(node_index);
        } else {
            cluster.wipe(node_index);
        }
        let down = [50, 700, 2_500][round % 3] * MILLISECOND;
        cluster.start_after(node_index, down);
        cluster.run_for(down);
        if how == Return::PartitionedInTransfer {
            cluster.run_for(INTERRUPTION_DELAY);
            cluster.partition(node_index);
            cluster.run_for(down);
            cluster.heal_network();
        }
        if how == Return::KilledInTransfer {
            cluster.run_for(INTERRUPTION_DELAY);
            cluster.crash(node_index);
            cluster.start_after(node_index, down);
            cluster.run_for(down);
        }
        times.push((node_index, cluster.catch_up_within(node_index, 4 * CATCH_UP)));
        cluster.run_for(CATCH_UP);
    }
    times
}

/// Prints the catch-up times and the longest send queue, and checks them against their limits.
fn report_and_check(what: &str, cluster: &Cluster, times: &[(usize, Option<u64>)], limit: u64) {
    let mut taken: Vec<u64> = times.iter().map(|(_, time)| time.unwrap_or(u64::MAX)).collect();
    taken.sort_unstable();
    let at = |share: usize| taken[(taken.len() - 1) * share / 100] / MILLISECOND;
    println!(
        "{what}: {} restarts, median {} ms, p99 {} ms, worst {} ms; {} changes; queued {} KB at most",
        taken.len(),
        at(50),
        at(99),
        at(100),
        cluster.acknowledged.len(),
        cluster.max_queued / KILOBYTE,
    );
    let late: Vec<_> = times.iter().filter(|(_, time)| time.is_none_or(|time| time > limit)).collect();
    expect_that!(late.len(), eq(0), "{what}: {late:?}");
    expect_that!(cluster.max_queued, lt(MAX_QUEUED), "{what}");
}

/// Tests all kinds of return for a cluster size, a body size in bytes, a speed and a limit of the catch-up time.
fn all_returns(size: usize, losses: usize, body: usize, speed: Speed, limit: u64) {
    for how in
        [Return::WithDisk, Return::WithoutDisk, Return::PartitionedInTransfer, Return::KilledInTransfer]
    {
        let mut cluster = after_changes(size, losses, body, speed);
        cluster.change_every(SECOND, body);
        let times = restarts(&mut cluster, how, 4);
        report_and_check(
            &format!("{size} members, {body} bytes, {speed:?}, {how:?}"),
            &cluster,
            &times,
            limit,
        );
    }
}

#[gtest]
fn a_member_catches_up_over_slow_links() {
    for (size, losses) in [(3, 1), (5, 2)] {
        for body in [50 * KILOBYTE, 200 * KILOBYTE] {
            all_returns(size, losses, body, SLOW_LINK, CATCH_UP);
        }
    }
}

#[gtest]
fn a_member_catches_up_over_slow_and_long_links() {
    for (size, losses) in [(3, 1), (5, 2)] {
        all_returns(size, losses, 50 * KILOBYTE, LONG_LINK, CATCH_UP_OVER_LONG_LINK);
    }
}

#[gtest]
fn a_member_catches_up_with_the_largest_bodies_for_a_slow_link() {
    all_returns(3, 1, 1_000 * KILOBYTE, SLOW_LINK, CATCH_UP);
}

#[gtest]
fn a_member_catches_up_beside_slow_disks() {
    all_returns(3, 1, 200 * KILOBYTE, Speed { write: 150 * MILLISECOND, ..SLOW_LINK }, CATCH_UP);
}
