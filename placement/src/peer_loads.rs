//! What other balancers report to have in flight, which takes the place of an estimate from this node's own part.

use std::collections::HashMap;

use crate::time::{Micros, from_ms, to_ms};
use crate::workload::Workload;

/// A peer whose last report is older than this is estimated instead.
pub(crate) const REPORT_LIFETIME: Micros = 2_000_000;

/// What one balancer has in flight at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalLoad {
    /// A hash of the server's id, the same at all nodes.
    pub server: u64,
    /// Prefill that is still to be done there, in milliseconds.
    pub backlog_ms: f64,
    /// Running requests.
    pub running: u32,
    /// Their tokens.
    pub tokens: u64,
}

/// What one peer has in flight at a server.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    peer: u64,
    backlog_until: Micros,
    running: f64,
    tokens: f64,
}

/// What all peers report to have in flight at one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerLoads(Vec<PeerLoad>);

impl PeerLoads {
    /// Takes the place of what this peer reported before.
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

/// A balancer that reports.
#[derive(Debug)]
struct ReportingPeer {
    sequence: u64,
    last_report: Micros,
    /// Indices of the servers that it has something in flight at.
    servers: Vec<u32>,
}

/// The balancers that report.
#[derive(Debug, Default)]
pub(crate) struct ReportingPeers {
    peers: HashMap<u64, ReportingPeer>,
    last_expiry: Micros,
}

impl ReportingPeers {
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether a report was overtaken by a later one of the same process. A lower number long after the last report is
    /// that of a new process at the same address.
    pub(crate) fn is_overtaken(&self, now: Micros, peer: u64, sequence: u64) -> bool {
        let known = self.peers.get(&peer);
        known.is_some_and(|known| known.sequence >= sequence && now < known.last_report + REPORT_LIFETIME)
    }

    pub(crate) fn insert(&mut self, now: Micros, peer: u64, sequence: u64, servers: Vec<u32>) {
        self.peers.insert(peer, ReportingPeer { sequence, last_report: now, servers });
    }

    /// Forgets a peer; the servers that it had something in flight at.
    pub(crate) fn remove(&mut self, peer: u64) -> Vec<u32> {
        self.peers.remove(&peer).map(|peer| peer.servers).unwrap_or_default()
    }

    /// The peers whose reports have expired, if it is time to look for them.
    pub(crate) fn expired(&mut self, now: Micros) -> Option<Vec<u64>> {
        if now < self.last_expiry + REPORT_LIFETIME / 4 {
            return None;
        }
        self.last_expiry = now;
        let is_expired = |peer: &ReportingPeer| now > peer.last_report + REPORT_LIFETIME;
        Some(self.peers.iter().filter(|(_, peer)| is_expired(peer)).map(|(id, _)| *id).collect())
    }
}
