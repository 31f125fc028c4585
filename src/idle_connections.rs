//! Decides which idle connections are closed. Has no part in selection, retries or admission.

use crate::api::{Action, Micros, Outcome};
use crate::state::{Balancer, FleetStats};

/// Upper bound of the first bucket of idle times; each further bucket doubles it.
const FIRST_IDLE_BUCKET: Micros = 100_000;
/// Half-life of the statistics of idle connections, in microseconds.
const IDLE_GAP_HALF_LIFE: f64 = 8e6;

impl FleetStats {
    /// Records the outcome of an attempt on a connection that had been idle for `gap`. `late` means that the attempt
    /// took more than the usual time, so that a cancelled one counts as unanswered.
    pub(crate) fn record_idle_gap(&mut self, gap: Micros, outcome: Outcome, late: bool) {
        let unanswered = match outcome {
            Outcome::TimedOut | Outcome::Reset => 1,
            Outcome::Cancelled if late => 1,
            Outcome::Ok => 0,
            _ => return,
        };
        let bucket = (gap / FIRST_IDLE_BUCKET)
            .checked_ilog2()
            .map_or(0, |i| i as usize + 1)
            .min(self.idle_gaps.len() - 1);
        self.idle_gaps[bucket][unanswered] += 1.0;
    }
}

impl Balancer {
    /// Closes connections that have been idle for too long.
    ///
    /// By the configured prices, keeping a connection open for `even` seconds costs as much as opening a new one, so it is
    /// kept only if the next request is likely to come sooner. If most attempts after some idle time get no answer, connections
    /// are closed before they reach it. Otherwise hundreds of gateways would each hold a connection to every server and fill
    /// the servers' tables, and requests would be sent on connections that were dropped unnoticed. The drawback: unneeded
    /// handshakes where losses have another cause, until the statistics decay.
    pub(crate) fn close_idle_connections(&mut self, now: Micros, span: f64, out: &mut Vec<Action>) {
        let s = &self.settings;
        let fade = (-span / IDLE_GAP_HALF_LIFE).exp2();
        self.fleet.idle_gaps = self.fleet.idle_gaps.map(|gap| gap.map(|n| n * fade));
        let dead = |[ok, lost]: &[f64; 2]| *lost >= 2.0 && *lost > *ok;
        let dead = self
            .fleet
            .idle_gaps
            .iter()
            .skip(1)
            .position(dead)
            .map_or(Micros::MAX, |i| FIRST_IDLE_BUCKET << i);
        let here = self.fleet.offered_rate / self.fleet.mean_work.max(1.0) * 1e6;
        let all = (here * f64::from(s.gateway_count)).max(1e-9);
        let even = 100.0 * self.ready.len() as f64 * s.handshake_price / (s.connection_price * all);
        for &i in &self.ready {
            let upstream = &mut self.servers[i];
            let Some(since) = upstream.idle_since else { continue };
            let likely = here * upstream.relative_size / self.ready.len() as f64 * even;
            let worth = if likely < 1.0 { (likely * even * 1e6) as Micros } else { Micros::MAX };
            if now - since >= worth.min(dead) {
                upstream.idle_since = None;
                out.push(Action::CloseIdleConnections { server: upstream.id.clone() });
            }
        }
    }
}
