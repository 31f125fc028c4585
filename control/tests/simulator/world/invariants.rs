//! The invariants that are checked after every event, and how many more disks may be lost.

use gradepaddle_control::{Member, Replica};

use super::{World, machine::Machine};

use crate::simulator::checker::Violation;

impl World {
    pub(super) fn leading(&self, index: usize) -> Option<u64> {
        let machine = &self.machines[index];
        machine.replica.as_ref()?.leading(machine.local(self.now))
    }

    pub(super) fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).find(|index| self.leading(*index).is_some())
    }

    /// How many more machines may lose their disks for good now. A machine that hasn't caught up with the primary's
    /// view, or doesn't know that this view is active, still counts as lost.
    pub(super) fn spare_losses(&self) -> usize {
        let Some(known) =
            self.leader().and_then(|leader| self.machines[leader].replica.as_ref()?.status().view)
        else {
            return 0;
        };
        let caught_up = |member: &&Member| {
            let machine =
                self.machines.iter().find(|machine| !machine.removed && machine.disk.stored.id == member.id);
            machine.is_some_and(|machine| machine.disk.stored.view.as_ref() == Some(&known))
        };
        let lost = known.view.members.len() - known.view.members.iter().filter(caught_up).count();
        let copies = known.view.backups.len();
        if known.active { self.plan.machine_losses.min(copies).saturating_sub(lost) } else { 0 }
    }

    pub(super) fn check(&mut self, index: usize) {
        let machine = &self.machines[index];
        let reading = machine.replica.as_ref().and_then(|replica| replica.read(machine.local(self.now)));
        if let Some(reading) = reading {
            self.checker.read(reading.state);
        }
        let Some(epoch) = self.leading(index) else { return };
        for other in (0..self.machines.len()).filter(|other| *other != index) {
            if self.leading(other).is_some() {
                let (one, two) = (self.machines[index].disk.stored.id, self.machines[other].disk.stored.id);
                self.checker.report(Violation::TwoLeaders(one, two));
            }
        }
        self.checker.leads(epoch, self.machines[index].disk.stored.id);
    }

    pub(super) fn describe(&self) -> String {
        let describe = |machine: &Machine| {
            let status = machine.replica.as_ref().map(Replica::status);
            format!("{} {status:?}", machine.address)
        };
        self.machines.iter().map(describe).collect::<Vec<_>>().join("\n")
    }
}
