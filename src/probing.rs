//! When servers are probed, and what an answer changes.

use crate::api::{Action, Micros, Outcome};
use crate::balancer::TRIAL_INTERVAL;
use crate::state::Balancer;

/// After so many probes without an answer a server on trial is tried by requests: what answers those is up,
/// though nobody can probe it.
pub const UNPROBED: u32 = 2;

impl Balancer {
    /// Probes the servers on trial that are due: at growing intervals, and no more once requests try them.
    pub(crate) fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.settings.probes {
            return;
        }
        let mut passed_on = false;
        for &s in &self.trial {
            let peer = &mut self.servers[s];
            if peer.trial > now || peer.doubt >= UNPROBED {
                continue;
            }
            peer.trial = now + (TRIAL_INTERVAL << peer.doubt);
            peer.doubt += 1;
            passed_on |= peer.doubt >= UNPROBED;
            out.push(Action::Probe { server: peer.id.clone() });
        }
        if passed_on {
            self.classify_servers();
        }
    }

    /// An answer of whatever kind shows that the process is there, none shows nothing: the time of the next
    /// trial was set when this one began.
    pub(crate) fn probed(&mut self, now: Micros, server: &str, outcome: Outcome) {
        let answered = matches!(outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Denied);
        if let Some(server) = self.names.get(server).copied().filter(|_| answered) {
            self.record_health(now, server, true);
        }
    }
}
