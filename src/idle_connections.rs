//! Which idle connections are closed. Nothing here chooses a server, a repeat or a refusal.

use crate::api::{Action, Micros, Outcome};
use crate::state::{Balancer, FleetStats};

/// The shortest idle time of a connection that is told apart; the next ones double it.
const FIRST_IDLE_BUCKET: Micros = 100_000;
/// Half-life of what is known of connections that were idle.
const IDLE_GAP_HALF_LIFE: f64 = 8e6;

impl FleetStats {
    /// Notes how an attempt ended on a connection that had been idle for `gap`; `late`: it was given up after
    /// more than the usual time.
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
    /// Closes connections idle for longer than they are worth. By the prices, keeping one open for `even`
    /// costs as much as a new one, so it is kept only where the next request is likely to come sooner; and
    /// connections that prove dead (what is sent after some gap gets no answer, by and large) are closed
    /// before that gap. Guards against hundreds of gateways that hold one at every server, full tables,
    /// connections dropped unseen. Harm: handshakes, where losses have another cause; it is forgotten.
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
