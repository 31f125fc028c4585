//! Health probes of unproven servers: when they are sent and how answers are processed.

use crate::api::{Action, Micros, Outcome};
use crate::balancer::TRIAL_INTERVAL;
use crate::state::Balancer;

/// After this many unanswered probes, an unproven server is tried with requests: it may be up but unable to
/// answer probes.
pub const PROBES_BEFORE_REQUESTS: u32 = 2;

impl Balancer {
    /// Probes the unproven servers that are due, at growing intervals until requests are tried on them.
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

    /// Marks a server healthy if its process has answered the probe. A missing answer changes nothing, since the
    /// time of the next trial was set when the probe was sent.
    pub(crate) fn handle_probe_end(&mut self, now: Micros, server: &str, outcome: Outcome) {
        let answered = matches!(outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Denied);
        if let Some(server) = self.server_slots.get(server).copied().filter(|_| answered) {
            self.record_health(now, server, true);
        }
    }
}
