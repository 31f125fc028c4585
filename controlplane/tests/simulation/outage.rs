//! Machines without contact for a while, and callers that read the configuration at every node meanwhile.

use std::collections::{BTreeMap, HashMap};

use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::node::Output;
use gradepaddle_proto::ControlCall;

use super::callers::{Caller, Outcome};
use super::operator::version_of;
use super::world::{Event, World};
use super::{MS, Micros, SECOND};

/// Somebody reads at each node this often.
const PROBE_EVERY: Micros = 100 * MS;
/// Readers go on for so long after the end.
const PROBE_FOR: Micros = 5 * SECOND;
/// A lease that was renewed at the last moment has run out after this.
const LEASE: Micros = 1_500 * MS;

/// Who loses contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Victim {
    /// The machine of the primary.
    Primary,
    /// The zone of the primary.
    ZoneOfPrimary,
    /// Another machine with a disk.
    OtherCore,
    /// A machine without a disk.
    WithoutDisk,
    /// All machines.
    All,
    /// Half of the machines with a disk, rounded down; with the primary among them.
    HalfWithPrimary,
    /// The same, without the primary.
    HalfWithoutPrimary,
}

/// How it loses contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Nothing gets through.
    Partition,
    /// Nothing gets through to and from machines with a disk.
    PartitionFromCore,
    /// It hears nobody.
    Deaf,
    /// Nobody hears it.
    Mute,
    /// It is partitioned, and frozen from one quarter of the time to three.
    PartitionAndFrozen,
    /// The processes stand still.
    Frozen,
    /// It is partitioned and connected again, in turns.
    Flapping,
    /// The processes stand still again and again, between deciding something and answering or ordering.
    Stalling,
    /// Their share of a core is a quota: they run for a tenth of each tenth of a second, each in a phase of its own. No
    /// fault: all rules hold meanwhile.
    Throttled,
}

/// How long a throttled process may run, and in which period.
const QUOTA: Micros = 10 * MS;
const QUOTA_PERIOD: Micros = 100 * MS;

/// Machines without contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    pub victim: Victim,
    pub kind: OutageKind,
    pub lasts: Micros,
}

/// What happens in the course of an outage.
#[derive(Clone, Copy, Debug)]
pub enum OutageStep {
    Begin,
    Freeze,
    Flap,
    Stall,
    /// The quota of a machine is spent.
    SpendQuota(usize),
    End,
    Probe,
}

/// What was seen of an outage.
#[derive(Debug, Default)]
pub struct OutageObservations {
    apart: Vec<usize>,
    began: Option<Micros>,
    /// Since when nothing has got through, if so.
    cut_since: Option<Micros>,
    /// No further fault begins.
    ending: bool,
    ended: Option<Micros>,
    /// The newest version that was acknowledged when a read began.
    floors: HashMap<Caller, u64>,
    attempts: u64,
    /// What was acknowledged before the end.
    newest_at_end: u64,
    /// When a node first answered a read that began in the outage, or after it where the node was without contact.
    answered: BTreeMap<usize, Micros>,
    /// When a node that was without contact had the newest configuration in force again.
    applied: BTreeMap<usize, Micros>,
}

impl World {
    pub fn outage_step(&mut self, step: OutageStep) {
        let Some(outage) = self.plan.outage else { return };
        match step {
            OutageStep::Begin => self.begin_outage(outage),
            OutageStep::Freeze => self.freeze_apart(outage.lasts / 2),
            OutageStep::Flap => self.flap(),
            OutageStep::Stall => self.stall(),
            OutageStep::SpendQuota(machine) => self.spend_quota(machine),
            OutageStep::End => self.end_outage(),
            OutageStep::Probe => self.probe(),
        }
    }

    fn victims(&self, victim: Victim) -> Vec<usize> {
        let leads = |one: &&super::machine::Machine| {
            one.process.as_ref().is_some_and(|it| it.observed.leading.is_some())
        };
        let Some(primary) = self.machines.iter().find(leads) else { return Vec::new() };
        let other = |core: bool| {
            let found = self.machines.iter().find(|one| one.core == core && one.number != primary.number);
            found.map(|one| one.number).into_iter().collect()
        };
        match victim {
            Victim::Primary => vec![primary.number],
            Victim::ZoneOfPrimary => {
                let zone = self.machines.iter().filter(|one| one.zone == primary.zone);
                zone.map(|one| one.number).collect()
            }
            Victim::All => self.machines.iter().map(|one| one.number).collect(),
            Victim::HalfWithPrimary => self.half_of_core(primary.number, true),
            Victim::HalfWithoutPrimary => self.half_of_core(primary.number, false),
            Victim::OtherCore => other(true),
            Victim::WithoutDisk => other(false),
        }
    }

    fn half_of_core(&self, primary: usize, with_primary: bool) -> Vec<usize> {
        let core = self.machines.iter().filter(|one| one.core).map(|one| one.number);
        let (mut half, others): (Vec<usize>, Vec<usize>) = core.partition(|number| *number == primary);
        let size = (half.len() + others.len()) / 2;
        if !with_primary {
            half.clear();
        }
        half.extend(others);
        half.truncate(size);
        half
    }

    fn begin_outage(&mut self, outage: Outage) {
        let (now, apart) = (self.now, self.victims(outage.victim));
        if apart.is_empty() {
            return self.broken("nobody leads before the outage".to_owned());
        }
        self.trace(|| format!("{outage:?} of {apart:?}"));
        let core_only = outage.kind == OutageKind::PartitionFromCore;
        let fit = |one: &&super::machine::Machine| !apart.contains(&one.number) && (one.core || !core_only);
        let others: Vec<usize> = self.machines.iter().filter(fit).map(|one| one.number).collect();
        if matches!(
            outage.kind,
            OutageKind::Partition
                | OutageKind::PartitionFromCore
                | OutageKind::PartitionAndFrozen
                | OutageKind::Deaf
        ) {
            self.network.cut(&others, &apart);
        }
        if matches!(
            outage.kind,
            OutageKind::Partition
                | OutageKind::PartitionFromCore
                | OutageKind::PartitionAndFrozen
                | OutageKind::Mute
        ) {
            self.network.cut(&apart, &others);
        }
        if outage.kind != OutageKind::Throttled {
            for number in &apart {
                self.machines[*number].note_fault(now, now + outage.lasts);
            }
            self.record.links.push((now, now + outage.lasts));
            self.report.faults += 1;
        }
        self.outage.apart = apart;
        self.outage.began = Some(now);
        let steady =
            !matches!(outage.kind, OutageKind::Flapping | OutageKind::Stalling | OutageKind::Throttled);
        self.outage.cut_since = steady.then_some(now);
        match outage.kind {
            OutageKind::Frozen => self.freeze_apart(outage.lasts),
            OutageKind::PartitionAndFrozen => {
                self.schedule_in(outage.lasts / 4, Event::Outage(OutageStep::Freeze));
            }
            OutageKind::Flapping => self.flap(),
            OutageKind::Stalling => self.stall(),
            OutageKind::Throttled => {
                for number in self.outage.apart.clone() {
                    let phase = self.random.between(0, QUOTA_PERIOD);
                    self.schedule_in(phase, Event::Outage(OutageStep::SpendQuota(number)));
                }
            }
            _ => {}
        }
        self.schedule_in(outage.lasts, Event::Outage(OutageStep::End));
    }

    /// Partitions what is connected, and connects what is partitioned.
    fn flap(&mut self) {
        if self.outage.ended.is_some() {
            return;
        }
        self.network.heal();
        if self.outage.cut_since.take().is_none() {
            let apart = self.outage.apart.clone();
            let others = (0..self.machines.len()).filter(|number| !apart.contains(number));
            let others: Vec<usize> = others.collect();
            self.network.cut(&others, &apart);
            self.network.cut(&apart, &others);
            self.outage.cut_since = Some(self.now);
        }
        let next = self.random.between(100 * MS, 3 * SECOND);
        self.schedule_in(next, Event::Outage(OutageStep::Flap));
    }

    /// The next time that a process decides something, it stands still before it says so.
    fn stall(&mut self) {
        if self.outage.ending {
            return;
        }
        for number in self.outage.apart.clone() {
            self.machines[number].stalls_for = self.random.between(100 * MS, 3 * SECOND);
        }
        let next = self.random.between(200 * MS, 4 * SECOND);
        self.schedule_in(next, Event::Outage(OutageStep::Stall));
    }

    /// A process stands still for the rest of its period.
    fn spend_quota(&mut self, number: usize) {
        if self.outage.ending {
            return;
        }
        self.machines[number].frozen_until = self.now + QUOTA_PERIOD - QUOTA;
        self.schedule_in(QUOTA_PERIOD, Event::Outage(OutageStep::SpendQuota(number)));
    }

    /// A process that stood still goes on with what it had decided before.
    pub fn carry_out_after_stall(
        &mut self,
        number: usize,
        incarnation: u64,
        leader: Option<usize>,
        outputs: Vec<Output>,
    ) {
        if self.machines[number].incarnation != incarnation {
            return;
        }
        let passed_on = self.leader_by_epoch() != leader;
        for output in outputs {
            if let (Output::Respond { call_id, response }, true) = (&output, passed_on) {
                let process = self.machines[number].process.as_ref();
                let to_server = process.and_then(|process| process.callers.get(call_id));
                let to_server = matches!(to_server, Some(Caller::Server { .. }));
                let clock = process.map_or(0, |process| process.clock(self.now));
                let status = response.clone().at(clock).status;
                if status != 503 && !to_server {
                    self.broken(format!("node {number} answers {status}, but {leader:?} leads no longer"));
                }
            }
            self.carry_out(number, output);
        }
    }

    /// The machine of the highest epoch among those that believe to be the primary.
    pub fn leader_by_epoch(&self) -> Option<usize> {
        let led = |one: &super::machine::Machine| {
            one.process.as_ref().and_then(|process| process.observed.leading).map(|epoch| (epoch, one.number))
        };
        self.machines.iter().filter_map(led).max().map(|(_, number)| number)
    }

    fn freeze_apart(&mut self, span: Micros) {
        for number in self.outage.apart.clone() {
            self.machines[number].frozen_until = self.now + span;
        }
    }

    fn end_outage(&mut self) {
        self.outage.ending = true;
        let apart = self.outage.apart.clone();
        let thawed = apart.iter().map(|number| self.machines[*number].frozen_until).max().unwrap_or(0);
        apart.iter().for_each(|number| self.machines[*number].stalls_for = 0);
        let throttled = self.plan.outage.is_some_and(|outage| outage.kind == OutageKind::Throttled);
        if thawed > self.now && !throttled {
            // It lasts longer, then.
            let now = self.now;
            apart.iter().for_each(|number| self.machines[*number].note_fault(now, thawed));
            return self.schedule(thawed, Event::Outage(OutageStep::End));
        }
        self.network.heal();
        self.trace(|| "the outage ends".to_owned());
        self.outage.ended = Some(self.now);
        self.outage.newest_at_end = self.newest_version();
    }

    fn newest_version(&self) -> u64 {
        self.record.newest().map_or(0, |(version, _)| version)
    }

    /// Reads at each node.
    fn probe(&mut self) {
        let newest = self.newest_version();
        for machine in self.up() {
            self.outage.attempts += 1;
            let caller = Caller::Prober { machine, attempt: self.outage.attempts };
            self.outage.floors.insert(caller, newest);
            self.call(machine, caller, Call::Control(ControlCall::GetConfiguration));
        }
        self.note_applied();
        let goes_on = self.outage.ended.is_none_or(|ended| self.now < ended + PROBE_FOR);
        if goes_on {
            self.schedule_in(PROBE_EVERY, Event::Outage(OutageStep::Probe));
        }
    }

    fn note_applied(&mut self) {
        let Some(ended) = self.outage.ended else { return };
        for number in self.outage.apart.clone() {
            let applied = self.configuration_of(number) >= self.outage.newest_at_end;
            if applied && !self.outage.applied.contains_key(&number) {
                self.outage.applied.insert(number, self.now);
                self.report.applied_after = self.report.applied_after.max(self.now - ended);
            }
        }
    }

    /// A call of an operator or a reader is answered: without contact nothing clear is said.
    pub fn answer_leaves(&mut self, number: usize, status: u16) {
        let (Some(began), None) = (self.outage.cut_since, self.outage.ended) else { return };
        let clear = status != 503;
        if clear && self.now >= began + LEASE && self.outage.apart.contains(&number) {
            self.broken(format!("node {number} answers {status} without contact since {} ms", began / MS));
        }
    }

    pub fn probe_over(&mut self, caller: Caller, machine: usize, outcome: &Outcome) {
        let floor = self.outage.floors.remove(&caller).unwrap_or(0);
        match outcome {
            Some(answer) if answer.status == 200 => {
                let version = version_of(&answer.body);
                if version < floor {
                    self.broken(format!(
                        "{version} is read at node {machine}, though {floor} was acknowledged"
                    ));
                }
                self.note_answered(machine);
            }
            Some(answer) if answer.status == 503 => self.report.unclear += 1,
            Some(answer) => {
                let status = answer.status;
                self.broken(format!("a read at node {machine} is answered by {status}"));
            }
            None => {
                let kind = self.plan.outage.map(|outage| outage.kind);
                let frozen = self.now <= self.machines[machine].frozen_until + 2 * SECOND;
                let excused = match kind {
                    Some(OutageKind::Stalling) => true,
                    Some(OutageKind::Throttled) => false,
                    _ => frozen,
                };
                if !excused {
                    self.broken(format!("a read at node {machine} has no answer within a second"));
                }
            }
        }
    }

    /// Notes when a node answers again; reads that began before the outage may still be answered a little later.
    fn note_answered(&mut self, machine: usize) {
        let apart = self.outage.apart.contains(&machine);
        let since = if apart { self.outage.ended } else { self.outage.began.map(|began| began + 10 * MS) };
        let Some(since) = since.filter(|since| self.now >= *since) else { return };
        if self.outage.answered.contains_key(&machine) {
            return;
        }
        self.outage.answered.insert(machine, self.now);
        let took = self.now - since;
        let most = if apart { &mut self.report.answers_after } else { &mut self.report.others_after };
        *most = (*most).max(took);
    }

    /// At the end of the day all nodes have answered again, and have the newest configuration in force.
    pub fn check_outage_over(&mut self) {
        if self.plan.outage.is_none() {
            return;
        }
        let silent = self.up().into_iter().find(|number| !self.outage.answered.contains_key(number));
        if let Some(number) = silent {
            self.broken(format!("node {number} never answered a read again"));
        }
        let behind = self.outage.apart.iter().find(|number| !self.outage.applied.contains_key(number));
        if let Some(number) = behind.copied() {
            self.broken(format!("node {number} never got the newest configuration"));
        }
    }
}
