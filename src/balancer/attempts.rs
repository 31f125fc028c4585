//! The life of a request and of its attempts: sent, reviewed, ended, withdrawn, finished.

use std::cmp::Reverse;

use crate::api::{Action, AttemptEnd, Id, Micros, Outcome};
use crate::balancer::retries::OVERDUE_TIMES;
use crate::state::{Attempt, Balancer, Holder, Pick, Repeat, Request};

impl Balancer {
    /// Sends a request to the server that was selected.
    pub(super) fn send_attempt(&mut self, now: Micros, id: &Id, pick: &Pick, out: &mut Vec<Action>) {
        let warm = 1.0 - pick.warm * (1.0 - self.warm_share);
        let all = self.work_at(&self.servers[pick.server]);
        let zone = self.servers[pick.server].zone;
        let Some(r) = self.requests.get_mut(id) else { return };
        let ahead = self.tally.sharing.ahead(all.0, all.1, r.work);
        let sure = r.work.max(self.classes[r.class].work);
        let peer = &mut self.servers[pick.server];
        let work = r.work * warm;
        let met = ahead + work;
        r.attempts.push(Attempt {
            server: pick.server,
            life: peer.life,
            sent: now,
            work,
            met,
            all,
            gap: peer.idle.map_or(0, |since| now.saturating_sub(since)),
            hit: [(pick.warm == 0.0, 0), (pick.held, 1)].iter().find(|(is, _)| *is).map(|(_, h)| *h),
            outcome: None,
        });
        if peer.in_flight == 0 {
            peer.sign = now;
        }
        peer.sent = now;
        peer.in_flight += 1;
        self.classes[r.class].out += 1;
        peer.weight += 1.0;
        peer.work += work;
        if peer.started.is_some_and(|t| now < t.saturating_add(self.settings.max_warm_up_time)) {
            let since = now.saturating_sub(self.settings.cold_overload_time);
            while peer.spent.front().is_some_and(|(at, _)| *at <= since) {
                peer.spent.pop_front();
            }
            peer.spent.push_back((now, sure));
        }
        out.push(Action::Send { request: id.clone(), server: peer.id.clone(), deadline: r.useful });
        if r.keyed {
            let set = &mut self.young.entry(r.key).or_default().holders;
            set.retain(|h| h.server != pick.server);
            set.push(Holder { server: pick.server, life: peer.life, used: now });
        }
        self.postpone_zone_trial(now, zone);
        self.refresh_brief(pick.server, now);
        self.schedule_review(now, id);
    }

    /// When a request is looked at again: once its answer is overdue, and at its deadline.
    fn schedule_review(&mut self, now: Micros, id: &Id) {
        let Some(r) = self.requests.get(id) else { return };
        let typical = self.classes[r.class].typical;
        let sent = r.attempts.last().map_or(0, |a| a.sent);
        let may = typical > 0.0 && r.attempts.len() == 1 && self.may_repeat(r, now) != Repeat::No;
        let overdue = OVERDUE_TIMES.map(|times| sent + (times * typical) as Micros);
        let hedge = overdue.into_iter().find(|at| *at > now);
        let at = hedge.filter(|_| may).unwrap_or(r.ends).min(r.ends);
        self.sequence += 1;
        self.reviews.push(Reverse((at, self.sequence, id.clone())));
    }

    pub(super) fn handle_wake(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.armed = Micros::MAX;
        while let Some(Reverse((at, ..))) = self.reviews.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse((_, _, id))) = self.reviews.pop() else { break };
            let Some(r) = self.requests.get(&id) else { continue };
            if r.closed || r.streaming {
                continue;
            }
            if now >= r.ends {
                self.finish_request(&id, 0, out);
                continue;
            }
            self.maybe_hedge(now, &id, out);
            self.schedule_review(now, &id);
        }
    }

    pub(super) fn handle_attempt_end(&mut self, now: Micros, ended: AttemptEnd<'_>, out: &mut Vec<Action>) {
        let AttemptEnd { request, attempt, outcome, took, request_finished: closed, .. } = ended;
        let Some((id, mut r)) = self.requests.remove_entry(request) else { return };
        match r.attempts.get_mut(attempt as usize) {
            Some(a) if a.outcome.is_none() => {
                a.outcome = Some(outcome);
                let a = *a;
                self.learn(now, &r, a, (outcome, took as f64), out);
                self.refresh_brief(a.server, now);
            }
            _ => {}
        }
        if closed && !r.closed {
            r.closed = true;
            self.withdraw(&id, &r, None, out);
        }
        let owed = !r.closed;
        let waits = outcome != Outcome::Denied && r.attempts.iter().any(|a| a.outcome.is_none());
        self.retain_request(id.clone(), r);
        if owed && !waits {
            self.retry_or_finish(now, &id, out);
        }
    }

    pub(super) fn handle_streaming(&mut self, request: &str, attempt: u32, out: &mut Vec<Action>) {
        let Some((id, mut r)) = self.requests.remove_entry(request) else { return };
        r.streaming = true;
        self.withdraw(&id, &r, Some(attempt as usize), out);
        self.retain_request(id, r);
    }

    pub(super) fn handle_client_left(&mut self, request: &str, out: &mut Vec<Action>) {
        let Some((id, mut r)) = self.requests.remove_entry(request) else { return };
        r.closed = true;
        self.withdraw(&id, &r, None, out);
        self.retain_request(id, r);
    }

    /// Gives a request its final answer: a rejection where that is harmless, else a failure.
    pub(super) fn finish_request(&mut self, id: &Id, pause: Micros, out: &mut Vec<Action>) {
        let Some((id, mut r)) = self.requests.remove_entry(id) else { return };
        if !r.closed {
            self.withdraw(&id, &r, None, out);
            r.closed = true;
            let (request, pause) = (id.clone(), self.bounded_pause(pause));
            out.push(if self.may_refuse(&r) {
                Action::Reject { request, retry_after: pause }
            } else {
                Action::Fail { request }
            });
        }
        self.retain_request(id, r);
    }

    fn withdraw(&self, id: &Id, r: &Request, but: Option<usize>, out: &mut Vec<Action>) {
        for (i, a) in r.attempts.iter().enumerate() {
            if self.settings.cancel && a.outcome.is_none() && Some(i) != but {
                out.push(Action::Cancel { request: id.clone(), attempt: i as u32 });
            }
        }
    }

    /// A request is remembered until it is answered and all its attempts have ended.
    fn retain_request(&mut self, id: Id, r: Request) {
        if !r.closed || r.attempts.iter().any(|a| a.outcome.is_none()) {
            self.requests.insert(id, r);
        }
    }
}
