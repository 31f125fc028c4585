//! Retries and hedged requests: whether another attempt may be made, where, and when one is.

use crate::api::{Action, DeduplicationScope, Id, Idempotency, Micros, Outcome};
use crate::balancer::selection::SelectionMode;
use crate::state::{Attempt, Balancer, Request, RetryScope};

/// Retries that each request adds to the budget, and how many may be saved up.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.2;
pub(super) const MAX_RETRY_BUDGET: f64 = 10.0;
/// An answer is overdue after so many usual times: at a silent server, at one that answers others, of a lone request.
pub(super) const OVERDUE_TIMES: [f64; 3] = [2.0, 4.0, 6.0];

impl Balancer {
    /// Whether a request may run more than once.
    pub(super) fn idempotency(&self, r: &Request) -> Idempotency {
        let effect = self.settings.classes[r.class].idempotency;
        if r.run_once && effect != Idempotency::Safe { Idempotency::Unsafe } else { effect }
    }

    /// Whether, and where, another attempt may go.
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

    /// Whether a rejection may say that the request can be sent again without harm.
    pub(super) fn may_reject(&self, r: &Request) -> bool {
        if r.attempts.iter().any(|a| a.outcome == Some(Outcome::Denied)) {
            return false;
        }
        match self.idempotency(r) {
            Idempotency::Safe | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::Unsafe => !r.attempts.iter().any(may_have_run),
        }
    }

    /// A hedged request, where the class allows one, for an overdue answer: another server would still be in time and below
    /// its overload point. Paid from the retry budget.
    pub(super) fn maybe_hedge(&mut self, now: Micros, id: &Id, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let repeat = self.retry_scope(r, now);
        if repeat == RetryScope::Forbidden || self.retry_budget < 1.0 {
            return;
        }
        // A server that has answered others meanwhile is not silent: the request is just heavy, or lost.
        let Some(a) = r.attempts.last() else { return };
        // Nor is one that has nothing else of mine; and the attempt that loses costs a connection.
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

    /// No attempt is out for a request that is owed its answer: retry elsewhere or end it at once.
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
