//! Reports that balancers exchange: their load in flight, and the prefills that completed for their requests.

use super::Placer;
use crate::cache_holder::CacheHolder;
use crate::key_table::KeyServer;
use crate::peer_loads::LocalLoad;
use crate::prefill_report::PrefillReport;
use crate::time::Micros;

impl Placer {
    /// This node's load in flight by server, in a fixed order. Servers without requests of this node are left out.
    pub fn local_loads(&self, now: Micros) -> Vec<LocalLoad> {
        let servers = self.fleet.servers.iter().filter(|server| server.load.in_flight > 0);
        let load = |server: &crate::server::Server| {
            let own = server.load.own_work(now);
            LocalLoad {
                server: server.hash,
                backlog_ms: own.backlog_ms,
                running: server.load.in_flight,
                tokens: own.tokens as u64,
            }
        };
        servers.map(load).collect()
    }

    /// Applies another balancer's report of its load in flight. Returns false for a stale report, which changes nothing.
    pub fn apply_peer_loads(&mut self, now: Micros, peer: u64, sequence: u64, loads: Vec<LocalLoad>) -> bool {
        if self.peers.is_stale(now, peer, sequence) {
            return false;
        }
        self.forget_peer(peer);
        let mut servers = Vec::with_capacity(loads.len());
        for load in &loads {
            let Some(index) = self.fleet.server_index_by_hash(load.server) else { continue };
            self.fleet.servers[index as usize].load.peers.set(now, peer, load);
            servers.push(index);
        }
        self.peers.insert(now, peer, sequence, servers);
        self.expire_peers(now);
        self.fleet.set_reporting_peers(self.peers.len());
        true
    }

    fn forget_peer(&mut self, peer: u64) {
        for server in self.peers.remove(peer) {
            self.fleet.servers[server as usize].load.peers.remove(peer);
        }
    }

    /// Removes peers whose last report has expired; their load is estimated again.
    pub(super) fn expire_peers(&mut self, now: Micros) {
        let Some(expired) = self.peers.expired(now) else { return };
        for peer in expired {
            self.forget_peer(peer);
        }
        self.fleet.set_reporting_peers(self.peers.len());
    }

    /// Takes the reports of prefills that completed for this node's requests since the last call.
    pub fn take_prefill_reports(&mut self) -> Vec<PrefillReport> {
        self.prefill_reports.take()
    }

    /// Applies another balancer's reports of completed prefills.
    pub fn apply_peer_prefill_reports(&mut self, now: Micros, reports: &[PrefillReport]) {
        for report in reports {
            let Some(index) = self.fleet.server_index_by_hash(report.server) else { continue };
            let server = self.fleet.server_ref(index);
            let known = KeyServer { server, version: Some(report.version), last_used: now };
            self.keys.insert(report.key, known);
            for chunk in &report.chunks {
                self.prefix_index.set(now, CacheHolder::server(index), report.salt, chunk.id, chunk.tokens);
            }
        }
    }
}
