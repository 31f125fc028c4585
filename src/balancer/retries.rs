//! Retries and hedged requests: whether another attempt is allowed, at which servers, and when it is sent.

use crate::api::{Action, DeduplicationScope, Id, Idempotency, Micros, Outcome};
use crate::balancer::selection::SelectionMode;
use crate::state::{Attempt, Balancer, Request, RetryScope};

/// Retries that each request adds to the retry budget, and the upper bound of the budget.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.2;
pub(super) const MAX_RETRY_BUDGET: f64 = 10.0;
/// An answer is overdue after this many times the class's mean latency: at a server that has not answered since, at one that
/// has answered other requests, and at one that has no other request of this gateway.
pub(super) const OVERDUE_TIMES: [f64; 3] = [2.0, 4.0, 6.0];

impl Balancer {
    /// Whether a request may be executed more than once.
    pub(super) fn idempotency(&self, r: &Request) -> Idempotency {
        let effect = self.settings.classes[r.class].idempotency;
        if r.run_once && effect != Idempotency::Safe { Idempotency::Unsafe } else { effect }
    }

    /// Whether another attempt may be sent, and to which servers.
    pub(super) fn retry_scope(&self, r: &Request, now: Micros) -> RetryScope {
        let out = r.attempts.iter().any(|a| a.outcome.is_none());
        let spent = r.attempts.len() >= self.settings.max_attempts as usize;
        let denied = r.attempts.iter().any(|a| a.outcome == Some(Outcome::Denied));
        let barred = denied || r.finished || r.streaming || spent || now >= r.deadline;
        if barred || (out && !self.settings.hedging) {
            return RetryScope::Forbidden;
        }
        let Some(first) = r.attempts.iter().find(|a| may_have_run(a)) else { return RetryScope::Any };
        match self.idempotency(r) {
            Idempotency::Safe => RetryScope::Any,
            Idempotency::Unsafe => RetryScope::Forbidden,
            Idempotency::Keyed { window, .. } if now >= first.sent_at + window => RetryScope::Forbidden,
            Idempotency::Keyed { scope: DeduplicationScope::All, .. } => RetryScope::Any,
            Idempotency::Keyed { scope: DeduplicationScope::Zone, .. } => {
                RetryScope::Zone(self.servers[first.server].zone)
            }
            Idempotency::Keyed { scope: DeduplicationScope::Cell, .. } => {
                RetryScope::Cell(self.servers[first.server].cell)
            }
        }
    }

    /// Whether a rejection may tell the client that the request can safely be sent again.
    pub(super) fn may_reject(&self, r: &Request) -> bool {
        if r.attempts.iter().any(|a| a.outcome == Some(Outcome::Denied)) {
            return false;
        }
        match self.idempotency(r) {
            Idempotency::Safe | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::Unsafe => !r.attempts.iter().any(may_have_run),
        }
    }

    /// Hedges a request whose answer is overdue, if its class allows that and another server below the overload threshold would
    /// still answer in time. The attempt is charged to the retry budget.
    pub(super) fn maybe_hedge(&mut self, now: Micros, id: &Id, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let repeat = self.retry_scope(r, now);
        if repeat == RetryScope::Forbidden || self.retry_budget < 1.0 {
            return;
        }
        // A server that has answered other requests meanwhile is not silent: this request is heavy, or was lost.
        let Some(a) = r.attempts.last() else { return };
        // Nor does a server count as silent that has no other request of this gateway. Cancelling the attempt that loses
        // also costs its connection.
        let upstream = &self.servers[a.server];
        let alone = self.settings.handshake_price > 0.0 && upstream.in_flight < 2;
        let usual = if alone {
            OVERDUE_TIMES[2]
        } else {
            OVERDUE_TIMES[usize::from(upstream.last_response > a.sent_at)]
        };
        if ((now - a.sent_at) as f64) < usual * self.class_stats[r.class].mean_latency.floor() {
            return;
        }
        let left = r.useful_until.saturating_sub(now) as f64;
        let Some(pick) = self.select_server(now, r, repeat, SelectionMode::default()) else { return };
        if pick.below_overload && pick.expected < left {
            self.retry_budget -= 1.0;
            self.send_attempt(now, id, &pick, out);
        }
    }

    /// Retries an unanswered request that has no attempt in flight at another server, or finishes it.
    pub(super) fn retry_or_finish(&mut self, now: Micros, id: &Id, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let repeat = self.retry_scope(r, now);
        let left = r.useful_until.saturating_sub(now) as f64;
        if repeat != RetryScope::Forbidden && left > 0.0 && self.retry_budget >= 1.0 {
            let last_resort = SelectionMode { retry_tried: true, idle_only: false };
            let pick = self
                .select_server(now, r, repeat, SelectionMode::default())
                .or_else(|| self.select_server(now, r, repeat, last_resort));
            if let Some(pick) = pick.filter(|p| p.expected < left) {
                self.retry_budget -= 1.0;
                self.send_attempt(now, id, &pick, out);
                return;
            }
        }
        let soon = self.class_stats[r.class].mean_latency as Micros;
        self.finish_request(id, if left <= 0.0 { Micros::MAX } else { soon }, out);
    }
}

fn may_have_run(a: &Attempt) -> bool {
    !a.outcome.is_some_and(Outcome::never_ran)
}
