//! The writer thread reports records as durable before it writes a checkpoint.

mod disk;

use std::{
    io,
    sync::{
        Arc, Condvar, Mutex,
        mpsc::{Receiver, channel},
    },
    time::Duration,
};

use disk::Disk;
use googletest::prelude::*;
use gradepaddle_control::{ProposalNumber, Record, ReplicaId, WriteId};
use gradepaddle_store::{
    CHECKPOINT_FILE, Directory, LogLimits, Origin, Storage, WritableFile, WriteResult, Writer,
};

const ID: ReplicaId = ReplicaId(7);
/// Limits at which each entry makes a checkpoint due.
const CHECKPOINT_EACH_ENTRY: LogLimits = LogLimits { checkpoint_bytes: 1, max_log_bytes: 1 << 20 };
/// Longer than any write in memory takes; only a failing test waits for this long.
const RESULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Blocks callers of [`Gate::pass`] while it is closed.
#[derive(Default)]
struct Gate {
    closed: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    fn set_closed(&self, closed: bool) {
        *self.closed.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = closed;
        self.opened.notify_all();
    }

    fn pass(&self) {
        let closed = self.closed.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        drop(self.opened.wait_while(closed, |closed| *closed));
    }
}

/// A disk on which the start of a checkpoint blocks while the gate is closed.
struct BlockingCheckpoints {
    disk: Disk,
    gate: Arc<Gate>,
}

impl Directory for BlockingCheckpoints {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.disk.read(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        if name == CHECKPOINT_FILE {
            self.gate.pass();
        }
        self.disk.open(name)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.disk.rename(from, to)
    }

    fn sync(&self) -> io::Result<()> {
        Directory::sync(&self.disk)
    }
}

fn promise(epoch: u64) -> Vec<Record> {
    // Longer than the snapshot, so that a checkpoint is due.
    vec![Record::Promise(ProposalNumber { epoch, candidate: ID }); 20]
}

fn next_result(results: &Receiver<WriteResult>) -> Option<(u64, bool)> {
    results.recv_timeout(RESULT_TIMEOUT).ok().map(|done| (done.write_id.0, done.result.is_ok()))
}

#[gtest]
fn a_checkpoint_that_hangs_delays_no_completion() -> Result<()> {
    let (disk, gate) = (Disk::new(1), Arc::new(Gate::default()));
    let directory = BlockingCheckpoints { disk: disk.clone(), gate: Arc::clone(&gate) };
    let opened = Storage::open_in(Box::new(directory), CHECKPOINT_EACH_ENTRY, ID).or_fail()?;
    let (sender, results) = channel();
    let writer = Writer::start(opened.storage, Box::new(move |done| drop(sender.send(done)))).or_fail()?;
    gate.set_closed(true);
    writer.write(WriteId(1), promise(5));
    expect_that!(next_result(&results), some(eq((1, true))), "while the checkpoint hangs");
    gate.set_closed(false);
    writer.write(WriteId(2), promise(6));
    expect_that!(next_result(&results), some(eq((2, true))));
    drop(writer);
    // The channel is closed when the thread exits.
    expect_that!(results.recv().is_err(), eq(true));
    let found = Storage::open_in(Box::new(disk), CHECKPOINT_EACH_ENTRY, ReplicaId(8)).or_fail()?;
    expect_that!(found.origin, eq(Origin::Recovered));
    expect_that!(found.recovered.promised.map(|proposal_number| proposal_number.epoch), some(eq(6)));
    Ok(())
}
