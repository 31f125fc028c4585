//! After a power loss or a torn write, all acknowledged records are recovered, and none that weren't written.

mod disk;

use std::sync::Arc;

use disk::{Disk, DiskFault};
use googletest::prelude::*;
use gradepaddle_control::{
    Change, ControlState, Data, KnownView, LogPosition, Member, ProposalNumber, Record, RecoveredState,
    ReplicaId, View,
};
use gradepaddle_store::{CHECKPOINT_FILE, LOG_FILE, LogLimits, Origin, Storage};

const ID: ReplicaId = ReplicaId(77);
const OTHER: ReplicaId = ReplicaId(78);
/// Small limits, so that checkpoints are frequent.
const FREQUENT_CHECKPOINTS: LogLimits = LogLimits { checkpoint_bytes: 600, max_log_bytes: 1 << 20 };
/// Large limits, so that no test causes a checkpoint.
const NO_CHECKPOINTS: LogLimits = LogLimits { checkpoint_bytes: 1 << 20, max_log_bytes: 1 << 22 };

fn open(disk: &Disk, limits: LogLimits, fresh: ReplicaId) -> (Storage, RecoveredState, Origin) {
    let opened = Storage::open_in(Box::new(disk.clone()), limits, fresh).expect("the disk has no fault");
    (opened.storage, opened.recovered, opened.origin)
}

fn view(epoch: u64) -> Record {
    let member = |id: u64| Member {
        id: ReplicaId(id),
        address: format!("10.0.0.{id}:7640").parse().expect("an address"),
        zone: Arc::from("hal-a"),
    };
    let view = View {
        epoch,
        members: vec![member(1), member(2), member(3)],
        previous_members: vec![member(1), member(2)],
        primary: ReplicaId(1),
        backups: vec![ReplicaId(2)],
        target_size: 3,
    };
    Record::View(KnownView { view: Arc::new(view), active: epoch.is_multiple_of(2) })
}

/// The records of the n-th write.
fn records(step: u64) -> Vec<Record> {
    let position = LogPosition { epoch: 1 + step / 7, sequence: step };
    let put = Change::PutConfiguration {
        if_match: step,
        version: step + 1,
        body: Arc::from(vec![step as u8; 40 + (step as usize * 13) % 120]),
        fingerprint: u128::from(step) << 70,
    };
    match step % 7 {
        0 => {
            let state = Arc::new(ControlState::default().after(&put));
            vec![
                Record::Promise(ProposalNumber { epoch: step, candidate: OTHER }),
                Record::Snapshot(Data { position, state }),
            ]
        }
        1 => vec![view(step)],
        2 | 3 => vec![Record::Changed { position, change: put }],
        4 => {
            let change = Change::NameVersion { model: format!("m{step}"), version: step };
            vec![Record::Changed { position, change }]
        }
        5 => vec![Record::Moved(position), view(step)],
        _ if step.is_multiple_of(2) => vec![Record::SnapshotDiscarded],
        _ => Vec::new(),
    }
}

fn after(mut state: RecoveredState, records: Vec<Record>) -> RecoveredState {
    records.into_iter().for_each(|record| state.apply(record));
    state
}

fn after_steps(steps: u64) -> RecoveredState {
    (0..steps).fold(RecoveredState::empty(ID), |state, step| after(state, records(step)))
}

#[gtest]
fn an_empty_directory_gets_the_given_identity_and_keeps_it() {
    let disk = Disk::new(1);
    let (_, first, origin) = open(&disk, FREQUENT_CHECKPOINTS, ID);
    expect_that!((first, origin), eq(&(RecoveredState::empty(ID), Origin::Created)));
    disk.lose_power();
    let (_, second, origin) = open(&disk, FREQUENT_CHECKPOINTS, OTHER);
    expect_that!((second, origin), eq(&(RecoveredState::empty(ID), Origin::Recovered)));
}

#[gtest]
fn everything_written_is_recovered_across_checkpoints() {
    for limits in [FREQUENT_CHECKPOINTS, NO_CHECKPOINTS] {
        let disk = Disk::new(2);
        let (mut storage, ..) = open(&disk, limits, ID);
        for step in 0..60 {
            expect_that!(storage.append(records(step)), ok(anything()));
            disk.lose_power();
            let (reopened, found, _) = open(&disk, limits, OTHER);
            expect_that!(found, eq(&after_steps(step + 1)));
            storage = reopened;
        }
    }
}

#[gtest]
fn checkpoints_bound_the_log() {
    let disk = Disk::new(3);
    let (mut storage, ..) = open(&disk, FREQUENT_CHECKPOINTS, ID);
    let mut longest = 0;
    for step in 0..500 {
        expect_that!(storage.append(records(step)), ok(anything()));
        longest = longest.max(storage.log_length());
    }
    expect_that!(longest, lt(8_000));
}

#[gtest]
fn a_log_truncated_at_any_byte_yields_the_complete_entries_before_it() {
    let disk = Disk::new(4);
    let (mut storage, ..) = open(&disk, NO_CHECKPOINTS, ID);
    let mut lengths = vec![storage.log_length()];
    for step in 0..14 {
        expect_that!(storage.append(records(step)), ok(anything()));
        lengths.push(storage.log_length());
    }
    let whole = disk.bytes(LOG_FILE);
    for cut in lengths[0] as usize..=whole.len() {
        disk.put(LOG_FILE, &whole[..cut]);
        let entries = lengths.iter().filter(|length| **length <= cut as u64).count() as u64 - 1;
        let (mut storage, found, _) = open(&disk, NO_CHECKPOINTS, OTHER);
        expect_that!(found, eq(&after_steps(entries)), "cut at {cut}");
        expect_that!(storage.append(records(entries)), ok(anything()));
        let (_, found, _) = open(&disk, NO_CHECKPOINTS, OTHER);
        expect_that!(found, eq(&after_steps(entries + 1)), "appended after a cut at {cut}");
    }
}

#[gtest]
fn a_corrupted_byte_in_the_last_entries_yields_what_is_before_them() {
    let disk = Disk::new(5);
    let (mut storage, ..) = open(&disk, NO_CHECKPOINTS, ID);
    let mut lengths = vec![storage.log_length()];
    for step in 0..14 {
        expect_that!(storage.append(records(step)), ok(anything()));
        lengths.push(storage.log_length());
    }
    let whole = disk.bytes(LOG_FILE);
    for wrong in lengths[11] as usize..whole.len() {
        for flip in [0x01, 0x80, 0xFF] {
            let mut bytes = whole.clone();
            bytes[wrong] ^= flip;
            disk.put(LOG_FILE, &bytes);
            let entries = lengths.iter().filter(|length| **length <= wrong as u64).count() as u64 - 1;
            let (_, found, _) = open(&disk, NO_CHECKPOINTS, OTHER);
            expect_that!(found, eq(&after_steps(entries)), "byte {wrong}");
        }
    }
}

#[gtest]
fn a_corrupted_snapshot_gives_the_replica_another_identity() {
    let disk = Disk::new(6);
    let (mut storage, ..) = open(&disk, NO_CHECKPOINTS, ID);
    expect_that!(storage.append(records(0)), ok(anything()));
    let mut bytes = disk.bytes(LOG_FILE);
    bytes[17] ^= 0xFF;
    disk.put(LOG_FILE, &bytes);
    let (_, found, origin) = open(&disk, NO_CHECKPOINTS, OTHER);
    expect_that!((found, origin), eq(&(RecoveredState::empty(OTHER), Origin::Corrupted)));
}

#[gtest]
fn an_unknown_format_is_rejected_and_left_unchanged() {
    let disk = Disk::new(7);
    disk.put(LOG_FILE, b"gpcs\x09\0\0\0anything");
    expect_that!(Storage::open_in(Box::new(disk.clone()), FREQUENT_CHECKPOINTS, ID).err(), some(anything()));
    expect_that!(disk.bytes(LOG_FILE), eq(b"gpcs\x09\0\0\0anything"));
}

#[gtest]
fn an_unfinished_checkpoint_is_ignored() {
    let disk = Disk::new(8);
    let (mut storage, ..) = open(&disk, NO_CHECKPOINTS, ID);
    expect_that!(storage.append(records(0)), ok(anything()));
    disk.put(CHECKPOINT_FILE, b"gpcs\x01\0\0\0half a snap");
    let (_, found, _) = open(&disk, NO_CHECKPOINTS, OTHER);
    expect_that!(found, eq(&after_steps(1)));
}

#[gtest]
fn a_failing_disk_rejects_writes_and_then_works_again() {
    for fault in [DiskFault::Full, DiskFault::TornWrite, DiskFault::SyncFails] {
        let disk = Disk::new(9);
        let (mut storage, ..) = open(&disk, FREQUENT_CHECKPOINTS, ID);
        expect_that!(storage.append(records(0)), ok(anything()));
        disk.set_fault(fault);
        for _ in 0..3 {
            expect_that!(storage.append(records(1)), err(anything()), "{fault:?}");
        }
        disk.set_fault(DiskFault::None);
        expect_that!(storage.append(records(1)), ok(anything()), "{fault:?}");
        disk.lose_power();
        let (_, found, _) = open(&disk, FREQUENT_CHECKPOINTS, OTHER);
        expect_that!(found, eq(&after_steps(2)), "{fault:?}");
    }
}

/// The recovered state consists of all acknowledged writes and at most one of the writes that have failed since then.
#[gtest]
fn any_disk_fault_and_any_power_loss_keep_what_was_acknowledged() -> Result<()> {
    const FAULTS: [DiskFault; 5] = [
        DiskFault::Full,
        DiskFault::TornWrite,
        DiskFault::SyncFails,
        DiskFault::RenameReportsFailure,
        DiskFault::None,
    ];
    for seed in 0..3_000 {
        let disk = Disk::new(seed);
        let (mut storage, ..) = open(&disk, FREQUENT_CHECKPOINTS, ID);
        let mut acknowledged = RecoveredState::empty(ID);
        let mut unacknowledged = Vec::new();
        for step in 0..60 {
            let (is_faulty, fault, loses_power) = disk.draw_faults();
            disk.set_fault(if is_faulty { FAULTS[fault as usize] } else { DiskFault::None });
            match storage.append(records(step)) {
                Ok(()) => {
                    acknowledged = after(acknowledged, records(step));
                    unacknowledged.clear();
                }
                Err(_) => unacknowledged.push(after(acknowledged.clone(), records(step))),
            }
            if loses_power {
                disk.lose_power();
                let (reopened, found, origin) = open(&disk, FREQUENT_CHECKPOINTS, OTHER);
                let allowed = found == acknowledged || unacknowledged.contains(&found);
                verify_that!((allowed, origin), eq((true, Origin::Recovered))).with_failure_message(
                    || format!("seed {seed}, step {step}: recovered {found:?} instead of {acknowledged:?}"),
                )?;
                acknowledged = found;
                unacknowledged.clear();
                storage = reopened;
            }
        }
    }
    Ok(())
}
