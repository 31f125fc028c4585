//! Slow start: a server that has just started gets no more work than it can certainly handle.

use crate::api::Micros;
use crate::state::{Balancer, Upstream, mix};

/// The share of a starting server's budget that is used, since work hints are inexact and other gateways may exceed theirs.
const BUDGET_USED_SHARE: f64 = 0.7;

impl Balancer {
    /// The share of its capacity that a server has reached by now at the least.
    pub(super) fn sure_capacity_share(&self, upstream: &Upstream, now: Micros) -> f64 {
        let Some(started) = upstream.started_at else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.settings.max_warm_up_time.max(1) as f64;
        self.settings.initial_capacity_share + (1.0 - self.settings.initial_capacity_share) * age.min(1.0)
    }

    /// Whether a starting server may get this much more work within the overload window (`cold_overload_time`).
    ///
    /// The gateway's budget is the rate at which warm servers of the same machine type answer its requests (before any has:
    /// its mean share of all arriving work), times the capacity share that the server has for certain and the overload factor
    /// that it bears. Work that the server rejected counts as sent. If the budget is below this request's work, a hash of
    /// gateway, server and window decides which gateways send one request, so that the sum over all gateways stays within the
    /// bound without communication. This also covers pods and zones that return all at once, and restarted gateways. The
    /// drawback: a slow ramp where there was little traffic before.
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
        // If only hints counted, requests whose hint is too low could exceed the budget.
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
        // Windows are counted from the server's start, at a phase of each gateway's own; the incomplete first one is left out.
        let span = s.cold_overload_time.max(1);
        let window = (now.saturating_sub(upstream.started_at.unwrap_or(0)) + me % span) / span;
        let drawn = mix(me ^ window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as f64 / u64::MAX as f64;
        window > 0 && spent <= 0.0 && drawn * work < budget
    }
}
