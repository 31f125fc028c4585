//! Selects the recipients of a load report: all nodes as long as the byte budget suffices, otherwise some of them, round
//! robin. Does no I/O.
//!
//! Each other zone gets one copy, sent to a node that forwards it within its zone. A different node is selected each
//! time, so that a failed node loses only a few reports. A node's budget decreases with the size of the fleet, since
//! each node receives reports from all others.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_placement::Micros;

/// Budget of a node in a fleet of up to [`SMALL_FLEET`] nodes, in bytes per second: a sixth of the smallest machine's link.
const MAX_BYTES_PER_S: f64 = 200_000.0;
/// Budget of a node in a fleet of [`LARGE_FLEET`] nodes and more, in bytes per second. In between it decreases linearly.
const MIN_BYTES_PER_S: f64 = 8_000.0;
/// Up to this number of nodes, a node's budget is [`MAX_BYTES_PER_S`].
const SMALL_FLEET: f64 = 100.0;
/// From this number of nodes on, a node's budget is [`MIN_BYTES_PER_S`].
const LARGE_FLEET: f64 = 400.0;
/// Headers of UDP and IPv4 for each datagram, in bytes (RFC 768, RFC 791).
const HEADER_BYTES: usize = 28;
/// A node that has sent nothing may spend the budget of this many seconds at once.
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

/// The recipient of one copy of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// The address of the node.
    pub address: SocketAddrV4,
    /// Whether it forwards the report to the other nodes of its zone.
    pub forwards: bool,
}

/// The other nodes, and a token bucket with the byte budget for reports to them.
#[derive(Debug)]
pub struct Recipients {
    own_zone: Arc<str>,
    /// All other nodes, sorted.
    all: Vec<SocketAddrV4>,
    /// The same addresses as a set.
    members: HashSet<SocketAddrV4>,
    /// The other nodes of this node's zone.
    own_zone_peers: Vec<SocketAddrV4>,
    /// The nodes of each other zone.
    other_zones: Vec<Vec<SocketAddrV4>>,
    /// Counts reports, so that a different node of each zone forwards each time.
    report_number: usize,
    /// Index in `all` of the next recipient while reports don't reach all nodes.
    next_index: usize,
    /// Bytes that may be sent now.
    budget_bytes: f64,
    /// When the budget was last refilled.
    refilled: Micros,
    /// The number of peers that the last report reached, directly or forwarded.
    reached: usize,
}

impl Recipients {
    /// Creates the recipients of a node in this zone that knows no peers yet.
    pub fn new(own_zone: Arc<str>) -> Self {
        Recipients {
            own_zone,
            all: Vec::new(),
            members: HashSet::new(),
            own_zone_peers: Vec::new(),
            other_zones: Vec::new(),
            report_number: 0,
            next_index: 0,
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

    /// The number of reports it takes to reach each peer once, if each reaches as many as the last one.
    pub fn rounds_to_reach_all(&self) -> usize {
        self.all.len().div_ceil(self.reached.max(1)).max(1)
    }

    /// Selects the recipients of a report of `bytes` bytes, and charges the budget.
    pub fn select(&mut self, now: Micros, bytes: usize) -> Vec<Recipient> {
        self.refill(now);
        self.report_number = self.report_number.wrapping_add(1);
        let datagram_bytes = (bytes + HEADER_BYTES) as f64;
        let affordable = (self.budget_bytes / datagram_bytes) as usize;
        self.reached = affordable.min(self.all.len());
        self.budget_bytes -= datagram_bytes * self.reached as f64;
        if self.reached == self.all.len() { self.all_by_zone() } else { self.round_robin() }
    }

    /// Adds the budget earned since the last refill.
    fn refill(&mut self, now: Micros) {
        let rate = bytes_per_s(self.all.len() + 1);
        let elapsed_s = now.saturating_sub(self.refilled) as f64 / MICROS_PER_S;
        self.refilled = now;
        self.budget_bytes = (self.budget_bytes + elapsed_s * rate).min(rate * BURST_S);
    }

    /// All peers of the own zone, and one node of each other zone that forwards the report there.
    fn all_by_zone(&self) -> Vec<Recipient> {
        let own_zone =
            self.own_zone_peers.iter().map(|address| Recipient { address: *address, forwards: false });
        let other_zones = self.other_zones.iter().map(|zone| Recipient {
            address: zone[self.report_number % zone.len()],
            forwards: zone.len() > 1,
        });
        own_zone.chain(other_zones).collect()
    }

    /// The next peers in order, each reached directly.
    fn round_robin(&mut self) -> Vec<Recipient> {
        let recipients =
            (0..self.reached).map(|offset| self.all[(self.next_index + offset) % self.all.len()]);
        let recipients = recipients.map(|address| Recipient { address, forwards: false }).collect();
        self.next_index = (self.next_index + self.reached) % self.all.len();
        recipients
    }
}

/// The budget of one of `nodes` nodes, in bytes per second.
fn bytes_per_s(nodes: usize) -> f64 {
    let share = (nodes as f64 - SMALL_FLEET) / (LARGE_FLEET - SMALL_FLEET);
    MAX_BYTES_PER_S + (MIN_BYTES_PER_S - MAX_BYTES_PER_S) * share.clamp(0.0, 1.0)
}
