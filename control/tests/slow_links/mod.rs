//! A simulated cluster whose links have a limited bandwidth. Messages to one machine stay in order, and the connections
//! of a machine share its link. Nothing waits for a real clock.

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
/// Size of a message without a configuration, in bytes.
const SMALL_MESSAGE: usize = 150;
/// Size of an accepted configuration in the state, in bytes.
const ACCEPTED_HISTORY_BYTES: usize = 24;
/// Capacity of the send queue of a connection, in bytes; the excess is dropped.
const SEND_QUEUE_CAPACITY: usize = 12 * 1024 * 1024;
/// Connections take turns on a link; a turn ends after this many bytes.
const BYTES_PER_TURN: usize = 15_000;

/// The speed of links and disks.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    pub bits_per_second: u64,
    /// Propagation delay of a link in one direction, in microseconds.
    pub delay: u64,
    /// Duration of a write and its sync, in microseconds.
    pub write: u64,
}

#[derive(Debug)]
enum Event {
    Transmitted { node_index: usize, incarnation: u64 },
    Deliver { to: SocketAddrV4, from: SocketAddrV4, message: Message },
    Wake { node_index: usize, incarnation: u64 },
    Written { node_index: usize, incarnation: u64, write_id: WriteId, records: Vec<Record> },
    Start { node_index: usize },
    Operator,
}

/// The send queue from one machine to another.
struct Connection {
    to: SocketAddrV4,
    /// Messages, with the number of bytes that remain to be sent.
    waiting: VecDeque<(Message, usize)>,
    queued: usize,
}

pub struct Machine {
    pub address: SocketAddrV4,
    pub replica: Option<Replica>,
    pub stored: RecoveredState,
    incarnation: u64,
    first_boot: bool,
    connections: VecDeque<Connection>,
    transmitting: bool,
    disk_free: u64,
    next_wake: u64,
}

/// An operator that sends one change after the other.
#[derive(Debug, Default)]
struct Operator {
    /// The time between an acknowledgement and the next change.
    pause: u64,
    body: usize,
    version: u64,
    asked: Option<(ProposalId, u64)>,
    next_proposal_id: u64,
}

/// A cluster of core machines and an operator.
pub struct Cluster {
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
    pub max_queued: usize,
    /// Partitioned machines.
    cut: Vec<usize>,
}

impl Cluster {
    /// A bootstrapped cluster.
    pub fn bootstrapped(size: usize, losses: usize, speed: Speed) -> Cluster {
        let mut cluster = Cluster {
            now: 1_000 * MILLISECOND,
            events: EventQueue::new(),
            machines: Vec::new(),
            speed,
            losses,
            operator: Operator::default(),
            acknowledged: BTreeMap::new(),
            commit_latencies: Vec::new(),
            max_queued: 0,
            cut: Vec::new(),
        };
        (0..size).for_each(|_| cluster.add());
        let view = cluster.first_view();
        for node_index in 0..size {
            cluster.start(node_index);
            cluster.input(node_index, Input::Bootstrap { view: view.clone() });
        }
        cluster.run_for(SECOND);
        cluster
    }

    fn add(&mut self) {
        let node_index = self.machines.len();
        self.machines.push(Machine {
            address: format!("10.0.0.{}:7640", node_index + 1).parse().expect("an address"),
            replica: None,
            stored: RecoveredState::empty(ReplicaId(1_000 + node_index as u64)),
            incarnation: 0,
            first_boot: true,
            connections: VecDeque::new(),
            transmitting: false,
            disk_free: 0,
            next_wake: u64::MAX,
        });
    }

    fn first_view(&self) -> View {
        let member = |(node_index, machine): (usize, &Machine)| Member {
            id: machine.stored.id,
            address: machine.address,
            zone: zone(node_index),
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

    /// Restarts all machines, with this state on the disks of the primary and the backups.
    pub fn restart_with_state(&mut self, state: ControlState) {
        let state = Arc::new(state);
        self.operator.version = state.current_version();
        for node_index in 0..self.machines.len() {
            self.crash(node_index);
            if let Some(data) = &mut self.machines[node_index].stored.data {
                data.state = Arc::clone(&state);
            }
        }
        (0..self.machines.len()).for_each(|node_index| self.start(node_index));
        self.run_for(4 * SECOND);
    }

    /// From now on, each change is sent this long after the previous one was acknowledged.
    pub fn change_every(&mut self, pause: u64, body: usize) {
        self.operator.pause = pause;
        self.operator.body = body;
        self.schedule(self.now, Event::Operator);
    }

    /// From now on, a write and its sync take this long, in microseconds.
    pub fn slow_disks(&mut self, write: u64) {
        self.speed.write = write;
    }

    /// Partitions a machine from all others; messages in flight to and from it are lost.
    pub fn partition(&mut self, node_index: usize) {
        let address = self.machines[node_index].address;
        self.cut.push(node_index);
        for (other, machine) in self.machines.iter_mut().enumerate() {
            machine.connections.retain(|connection| other != node_index && connection.to != address);
        }
    }

    pub fn heal_network(&mut self) {
        self.cut.clear();
    }

    pub fn crash(&mut self, node_index: usize) {
        let machine = &mut self.machines[node_index];
        machine.replica = None;
        machine.connections.clear();
        machine.transmitting = false;
        machine.incarnation += 1;
        machine.next_wake = u64::MAX;
        if self.operator.asked.is_some() {
            self.operator.asked = self.operator.asked.map(|(proposal_id, _)| (proposal_id, 0));
        }
    }

    /// The machine loses its disk, and has another replica id from now on.
    pub fn wipe(&mut self, node_index: usize) {
        self.crash(node_index);
        let machine = &mut self.machines[node_index];
        machine.stored = RecoveredState::empty(ReplicaId(machine.stored.id.0 + 100));
        machine.first_boot = false;
    }

    pub fn start_after(&mut self, node_index: usize, pause: u64) {
        self.schedule(self.now + pause, Event::Start { node_index });
    }

    fn start(&mut self, node_index: usize) {
        let own = self.machines[node_index].address;
        let peers = self.machines.iter().map(|machine| machine.address).filter(|peer| *peer != own).collect();
        let machine = &mut self.machines[node_index];
        let config = ReplicaConfig::builder()
            .address(own)
            .zone(zone(node_index))
            .machine_losses(self.losses)
            .first_boot(machine.first_boot)
            .seed(node_index as u64)
            .build();
        machine.replica = Some(Replica::new(config, machine.stored.clone(), self.now));
        machine.disk_free = self.now;
        self.input(node_index, Input::Peers(peers));
    }

    pub fn leader(&self) -> Option<usize> {
        let leads =
            |machine: &Machine| machine.replica.as_ref().is_some_and(|one| one.leading(self.now).is_some());
        self.machines.iter().position(leads)
    }

    /// The machines that hold the data in the primary's view, the primary first.
    pub fn data_set(&self) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let Some(known) = self.machines[leader].replica.as_ref().and_then(|one| one.status().view) else {
            return Vec::new();
        };
        let node_index = |id: &ReplicaId| self.machines.iter().position(|machine| machine.stored.id == *id);
        std::iter::once(leader).chain(known.view.backups.iter().filter_map(node_index)).collect()
    }

    /// Whether the machine is a member of the active view and knows it, and the view has as many backups as it should.
    pub fn caught_up(&self, node_index: usize) -> bool {
        let Some(leader) = self.leader() else { return false };
        let view =
            |node_index: usize| self.machines[node_index].replica.as_ref().and_then(|one| one.status().view);
        let (Some(active_view), Some(known)) = (view(leader), view(node_index)) else { return false };
        let member = active_view.view.member(self.machines[node_index].stored.id).is_some();
        let whole = active_view.view.backups.len() >= self.losses.min(active_view.view.members.len() - 1);
        member && whole && known.active && known.view.epoch == active_view.view.epoch
    }

    /// Runs until the machine has caught up; returns how long that took, or none if it took longer than the limit.
    pub fn catch_up_within(&mut self, node_index: usize, limit: u64) -> Option<u64> {
        let since = self.now;
        while self.now < since + limit {
            self.run_for(10 * MILLISECOND);
            if self.caught_up(node_index) {
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
            self.handle_event(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(at, event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Transmitted { node_index, incarnation } => {
                if self.machines[node_index].incarnation == incarnation {
                    self.machines[node_index].transmitting = false;
                    self.transmit(node_index);
                }
            }
            Event::Deliver { to, from, message } => {
                let Some(node_index) = self.machines.iter().position(|machine| machine.address == to) else {
                    return;
                };
                if !self.cut.contains(&node_index) {
                    self.input(node_index, Input::Message { from, message });
                }
            }
            Event::Wake { node_index, incarnation } => {
                if self.machines[node_index].incarnation == incarnation {
                    self.machines[node_index].next_wake = u64::MAX;
                    self.input(node_index, Input::Tick);
                }
            }
            Event::Written { node_index, incarnation, write_id, records } => {
                let machine = &mut self.machines[node_index];
                if machine.incarnation == incarnation {
                    records.into_iter().for_each(|record| machine.stored.apply(record));
                    self.input(node_index, Input::WriteCompleted { write_id });
                }
            }
            Event::Start { node_index } => self.start(node_index),
            Event::Operator => self.tick_operator(),
        }
    }

    fn input(&mut self, node_index: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[node_index];
        let Some(replica) = machine.replica.as_mut() else { return };
        let mut out = Vec::new();
        replica.handle(now, input, &mut out);
        let wake = replica.next_wake().max(now + 1);
        if wake < machine.next_wake {
            machine.next_wake = wake;
            let incarnation = machine.incarnation;
            self.schedule(wake, Event::Wake { node_index, incarnation });
        }
        for output in out {
            match output {
                Output::Send { to, message } => self.send(node_index, to, message),
                Output::Persist { write_id, records } => self.write(node_index, write_id, records),
                Output::Answer { proposal_id, outcome } => self.answered(proposal_id, outcome),
                _ => {}
            }
        }
    }

    fn send(&mut self, node_index: usize, to: SocketAddrV4, message: Message) {
        if self.cut.contains(&node_index) {
            return;
        }
        let bytes = size(&message);
        let connections = &mut self.machines[node_index].connections;
        let index = connections.iter().position(|connection| connection.to == to).unwrap_or_else(|| {
            connections.push_back(Connection { to, waiting: VecDeque::new(), queued: 0 });
            connections.len() - 1
        });
        let connection = &mut connections[index];
        self.max_queued = self.max_queued.max(connection.queued);
        if connection.queued + bytes <= SEND_QUEUE_CAPACITY {
            connection.queued += bytes;
            connection.waiting.push_back((message, bytes));
        }
        self.transmit(node_index);
    }

    /// Gives the next connection its turn on the link of a machine.
    fn transmit(&mut self, node_index: usize) {
        let machine = &mut self.machines[node_index];
        let busy = machine.connections.iter().position(|connection| !connection.waiting.is_empty());
        let Some(index) = busy.filter(|_| !machine.transmitting) else { return };
        let Some(mut connection) = machine.connections.remove(index) else { return };
        machine.transmitting = true;
        let (from, incarnation, to) = (machine.address, machine.incarnation, connection.to);
        let mut transmitted = 0;
        while let Some((message, left)) = connection.waiting.pop_front() {
            let part = left.min(BYTES_PER_TURN - transmitted);
            transmitted += part;
            connection.queued -= part;
            let at = self.now + self.transmission_time(transmitted) + self.speed.delay;
            if part < left {
                connection.waiting.push_front((message, left - part));
                break;
            }
            self.schedule(at, Event::Deliver { to, from, message });
        }
        self.machines[node_index].connections.push_back(connection);
        self.schedule(
            self.now + self.transmission_time(transmitted),
            Event::Transmitted { node_index, incarnation },
        );
    }

    fn transmission_time(&self, bytes: usize) -> u64 {
        bytes as u64 * 8 * SECOND / self.speed.bits_per_second
    }

    fn write(&mut self, node_index: usize, write_id: WriteId, records: Vec<Record>) {
        let machine = &mut self.machines[node_index];
        machine.disk_free = machine.disk_free.max(self.now) + self.speed.write;
        let (at, incarnation) = (machine.disk_free, machine.incarnation);
        self.schedule(at, Event::Written { node_index, incarnation, write_id, records });
    }

    /// Proposes the next change to the primary, or again the one whose outcome is unknown.
    fn tick_operator(&mut self) {
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
            Outcome::Conflict { .. } | Outcome::VersionNotHigher { .. } => {
                panic!("change rejected: {outcome:?}")
            }
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

fn zone(node_index: usize) -> Arc<str> {
    Arc::from(format!("zone-{}", node_index % 3))
}

/// Approximate size of a message on the wire, in bytes.
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
