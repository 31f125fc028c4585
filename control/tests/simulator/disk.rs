//! A disk as the store presents it: writes are ordered and atomic; a failed write may turn out to be durable after a
//! crash.

use std::collections::VecDeque;

use gradepaddle_control::{Record, RecoveredState, ReplicaId, WriteId};

use super::random::Random;

#[derive(Debug)]
pub struct Disk {
    pub stored: RecoveredState,
    /// Writes in progress, the oldest first.
    in_progress: VecDeque<(WriteId, Vec<Record>)>,
    /// Writes that have failed since the last success: one of them may still be on the disk.
    failed_writes: Vec<Vec<Record>>,
    pub full: bool,
    pub hangs_until: u64,
    /// When the latest requested write completes.
    pub busy_until: u64,
}

impl Disk {
    pub fn empty(id: ReplicaId) -> Disk {
        Disk {
            stored: RecoveredState::empty(id),
            in_progress: VecDeque::new(),
            failed_writes: Vec::new(),
            full: false,
            hangs_until: 0,
            busy_until: 0,
        }
    }

    pub fn begin(&mut self, write_id: WriteId, records: Vec<Record>) {
        self.in_progress.push_back((write_id, records));
    }

    /// How many writes are in progress.
    pub fn waiting(&self) -> usize {
        self.in_progress.len()
    }

    /// Completes the oldest write; returns whether it is durable.
    pub fn finish(&mut self) -> Option<(WriteId, bool)> {
        let (write_id, records) = self.in_progress.pop_front()?;
        if self.full {
            self.failed_writes.push(records);
            return Some((write_id, false));
        }
        self.failed_writes.clear();
        records.into_iter().for_each(|record| self.stored.apply(record));
        Some((write_id, true))
    }

    /// After a crash, the disk holds some prefix of the writes in progress, or one of the writes that failed before.
    pub fn crash(&mut self, random: &mut Random) {
        let found: Vec<Vec<Record>> = if !self.failed_writes.is_empty() && random.permille(400) {
            vec![self.failed_writes.swap_remove(random.below(self.failed_writes.len()))]
        } else {
            let part = if self.full { 0 } else { random.below(self.in_progress.len() + 1) };
            self.in_progress.drain(..part).map(|(_, records)| records).collect()
        };
        found.into_iter().flatten().for_each(|record| self.stored.apply(record));
        self.failed_writes.clear();
        self.in_progress.clear();
        self.busy_until = 0;
    }
}
