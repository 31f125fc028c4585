//! A fleet in simulated time, with seeded delays, losses, partitions and restarts. No test sleeps.

#![allow(dead_code, reason = "each test file uses a part of the module")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use fastrand::Rng;
use gradepaddle_gossip::{
    Counters, Entry, Gossip, GossipConfig, Item, Kind, Message, Offer, Output, Peer, ReplicationFactor, Stamp,
};

/// A millisecond of simulated time.
pub const MS: u64 = 1_000;
/// A second of simulated time.
pub const SECOND: u64 = 1_000_000;
/// Number of zones; nodes are assigned to them round-robin.
const ZONES: usize = 3;
/// One-way delay within a zone, in microseconds.
const SAME_ZONE_DELAY_US: std::ops::Range<u64> = 100..500;
/// One-way delay between zones, in microseconds.
const CROSS_ZONE_DELAY_US: std::ops::Range<u64> = 500..2_000;

/// The kind of the tests' items.
pub const KIND: Kind = Kind(3);

/// An item of the tests' kind.
pub fn item(key: &str, major: u64, payload: &[u8]) -> Item {
    let stamp = Stamp { major, minor: 0 };
    Item { kind: KIND, key: Arc::from(key), stamp, payload: Arc::from(payload), removed: false }
}

/// A tombstone of the tests' kind.
pub fn tombstone(key: &str, major: u64) -> Item {
    Item { removed: true, ..item(key, major, b"") }
}

/// An incompressible payload.
pub fn incompressible(bytes: usize) -> Vec<u8> {
    let mut rng = Rng::with_seed(bytes as u64);
    (0..bytes).map(|_| rng.u8(..)).collect()
}

/// An offer of a node that sends only whole items.
pub fn whole_offer(entries: &[Entry]) -> Message {
    let offers = entries.iter().map(|entry| Offer { entry: entry.clone(), encoding: None });
    Message::Offer { offers: offers.collect() }
}

/// The address of a node.
pub fn address(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (node / 250) as u8, (node % 250) as u8 + 1), 7000)
}

fn node_of(address: SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: u64,
    sequence: u64,
    to: usize,
}

/// The link of a node. It transmits one message at a time in each direction.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    /// 0 for a link of unlimited bandwidth.
    bytes_per_second: u64,
    up_free_at: u64,
    down_free_at: u64,
}

impl Link {
    fn transfer_us(self, bytes: usize) -> u64 {
        (bytes as u64 * SECOND).checked_div(self.bytes_per_second).unwrap_or(0)
    }

    /// When a message that is queued now has been sent over this link.
    fn send(&mut self, now: u64, bytes: usize) -> u64 {
        self.up_free_at = self.up_free_at.max(now) + self.transfer_us(bytes);
        self.up_free_at
    }

    /// When a message that reaches this link at `at` has been received over it.
    fn receive(&mut self, at: u64, bytes: usize) -> u64 {
        self.down_free_at = self.down_free_at.max(at) + self.transfer_us(bytes);
        self.down_free_at
    }
}

/// When and after how many hops a node merged an item.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Simulated time.
    pub at: u64,
    /// Hops from the publisher.
    pub hops: u32,
}

/// A simulated fleet.
pub struct Simulation {
    pub now: u64,
    pub nodes: Vec<Option<Gossip>>,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Nodes of different groups don't reach each other.
    pub group: Vec<usize>,
    /// Arrivals by node, key and stamp.
    pub arrivals: BTreeMap<(usize, Arc<str>, u64), Arrival>,
    /// Whether arrivals are recorded.
    pub keeps_arrivals: bool,
    /// Times of acknowledgments (`true`) and failed ones by publish id.
    pub acknowledgments: BTreeMap<u64, (u64, bool)>,
    /// Nodes of a build without block transfer.
    pub older_build: Vec<bool>,
    /// Bytes of messages with payload that each node has received.
    pub payload_received: Vec<u64>,
    /// The largest digest and the largest message seen.
    pub largest_digest: usize,
    pub largest_message: usize,
    rng: Rng,
    sequence: u64,
    events: BinaryHeap<Reverse<Event>>,
    in_flight: BTreeMap<u64, (usize, Message)>,
    wakes: Vec<u64>,
    links: Vec<Link>,
}

impl Simulation {
    /// A fleet whose nodes have all other nodes as peers.
    pub fn new(nodes: usize, seed: u64) -> Self {
        let mut simulation = Self::without_peers(nodes, seed);
        (0..nodes).for_each(|node| simulation.set_all_peers(node));
        simulation
    }

    /// A fleet whose nodes have no peers.
    pub fn without_peers(nodes: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut simulation = Self {
            now: SECOND,
            nodes: Vec::new(),
            loss: 0.0,
            group: vec![0; nodes],
            older_build: vec![false; nodes],
            arrivals: BTreeMap::new(),
            keeps_arrivals: true,
            acknowledgments: BTreeMap::new(),
            payload_received: vec![0; nodes],
            largest_digest: 0,
            largest_message: 0,
            rng: rng.fork(),
            sequence: 0,
            events: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            wakes: vec![u64::MAX; nodes],
            links: vec![Link::default(); nodes],
        };
        simulation.nodes = (0..nodes).map(|node| Some(simulation.new_node(node))).collect();
        simulation
    }

    fn new_node(&mut self, node: usize) -> Gossip {
        let config = GossipConfig::builder().address(address(node)).seed(self.rng.u64(..)).build();
        Gossip::new(config, self.now)
    }

    /// Sets the bandwidth of a node's link in each direction.
    pub fn set_link(&mut self, node: usize, bytes_per_second: u64) {
        self.links[node].bytes_per_second = bytes_per_second;
    }

    /// Makes all other running nodes the peers of a node.
    pub fn set_all_peers(&mut self, node: usize) {
        let others = (0..self.nodes.len()).filter(|other| *other != node && self.nodes[*other].is_some());
        let peers: Vec<Peer> = others
            .map(|other| Peer { address: address(other), same_zone: other % ZONES == node % ZONES })
            .collect();
        self.set_peers(node, &peers);
    }

    pub fn set_peers(&mut self, node: usize, peers: &[Peer]) {
        let now = self.now;
        self.node(node).set_peers(now, peers);
        self.schedule_wake(node);
    }

    pub fn node(&mut self, node: usize) -> &mut Gossip {
        self.nodes[node].as_mut().expect("the node is running")
    }

    /// Stops a node.
    pub fn stop(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// Restarts a node without items, with all running nodes as its peers.
    pub fn restart(&mut self, node: usize) {
        let new_node = self.new_node(node);
        self.nodes[node] = Some(new_node);
        self.wakes[node] = u64::MAX;
        self.set_all_peers(node);
    }

    pub fn publish(&mut self, node: usize, item: Item) {
        let (now, mut out) = (self.now, Vec::new());
        self.node(node).publish(now, item, &mut out);
        self.execute(node, None, out);
    }

    pub fn publish_acknowledged(
        &mut self,
        node: usize,
        item: Item,
        publish_id: u64,
        copies: usize,
        prefer: &[SocketAddrV4],
    ) {
        let (now, mut out) = (self.now, Vec::new());
        let copies = ReplicationFactor::anywhere(copies, prefer);
        self.node(node).publish_acknowledged(now, item, publish_id, copies, &mut out);
        self.execute(node, None, out);
    }

    /// Publishes an item with a replication factor inside and outside a group of nodes.
    pub fn publish_with_replication(
        &mut self,
        node: usize,
        item: Item,
        publish_id: u64,
        copies: ReplicationFactor<'_>,
    ) {
        let (now, mut out) = (self.now, Vec::new());
        self.node(node).publish_acknowledged(now, item, publish_id, copies, &mut out);
        self.execute(node, None, out);
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: u64) {
        while self.step(until) {}
        self.now = self.now.max(until);
    }

    /// Runs for a duration.
    pub fn run_for(&mut self, time: u64) {
        self.run_until(self.now + time);
    }

    /// Runs until a condition holds, at most until a time. Returns whether it holds.
    pub fn run_until_condition(&mut self, until: u64, mut holds: impl FnMut(&Self) -> bool) -> bool {
        loop {
            if holds(self) {
                return true;
            }
            if !self.step(until) {
                self.now = self.now.max(until);
                return holds(self);
            }
        }
    }

    fn step(&mut self, until: u64) -> bool {
        if self.events.peek().is_none_or(|Reverse(event)| event.at > until) {
            return false;
        }
        let Some(Reverse(Event { at, sequence, to })) = self.events.pop() else { return false };
        self.now = at;
        match self.in_flight.remove(&sequence) {
            Some((from, message)) => self.deliver(from, to, message),
            None if self.wakes[to] == at => self.wake(to),
            None => {}
        }
        true
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.group[from] != self.group[to] {
            return;
        }
        let now = self.now;
        let Some(node) = &mut self.nodes[to] else { return };
        if let Message::Push { .. } | Message::Block(_) = message {
            self.payload_received[to] += message.size() as u64;
        }
        let mut out = Vec::new();
        node.receive(now, address(from), message, &mut out);
        self.execute(to, Some(from), out);
    }

    fn wake(&mut self, to: usize) {
        self.wakes[to] = u64::MAX;
        let now = self.now;
        let Some(node) = &mut self.nodes[to] else { return };
        let mut out = Vec::new();
        node.tick(now, &mut out);
        assert!(node.next_wake() > now, "a tick leaves nothing due");
        self.execute(to, None, out);
    }

    fn execute(&mut self, node: usize, from: Option<usize>, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(node, node_of(to), message),
                Output::Changed(item) => self.record_arrival(node, from, &item),
                Output::Fetch(_) => {}
                Output::Acknowledged { publish_id } => self.record_acknowledgment(publish_id, true),
                Output::AcknowledgmentFailed { publish_id } => self.record_acknowledgment(publish_id, false),
            }
        }
        self.schedule_wake(node);
    }

    fn record_acknowledgment(&mut self, publish_id: u64, acknowledged: bool) {
        let before = self.acknowledgments.insert(publish_id, (self.now, acknowledged));
        assert!(before.is_none(), "a publish_id is reported once");
    }

    fn record_arrival(&mut self, node: usize, from: Option<usize>, item: &Item) {
        if !self.keeps_arrivals {
            return;
        }
        let key = |node: usize| (node, Arc::clone(&item.key), item.stamp.major);
        let hops = from.and_then(|from| self.arrivals.get(&key(from))).map_or(0, |arrival| arrival.hops + 1);
        self.arrivals.insert(key(node), Arrival { at: self.now, hops });
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        assert_ne!(from, to, "a node sends no message to itself");
        self.largest_message = self.largest_message.max(message.size());
        if let Message::Digest { .. } = message {
            self.largest_digest = self.largest_digest.max(message.size());
        }
        if self.rng.f64() < self.loss || self.group[from] != self.group[to] {
            return;
        }
        let Some(message) = self.translate_for_build(from, to, message) else { return };
        let delay =
            self.rng.u64(if from % ZONES == to % ZONES { SAME_ZONE_DELAY_US } else { CROSS_ZONE_DELAY_US });
        let bytes = message.size();
        let sent = self.links[from].send(self.now, bytes);
        let arrives = self.links[to].receive(sent + delay, bytes);
        let sequence = self.schedule(arrives, to);
        self.in_flight.insert(sequence, (from, message));
    }

    /// Translates a message to what an older build sends or decodes; `None` for one that it does not know.
    fn translate_for_build(&self, from: usize, to: usize, message: Message) -> Option<Message> {
        if !self.older_build[from] && !self.older_build[to] {
            return Some(message);
        }
        match message {
            Message::Offer { offers } => {
                let entries: Vec<Entry> = offers.into_iter().map(|offer| offer.entry).collect();
                Some(whole_offer(&entries))
            }
            Message::Fetch { entries, .. } => Some(Message::Fetch { entries, by_blocks: false }),
            Message::FetchBlock(_) | Message::Block(_) | Message::BlockRefused(_) => None,
            known => Some(known),
        }
    }

    fn schedule(&mut self, at: u64, to: usize) -> u64 {
        self.sequence += 1;
        self.events.push(Reverse(Event { at, sequence: self.sequence, to }));
        self.sequence
    }

    fn schedule_wake(&mut self, node: usize) {
        let Some(gossip) = &self.nodes[node] else { return };
        let at = gossip.next_wake().max(self.now);
        if at < self.wakes[node] {
            self.wakes[node] = at;
            self.schedule(at, node);
        } else if at > self.wakes[node] {
            // The earlier wake-up finds nothing due and schedules the later one.
        }
    }

    /// Whether all running nodes hold an item with this stamp.
    pub fn all_have_item(&self, item: &Item) -> bool {
        self.nodes.iter().flatten().all(|node| node.get(item.kind, &item.key) == Some(item))
    }

    /// When the last node merged the item `configuration` with this stamp or a higher one; `None` if a node has not.
    pub fn reached_by_all(&self, major: u64) -> Option<u64> {
        let reached_by = |node: usize| {
            let newer = self
                .arrivals
                .iter()
                .filter(|((by, key, stamp), _)| *by == node && **key == *"configuration" && *stamp >= major);
            newer.map(|(_, arrival)| arrival.at).min()
        };
        (0..self.nodes.len()).map(reached_by).try_fold(0, |latest, at| Some(latest.max(at?)))
    }

    /// The time of the last arrival of an item, and its maximum number of hops.
    pub fn last_arrival(&self, item: &Item) -> Arrival {
        let of_item = (0..self.nodes.len())
            .filter_map(|node| self.arrivals.get(&(node, Arc::clone(&item.key), item.stamp.major)));
        of_item.fold(Arrival { at: 0, hops: 0 }, |last, one| Arrival {
            at: last.at.max(one.at),
            hops: last.hops.max(one.hops),
        })
    }

    /// The sums of the counters of all running nodes.
    pub fn total(&self) -> Counters {
        let mut total = Counters::default();
        for one in self.nodes.iter().flatten().map(Gossip::counters) {
            total.messages_sent += one.messages_sent;
            total.bytes_sent += one.bytes_sent;
            total.messages_received += one.messages_received;
            total.bytes_received += one.bytes_received;
            total.items_accepted += one.items_accepted;
            total.items_duplicate += one.items_duplicate;
            total.comparisons += one.comparisons;
            total.repairs += one.repairs;
            total.fetches += one.fetches;
            total.repairs_deferred += one.repairs_deferred;
        }
        total
    }
}
