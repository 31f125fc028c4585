//! Core machines whose links carry a bounded number of bytes in a second. What goes to one machine stays in order, and
//! connections to several share the link. Nothing in it waits for a clock.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
};

use gradepaddle_control::{
    Body, Change, ControlState, Input, InstallSnapshot, Member, Message, Outcome, Output, Promise,
    ProposalId, Record, RecoveredState, Replica, ReplicaConfig, ReplicaId, Replicate, View, WriteId,
};

#[path = "../common/event_queue.rs"]
mod event_queue;

use event_queue::EventQueue;

pub const MILLISECOND: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
/// A message without a configuration, in bytes.
const SMALL_MESSAGE: usize = 150;
/// An accepted configuration in the state, in bytes.
const ACCEPTED_HISTORY_BYTES: usize = 24;
/// Capacity of the send queue of a connection, in bytes; the excess is dropped.
const QUEUED_BYTES: usize = 12 * 1024 * 1024;
/// Connections take turns on a link after so many bytes.
const TURN: usize = 15_000;

/// What a link and a disk are like.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    pub bits_per_second: u64,
    /// One way, in microseconds.
    pub delay: u64,
    /// A write and its sync, in microseconds.
    pub write: u64,
}

#[derive(Debug)]
enum Event {
    Carried { place: usize, incarnation: u64 },
    Deliver { to: SocketAddrV4, from: SocketAddrV4, message: Message },
    Wake { place: usize, incarnation: u64 },
    Written { place: usize, incarnation: u64, write_id: WriteId, records: Vec<Record> },
    Start { place: usize },
    Operator,
}

/// What goes from one machine to another.
struct Connection {
    to: SocketAddrV4,
    /// Messages with the bytes that are left of them.
    waiting: VecDeque<(Message, usize)>,
    queued: usize,
}

pub struct Machine {
    pub address: SocketAddrV4,
    pub replica: Option<Replica>,
    pub kept: RecoveredState,
    incarnation: u64,
    first_boot: bool,
    connections: VecDeque<Connection>,
    carrying: bool,
    disk_free: u64,
    next_wake: u64,
}

/// The operator, who sends one change after the other.
#[derive(Debug, Default)]
struct Operator {
    /// Between an acknowledgement and the next change.
    pause: u64,
    body: usize,
    version: u64,
    asked: Option<(ProposalId, u64)>,
    next_proposal_id: u64,
}

/// A cluster of core machines and an operator.
pub struct Fleet {
    pub now: u64,
    events: EventQueue<Event>,
    pub machines: Vec<Machine>,
    speed: Speed,
    losses: usize,
    operator: Operator,
    /// When changes were acknowledged, by version.
    pub acknowledged: BTreeMap<u64, u64>,
    /// How long each acknowledged change took, from its proposal on.
    pub commit_latencies: Vec<u64>,
    /// The longest send queue so far, in bytes.
    pub most_queued: usize,
    /// Partitioned machines.
    cut: Vec<usize>,
}

impl Fleet {
    /// A bootstrapped cluster.
    pub fn bootstrapped(size: usize, losses: usize, speed: Speed) -> Fleet {
        let mut fleet = Fleet {
            now: 1_000 * MILLISECOND,
            events: EventQueue::new(),
            machines: Vec::new(),
            speed,
            losses,
            operator: Operator::default(),
            acknowledged: BTreeMap::new(),
            commit_latencies: Vec::new(),
            most_queued: 0,
            cut: Vec::new(),
        };
        (0..size).for_each(|_| fleet.add());
        let view = fleet.first_view();
        for place in 0..size {
            fleet.start(place);
            fleet.input(place, Input::Bootstrap { view: view.clone() });
        }
        fleet.run_for(SECOND);
        fleet
    }

    fn add(&mut self) {
        let place = self.machines.len();
        self.machines.push(Machine {
            address: format!("10.0.0.{}:7640", place + 1).parse().expect("an address"),
            replica: None,
            kept: RecoveredState::empty(ReplicaId(1_000 + place as u64)),
            incarnation: 0,
            first_boot: true,
            connections: VecDeque::new(),
            carrying: false,
            disk_free: 0,
            next_wake: u64::MAX,
        });
    }

    fn first_view(&self) -> View {
        let member = |(place, machine): (usize, &Machine)| Member {
            id: machine.kept.id,
            address: machine.address,
            zone: zone(place),
        };
        let members: Vec<Member> = self.machines.iter().enumerate().map(member).collect();
        View {
            epoch: 1,
            primary: members[0].id,
            backups: members[1..].iter().take(self.losses).map(|member| member.id).collect(),
            previous_members: Vec::new(),
            target_size: members.len(),
            members,
        }
    }

    /// Restarts all, with this state on the disks of the data set.
    pub fn adopt(&mut self, state: ControlState) {
        let state = Arc::new(state);
        self.operator.version = state.current_version();
        for place in 0..self.machines.len() {
            self.crash(place);
            if let Some(data) = &mut self.machines[place].kept.data {
                data.state = Arc::clone(&state);
            }
        }
        (0..self.machines.len()).for_each(|place| self.start(place));
        self.run_for(4 * SECOND);
    }

    /// From now on a change is sent this long after the one before was acknowledged.
    pub fn change_every(&mut self, pause: u64, body: usize) {
        self.operator.pause = pause;
        self.operator.body = body;
        self.schedule(self.now, Event::Operator);
    }

    /// From now on a write and its sync take this long, in microseconds.
    pub fn slow_disks(&mut self, write: u64) {
        self.speed.write = write;
    }

    /// Partitions a machine from all others; messages in flight to and from it are lost.
    pub fn partition(&mut self, place: usize) {
        let address = self.machines[place].address;
        self.cut.push(place);
        for (other, machine) in self.machines.iter_mut().enumerate() {
            machine.connections.retain(|connection| other != place && connection.to != address);
        }
    }

    pub fn heal_network(&mut self) {
        self.cut.clear();
    }

    pub fn crash(&mut self, place: usize) {
        let machine = &mut self.machines[place];
        machine.replica = None;
        machine.connections.clear();
        machine.carrying = false;
        machine.incarnation += 1;
        machine.next_wake = u64::MAX;
        if self.operator.asked.is_some() {
            self.operator.asked = self.operator.asked.map(|(proposal_id, _)| (proposal_id, 0));
        }
    }

    /// The disk is lost; the machine is another replica from now on.
    pub fn wipe(&mut self, place: usize) {
        self.crash(place);
        let machine = &mut self.machines[place];
        machine.kept = RecoveredState::empty(ReplicaId(machine.kept.id.0 + 100));
        machine.first_boot = false;
    }

    pub fn start_after(&mut self, place: usize, pause: u64) {
        self.schedule(self.now + pause, Event::Start { place });
    }

    fn start(&mut self, place: usize) {
        let own = self.machines[place].address;
        let peers = self.machines.iter().map(|machine| machine.address).filter(|peer| *peer != own).collect();
        let machine = &mut self.machines[place];
        let config = ReplicaConfig::builder()
            .address(own)
            .zone(zone(place))
            .machine_losses(self.losses)
            .first_boot(machine.first_boot)
            .seed(place as u64)
            .build();
        machine.replica = Some(Replica::new(config, machine.kept.clone(), self.now));
        machine.disk_free = self.now;
        self.input(place, Input::Peers(peers));
    }

    pub fn leader(&self) -> Option<usize> {
        let leads =
            |machine: &Machine| machine.replica.as_ref().is_some_and(|one| one.leading(self.now).is_some());
        self.machines.iter().position(leads)
    }

    /// The places of the data set of the view that the leader leads, itself first.
    pub fn data_set(&self) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let Some(known) = self.machines[leader].replica.as_ref().and_then(|one| one.status().view) else {
            return Vec::new();
        };
        let place = |id: &ReplicaId| self.machines.iter().position(|machine| machine.kept.id == *id);
        std::iter::once(leader).chain(known.view.backups.iter().filter_map(place)).collect()
    }

    /// Whether a machine is part of the active view again, and of its data set as much of it as is wanted is there.
    pub fn caught_up(&self, place: usize) -> bool {
        let Some(leader) = self.leader() else { return false };
        let view = |place: usize| self.machines[place].replica.as_ref().and_then(|one| one.status().view);
        let (Some(led), Some(known)) = (view(leader), view(place)) else { return false };
        let member = led.view.member(self.machines[place].kept.id).is_some();
        let whole = led.view.backups.len() >= self.losses.min(led.view.members.len() - 1);
        member && whole && known.active && known.view.epoch == led.view.epoch
    }

    /// Runs until the machine has caught up; says how long that took, or none if it took longer than the limit.
    pub fn catch_up_within(&mut self, place: usize, limit: u64) -> Option<u64> {
        let since = self.now;
        while self.now < since + limit {
            self.run_for(10 * MILLISECOND);
            if self.caught_up(place) {
                return Some(self.now - since);
            }
        }
        None
    }

    pub fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        while self.events.next_at().is_some_and(|next| next <= end) {
            let Some((at, event)) = self.events.pop() else { break };
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(at, event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Carried { place, incarnation } => {
                if self.machines[place].incarnation == incarnation {
                    self.machines[place].carrying = false;
                    self.carry(place);
                }
            }
            Event::Deliver { to, from, message } => {
                let Some(place) = self.machines.iter().position(|machine| machine.address == to) else {
                    return;
                };
                if !self.cut.contains(&place) {
                    self.input(place, Input::Message { from, message });
                }
            }
            Event::Wake { place, incarnation } => {
                if self.machines[place].incarnation == incarnation {
                    self.machines[place].next_wake = u64::MAX;
                    self.input(place, Input::Tick);
                }
            }
            Event::Written { place, incarnation, write_id, records } => {
                let machine = &mut self.machines[place];
                if machine.incarnation == incarnation {
                    records.into_iter().for_each(|record| machine.kept.apply(record));
                    self.input(place, Input::WriteCompleted { write_id });
                }
            }
            Event::Start { place } => self.start(place),
            Event::Operator => self.operate(),
        }
    }

    fn input(&mut self, place: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[place];
        let Some(replica) = machine.replica.as_mut() else { return };
        let mut out = Vec::new();
        replica.handle(now, input, &mut out);
        let wake = replica.next_wake().max(now + 1);
        if wake < machine.next_wake {
            machine.next_wake = wake;
            let incarnation = machine.incarnation;
            self.schedule(wake, Event::Wake { place, incarnation });
        }
        for output in out {
            match output {
                Output::Send { to, message } => self.send(place, to, message),
                Output::Persist { write_id, records } => self.write(place, write_id, records),
                Output::Answer { proposal_id, outcome } => self.answered(proposal_id, outcome),
                _ => {}
            }
        }
    }

    fn send(&mut self, place: usize, to: SocketAddrV4, message: Message) {
        if self.cut.contains(&place) {
            return;
        }
        let bytes = size(&message);
        let connections = &mut self.machines[place].connections;
        let index = connections.iter().position(|connection| connection.to == to).unwrap_or_else(|| {
            connections.push_back(Connection { to, waiting: VecDeque::new(), queued: 0 });
            connections.len() - 1
        });
        let connection = &mut connections[index];
        self.most_queued = self.most_queued.max(connection.queued);
        if connection.queued + bytes <= QUEUED_BYTES {
            connection.queued += bytes;
            connection.waiting.push_back((message, bytes));
        }
        self.carry(place);
    }

    /// Lets the next connection have its turn on the link of a machine.
    fn carry(&mut self, place: usize) {
        let machine = &mut self.machines[place];
        let busy = machine.connections.iter().position(|connection| !connection.waiting.is_empty());
        let Some(index) = busy.filter(|_| !machine.carrying) else { return };
        let Some(mut connection) = machine.connections.remove(index) else { return };
        machine.carrying = true;
        let (from, incarnation, to) = (machine.address, machine.incarnation, connection.to);
        let mut carried = 0;
        while let Some((message, left)) = connection.waiting.pop_front() {
            let part = left.min(TURN - carried);
            carried += part;
            connection.queued -= part;
            let at = self.now + self.takes(carried) + self.speed.delay;
            if part < left {
                connection.waiting.push_front((message, left - part));
                break;
            }
            self.schedule(at, Event::Deliver { to, from, message });
        }
        self.machines[place].connections.push_back(connection);
        self.schedule(self.now + self.takes(carried), Event::Carried { place, incarnation });
    }

    fn takes(&self, bytes: usize) -> u64 {
        bytes as u64 * 8 * SECOND / self.speed.bits_per_second
    }

    fn write(&mut self, place: usize, write_id: WriteId, records: Vec<Record>) {
        let machine = &mut self.machines[place];
        machine.disk_free = machine.disk_free.max(self.now) + self.speed.write;
        let (at, incarnation) = (machine.disk_free, machine.incarnation);
        self.schedule(at, Event::Written { place, incarnation, write_id, records });
    }

    /// Proposes the next change, or the one whose outcome is unknown, to the primary.
    fn operate(&mut self) {
        const POLL_INTERVAL: u64 = 50 * MILLISECOND;
        const ANSWER_TIMEOUT: u64 = SECOND;
        if self.operator.asked.is_none_or(|(_, since)| self.now >= since + ANSWER_TIMEOUT)
            && let Some(leader) = self.leader()
        {
            self.operator.next_proposal_id += 1;
            let proposal_id = ProposalId(self.operator.next_proposal_id);
            self.operator.asked = Some((proposal_id, self.now));
            let change = put(self.operator.version, self.operator.body);
            self.input(leader, Input::Propose { proposal_id, change });
        }
        self.schedule(self.now + POLL_INTERVAL, Event::Operator);
    }

    fn answered(&mut self, proposal_id: ProposalId, outcome: Outcome) {
        match outcome {
            Outcome::Committed => {
                if let Some((_, since)) = self.operator.asked.filter(|(asked, _)| *asked == proposal_id) {
                    self.commit_latencies.push(self.now - since);
                    self.operator.version += 1;
                    self.acknowledged.insert(self.operator.version, self.now);
                    // The next one is proposed once the pause has passed.
                    let since = (self.now + self.operator.pause).saturating_sub(SECOND);
                    self.operator.asked = Some((ProposalId(u64::MAX), since));
                }
            }
            Outcome::Conflict { .. } | Outcome::VersionNotHigher { .. } => panic!("refused: {outcome:?}"),
            Outcome::NotPrimary { .. } | Outcome::Unknown => {}
        }
    }
}

/// The change on top of a version.
pub fn put(version: u64, body: usize) -> Change {
    Change::PutConfiguration {
        if_match: version,
        version: version + 1,
        body: Arc::from(vec![version as u8; body]),
        fingerprint: u128::from(version + 1),
    }
}

fn zone(place: usize) -> Arc<str> {
    Arc::from(format!("zone-{}", place % 3))
}

/// About what a message takes on the wire, in bytes.
fn size(message: &Message) -> usize {
    let state = |state: &ControlState| {
        let body = state.configuration.as_ref().map_or(0, |configuration| configuration.body.len());
        body + state.accepted.len() * ACCEPTED_HISTORY_BYTES
    };
    let content = match &message.body {
        Body::InstallSnapshot(InstallSnapshot { state: Some(whole), .. }) => state(whole),
        Body::Promise(Promise { data: Some(data), .. }) => state(&data.state),
        Body::Replicate(Replicate { change: Change::PutConfiguration { body, .. }, .. }) => body.len(),
        _ => 0,
    };
    SMALL_MESSAGE + content
}
