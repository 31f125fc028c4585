//! The end of a run: all faults end, and a change has to be acknowledged in time.

use std::sync::Arc;

use gradepaddle_control::Change;

use super::{Event, World};

use crate::simulator::{MILLISECOND, SECOND};

/// After everything has healed, a change is acknowledged within this span.
pub(super) const RECOVERY_LIMIT: u64 = 4 * SECOND;

impl World {
    /// Ends all faults and measures the time until a change is acknowledged.
    pub(super) fn heal(&mut self) {
        self.healed = Some(self.now);
        self.network.heal();
        self.network.reset_conditions();
        for index in 0..self.machines.len() {
            let now = self.now;
            if self.machines[index].shutting_down {
                self.crash(index);
            }
            let machine = &mut self.machines[index];
            machine.disk.full = false;
            machine.disk.hangs_until = now;
            machine.disk.busy_until = now;
            machine.suspended = machine.suspended.map(|_| now);
            let incarnation = machine.incarnation;
            for _ in 0..machine.disk.waiting() {
                self.schedule(MILLISECOND, Event::DiskDone { machine: index, incarnation });
            }
            self.resume(index);
            self.start(index);
        }
        self.schedule(1, Event::Probe);
    }

    /// Proposes a change on top of the current version to all running machines.
    pub(super) fn probe(&mut self) {
        if self.trace {
            eprintln!("{:>10} probe: {}", self.now, self.describe());
        }
        let current = self.checker.latest().current_version();
        let stale = match &self.probe {
            Some(Change::PutConfiguration { if_match, .. }) => *if_match != current,
            _ => true,
        };
        if stale {
            self.probe = Some(Change::PutConfiguration {
                if_match: current,
                version: current + 1,
                body: Arc::from([].as_slice()),
                fingerprint: (1 << 100) + u128::from(current),
            });
        }
        let change = self.probe.clone();
        for index in self.running() {
            if let Some(change) = change.clone().filter(|_| self.recovered.is_none()) {
                self.propose(index, change, 1);
            }
        }
        self.schedule(100 * MILLISECOND, Event::Probe);
    }
}
