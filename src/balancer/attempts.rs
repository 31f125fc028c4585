//! The life cycle of a request and its attempts: sent, reviewed, ended, cancelled, finished.

use std::cmp::Reverse;

use crate::api::{Action, AttemptEnd, Id, Micros, Outcome};
use crate::balancer::retries::OVERDUE_TIMES;
use crate::state::{Attempt, Balancer, CacheHolder, Request, RetryScope, Selection};

impl Balancer {
    /// Sends a request to the server that was selected.
    pub(super) fn send_attempt(&mut self, now: Micros, id: &Id, pick: &Selection, out: &mut Vec<Action>) {
        let warm = 1.0 - pick.cached_probability * (1.0 - self.hit_cost_ratio);
        let work_at_server = self.work_at(&self.servers[pick.server]);
        let zone = self.servers[pick.server].zone;
        let Some(r) = self.requests.get_mut(id) else { return };
        let ahead = self.fleet.sharing.ahead(work_at_server.0, work_at_server.1, r.work);
        let budgeted_work = r.work.max(self.class_stats[r.class].mean_work);
        let upstream = &mut self.servers[pick.server];
        let work = r.work * warm;
        let observed_work = ahead + work;
        r.attempts.push(Attempt {
            server: pick.server,
            incarnation: upstream.incarnation,
            sent_at: now,
            work,
            observed_work,
            work_at_server,
            connection_idle: upstream.idle_since.map_or(0, |since| now.saturating_sub(since)),
            cache_hit: [(pick.cached_probability == 0.0, 0), (pick.in_key_table, 1)]
                .iter()
                .find(|(is, _)| *is)
                .map(|(_, h)| *h),
            outcome: None,
        });
        if upstream.in_flight == 0 {
            upstream.last_response = now;
        }
        upstream.last_sent = now;
        upstream.in_flight += 1;
        self.class_stats[r.class].in_flight += 1;
        upstream.own_samples += 1.0;
        upstream.own_work += work;
        if upstream.started_at.is_some_and(|t| now < t.saturating_add(self.settings.max_warm_up_time)) {
            let since = now.saturating_sub(self.settings.cold_overload_time);
            while upstream.cold_sends.front().is_some_and(|(at, _)| *at <= since) {
                upstream.cold_sends.pop_front();
            }
            upstream.cold_sends.push_back((now, budgeted_work));
        }
        out.push(Action::Send { request: id.clone(), server: upstream.id.clone(), deadline: r.useful_until });
        if r.keyed {
            let holders = &mut self.recent_keys.entry(r.key).or_default().holders;
            holders.retain(|h| h.server != pick.server);
            holders.push(CacheHolder {
                server: pick.server,
                incarnation: upstream.incarnation,
                last_used: now,
            });
        }
        self.postpone_zone_trial(now, zone);
        self.refresh_summary(pick.server, now);
        self.schedule_review(now, id);
    }

    /// Schedules the next review of a request: when its answer is overdue, and at its deadline.
    fn schedule_review(&mut self, now: Micros, id: &Id) {
        let Some(r) = self.requests.get(id) else { return };
        let typical = self.class_stats[r.class].mean_latency;
        let sent = r.attempts.last().map_or(0, |a| a.sent_at);
        let may_hedge =
            typical > 0.0 && r.attempts.len() == 1 && self.retry_scope(r, now) != RetryScope::Forbidden;
        let overdue = OVERDUE_TIMES.map(|times| sent + (times * typical) as Micros);
        let hedge = overdue.into_iter().find(|at| *at > now);
        let at = hedge.filter(|_| may_hedge).unwrap_or(r.deadline).min(r.deadline);
        self.review_sequence += 1;
        self.reviews.push(Reverse((at, self.review_sequence, id.clone())));
    }

    pub(super) fn handle_wake(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.next_wake = Micros::MAX;
        while let Some(Reverse((at, ..))) = self.reviews.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse((_, _, id))) = self.reviews.pop() else { break };
            let Some(r) = self.requests.get(&id) else { continue };
            if r.finished || r.streaming {
                continue;
            }
            if now >= r.deadline {
                self.finish_request(&id, 0, out);
                continue;
            }
            self.maybe_hedge(now, &id, out);
            self.schedule_review(now, &id);
        }
    }

    pub(super) fn handle_attempt_end(&mut self, now: Micros, ended: AttemptEnd<'_>, out: &mut Vec<Action>) {
        let AttemptEnd { request, attempt, outcome, took, request_finished, .. } = ended;
        let Some((id, mut r)) = self.requests.remove_entry(request) else { return };
        match r.attempts.get_mut(attempt as usize) {
            Some(a) if a.outcome.is_none() => {
                a.outcome = Some(outcome);
                let a = *a;
                self.learn(now, &r, a, (outcome, took as f64), out);
                self.refresh_summary(a.server, now);
            }
            _ => {}
        }
        if request_finished && !r.finished {
            r.finished = true;
            self.cancel_attempts(&id, &r, None, out);
        }
        let unanswered = !r.finished;
        let awaits_attempt = outcome != Outcome::Denied && r.attempts.iter().any(|a| a.outcome.is_none());
        self.retain_request(id.clone(), r);
        if unanswered && !awaits_attempt {
            self.retry_or_finish(now, &id, out);
        }
    }

    pub(super) fn handle_streaming(&mut self, request: &str, attempt: u32, out: &mut Vec<Action>) {
        let Some((id, mut r)) = self.requests.remove_entry(request) else { return };
        r.streaming = true;
        self.cancel_attempts(&id, &r, Some(attempt as usize), out);
        self.retain_request(id, r);
    }

    pub(super) fn handle_client_left(&mut self, request: &str, out: &mut Vec<Action>) {
        let Some((id, mut r)) = self.requests.remove_entry(request) else { return };
        r.finished = true;
        self.cancel_attempts(&id, &r, None, out);
        self.retain_request(id, r);
    }

    /// Gives a request its final answer: a rejection if it can safely be sent again, otherwise a failure.
    pub(super) fn finish_request(&mut self, id: &Id, retry_after: Micros, out: &mut Vec<Action>) {
        let Some((id, mut r)) = self.requests.remove_entry(id) else { return };
        if !r.finished {
            self.cancel_attempts(&id, &r, None, out);
            r.finished = true;
            let (request, retry_after) = (id.clone(), self.bounded_retry_after(retry_after));
            out.push(if self.may_reject(&r) {
                Action::Reject { request, retry_after }
            } else {
                Action::Fail { request }
            });
        }
        self.retain_request(id, r);
    }

    fn cancel_attempts(&self, id: &Id, r: &Request, except: Option<usize>, out: &mut Vec<Action>) {
        for (i, a) in r.attempts.iter().enumerate() {
            if self.settings.cancel && a.outcome.is_none() && Some(i) != except {
                out.push(Action::Cancel { request: id.clone(), attempt: i as u32 });
            }
        }
    }

    /// Keeps a request until it is answered and all its attempts have ended.
    fn retain_request(&mut self, id: Id, r: Request) {
        if !r.finished || r.attempts.iter().any(|a| a.outcome.is_none()) {
            self.requests.insert(id, r);
        }
    }
}
