//! A cluster whose course is fixed but for the faults of a schedule: what happens next follows from times alone.

use std::net::SocketAddrV4;

use gradepaddle_control::{
    Change, InjectedFault, Input, Member, Message, Outcome, Output, ProposalId, Record, RecoveredState,
    Replica, ReplicaConfig, ReplicaId, View, WriteId,
};

use crate::event_queue::EventQueue;

pub const MILLISECOND: u64 = 1_000;
pub const REPLICAS: usize = 3;
/// What a message and a write take.
const HOP: u64 = MILLISECOND;
const WRITE: u64 = 2 * MILLISECOND;
/// Between two attempts of the operator.
const PROPOSAL_INTERVAL: u64 = 60 * MILLISECOND;
/// A course is over then: two takeovers and more.
const LENGTH: u64 = 9_000 * MILLISECOND;

/// A fault of one machine, or of the link on which the next message travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed: what was not written is lost. It is back after this.
    Crash { replica: usize, down: u64 },
    /// Nothing gets in or out for this long.
    Isolate { replica: usize, lasts: u64 },
    /// The process stands still for this long.
    Suspend { replica: usize, lasts: u64 },
    /// The event that is due next does not happen, if it is the arrival of a message.
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
    kept: RecoveredState,
    replica: Option<Replica>,
    incarnation: u64,
    next_wake: u64,
    isolated_until: u64,
    suspended_until: u64,
}

/// A cluster with all that happens to it.
pub struct World {
    now: u64,
    machines: Vec<Machine>,
    events: EventQueue<Event>,
    injected_fault: Option<InjectedFault>,
    /// The newest version that was acknowledged, and the proposals that are open, with their versions.
    acknowledged: u64,
    open: Option<(ProposalId, u64)>,
    last_proposal: u64,
    /// Events that have happened.
    pub steps: usize,
    pub violation: Option<String>,
}

impl World {
    pub fn new(injected_fault: Option<InjectedFault>) -> World {
        let machine = |place: usize| Machine {
            address: format!("10.0.0.{}:7640", place + 1).parse().expect("an address"),
            kept: RecoveredState::empty(ReplicaId(1_000 + place as u64)),
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
        let member = |(place, machine): (usize, &Machine)| Member {
            id: machine.kept.id,
            address: machine.address,
            zone: ["west", "middle", "east"][place].into(),
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

    /// Lets the next event happen; false once the course is over or a rule is broken.
    pub fn step(&mut self) -> bool {
        let Some((at, event)) = self.events.pop() else { return false };
        self.now = self.now.max(at);
        self.steps += 1;
        self.happen(event);
        self.check_leaders();
        self.violation.is_none() && self.now < LENGTH
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

    /// At the end somebody leads and has all that was acknowledged.
    pub fn check_end(&mut self) {
        let leads =
            |machine: &Machine| machine.replica.as_ref().is_some_and(|one| one.leading(self.now).is_some());
        if !self.machines.iter().any(leads) {
            self.broken("nobody leads at the end".to_owned());
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
        let started = Replica::new(config, machine.kept.clone(), self.now);
        self.machines[replica].replica = Some(started);
        let peers = self.machines.iter().map(|machine| machine.address).collect();
        self.input(replica, Input::Peers(peers));
    }

    fn happen(&mut self, event: Event) {
        let concerned = match &event {
            Event::Deliver { to, .. } => Some(*to),
            Event::Wake { replica, .. } | Event::Written { replica, .. } => Some(*replica),
            Event::Start { .. } | Event::Propose => None,
        };
        if let Some(until) = concerned.map(|replica| self.machines[replica].suspended_until)
            && until > self.now
        {
            return self.events.push(until, event);
        }
        match event {
            Event::Deliver { from, to, message } => {
                let cut = |machine: &Machine| machine.isolated_until > self.now;
                if !cut(&self.machines[from]) && !cut(&self.machines[to]) {
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
                    records.into_iter().for_each(|record| self.machines[replica].kept.apply(record));
                    self.input(replica, Input::WriteCompleted { write_id });
                }
            }
            Event::Start { replica } => self.start(replica),
            Event::Propose => self.propose(),
        }
    }

    /// The operator sends the next version to whoever calls itself primary.
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

    fn input(&mut self, place: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[place];
        let Some(replica) = machine.replica.as_mut() else { return };
        let mut out = Vec::new();
        replica.handle(now, input, &mut out);
        let wake = replica.next_wake().max(now + 1);
        let incarnation = machine.incarnation;
        if wake < machine.next_wake {
            machine.next_wake = wake;
            self.events.push(wake, Event::Wake { replica: place, incarnation });
        }
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let to = self.machines.iter().position(|machine| machine.address == to);
                    if let Some(to) = to.filter(|to| *to != place) {
                        self.events.push(now + HOP, Event::Deliver { from: place, to, message });
                    }
                }
                Output::Persist { write_id, records } => {
                    let written = Event::Written { replica: place, incarnation, write_id, records };
                    self.events.push(now + WRITE, written);
                }
                Output::Answer { proposal_id, outcome } => self.answered(place, proposal_id, outcome),
                _ => {}
            }
        }
    }

    /// What is acknowledged is on the disks of the primary and of each backup of its view.
    fn answered(&mut self, place: usize, proposal_id: ProposalId, outcome: Outcome) {
        let Some((_, version)) = self.open.filter(|(open, _)| *open == proposal_id) else { return };
        if outcome != Outcome::Committed {
            return;
        }
        self.acknowledged = self.acknowledged.max(version);
        let view = self.machines[place].replica.as_ref().and_then(|one| one.status().view);
        let Some(view) = view else { return };
        for machine in self.machines.iter().filter(|machine| view.view.holds_data(machine.kept.id)) {
            let held = machine.kept.data.as_ref().map_or(0, |data| data.state.current_version());
            if held < version {
                let (id, at) = (machine.kept.id, self.now);
                return self
                    .broken(format!("version {version} is acknowledged at {at}, {id:?} holds {held}"));
            }
        }
    }

    /// One primary at a time, and it reads all that was acknowledged.
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
            return self.broken(format!("{leaders} lead at {}", self.now));
        }
        if let Some(version) = read.filter(|version| *version < self.acknowledged) {
            let acknowledged = self.acknowledged;
            self.broken(format!("{version} is read at {}, though {acknowledged} was acknowledged", self.now));
        }
    }

    fn broken(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }
}
