//! Admission control: a request that would wait too long is rejected on arrival instead of queueing at a server.

use crate::api::{Action, Arrival, Micros};
use crate::balancer::learning::{LEARNING_RATE, decay_class};
use crate::balancer::retries::{MAX_RETRY_BUDGET, RETRIES_PER_REQUEST};
use crate::balancer::selection::SelectionMode;
use crate::state::{Balancer, Request, RetryScope, Selection, hash};

/// The share of the tightest slack that any request may wait under full pressure, and the further share that grows with the
/// request's worth.
const MIN_WAIT_SHARE: f64 = 0.2;
const WAIT_SHARE_BY_WORTH: f64 = 0.6;
/// Requests that any class may have in flight; before the first answer of a class, this many times as many.
const FREE_REQUESTS: f64 = 4.0;
const FREE_FACTOR_AT_START: f64 = 4.0;
/// The work of a request without a hint, as a share of its latency target.
const UNHINTED_WORK_SHARE: f64 = 1.0 / 8.0;
/// The shortest delay that a rejected client is asked to wait.
const MIN_RETRY_AFTER: Micros = 50_000;

impl Balancer {
    /// Sends a new request to a server, or rejects it.
    pub(super) fn handle_request(&mut self, now: Micros, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival { id, class, ttl, .. } = arrival.clone();
        if self.requests.contains_key(&id) {
            return;
        }
        if class >= self.settings.classes.len() {
            return self.reject(id, 0, out);
        }
        let (r, latency_target) = self.new_request(now, &arrival, out);
        self.touch_key(now, r.key);
        let picked = self.select_server(now, &r, self.retry_scope(&r, now), SelectionMode::default());
        let Some(pick) = picked else { return self.reject(id, ttl / 4, out) };
        // Rejects a request whose answer would be late, and one that would queue so long that a class with more worth and a
        // shorter latency target finds no slot: the lower the worth, the shorter the queue it may join.
        let time_left = (r.useful_until.min(now + latency_target) - now) as f64;
        let (pick, limit) = self.prefer_idle(now, &r, pick);
        // Answer times vary without any queue: half the minimum latency does not count as waiting unless there is pressure.
        let low = self.class_stats[class].min_latency / 2.0;
        let free = 1.0 - (2.0 * (self.mean_wait[class] - low) / self.slack(class)).clamp(0.0, 1.0);
        let excess = (pick.wait - limit - low * free).max(pick.expected - time_left);
        let crowded = self.is_crowded(now, class);
        if crowded || excess > 0.0 {
            let retry_after = (excess as Micros).max(if crowded { latency_target } else { 0 });
            return self.reject(id, retry_after, out);
        }
        self.requests.insert(id.clone(), r);
        self.send_attempt(now, &id, &pick, out);
    }

    /// Creates the record of a request and returns it with its latency target. Updates the running estimates.
    fn new_request(
        &mut self,
        now: Micros,
        arrival: &Arrival<'_>,
        out: &mut Vec<Action>,
    ) -> (Request, Micros) {
        let class = arrival.class;
        let c = &self.settings.classes[class];
        let hint = arrival.work_hint.filter(|h| h.is_finite() && *h > 0.0);
        let work = hint.unwrap_or(c.latency_target as f64 * UNHINTED_WORK_SHARE);
        let latency_target =
            (c.latency_target as f64 + c.latency_target_per_work * work).min(c.deadline as f64) as Micros;
        let deadline = now.saturating_add(arrival.ttl);
        let useful_until =
            if c.late_worth > 0.0 { deadline } else { deadline.min(now.saturating_add(latency_target)) };
        let mut value = c.worth / self.max_worth.max(1e-9);
        let mean = self.learn_offered_work(now, class, work);
        if !self.settings.worth_by_work {
            value *= (mean / work).min(1.0);
        }
        if arrival.tenant.is_some_and(|tenant| self.is_over_quota(tenant, now)) {
            value *= self.settings.over_quota_worth;
        }
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
        self.refresh_estimates(now, out);
        let request = Request {
            class,
            key: hash(arrival.key.unwrap_or(&arrival.id)),
            keyed: arrival.key.is_some() && self.settings.warm_keys,
            work,
            has_work_hint: hint.is_some(),
            run_once: arrival.run_once,
            value,
            deadline,
            useful_until,
            attempts: Vec::new(),
            streaming: false,
            finished: false,
        };
        (request, latency_target)
    }

    /// Updates the mean work and the offered rate with a request's work; returns the mean work before it.
    fn learn_offered_work(&mut self, now: Micros, class: usize, work: f64) -> f64 {
        let mean = if self.fleet.mean_work > 0.0 { self.fleet.mean_work } else { work };
        self.fleet.mean_work = mean + (work - mean) * LEARNING_RATE / 4.0;
        let seen = &mut self.class_stats[class].mean_work;
        *seen += if *seen > 0.0 { (work - *seen) * LEARNING_RATE / 4.0 } else { work };
        let window = self.settings.cold_overload_time.max(1) as f64;
        self.fleet.offered_rate *= (-(now.saturating_sub(self.fleet.last_arrival) as f64) / window).exp();
        self.fleet.offered_rate += work / window;
        self.fleet.last_arrival = now;
        mean
    }

    /// If a request would wait too long at the selected server while another one is idle, returns the idle one. The second
    /// value is the longest wait that is accepted there.
    fn prefer_idle(&self, now: Micros, r: &Request, pick: Selection) -> (Selection, f64) {
        let limit = self.wait_limit(r, pick.cached_probability);
        let waits_too_long = pick.wait > limit;
        if !waits_too_long {
            return (pick, limit);
        }
        // The servers that have the key cached are saturated. Only a server below the lower threshold takes over, since
        // cache misses at busy servers would add to the overload.
        let idle_only = SelectionMode { retry_tried: false, idle_only: true };
        match self.select_server(now, r, RetryScope::Any, idle_only) {
            Some(idle) => {
                let limit = self.wait_limit(r, idle.cached_probability);
                (idle, limit)
            }
            None => (pick, limit),
        }
    }

    /// Whether a class has so many requests in flight that, by Little's law, they are answered later than twice its latency
    /// target. This stops a class that is slow at all servers from taking the slots of the others. The drawback: a class whose
    /// traffic jumps loses requests until its first answers arrive, since nothing else shows that it is served in time.
    fn is_crowded(&mut self, now: Micros, class: usize) -> bool {
        let seen = &mut self.class_stats[class];
        decay_class(seen, now);
        let allowance =
            if seen.mean_latency > 0.0 { FREE_REQUESTS } else { FREE_FACTOR_AT_START * FREE_REQUESTS };
        f64::from(seen.in_flight) > allowance + 2.0 * seen.recently_ended
    }

    fn is_over_quota(&mut self, tenant: usize, now: Micros) -> bool {
        let Some(t) = self.settings.tenants.get(tenant) else { return false };
        let rate = t.quota / f64::from(self.settings.gateway_count);
        let (tokens, at) = &mut self.tenant_tokens[tenant];
        *tokens = (*tokens + rate * now.saturating_sub(*at) as f64 / 1e6).min(rate.max(1.0));
        *at = now;
        let over_quota = *tokens < 1.0;
        *tokens -= if over_quota { 0.0 } else { 1.0 };
        over_quota
    }

    /// The longest wait that a request is admitted with. Without pressure it is the least slack among the classes with as much
    /// worth or more; under pressure only a share of that, which grows with the request's worth per work (a cache miss is worth
    /// less than a hit).
    fn wait_limit(&self, r: &Request, warm: f64) -> f64 {
        let classes = &self.settings.classes;
        let worthier = (0..classes.len()).filter(|c| classes[*c].worth >= classes[r.class].worth);
        let tightest = worthier.map(|c| self.slack(c)).fold(f64::INFINITY, f64::min);
        let value = r.value * (self.hit_cost_ratio + warm * (1.0 - self.hit_cost_ratio));
        let waits = self.mean_wait[r.class] - self.class_stats[r.class].min_latency / 2.0;
        let pressure = (2.0 * waits / tightest).clamp(0.0, 1.0);
        (1.0 - pressure * (1.0 - MIN_WAIT_SHARE - WAIT_SHARE_BY_WORTH * value.sqrt())) * tightest
    }

    fn reject(&self, request: crate::api::Id, retry_after: Micros, out: &mut Vec<Action>) {
        let retry_after = self.bounded_retry_after(retry_after);
        out.push(Action::Reject { request, retry_after });
    }

    /// Bounds the delay that a rejected client is asked to wait. It is never 0, or the client would retry before anything
    /// has changed.
    pub(super) fn bounded_retry_after(&self, wanted: Micros) -> Micros {
        wanted.max(MIN_RETRY_AFTER).min(self.settings.max_retry_after)
    }
}
