//! Updates the estimates from the end of each attempt: health, failure shares, answer times and service rates.

use crate::api::{Action, Micros, Outcome};
use crate::balancer::load::KEY_HALF_LIFE;
use crate::state::{Attempt, Balancer, ClassStats, Request};

/// Weight of a new observation in the running estimates.
pub(super) const LEARNING_RATE: f64 = 1.0 / 16.0;
/// A failure moves a server's failure share this far towards 1, a success towards 0.
const FAILURE_WEIGHT: f64 = 0.3;
/// The same weight for a connection that could not be opened.
const CONNECT_FAILURE_WEIGHT: f64 = 0.5;
/// Consecutive errors slow the decay of a failure share, up to this factor.
const MAX_ERRORS: u32 = 4;
/// The weight of an outcome in the failure shares of the other classes.
const OTHER_CLASS_WEIGHT: f64 = 0.25;
/// An answer time counts as at most this many times the class's mean latency.
const MAX_TYPICAL_TIMES: f64 = 3.0;
/// The share of the minimum latency that is not service time.
const FLOOR_SHARE: f64 = 0.8;

impl Balancer {
    /// Updates the estimates with the outcome of an attempt and its duration in microseconds.
    pub(super) fn learn(
        &mut self,
        now: Micros,
        r: &Request,
        a: Attempt,
        ended: (Outcome, f64),
        out: &mut Vec<Action>,
    ) {
        let (outcome, took) = ended;
        let server = a.server;
        let seen = &mut self.class_stats[r.class];
        seen.in_flight -= 1;
        decay_class(seen, now);
        seen.recently_ended += f64::from(!matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) as u8);
        self.decay_server(server, now);
        let upstream = &mut self.servers[server];
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.own_work = if upstream.in_flight == 0 { 0.0 } else { (upstream.own_work - a.work).max(0.0) };
        if upstream.incarnation != a.incarnation {
            return;
        }
        let silent = upstream.last_response <= a.sent_at;
        self.learn_health(now, r, server, (outcome, took), silent, out);
        let usual = 2.0 * self.class_stats[r.class].mean_latency;
        self.fleet.record_idle_gap(a.connection_idle, outcome, took > usual);
        let Some(blame) = self.learn_failures(r, server, outcome, silent) else { return };
        if outcome == Outcome::Ok {
            self.learn_pace(r, &a, took);
        }
        let counts = match outcome {
            Outcome::Ok | Outcome::TimedOut => true,
            Outcome::Cancelled => took > self.class_stats[r.class].mean_latency,
            _ => false,
        };
        if counts {
            self.learn_rate(r, &a, (outcome, took), blame);
        }
    }

    /// Records whether the server and its zone answer, and closes idle connections to a zone that has become silent.
    fn learn_health(
        &mut self,
        now: Micros,
        r: &Request,
        server: usize,
        (outcome, took): (Outcome, f64),
        silent: bool,
        out: &mut Vec<Action>,
    ) {
        let zone = self.servers[server].zone;
        let lost = match outcome {
            Outcome::Ok | Outcome::Overloaded | Outcome::Error | Outcome::Denied => {
                self.record_zone_answer(zone, true)
            }
            // A connection that is refused at once shows that the zone is reachable, so it does not count as silence.
            Outcome::ConnectFailed if took > self.class_stats[r.class].mean_latency => {
                self.record_zone_answer(zone, false)
            }
            Outcome::TimedOut if silent => self.record_zone_answer(zone, false),
            _ => false,
        };
        // A request sent on a dead idle connection may have been executed; one whose connection attempt fails was not.
        for p in self.servers.iter_mut().filter(|p| lost && p.zone == zone && p.idle_since.is_some()) {
            p.idle_since = None;
            out.push(Action::CloseIdleConnections { server: p.id.clone() });
        }
        match outcome {
            // A server that denies an invalid request is healthy.
            Outcome::Ok | Outcome::Overloaded | Outcome::Denied => self.record_health(now, server, true),
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                self.record_health(now, server, false);
            }
            Outcome::TimedOut if silent => self.record_health(now, server, false),
            _ => {}
        }
        let upstream = &mut self.servers[server];
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Overloaded | Outcome::Denied => {
                (upstream.idle_since, upstream.last_response) = (Some(now), now);
            }
            Outcome::Reset | Outcome::ConnectFailed => upstream.idle_since = None,
            _ => {}
        }
    }

    /// Updates the failure shares of the server and the class. Returns how much of a failure is attributed to the server rather
    /// than to the class, or `None` for an attempt that was not sent.
    fn learn_failures(&mut self, r: &Request, server: usize, outcome: Outcome, silent: bool) -> Option<f64> {
        let seen = &mut self.class_stats[r.class];
        let upstream = &mut self.servers[server];
        upstream.failure_shares.resize(self.settings.classes.len(), 0.0);
        upstream.consecutive_errors.resize(self.settings.classes.len(), 0);
        let errors = &mut upstream.consecutive_errors[r.class];
        match outcome {
            Outcome::Ok => *errors = 0,
            Outcome::Error => *errors = (*errors + 1).min(MAX_ERRORS),
            _ => {}
        }
        // Requests of a class that fails at all servers do not count against any server.
        let blame = 1.0 - seen.failure_share;
        // With few recent outcomes, an error weighs more and for all classes. The drawback: a single stray error costs the
        // server traffic.
        let fresh = if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            0.0
        } else {
            1.0 / (1.0 + upstream.recent_outcomes)
        };
        upstream.recent_outcomes += 1.0;
        let mut move_shares = |to: f64, share: f64| {
            let share = if to > 0.0 { share.max(fresh) * blame } else { share };
            for (class, fault) in upstream.failure_shares.iter_mut().enumerate() {
                let weight = if class == r.class { 1.0 } else { OTHER_CLASS_WEIGHT.max(fresh) };
                *fault += (to - *fault) * share * weight;
            }
            seen.failure_share += (to - seen.failure_share) * LEARNING_RATE;
        };
        let unanswered = match outcome {
            Outcome::NotSent => return None,
            Outcome::Ok => {
                move_shares(0.0, FAILURE_WEIGHT);
                None
            }
            Outcome::Error => {
                move_shares(1.0, FAILURE_WEIGHT);
                None
            }
            Outcome::ConnectFailed => Some(CONNECT_FAILURE_WEIGHT),
            Outcome::Overloaded | Outcome::Reset => Some(FAILURE_WEIGHT),
            Outcome::TimedOut => Some(if silent { FAILURE_WEIGHT } else { FAILURE_WEIGHT / 2.0 }),
            Outcome::Cancelled | Outcome::Denied => None,
        };
        if let Some(share) = unanswered {
            move_shares(1.0, share);
            upstream.lost_work += r.work;
        }
        Some(blame)
    }

    /// Updates the answer times of the class, of the server's machine type, and of cache hits and misses.
    fn learn_pace(&mut self, r: &Request, a: &Attempt, took: f64) {
        let seen = &mut self.class_stats[r.class];
        let upstream = &mut self.servers[a.server];
        upstream.answered_work += a.work;
        if seen.mean_latency <= 0.0 {
            (seen.min_latency, seen.mean_latency) = (took, took);
        }
        let bounded = took.min(MAX_TYPICAL_TIMES * seen.mean_latency);
        seen.mean_latency += (bounded - seen.mean_latency) * LEARNING_RATE / 2.0;
        seen.min_latency += if took < seen.min_latency {
            (took - seen.min_latency) * 0.3
        } else {
            (took - seen.min_latency).min(seen.min_latency) * 0.005
        };
        let bounded = took.min(MAX_TYPICAL_TIMES * seen.mean_latency);
        let x = (bounded - FLOOR_SHARE * seen.min_latency).max(0.0) / a.work;
        let pace = self.fleet.kind_paces.entry(upstream.kind).or_default();
        *pace = [pace[0] + x, pace[1] + 1.0].map(|sum| sum * (1.0 - LEARNING_RATE / 16.0));
        let is_unhindered = a.observed_work <= self.fleet.mean_observed_work.max(a.work * 1.5);
        let Some(hit) = a.cache_hit.filter(|_| is_unhindered) else { return };
        let pace = &mut self.fleet.pace[hit];
        let x = (took - FLOOR_SHARE * seen.min_latency - class_delay(seen)).max(0.0) / r.work;
        let step = if x < *pace { 10.0 } else { 1.0 } * LEARNING_RATE / 8.0;
        *pace = if *pace > 0.0 { *pace + (x - *pace) * step } else { x };
        if self.fleet.pace[0] > 0.0 && self.fleet.pace[1] > 0.0 {
            self.hit_cost_ratio = (self.fleet.pace[1] / self.fleet.pace[0]).clamp(0.2, 0.9);
        }
    }

    /// Updates the service rate of the server.
    ///
    /// A time-out counts as slowness only in proportion to the share of time-outs at all servers; otherwise it indicates a lost
    /// answer or a failing server, which `failure_shares` covers. So answers lost on the network do not lead to rejections in a
    /// healthy fleet. The drawback: in the first seconds of an overload of the whole fleet, waits are underestimated.
    fn learn_rate(&mut self, r: &Request, a: &Attempt, (outcome, took): (Outcome, f64), blame: f64) {
        let Attempt { server, work, observed_work, work_at_server, .. } = *a;
        let lost = outcome == Outcome::TimedOut;
        self.fleet.timeout_share += (f64::from(u8::from(lost)) - self.fleet.timeout_share) * LEARNING_RATE;
        let done = if lost { 0.0 } else { observed_work };
        // The time of a class's answers that the servers' rates do not explain, beyond that of the class with the least of it,
        // is the class's own delay. It keeps a class that is slow at all servers from making the servers look slow. It has no
        // effect with a single class.
        let excess = took - FLOOR_SHARE * self.class_stats[r.class].min_latency;
        if !lost && r.has_work_hint {
            self.fleet.sharing.learn(work_at_server.0, work_at_server.1, work, excess);
        }
        let expected = observed_work / self.rate(&self.servers[server]);
        let seen = &mut self.class_stats[r.class];
        let beyond = excess - expected - seen.own_delay;
        seen.own_delay += if lost { beyond.max(0.0) } else { beyond } * LEARNING_RATE;
        let least = self.class_stats.iter().map(|c| c.own_delay).fold(f64::INFINITY, f64::min);
        self.class_stats.iter_mut().for_each(|c| c.own_delay -= least);
        let time = (excess - self.class_stats[r.class].own_delay).max(0.25 * work / self.mean_rate);
        let time = if lost { time * self.fleet.timeout_share * blame } else { time };
        let upstream = &mut self.servers[server];
        upstream.observed_work += done;
        upstream.observed_time += time;
        self.fleet.mean_observed_work +=
            (observed_work - self.fleet.mean_observed_work) * LEARNING_RATE / 4.0;
        self.fleet.observed[0] += done;
        self.fleet.prior_work *= 1.0 - LEARNING_RATE;
        self.fleet.observed[1] += time;
    }
}

/// Decays a class's statistics: the number of ended attempts over its latency target, and its own delay so that a recovery
/// is noticed.
pub(super) fn decay_class(seen: &mut ClassStats, now: Micros) {
    let age = now.saturating_sub(seen.decayed_at) as f64;
    seen.recently_ended *= (-age / seen.latency_target).exp();
    seen.own_delay *= (-age / KEY_HALF_LIFE).exp2();
    seen.decayed_at = now;
}

/// The delay that a class has at all servers, or 0 below half its latency target, where it is noise beside the queueing.
pub(super) fn class_delay(seen: &ClassStats) -> f64 {
    if seen.own_delay > seen.latency_target / 2.0 { seen.own_delay } else { 0.0 }
}
