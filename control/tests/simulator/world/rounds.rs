//! Successive losses, each as soon as the one before no longer counts as a loss.
//!
//! What counts as a loss follows from times alone: a machine is lost while it is down or partitioned, and for
//! [`Rounds::catch_up`] after it has come back or a new one has started; a removed machine stops counting once its
//! successor has been up for that long. What the replicas know of each other doesn't matter.

use std::sync::Arc;

use gradepaddle_control::{Body, Input, Message};

use super::{Event, MILLISECOND, World};
use crate::simulator::{disk::Disk, faults::Rounds};

/// A machine in graceful shutdown is killed after this time.
const GRACE_PERIOD: u64 = 7_400 * MILLISECOND;
/// Interval at which the simulation checks whether the next round can begin.
const POLL_INTERVAL: u64 = 5 * MILLISECOND;
/// A process starts at least this long after its machine went down.
const MIN_DOWNTIME: u64 = 20 * MILLISECOND;
/// A process starts at most this long after its machine went down.
const MAX_DOWNTIME: u64 = 2_000 * MILLISECOND;
/// A change of members is complete within this time if disks and links work.
const VIEW_CHANGE_SPAN: u64 = 60 * MILLISECOND;
/// After a power loss of all machines, each starts again within this time.
const MAX_POWER_OUTAGE: u64 = 600 * MILLISECOND;

/// How machines are lost in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The process is killed and comes back with its disk.
    Kill,
    /// The machine comes back at its address with an empty disk.
    Wipe,
    /// The machine is gone for good, and a new one with an empty disk starts at another address.
    Replace,
    /// The successor starts first; then the old machine is shut down gracefully and removed.
    PlannedReplacement,
    /// The old machine is shut down gracefully and removed; then the successor starts.
    GracefulReplacement,
    /// The machine is shut down gracefully and comes back with its disk.
    GracefulRestart,
    /// The machine is partitioned from all others temporarily, in one direction or both.
    Partition,
    /// All machines lose power at once and come back with their disks, but for those that are wiped.
    PowerLossAndWipe,
}

const LOSSES: &[Loss] = &[
    Loss::Kill,
    Loss::Wipe,
    Loss::Wipe,
    Loss::Replace,
    Loss::Replace,
    Loss::PlannedReplacement,
    Loss::PlannedReplacement,
    Loss::GracefulReplacement,
    Loss::GracefulRestart,
    Loss::Partition,
    Loss::PowerLossAndWipe,
];

/// The progress of the rounds of a run.
#[derive(Debug, Default)]
pub struct RoundState {
    left: usize,
    /// The time from which all machines count as present, as far as losses are scheduled yet.
    all_present_at: u64,
    /// Machines that are shut down gracefully and haven't exited yet, or are about to be.
    departing: usize,
    /// The next change of members triggers a power loss of all machines.
    power_loss_armed: bool,
}

/// What happens to a machine after its graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It comes back with its disk.
    Restart,
    /// It is removed; its successor is running already.
    Removal,
    /// It is removed, and its successor starts.
    RemovalBeforeSuccessor,
}

impl World {
    pub(super) fn begin_rounds(&mut self, rounds: Rounds) {
        self.rounds.left = rounds.count;
        if rounds.unreliable_links {
            self.network.loss = [0, 10, 20][self.random.below(3)];
            self.network.long_delay = [0, 10][self.random.below(2)];
        }
        self.schedule(2_000 * MILLISECOND, Event::Round);
    }

    /// The next loss, as soon as the machines lost before no longer count.
    pub(super) fn round(&mut self) {
        let Some(rounds) = self.plan.rounds else { return };
        if self.rounds.departing > 0 || self.now < self.rounds.all_present_at {
            return self.schedule(POLL_INTERVAL, Event::Round);
        }
        if self.rounds.left == 0 {
            return self.schedule(1, Event::Heal);
        }
        self.rounds.left -= 1;
        self.rounds.power_loss_armed = rounds.power_losses_at_changes;
        let kinds: &[Loss] = if rounds.only.is_empty() { LOSSES } else { rounds.only };
        let loss = kinds[self.random.below(kinds.len())];
        let victims = self.victims();
        if self.trace {
            let addresses: Vec<_> = victims.iter().map(|victim| self.machines[*victim].address).collect();
            eprintln!("{:>10} round: {loss:?} {addresses:?}", self.now);
        }
        if loss == Loss::PowerLossAndWipe {
            self.lose_power(&victims);
        } else {
            victims.into_iter().for_each(|victim| self.inject_loss(victim, loss));
            if rounds.power_losses && self.random.permille(400) {
                let after = self.random.between(0, rounds.catch_up);
                self.schedule(after, Event::PowerLoss);
            }
        }
        if rounds.disk_faults && self.random.permille(400) {
            self.inject_disk_fault();
        }
        self.schedule(POLL_INTERVAL, Event::Round);
    }

    /// As many machines as may be lost, or one; often the primary is among them.
    fn victims(&mut self) -> Vec<usize> {
        let mut present: Vec<usize> =
            (0..self.machines.len()).filter(|index| !self.machines[*index].removed).collect();
        let count = if self.random.permille(700) { self.plan.machine_losses } else { 1 };
        let mut victims: Vec<usize> =
            self.leader().filter(|_| self.random.permille(500)).into_iter().collect();
        present.retain(|index| !victims.contains(index));
        while victims.len() < count && !present.is_empty() {
            victims.push(present.swap_remove(self.random.below(present.len())));
        }
        victims
    }

    fn inject_loss(&mut self, victim: usize, loss: Loss) {
        match loss {
            Loss::Kill => {
                self.crash(victim);
                self.start_later(victim, MAX_DOWNTIME);
            }
            Loss::Wipe => self.lose_disk(victim),
            Loss::Replace => {
                self.remove(victim);
                self.start_successor(victim);
            }
            Loss::PlannedReplacement => {
                self.start_successor(victim);
                let after = self.random.between(300 * MILLISECOND, 6_000 * MILLISECOND);
                self.shut_down_later(victim, after, Departure::Removal);
            }
            Loss::GracefulReplacement => self.shut_down_later(victim, 1, Departure::RemovalBeforeSuccessor),
            Loss::GracefulRestart => self.shut_down_later(victim, 1, Departure::Restart),
            Loss::Partition => self.partition_temporarily(victim),
            Loss::PowerLossAndWipe => {}
        }
    }

    fn lose_disk(&mut self, victim: usize) {
        self.crash(victim);
        let id = self.next_replica_id();
        self.machines[victim].disk = Disk::empty(id);
        self.start_later(victim, MAX_DOWNTIME);
    }

    fn remove(&mut self, victim: usize) {
        self.crash(victim);
        self.machines[victim].removed = true;
    }

    fn start_successor(&mut self, victim: usize) {
        let zone = Arc::clone(&self.machines[victim].zone);
        let added = self.add_machine(victim, false);
        self.machines[added].zone = zone;
        self.start_later(added, MAX_DOWNTIME);
    }

    fn start_later(&mut self, index: usize, longest: u64) {
        let pause = self.random.between(MIN_DOWNTIME, longest);
        self.schedule(pause, Event::Start { machine: index });
        self.count_as_lost_for(pause);
    }

    /// The present loss lasts for this span, and counts as a loss until `catch_up` has passed after that.
    fn count_as_lost_for(&mut self, span: u64) {
        let catch_up = self.plan.rounds.map_or(0, |rounds| rounds.catch_up);
        self.rounds.all_present_at = self.rounds.all_present_at.max(self.now + span + catch_up);
    }

    fn partition_temporarily(&mut self, victim: usize) {
        let (inward, outward) = [(true, true), (true, false), (false, true)][self.random.below(3)];
        self.partition(victim, inward, outward);
        let span = self.random.between(500 * MILLISECOND, 5_000 * MILLISECOND);
        self.schedule(span, Event::HealNetwork);
        self.count_as_lost_for(span);
    }

    fn shut_down_later(&mut self, victim: usize, after: u64, departure: Departure) {
        self.rounds.departing += 1;
        self.machines[victim].departure = Some(departure);
        self.schedule(after, Event::Terminate { machine: victim });
    }

    /// The machine receives SIGTERM.
    pub(super) fn terminate(&mut self, index: usize) {
        self.machines[index].shutting_down = true;
        let incarnation = self.machines[index].incarnation;
        self.schedule(GRACE_PERIOD, Event::GracePeriodEnd { machine: index, incarnation });
        if self.machines[index].replica.is_none() {
            return self.handle_exit(index);
        }
        self.input(index, Input::ShutDown);
    }

    /// The machine receives SIGKILL, if the process is still running.
    pub(super) fn end_grace_period(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].incarnation == incarnation {
            self.handle_exit(index);
        }
    }

    /// The machine has exited, or was killed at the end of its grace period.
    pub(super) fn handle_exit(&mut self, index: usize) {
        let Some(departure) = self.machines[index].departure.take() else { return };
        self.rounds.departing -= 1;
        if self.trace {
            eprintln!("{:>10} {} has exited", self.now, self.machines[index].address);
        }
        match departure {
            Departure::Restart => {
                self.crash(index);
                self.start_later(index, MAX_DOWNTIME);
            }
            Departure::Removal => self.remove(index),
            Departure::RemovalBeforeSuccessor => {
                self.remove(index);
                self.start_successor(index);
            }
        }
    }

    /// Schedules a power loss of all machines around the announcement of new members, if one is due.
    pub(super) fn maybe_lose_power_at_view_change(&mut self, message: &Message) {
        let announced = match &message.body {
            Body::Accept { view } => !view.active && !view.view.previous_members.is_empty(),
            _ => false,
        };
        if announced && std::mem::take(&mut self.rounds.power_loss_armed) {
            let after = self.random.between(0, VIEW_CHANGE_SPAN);
            self.schedule(after, Event::PowerLoss);
        }
    }

    /// All machines lose power at once; some of them lose their disks as well.
    pub(super) fn lose_power(&mut self, wiped: &[usize]) {
        if self.healed.is_some() {
            return;
        }
        for index in self.running() {
            if self.machines[index].departure.is_some() && self.machines[index].shutting_down {
                self.handle_exit(index);
            } else if wiped.contains(&index) {
                self.lose_disk(index);
            } else {
                self.crash(index);
                self.start_later(index, MAX_POWER_OUTAGE);
            }
        }
    }

    fn inject_disk_fault(&mut self) {
        let victim = self.random_machine();
        let span = self.random.between(200 * MILLISECOND, 2_500 * MILLISECOND);
        if self.random.permille(500) {
            self.machines[victim].disk.full = true;
            self.schedule(span, Event::DiskRecovers { machine: victim });
        } else {
            self.machines[victim].disk.hangs_until = self.now + span;
        }
        self.count_as_lost_for(span);
    }
}
