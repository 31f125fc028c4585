//! Thousands of changes with large bodies: the disk usage stays bounded, and the newest state is recovered.

mod disk;

use std::sync::Arc;

use disk::{Disk, DiskFault};
use googletest::prelude::*;
use gradepaddle_control::{Change, ControlState, Data, LogPosition, Record, RecoveredState, ReplicaId};
use gradepaddle_store::{CHECKPOINT_FILE, LOG_FILE, LogLimits, Origin, Storage};

const ID: ReplicaId = ReplicaId(77);
const OTHER: ReplicaId = ReplicaId(78);
const CHANGES: u64 = 10_000;
const KILOBYTE: usize = 1_000;
/// Capacity of the directory on a machine, in bytes.
const DIRECTORY_CAPACITY: usize = 64 * 1024 * 1024;
/// The most of it that the control state may use, in bytes.
const MAX_DISK_USAGE: usize = 2_000 * KILOBYTE;

fn open(disk: &Disk) -> (Storage, RecoveredState, Origin) {
    let opened =
        Storage::open_in(Box::new(disk.clone()), LogLimits::default(), OTHER).expect("the disk has no fault");
    (opened.storage, opened.recovered, opened.origin)
}

/// A body of 50 to 200 KB.
fn body(version: u64) -> Arc<[u8]> {
    Arc::from(vec![version as u8; 50 * KILOBYTE + version as usize * 7_919 % (150 * KILOBYTE)])
}

fn change(version: u64) -> Record {
    let change = Change::PutConfiguration {
        if_match: version - 1,
        version,
        body: body(version),
        fingerprint: u128::from(version),
    };
    Record::Changed { position: LogPosition { epoch: 1, sequence: version }, change }
}

fn new_storage(disk: &Disk) -> Storage {
    let opened =
        Storage::open_in(Box::new(disk.clone()), LogLimits::default(), ID).expect("the disk has no fault");
    let mut storage = opened.storage;
    let data =
        Data { position: LogPosition { epoch: 1, sequence: 0 }, state: Arc::new(ControlState::default()) };
    storage.append(vec![Record::Snapshot(data)]).expect("the disk has no fault");
    storage
}

fn version(found: &RecoveredState) -> u64 {
    found.data.as_ref().map_or(0, |data| data.state.current_version())
}

#[gtest]
fn ten_thousand_large_changes_stay_within_the_directory_and_are_recovered() {
    let disk = Disk::new(1);
    let mut storage = new_storage(&disk);
    let (mut max_usage, mut longest) = (0, 0);
    for step in 1..=CHANGES {
        storage.append(vec![change(step)]).expect("the disk has no fault");
        max_usage = max_usage.max(disk.space());
        longest = longest.max(storage.log_length());
        if step.is_multiple_of(500) {
            disk.lose_power();
            let (reopened, found, origin) = open(&disk);
            expect_that!((version(&found), origin), eq((step, Origin::Recovered)));
            storage = reopened;
        }
    }
    println!("{CHANGES} changes: {} KB on disk at most, log of {} KB", max_usage / KILOBYTE, longest / 1_000);
    expect_that!(max_usage, lt(MAX_DISK_USAGE));
    let (_, found, _) = open(&disk);
    let state = found.data.expect("the data").state;
    expect_that!(
        state.configuration.as_ref().map(|configuration| configuration.body.clone()),
        some(eq(&body(CHANGES)))
    );
}

#[gtest]
fn a_disk_that_fills_up_during_a_checkpoint_loses_nothing() {
    for free in (0..600).step_by(20) {
        let disk = Disk::new(free as u64);
        let mut storage = new_storage(&disk);
        let mut last = 0;
        // Other files fill the disk, so that a checkpoint has only a part of the space that it needs.
        disk.set_capacity(disk.space() + 300 * KILOBYTE + free * KILOBYTE);
        for step in 1..=20 {
            if storage.append(vec![change(step)]).is_err() {
                break;
            }
            last = step;
        }
        disk.lose_power();
        let (mut storage, found, origin) = open(&disk);
        let recovered = version(&found);
        expect_that!(origin, eq(Origin::Recovered), "{free} KB");
        expect_that!(recovered, any!(eq(last), eq(last + 1)), "{free} KB");
        disk.set_capacity(DIRECTORY_CAPACITY);
        for step in recovered + 1..=30 {
            expect_that!(storage.append(vec![change(step)]), ok(anything()), "{free} KB");
        }
        let (_, found, _) = open(&disk);
        expect_that!(version(&found), eq(30), "{free} KB");
    }
}

#[gtest]
fn a_checkpoint_that_fails_repeatedly_stays_within_the_directory() {
    let disk = Disk::new(3);
    let mut storage = new_storage(&disk);
    disk.set_capacity(DIRECTORY_CAPACITY);
    let (mut last, mut failed) = (0, 0);
    for step in 1..=600 {
        disk.set_fault(if step % 3 == 0 { DiskFault::RenameReportsFailure } else { DiskFault::None });
        match storage.append(vec![change(last + 1)]) {
            Ok(()) => last += 1,
            Err(_) => failed += 1,
        }
        expect_that!(disk.space(), lt(DIRECTORY_CAPACITY));
    }
    disk.set_fault(DiskFault::None);
    expect_that!(failed, lt(400));
    expect_that!(storage.append(vec![change(last + 1)]), ok(anything()));
    expect_that!(version(&open(&disk).1), eq(last + 1));
}

#[gtest]
fn a_torn_tail_of_a_long_log_yields_the_changes_before_it() {
    let disk = Disk::new(4);
    let mut storage = new_storage(&disk);
    let mut lengths = Vec::new();
    for step in 1..=40 {
        storage.append(vec![change(step)]).expect("the disk has no fault");
        lengths.push((step, storage.log_length()));
    }
    let complete = disk.bytes(LOG_FILE);
    // The log is truncated at several hundred places after the latest checkpoint.
    let since = lengths.windows(2).rposition(|pair| pair[1].1 < pair[0].1).map_or(0, |index| index + 1);
    let after_checkpoint = &lengths[since..];
    for cut in (after_checkpoint[0].1 as usize..=complete.len()).step_by(1_009) {
        disk.put(LOG_FILE, &complete[..cut]);
        disk.put(CHECKPOINT_FILE, &complete[..cut / 2]);
        let kept = after_checkpoint.iter().rfind(|(_, length)| *length <= cut as u64).map(|(step, _)| *step);
        expect_that!(Some(version(&open(&disk).1)), eq(kept), "cut at {cut}");
    }
}
