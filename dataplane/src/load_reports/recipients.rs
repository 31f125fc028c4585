//! Who gets a load report: all nodes as long as the byte budget suffices, otherwise some of them, round robin. No I/O.
//!
//! Another zone gets one copy, at a node that forwards it to its zone; a different one each time, so that a node that has
//! failed loses a few reports only. The budget of a node is bounded, the more so the larger the fleet is: each node
//! receives from all others.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_placement::Micros;

/// Budget of a node in a fleet of up to [`SMALL_FLEET`] nodes, in bytes a second: a sixth of the smallest machine's link.
const MAX_BYTES_PER_S: f64 = 200_000.0;
/// Budget of a node in a fleet of [`LARGE_FLEET`] nodes and more. Between the two it falls evenly.
const MIN_BYTES_PER_S: f64 = 8_000.0;
/// Nodes.
const SMALL_FLEET: f64 = 100.0;
/// Nodes.
const LARGE_FLEET: f64 = 400.0;
/// Headers of UDP and IPv4 for each datagram, in bytes (RFC 768, RFC 791).
const HEADER_BYTES: usize = 28;
/// A node that sent nothing may spend the budget of so many seconds at once.
const BURST_S: f64 = 1.0;
const MICROS_PER_S: f64 = 1e6;

/// Another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it receives load reports.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub zone: Arc<str>,
}

/// Where one copy of a report goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// To this node.
    pub address: SocketAddrV4,
    /// It forwards the report to the other nodes of its zone.
    pub forwards: bool,
}

/// The other nodes, and the byte budget for reports to them: a token bucket.
#[derive(Debug)]
pub struct Recipients {
    own_zone: Arc<str>,
    /// All others, sorted.
    all: Vec<SocketAddrV4>,
    members: HashSet<SocketAddrV4>,
    /// Those of this node's zone.
    own_zone_peers: Vec<SocketAddrV4>,
    /// Those of each other zone.
    other_zones: Vec<Vec<SocketAddrV4>>,
    /// Counts reports, so that another node of each zone forwards each time.
    report_number: usize,
    /// Index in `all` of the next recipient, where not all are reached.
    next: usize,
    /// Bytes that may be sent now.
    budget_bytes: f64,
    /// When the budget was last refilled.
    refilled: Micros,
    /// How many peers the last report reached, directly or forwarded.
    reached: usize,
}

impl Recipients {
    /// Of a node in this zone that knows no peer yet.
    pub fn new(own_zone: Arc<str>) -> Self {
        Recipients {
            own_zone,
            all: Vec::new(),
            members: HashSet::new(),
            own_zone_peers: Vec::new(),
            other_zones: Vec::new(),
            report_number: 0,
            next: 0,
            budget_bytes: 0.0,
            refilled: 0,
            reached: 0,
        }
    }

    /// Replaces the list of peers.
    pub fn set_peers(&mut self, peers: &[Peer]) {
        let mut zones: BTreeMap<&str, Vec<SocketAddrV4>> = BTreeMap::new();
        for peer in peers {
            zones.entry(&peer.zone).or_default().push(peer.address);
        }
        zones.values_mut().for_each(|zone| zone.sort());
        self.own_zone_peers = zones.remove(&*self.own_zone).unwrap_or_default();
        self.other_zones = zones.into_values().collect();
        self.all = peers.iter().map(|peer| peer.address).collect();
        self.all.sort();
        self.members = self.all.iter().copied().collect();
        self.reached = self.all.len();
    }

    /// True if a node at this address is a member.
    pub fn contains(&self, address: SocketAddrV4) -> bool {
        self.members.contains(&address)
    }

    /// The other nodes of this zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.own_zone_peers.iter().copied()
    }

    /// How many reports it takes to reach all peers once, by what the last one reached.
    pub fn rounds_to_reach_all(&self) -> usize {
        self.all.len().div_ceil(self.reached.max(1)).max(1)
    }

    /// Who gets a report of so many bytes now. Charges the budget.
    pub fn select(&mut self, now: Micros, bytes: usize) -> Vec<Recipient> {
        self.refill(now);
        self.report_number = self.report_number.wrapping_add(1);
        let each = (bytes + HEADER_BYTES) as f64;
        let affordable = (self.budget_bytes / each) as usize;
        self.reached = affordable.min(self.all.len());
        self.budget_bytes -= each * self.reached as f64;
        if self.reached == self.all.len() { self.all_by_zone() } else { self.round_robin() }
    }

    fn refill(&mut self, now: Micros) {
        let rate = bytes_per_s(self.all.len() + 1);
        let elapsed_s = now.saturating_sub(self.refilled) as f64 / MICROS_PER_S;
        self.refilled = now;
        self.budget_bytes = (self.budget_bytes + elapsed_s * rate).min(rate * BURST_S);
    }

    fn all_by_zone(&self) -> Vec<Recipient> {
        let near = self.own_zone_peers.iter().map(|address| Recipient { address: *address, forwards: false });
        let far = self.other_zones.iter().map(|zone| Recipient {
            address: zone[self.report_number % zone.len()],
            forwards: zone.len() > 1,
        });
        near.chain(far).collect()
    }

    /// The next peers in order, each reached directly.
    fn round_robin(&mut self) -> Vec<Recipient> {
        let recipients = (0..self.reached).map(|at| self.all[(self.next + at) % self.all.len()]);
        let recipients = recipients.map(|address| Recipient { address, forwards: false }).collect();
        self.next = (self.next + self.reached) % self.all.len();
        recipients
    }
}

/// Budget of one of so many nodes, in bytes a second.
fn bytes_per_s(nodes: usize) -> f64 {
    let share = (nodes as f64 - SMALL_FLEET) / (LARGE_FLEET - SMALL_FLEET);
    MAX_BYTES_PER_S + (MIN_BYTES_PER_S - MAX_BYTES_PER_S) * share.clamp(0.0, 1.0)
}
