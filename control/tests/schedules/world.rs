//! A simulated cluster without randomness: the sequence of events depends only on fixed delays and on the faults of a
//! schedule.

use std::net::SocketAddrV4;

use gradepaddle_control::{
    Change, InjectedFault, Input, Member, Message, Outcome, Output, ProposalId, Record, RecoveredState,
    Replica, ReplicaConfig, ReplicaId, View, WriteId,
};

use crate::event_queue::EventQueue;

pub const MILLISECOND: u64 = 1_000;
pub const REPLICAS: usize = 3;
/// How long a message and a write take.
const MESSAGE_DELAY: u64 = MILLISECOND;
const WRITE_TIME: u64 = 2 * MILLISECOND;
/// Interval between two proposals of the operator.
const PROPOSAL_INTERVAL: u64 = 60 * MILLISECOND;
/// The length of a run: enough for more than two takeovers.
const RUN_LENGTH: u64 = 9_000 * MILLISECOND;

/// A fault of one machine, or of the link on which the next message travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed, and writes in progress are lost. It starts again after `down`.
    Crash { replica: usize, down: u64 },
    /// No message gets in or out for this long.
    Isolate { replica: usize, lasts: u64 },
    /// The process is suspended for this long.
    Suspend { replica: usize, lasts: u64 },
    /// The next event is dropped, if it is the arrival of a message.
    DropNext,
}

/// All faults, at each replica.
pub fn faults() -> Vec<Fault> {
    const SHORT: u64 = 400 * MILLISECOND;
    const LONG: u64 = 2_200 * MILLISECOND;
    let mut all = vec![Fault::DropNext];
    for replica in 0..REPLICAS {
        all.push(Fault::Crash { replica, down: SHORT });
        all.push(Fault::Crash { replica, down: LONG });
        all.push(Fault::Isolate { replica, lasts: LONG });
        all.push(Fault::Suspend { replica, lasts: LONG });
    }
    all
}

#[derive(Debug)]
enum Event {
    Deliver { from: usize, to: usize, message: Message },
    Wake { replica: usize, incarnation: u64 },
    Written { replica: usize, incarnation: u64, write_id: WriteId, records: Vec<Record> },
    Start { replica: usize },
    Propose,
}

struct Machine {
    address: SocketAddrV4,
    stored: RecoveredState,
    replica: Option<Replica>,
    incarnation: u64,
    next_wake: u64,
    isolated_until: u64,
    suspended_until: u64,
}

/// A cluster, its pending events, and the invariants.
pub struct World {
    now: u64,
    machines: Vec<Machine>,
    events: EventQueue<Event>,
    injected_fault: Option<InjectedFault>,
    /// The newest version that was acknowledged.
    acknowledged: u64,
    /// The latest proposal, with its version.
    open: Option<(ProposalId, u64)>,
    last_proposal: u64,
    /// The number of events so far.
    pub steps: usize,
    pub violation: Option<String>,
}

impl World {
    pub fn new(injected_fault: Option<InjectedFault>) -> World {
        let machine = |node_index: usize| Machine {
            address: format!("10.0.0.{}:7640", node_index + 1).parse().expect("an address"),
            stored: RecoveredState::empty(ReplicaId(1_000 + node_index as u64)),
            replica: None,
            incarnation: 0,
            next_wake: u64::MAX,
            isolated_until: 0,
            suspended_until: 0,
        };
        let mut world = World {
            now: 1_000 * MILLISECOND,
            machines: (0..REPLICAS).map(machine).collect(),
            events: EventQueue::new(),
            injected_fault,
            acknowledged: 0,
            open: None,
            last_proposal: 0,
            steps: 0,
            violation: None,
        };
        let view = world.first_view();
        for replica in 0..REPLICAS {
            world.start(replica);
            world.input(replica, Input::Bootstrap { view: view.clone() });
        }
        world.events.push(world.now + PROPOSAL_INTERVAL, Event::Propose);
        world
    }

    fn first_view(&self) -> View {
        let member = |(node_index, machine): (usize, &Machine)| Member {
            id: machine.stored.id,
            address: machine.address,
            zone: ["west", "middle", "east"][node_index].into(),
        };
        let members: Vec<Member> = self.machines.iter().enumerate().map(member).collect();
        View {
            epoch: 1,
            primary: members[0].id,
            backups: vec![members[1].id],
            previous_members: Vec::new(),
            target_size: members.len(),
            members,
        }
    }

    /// Handles the next event; returns false once the run is over or an invariant is violated.
    pub fn step(&mut self) -> bool {
        let Some((at, event)) = self.events.pop() else { return false };
        self.now = self.now.max(at);
        self.steps += 1;
        self.handle_event(event);
        self.check_leaders();
        self.violation.is_none() && self.now < RUN_LENGTH
    }

    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Crash { replica, down } => {
                self.machines[replica].replica = None;
                self.machines[replica].incarnation += 1;
                self.machines[replica].next_wake = u64::MAX;
                self.events.push(self.now + down, Event::Start { replica });
            }
            Fault::Isolate { replica, lasts } => self.machines[replica].isolated_until = self.now + lasts,
            Fault::Suspend { replica, lasts } => self.machines[replica].suspended_until = self.now + lasts,
            Fault::DropNext => {
                if let Some((at, event)) = self.events.pop()
                    && !matches!(event, Event::Deliver { .. })
                {
                    self.events.push(at, event);
                }
            }
        }
    }

    /// Checks that there is a primary at the end of the run.
    pub fn check_end(&mut self) {
        let leads =
            |machine: &Machine| machine.replica.as_ref().is_some_and(|one| one.leading(self.now).is_some());
        if !self.machines.iter().any(leads) {
            self.report_violation("no primary at the end".to_owned());
        }
    }

    fn start(&mut self, replica: usize) {
        if self.machines[replica].replica.is_some() {
            return;
        }
        let machine = &self.machines[replica];
        let config = ReplicaConfig::builder()
            .address(machine.address)
            .zone(["west", "middle", "east"][replica])
            .injected_fault(self.injected_fault)
            .build();
        let started = Replica::new(config, machine.stored.clone(), self.now);
        self.machines[replica].replica = Some(started);
        let peers = self.machines.iter().map(|machine| machine.address).collect();
        self.input(replica, Input::Peers(peers));
    }

    fn handle_event(&mut self, event: Event) {
        let affected = match &event {
            Event::Deliver { to, .. } => Some(*to),
            Event::Wake { replica, .. } | Event::Written { replica, .. } => Some(*replica),
            Event::Start { .. } | Event::Propose => None,
        };
        if let Some(until) = affected.map(|replica| self.machines[replica].suspended_until)
            && until > self.now
        {
            return self.events.push(until, event);
        }
        match event {
            Event::Deliver { from, to, message } => {
                let isolated = |machine: &Machine| machine.isolated_until > self.now;
                if !isolated(&self.machines[from]) && !isolated(&self.machines[to]) {
                    let from = self.machines[from].address;
                    self.input(to, Input::Message { from, message });
                }
            }
            Event::Wake { replica, incarnation } => {
                if self.machines[replica].incarnation == incarnation {
                    self.machines[replica].next_wake = u64::MAX;
                    self.input(replica, Input::Tick);
                }
            }
            Event::Written { replica, incarnation, write_id, records } => {
                if self.machines[replica].incarnation == incarnation {
                    records.into_iter().for_each(|record| self.machines[replica].stored.apply(record));
                    self.input(replica, Input::WriteCompleted { write_id });
                }
            }
            Event::Start { replica } => self.start(replica),
            Event::Propose => self.propose(),
        }
    }

    /// The operator proposes the next version to the replica that is primary.
    fn propose(&mut self) {
        self.events.push(self.now + PROPOSAL_INTERVAL, Event::Propose);
        let leads =
            |machine: &Machine| machine.replica.as_ref().is_some_and(|one| one.leading(self.now).is_some());
        let Some(leader) = self.machines.iter().position(leads) else { return };
        let Some(replica) = &self.machines[leader].replica else { return };
        let if_match = replica.state().current_version();
        self.last_proposal += 1;
        let (proposal_id, version) = (ProposalId(self.last_proposal), self.last_proposal.max(if_match + 1));
        self.open = Some((proposal_id, version));
        let body = format!("{version}").into_bytes().into();
        let change = Change::PutConfiguration { if_match, version, body, fingerprint: u128::from(version) };
        self.input(leader, Input::Propose { proposal_id, change });
    }

    fn input(&mut self, node_index: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[node_index];
        let Some(replica) = machine.replica.as_mut() else { return };
        let mut out = Vec::new();
        replica.handle(now, input, &mut out);
        let wake = replica.next_wake().max(now + 1);
        let incarnation = machine.incarnation;
        if wake < machine.next_wake {
            machine.next_wake = wake;
            self.events.push(wake, Event::Wake { replica: node_index, incarnation });
        }
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let to = self.machines.iter().position(|machine| machine.address == to);
                    if let Some(to) = to.filter(|to| *to != node_index) {
                        self.events
                            .push(now + MESSAGE_DELAY, Event::Deliver { from: node_index, to, message });
                    }
                }
                Output::Persist { write_id, records } => {
                    let written = Event::Written { replica: node_index, incarnation, write_id, records };
                    self.events.push(now + WRITE_TIME, written);
                }
                Output::Answer { proposal_id, outcome } => self.answered(node_index, proposal_id, outcome),
                _ => {}
            }
        }
    }

    /// Checks that an acknowledged change is on the disks of the primary and of each backup of its view.
    fn answered(&mut self, node_index: usize, proposal_id: ProposalId, outcome: Outcome) {
        let Some((_, version)) = self.open.filter(|(open, _)| *open == proposal_id) else { return };
        if outcome != Outcome::Committed {
            return;
        }
        self.acknowledged = self.acknowledged.max(version);
        let view = self.machines[node_index].replica.as_ref().and_then(|one| one.status().view);
        let Some(view) = view else { return };
        for machine in self.machines.iter().filter(|machine| view.view.holds_data(machine.stored.id)) {
            let held_version = machine.stored.data.as_ref().map_or(0, |data| data.state.current_version());
            if held_version < version {
                let (id, at) = (machine.stored.id, self.now);
                return self.report_violation(format!(
                    "version {version} is acknowledged at {at}, {id:?} holds {held_version}"
                ));
            }
        }
    }

    /// Checks that there is at most one primary, and that its state contains all acknowledged changes.
    fn check_leaders(&mut self) {
        let mut leaders = 0;
        let mut read = None;
        for machine in self.machines.iter().filter(|machine| machine.suspended_until <= self.now) {
            let Some(replica) = &machine.replica else { continue };
            leaders += usize::from(replica.leading(self.now).is_some());
            if let Some(lease) = replica.read(self.now) {
                let version = lease.state.current_version();
                read = Some(read.map_or(version, |least: u64| least.min(version)));
            }
        }
        if leaders > 1 {
            return self.report_violation(format!("{leaders} lead at {}", self.now));
        }
        if let Some(version) = read.filter(|version| *version < self.acknowledged) {
            let acknowledged = self.acknowledged;
            self.report_violation(format!(
                "{version} is read at {}, though {acknowledged} was acknowledged",
                self.now
            ));
        }
    }

    fn report_violation(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }
}
