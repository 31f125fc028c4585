//! A disk as the store presents it: ordered, atomic writes; a failed one may be found after a crash.

use std::collections::VecDeque;

use gradepaddle_control::{Record, RecoveredState, ReplicaId, WriteId};

use super::random::Random;

#[derive(Debug)]
pub struct Disk {
    pub kept: RecoveredState,
    /// Writes under way, the oldest first.
    under_way: VecDeque<(WriteId, Vec<Record>)>,
    /// Writes that have failed since the last success: one of them may be on the disk all the same.
    limbo: Vec<Vec<Record>>,
    pub full: bool,
    pub hangs_until: u64,
    /// When the latest write asked for will be done.
    pub busy_until: u64,
}

impl Disk {
    pub fn empty(id: ReplicaId) -> Disk {
        Disk {
            kept: RecoveredState::empty(id),
            under_way: VecDeque::new(),
            limbo: Vec::new(),
            full: false,
            hangs_until: 0,
            busy_until: 0,
        }
    }

    pub fn begin(&mut self, write_id: WriteId, records: Vec<Record>) {
        self.under_way.push_back((write_id, records));
    }

    /// How many writes are under way.
    pub fn waiting(&self) -> usize {
        self.under_way.len()
    }

    /// Ends the oldest write; says whether it is durable.
    pub fn finish(&mut self) -> Option<(WriteId, bool)> {
        let (write_id, records) = self.under_way.pop_front()?;
        if self.full {
            self.limbo.push(records);
            return Some((write_id, false));
        }
        self.limbo.clear();
        records.into_iter().for_each(|record| self.kept.apply(record));
        Some((write_id, true))
    }

    /// Of what is under way some first part is found later, or one of the writes that have failed before.
    pub fn crash(&mut self, random: &mut Random) {
        let found: Vec<Vec<Record>> = if !self.limbo.is_empty() && random.permille(400) {
            vec![self.limbo.swap_remove(random.below(self.limbo.len()))]
        } else {
            let part = if self.full { 0 } else { random.below(self.under_way.len() + 1) };
            self.under_way.drain(..part).map(|(_, records)| records).collect()
        };
        found.into_iter().flatten().for_each(|record| self.kept.apply(record));
        self.limbo.clear();
        self.under_way.clear();
        self.busy_until = 0;
    }
}
