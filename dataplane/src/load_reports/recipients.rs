//! Who gets a message of loads: all balancers as long as the bytes suffice, otherwise some of them by turns. No I/O.
//!
//! To another zone goes one copy, to a balancer that passes it on to its neighbours; a different one each time, so that
//! one that has failed loses a few messages only. What a balancer may spend is bounded, the more so the larger the fleet
//! is: each hears from all others.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_placement::Micros;

/// Bytes a second that a balancer may spend in a fleet of up to so many: a sixth of the smallest machine's link.
const BYTES_PER_S: f64 = 200_000.0;
const SMALL_FLEET: f64 = 100.0;
/// The same in a fleet of so many and more. Between the two it falls evenly.
const LEAST_BYTES_PER_S: f64 = 8_000.0;
const LARGE_FLEET: f64 = 400.0;
/// What lower layers add to a datagram, in bytes.
const HEADER_BYTES: usize = 28;
/// A balancer that was silent may spend the bytes of so many seconds at once.
const BURST_S: f64 = 1.0;
const MICROS_PER_S: f64 = 1e6;

/// Another balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it is told.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: Arc<str>,
}

/// Where one copy of a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// To this balancer.
    pub address: SocketAddrV4,
    /// It passes the message on to the others of its zone.
    pub forwards: bool,
}

/// The other balancers, and what may be spent on telling them.
#[derive(Debug)]
pub struct Recipients {
    own_zone: Arc<str>,
    /// In a fixed order.
    all: Vec<SocketAddrV4>,
    known: HashSet<SocketAddrV4>,
    /// Those in this node's zone.
    near: Vec<SocketAddrV4>,
    /// Those of each other zone.
    far: Vec<Vec<SocketAddrV4>>,
    /// Counts messages, so that others relay each time.
    turn: usize,
    /// The first that is told next, where not all are.
    next: usize,
    /// Bytes that may be spent now.
    allowance: f64,
    refilled: Micros,
    /// How many peers the last message went to, itself or passed on.
    reached: usize,
}

impl Recipients {
    /// Of a node in this zone that knows no other yet.
    pub fn new(own_zone: Arc<str>) -> Self {
        Recipients {
            own_zone,
            all: Vec::new(),
            known: HashSet::new(),
            near: Vec::new(),
            far: Vec::new(),
            turn: 0,
            next: 0,
            allowance: 0.0,
            refilled: 0,
            reached: 0,
        }
    }

    /// Takes the whole list of other balancers.
    pub fn set_peers(&mut self, peers: &[Peer]) {
        let mut zones: BTreeMap<&str, Vec<SocketAddrV4>> = BTreeMap::new();
        for peer in peers {
            zones.entry(&peer.zone).or_default().push(peer.address);
        }
        zones.values_mut().for_each(|zone| zone.sort());
        self.near = zones.remove(&*self.own_zone).unwrap_or_default();
        self.far = zones.into_values().collect();
        self.all = peers.iter().map(|peer| peer.address).collect();
        self.all.sort();
        self.known = self.all.iter().copied().collect();
        self.reached = self.all.len();
    }

    /// Whether this balancer is a member.
    pub fn contains(&self, address: SocketAddrV4) -> bool {
        self.known.contains(&address)
    }

    /// The others of this zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.near.iter().copied()
    }

    /// In how many messages all others are told once, by what the last one reached.
    pub fn rounds_to_reach_all(&self) -> usize {
        self.all.len().div_ceil(self.reached.max(1)).max(1)
    }

    /// Who gets a message of so many bytes at this time.
    pub fn select(&mut self, now: Micros, bytes: usize) -> Vec<Recipient> {
        self.refill(now);
        self.turn = self.turn.wrapping_add(1);
        let each = (bytes + HEADER_BYTES) as f64;
        let affordable = (self.allowance / each) as usize;
        self.reached = affordable.min(self.all.len());
        self.allowance -= each * self.reached as f64;
        if self.reached == self.all.len() { self.all_by_zone() } else { self.round_robin() }
    }

    fn refill(&mut self, now: Micros) {
        let rate = bytes_per_s(self.all.len() + 1);
        let gone = now.saturating_sub(self.refilled) as f64 / MICROS_PER_S;
        self.refilled = now;
        self.allowance = (self.allowance + gone * rate).min(rate * BURST_S);
    }

    fn all_by_zone(&self) -> Vec<Recipient> {
        let near = self.near.iter().map(|address| Recipient { address: *address, forwards: false });
        let far = self
            .far
            .iter()
            .map(|zone| Recipient { address: zone[self.turn % zone.len()], forwards: zone.len() > 1 });
        near.chain(far).collect()
    }

    /// The next ones in order, each told by this node itself.
    fn round_robin(&mut self) -> Vec<Recipient> {
        let told = (0..self.reached).map(|at| self.all[(self.next + at) % self.all.len()]);
        let told = told.map(|address| Recipient { address, forwards: false }).collect();
        self.next = (self.next + self.reached) % self.all.len();
        told
    }
}

/// Bytes a second that one of so many balancers may spend.
fn bytes_per_s(balancers: usize) -> f64 {
    let share = (balancers as f64 - SMALL_FLEET) / (LARGE_FLEET - SMALL_FLEET);
    BYTES_PER_S + (LEAST_BYTES_PER_S - BYTES_PER_S) * share.clamp(0.0, 1.0)
}
