//! Injected faults, within the number that the fleet has to tolerate, and their repair.

use gradepaddle_controlplane::node::Input;

use super::invariants::Check;
use super::plan::Ending;
use super::server::Stage;
use super::world::{Event, World};
use super::{MS, Micros, SECOND};

/// A machine that is repaired still counts as lost for this long.
const CATCH_UP: Micros = 4 * SECOND;
/// Calls of operators that are pending have ended after this time, and so have the checks that follow from them.
const OPEN_CALLS_DURATION: Micros = 5 * SECOND;
/// The reads at the end of a run are done within this time.
const READ_DURATION: Micros = 1_500 * MS;
/// The number of kinds of faults.
const KINDS: usize = 12;

/// A step that ends a fault or the run.
#[derive(Clone, Debug)]
pub enum Repair {
    Links,
    Disk(usize),
    /// A process that was shutting down exits, and starts again after `back_in`.
    Ended {
        machine: usize,
        back_in: Micros,
    },
    /// All faults before the end of the run have been repaired.
    FaultsOver,
    /// The final fault begins.
    Final,
}

impl World {
    /// Injects the next fault, or starts the end of the run.
    pub fn fault(&mut self) {
        if self.plan.faults == 0 {
            let rest = if self.report.faults == 0 { self.plan.fault_free_for } else { 9 * SECOND };
            return self.schedule_in(rest, Event::Repair(Repair::FaultsOver));
        }
        let kind = self.random.below(KINDS);
        let ends_in = self.inject(kind);
        self.trace(|| format!("fault {kind}: {ends_in:?}"));
        let Some(ends_in) = ends_in else { return self.schedule_in(300 * MS, Event::Fault) };
        self.plan.faults -= 1;
        self.report.faults += 1;
        let next = self.random.between(300 * MS, 6 * SECOND);
        let next = if self.plan.faults == 0 { ends_in + CATCH_UP } else { next };
        self.schedule_in(next, Event::Fault);
    }

    /// Injects a fault and returns how long it lasts; `None` if it would exceed the tolerated number of losses now.
    fn inject(&mut self, kind: usize) -> Option<Micros> {
        let down = self.random.between(200 * MS, 3 * SECOND);
        match kind {
            0 => self.kill_one(down),
            1 => self.kill_primary(down),
            2 => self.lose_disks(down),
            3 => self.replace_one(down),
            4 => self.partition_primary(down),
            5 => self.partition_some(down),
            6 => self.freeze_one(down),
            7 => self.fail_disk(down),
            8 => self.restart_gracefully(),
            9 => self.change_seeds(),
            10 => self.break_connections(),
            _ => self.lose_messages(down),
        }
    }

    /// The number of core machines that may still be lost at once.
    fn may_lose(&self) -> usize {
        let from = self.now.saturating_sub(CATCH_UP);
        let lost = self
            .machines
            .iter()
            .filter(|one| one.core && !one.removed && !one.without_faults(from, self.now));
        self.plan.losses.saturating_sub(lost.count())
    }

    fn pick_running(&mut self) -> Option<usize> {
        let up = self.up();
        let core_too = self.may_lose() > 0;
        let fit: Vec<usize> =
            up.into_iter().filter(|number| core_too || !self.machines[*number].core).collect();
        self.random.choose(&fit)
    }

    fn leader(&self) -> Option<usize> {
        let leads = |one: &&super::machine::Machine| {
            one.process.as_ref().is_some_and(|it| it.observed.leading.is_some())
        };
        self.machines.iter().find(leads).map(|one| one.number)
    }

    /// Kills a process or cuts the power of its machine, and starts it again later.
    fn lose(&mut self, number: usize, down: Micros) {
        let silently = self.random.percent(50);
        self.stop(number, silently);
        let now = self.now;
        self.machines[number].record_fault(now, now + down);
        self.schedule_in(down, Event::Start(number));
    }

    fn kill_one(&mut self, down: Micros) -> Option<Micros> {
        let number = self.pick_running()?;
        self.lose(number, down);
        Some(down)
    }

    fn kill_primary(&mut self, down: Micros) -> Option<Micros> {
        let leader = self.leader().filter(|_| self.may_lose() > 0)?;
        self.lose(leader, down);
        Some(down)
    }

    fn lose_disks(&mut self, down: Micros) -> Option<Micros> {
        let most = self.may_lose();
        let cores: Vec<usize> = self.up().into_iter().filter(|number| self.machines[*number].core).collect();
        let count = 1 + self.random.below(most.max(1));
        let lost = self.random.several(&cores, count.min(most));
        for number in &lost {
            self.lose(*number, down);
            self.wipe(*number);
        }
        (!lost.is_empty()).then_some(down)
    }

    fn replace_one(&mut self, down: Micros) -> Option<Micros> {
        let number = self.pick_running()?;
        self.stop(number, true);
        let (now, zone, core) = (self.now, self.machines[number].zone, self.machines[number].core);
        let fresh = self.add_machine(zone, core);
        self.machines[number].removed = true;
        self.machines[number].record_fault(now, now + down);
        self.machines[fresh].record_fault(now, now + down);
        self.schedule_in(down, Event::Start(fresh));
        Some(down)
    }

    fn partition_primary(&mut self, down: Micros) -> Option<Micros> {
        let leader = self.leader().filter(|_| self.may_lose() > 0)?;
        self.partition(vec![leader], down);
        Some(down)
    }

    /// Partitions a zone, or a single machine.
    fn partition_some(&mut self, down: Micros) -> Option<Micros> {
        let zone = self.random.below(6);
        let mut isolated: Vec<usize> = self
            .machines
            .iter()
            .filter(|one| one.zone == zone && !one.removed)
            .map(|one| one.number)
            .collect();
        if isolated.is_empty() {
            isolated = vec![self.pick_running()?];
        }
        self.partition(isolated, down);
        Some(down)
    }

    fn partition(&mut self, isolated: Vec<usize>, down: Micros) {
        let now = self.now;
        let others: Vec<usize> =
            (0..self.machines.len()).filter(|number| !isolated.contains(number)).collect();
        let way = self.random.below(4);
        if way != 0 {
            self.network.cut(&isolated, &others);
        }
        if way != 1 {
            self.network.cut(&others, &isolated);
        }
        for number in isolated {
            self.machines[number].record_fault(now, now + down);
        }
        self.record.links.push((now, now + down));
        self.schedule_in(down, Event::Repair(Repair::Links));
    }

    fn freeze_one(&mut self, down: Micros) -> Option<Micros> {
        let number = self.pick_running()?;
        let now = self.now;
        self.machines[number].frozen_until = now + down;
        self.machines[number].record_fault(now, now + down);
        Some(down)
    }

    fn fail_disk(&mut self, down: Micros) -> Option<Micros> {
        let number = self.pick_running().filter(|number| self.machines[*number].core)?;
        let now = self.now;
        let full = self.random.percent(50);
        let machine = &mut self.machines[number];
        if full {
            machine.disk.full = true;
        } else {
            machine.disk.hangs_until = now + down;
        }
        machine.record_fault(now, now + down);
        self.schedule_in(down, Event::Repair(Repair::Disk(number)));
        Some(down)
    }

    /// Sends SIGTERM to a process, which exits and is started again.
    fn restart_gracefully(&mut self) -> Option<Micros> {
        let number = self.pick_running()?;
        let now = self.now;
        let (ends_in, back_in) = (2_700 * MS, 500 * MS);
        self.machines[number].record_fault(now, now + ends_in + back_in);
        self.step(number, Input::ShutDown);
        self.schedule_in(ends_in, Event::Repair(Repair::Ended { machine: number, back_in }));
        Some(ends_in + back_in)
    }

    fn change_seeds(&mut self) -> Option<Micros> {
        for number in self.up() {
            let seeds = self.some_addresses();
            self.step(number, Input::SeedsChanged(seeds));
        }
        Some(0)
    }

    fn break_connections(&mut self) -> Option<Micros> {
        let up = self.up();
        let now = self.now;
        for _ in 0..4 * up.len() {
            let (from, to) = (self.random.choose(&up)?, self.random.choose(&up)?);
            self.network.break_connection(now, from, to);
        }
        self.record.links.push((now, now + 200 * MS));
        Some(200 * MS)
    }

    fn lose_messages(&mut self, down: Micros) -> Option<Micros> {
        self.network.loss = self.random.between(5, 40);
        self.record.links.push((self.now, self.now + down));
        self.schedule_in(down, Event::Repair(Repair::Links));
        Some(down)
    }

    /// All machines with a disk lose power at once, and the server whose draining or leaving was just acknowledged
    /// crashes, so it can't repeat its call.
    pub fn lose_core_after_drain(&mut self, server: usize) {
        if !self.plan.core_loses_power_after_drain || self.report.faults > 0 {
            return;
        }
        self.report.faults += 1;
        self.servers[server].stage = Stage::Ended;
        self.servers[server].crashed = true;
        let cores: Vec<usize> = self.up().into_iter().filter(|number| self.machines[*number].core).collect();
        let now = self.now;
        for number in cores {
            let down = self.random.between(300 * MS, 3 * SECOND);
            self.stop(number, true);
            self.machines[number].record_fault(now, now + down);
            self.schedule_in(down, Event::Start(number));
        }
        for later in [2, 5, 9] {
            self.schedule_in(later * SECOND, Event::Check(Check::DrainKept { server }));
        }
    }

    /// With some probability, the node that acknowledged a call is lost right after it.
    pub fn lose_after_acknowledging(&mut self, number: usize) {
        let fit = !self.machines[number].core || self.may_lose() > 0;
        if self.plan.faults > 0 && fit && self.random.percent(20) {
            self.report.faults += 1;
            let down = self.random.between(SECOND, 3 * SECOND);
            self.lose(number, down);
        }
    }

    pub fn repair(&mut self, repair: Repair) {
        match repair {
            Repair::Links => self.network.heal(),
            Repair::Disk(number) => {
                self.machines[number].disk.full = false;
                self.machines[number].disk.hangs_until = 0;
            }
            Repair::Ended { machine, back_in } => {
                self.stop(machine, false);
                self.schedule_in(back_in, Event::Start(machine));
            }
            Repair::FaultsOver => self.finish_faults(),
            Repair::Final => self.final_fault(),
        }
    }

    /// All faults are over: starts the end of the run.
    fn finish_faults(&mut self) {
        match self.plan.ending {
            // Calls that are still pending end first.
            Ending::WithoutFaults => self.settle(OPEN_CALLS_DURATION + READ_DURATION),
            // The final fault follows the next acknowledgment.
            _ => self.record.awaits_final_fault = true,
        }
    }

    /// Called after a concluded task: schedules the final fault if it is awaited. Returns true if it does.
    pub fn start_awaited_final_fault(&mut self) -> bool {
        if !self.record.awaits_final_fault || self.record.final_fault {
            return false;
        }
        self.record.final_fault = true;
        let at = self.random.between(0, 20 * MS);
        self.schedule_in(at, Event::Repair(Repair::Final));
        true
    }

    fn final_fault(&mut self) {
        let up = self.up();
        up.iter().for_each(|number| self.stop(*number, true));
        if let Ending::PowerLoss { wiped } = self.plan.ending {
            let cores: Vec<usize> = up.iter().copied().filter(|number| self.machines[*number].core).collect();
            for number in self.random.several(&cores, wiped) {
                self.wipe(number);
            }
        }
        let back = self.random.between(SECOND, 2 * SECOND);
        for number in up {
            let at = back + self.random.between(0, 300 * MS);
            self.schedule_in(at, Event::Start(number));
        }
        self.settle(back + 300 * MS + 6 * SECOND);
    }

    /// After this time, reads the configuration through all nodes, checks the final state and ends the run.
    fn settle(&mut self, span: Micros) {
        self.record.final_fault = true;
        for machine in
            self.machines.iter().filter(|one| !one.removed).map(|one| one.number).collect::<Vec<_>>()
        {
            self.schedule_in(span - READ_DURATION, Event::Read { machine });
        }
        self.schedule_in(span, Event::Check(Check::Settled));
        self.schedule_in(span + MS, Event::End);
    }
}
