//! The effects of the injected faults.

use std::{collections::BTreeMap, net::SocketAddrV4};

use gradepaddle_control::Input;

use super::{Event, World, machine::WriteCrash};

use crate::simulator::{
    MILLISECOND,
    faults::{FAULTS, Fault},
};

impl World {
    pub(super) fn inject_fault(&mut self) {
        let kinds: &[Fault] = if self.plan.only.is_empty() { FAULTS } else { &self.plan.only };
        let fault = kinds[self.random.below(kinds.len())];
        let victim = self.random_machine();
        if self.trace {
            eprintln!("{:>10} {fault:?} {}", self.now, self.machines[victim].address);
        }
        match fault {
            Fault::Crash => self.crash_and_restart(victim),
            Fault::CrashLeader => {
                if let Some(leader) = self.leader() {
                    self.crash_and_restart(leader);
                }
            }
            Fault::CrashAll => self.running().into_iter().for_each(|index| self.crash_and_restart(index)),
            Fault::WipeLeader => {
                if let Some(leader) = self.leader().filter(|_| self.spare_losses() > 0) {
                    self.wipe(leader);
                }
            }
            Fault::WipeAny => {
                if self.spare_losses() > 0 {
                    self.wipe(victim);
                }
            }
            Fault::Replace => {
                if self.spare_losses() > 0 && self.machines.len() < 3 * self.plan.replicas {
                    self.replace(victim);
                }
            }
            Fault::Partition => self.partition(victim, true, true),
            Fault::CrashInWrite => self.machines[victim].write_crash = Some(WriteCrash::Crash),
            Fault::WipeInWrite => {
                if let Some(leader) = self.leader() {
                    self.machines[leader].write_crash = Some(WriteCrash::Wipe);
                }
            }
            Fault::Add => {
                if self.machines.len() < 3 * self.plan.replicas {
                    let machine = self.add_machine(victim, false);
                    self.schedule(1, Event::Start { machine });
                }
            }
            Fault::CutLink => {
                let other = self.random_machine();
                let (one, two) = (self.machines[victim].address, self.machines[other].address);
                self.network.cut(one, two);
                self.network.cut(two, one);
            }
            Fault::OneWayPartition => {
                let inward = self.random.permille(500);
                self.partition(victim, inward, !inward);
            }
            Fault::Split => self.split(),
            Fault::SplitAtChange => self.split_armed = true,
            Fault::HealNetwork => self.network.heal(),
            Fault::Suspend => self.suspend(victim),
            Fault::SuspendLeader => {
                if let Some(leader) = self.leader() {
                    self.suspend(leader);
                }
            }
            Fault::DiskFull => self.machines[victim].disk.full = true,
            Fault::DiskHangs => {
                let until = self.now + self.random.between(100, 4_000) * MILLISECOND;
                self.machines[victim].disk.hangs_until = until;
            }
            Fault::DiskRecovers => self.machines.iter_mut().for_each(|machine| machine.disk.full = false),
            Fault::ShutDown => {
                self.machines[victim].shutting_down = true;
                self.input(victim, Input::ShutDown);
            }
            Fault::NetworkConditions => {
                let severity = self.random.between(0, 4);
                self.network.loss = severity * self.random.between(0, 70);
                self.network.long_delay = severity * self.random.between(0, 30);
                self.network.duplication = severity * self.random.between(0, 50);
            }
            Fault::WipesAndPowerLoss => self.inject_wipes_and_power_loss(victim),
        }
    }

    /// As many machines as allowed lose their disks while all others lose power.
    pub(super) fn inject_wipes_and_power_loss(&mut self, victim: usize) {
        let spare = self.spare_losses();
        let leader = self.leader();
        let mut lost: Vec<usize> = leader.into_iter().chain([victim]).collect();
        lost.dedup();
        lost.truncate(spare);
        for index in self.running() {
            if lost.contains(&index) {
                self.wipe(index);
            } else {
                self.crash_and_restart(index);
            }
        }
    }

    pub(super) fn suspend(&mut self, index: usize) {
        if self.suspended(index) || self.machines[index].replica.is_none() {
            return;
        }
        let pause = self.random.between(100, 5_000) * MILLISECOND;
        self.machines[index].suspended = Some(self.now + pause);
        self.schedule(pause, Event::Resume { machine: index });
    }

    pub(super) fn partition(&mut self, index: usize, inward: bool, outward: bool) {
        let own = self.machines[index].address;
        for other in self.machines.iter().map(|machine| machine.address).filter(|address| *address != own) {
            if inward {
                self.network.cut(other, own);
            }
            if outward {
                self.network.cut(own, other);
            }
        }
    }

    pub(super) fn split(&mut self) {
        let sides: BTreeMap<SocketAddrV4, bool> =
            self.machines.iter().map(|machine| (machine.address, self.random.permille(500))).collect();
        for (from, side) in &sides {
            for (to, _) in sides.iter().filter(|(_, other)| *other != side) {
                self.network.cut(*from, *to);
            }
        }
    }
}
