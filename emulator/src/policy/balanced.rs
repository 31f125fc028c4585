//! The references that see what any balancer could see.

use std::hash::{DefaultHasher, Hash, Hasher};

use gradepaddle::{LoadReport, Micros, Outcome, ServerState};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

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
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::Overloaded => {
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
        let ready = peers.iter().filter(|peer| peer.state == ServerState::Ready);
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

/// Half-life of what a report says, in microseconds.
const TELLS_FOR: f64 = 500_000.0;

/// The shortest queue that app servers tell of, with our own outstanding on top.
pub struct Queues {
    /// Probes for each request.
    rate: f64,
    /// What each app server told, and when.
    told: Vec<(f64, Micros)>,
}

impl Queues {
    pub fn new(rate: f64) -> Self {
        Queues { rate, told: Vec::new() }
    }
}

impl Method for Queues {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let cost = |at: usize| {
            let peer = &choice.peers[at];
            let (queue, since) = self.told.get(peer.number).copied().unwrap_or_default();
            let age = choice.now.saturating_sub(since) as f64;
            queue * (-age / TELLS_FOR).exp2() + f64::from(peer.outstanding)
        };
        let least = choice.open.iter().map(|at| cost(*at)).fold(f64::INFINITY, f64::min);
        // Ties are spread by a place drawn at random.
        let fits = |at: &&usize| cost(**at) <= least;
        let count = choice.open.iter().filter(fits).count();
        let nth = if count > 1 { choice.random.random_range(0..count) } else { 0 };
        choice.open.iter().filter(fits).nth(nth).copied()
    }

    fn probe(&mut self, ready: &[usize], random: &mut Pcg64Mcg) -> Option<usize> {
        let due = !ready.is_empty() && random.random::<f64>() < self.rate;
        due.then(|| ready[random.random_range(0..ready.len())])
    }

    fn told(&mut self, now: Micros, peer: usize, report: LoadReport) {
        if self.told.len() <= peer {
            self.told.resize(peer + 1, (0.0, 0));
        }
        if let Some(queue) = report.queue {
            self.told[peer] = (queue, now);
        }
    }
}
