//! Thousands of changes with large bodies: the log stays bounded, and the newest state is recovered.

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
/// What the folder of a machine holds, in bytes.
const FOLDER: usize = 64 * 1024 * 1024;
/// What the control state may take of it, in bytes.
const SPACE_AT_MOST: usize = 2_000 * KILOBYTE;

fn open(disk: &Disk) -> (Storage, RecoveredState, Origin) {
    let opened =
        Storage::open_in(Box::new(disk.clone()), LogLimits::default(), OTHER).expect("the disk is well");
    (opened.storage, opened.recovered, opened.origin)
}

/// From 50 to 200 KB.
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

fn begun(disk: &Disk) -> Storage {
    let opened =
        Storage::open_in(Box::new(disk.clone()), LogLimits::default(), ID).expect("the disk is well");
    let mut storage = opened.storage;
    let data =
        Data { position: LogPosition { epoch: 1, sequence: 0 }, state: Arc::new(ControlState::default()) };
    storage.append(vec![Record::Snapshot(data)]).expect("the disk is well");
    storage
}

fn version(found: &RecoveredState) -> u64 {
    found.data.as_ref().map_or(0, |data| data.state.current_version())
}

#[gtest]
fn ten_thousand_large_changes_stay_within_the_directory_and_are_recovered() {
    let disk = Disk::new(1);
    let mut storage = begun(&disk);
    let (mut most, mut longest) = (0, 0);
    for step in 1..=CHANGES {
        storage.append(vec![change(step)]).expect("the disk is well");
        most = most.max(disk.space());
        longest = longest.max(storage.log_length());
        if step.is_multiple_of(500) {
            disk.lose_power();
            let (reopened, found, origin) = open(&disk);
            expect_that!((version(&found), origin), eq((step, Origin::Recovered)));
            storage = reopened;
        }
    }
    println!("{CHANGES} changes: {} KB on disk at most, log of {} KB", most / KILOBYTE, longest / 1_000);
    expect_that!(most, lt(SPACE_AT_MOST));
    let (_, found, _) = open(&disk);
    let state = found.data.expect("the data").state;
    expect_that!(state.configuration.as_ref().map(|one| one.body.clone()), some(eq(&body(CHANGES))));
}

#[gtest]
fn a_disk_that_fills_up_during_a_checkpoint_loses_nothing() {
    for room in (0..600).step_by(20) {
        let disk = Disk::new(room as u64);
        let mut storage = begun(&disk);
        let mut taken = 0;
        // Others fill the folder until the checkpoint finds only a part of the room that it wants.
        disk.set_capacity(disk.space() + 300 * KILOBYTE + room * KILOBYTE);
        for step in 1..=20 {
            if storage.append(vec![change(step)]).is_err() {
                break;
            }
            taken = step;
        }
        disk.lose_power();
        let (mut storage, found, origin) = open(&disk);
        let whole = version(&found);
        expect_that!(origin, eq(Origin::Recovered), "{room} KB");
        expect_that!(whole, any!(eq(taken), eq(taken + 1)), "{room} KB");
        disk.set_capacity(FOLDER);
        for step in whole + 1..=30 {
            expect_that!(storage.append(vec![change(step)]), ok(anything()), "{room} KB");
        }
        let (_, found, _) = open(&disk);
        expect_that!(version(&found), eq(30), "{room} KB");
    }
}

#[gtest]
fn a_checkpoint_that_fails_repeatedly_stays_within_the_directory() {
    let disk = Disk::new(3);
    let mut storage = begun(&disk);
    disk.set_capacity(FOLDER);
    let (mut last, mut refused) = (0, 0);
    for step in 1..=600 {
        disk.set_fault(if step % 3 == 0 { DiskFault::RenameReportsFailure } else { DiskFault::None });
        match storage.append(vec![change(last + 1)]) {
            Ok(()) => last += 1,
            Err(_) => refused += 1,
        }
        expect_that!(disk.space(), lt(FOLDER));
    }
    disk.set_fault(DiskFault::None);
    expect_that!(refused, lt(400));
    expect_that!(storage.append(vec![change(last + 1)]), ok(anything()));
    expect_that!(version(&open(&disk).1), eq(last + 1));
}

#[gtest]
fn a_torn_tail_of_a_long_log_yields_the_changes_before_it() {
    let disk = Disk::new(4);
    let mut storage = begun(&disk);
    let mut lengths = Vec::new();
    for step in 1..=40 {
        storage.append(vec![change(step)]).expect("the disk is well");
        lengths.push((step, storage.log_length()));
    }
    let whole = disk.bytes(LOG_FILE);
    // The entries since the latest checkpoint, cut at any of some hundred places.
    let since = lengths.windows(2).rposition(|pair| pair[1].1 < pair[0].1).map_or(0, |index| index + 1);
    let after_checkpoint = &lengths[since..];
    for cut in (after_checkpoint[0].1 as usize..=whole.len()).step_by(1_009) {
        disk.put(LOG_FILE, &whole[..cut]);
        disk.put(CHECKPOINT_FILE, &whole[..cut / 2]);
        let kept = after_checkpoint.iter().rfind(|(_, length)| *length <= cut as u64).map(|(step, _)| *step);
        expect_that!(Some(version(&open(&disk).1)), eq(kept), "cut at {cut}");
    }
}
