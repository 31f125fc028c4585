//! Load estimates: the work at each server, its service rate, and the expected wait of a request.

use std::collections::BTreeMap;

use crate::api::{Action, Micros};
use crate::state::{Balancer, ServerSummary, Upstream};

/// The number of fleet-mean observations added to a server's own, and the half-life of its own.
const PRIOR_OBSERVATIONS: f64 = 2.0;
const RECENT_HALF_LIFE: f64 = 2e6;
/// The number of attempts that the fleet mean weighs as, beside a server's own, in the estimate of other gateways' work.
const PRIOR_SAMPLES: f64 = 8.0;
/// The number of answers that the mean over all machine types weighs as, beside those of one type.
const KIND_PRIOR_SAMPLES: f64 = 8.0;
/// Half-life of the highest rate that servers of a machine type have answered at.
const PEAK_RATE_HALF_LIFE: f64 = 3e7;
/// Half-life of what is known about a key, and of a class's own delay.
pub(super) const KEY_HALF_LIFE: f64 = 8e6;
/// The interval at which the estimates of all servers are refreshed, and the longest time that one refresh accounts for.
const REFRESH_INTERVAL: Micros = 50_000;
const MAX_REFRESH_SPAN: Micros = 1_000_000;

impl Balancer {
    /// Updates each server's size relative to the mean: as listed or, where all listed sizes are equal, by how fast its machine
    /// type answers, rounded to half powers of 2 so that gateways agree in spite of noise.
    pub(super) fn update_relative_sizes(&mut self) {
        let first = self.ready.first().map_or(1.0, |s| self.servers[*s].size);
        let told_apart = self.ready.iter().any(|s| self.servers[*s].size != first);
        let sum = |i: usize| self.fleet.kind_paces.values().map(|pace| pace[i]).sum::<f64>();
        let mean = sum(0) / sum(1).max(1.0);
        let speed = |[x, n]: &[f64; 2]| {
            let speed = mean * (n + KIND_PRIOR_SAMPLES) / (x + mean * KIND_PRIOR_SAMPLES);
            ((speed.log2() * 2.0).round() / 2.0).exp2()
        };
        let speeds: BTreeMap<u32, f64> = match !told_apart && mean > 0.0 {
            true => self.fleet.kind_paces.iter().map(|(kind, pace)| (*kind, speed(pace))).collect(),
            false => BTreeMap::new(),
        };
        for s in self.ready.iter().chain(&self.unproven) {
            let upstream = &mut self.servers[*s];
            upstream.relative_size = speeds.get(&upstream.kind).copied().unwrap_or(upstream.size);
        }
        // Unproven servers are scaled by the mean of the ready ones: without a size, the wait of each class that may try them
        // would be NaN.
        let known = if self.ready.is_empty() { &self.unproven } else { &self.ready };
        let sizes: f64 = known.iter().map(|s| self.servers[*s].relative_size).sum();
        let scale = known.len() as f64 / sizes;
        for s in self.ready.iter().chain(&self.unproven) {
            self.servers[*s].relative_size *= scale;
        }
        self.uniform_sizes = self.ready.iter().all(|s| self.servers[*s].relative_size == 1.0);
    }

    /// Work that a server does per microsecond. `PRIOR_OBSERVATIONS` fleet-mean observations are added to its own, so that a
    /// server that looked slow is measured again.
    pub(super) fn rate(&self, upstream: &Upstream) -> f64 {
        let prior = PRIOR_OBSERVATIONS * self.fleet.mean_observed_work.max(1.0);
        (upstream.observed_work + prior)
            / (upstream.observed_time + prior / (self.mean_rate * upstream.relative_size))
    }

    /// The total work at a server over all gateways, and its number of requests.
    pub(super) fn work_at(&self, upstream: &Upstream) -> (f64, f64) {
        let count = f64::from(upstream.in_flight) + upstream.others_work / self.fleet.mean_work.max(1.0);
        (upstream.own_work + upstream.others_work, count)
    }

    /// The work at a server that a request with this much work waits for.
    fn work_ahead(&self, upstream: &Upstream, work: f64) -> f64 {
        let (all, count) = self.work_at(upstream);
        self.fleet.sharing.ahead(all, count, work)
    }

    /// The expected wait of a request with this much work.
    pub(super) fn wait(&self, upstream: &Upstream, work: f64, now: Micros) -> f64 {
        let ahead = (self.work_ahead(upstream, work) + upstream.lost_work) / self.rate(upstream);
        // If attempts are in flight and no answer has come for longer than usual, the wait is at least that long. This covers
        // hangs, pauses and lost connections alike.
        let overdue =
            (now.saturating_sub(upstream.last_response) as f64 - self.longest_usual_response()).max(0.0);
        ahead + if upstream.in_flight > 0 { overdue } else { 0.0 }
    }

    fn longest_usual_response(&self) -> f64 {
        2.0 * self.class_stats.iter().map(|c| c.mean_latency).fold(0.0, f64::max)
    }

    /// Decays the statistics of a server to this time.
    pub(super) fn decay_server(&mut self, server: usize, now: Micros) {
        let span = now.saturating_sub(self.servers[server].decayed_at);
        if self.decay_factors.0 != span {
            let window = self.settings.cold_overload_time.max(1) as f64;
            let half = self.class_stats.iter().map(|c| c.latency_target).fold(0.0, f64::max);
            let again = self.ready.len() as f64 * self.fleet.mean_work / self.fleet.offered_rate.max(1e-9);
            let memory = (PRIOR_OBSERVATIONS * self.class_stats.len() as f64 * again)
                .clamp(half, half.max(2.0 * KEY_HALF_LIFE));
            let halves = [window * std::f64::consts::LN_2, half, memory, RECENT_HALF_LIFE];
            self.decay_factors = (span, halves.map(|half| (-(span as f64) / half).exp2()));
        }
        let [carried, ghost, fault, recent] = self.decay_factors.1;
        let upstream = &mut self.servers[server];
        upstream.answered_work *= carried;
        upstream.lost_work *= ghost;
        upstream.recent_outcomes *= fault;
        upstream.failure_shares.resize(self.class_stats.len(), 0.0);
        upstream.consecutive_errors.resize(self.class_stats.len(), 0);
        for ((share, class), errors) in
            upstream.failure_shares.iter_mut().zip(&self.class_stats).zip(&upstream.consecutive_errors)
        {
            // Consecutive errors slow the decay, so that a server that answers each trial with an error is tried at growing
            // intervals.
            let keep = if *errors > 1 { fault.powf(1.0 / f64::from(*errors)) } else { fault };
            *share = class.failure_share + (*share - class.failure_share) * keep;
        }
        (upstream.observed_work, upstream.observed_time, upstream.decayed_at) =
            (upstream.observed_work * recent, upstream.observed_time * recent, now);
    }

    /// Refreshes the summary of a server. Selection reads all summaries, so they are kept small and apart from the rest.
    pub(crate) fn refresh_summary(&mut self, server: usize, now: Micros) {
        let upstream = &self.servers[server];
        let wait = self.wait(upstream, self.fleet.mean_work, now);
        let plain = upstream.proven && self.sure_capacity_share(upstream, now) >= 1.0;
        let Upstream { hash, zone, cell, relative_size: size, .. } = *upstream;
        let rate = self.rate(upstream);
        self.summaries[server] =
            ServerSummary { hash, wait, rate, relative_size: size, zone, cell, warm_and_proven: plain };
        let classes = self.class_stats.len();
        for (class, seen) in self.class_stats.iter().enumerate() {
            self.failure_odds[server * classes + class] =
                odds(upstream.failure_shares.get(class).copied().unwrap_or(seen.failure_share));
        }
    }

    /// Refreshes the estimates of all servers, if that is due.
    pub(super) fn refresh_estimates(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.last_refresh + REFRESH_INTERVAL {
            return;
        }
        let span = now - self.last_refresh.max(now.saturating_sub(MAX_REFRESH_SPAN));
        self.last_refresh = now;
        let overdue =
            (f64::from(self.settings.gateway_count - 1) * self.longest_usual_response() / 2.0).max(1.0);
        let carried_by_kind = self.update_own_work(now, span, overdue);
        self.estimate_others_work();
        for server in 0..self.servers.len() {
            self.refresh_summary(server, now);
        }
        self.update_mean_waits();
        self.update_relative_sizes();
        self.send_due_probes(now, out);
        self.close_idle_connections(now, span as f64, out);
        self.update_rates(span, &carried_by_kind);
    }

    /// Updates the mean wait of each class over its eligible servers. Unproven servers are no capacity and count only where
    /// there are no others.
    fn update_mean_waits(&mut self) {
        for (mean, open) in self.mean_wait.iter_mut().zip(&self.eligible) {
            let any_ready = open.iter().any(|s| self.servers[*s].proven);
            let counted = open.iter().filter(|s| !any_ready || self.servers[**s].proven);
            let (sum, count) =
                counted.fold((0.0, 0.0), |(sum, count), s| (sum + self.summaries[*s].wait, count + 1.0));
            *mean = sum / f64::max(count, 1.0);
        }
    }

    /// Updates the running means of this gateway's own work. Returns, by machine type, the work that servers with full capacity
    /// have answered recently and the number of those servers.
    fn update_own_work(&mut self, now: Micros, span: Micros, overdue: f64) -> BTreeMap<u32, (f64, f64)> {
        let mut kinds: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
        let (mut all, fleet) = (0.0, self.ready.len().max(1) as f64);
        for i in 0..self.ready.len() {
            let server = self.ready[i];
            self.decay_server(server, now);
            let upstream = &mut self.servers[server];
            let keep = (-(span as f64) / overdue).exp2();
            upstream.mean_own_work += (upstream.own_work - upstream.mean_own_work) * (1.0 - keep);
            upstream.own_samples *= keep;
            all += upstream.own_work;
            let upstream = &self.servers[server];
            if self.sure_capacity_share(upstream, now) >= 1.0 {
                let (carried, n) = kinds.entry(upstream.kind).or_default();
                *carried += upstream.answered_work;
                *n += 1.0;
            }
        }
        // The own work at one server weighs by the attempts behind it, beside the fleet mean: with few requests per second it
        // is noise, multiplied by the number of gateways, and would move keys and reject requests. The drawback: a server that
        // only other gateways overload shows in its answer times only. The fleet mean is averaged over a time shorter by the
        // number of servers, since an overload of the fleet has to be detected while it builds up.
        let half = (PRIOR_SAMPLES * overdue / fleet).max(self.longest_usual_response().max(1.0));
        let keep = (-(span as f64) / half).exp2();
        self.fleet.mean_own_work += (all / fleet - self.fleet.mean_own_work) * (1.0 - keep);
        kinds
    }

    fn estimate_others_work(&mut self) {
        for i in 0..self.ready.len() {
            let upstream = &mut self.servers[self.ready[i]];
            let expected = self.fleet.mean_own_work * upstream.relative_size;
            let mean = (upstream.mean_own_work * upstream.own_samples + expected * PRIOR_SAMPLES)
                / (upstream.own_samples + PRIOR_SAMPLES);
            upstream.others_work = f64::from(self.settings.gateway_count - 1) * mean;
        }
    }

    fn update_rates(&mut self, span: Micros, carried_by_kind: &BTreeMap<u32, (f64, f64)>) {
        let recent = (-(span as f64) / RECENT_HALF_LIFE).exp2();
        if self.fleet.observed[1] > 0.0 {
            let [met, took] = self.fleet.observed;
            self.mean_rate = (met.max(took * 1e-6) + self.fleet.prior_work) / (took + self.fleet.prior_work);
        }
        self.fleet.observed = self.fleet.observed.map(|x| x * recent);
        let window = self.settings.cold_overload_time.max(1) as f64;
        // Servers are assumed to reach the highest recent rate again, also starting ones during an overload in which little is
        // answered. The drawback: a rate that has fallen is overestimated.
        let kept = (-(span as f64) / PEAK_RATE_HALF_LIFE).exp2();
        for (kind, (carried, n)) in carried_by_kind {
            let rate = self.fleet.kind_rates.entry(*kind).or_default();
            *rate = (*rate * kept).max(carried / n / window);
        }
    }
}

/// Converts a share into odds, with a bound for shares near 1.
pub(super) fn odds(share: f64) -> f64 {
    share / (1.0 - share).max(0.01)
}
