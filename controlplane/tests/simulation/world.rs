//! The simulated fleet and its event queue: runs events in order of time and carries out the outputs of the nodes.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_control::WriteId;
use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::node::{Event as NodeEvent, Input, Output};
use gradepaddle_controlplane::order::{Order, OrderOutcome};
use gradepaddle_placement::{ServerEntry, ServerState};
use gradepaddle_proto::{Content, Envelope};

use super::callers::{Caller, Outcome};
use super::disk::Disk;
use super::faults::Repair;
use super::invariants::{Check, Record};
use super::machine::{Boot, Machine, ReplicaBoot};
use super::network::Network;
use super::operation_history::Histories;
use super::operator::{Operator, version_of};
use super::outage::{OutageObservations, OutageStep};
use super::plan::Plan;
use super::random::Random;
use super::server::Server;
use super::{MODEL, MS, Micros, SECOND};

/// A process that is woken more often than this at one point in time is in a busy loop.
const MAX_WAKES_AT_ONCE: u32 = 5;

/// A process that starts before this takes part in the first start of the fleet.
const FIRST_START: Micros = SECOND;
/// The maximum simulated time of a run.
const MAX_RUN_TIME: Micros = 200 * SECOND;

/// A scheduled event.
pub enum Event {
    Start(usize),
    Wake { machine: usize, incarnation: u64, at: Micros },
    Deliver { from: usize, to: usize, connection: u64, content: Content },
    DiskOpen { machine: usize, incarnation: u64, first: bool },
    Written { machine: usize, incarnation: u64 },
    Call { machine: usize, caller: Caller, call: Call },
    CallOver { caller: Caller, outcome: Outcome },
    Order { machine: usize, incarnation: u64, order: Order },
    OrderAnswered { machine: usize, incarnation: u64, order: Order, answer: OrderOutcome },
    Query { machine: usize, incarnation: u64, server: Arc<str> },
    Server(usize),
    Churn,
    Operator(usize),
    Resend,
    Fault,
    Repair(Repair),
    Check(Check),
    Outage(OutageStep),
    CarryOut { machine: usize, incarnation: u64, leader: Option<usize>, outputs: Vec<Output> },
    Read { machine: usize },
    End,
}

struct Scheduled {
    at: Micros,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The first violation of an invariant.
    pub violation: Option<String>,
    pub events: u64,
    pub acknowledged: u64,
    pub refused: u64,
    pub drains: u64,
    pub orders: u64,
    pub loads: u64,
    pub faults: u64,
    pub highest_epoch: u64,
    /// The number of checks that were made; `not_applicable` counts those that were skipped because of a fault.
    pub checked: u64,
    pub not_applicable: u64,
    /// Reads during an outage without a conclusive response.
    pub unclear: u64,
    /// The longest time from the beginning of an outage until a node that is not a victim answered reads again.
    pub others_answer_after: Micros,
    /// The longest time from the end of an outage until a victim answered reads again.
    pub victims_answer_after: Micros,
    /// The longest time from the end of an outage until a victim had applied the newest configuration.
    pub victims_apply_after: Micros,
}

/// A simulated fleet with its clients, its network and its event queue.
pub struct World {
    pub plan: Plan,
    pub now: Micros,
    pub random: Random,
    pub machines: Vec<Machine>,
    pub network: Network,
    pub servers: Vec<Server>,
    pub operators: [Operator; 3],
    pub record: Record,
    pub outage: OutageObservations,
    pub report: Report,
    pub pending: HashSet<Caller>,
    pub first_seeds: Vec<SocketAddrV4>,
    pub finished: bool,
    pub histories: Option<Histories>,
    trace_enabled: bool,
    by_address: HashMap<SocketAddrV4, usize>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> World {
        let mut world = World {
            now: 0,
            random: Random::new(seed),
            machines: Vec::new(),
            network: Network::default(),
            servers: Vec::new(),
            operators: Default::default(),
            record: Record::default(),
            outage: OutageObservations::default(),
            report: Report::default(),
            pending: HashSet::new(),
            first_seeds: Vec::new(),
            finished: false,
            histories: None,
            trace_enabled: std::env::var_os("FLEET_TRACE").is_some(),
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            plan,
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for number in 0..self.plan.nodes {
            self.add_machine(number % 3, number < self.plan.cores);
        }
        self.first_seeds = self.some_addresses();
        for number in 0..self.plan.nodes {
            let at = self.random.between(0, 300 * MS);
            self.schedule(at, Event::Start(number));
        }
        for _ in 0..self.plan.servers {
            let at = self.random.between(SECOND, 4 * SECOND);
            self.add_server(at);
        }
        self.schedule(2 * SECOND, Event::Operator(0));
        self.schedule(5 * SECOND, Event::Operator(2));
        self.schedule(5 * SECOND, Event::Churn);
        self.schedule(3 * SECOND, Event::Check(Check::Bootstrapped));
        self.schedule(5 * SECOND, Event::Check(Check::Members));
        self.schedule(7 * SECOND, Event::Fault);
        if self.plan.outage.is_some() {
            let at = 8 * SECOND + self.random.between(0, SECOND);
            self.schedule(at, Event::Outage(OutageStep::Begin));
            self.schedule(7 * SECOND, Event::Outage(OutageStep::Probe));
        }
    }

    /// Runs until an invariant is violated or the run ends.
    pub fn run(self) -> Report {
        self.run_keeping_histories().0
    }

    pub fn run_keeping_histories(mut self) -> (Report, Option<Histories>) {
        while let Some(Reverse(next)) = self.queue.pop() {
            self.now = next.at;
            self.report.events += 1;
            if self.now > MAX_RUN_TIME {
                self.report_violation("the run does not end in time".to_owned());
            }
            self.handle_event(next.event);
            if self.finished || self.report.violation.is_some() {
                break;
            }
        }
        (self.report, self.histories)
    }

    /// Runs all events up to this time.
    pub fn run_until(&mut self, time: Micros) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= time) {
            if let Some(Reverse(next)) = self.queue.pop() {
                self.now = next.at;
                self.handle_event(next.event);
            }
        }
        self.now = time;
    }

    pub fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    pub fn schedule_in(&mut self, span: Micros, event: Event) {
        self.schedule(self.now + span, event);
    }

    /// Prints a trace line if the environment variable `FLEET_TRACE` is set.
    pub fn trace(&self, what: impl FnOnce() -> String) {
        if self.trace_enabled {
            println!("{:>8} ms  {}", self.now / MS, what());
        }
    }

    /// Records a violation of an invariant, unless there was one before.
    pub fn report_violation(&mut self, what: String) {
        if self.report.violation.is_none() {
            self.report.violation = Some(format!("at {} ms: {what}", self.now / MS));
        }
    }

    pub fn add_machine(&mut self, zone: usize, core: bool) -> usize {
        let number = self.machines.len();
        let machine = Machine::new(number, zone, core, self.random.next());
        self.by_address.insert(machine.address, number);
        self.machines.push(machine);
        number
    }

    /// Three random addresses as seeds, as operators list them in the settings.
    pub fn some_addresses(&mut self) -> Vec<SocketAddrV4> {
        if self.plan.same_seeds_without_disk && self.now > 0 {
            return self.machines.iter().filter(|one| !one.core).map(|one| one.address).take(3).collect();
        }
        let listed: Vec<usize> =
            self.machines.iter().filter(|one| !one.removed).map(|one| one.number).collect();
        let mut chosen = self.random.several(&listed, 3);
        let has_disk = |number: &usize| self.machines[*number].core;
        if self.plan.one_seed_has_a_disk && !chosen.iter().any(has_disk) {
            let cores: Vec<usize> = listed.iter().copied().filter(has_disk).collect();
            chosen.pop();
            chosen.extend(self.random.choose(&cores));
        }
        chosen.into_iter().map(|number| self.machines[number].address).collect()
    }

    pub fn up(&self) -> Vec<usize> {
        self.machines.iter().filter(|machine| machine.up()).map(|machine| machine.number).collect()
    }

    fn handle_event(&mut self, event: Event) {
        let Some(event) = self.defer_if_frozen(event) else { return };
        match event {
            Event::Start(machine) => self.start(machine),
            Event::Wake { machine, incarnation, at } => self.wake(machine, incarnation, at),
            Event::Deliver { from, to, connection, content } => self.deliver(from, to, connection, content),
            Event::DiskOpen { machine, incarnation, first } => self.disk_open(machine, incarnation, first),
            Event::Written { machine, incarnation } => self.written(machine, incarnation),
            Event::Call { machine, caller, call } => self.call_arrives(machine, caller, call),
            Event::CallOver { caller, outcome } => self.call_over(caller, outcome),
            Event::Order { machine, incarnation, order } => self.order_arrives(machine, incarnation, order),
            Event::OrderAnswered { machine, incarnation, order, answer } => {
                self.step_if_current(machine, incarnation, Input::OrderCompleted { order, outcome: answer });
            }
            Event::Query { machine, incarnation, server } => self.send_report(machine, incarnation, server),
            Event::Server(index) => self.server_calls(index),
            Event::Churn => self.churn(),
            Event::Operator(index) => self.operator_turn(index),
            Event::Resend => self.resend(),
            Event::Fault => self.fault(),
            Event::Repair(repair) => self.repair(repair),
            Event::Check(check) => self.check(check),
            Event::Outage(step) => self.outage_step(step),
            Event::CarryOut { machine, incarnation, leader, outputs } => {
                self.carry_out_after_stall(machine, incarnation, leader, outputs);
            }
            Event::Read { machine } => self.read(machine),
            Event::End => self.finished = true,
        }
    }

    /// Delays an event of a frozen process until the process runs again.
    fn defer_if_frozen(&mut self, event: Event) -> Option<Event> {
        let machine = match &event {
            Event::Wake { machine, .. }
            | Event::Deliver { to: machine, .. }
            | Event::DiskOpen { machine, .. }
            | Event::Written { machine, .. }
            | Event::Call { machine, .. }
            | Event::OrderAnswered { machine, .. }
            | Event::Query { machine, .. } => *machine,
            _ => return Some(event),
        };
        let until = self.machines[machine].frozen_until;
        if until <= self.now {
            return Some(event);
        }
        self.schedule(until, event);
        None
    }

    fn start(&mut self, number: usize) {
        if self.machines[number].up() || self.machines[number].removed {
            return;
        }
        let first = self.now < FIRST_START;
        let seeds = if first { self.first_seeds.clone() } else { self.some_addresses() };
        self.trace(|| format!("node {number} starts, seeds {seeds:?}"));
        let boot = Boot { seeds, first, losses: self.plan.losses, revoke_within: self.plan.revoke_within };
        let now = self.now;
        let machine = &mut self.machines[number];
        machine.start(now, &boot, &mut self.random);
        machine.record_fault(now, now);
        let (incarnation, core) = (machine.incarnation, machine.core);
        if core {
            let opens = self.random.between(2 * MS, 40 * MS);
            self.schedule_in(opens, Event::DiskOpen { machine: number, incarnation, first });
        }
        self.step(number, Input::Tick);
    }

    /// Ends a process. Its callers see their connections fail, or time out if it ends `silently`.
    pub fn stop(&mut self, number: usize, silently: bool) {
        let now = self.now;
        let machine = &mut self.machines[number];
        let Some(process) = machine.process.take() else { return };
        let leads = process.observed.leading;
        machine.incarnation += 1;
        machine.frozen_until = 0;
        machine.disk.crash(&mut self.random);
        self.network.break_all(now, number);
        self.trace(|| format!("node {number} ends, leading: {leads:?}"));
        if !silently {
            for caller in process.callers.into_values() {
                self.schedule_in(MS, Event::CallOver { caller, outcome: None });
            }
        }
    }

    fn wake(&mut self, number: usize, incarnation: u64, at: Micros) {
        let machine = &mut self.machines[number];
        let Some(process) = machine.process.as_mut().filter(|process| process.wake_at == at) else { return };
        if machine.incarnation != incarnation {
            return;
        }
        process.wake_at = Micros::MAX;
        process.wakes_now = if process.woken == at { process.wakes_now + 1 } else { 0 };
        process.woken = at;
        if process.wakes_now > MAX_WAKES_AT_ONCE {
            return self.report_violation(format!(
                "node {number} is in a busy loop: it asks to be woken again and again at the same time"
            ));
        }
        self.step(number, Input::Tick);
    }

    fn deliver(&mut self, from: usize, to: usize, connection: u64, content: Content) {
        if self.network.arrives((from, to), connection) && self.machines[to].up() {
            let from = self.machines[from].address;
            self.step(to, Input::Envelope(Envelope { from, content }));
        }
    }

    fn disk_open(&mut self, number: usize, incarnation: u64, first: bool) {
        let machine = &self.machines[number];
        let Some(process) = machine.process.as_ref().filter(|_| machine.incarnation == incarnation) else {
            return;
        };
        let boot = ReplicaBoot { first, losses: self.plan.losses, injected_fault: self.plan.injected_fault };
        let replica = machine.replica(process.clock(self.now), &boot, &mut self.random);
        self.step(number, Input::ReplicaOpened(Box::new(replica)));
    }

    fn written(&mut self, number: usize, incarnation: u64) {
        let machine = &mut self.machines[number];
        if machine.incarnation != incarnation {
            return;
        }
        let Some((write_id, durable)) = machine.disk.finish() else { return };
        let input = if durable { Input::Persisted(write_id) } else { Input::PersistFailed(write_id) };
        self.step(number, input);
    }

    fn step_if_current(&mut self, number: usize, incarnation: u64, input: Input) {
        if self.machines[number].incarnation == incarnation {
            self.step(number, input);
        }
    }

    fn send_report(&mut self, number: usize, incarnation: u64, server: Arc<str>) {
        let now = self.now;
        let Some(one) = self.servers.iter_mut().find(|one| one.id == server && one.alive()) else { return };
        let version = one.loaded_version(now);
        self.step_if_current(
            number,
            incarnation,
            Input::VersionReported { server, model: Arc::from(MODEL), version },
        );
    }

    /// Has a node handle an input and carries out its outputs.
    pub fn step(&mut self, number: usize, input: Input) {
        let now = self.now;
        let Some(process) = &mut self.machines[number].process else { return };
        let local = process.clock(now);
        let mut outputs = Vec::new();
        process.node.handle(local, input, &mut outputs);
        let wake = process.node.next_wake();
        let wake = process.time_of(wake.max(local));
        if wake < process.wake_at {
            process.wake_at = wake;
            let incarnation = self.machines[number].incarnation;
            self.schedule(wake, Event::Wake { machine: number, incarnation, at: wake });
        }
        let decides = |output: &Output| matches!(output, Output::Respond { .. } | Output::SendOrder(_));
        if self.machines[number].next_stall > 0 && outputs.iter().any(decides) {
            return self.stall_before_carrying_out(number, outputs);
        }
        for output in outputs {
            self.carry_out(number, output);
        }
    }

    fn stall_before_carrying_out(&mut self, number: usize, outputs: Vec<Output>) {
        let leader = self.leader_by_epoch();
        let machine = &mut self.machines[number];
        let (span, incarnation) = (std::mem::take(&mut machine.next_stall), machine.incarnation);
        machine.frozen_until = self.now + span;
        self.trace(|| format!("node {number} is frozen for {} ms", span / MS));
        self.schedule_in(span, Event::CarryOut { machine: number, incarnation, leader, outputs });
    }

    pub fn carry_out(&mut self, number: usize, output: Output) {
        match output {
            Output::Send { to, content } => self.send(number, to, content),
            Output::Persist { write_id, records } => self.persist(number, write_id, records),
            Output::Respond { call_id, response } => self.answer(number, call_id, response),
            Output::ApplyConfiguration(body) => self.configure(number, body),
            Output::ServerChanged(entry) => self.observe_server(number, entry),
            Output::ServerRemoved(id) => self.observe_server_state(number, id, ServerState::Gone),
            Output::PeersChanged(peers) => self.observe(number, |observed| {
                observed.peers = peers.into_iter().map(|peer| peer.address).collect();
            }),
            Output::ConfigurationValidity(shown) => {
                self.observe(number, |observed| observed.keys_until = shown.until);
            }
            Output::Connected(connected) => self.observe(number, |observed| observed.connected = connected),
            Output::SendOrder(order) => self.send_order(number, order),
            Output::QueryServer { server, .. } => {
                let incarnation = self.machines[number].incarnation;
                self.schedule_in(2 * MS, Event::Query { machine: number, incarnation, server });
            }
            Output::Event(NodeEvent::BecamePrimary { epoch }) => {
                self.trace(|| format!("node {number} is the primary in epoch {epoch}"));
                self.report.highest_epoch = self.report.highest_epoch.max(epoch);
                self.observe(number, |observed| observed.leading = Some(epoch));
            }
            Output::Event(NodeEvent::SteppedDown) => {
                self.trace(|| format!("node {number} has stepped down"));
                self.observe(number, |observed| observed.leading = None);
            }
            _ => {}
        }
    }

    fn observe(&mut self, number: usize, change: impl FnOnce(&mut super::machine::Observed)) {
        if let Some(process) = &mut self.machines[number].process {
            change(&mut process.observed);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, content: Content) {
        let Some(to) = self.by_address.get(&to).copied() else { return };
        let near = self.machines[from].zone == self.machines[to].zone;
        if let Some(way) = self.network.send(self.now, (from, to), near, &mut self.random) {
            self.schedule(way.at, Event::Deliver { from, to, connection: way.connection, content });
        }
    }

    fn persist(&mut self, number: usize, write_id: WriteId, records: Vec<gradepaddle_control::Record>) {
        let write_duration = self.random.between(MS, 12 * MS);
        let now = self.now;
        let machine = &mut self.machines[number];
        let at = machine.disk.begin(now, write_duration, write_id, records);
        let incarnation = machine.incarnation;
        self.schedule(at, Event::Written { machine: number, incarnation });
    }

    fn configure(&mut self, number: usize, body: Arc<[u8]>) {
        let version = version_of(&body);
        let before =
            self.machines[number].process.as_ref().and_then(|one| one.observed.configuration.clone());
        if let Some((before, _)) = before.filter(|(before, _)| *before >= version) {
            self.report_violation(format!("node {number} goes from configuration {before} to {version}"));
        }
        self.record.record_applied_configuration(&body);
        self.observe(number, |observed| observed.configuration = Some((version, body)));
    }

    fn observe_server(&mut self, number: usize, entry: ServerEntry) {
        self.trace(|| format!("node {number}: {} is {:?} {:?}", entry.id, entry.state, entry.models));
        self.observe_server_state(number, entry.id, entry.state);
    }

    fn observe_server_state(&mut self, number: usize, id: Arc<str>, state: ServerState) {
        self.observe(number, |observed| {
            observed.servers.insert(id, state);
        });
    }

    fn send_order(&mut self, number: usize, order: Order) {
        let machine = &self.machines[number];
        let Some(process) = &machine.process else { return };
        if process.node.may_send_order(process.clock(self.now), order.fencing_token) {
            let leads_later_epoch = |one: &&Machine| {
                let leading = one.process.as_ref().and_then(|process| process.observed.leading);
                leading.is_some_and(|epoch| epoch > order.fencing_token)
            };
            if let Some(other) = self.machines.iter().find(leads_later_epoch).map(|one| one.number) {
                return self.report_violation(format!(
                    "node {number} sends an order with fencing token {}, but {other} is the primary",
                    order.fencing_token
                ));
            }
            let incarnation = machine.incarnation;
            let way = self.random.between(300, 3 * MS);
            self.schedule_in(way, Event::Order { machine: number, incarnation, order });
        }
    }

    /// Replaces the disk of a machine with an empty one.
    pub fn wipe(&mut self, number: usize) {
        self.machines[number].disk = Disk::empty(self.random.next());
    }
}

impl Report {
    /// Adds the figures of another run.
    pub fn add(&mut self, other: &Report) {
        self.events += other.events;
        self.acknowledged += other.acknowledged;
        self.refused += other.refused;
        self.drains += other.drains;
        self.orders += other.orders;
        self.loads += other.loads;
        self.faults += other.faults;
        self.highest_epoch = self.highest_epoch.max(other.highest_epoch);
        self.checked += other.checked;
        self.not_applicable += other.not_applicable;
        self.unclear += other.unclear;
        self.others_answer_after = self.others_answer_after.max(other.others_answer_after);
        self.victims_answer_after = self.victims_answer_after.max(other.victims_answer_after);
        self.victims_apply_after = self.victims_apply_after.max(other.victims_apply_after);
    }
}
