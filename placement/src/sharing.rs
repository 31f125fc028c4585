//! What other balancers have in flight, as they tell it: in the place of an estimate from this node's own part.

use std::collections::HashMap;

use crate::api::Micros;
use crate::engine::Placer;
use crate::load::{Workload, micros, ms};

/// What was told counts for this long.
const TOLD_FOR: Micros = 2_000_000;

/// What one balancer has in flight at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalLoad {
    /// A hash of the server's id, the same at all nodes.
    pub server: u64,
    /// Reading of prompts that is still to be done there, in milliseconds.
    pub backlog_ms: f64,
    /// Requests there.
    pub running: u32,
    /// Their tokens.
    pub tokens: u64,
}

/// One balancer's part at one server.
#[derive(Clone, Copy, Debug)]
struct Told {
    peer: u64,
    backlog_until: Micros,
    running: f64,
    tokens: f64,
}

/// What others told of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerLoads(Vec<Told>);

impl PeerLoads {
    fn set(&mut self, now: Micros, peer: u64, load: &LocalLoad) {
        self.clear(peer);
        self.0.push(Told {
            peer,
            backlog_until: now + micros(load.backlog_ms),
            running: f64::from(load.running),
            tokens: load.tokens as f64,
        });
    }

    fn clear(&mut self, peer: u64) {
        self.0.retain(|told| told.peer != peer);
    }

    /// The sum of what was told.
    pub(crate) fn sum(&self, now: Micros) -> Workload {
        self.0.iter().fold(Workload::default(), |sum, told| {
            let backlog_ms = ms(told.backlog_until.saturating_sub(now));
            sum.add(Workload { backlog_ms, running: told.running, tokens: told.tokens })
        })
    }
}

/// A balancer that tells.
#[derive(Debug)]
struct ReportingPeer {
    sequence: u64,
    heard: Micros,
    /// Places of the servers that it has something at.
    servers: Vec<u32>,
}

/// The balancers that tell.
#[derive(Debug, Default)]
pub(crate) struct ReportingPeers {
    heard: HashMap<u64, ReportingPeer>,
    looked: Micros,
}

impl Placer {
    /// What this node has in flight, by server; servers with nothing are left out. In a fixed order.
    pub fn local_loads(&self, now: Micros) -> Vec<LocalLoad> {
        let servers = self.fleet.servers.iter().filter(|server| server.load.in_flight > 0);
        servers
            .map(|server| {
                let own = server.load.own(now);
                LocalLoad {
                    server: server.hash,
                    backlog_ms: own.backlog_ms,
                    running: server.load.in_flight,
                    tokens: own.tokens as u64,
                }
            })
            .collect()
    }

    /// Takes in what another balancer has in flight. False for a message that was overtaken, which changes nothing.
    pub fn apply_peer_loads(&mut self, now: Micros, peer: u64, sequence: u64, loads: Vec<LocalLoad>) -> bool {
        let known = self.tellers.heard.get(&peer);
        // A lower number long after is that of a new process at the same address.
        if known.is_some_and(|known| known.sequence >= sequence && now < known.heard + TOLD_FOR) {
            return false;
        }
        self.forget_teller(peer);
        let mut servers = Vec::with_capacity(loads.len());
        for load in &loads {
            let Some(at) = self.fleet.by_hash(load.server) else { continue };
            self.fleet.servers[at as usize].load.told.set(now, peer, load);
            servers.push(at);
        }
        self.tellers.heard.insert(peer, ReportingPeer { sequence, heard: now, servers });
        self.forget_silent(now);
        self.fleet.set_told_by(self.tellers.heard.len());
        true
    }

    fn forget_teller(&mut self, peer: u64) {
        let Some(teller) = self.tellers.heard.remove(&peer) else { return };
        for at in teller.servers {
            self.fleet.servers[at as usize].load.told.clear(peer);
        }
    }

    /// Balancers that have told nothing for a while are estimated again.
    pub(crate) fn forget_silent(&mut self, now: Micros) {
        if now < self.tellers.looked + TOLD_FOR / 4 {
            return;
        }
        self.tellers.looked = now;
        let old = |teller: &ReportingPeer| now > teller.heard + TOLD_FOR;
        let silent: Vec<u64> =
            self.tellers.heard.iter().filter(|(_, teller)| old(teller)).map(|(peer, _)| *peer).collect();
        silent.into_iter().for_each(|peer| self.forget_teller(peer));
        self.fleet.set_told_by(self.tellers.heard.len());
    }
}
