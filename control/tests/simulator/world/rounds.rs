//! Successive losses, each as soon as the one before no longer counts.
//!
//! What counts is judged from outside, by times alone: a machine is lost while it is down or cut off and for
//! [`Rounds::catch_up`] after it is back or a new one has started; one that was removed stops counting once its
//! successor has had that time. What the replicas know of each other plays no part.

use std::sync::Arc;

use gradepaddle_control::{Body, Input, Message};

use super::{Event, MILLISECOND, World};
use crate::simulator::{disk::Disk, faults::Rounds};

/// A machine in graceful shutdown is killed after this time.
const GRACE: u64 = 7_400 * MILLISECOND;
/// How often a round that isn't over is looked at again.
const POLL_INTERVAL: u64 = 5 * MILLISECOND;
/// A process starts at least this long after its machine went down.
const SHORTEST_PAUSE: u64 = 20 * MILLISECOND;
/// And at most this long.
const LONGEST_PAUSE: u64 = 2_000 * MILLISECOND;
/// A change of members is over within this, on good disks and links.
const AROUND_CHANGE: u64 = 60 * MILLISECOND;
/// A whole core that lost power is back within this.
const POWER_PAUSE: u64 = 600 * MILLISECOND;

/// How machines are lost in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The process is killed and comes back with its disk.
    Kill,
    /// The machine comes back at its address with an empty disk.
    Wipe,
    /// The machine is gone, and an empty one comes at another address.
    Replace,
    /// The successor starts first; then the old machine is told to end, and is removed.
    PlannedReplacement,
    /// The old machine is told to end and is removed; then the successor starts.
    OrderlyReplacement,
    /// The machine is told to end and comes back with its disk.
    OrderlyRestart,
    /// The machine is cut off from all others for a while.
    Cut,
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
    Loss::OrderlyReplacement,
    Loss::OrderlyRestart,
    Loss::Cut,
    Loss::PowerLossAndWipe,
];

/// How the rounds of a course stand.
#[derive(Debug, Default)]
pub struct RoundState {
    left: usize,
    /// From when on all machines count as present, as far as known.
    whole_at: u64,
    /// Machines that were told to end and haven't yet.
    departing: usize,
    /// The next change of members takes the power of the whole core.
    armed: bool,
}

/// What becomes of a machine once it has ended in good order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It comes back with its disk.
    Restart,
    /// It is removed; its successor runs already.
    Removal,
    /// It is removed, and its successor starts.
    RemovalBeforeSuccessor,
}

impl World {
    pub(super) fn begin_rounds(&mut self, rounds: Rounds) {
        self.rounds.left = rounds.count;
        if rounds.weather {
            self.network.loss = [0, 10, 20][self.random.below(3)];
            self.network.late = [0, 10][self.random.below(2)];
        }
        self.schedule(2_000 * MILLISECOND, Event::Round);
    }

    /// The next loss, as soon as the machines lost before no longer count.
    pub(super) fn round(&mut self) {
        let Some(rounds) = self.plan.rounds else { return };
        if self.rounds.departing > 0 || self.now < self.rounds.whole_at {
            return self.schedule(POLL_INTERVAL, Event::Round);
        }
        if self.rounds.left == 0 {
            return self.schedule(1, Event::Heal);
        }
        self.rounds.left -= 1;
        self.rounds.armed = rounds.power_losses_at_changes;
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
            victims.into_iter().for_each(|victim| self.lose(victim, loss));
            if rounds.power_losses && self.random.permille(400) {
                let after = self.random.between(0, rounds.catch_up);
                self.schedule(after, Event::PowerLoss);
            }
        }
        if rounds.disk_trouble && self.random.permille(400) {
            self.spoil_a_disk();
        }
        self.schedule(POLL_INTERVAL, Event::Round);
    }

    /// As many machines as may be lost, or fewer; often the leader is among them.
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

    fn lose(&mut self, victim: usize, loss: Loss) {
        match loss {
            Loss::Kill => {
                self.crash(victim);
                self.start_later(victim, LONGEST_PAUSE);
            }
            Loss::Wipe => self.lose_disk(victim),
            Loss::Replace => {
                self.remove(victim);
                self.start_successor(victim);
            }
            Loss::PlannedReplacement => {
                self.start_successor(victim);
                let after = self.random.between(300 * MILLISECOND, 6_000 * MILLISECOND);
                self.depart(victim, after, Departure::Removal);
            }
            Loss::OrderlyReplacement => self.depart(victim, 1, Departure::RemovalBeforeSuccessor),
            Loss::OrderlyRestart => self.depart(victim, 1, Departure::Restart),
            Loss::Cut => self.cut_for_a_while(victim),
            Loss::PowerLossAndWipe => {}
        }
    }

    fn lose_disk(&mut self, victim: usize) {
        self.crash(victim);
        let id = self.fresh_id();
        self.machines[victim].disk = Disk::empty(id);
        self.start_later(victim, LONGEST_PAUSE);
    }

    fn remove(&mut self, victim: usize) {
        self.crash(victim);
        self.machines[victim].removed = true;
    }

    fn start_successor(&mut self, victim: usize) {
        let zone = Arc::clone(&self.machines[victim].zone);
        let added = self.add_machine(victim, false);
        self.machines[added].zone = zone;
        self.start_later(added, LONGEST_PAUSE);
    }

    fn start_later(&mut self, index: usize, longest: u64) {
        let pause = self.random.between(SHORTEST_PAUSE, longest);
        self.schedule(pause, Event::Start { machine: index });
        self.counts_again_after(pause);
    }

    /// What happens now counts as a loss until it is over and `catch_up` has passed since.
    fn counts_again_after(&mut self, span: u64) {
        let catch_up = self.plan.rounds.map_or(0, |rounds| rounds.catch_up);
        self.rounds.whole_at = self.rounds.whole_at.max(self.now + span + catch_up);
    }

    fn cut_for_a_while(&mut self, victim: usize) {
        let (inward, outward) = [(true, true), (true, false), (false, true)][self.random.below(3)];
        self.partition(victim, inward, outward);
        let span = self.random.between(500 * MILLISECOND, 5_000 * MILLISECOND);
        self.schedule(span, Event::Join);
        self.counts_again_after(span);
    }

    fn depart(&mut self, victim: usize, after: u64, departure: Departure) {
        self.rounds.departing += 1;
        self.machines[victim].departure = Some(departure);
        self.schedule(after, Event::Terminate { machine: victim });
    }

    /// SIGTERM.
    pub(super) fn terminate(&mut self, index: usize) {
        self.machines[index].shutting_down = true;
        let incarnation = self.machines[index].incarnation;
        self.schedule(GRACE, Event::GraceOver { machine: index, incarnation });
        if self.machines[index].replica.is_none() {
            return self.departed(index);
        }
        self.input(index, Input::ShutDown);
    }

    /// SIGKILL, if the process still runs.
    pub(super) fn grace_over(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].incarnation == incarnation {
            self.departed(index);
        }
    }

    /// The machine has ended in good order, or was killed at the end of its grace.
    pub(super) fn departed(&mut self, index: usize) {
        let Some(departure) = self.machines[index].departure.take() else { return };
        self.rounds.departing -= 1;
        if self.trace {
            eprintln!("{:>10} {} has ended", self.now, self.machines[index].address);
        }
        match departure {
            Departure::Restart => {
                self.crash(index);
                self.start_later(index, LONGEST_PAUSE);
            }
            Departure::Removal => self.remove(index),
            Departure::RemovalBeforeSuccessor => {
                self.remove(index);
                self.start_successor(index);
            }
        }
    }

    /// Takes the power of the whole core around the announcement of new members, if that is due.
    pub(super) fn notice_change(&mut self, message: &Message) {
        let announced = match &message.body {
            Body::Accept { view } => !view.active && !view.view.previous_members.is_empty(),
            _ => false,
        };
        if announced && std::mem::take(&mut self.rounds.armed) {
            let after = self.random.between(0, AROUND_CHANGE);
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
                self.departed(index);
            } else if wiped.contains(&index) {
                self.lose_disk(index);
            } else {
                self.crash(index);
                self.start_later(index, POWER_PAUSE);
            }
        }
    }

    fn spoil_a_disk(&mut self) {
        let victim = self.some_machine();
        let span = self.random.between(200 * MILLISECOND, 2_500 * MILLISECOND);
        if self.random.permille(500) {
            self.machines[victim].disk.full = true;
            self.schedule(span, Event::DiskRecovers { machine: victim });
        } else {
            self.machines[victim].disk.hangs_until = self.now + span;
        }
        self.counts_again_after(span);
    }
}
