//! A disk as the store presents it: writes in order, each complete or absent.

use std::collections::VecDeque;

use gradepaddle_control::{Record, RecoveredState, ReplicaId, WriteId};

use super::Micros;
use super::random::Random;

/// The disk of a core machine.
#[derive(Debug)]
pub struct Disk {
    kept: RecoveredState,
    under_way: VecDeque<(WriteId, Vec<Record>)>,
    /// It refuses every write.
    pub full: bool,
    /// No write ends before.
    pub hangs_until: Micros,
    /// When the last write asked for ends.
    busy_until: Micros,
}

impl Disk {
    pub fn empty(id: u64) -> Disk {
        let kept = RecoveredState::empty(ReplicaId(id));
        Disk { kept, under_way: VecDeque::new(), full: false, hangs_until: 0, busy_until: 0 }
    }

    /// What a replica that starts now finds.
    pub fn recovered(&self) -> RecoveredState {
        self.kept.clone()
    }

    /// Begins a write; gives the time at which it ends.
    pub fn begin(&mut self, now: Micros, takes: Micros, write_id: WriteId, records: Vec<Record>) -> Micros {
        self.under_way.push_back((write_id, records));
        self.busy_until = self.busy_until.max(now).max(self.hangs_until) + takes;
        self.busy_until
    }

    /// Ends the oldest write; says whether it is durable.
    pub fn finish(&mut self) -> Option<(WriteId, bool)> {
        let (write_id, records) = self.under_way.pop_front()?;
        if !self.full {
            self.keep(records);
        }
        Some((write_id, !self.full))
    }

    /// The process or the power is gone: of what is under way, some first part is found later.
    pub fn crash(&mut self, random: &mut Random) {
        let found = if self.full { 0 } else { random.below(self.under_way.len() + 1) };
        let writes: Vec<Vec<Record>> =
            self.under_way.drain(..).take(found).map(|(_, records)| records).collect();
        writes.into_iter().for_each(|records| self.keep(records));
        self.busy_until = 0;
    }

    fn keep(&mut self, records: Vec<Record>) {
        records.into_iter().for_each(|record| self.kept.apply(record));
    }
}
