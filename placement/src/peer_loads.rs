//! The load in flight that other balancers report. It replaces the estimate that is derived from this node's own load.

use std::collections::HashMap;

use crate::time::{Micros, from_ms, to_ms};
use crate::workload::Workload;

/// If the last report of a peer is older than this, its load is estimated instead.
pub(crate) const REPORT_LIFETIME: Micros = 2_000_000;

/// The load that one balancer has in flight at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalLoad {
    /// A hash of the server's id, the same at all nodes.
    pub server: u64,
    /// Prefill that is still to be done there, in milliseconds.
    pub backlog_ms: f64,
    /// Running requests.
    pub running: u32,
    /// The tokens of these requests.
    pub tokens: u64,
}

/// The load that one peer has in flight at a server.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    peer: u64,
    backlog_until: Micros,
    running: f64,
    tokens: f64,
}

/// The load that all peers report to have in flight at one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerLoads(Vec<PeerLoad>);

impl PeerLoads {
    /// Replaces the last report of this peer.
    pub(crate) fn set(&mut self, now: Micros, peer: u64, load: &LocalLoad) {
        self.remove(peer);
        self.0.push(PeerLoad {
            peer,
            backlog_until: now + from_ms(load.backlog_ms),
            running: f64::from(load.running),
            tokens: load.tokens as f64,
        });
    }

    pub(crate) fn remove(&mut self, peer: u64) {
        self.0.retain(|load| load.peer != peer);
    }

    pub(crate) fn sum(&self, now: Micros) -> Workload {
        self.0.iter().fold(Workload::default(), |sum, load| {
            let backlog_ms = to_ms(load.backlog_until.saturating_sub(now));
            sum.plus(Workload { backlog_ms, running: load.running, tokens: load.tokens })
        })
    }
}

/// A balancer that reports its load.
#[derive(Debug)]
struct ReportingPeer {
    sequence: u64,
    last_report: Micros,
    /// Indices of the servers where it has requests in flight.
    servers: Vec<u32>,
}

/// The balancers that report their load.
#[derive(Debug, Default)]
pub(crate) struct ReportingPeers {
    peers: HashMap<u64, ReportingPeer>,
    last_expiry: Micros,
}

impl ReportingPeers {
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether a report is stale, since a later one of the same process arrived before it. A lower sequence number after the
    /// last report has expired is that of a new process at the same address.
    pub(crate) fn is_stale(&self, now: Micros, peer: u64, sequence: u64) -> bool {
        let known = self.peers.get(&peer);
        known.is_some_and(|known| known.sequence >= sequence && now < known.last_report + REPORT_LIFETIME)
    }

    pub(crate) fn insert(&mut self, now: Micros, peer: u64, sequence: u64, servers: Vec<u32>) {
        self.peers.insert(peer, ReportingPeer { sequence, last_report: now, servers });
    }

    /// Removes a peer, and returns the servers where it had requests in flight.
    pub(crate) fn remove(&mut self, peer: u64) -> Vec<u32> {
        self.peers.remove(&peer).map(|peer| peer.servers).unwrap_or_default()
    }

    /// The peers whose reports have expired; `None` if they were checked a short time ago.
    pub(crate) fn expired(&mut self, now: Micros) -> Option<Vec<u64>> {
        if now < self.last_expiry + REPORT_LIFETIME / 4 {
            return None;
        }
        self.last_expiry = now;
        let is_expired = |peer: &ReportingPeer| now > peer.last_report + REPORT_LIFETIME;
        Some(self.peers.iter().filter(|(_, peer)| is_expired(peer)).map(|(id, _)| *id).collect())
    }
}
