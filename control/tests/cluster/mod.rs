//! A cluster of a few replicas without random faults, whose clock a test advances.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
};

use gradepaddle_control::{
    Change, ControlState, Input, KnownView, Member, Message, Outcome, Output, ProposalId, RecoveredState,
    Replica, ReplicaConfig, ReplicaId, View,
};

pub const MILLISECOND: u64 = 1_000;
/// The clock advances in steps of this length, in microseconds.
const STEP: u64 = 5 * MILLISECOND;

/// How a disk behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    Healthy,
    Full,
    Hanging,
}

pub struct Node {
    pub address: SocketAddrV4,
    pub replica: Option<Replica>,
    pub stored: RecoveredState,
    pub disk: Disk,
    waiting: VecDeque<(gradepaddle_control::WriteId, Vec<gradepaddle_control::Record>)>,
    pub ready_to_exit: bool,
    pub suspended: bool,
    pub writes: usize,
    first_boot: bool,
}

/// The replicas; nodes are numbered from 0, and node 0 is the first primary.
pub struct Cluster {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub losses: usize,
    in_flight: VecDeque<(SocketAddrV4, SocketAddrV4, Message)>,
    cut: BTreeSet<SocketAddrV4>,
    /// Links that carry nothing, each in one direction.
    cut_links: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Inputs that have arrived for suspended nodes.
    deferred: Vec<(usize, Input)>,
    pub answers: BTreeMap<ProposalId, Outcome>,
    next_proposal_id: u64,
}

impl Cluster {
    /// A bootstrapped cluster whose primary is node 0.
    pub fn bootstrapped(size: usize, losses: usize) -> Cluster {
        let mut cluster = Cluster::bare(size, losses);
        let view = cluster.first_view(size);
        for node_index in 0..size {
            cluster.input(node_index, Input::Bootstrap { view: view.clone() });
        }
        cluster.run(100);
        assert_eq!(cluster.leader(), Some(0));
        cluster
    }

    /// Replicas that know no view.
    pub fn bare(size: usize, losses: usize) -> Cluster {
        let mut cluster = Cluster {
            now: 1_000 * MILLISECOND,
            nodes: Vec::new(),
            losses,
            in_flight: VecDeque::new(),
            cut: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            deferred: Vec::new(),
            answers: BTreeMap::new(),
            next_proposal_id: 0,
        };
        for _ in 0..size {
            cluster.add(true);
        }
        cluster
    }

    pub fn first_view(&self, size: usize) -> View {
        let members: Vec<Member> = (0..size).map(|node_index| self.member(node_index)).collect();
        View {
            epoch: 1,
            primary: members[0].id,
            backups: members[1..].iter().take(self.losses.max(1)).map(|member| member.id).collect(),
            previous_members: Vec::new(),
            target_size: size,
            members,
        }
    }

    fn member(&self, node_index: usize) -> Member {
        let node = &self.nodes[node_index];
        Member { id: node.stored.id, address: node.address, zone: zone(node_index) }
    }

    /// Adds a machine with an empty disk at a new address.
    pub fn add(&mut self, first_boot: bool) -> usize {
        let node_index = self.nodes.len();
        let address = format!("10.0.0.{}:7640", node_index + 1).parse().expect("an address");
        self.nodes.push(Node {
            address,
            replica: None,
            stored: RecoveredState::empty(ReplicaId(1_000 + node_index as u64)),
            disk: Disk::Healthy,
            waiting: VecDeque::new(),
            ready_to_exit: false,
            suspended: false,
            writes: 0,
            first_boot,
        });
        self.start(node_index);
        node_index
    }

    pub fn start(&mut self, node_index: usize) {
        let peers =
            self.nodes.iter().map(|node| node.address).filter(|peer| *peer != self.nodes[node_index].address);
        let peers: Vec<SocketAddrV4> = peers.collect();
        let node = &mut self.nodes[node_index];
        let config = ReplicaConfig::builder()
            .address(node.address)
            .zone(zone(node_index))
            .machine_losses(self.losses)
            .first_boot(node.first_boot)
            .build();
        node.replica = Some(Replica::new(config, node.stored.clone(), self.now));
        self.input(node_index, Input::Peers(peers));
    }

    pub fn crash(&mut self, node_index: usize) {
        self.nodes[node_index].replica = None;
        self.nodes[node_index].waiting.clear();
    }

    /// Stops the node and replaces its disk by an empty one, which gives it another replica id.
    pub fn wipe(&mut self, node_index: usize) {
        self.crash(node_index);
        let id = ReplicaId(self.nodes[node_index].stored.id.0 + 100);
        self.nodes[node_index].stored = RecoveredState::empty(id);
        self.nodes[node_index].first_boot = false;
    }

    /// Restarts all nodes, with this state on the disks of the primary and the backups.
    pub fn restart_with_state(&mut self, state: ControlState) {
        let state = Arc::new(state);
        for node_index in 0..self.nodes.len() {
            self.crash(node_index);
            if let Some(data) = &mut self.nodes[node_index].stored.data {
                data.state = Arc::clone(&state);
            }
        }
        (0..self.nodes.len()).for_each(|node_index| self.start(node_index));
        self.run(3_000);
    }

    pub fn cut(&mut self, node_index: usize) {
        self.cut.insert(self.nodes[node_index].address);
    }

    pub fn heal_network(&mut self) {
        self.cut.clear();
        self.cut_links.clear();
    }

    /// Drops all messages from one node to the other.
    pub fn cut_link(&mut self, from: usize, to: usize) {
        self.cut_links.insert((self.nodes[from].address, self.nodes[to].address));
    }

    pub fn suspend(&mut self, node_index: usize) {
        self.nodes[node_index].suspended = true;
    }

    /// Resumes the node, with the inputs that have arrived meanwhile.
    pub fn resume(&mut self, node_index: usize) {
        self.nodes[node_index].suspended = false;
        let (ready, deferred) =
            std::mem::take(&mut self.deferred).into_iter().partition(|(to, _)| *to == node_index);
        self.deferred = deferred;
        let ready: Vec<(usize, Input)> = ready;
        ready.into_iter().for_each(|(node_index, input)| self.input(node_index, input));
    }

    pub fn set_disk(&mut self, node_index: usize, disk: Disk) {
        self.nodes[node_index].disk = disk;
    }

    pub fn replica(&self, node_index: usize) -> &Replica {
        self.nodes[node_index].replica.as_ref().expect("the replica is running")
    }

    pub fn view(&self, node_index: usize) -> KnownView {
        self.replica(node_index).status().view.expect("the replica knows a view")
    }

    /// The nodes that are members of the primary's view.
    pub fn members(&self) -> Vec<usize> {
        let view = self.view(self.leader().expect("there is a leader")).view;
        (0..self.nodes.len())
            .filter(|node_index| view.member(self.nodes[*node_index].stored.id).is_some())
            .collect()
    }

    pub fn backups(&self) -> Vec<usize> {
        let view = self.view(self.leader().expect("there is a leader")).view;
        (0..self.nodes.len())
            .filter(|node_index| view.backups.contains(&self.nodes[*node_index].stored.id))
            .collect()
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |node_index: &usize| {
            self.nodes[*node_index]
                .replica
                .as_ref()
                .is_some_and(|replica| replica.leading(self.now).is_some())
        };
        (0..self.nodes.len()).find(leads)
    }

    /// Proposes a change and returns the id of the proposal.
    pub fn propose(&mut self, node_index: usize, change: Change) -> ProposalId {
        self.next_proposal_id += 1;
        let proposal_id = ProposalId(self.next_proposal_id);
        self.input(node_index, Input::Propose { proposal_id, change });
        proposal_id
    }

    pub fn answer(&self, proposal_id: ProposalId) -> Option<Outcome> {
        self.answers.get(&proposal_id).copied()
    }

    pub fn input(&mut self, node_index: usize, input: Input) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        if node.suspended {
            return self.deferred.push((node_index, input));
        }
        let Some(replica) = node.replica.as_mut() else { return };
        let mut out = Vec::new();
        replica.handle(now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, message } => self.in_flight.push_back((node.address, to, message)),
                Output::Persist { write_id, records } => {
                    node.writes += 1;
                    node.waiting.push_back((write_id, records));
                }
                Output::Answer { proposal_id, outcome } => {
                    self.answers.insert(proposal_id, outcome);
                }
                Output::ReadyToExit => node.ready_to_exit = true,
                _ => {}
            }
        }
    }

    /// Advances the clock by this many milliseconds.
    pub fn run(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds * MILLISECOND;
        while self.now < end {
            self.settle();
            self.now += STEP;
            for node_index in 0..self.nodes.len() {
                if !self.nodes[node_index].suspended {
                    self.input(node_index, Input::Tick);
                }
            }
        }
        self.settle();
    }

    /// Delivers messages and completes writes until none are pending.
    pub fn settle(&mut self) {
        loop {
            let wrote = (0..self.nodes.len()).any(|node_index| self.write(node_index));
            let Some((from, to, message)) = self.in_flight.pop_front() else {
                if wrote { continue } else { return }
            };
            let node_index = self.nodes.iter().position(|node| node.address == to);
            let cut =
                self.cut.contains(&from) || self.cut.contains(&to) || self.cut_links.contains(&(from, to));
            if let Some(node_index) = node_index.filter(|_| !cut) {
                self.input(node_index, Input::Message { from, message });
            }
        }
    }

    fn write(&mut self, node_index: usize) -> bool {
        let node = &mut self.nodes[node_index];
        if node.disk == Disk::Hanging || node.suspended {
            return false;
        }
        let Some((write_id, records)) = node.waiting.pop_front() else { return false };
        if node.disk == Disk::Full {
            self.input(node_index, Input::WriteFailed { write_id });
        } else {
            records.into_iter().for_each(|record| node.stored.apply(record));
            self.input(node_index, Input::WriteCompleted { write_id });
        }
        true
    }
}

fn zone(node_index: usize) -> Arc<str> {
    Arc::from(format!("zone-{}", node_index % 3))
}

/// A configuration on top of a version.
pub fn put(if_match: u64, version: u64, fingerprint: u128) -> Change {
    Change::PutConfiguration { if_match, version, body: Arc::from(b"{}".as_slice()), fingerprint }
}

pub fn name(model: &str, version: u64) -> Change {
    Change::NameVersion { model: model.to_owned(), version }
}
