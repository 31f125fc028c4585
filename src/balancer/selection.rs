//! The selection of a server: the least sum of LARD's three costs over the servers open to a request's class.

use crate::api::{Idempotency, Micros};
use crate::balancer::learning::own_wait;
use crate::balancer::load::{KEY_HALF_LIFE, odds};
use crate::cost::{balancing, locality, order, replacement};
use crate::state::{Balancer, Entry, Pick, Repeat, Request, Seat, mix};

/// LARD's lower threshold as a share of the time that a request has for waiting: below it a wait is not felt.
const IDLE_SHARE: f64 = 0.1;
/// A miss is charged this many times the service of an uncached request: its own, and the one that its key's return costs.
const MISS_SERVICES: f64 = 1.0;
/// How much a heavy request's own time weighs beside the waits: hints and rates are rough.
const OWN_TIME_WEIGHT: f64 = 0.6;
/// Where the mean wait is this share of the slack, what a miss wastes is lost to others in full.
const JAM_SHARE: f64 = 0.25;
/// A key may give one of its homes this share of a mean server's work.
const HOME_SHARE: f64 = 0.5;
/// Sums within this much of a cached request's service are equal.
const QUANTUM: f64 = 0.25;

/// How a selection differs from the ordinary one.
#[derive(Clone, Copy, Default)]
pub(super) struct SelectionMode {
    /// Servers that were tried before, and suspect ones, may be selected.
    pub(super) retry_tried: bool,
    /// Only servers below the lower threshold may be selected.
    pub(super) idle_only: bool,
}

/// What the costs of one selection are made of, in units of a cached request's service.
struct CostTerms {
    unit: f64,
    idle: f64,
    overload: f64,
    miss: f64,
    /// What a failed attempt costs.
    failure: f64,
    /// The odds of a failure of the class at any server.
    usual_odds: f64,
    /// The time of a mean request at a mean server.
    usual_time: f64,
    /// What crossing zones costs.
    cross_zone: f64,
}

impl Balancer {
    /// The time that a cached request takes at a mean server.
    fn cost_unit(&self) -> f64 {
        (self.tally.mean_work * self.warm_share / self.drain).max(1.0)
    }

    /// The time that a request of a class has for waiting.
    pub(super) fn slack(&self, class: usize) -> f64 {
        let aim = self.settings.classes[class].latency_target as f64;
        (aim - self.classes[class].floor).max(aim / 4.0)
    }

    fn cost_terms(&self, r: &Request) -> CostTerms {
        let unit = self.cost_unit();
        let slack = self.slack(r.class);
        let (idle, overload) = (IDLE_SHARE * slack / unit, slack / unit);
        let miss = MISS_SERVICES / self.warm_share * (1.0 + (self.mean_wait[r.class] / unit - idle).max(0.0));
        // Where a failed attempt may not be retried it costs the request besides.
        let failure = if self.effect(r) == Idempotency::Unsafe { 2.0 * miss } else { miss };
        // Crossing zones costs its price, a miss the work that others then wait for: next to nothing in an idle fleet, all of
        // it in a jam. So requests keep to their zone while that is free; never at more than a miss.
        let wasted = (1.0 - self.warm_share) * (self.mean_wait[r.class] / (JAM_SHARE * slack)).max(1e-6);
        CostTerms {
            unit,
            idle,
            overload,
            miss,
            failure,
            usual_odds: odds(self.classes[r.class].failing),
            usual_time: self.tally.mean_work / self.drain,
            cross_zone: miss * (self.settings.cross_zone_price.max(0.0) / wasted).min(1.0),
        }
    }

    /// Selects a server for the next attempt of a request.
    pub(super) fn select_server(
        &self,
        now: Micros,
        r: &Request,
        repeat: Repeat,
        mode: SelectionMode,
    ) -> Option<Pick> {
        let terms = self.cost_terms(r);
        let none = Entry::default();
        let known = if r.keyed { self.young.get(&r.key).unwrap_or(&none) } else { &none };
        let mut seats: Vec<Seat> = Vec::with_capacity(self.open[r.class].len());
        for &server in &self.open[r.class] {
            seats.extend(self.seat(now, r, repeat, mode, &terms, server));
        }
        self.apply_key(now, r, known, &terms, &mut seats);
        let seat = seats.iter().min_by_key(|seat| self.rank(seat, &terms))?;
        let (warm, held, infinite) = (seat.warm, seat.held, seat.load > terms.overload);
        let work = r.work * (1.0 - warm * (1.0 - self.warm_share));
        let seen = &self.classes[r.class];
        let expected = seat.wait + work / self.rate(&self.servers[seat.server]) + seen.floor + own_wait(seen);
        Some(Pick { server: seat.server, held, warm, wait: seat.wait, expected, finite: !infinite })
    }

    /// A server with its Load, if it may get the attempt.
    fn seat(
        &self,
        now: Micros,
        r: &Request,
        repeat: Repeat,
        mode: SelectionMode,
        terms: &CostTerms,
        server: usize,
    ) -> Option<Seat> {
        let brief = &self.briefs[server];
        let peer = &self.servers[server];
        let allowed = match repeat {
            Repeat::Any => true,
            Repeat::Zone(zone) => brief.zone == zone,
            Repeat::Cell(cell) => brief.cell == cell,
            Repeat::No => false,
        };
        let again = mode.retry_tried;
        let tried = r.attempts.iter().any(|a| a.server == server && (!again || a.outcome.is_none()));
        let suspect = !again && self.is_suspect(brief.zone) && now < self.zones[&brief.zone].trial;
        let wait = if self.tally.sharing.shares { self.wait(peer, r.work, now) } else { brief.wait };
        if !allowed || tried || suspect || (mode.idle_only && wait / terms.unit >= terms.idle) {
            return None;
        }
        let doubted = !brief.plain && !peer.proven && !again && (peer.in_flight > 0 || now < peer.trial);
        if doubted || (!brief.plain && !self.bears(peer, r.class, r.work, now)) {
            return None;
        }
        // Failure is never idleness: the failure share costs misses, as each failed attempt is one more elsewhere. It fades,
        // so that trial requests find the recovery. Only what lies above or below the class's share everywhere counts: where
        // many servers fail a class, those that have just served it are preferred; losses everywhere move no key. Harm:
        // these draw more than their part.
        let odds = self.odds[server * self.classes.len() + r.class];
        let trouble = terms.failure * (odds - terms.usual_odds);
        let trouble = if trouble.abs() < 1.0 { 0.0 } else { trouble };
        let order = order(mix(brief.hash ^ r.key), brief.size, self.even);
        // A heavy request takes longer where servers are slow, and whoever follows it waits as long.
        let own =
            if r.hinted { OWN_TIME_WEIGHT * (r.work / brief.rate - terms.usual_time).max(0.0) } else { 0.0 };
        let load = (wait + own) / terms.unit + trouble.max(0.0);
        Some(Seat { server, order, wait, trouble, load, warm: 0.0, home: false, held: false })
    }

    /// Marks who is believed to have the key cached. A key's homes, the first in hash order neither failing nor overloaded,
    /// are mapped by agreement: other gateways send it there too. Guards against tables that stay empty. Each home gets at
    /// most `HOME_SHARE` of a mean server's work from it: a hot key widens early. Harm: misses for a key that was rare.
    fn apply_key(&self, now: Micros, r: &Request, known: &Entry, terms: &CostTerms, seats: &mut [Seat]) {
        let others = if r.keyed { 1.0 - 1.0 / f64::from(self.settings.gateway_count) } else { 0.0 };
        let part = (known.came - 1.0).max(0.0) / self.tally.arrivals.max(1.0);
        let wide = (part * seats.len() as f64 / HOME_SHARE).ceil();
        let wide = wide.clamp(1.0, seats.len().max(1) as f64) as usize;
        let fit = seats.iter().filter(|seat| seat.trouble < terms.miss && seat.load <= terms.overload);
        let mut homes: Vec<_> = fit.map(|seat| (seat.order, seat.server)).collect();
        if homes.len() > wide {
            homes.select_nth_unstable(wide);
            homes.truncate(wide);
        }
        for h in known.holders.iter().filter(|h| self.servers[h.server].life == h.life) {
            if let Ok(at) = seats.binary_search_by_key(&h.server, |seat| seat.server) {
                let age = now.saturating_sub(h.used) as f64 / KEY_HALF_LIFE;
                (seats[at].warm, seats[at].held) = ((-age).exp2(), true);
            }
        }
        let me = mix(u64::from(self.settings.gateway_index) + 1);
        for (_, server) in &homes {
            let Ok(at) = seats.binary_search_by_key(server, |seat| seat.server) else { continue };
            let seat = &mut seats[at];
            (seat.home, seat.warm) = (true, others + (1.0 - others) * seat.warm);
            if wide > 1 {
                let peer = &self.servers[*server];
                seat.order = order(mix(mix(peer.hash ^ r.key) ^ me), peer.relative, self.even);
            }
        }
    }

    /// Lower is better. Above the upper threshold the sum is infinite: only if all are, the lowest finite part wins, since
    /// least Load sends every key of a jammed fleet to strangers. Close sums are equal, or noise decides.
    fn rank(&self, seat: &Seat, terms: &CostTerms) -> (bool, i64, bool, u64) {
        let Seat { load, trouble, warm, .. } = *seat;
        let CostTerms { idle, miss, .. } = *terms;
        let wait = balancing(load, idle, f64::INFINITY).max(trouble) + trouble.min(0.0);
        let zone = self.briefs[seat.server].zone;
        let far = if self.settings.zone.is_some_and(|own| own != zone) { terms.cross_zone } else { 0.0 };
        let sum = (wait + locality(miss, warm) + replacement(load, idle, miss, warm) + far) / QUANTUM + 0.5;
        (load > terms.overload, sum as i64, !seat.home, seat.order)
    }
}
