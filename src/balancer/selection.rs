//! Server selection: the least sum of LARD's three costs over the servers eligible for a request's class.

use crate::api::{Idempotency, Micros};
use crate::balancer::learning::class_delay;
use crate::balancer::load::{KEY_HALF_LIFE, odds};
use crate::cost::{balancing, locality, order, replacement};
use crate::state::{Balancer, Candidate, KeyEntry, Request, RetryScope, Selection, mix};

/// LARD's lower threshold as a share of the time that a request has for waiting: shorter waits cost nothing.
const IDLE_SHARE: f64 = 0.1;
/// A cache miss costs this many times the service of an uncached request: its own, and the one when its key returns.
const MISS_COST_SERVICES: f64 = 1.0;
/// The weight of a heavy request's own service time beside the waits; hints and rates are inexact.
const OWN_TIME_WEIGHT: f64 = 0.6;
/// From this share of the slack as mean wait, the work that a cache miss wastes is lost to other requests in full.
const SATURATION_SHARE: f64 = 0.25;
/// The most work that a key may bring to one of its home servers, as a share of a mean server's.
const HOME_SHARE: f64 = 0.5;
/// Cost sums are rounded to this fraction of a cached request's service time.
const QUANTUM: f64 = 0.25;

/// Deviations from the default selection.
#[derive(Clone, Copy, Default)]
pub(super) struct SelectionMode {
    /// Servers that were tried before, and those in suspect zones, may be selected.
    pub(super) retry_tried: bool,
    /// Only servers below the lower threshold may be selected.
    pub(super) idle_only: bool,
}

/// The terms of the costs in one selection, in units of a cached request's service time (`unit`, in microseconds).
struct CostTerms {
    unit: f64,
    idle_threshold: f64,
    overload_threshold: f64,
    miss_cost: f64,
    /// The cost of a failed attempt.
    failure_cost: f64,
    /// The odds of a failure of the class over all servers.
    mean_failure_odds: f64,
    /// The service time of a mean request at a mean server, in microseconds.
    mean_service_time: f64,
    /// The cost of an attempt in another zone.
    cross_zone_cost: f64,
}

impl Balancer {
    /// The service time of a cached request at a mean server.
    fn cost_unit(&self) -> f64 {
        (self.fleet.mean_work * self.hit_cost_ratio / self.mean_rate).max(1.0)
    }

    /// The time that a request of a class has for waiting.
    pub(super) fn slack(&self, class: usize) -> f64 {
        let aim = self.settings.classes[class].latency_target as f64;
        (aim - self.class_stats[class].min_latency).max(aim / 4.0)
    }

    fn cost_terms(&self, r: &Request) -> CostTerms {
        let unit = self.cost_unit();
        let slack = self.slack(r.class);
        let (idle, overload) = (IDLE_SHARE * slack / unit, slack / unit);
        let miss = MISS_COST_SERVICES / self.hit_cost_ratio
            * (1.0 + (self.mean_wait[r.class] / unit - idle).max(0.0));
        // Where a failed attempt may not be retried, the request itself is lost as well.
        let failure = if self.idempotency(r) == Idempotency::Unsafe { 2.0 * miss } else { miss };
        // An attempt in another zone costs its price; a cache miss costs work that other requests wait for, which is almost
        // nothing in an idle fleet and all of it in a saturated one. So requests stay in their zone while misses are cheap.
        // Crossing zones never costs more than a miss.
        let wasted =
            (1.0 - self.hit_cost_ratio) * (self.mean_wait[r.class] / (SATURATION_SHARE * slack)).max(1e-6);
        CostTerms {
            unit,
            idle_threshold: idle,
            overload_threshold: overload,
            miss_cost: miss,
            failure_cost: failure,
            mean_failure_odds: odds(self.class_stats[r.class].failure_share),
            mean_service_time: self.fleet.mean_work / self.mean_rate,
            cross_zone_cost: miss * (self.settings.cross_zone_price.max(0.0) / wasted).min(1.0),
        }
    }

    /// Selects a server for the next attempt of a request.
    pub(super) fn select_server(
        &self,
        now: Micros,
        r: &Request,
        repeat: RetryScope,
        mode: SelectionMode,
    ) -> Option<Selection> {
        let terms = self.cost_terms(r);
        let none = KeyEntry::default();
        let key_entry = if r.keyed { self.recent_keys.get(&r.key).unwrap_or(&none) } else { &none };
        let mut candidates: Vec<Candidate> = Vec::with_capacity(self.eligible[r.class].len());
        for &server in &self.eligible[r.class] {
            candidates.extend(self.candidate(now, r, repeat, mode, &terms, server));
        }
        self.mark_key_holders(now, r, key_entry, &terms, &mut candidates);
        let candidate = candidates.iter().min_by_key(|candidate| self.rank(candidate, &terms))?;
        let (warm, in_key_table, infinite) =
            (candidate.cached_probability, candidate.in_key_table, candidate.load > terms.overload_threshold);
        let work = r.work * (1.0 - warm * (1.0 - self.hit_cost_ratio));
        let seen = &self.class_stats[r.class];
        let expected = candidate.wait
            + work / self.rate(&self.servers[candidate.server])
            + seen.min_latency
            + class_delay(seen);
        Some(Selection {
            server: candidate.server,
            in_key_table,
            cached_probability: warm,
            wait: candidate.wait,
            expected,
            below_overload: !infinite,
        })
    }

    /// The cost terms of a server, or `None` if it may not get the attempt.
    fn candidate(
        &self,
        now: Micros,
        r: &Request,
        repeat: RetryScope,
        mode: SelectionMode,
        terms: &CostTerms,
        server: usize,
    ) -> Option<Candidate> {
        let summary = &self.summaries[server];
        let upstream = &self.servers[server];
        let allowed = match repeat {
            RetryScope::Any => true,
            RetryScope::Zone(zone) => summary.zone == zone,
            RetryScope::Cell(cell) => summary.cell == cell,
            RetryScope::Forbidden => false,
        };
        let again = mode.retry_tried;
        let tried = r.attempts.iter().any(|a| a.server == server && (!again || a.outcome.is_none()));
        let suspect =
            !again && self.is_suspect(summary.zone) && now < self.zone_health[&summary.zone].next_trial;
        let wait = if self.fleet.sharing.shares { self.wait(upstream, r.work, now) } else { summary.wait };
        if !allowed || tried || suspect || (mode.idle_only && wait / terms.unit >= terms.idle_threshold) {
            return None;
        }
        let doubted = !summary.warm_and_proven
            && !upstream.proven
            && !again
            && (upstream.in_flight > 0 || now < upstream.next_trial);
        if doubted
            || (!summary.warm_and_proven && !self.has_cold_start_budget(upstream, r.class, r.work, now))
        {
            return None;
        }
        // A failing server must not look idle: its failure odds cost as many misses, since each failed attempt causes another
        // one elsewhere. The failure share decays, so that trial requests detect a recovery. Only the difference from the
        // class's mean counts: where many servers fail a class, those that have just served it are preferred, and losses
        // at all servers move no key. The drawback: the preferred servers get more than their share.
        let odds = self.failure_odds[server * self.class_stats.len() + r.class];
        let failure_cost = terms.failure_cost * (odds - terms.mean_failure_odds);
        let failure_cost = if failure_cost.abs() < 1.0 { 0.0 } else { failure_cost };
        let order = order(mix(summary.hash ^ r.key), summary.relative_size, self.uniform_sizes);
        // A heavy request takes longer at a slow server, and the requests behind it wait as much longer.
        let own = if r.has_work_hint {
            OWN_TIME_WEIGHT * (r.work / summary.rate - terms.mean_service_time).max(0.0)
        } else {
            0.0
        };
        let load = (wait + own) / terms.unit + failure_cost.max(0.0);
        Some(Candidate {
            server,
            hash_rank: order,
            wait,
            failure_cost,
            load,
            cached_probability: 0.0,
            is_home: false,
            in_key_table: false,
        })
    }

    /// Marks the candidates that are believed to have the key cached.
    ///
    /// A key's home servers are the first in rendezvous order that are neither failing nor overloaded. All gateways compute the
    /// same ones and send the key there, so a key has a home even if this gateway's table is empty. Each home gets at most
    /// `HOME_SHARE` of a mean server's work from the key, so a hot key is spread over more servers early. The drawback: cache
    /// misses for a key that was rare before.
    fn mark_key_holders(
        &self,
        now: Micros,
        r: &Request,
        key_entry: &KeyEntry,
        terms: &CostTerms,
        candidates: &mut [Candidate],
    ) {
        let others = if r.keyed { 1.0 - 1.0 / f64::from(self.settings.gateway_count) } else { 0.0 };
        let key_share = (key_entry.arrivals - 1.0).max(0.0) / self.fleet.arrivals.max(1.0);
        let home_count = (key_share * candidates.len() as f64 / HOME_SHARE).ceil();
        let home_count = home_count.clamp(1.0, candidates.len().max(1) as f64) as usize;
        let fit = candidates.iter().filter(|candidate| {
            candidate.failure_cost < terms.miss_cost && candidate.load <= terms.overload_threshold
        });
        let mut homes: Vec<_> = fit.map(|candidate| (candidate.hash_rank, candidate.server)).collect();
        if homes.len() > home_count {
            homes.select_nth_unstable(home_count);
            homes.truncate(home_count);
        }
        for h in key_entry.holders.iter().filter(|h| self.servers[h.server].incarnation == h.incarnation) {
            if let Ok(at) = candidates.binary_search_by_key(&h.server, |candidate| candidate.server) {
                let age = now.saturating_sub(h.last_used) as f64 / KEY_HALF_LIFE;
                (candidates[at].cached_probability, candidates[at].in_key_table) = ((-age).exp2(), true);
            }
        }
        let me = mix(u64::from(self.settings.gateway_index) + 1);
        for (_, server) in &homes {
            let Ok(at) = candidates.binary_search_by_key(server, |candidate| candidate.server) else {
                continue;
            };
            let candidate = &mut candidates[at];
            (candidate.is_home, candidate.cached_probability) =
                (true, others + (1.0 - others) * candidate.cached_probability);
            if home_count > 1 {
                let upstream = &self.servers[*server];
                candidate.hash_rank =
                    order(mix(mix(upstream.hash ^ r.key) ^ me), upstream.relative_size, self.uniform_sizes);
            }
        }
    }

    /// The sort key of a candidate; lower is better. Candidates above the overload threshold come last. Among them the sum
    /// without the balancing cost's infinity decides: selecting by least load would send every key of a saturated fleet to
    /// servers that do not have it cached. Sums are rounded, so that noise does not decide between close ones.
    fn rank(&self, candidate: &Candidate, terms: &CostTerms) -> (bool, i64, bool, u64) {
        let Candidate { load, failure_cost, cached_probability: warm, .. } = *candidate;
        let CostTerms { idle_threshold: idle, miss_cost: miss, .. } = *terms;
        let wait = balancing(load, idle, f64::INFINITY).max(failure_cost) + failure_cost.min(0.0);
        let zone = self.summaries[candidate.server].zone;
        let zone_cost =
            if self.settings.zone.is_some_and(|own| own != zone) { terms.cross_zone_cost } else { 0.0 };
        let sum =
            (wait + locality(miss, warm) + replacement(load, idle, miss, warm) + zone_cost) / QUANTUM + 0.5;
        (load > terms.overload_threshold, sum as i64, !candidate.is_home, candidate.hash_rank)
    }
}
