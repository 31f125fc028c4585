//! The disk: what it holds after each batch, and that truncated writes and flipped bits are never taken for valid state.

use std::io;
use std::sync::{Arc, Mutex};

use gradepaddle_book::store::{Batch, Disk, StoreError};
use gradepaddle_book::{Entry, HardState, Membership, PersistentState, Snapshot};
use redb::{Builder, StorageBackend};

/// An in-memory file that records its operations.
#[derive(Clone, Debug, Default)]
struct Recorded(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    bytes: Vec<u8>,
    steps: Vec<Step>,
    /// Writes fail from now on.
    full: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

impl Step {
    /// Applies the step to a file, but only the first `most` bytes of a write.
    fn on(&self, bytes: &mut Vec<u8>, most: usize) {
        match self {
            Step::Write(at, data) => {
                let (at, data) = (*at as usize, &data[..data.len().min(most)]);
                bytes.resize(bytes.len().max(at + data.len()), 0);
                bytes[at..at + data.len()].copy_from_slice(data);
            }
            Step::Length(length) => bytes.resize(*length as usize, 0),
            Step::Sync => {}
        }
    }
}

impl Recorded {
    fn step(&self, step: Step) -> io::Result<()> {
        let mut inner = self.0.lock().expect("no panic while it is held");
        if inner.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        step.on(&mut inner.bytes, usize::MAX);
        inner.steps.push(step);
        Ok(())
    }

    fn of(bytes: Vec<u8>) -> Self {
        Recorded(Arc::new(Mutex::new(Inner { bytes, ..Inner::default() })))
    }
}

impl StorageBackend for Recorded {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().expect("no panic while it is held").bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let inner = self.0.lock().expect("no panic while it is held");
        let from = offset as usize;
        let some = inner.bytes.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(some);
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.step(Step::Length(length))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.step(Step::Sync)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.step(Step::Write(offset, data.to_vec()))
    }
}

fn open(file: Recorded, id: u64) -> Result<(Disk, PersistentState), StoreError> {
    let file = Builder::new().create_with_backend(file).map_err(|e| StoreError::Open(e.to_string()))?;
    Disk::with_database(file, id)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: vec![index as u8; 40], ..Entry::default() }
}

/// The batches of one disk: initial batch, a growing log, a replaced tail, own snapshots and snapshots from other keepers.
fn disk_history() -> Vec<Batch> {
    let hard = |term, commit| Some(HardState { term, vote: 3, commit });
    let snapshot = |index| {
        let membership = Membership { voters: vec![1, 2, 3], ..Membership::default() };
        Some(Snapshot { index, term: 1, membership, state: vec![7; 100] })
    };
    vec![
        Batch { hard: hard(1, 1), snapshot: snapshot(1), ..Batch::default() },
        Batch { entries: (2..=6).map(|index| entry(index, 1)).collect(), ..Batch::default() },
        Batch { entries: vec![entry(5, 2), entry(6, 2), entry(7, 2)], hard: hard(2, 4), ..Batch::default() },
        Batch { snapshot: snapshot(4), first: Some(3), ..Batch::default() },
        Batch { entries: vec![entry(8, 2)], ..Batch::default() },
        Batch { snapshot: snapshot(20), hard: hard(3, 20), ..Batch::default() },
        Batch { entries: vec![entry(21, 3)], ..Batch::default() },
    ]
}

/// Guards acknowledged batches: after a restart the disk holds exactly the state that the keeper assumes.
#[test]
fn acknowledged_batches_survive_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("book.redb");
    let mut expected = PersistentState { id: 77, ..PersistentState::default() };
    for batch in disk_history() {
        let (mut disk, kept) = Disk::open(&path, 77).expect("the disk");
        assert_eq!(kept, expected);
        disk.write(&batch).expect("room");
        expected.apply(&batch);
    }
    let (_, kept) = Disk::open(&path, 5).expect("the disk");
    assert_eq!(kept, expected, "and its number stays");
}

/// Guards against a partial batch after a crash: truncated anywhere, the disk holds all of a batch or nothing of it, and
/// never less than was synced. Each write is cut at its ends and within.
#[test]
fn a_write_cut_anywhere_leaves_the_whole_batch_or_nothing() {
    let file = Recorded::default();
    let (mut disk, fresh) = open(file.clone(), 9).expect("a fresh disk");
    let mut states = vec![(0, fresh)];
    for batch in disk_history() {
        disk.write(&batch).expect("room");
        let mut next = states.last().expect("the first").1.clone();
        next.apply(&batch);
        let steps = file.0.lock().expect("no panic while it is held").steps.len();
        states.push((steps, next));
    }
    let steps = file.0.lock().expect("no panic while it is held").steps.clone();
    drop(disk);
    let first = states.iter().position(|(done, _)| *done > 0).unwrap_or(0);
    let begin = states[first].0;
    let (mut bytes, mut cuts) = (Vec::new(), 0);
    steps[..begin].iter().for_each(|step| step.on(&mut bytes, usize::MAX));
    for (at, step) in steps.iter().enumerate().skip(begin) {
        let within = match step {
            Step::Write(_, data) => {
                let stride = (data.len() / 12).max(1);
                (0..=data.len()).step_by(stride).collect()
            }
            _ => vec![usize::MAX],
        };
        for most in within {
            let mut torn = bytes.clone();
            step.on(&mut torn, most);
            let (_, kept) = open(Recorded::of(torn), 9).unwrap_or_else(|e| panic!("step {at}, {most}: {e}"));
            let promised = states.iter().rposition(|(done, _)| *done <= at).unwrap_or(0);
            let holds = states[promised..].iter().take(2).any(|(_, state)| *state == kept);
            assert!(holds, "step {at}, {most} bytes: {kept:?}");
            cuts += 1;
        }
        step.on(&mut bytes, usize::MAX);
    }
    assert!(cuts > 300, "{cuts} cuts");
}

/// Guards against a full disk: the keeper gets an error, and the disk keeps what it held.
#[test]
fn a_full_disk_is_reported_and_keeps_what_it_held() {
    let file = Recorded::default();
    let (mut disk, _) = open(file.clone(), 9).expect("a fresh disk");
    disk.write(&disk_history()[0]).expect("room");
    file.0.lock().expect("no panic while it is held").full = true;
    assert!(matches!(disk.write(&disk_history()[1]), Err(StoreError::Write(_))));
    drop(disk);
    let bytes = file.0.lock().expect("no panic while it is held").bytes.clone();
    let (_, kept) = open(Recorded::of(bytes), 9).expect("the disk");
    assert!(kept.snapshot.index == 1 && kept.entries.is_empty(), "{kept:?}");
}

/// Guards against corruption on the disk: any flipped bit is detected or changes nothing that is read.
#[test]
fn a_flipped_bit_is_detected_or_changes_nothing() {
    let file = Recorded::default();
    let (mut disk, _) = open(file.clone(), 9).expect("a fresh disk");
    disk_history()[..3].iter().for_each(|batch| disk.write(batch).expect("room"));
    drop(disk);
    let bytes = file.0.lock().expect("no panic while it is held").bytes.clone();
    let (_, good) = open(Recorded::of(bytes.clone()), 9).expect("the disk");
    let mut noticed = 0;
    let used: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] != 0).collect();
    for at in used.iter().step_by(83) {
        let mut rotten = bytes.clone();
        rotten[*at] ^= 1 << (at % 8);
        // The database itself may panic over what it finds; that counts as detected.
        let opened = std::panic::catch_unwind(|| open(Recorded::of(rotten), 9).map(|(_, kept)| kept));
        match opened {
            Ok(Ok(kept)) => assert_eq!(kept, good, "byte {at}"),
            Ok(Err(_)) | Err(_) => noticed += 1,
        }
    }
    assert!(noticed > 2, "{noticed} noticed");
}
