//! A disk with the guarantees of the store: writes are ordered, and each is durable either completely or not at all.

use std::collections::VecDeque;

use gradepaddle_control::{Record, RecoveredState, ReplicaId, WriteId};

use super::Micros;
use super::random::Random;

/// The disk of a core machine.
#[derive(Debug)]
pub struct Disk {
    durable: RecoveredState,
    pending_writes: VecDeque<(WriteId, Vec<Record>)>,
    /// Every write fails.
    pub full: bool,
    /// No write completes before this time.
    pub hangs_until: Micros,
    /// When the last pending write completes.
    busy_until: Micros,
}

impl Disk {
    pub fn empty(id: u64) -> Disk {
        let durable = RecoveredState::empty(ReplicaId(id));
        Disk { durable, pending_writes: VecDeque::new(), full: false, hangs_until: 0, busy_until: 0 }
    }

    /// The state that a replica recovers if it starts now.
    pub fn recovered(&self) -> RecoveredState {
        self.durable.clone()
    }

    /// Begins a write and returns the time at which it completes.
    pub fn begin(
        &mut self,
        now: Micros,
        duration: Micros,
        write_id: WriteId,
        records: Vec<Record>,
    ) -> Micros {
        self.pending_writes.push_back((write_id, records));
        self.busy_until = self.busy_until.max(now).max(self.hangs_until) + duration;
        self.busy_until
    }

    /// Completes the oldest write. Returns its id and whether it is durable.
    pub fn finish(&mut self) -> Option<(WriteId, bool)> {
        let (write_id, records) = self.pending_writes.pop_front()?;
        if !self.full {
            self.keep(records);
        }
        Some((write_id, !self.full))
    }

    /// The process ends or the machine loses power: a random prefix of the pending writes becomes durable.
    pub fn crash(&mut self, random: &mut Random) {
        let found = if self.full { 0 } else { random.below(self.pending_writes.len() + 1) };
        let writes: Vec<Vec<Record>> =
            self.pending_writes.drain(..).take(found).map(|(_, records)| records).collect();
        writes.into_iter().for_each(|records| self.keep(records));
        self.busy_until = 0;
    }

    fn keep(&mut self, records: Vec<Record>) {
        records.into_iter().for_each(|record| self.durable.apply(record));
    }
}
