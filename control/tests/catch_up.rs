//! Over slow links and after thousands of changes, a restarted member catches up while changes continue.

mod slow_links;

use googletest::prelude::*;
use gradepaddle_control::ControlState;
use slow_links::{Fleet, MILLISECOND, SECOND, Speed, put};

/// What the members have seen before anything goes wrong.
const CHANGES: u64 = 10_000;
/// A member has caught up within this after its start.
const CATCH_UP: u64 = 4 * SECOND;
/// The same where each round trip takes 300 ms: a takeover is a lease and six of them, a change of members six more.
const LONG_CATCH_UP: u64 = 8 * SECOND;
const KILOBYTE: usize = 1_000;
/// No connection has more than this waiting for it.
const QUEUED_AT_MOST: usize = 2_000 * KILOBYTE;
/// A link that goes half round the world.
const LONG: Speed = Speed { delay: 150 * MILLISECOND, ..SLOW };
const SLOW: Speed = Speed { bits_per_second: 10_000_000, delay: 5 * MILLISECOND, write: 10 * MILLISECOND };

fn after_changes(size: usize, losses: usize, body: usize, speed: Speed) -> Fleet {
    let state = (0..CHANGES).fold(ControlState::default(), |state, version| {
        state.after(&put(version, if version + 1 == CHANGES { body } else { 0 }))
    });
    let mut fleet = Fleet::bootstrapped(size, losses, speed);
    fleet.adopt(state);
    fleet
}

/// What happens to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    /// It comes back with its disk.
    WithDisk,
    /// It comes back without.
    WithoutDisk,
    /// It comes back without, and is cut off while the state is on its way to it.
    CutInTransfer,
    /// It comes back without, and is killed while the state is on its way to it.
    KilledInTransfer,
}

/// Restarts each machine in turn while changes go on; the times to catch up, by machine.
fn restarts(fleet: &mut Fleet, how: Return, rounds: usize) -> Vec<(usize, Option<u64>)> {
    /// A transfer is broken off this long after the start.
    const BROKEN_OFF: u64 = 150 * MILLISECOND;
    let mut times = Vec::new();
    for round in 0..rounds * fleet.machines.len() {
        let place = round % fleet.machines.len();
        if how == Return::WithDisk {
            fleet.crash(place);
        } else {
            fleet.wipe(place);
        }
        let down = [50, 700, 2_500][round % 3] * MILLISECOND;
        fleet.start_after(place, down);
        fleet.run_for(down);
        if how == Return::CutInTransfer {
            fleet.run_for(BROKEN_OFF);
            fleet.partition(place);
            fleet.run_for(down);
            fleet.heal_network();
        }
        if how == Return::KilledInTransfer {
            fleet.run_for(BROKEN_OFF);
            fleet.crash(place);
            fleet.start_after(place, down);
            fleet.run_for(down);
        }
        times.push((place, fleet.catch_up_within(place, 4 * CATCH_UP)));
        fleet.run_for(CATCH_UP);
    }
    times
}

/// Says how long the restarts took and that none took too long, and how much waited for the links.
fn judge(what: &str, fleet: &Fleet, times: &[(usize, Option<u64>)], limit: u64) {
    let mut taken: Vec<u64> = times.iter().map(|(_, time)| time.unwrap_or(u64::MAX)).collect();
    taken.sort_unstable();
    let at = |share: usize| taken[(taken.len() - 1) * share / 100] / MILLISECOND;
    println!(
        "{what}: {} restarts, median {} ms, p99 {} ms, worst {} ms; {} changes; queued {} KB at most",
        taken.len(),
        at(50),
        at(99),
        at(100),
        fleet.acknowledged.len(),
        fleet.most_queued / KILOBYTE,
    );
    let late: Vec<_> = times.iter().filter(|(_, time)| time.is_none_or(|time| time > limit)).collect();
    expect_that!(late.len(), eq(0), "{what}: {late:?}");
    expect_that!(fleet.most_queued, lt(QUEUED_AT_MOST), "{what}");
}

/// All ways to return, for a size of the core, bodies of so many bytes, and links.
fn all_returns(size: usize, losses: usize, body: usize, speed: Speed, limit: u64) {
    for how in [Return::WithDisk, Return::WithoutDisk, Return::CutInTransfer, Return::KilledInTransfer] {
        let mut fleet = after_changes(size, losses, body, speed);
        fleet.change_every(SECOND, body);
        let times = restarts(&mut fleet, how, 4);
        judge(&format!("{size} members, {body} bytes, {speed:?}, {how:?}"), &fleet, &times, limit);
    }
}

#[gtest]
fn a_member_catches_up_over_slow_links() {
    for (size, losses) in [(3, 1), (5, 2)] {
        for body in [50 * KILOBYTE, 200 * KILOBYTE] {
            all_returns(size, losses, body, SLOW, CATCH_UP);
        }
    }
}

#[gtest]
fn a_member_catches_up_over_slow_and_long_links() {
    for (size, losses) in [(3, 1), (5, 2)] {
        all_returns(size, losses, 50 * KILOBYTE, LONG, LONG_CATCH_UP);
    }
}

#[gtest]
fn a_member_catches_up_with_the_largest_bodies_for_a_slow_link() {
    all_returns(3, 1, 1_000 * KILOBYTE, SLOW, CATCH_UP);
}

#[gtest]
fn a_member_catches_up_beside_slow_disks() {
    all_returns(3, 1, 200 * KILOBYTE, Speed { write: 150 * MILLISECOND, ..SLOW }, CATCH_UP);
}
