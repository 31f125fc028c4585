//! Machines without contact for a while, and callers that read the configuration at every node meanwhile.

use std::collections::{BTreeMap, HashMap};

use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::node::Output;
use gradepaddle_proto::ControlCall;

use super::callers::{Caller, Outcome};
use super::operator::version_of;
use super::world::{Event, World};
use super::{MS, Micros, SECOND};

/// Interval between reads of the configuration at each node.
const PROBE_INTERVAL: Micros = 100 * MS;
/// Reads continue for this long after the end of the outage.
const PROBE_FOR: Micros = 5 * SECOND;
/// A lease that was renewed right before an outage has expired after this time.
const LEASE: Micros = 1_500 * MS;

/// The machines that are without contact.
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
    /// Half of the machines with a disk, rounded down; without the primary.
    HalfWithoutPrimary,
}

/// How the machines lose contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// No messages get through in either direction.
    Partition,
    /// No messages get through to and from machines with a disk.
    PartitionFromCore,
    /// They receive no messages.
    Deaf,
    /// Messages that they send are lost.
    Mute,
    /// They are partitioned, and frozen from one quarter to three quarters of the outage.
    PartitionAndFrozen,
    /// The processes are stopped.
    Frozen,
    /// They are partitioned and connected in turns.
    Flapping,
    /// The processes are stopped again and again, each time between a decision and the response or order that follows.
    Stalling,
    /// The processes have a CPU quota: each runs for 10 ms in each period of 100 ms, with a phase of its own. This is no
    /// fault: all invariants have to hold meanwhile.
    Throttled,
}

/// The CPU time of a throttled process in each [`QUOTA_PERIOD`].
const QUOTA: Micros = 10 * MS;
const QUOTA_PERIOD: Micros = 100 * MS;

/// An outage: machines are without contact for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    pub victim: Victim,
    pub kind: OutageKind,
    pub duration: Micros,
}

/// A scheduled step of an outage.
#[derive(Clone, Copy, Debug)]
pub enum OutageStep {
    Begin,
    Freeze,
    Flap,
    Stall,
    /// The process of this machine has used up its CPU quota.
    SpendQuota(usize),
    End,
    Probe,
}

/// The state and the observations of an outage.
#[derive(Debug, Default)]
pub struct OutageObservations {
    victims: Vec<usize>,
    began: Option<Micros>,
    /// Since when the victims have been without contact, unless contact is intermittent.
    cut_since: Option<Micros>,
    /// The outage is about to end: no further fault begins.
    ending: bool,
    ended: Option<Micros>,
    /// For each pending read, the newest version that had been acknowledged when it began.
    minimum_versions: HashMap<Caller, u64>,
    attempts: u64,
    /// The newest version that was acknowledged before the end of the outage.
    newest_at_end: u64,
    /// When each node first answered a read after the beginning of the outage, or after its end if the node was a
    /// victim.
    answered: BTreeMap<usize, Micros>,
    /// When each victim had applied the newest configuration again.
    applied: BTreeMap<usize, Micros>,
}

impl World {
    pub fn outage_step(&mut self, step: OutageStep) {
        let Some(outage) = self.plan.outage else { return };
        match step {
            OutageStep::Begin => self.begin_outage(outage),
            OutageStep::Freeze => self.freeze_victims(outage.duration / 2),
            OutageStep::Flap => self.flap(),
            OutageStep::Stall => self.stall(),
            OutageStep::SpendQuota(machine) => self.spend_quota(machine),
            OutageStep::End => self.end_outage(),
            OutageStep::Probe => self.probe(),
        }
    }

    fn select_victims(&self, victim: Victim) -> Vec<usize> {
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
        let (now, victims) = (self.now, self.select_victims(outage.victim));
        if victims.is_empty() {
            return self.report_violation("there is no primary before the outage".to_owned());
        }
        self.trace(|| format!("{outage:?} of {victims:?}"));
        let core_only = outage.kind == OutageKind::PartitionFromCore;
        let fit = |one: &&super::machine::Machine| !victims.contains(&one.number) && (one.core || !core_only);
        let others: Vec<usize> = self.machines.iter().filter(fit).map(|one| one.number).collect();
        if matches!(
            outage.kind,
            OutageKind::Partition
                | OutageKind::PartitionFromCore
                | OutageKind::PartitionAndFrozen
                | OutageKind::Deaf
        ) {
            self.network.cut(&others, &victims);
        }
        if matches!(
            outage.kind,
            OutageKind::Partition
                | OutageKind::PartitionFromCore
                | OutageKind::PartitionAndFrozen
                | OutageKind::Mute
        ) {
            self.network.cut(&victims, &others);
        }
        if outage.kind != OutageKind::Throttled {
            for number in &victims {
                self.machines[*number].record_fault(now, now + outage.duration);
            }
            self.record.links.push((now, now + outage.duration));
            self.report.faults += 1;
        }
        self.outage.victims = victims;
        self.outage.began = Some(now);
        let constant =
            !matches!(outage.kind, OutageKind::Flapping | OutageKind::Stalling | OutageKind::Throttled);
        self.outage.cut_since = constant.then_some(now);
        match outage.kind {
            OutageKind::Frozen => self.freeze_victims(outage.duration),
            OutageKind::PartitionAndFrozen => {
                self.schedule_in(outage.duration / 4, Event::Outage(OutageStep::Freeze));
            }
            OutageKind::Flapping => self.flap(),
            OutageKind::Stalling => self.stall(),
            OutageKind::Throttled => {
                for number in self.outage.victims.clone() {
                    let phase = self.random.between(0, QUOTA_PERIOD);
                    self.schedule_in(phase, Event::Outage(OutageStep::SpendQuota(number)));
                }
            }
            _ => {}
        }
        self.schedule_in(outage.duration, Event::Outage(OutageStep::End));
    }

    /// Partitions the victims if they are connected; connects them otherwise.
    fn flap(&mut self) {
        if self.outage.ended.is_some() {
            return;
        }
        self.network.heal();
        if self.outage.cut_since.take().is_none() {
            let victims = self.outage.victims.clone();
            let others = (0..self.machines.len()).filter(|number| !victims.contains(number));
            let others: Vec<usize> = others.collect();
            self.network.cut(&others, &victims);
            self.network.cut(&victims, &others);
            self.outage.cut_since = Some(self.now);
        }
        let next = self.random.between(100 * MS, 3 * SECOND);
        self.schedule_in(next, Event::Outage(OutageStep::Flap));
    }

    /// Arranges that each victim is frozen after its next decision, before that is carried out.
    fn stall(&mut self) {
        if self.outage.ending {
            return;
        }
        for number in self.outage.victims.clone() {
            self.machines[number].next_stall = self.random.between(100 * MS, 3 * SECOND);
        }
        let next = self.random.between(200 * MS, 4 * SECOND);
        self.schedule_in(next, Event::Outage(OutageStep::Stall));
    }

    /// Freezes a process for the rest of its quota period.
    fn spend_quota(&mut self, number: usize) {
        if self.outage.ending {
            return;
        }
        self.machines[number].frozen_until = self.now + QUOTA_PERIOD - QUOTA;
        self.schedule_in(QUOTA_PERIOD, Event::Outage(OutageStep::SpendQuota(number)));
    }

    /// Carries out the outputs that a process had decided on before it was frozen.
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
        let leader_changed = self.leader_by_epoch() != leader;
        for output in outputs {
            if let (Output::Respond { call_id, response }, true) = (&output, leader_changed) {
                let process = self.machines[number].process.as_ref();
                let to_server = process.and_then(|process| process.callers.get(call_id));
                let to_server = matches!(to_server, Some(Caller::Server { .. }));
                let clock = process.map_or(0, |process| process.clock(self.now));
                let status = response.clone().unless_expired(clock).status;
                if status != 503 && !to_server {
                    self.report_violation(format!(
                        "node {number} answers {status}, but {leader:?} is no longer the primary"
                    ));
                }
            }
            self.carry_out(number, output);
        }
    }

    /// The machine with the highest epoch among those that consider themselves the primary.
    pub fn leader_by_epoch(&self) -> Option<usize> {
        let led = |one: &super::machine::Machine| {
            one.process.as_ref().and_then(|process| process.observed.leading).map(|epoch| (epoch, one.number))
        };
        self.machines.iter().filter_map(led).max().map(|(_, number)| number)
    }

    fn freeze_victims(&mut self, span: Micros) {
        for number in self.outage.victims.clone() {
            self.machines[number].frozen_until = self.now + span;
        }
    }

    fn end_outage(&mut self) {
        self.outage.ending = true;
        let victims = self.outage.victims.clone();
        let frozen_until =
            victims.iter().map(|number| self.machines[*number].frozen_until).max().unwrap_or(0);
        victims.iter().for_each(|number| self.machines[*number].next_stall = 0);
        let throttled = self.plan.outage.is_some_and(|outage| outage.kind == OutageKind::Throttled);
        if frozen_until > self.now && !throttled {
            // A victim is still frozen: the outage is extended until it runs again.
            let now = self.now;
            victims.iter().for_each(|number| self.machines[*number].record_fault(now, frozen_until));
            return self.schedule(frozen_until, Event::Outage(OutageStep::End));
        }
        self.network.heal();
        self.trace(|| "the outage ends".to_owned());
        self.outage.ended = Some(self.now);
        self.outage.newest_at_end = self.newest_version();
    }

    fn newest_version(&self) -> u64 {
        self.record.newest().map_or(0, |(version, _)| version)
    }

    /// Reads the configuration at each node.
    fn probe(&mut self) {
        let newest = self.newest_version();
        for machine in self.up() {
            self.outage.attempts += 1;
            let caller = Caller::Prober { machine, attempt: self.outage.attempts };
            self.outage.minimum_versions.insert(caller, newest);
            self.call(machine, caller, Call::Control(ControlCall::GetConfiguration));
        }
        self.record_applied();
        let goes_on = self.outage.ended.is_none_or(|ended| self.now < ended + PROBE_FOR);
        if goes_on {
            self.schedule_in(PROBE_INTERVAL, Event::Outage(OutageStep::Probe));
        }
    }

    fn record_applied(&mut self) {
        let Some(ended) = self.outage.ended else { return };
        for number in self.outage.victims.clone() {
            let applied = self.configuration_of(number) >= self.outage.newest_at_end;
            if applied && !self.outage.applied.contains_key(&number) {
                self.outage.applied.insert(number, self.now);
                self.report.victims_apply_after = self.report.victims_apply_after.max(self.now - ended);
            }
        }
    }

    /// Checks a response to an operator or a reader: a node without contact must not send a conclusive one after its
    /// lease.
    pub fn check_response(&mut self, number: usize, status: u16) {
        let (Some(began), None) = (self.outage.cut_since, self.outage.ended) else { return };
        let conclusive = status != 503;
        if conclusive && self.now >= began + LEASE && self.outage.victims.contains(&number) {
            self.report_violation(format!(
                "node {number} answers {status} without contact since {} ms",
                began / MS
            ));
        }
    }

    pub fn probe_over(&mut self, caller: Caller, machine: usize, outcome: &Outcome) {
        let minimum = self.outage.minimum_versions.remove(&caller).unwrap_or(0);
        match outcome {
            Some(answer) if answer.status == 200 => {
                let version = version_of(&answer.body);
                if version < minimum {
                    self.report_violation(format!(
                        "{version} is read at node {machine}, though {minimum} was acknowledged"
                    ));
                }
                self.record_answer(machine);
            }
            Some(answer) if answer.status == 503 => self.report.unclear += 1,
            Some(answer) => {
                let status = answer.status;
                self.report_violation(format!("a read at node {machine} is answered by {status}"));
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
                    self.report_violation(format!("a read at node {machine} has no answer within a second"));
                }
            }
        }
    }

    /// Records when a node answers again. Reads that began before the outage may still be answered shortly after it
    /// begins.
    fn record_answer(&mut self, machine: usize) {
        let victims = self.outage.victims.contains(&machine);
        let since = if victims { self.outage.ended } else { self.outage.began.map(|began| began + 10 * MS) };
        let Some(since) = since.filter(|since| self.now >= *since) else { return };
        if self.outage.answered.contains_key(&machine) {
            return;
        }
        self.outage.answered.insert(machine, self.now);
        let took = self.now - since;
        let most = if victims {
            &mut self.report.victims_answer_after
        } else {
            &mut self.report.others_answer_after
        };
        *most = (*most).max(took);
    }

    /// At the end of the run all nodes have answered again and have applied the newest configuration.
    pub fn check_outage_over(&mut self) {
        if self.plan.outage.is_none() {
            return;
        }
        let silent = self.up().into_iter().find(|number| !self.outage.answered.contains_key(number));
        if let Some(number) = silent {
            self.report_violation(format!("node {number} never answered a read again"));
        }
        let behind = self.outage.victims.iter().find(|number| !self.outage.applied.contains_key(number));
        if let Some(number) = behind.copied() {
            self.report_violation(format!("node {number} never got the newest configuration"));
        }
    }
}
