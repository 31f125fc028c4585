//! The references that see what any balancer could see.

use std::hash::{DefaultHasher, Hash, Hasher};

use gradepaddle::{Micros, Outcome, State};

use super::lifecycle::{Choice, Method, Peer};

pub struct Random;

impl Method for Random {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        Some(choice.any())
    }
}

#[derive(Default)]
pub struct RoundRobin {
    last: Option<usize>,
}

impl Method for RoundRobin {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let next = match self.last {
            Some(last) => choice.open.iter().copied().find(|at| *at > last).unwrap_or(choice.open[0]),
            // Balancers that all begin with the first one would move in step.
            None => choice.any(),
        };
        self.last = Some(next);
        self.last
    }
}

pub struct Least;

impl Method for Least {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let least = choice.open.iter().map(|at| choice.peers[*at].outstanding).min().unwrap_or(0);
        let from = choice.any();
        // The first with the least from a place drawn at random on, so that ties are spread.
        let fits = |at: &&usize| choice.peers[**at].outstanding == least;
        let after = choice.open.iter().filter(|at| **at >= from).find(fits);
        after.or_else(|| choice.open.iter().find(fits)).copied().or(Some(from))
    }
}

pub struct Two;

impl Method for Two {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let (one, two) = (choice.any(), choice.any());
        let second = choice.peers[two].outstanding < choice.peers[one].outstanding;
        Some(if second { two } else { one })
    }
}

/// Half-life of an average that has not been fed, in microseconds.
const DECAY: f64 = 10_000_000.0;
/// What one that has not answered yet counts as.
const UNKNOWN: f64 = 100_000.0;

#[derive(Default)]
pub struct Ewma {
    /// Average answer time and when it was last fed, by app server.
    averages: Vec<(f64, Micros)>,
}

impl Ewma {
    fn cost(&self, now: Micros, peer: &Peer) -> f64 {
        let average = match self.averages.get(peer.number) {
            Some((average, at)) if *at > 0 => average * (-(now.saturating_sub(*at) as f64) / DECAY).exp2(),
            _ => UNKNOWN,
        };
        average * f64::from(peer.outstanding + 1)
    }
}

impl Method for Ewma {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let (one, two) = (choice.any(), choice.any());
        let cost = |at: usize| self.cost(choice.now, &choice.peers[at]);
        Some(if cost(two) < cost(one) { two } else { one })
    }

    fn learn(&mut self, now: Micros, peer: usize, outcome: Outcome, took: Micros) {
        if self.averages.len() <= peer {
            self.averages.resize(peer + 1, (0.0, 0));
        }
        let (average, at) = self.averages[peer];
        let keep = (-(now.saturating_sub(at) as f64) / DECAY).exp2();
        let took = match outcome {
            Outcome::Ok | Outcome::TimedOut => took as f64,
            // One that fails quickly is not a quick one.
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::Full => {
                (took as f64).max(5.0 * UNKNOWN)
            }
            _ => return,
        };
        // A peak counts at once, its passing slowly.
        let new = if took > average { took } else { average * keep + took * (1.0 - keep) };
        self.averages[peer] = (new, now);
    }
}

/// Places on the ring for each app server.
const PLACES: u64 = 40;
/// No app server has more than this many times the mean.
const BOUND: f64 = 1.25;

#[derive(Default)]
pub struct Bounded {
    /// Places in order, each with its app server.
    ring: Vec<(u64, usize)>,
}

impl Method for Bounded {
    fn changed(&mut self, peers: &[Peer]) {
        let ready = peers.iter().filter(|peer| peer.state == State::Ready);
        let place = |peer: &Peer, nth: u64| {
            let mut hasher = DefaultHasher::new();
            (&peer.id, nth).hash(&mut hasher);
            (hasher.finish(), peer.number)
        };
        self.ring = ready.flat_map(|peer| (0..PLACES).map(move |nth| place(peer, nth))).collect();
        self.ring.sort_unstable();
    }

    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let all: u32 = choice.open.iter().map(|at| choice.peers[*at].outstanding).sum();
        let bound = (f64::from(all + 1) / choice.open.len() as f64 * BOUND).ceil() as u32;
        let from = self.ring.partition_point(|(place, _)| *place < choice.key);
        let order = self.ring[from..].iter().chain(&self.ring[..from]);
        let fits = |at: usize| choice.open.binary_search(&at).is_ok() && choice.peers[at].outstanding < bound;
        order.map(|(_, at)| *at).find(|at| fits(*at)).or_else(|| Some(choice.any()))
    }
}
