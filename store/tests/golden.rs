//! The bytes on disk: what this version writes, and directories that an earlier version has written.
//!
//! The directories under `golden/` were written by the code of commit 4552024 with `Storage::open_in` on a `RealFolder`
//! (now [`gradepaddle_store::FsDirectory`]), from the records of [`snapshot`] and [`later`] below: `fresh` by opening
//! alone; `checkpoint_and_records` by a checkpoint (`checkpoint_after` 1) of the former and appending the latter;
//! `torn_tail` from a copy of that with [`one_more`] appended and the last five bytes truncated; `discarded_data` by
//! appending the former and then a discarded snapshot, without a checkpoint. They are never regenerated: later versions
//! must read them as they are.

mod disk;

use std::{
    fs,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use disk::Disk;
use googletest::prelude::*;
use gradepaddle_control::{
    AcceptedConfiguration, AcceptedHistory, Change, ControlState, Data, KnownView, LogPosition, Member,
    ProposalNumber, Record, RecoveredState, ReplicaId, StoredConfiguration, View,
};
use gradepaddle_store::{LOG_FILE, LogLimits, Origin, Storage};

const ID: ReplicaId = ReplicaId(0x1122_3344_5566_7788);
const OTHER: ReplicaId = ReplicaId(78);
/// Limits at which each entry makes a checkpoint due.
const CHECKPOINT_EACH_ENTRY: LogLimits = LogLimits { checkpoint_bytes: 1, max_log_bytes: 1 << 20 };
/// Limits at which no test causes a checkpoint.
const NO_CHECKPOINTS: LogLimits = LogLimits { checkpoint_bytes: 1 << 20, max_log_bytes: 1 << 22 };

fn member(id: u64, host: u8, zone: &str) -> Member {
    let address = format!("10.20.0.{host}:7640").parse().expect("an address");
    Member { id: ReplicaId(id), address, zone: Arc::from(zone) }
}

fn put(if_match: u64, version: u64, body: &[u8], fingerprint: u128) -> Change {
    Change::PutConfiguration { if_match, version, body: Arc::from(body), fingerprint }
}

fn position(epoch: u64, sequence: u64) -> LogPosition {
    LogPosition { epoch, sequence }
}

/// A promise, a view and a snapshot with every field set.
fn snapshot() -> Vec<Record> {
    let view = View {
        epoch: 7,
        members: vec![
            member(0x1122_3344_5566_7788, 1, "hal-a"),
            member(2, 2, "hal-b"),
            member(u64::MAX, 3, "hal-c"),
        ],
        previous_members: vec![
            member(0x1122_3344_5566_7788, 1, "hal-a"),
            member(2, 2, "hal-b"),
            member(3, 4, "hal-c"),
        ],
        primary: ID,
        backups: vec![ReplicaId(2), ReplicaId(u64::MAX)],
        target_size: 3,
    };
    let accepted = vec![
        AcceptedConfiguration { version: 3, fingerprint: 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10 },
        AcceptedConfiguration { version: 300, fingerprint: 1 },
    ];
    let state = ControlState {
        configuration: Some(StoredConfiguration {
            version: 300,
            body: Arc::from(&b"{\"version\":300}"[..]),
            fingerprint: 1,
        }),
        accepted: AcceptedHistory::new(accepted, 2),
        models: [("llama-70b".to_owned(), 12), ("qwen".to_owned(), 1)].into(),
    };
    vec![
        Record::Promise(ProposalNumber { epoch: 7, candidate: ID }),
        Record::View(KnownView { view: Arc::new(view), active: false }),
        Record::Snapshot(Data { position: position(7, 41), state: Arc::new(state) }),
    ]
}

/// The entries after the snapshot.
fn later() -> Vec<Vec<Record>> {
    let model = Change::NameVersion { model: "llama-70b".to_owned(), version: 13 };
    vec![
        vec![Record::Changed {
            position: position(7, 42),
            change: put(300, 301, b"{\"version\":301}", u128::MAX),
        }],
        vec![Record::Changed { position: position(7, 43), change: model }],
        vec![
            Record::Promise(ProposalNumber { epoch: 9, candidate: ReplicaId(2) }),
            Record::Moved(position(9, 43)),
        ],
    ]
}

/// An entry that `torn_tail` holds in part.
fn one_more() -> Vec<Record> {
    let change = put(301, 302, b"{\"version\":302}", 2);
    vec![Record::Changed { position: position(9, 44), change }]
}

/// The log file in a directory of test data.
fn golden(name: &str) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name).join(LOG_FILE);
    fs::read(path).expect("the test data exists")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn open(disk: &Disk, limits: LogLimits) -> Storage {
    Storage::open_in(Box::new(disk.clone()), limits, ID).expect("the disk has no fault").storage
}

/// The bytes that appending these records adds to a log that holds only the identity.
fn appended(records: Vec<Record>) -> String {
    let disk = Disk::new(1);
    let mut storage = open(&disk, NO_CHECKPOINTS);
    let before = disk.bytes(LOG_FILE).len();
    storage.append(records).expect("the disk has no fault");
    hex(&disk.bytes(LOG_FILE)[before..])
}

/// A copy of a directory of test data on the real file system, removed on drop.
struct Copied(PathBuf);

impl Copied {
    fn new(name: &str) -> Copied {
        static COPIES: AtomicU32 = AtomicU32::new(0);
        let copy = COPIES.fetch_add(1, Ordering::Relaxed);
        let name_of_copy = format!("gradepaddle-golden-{name}-{}-{copy}", std::process::id());
        let path = std::env::temp_dir().join(name_of_copy);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("the directory for the copy can be created");
        fs::write(path.join(LOG_FILE), golden(name)).expect("a copy of the file");
        Copied(path)
    }

    fn recovered(&self) -> RecoveredState {
        let opened = Storage::open(&self.0, OTHER).expect("a directory of an earlier version can be opened");
        assert_eq!(opened.origin, Origin::Recovered);
        opened.recovered
    }
}

impl Drop for Copied {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Checks each field of the recovered view.
fn expect_view(known: Option<&KnownView>) {
    let known = known.expect("the view was written");
    expect_that!(known.active, eq(false));
    let view = &known.view;
    expect_that!(view.epoch, eq(7));
    expect_that!(view.primary, eq(ReplicaId(0x1122_3344_5566_7788)));
    expect_that!(view.backups, elements_are![eq(&ReplicaId(2)), eq(&ReplicaId(u64::MAX))]);
    expect_that!(view.target_size, eq(3));
    let text = |members: &[Member]| -> Vec<String> {
        members.iter().map(|member| format!("{} {} {}", member.id, member.address, member.zone)).collect()
    };
    expect_that!(
        text(&view.members),
        eq(&[
            "1122334455667788 10.20.0.1:7640 hal-a",
            "0000000000000002 10.20.0.2:7640 hal-b",
            "ffffffffffffffff 10.20.0.3:7640 hal-c",
        ])
    );
    expect_that!(
        text(&view.previous_members),
        eq(&[
            "1122334455667788 10.20.0.1:7640 hal-a",
            "0000000000000002 10.20.0.2:7640 hal-b",
            "0000000000000003 10.20.0.4:7640 hal-c",
        ])
    );
}

/// Checks that everything acknowledged up to the three later entries was recovered.
fn expect_all_entries(found: &RecoveredState) {
    expect_that!(found.id, eq(ReplicaId(0x1122_3344_5566_7788)));
    expect_that!(found.promised, some(eq(ProposalNumber { epoch: 9, candidate: ReplicaId(2) })));
    expect_view(found.view.as_ref());
    let data = found.data.as_ref().expect("the data was written");
    expect_that!(data.position, eq(LogPosition { epoch: 9, sequence: 43 }));
    let configuration = data.state.configuration.as_ref().expect("a configuration is in force");
    expect_that!(configuration.version, eq(301));
    expect_that!(&*configuration.body, eq(b"{\"version\":301}"));
    expect_that!(configuration.fingerprint, eq(u128::MAX));
    let models: Vec<_> =
        data.state.models.iter().map(|(model, version)| (model.as_str(), *version)).collect();
    expect_that!(models, eq(&[("llama-70b", 13), ("qwen", 1)]));
    expect_that!(data.state.accepted.truncated_through(), eq(2));
    let accepted: Vec<_> =
        data.state.accepted.iter().map(|accepted| (accepted.version, accepted.fingerprint)).collect();
    expect_that!(accepted, eq(&[(3, 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10), (300, 1), (301, u128::MAX)]));
}

#[gtest]
fn a_directory_of_an_earlier_version_holds_all_that_was_acknowledged() {
    let copied = Copied::new("checkpoint_and_records");
    expect_all_entries(&copied.recovered());
}

#[gtest]
fn a_torn_tail_of_an_earlier_version_loses_nothing_acknowledged() {
    let copied = Copied::new("torn_tail");
    expect_all_entries(&copied.recovered());
    expect_that!(fs::read(copied.0.join(LOG_FILE)).ok(), some(eq(&golden("checkpoint_and_records"))));
}

#[gtest]
fn discarded_data_of_an_earlier_version_stays_discarded() {
    let found = Copied::new("discarded_data").recovered();
    expect_that!(found.id, eq(ReplicaId(0x1122_3344_5566_7788)));
    expect_that!(
        found.promised,
        some(eq(ProposalNumber { epoch: 7, candidate: ReplicaId(0x1122_3344_5566_7788) }))
    );
    expect_view(found.view.as_ref());
    expect_that!(found.data, none());
}

#[gtest]
fn a_new_directory_of_an_earlier_version_holds_its_identity() {
    let found = Copied::new("fresh").recovered();
    expect_that!(found, eq(&RecoveredState::empty(ReplicaId(0x1122_3344_5566_7788))));
}

#[gtest]
fn a_directory_of_an_earlier_version_accepts_further_records() {
    let copied = Copied::new("torn_tail");
    let mut opened =
        Storage::open(&copied.0, OTHER).expect("a directory of an earlier version can be opened");
    opened.storage.append(one_more()).expect("the disk has no fault");
    let whole = fs::read(copied.0.join(LOG_FILE)).expect("the file exists");
    let torn = golden("torn_tail");
    expect_that!(whole.len(), eq(torn.len() + 5));
    expect_that!(&whole[..torn.len()], eq(&torn[..]));
}

#[gtest]
fn the_same_bytes_are_written() {
    let disk = Disk::new(1);
    let mut storage = open(&disk, CHECKPOINT_EACH_ENTRY);
    expect_that!(hex(&disk.bytes(LOG_FILE)), eq(&hex(&golden("fresh"))));
    expect_that!(hex(&disk.bytes(LOG_FILE)), eq("67706373010000000a00000032605ee80888ef99abc5e88c9111"));
    storage.append(snapshot()).expect("the disk has no fault");
    drop(storage);
    let mut storage = open(&disk, NO_CHECKPOINTS);
    for records in later() {
        storage.append(records).expect("the disk has no fault");
    }
    expect_that!(hex(&disk.bytes(LOG_FILE)), eq(&hex(&golden("checkpoint_and_records"))));

    let disk = Disk::new(2);
    let mut storage = open(&disk, NO_CHECKPOINTS);
    storage.append(snapshot()).expect("the disk has no fault");
    storage.append(vec![Record::SnapshotDiscarded]).expect("the disk has no fault");
    expect_that!(hex(&disk.bytes(LOG_FILE)), eq(&hex(&golden("discarded_data"))));
}

#[gtest]
fn each_kind_of_record_has_its_bytes() {
    let [promise, view, whole]: [Record; 3] = snapshot().try_into().expect("three records");
    let change = put(300, 301, b"{\"version\":301}", u128::MAX);
    let model = Change::NameVersion { model: "llama-70b".to_owned(), version: 13 };
    expect_that!(appended(vec![promise]), eq("12000000c7fc497f12100801120c08071088ef99abc5e88c9111"));
    expect_that!(
        appended(vec![view]),
        eq("b10000003a99f06812ae01080212a9010aa601080712190888ef99abc5e88c911110d8bb8480c0c2021a0568\
         616c2d611211080210d8bb8880c0c2021a0568616c2d62121a08ffffffffffffffffff0110d8bb8c80c0c202\
         1a0568616c2d631a190888ef99abc5e88c911110d8bb8480c0c2021a0568616c2d611a11080210d8bb8880c0\
         c2021a0568616c2d621a11080310d8bb9080c0c2021a0568616c2d632088ef99abc5e88c9111280228ffffff\
         ffffffffffff013003")
    );
    expect_that!(
        appended(vec![whole]),
        eq("7e000000583de2e8127c080312780a040807102912700a2608ac02120f7b2276657273696f6e223a3330307d\
         1a1001000000000000000000000000000000121408031210100f0e0d0c0b0a090807060504030201121508ac\
         021210010000000000000000000000000000001a0d0a096c6c616d612d373062100c1a080a047177656e1001\
         2002")
    );
    expect_that!(
        appended(vec![Record::Changed { position: position(7, 42), change }]),
        eq("37000000e53badff1235080412040807102a1a2b080110ac0218ad02220f7b2276657273696f6e223a333031\
         7d2a10ffffffffffffffffffffffffffffffff")
    );
    expect_that!(
        appended(vec![Record::Changed { position: position(7, 43), change: model }]),
        eq("1b0000009bc53b471219080412040807102b1a0f0802180d32096c6c616d612d373062")
    );
    expect_that!(appended(vec![Record::Moved(position(9, 43))]), eq("0a00000007289c6c1208080512040809102b"));
    expect_that!(appended(vec![Record::SnapshotDiscarded]), eq("0400000037831f1b12020806"));
    expect_that!(appended(Vec::new()), eq("00000000c46d20f5"));
}
