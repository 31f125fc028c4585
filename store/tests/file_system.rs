//! The store and its writer thread on the real file system.

use std::{path::PathBuf, sync::mpsc::channel};

use googletest::prelude::*;
use gradepaddle_control::{ProposalNumber, Record, ReplicaId, WriteId};
use gradepaddle_store::{Origin, Storage, Writer};

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> TempDirectory {
        let path = std::env::temp_dir().join(format!("gradepaddle-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        TempDirectory(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn promise(epoch: u64) -> Record {
    Record::Promise(ProposalNumber { epoch, candidate: ReplicaId(3) })
}

#[gtest]
fn records_are_recovered() -> Result<()> {
    let directory = TempDirectory::new("again");
    let mut opened = Storage::open(&directory.0, ReplicaId(5)).or_fail()?;
    expect_that!(opened.origin, eq(Origin::Created));
    opened.storage.append(vec![promise(9)]).or_fail()?;
    drop(opened);
    let opened = Storage::open(&directory.0, ReplicaId(6)).or_fail()?;
    expect_that!(opened.origin, eq(Origin::Recovered));
    expect_that!(opened.recovered.id, eq(ReplicaId(5)));
    expect_that!(opened.recovered.promised, some(eq(ProposalNumber { epoch: 9, candidate: ReplicaId(3) })));
    Ok(())
}

#[gtest]
fn the_writer_thread_writes_in_order_and_reports_each_write() -> Result<()> {
    let directory = TempDirectory::new("thread");
    let opened = Storage::open(&directory.0, ReplicaId(5)).or_fail()?;
    let (sender, results) = channel();
    let writer = Writer::start(opened.storage, Box::new(move |done| drop(sender.send(done)))).or_fail()?;
    for write_id in 1..=20 {
        writer.write(WriteId(write_id), vec![promise(write_id)]);
    }
    drop(writer);
    let done: Vec<_> = results.iter().map(|done| (done.write_id.0, done.result.is_ok())).collect();
    expect_that!(done, eq(&(1..=20).map(|write_id| (write_id, true)).collect::<Vec<_>>()));
    let opened = Storage::open(&directory.0, ReplicaId(6)).or_fail()?;
    expect_that!(opened.recovered.promised.map(|proposal_number| proposal_number.epoch), some(eq(20)));
    Ok(())
}
