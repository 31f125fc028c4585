//! When servers are probed, and what an answer changes.

use crate::api::{Action, Micros, Outcome};
use crate::balancer::TRIAL_INTERVAL;
use crate::state::Balancer;

/// After so many probes without an answer a server on trial is tried by requests: what answers those is up,
/// though nobody can probe it.
pub const PROBES_BEFORE_REQUESTS: u32 = 2;

impl Balancer {
    /// Probes the servers on trial that are due: at growing intervals, and no more once requests try them.
    pub(crate) fn send_due_probes(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.settings.probes {
            return;
        }
        let mut passed_on = false;
        for &s in &self.unproven {
            let upstream = &mut self.servers[s];
            if upstream.next_trial > now || upstream.failed_trials >= PROBES_BEFORE_REQUESTS {
                continue;
            }
            upstream.next_trial = now + (TRIAL_INTERVAL << upstream.failed_trials);
            upstream.failed_trials += 1;
            passed_on |= upstream.failed_trials >= PROBES_BEFORE_REQUESTS;
            out.push(Action::Probe { server: upstream.id.clone() });
        }
        if passed_on {
            self.classify_servers();
        }
    }

    /// An answer of whatever kind shows that the process is there, none shows nothing: the time of the next
    /// trial was set when this one began.
    pub(crate) fn handle_probe_end(&mut self, now: Micros, server: &str, outcome: Outcome) {
        let answered = matches!(outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Denied);
        if let Some(server) = self.server_slots.get(server).copied().filter(|_| answered) {
            self.record_health(now, server, true);
        }
    }
}
