//! Slow start: a server that has just started gets no more than it surely bears.

use crate::api::Micros;
use crate::state::{Balancer, Upstream, mix};

/// The share of a starting server's budget that is spent, since hints and peers misjudge.
const BUDGET_USED_SHARE: f64 = 0.7;

impl Balancer {
    /// The share of its capacity that a server is sure to have by now.
    pub(super) fn sure_capacity_share(&self, upstream: &Upstream, now: Micros) -> f64 {
        let Some(started) = upstream.started_at else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.settings.max_warm_up_time.max(1) as f64;
        self.settings.initial_capacity_share + (1.0 - self.settings.initial_capacity_share) * age.min(1.0)
    }

    /// Guards a starting server: may it be sent this much more within the fall window? My part is what my peers of its kind
    /// answer for me (before any has: my part of all that comes in), by the share of capacity that it surely has and the
    /// multiple it bears; rejected work was counted when sent. Where my part is less than this request, one of so many
    /// gateways sends one, by a hash of gateway, server and window, so the sum over all holds without a message. Also catches
    /// pods and zones that come back at once and restarted gateways. Harm: a slow ramp where traffic was low before.
    pub(super) fn has_cold_start_budget(
        &self,
        upstream: &Upstream,
        class: usize,
        work: f64,
        now: Micros,
    ) -> bool {
        let sure_capacity_share = self.sure_capacity_share(upstream, now);
        if sure_capacity_share >= 1.0 {
            return true;
        }
        let s = &self.settings;
        // A budget that goes by hints alone fills with requests whose hint is too low.
        let work = work.max(self.class_stats[class].mean_work);
        let since = now.saturating_sub(s.cold_overload_time);
        let spent: f64 = upstream.cold_sends.iter().filter(|(at, _)| *at > since).map(|(_, w)| w).sum();
        let rate = self.fleet.kind_rates.get(&upstream.kind).copied().unwrap_or(0.0);
        let rate = if rate > 0.0 { rate } else { self.fleet.offered_rate / self.ready.len().max(1) as f64 };
        let budget = BUDGET_USED_SHARE
            * s.cold_overload_factor
            * sure_capacity_share
            * rate
            * s.cold_overload_time as f64;
        if spent + work <= budget {
            return true;
        }
        let me = mix(upstream.hash ^ u64::from(s.gateway_index) ^ u64::from(upstream.incarnation) << 32);
        // Windows begin with the server's start, each gateway's at its own phase, without the incomplete first one.
        let span = s.cold_overload_time.max(1);
        let window = (now.saturating_sub(upstream.started_at.unwrap_or(0)) + me % span) / span;
        let drawn = mix(me ^ window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as f64 / u64::MAX as f64;
        window > 0 && spent <= 0.0 && drawn * work < budget
    }
}
